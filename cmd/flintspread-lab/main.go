// Command flintspread-lab plays scripted days against real edge processes.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"sync"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"flintspread/internal/scenario"
)

var errBroken = errors.New("a rule is broken")

func main() {
	root := &cobra.Command{Use: "flintspread-lab", Short: "Plays days against flintspread-router and checks the rules", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(dayCommand(), witnessCommand(), loadCommand(), experimentCommand(), compareCommand())
	if err := root.Execute(); err != nil {
		if !errors.Is(err, errBroken) {
			fmt.Fprintln(os.Stderr, "flintspread-lab:", err)
		}
		os.Exit(1)
	}
}

func dayCommand() *cobra.Command {
	var jsonFile, bin, keep string
	var seed uint64
	var kills, storm, health bool
	var runs, jobs int
	cmd := &cobra.Command{Use: "day [FILE]", Short: "Play a day, the built-in bad one without a file", Args: cobra.MaximumNArgs(1)}
	cmd.Flags().StringVar(&jsonFile, "json", "", "write the outcome to this file too")
	cmd.Flags().StringVar(&bin, "bin", "", "the folder of flintspread-router and flintspread-controller (default: this program's)")
	cmd.Flags().StringVar(&keep, "keep", "", "keep the relays' files and logs in this folder")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed of clients and kills, instead of the script's")
	cmd.Flags().BoolVar(&kills, "planner-kills", false, "kill, pause and restart planners and edges; without a file, the planners' day")
	cmd.Flags().BoolVar(&health, "health", false, "without a file, the day of query servers that fail one way after the other")
	cmd.Flags().BoolVar(&storm, "config-storm", false, "a control service sends a version of the settings each second, one in three bad")
	cmd.Flags().IntVar(&runs, "runs", 1, "play it so often, each with the next seed")
	cmd.Flags().IntVar(&jobs, "jobs", 1, "so many at once")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		file := scenario.BadDay
		switch {
		case health:
			file = scenario.HealthDay
		case kills:
			file = scenario.PlannerDay
		}
		if len(args) > 0 {
			file = args[0]
		}
		script, err := scenario.Read(file)
		if err != nil {
			return err
		}
		if seed != 0 {
			script.Seed = seed
		}
		if storm {
			script.ConfigStorm = &scenario.ConfigStorm{IntervalSeconds: 1}
		}
		if bin, err = binFolder(bin); err != nil {
			return err
		}
		dir := keep
		if dir == "" {
			if dir, err = os.MkdirTemp("", "flintspread-lab-day-"); err != nil {
				return err
			}
			defer os.RemoveAll(dir)
		}
		if runs > 1 {
			return many(cmd.OutOrStdout(), *script, bin, dir, kills, runs, jobs)
		}
		if kills {
			script.AddProcessFaults(script.Seed)
		}
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		out, err := scenario.Run(script, bin, dir, cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		if jsonFile != "" {
			text, err := json.MarshalIndent(out, "", "  ")
			if err == nil {
				err = os.WriteFile(jsonFile, append(text, '\n'), 0o644)
			}
			if err != nil {
				return err
			}
		}
		return print(cmd.OutOrStdout(), out)
	}
	return cmd
}

// binFolder is the folder of the programs, this one's where none is given.
func binFolder(bin string) (string, error) {
	if bin != "" {
		return bin, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), err
}

// alone tells how long answers took while planners were away, against the rest.
func alone(out *scenario.Outcome) string {
	if out.SucceededWithoutController.N == 0 || out.SucceededWithController.P99 == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d without a planner: p99 %.3f s, %.2f times)", out.SucceededWithoutController.N, out.SucceededWithoutController.P99, out.SucceededWithoutController.P99/out.SucceededWithController.P99)
}

// many plays a day with one seed after the other, some at once, and prints a line for each.
func many(w io.Writer, script scenario.Script, bin, dir string, kills bool, runs, jobs int) error {
	var mu sync.Mutex
	var worst error
	var services []float64
	var g errgroup.Group
	g.SetLimit(jobs)
	for i := range runs {
		g.Go(func() error {
			s := script
			s.Seed += uint64(i)
			s.Events = slices.Clone(script.Events)
			if kills {
				s.AddProcessFaults(s.Seed)
			}
			into := filepath.Join(dir, fmt.Sprint(s.Seed))
			if err := os.MkdirAll(into, 0o755); err != nil {
				return err
			}
			out, err := scenario.Run(&s, bin, into, io.Discard)
			if err != nil {
				return fmt.Errorf("seed %d: %w", s.Seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			services = append(services, out.Service)
			fmt.Fprintf(w, "seed %d: service %.3f, %d tries, p99 %.3f s%s, ended: %s; ", s.Seed, out.Service, out.Asked, out.SucceededWithController.P99,
				alone(out), out.History[len(out.History)-1].What)
			if err := verdict(w, out); err != nil {
				worst = err
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	sort.Float64s(services)
	fmt.Fprintf(w, "%d runs: service %.3f to %.3f, median %.3f\n", runs, services[0], services[len(services)-1], services[len(services)/2])
	if worst == nil {
		fmt.Fprintln(w, "rules: all kept")
	} else {
		fmt.Fprintln(w, "rules: BROKEN, see above")
	}
	return worst
}

// print shows an outcome; its last line is the verdict.
func print(w io.Writer, out *scenario.Outcome) error {
	fmt.Fprintln(w, "releases:")
	for _, h := range out.History {
		fmt.Fprintf(w, "  %5.1f s  %s\n", h.At, h.What)
	}
	fmt.Fprintf(w, "tries: %d asked", out.Asked)
	for _, k := range sorted(out.Answers) {
		fmt.Fprintf(w, ", %d %s", out.Answers[k], k)
	}
	fmt.Fprintf(w, "; %d wrong answers\nservice: %.3f", out.WrongAnswers, out.Service)
	for _, k := range sorted(out.ServiceByClass) {
		fmt.Fprintf(w, ", %s %.3f", k, out.ServiceByClass[k])
	}
	fmt.Fprintf(w, "\nacked in: p50 %.3f s, p99 %.3f s%s\n", out.SucceededWithController.P50, out.SucceededWithController.P99, alone(out))
	if out.Versions != nil {
		fmt.Fprintln(w, "settings:", out.Versions)
	}
	for _, r := range out.Rules {
		fmt.Fprintf(w, "rule %-16s %6d cases, %d broken\n", r.Name, r.Checked, r.Broken)
	}
	return verdict(w, out)
}

// verdict writes the line on the rules, after what broke them.
func verdict(w io.Writer, out *scenario.Outcome) error {
	broken := ""
	for _, r := range out.Rules {
		for _, f := range r.First {
			fmt.Fprintln(w, "   ", f)
		}
		if r.Broken > 0 {
			broken += " " + r.Name + ";"
		}
	}
	if broken != "" {
		fmt.Fprintf(w, "rules: BROKEN%s\n", broken)
		return errBroken
	}
	fmt.Fprintln(w, "rules: all kept")
	return nil
}

func sorted[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
