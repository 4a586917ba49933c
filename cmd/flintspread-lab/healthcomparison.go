package main

import (
	"fmt"
	"io"
	"os"
	"sort"
	"sync"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"flintspread/internal/scenario"
)

// comparisonOptions are the flags of the witness command.
type comparisonOptions struct {
	bin  string // folder with the binaries of the router and the controller
	seed uint64 // first seed
	runs int    // number of seeds
	jobs int    // concurrent runs
}

// healthComparisonCommand compares the time to a rollback with and without query servers, seed by seed.
func healthComparisonCommand() *cobra.Command {
	var o comparisonOptions
	cmd := &cobra.Command{
		Use:   "witness",
		Short: "Compare the time to a rollback with and without query servers, and the effect of false metrics on good builds",
		Args:  cobra.NoArgs,
	}
	cmd.Flags().StringVar(&o.bin, "bin", "", "folder with flintspread-router and flintspread-controller (default: the folder of this program)")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&o.runs, "runs", 20, "number of seeds")
	cmd.Flags().IntVar(&o.jobs, "jobs", 1, "number of seeds that run concurrently")
	cmd.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if o.bin, err = programFolder(o.bin); err != nil {
			return err
		}
		comparisons, err := o.run(cmd.OutOrStdout())
		if err != nil {
			return err
		}
		return printComparisons(cmd.OutOrStdout(), comparisons)
	}
	return cmd
}

// run runs all seeds, up to jobs of them concurrently, and prints a line for each.
func (o *comparisonOptions) run(w io.Writer) ([]scenario.HealthComparison, error) {
	dir, err := os.MkdirTemp("", "flintspread-lab-witness-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	var comparisons []scenario.HealthComparison
	var group errgroup.Group
	group.SetLimit(o.jobs)
	for i := range o.runs {
		group.Go(func() error {
			c, err := scenario.CompareHealth(o.seed+uint64(i), o.bin, dir)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			comparisons = append(comparisons, c)
			fmt.Fprintf(w, "seed %d: rollback after %.2f s with query servers, %.2f s without; good build with false metrics: rolled back %t, released %t; rules kept %t; service %.3f\n",
				c.Seed, c.RollbackSecondsWithServers, c.RollbackSecondsWithoutServers, c.GoodBuildRolledBack, c.GoodBuildReleased, c.RulesKept, c.Service)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return comparisons, nil
}

// printComparisons prints a summary of all seeds, whose last line states whether any rule was broken. It returns
// errRuleBroken if a rule was broken in any run, and nil otherwise.
func printComparisons(w io.Writer, comparisons []scenario.HealthComparison) error {
	goodBuildRolledBack, released, broken := 0, 0, 0
	var with, without, ratios []float64
	for _, c := range comparisons {
		if c.RollbackSecondsWithServers > 0 {
			with = append(with, c.RollbackSecondsWithServers)
		}
		if c.RollbackSecondsWithoutServers > 0 {
			without = append(without, c.RollbackSecondsWithoutServers)
		}
		if c.RollbackSecondsWithServers > 0 && c.RollbackSecondsWithoutServers > 0 {
			ratios = append(ratios, c.RollbackSecondsWithServers/c.RollbackSecondsWithoutServers)
		}
		if c.GoodBuildRolledBack {
			goodBuildRolledBack++
		}
		if c.GoodBuildReleased {
			released++
		}
		if !c.RulesKept {
			broken++
		}
	}
	fmt.Fprintf(w, "wrong build: rolled back in %d of %d runs with query servers, after %s s; in %d without, after %s s; ratio of the times with and without %s\n",
		len(with), len(comparisons), formatDistribution(with), len(without), formatDistribution(without), formatDistribution(ratios))
	fmt.Fprintf(w, "good build with false metrics: rolled back in %d of %d runs, released in %d\n", goodBuildRolledBack, len(comparisons), released)
	if broken > 0 {
		fmt.Fprintf(w, "rules: BROKEN in %d runs\n", broken)
		return errRuleBroken
	}
	fmt.Fprintln(w, "rules: all kept")
	return nil
}

// formatDistribution formats the extremes, quartiles and median of values, which it sorts in place.
func formatDistribution(values []float64) string {
	if len(values) == 0 {
		return "none"
	}
	sort.Float64s(values)
	at := func(q float64) float64 { return values[int(q*float64(len(values)-1)+0.5)] }
	return fmt.Sprintf("%.2f to %.2f, quartiles %.2f and %.2f, median %.2f", values[0], values[len(values)-1], at(0.25), at(0.75), at(0.5))
}
