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

// configVersionIntervalSeconds is the interval of the configuration versions that --config-storm sends.
const configVersionIntervalSeconds = 1

// scenarioOptions are the flags of the day command, which runs a scenario.
type scenarioOptions struct {
	jsonFile      string // file for the outcome; empty: none
	bin           string // folder with the binaries of the router and the controller
	keep          string // folder for the files of the run; empty: a temporary one
	seed          uint64 // 0: the seed of the script
	processFaults bool   // add random faults of controllers and routers
	configStorm   bool   // send configuration versions during the run
	health        bool   // without a file, run the scenario of query servers
	runs          int
	jobs          int // concurrent runs
}

func scenarioCommand() *cobra.Command {
	var o scenarioOptions
	cmd := &cobra.Command{
		Use:   "day [FILE]",
		Short: "Run the scenario in FILE, or the built-in bad-day.edn, and check the invariants",
		Args:  cobra.MaximumNArgs(1),
	}
	f := cmd.Flags()
	f.StringVar(&o.jsonFile, "json", "", "also write the outcome to this file, as JSON")
	f.StringVar(&o.bin, "bin", "", "folder with flintspread-router and flintspread-controller (default: the folder of this program)")
	f.StringVar(&o.keep, "keep", "", "folder for the settings, state and logs of all processes (default: a temporary folder, deleted at the end)")
	f.Uint64Var(&o.seed, "seed", 0, "seed of the scenario and its process faults (default: that of the script)")
	f.BoolVar(&o.processFaults, "planner-kills", false, "also kill, pause and restart controllers and routers; without FILE, run the built-in planner-day.edn")
	f.BoolVar(&o.health, "health", false, "without FILE, run the built-in health-day.edn, in which query servers fail in one way after another")
	f.BoolVar(&o.configStorm, "config-storm", false, "send a configuration version each second from control services, on average one in three invalid")
	f.IntVar(&o.runs, "runs", 1, "number of runs, each with the next seed")
	f.IntVar(&o.jobs, "jobs", 1, "number of concurrent runs")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		script, err := o.readScript(args)
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
			return o.runSeeds(cmd.OutOrStdout(), *script, dir)
		}
		return o.runOnce(cmd, script, dir)
	}
	return cmd
}

// readScript reads the script that flags and arguments select.
func (o *scenarioOptions) readScript(args []string) (*scenario.Script, error) {
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
		script.ConfigStorm = &scenario.ConfigStorm{IntervalSeconds: configVersionIntervalSeconds}
	}
	return script, nil
}

// runOnce runs a script and prints the outcome.
func (o *scenarioOptions) runOnce(cmd *cobra.Command, script *scenario.Script, dir string) error {
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

// runSeeds runs a script with consecutive seeds, up to jobs of them concurrently, and prints a line for each.
func (o *scenarioOptions) runSeeds(w io.Writer, script scenario.Script, dir string) error {
	var mu sync.Mutex
	var broken error // errRuleBroken after a run that broke a rule
	var serviceValues []float64
	var group errgroup.Group
	group.SetLimit(o.jobs)
	for i := range o.runs {
		group.Go(func() error {
			out, seed, err := o.runSeed(script, uint64(i), dir)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			serviceValues = append(serviceValues, out.Service)
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
	sort.Float64s(serviceValues)
	fmt.Fprintf(w, "%d runs: service %.3f to %.3f, median %.3f\n", o.runs, serviceValues[0], serviceValues[len(serviceValues)-1], serviceValues[len(serviceValues)/2])
	if broken == nil {
		fmt.Fprintln(w, "rules: all kept")
	} else {
		fmt.Fprintln(w, "rules: BROKEN, see above")
	}
	return broken
}

// runSeed runs a copy of a script with its seed increased by offset, and returns that seed.
func (o *scenarioOptions) runSeed(script scenario.Script, offset uint64, dir string) (out *scenario.Outcome, seed uint64, err error) {
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
