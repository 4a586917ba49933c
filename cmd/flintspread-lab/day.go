package main

import (
	"encoding/json"
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

// stormIntervalSeconds is the interval between configuration versions with --config-storm.
const stormIntervalSeconds = 1

// dayOptions are the flags of the day command.
type dayOptions struct {
	jsonFile      string
	bin           string // folder of the program binaries
	keep          string // folder for settings and logs; empty: a temporary one
	seed          uint64 // 0: the seed of the script
	processFaults bool
	configStorm   bool
	health        bool
	runs          int
	jobs          int
}

func dayCommand() *cobra.Command {
	var o dayOptions
	cmd := &cobra.Command{Use: "day [FILE]", Short: "Play a day, the built-in bad one without a file", Args: cobra.MaximumNArgs(1)}
	f := cmd.Flags()
	f.StringVar(&o.jsonFile, "json", "", "write the outcome to this file too")
	f.StringVar(&o.bin, "bin", "", "the folder of flintspread-router and flintspread-controller (default: this program's)")
	f.StringVar(&o.keep, "keep", "", "keep the relays' files and logs in this folder")
	f.Uint64Var(&o.seed, "seed", 0, "seed of clients and kills, instead of the script's")
	f.BoolVar(&o.processFaults, "planner-kills", false, "kill, pause and restart planners and edges; without a file, the planners' day")
	f.BoolVar(&o.health, "health", false, "without a file, the day of query servers that fail one way after the other")
	f.BoolVar(&o.configStorm, "config-storm", false, "a control service sends a version of the settings each second, one in three bad")
	f.IntVar(&o.runs, "runs", 1, "play it so often, each with the next seed")
	f.IntVar(&o.jobs, "jobs", 1, "so many at once")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		script, err := o.script(args)
		if err != nil {
			return err
		}
		if o.bin, err = programFolder(o.bin); err != nil {
			return err
		}
		dir := o.keep
		if dir == "" {
			if dir, err = os.MkdirTemp("", "flintspread-lab-day-"); err != nil {
				return err
			}
			defer os.RemoveAll(dir)
		}
		if o.runs > 1 {
			return o.playSeeds(cmd.OutOrStdout(), *script, dir)
		}
		return o.playOnce(cmd, script, dir)
	}
	return cmd
}

// script reads the script selected by flags and arguments.
func (o *dayOptions) script(args []string) (*scenario.Script, error) {
	file := scenario.BadDay
	switch {
	case len(args) > 0:
		file = args[0]
	case o.health:
		file = scenario.HealthDay
	case o.processFaults:
		file = scenario.PlannerDay
	}
	script, err := scenario.Read(file)
	if err != nil {
		return nil, err
	}
	if o.seed != 0 {
		script.Seed = o.seed
	}
	if o.configStorm {
		script.ConfigStorm = &scenario.ConfigStorm{IntervalSeconds: stormIntervalSeconds}
	}
	return script, nil
}

// playOnce runs a script and prints its outcome.
func (o *dayOptions) playOnce(cmd *cobra.Command, script *scenario.Script, dir string) error {
	if o.processFaults {
		script.AddProcessFaults(script.Seed)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	out, err := scenario.Run(script, o.bin, dir, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	if o.jsonFile != "" {
		text, err := json.MarshalIndent(out, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.jsonFile, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	return printOutcome(cmd.OutOrStdout(), out)
}

// playSeeds runs a script with consecutive seeds, up to jobs of them concurrently, and prints a line for each.
func (o *dayOptions) playSeeds(w io.Writer, script scenario.Script, dir string) error {
	var mu sync.Mutex
	var broken error
	var services []float64
	var group errgroup.Group
	group.SetLimit(o.jobs)
	for i := range o.runs {
		group.Go(func() error {
			out, seed, err := o.playSeed(script, uint64(i), dir)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			services = append(services, out.Service)
			fmt.Fprintf(w, "seed %d: service %.3f, %d tries, p99 %.3f s%s, ended: %s; ", seed, out.Service, out.Requests,
				out.SucceededWithController.P99, withoutController(out), out.History[len(out.History)-1].Description)
			if err := printVerdict(w, out); err != nil {
				broken = err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	sort.Float64s(services)
	fmt.Fprintf(w, "%d runs: service %.3f to %.3f, median %.3f\n", o.runs, services[0], services[len(services)-1], services[len(services)/2])
	if broken == nil {
		fmt.Fprintln(w, "rules: all kept")
	} else {
		fmt.Fprintln(w, "rules: BROKEN, see above")
	}
	return broken
}

// playSeed runs a copy of a script with its seed increased by offset.
func (o *dayOptions) playSeed(script scenario.Script, offset uint64, dir string) (out *scenario.Outcome, seed uint64, err error) {
	script.Seed += offset
	script.Events = slices.Clone(script.Events)
	if o.processFaults {
		script.AddProcessFaults(script.Seed)
	}
	runDir := filepath.Join(dir, fmt.Sprint(script.Seed))
	if err := os.MkdirAll(runDir, 0o755); err != nil {
		return nil, script.Seed, err
	}
	if out, err = scenario.Run(&script, o.bin, runDir, io.Discard); err != nil {
		return nil, script.Seed, fmt.Errorf("seed %d: %w", script.Seed, err)
	}
	return out, script.Seed, nil
}
