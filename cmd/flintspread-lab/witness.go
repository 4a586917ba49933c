package main

import (
	"fmt"
	"os"
	"sort"
	"sync"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"flintspread/internal/scenario"
)

// witnessCommand compares the time to a back vote with and without a health source, seed by seed in one run.
func witnessCommand() *cobra.Command {
	var bin string
	var seed uint64
	var runs, jobs int
	cmd := &cobra.Command{Use: "witness", Short: "Time to a back vote with and without query servers, and good builds that they lie about", Args: cobra.NoArgs}
	cmd.Flags().StringVar(&bin, "bin", "", "the folder of flintspread-router and flintspread-controller (default: this program's)")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&runs, "runs", 20, "seeds")
	cmd.Flags().IntVar(&jobs, "jobs", 1, "so many at once")
	cmd.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if bin, err = binFolder(bin); err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "flintspread-lab-witness-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		var mu sync.Mutex
		var all []scenario.HealthComparison
		var g errgroup.Group
		g.SetLimit(jobs)
		w := cmd.OutOrStdout()
		for i := range runs {
			g.Go(func() error {
				one, err := scenario.CompareHealth(seed+uint64(i), bin, dir, func(d string) error { return os.MkdirAll(d, 0o755) })
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, one)
				fmt.Fprintf(w, "seed %d: back after %.2f s with the source, %.2f s without; lied about: back %t, released %t; rules kept %t; service %.3f\n",
					one.Seed, one.With, one.Without, one.LiedAbout, one.Released, one.Kept, one.Service)
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		lied, released, broken := 0, 0, 0
		var with, without, ratio []float64
		for _, x := range all {
			if x.With > 0 {
				with = append(with, x.With)
			}
			if x.Without > 0 {
				without = append(without, x.Without)
			}
			if x.With > 0 && x.Without > 0 {
				ratio = append(ratio, x.With/x.Without)
			}
			if x.LiedAbout {
				lied++
			}
			if x.Released {
				released++
			}
			if !x.Kept {
				broken++
			}
		}
		fmt.Fprintf(w, "the wrong build went back in %d of %d runs with the source, after %s s; in %d without, after %s s; with over without %s\n",
			len(with), len(all), spread(with), len(without), spread(without), spread(ratio))
		fmt.Fprintf(w, "good builds lied about: %d of %d sent back, %d released\n", lied, len(all), released)
		if broken > 0 {
			fmt.Fprintf(w, "rules: BROKEN in %d runs\n", broken)
			return errBroken
		}
		fmt.Fprintln(w, "rules: all kept")
		return nil
	}
	return cmd
}

// spread words median, quartiles and ends.
func spread(x []float64) string {
	if len(x) == 0 {
		return "none"
	}
	sort.Float64s(x)
	at := func(q float64) float64 { return x[int(q*float64(len(x)-1)+0.5)] }
	return fmt.Sprintf("%.2f to %.2f, quartiles %.2f and %.2f, median %.2f", x[0], x[len(x)-1], at(0.25), at(0.75), at(0.5))
}
