package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"flintspread/internal/loadgen"
)

// Run plays the runs of the grid that the folder dir does not hold yet, variants in turn within each rate and repeat, and writes the
// report. bin is the folder of the router. progress gets a line for each run.
func (x *Experiment) Run(ctx context.Context, bin, dir string, progress io.Writer) error {
	if err := os.MkdirAll(filepath.Join(dir, "runs"), 0o755); err != nil {
		return err
	}
	if err := x.claim(dir); err != nil {
		return err
	}
	rateScale, err := x.rateScale(ctx, bin, dir, progress)
	if err != nil {
		return err
	}
	for repeat := range x.Repeats {
		for _, rate := range x.Rates {
			for i := range x.Variants {
				variant := x.Variants[(i+repeat)%len(x.Variants)] // each comes first in its turn
				g := gridRun{variant, rate, rate * rateScale, x.idleRate(rateScale), repeat}
				if err := x.playUnlessKept(ctx, bin, dir, g, progress); err != nil {
					return err
				}
			}
		}
	}
	return x.writeReport(dir, rateScale)
}

// gridRun is one run of the grid.
type gridRun struct {
	variant          Variant
	rate             float64 // as the experiment names it
	offeredPerSecond float64
	idlePerSecond    float64 // before and after the run
	repeat           int     // from 0 on
}

// file is where a folder keeps the run's result.
func (g gridRun) file(dir string) string {
	return filepath.Join(dir, "runs", fmt.Sprintf("%s-%g-%d.json", g.variant.Name, g.rate, g.repeat))
}

// claim writes the experiment's inputs into its folder. A folder with another experiment's inputs is refused.
func (x *Experiment) claim(dir string) error {
	file := filepath.Join(dir, "inputs.json")
	text, err := os.ReadFile(file)
	if err != nil {
		return loadgen.SaveJSON(file, loadgen.NewInputs(x, x.Seed))
	}
	var kept loadgen.Inputs
	if err := json.Unmarshal(text, &kept); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	same, err := sameJSON(kept.Plan, x)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if !same {
		return fmt.Errorf("%s: another experiment's runs lie there", dir)
	}
	return nil
}

// rateScale is the number of requests a second that a rate of 1 stands for: the capacity, which is found once and kept, or 1.
func (x *Experiment) rateScale(ctx context.Context, bin, dir string, progress io.Writer) (float64, error) {
	if !x.RatesAreRelative {
		return 1, nil
	}
	var capacity float64
	file := filepath.Join(dir, "capacity.json")
	text, err := os.ReadFile(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		fmt.Fprintln(progress, "looking for the capacity")
		if capacity, err = x.Capacity(ctx, bin, progress); err != nil {
			return 0, err
		}
		err = loadgen.SaveJSON(file, capacity)
	case err == nil:
		err = json.Unmarshal(text, &capacity)
	}
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(progress, "capacity: %.0f commands a second\n", capacity)
	return capacity, nil
}

// playUnlessKept plays one run and keeps its result, unless the folder holds it.
func (x *Experiment) playUnlessKept(ctx context.Context, bin, dir string, g gridRun, progress io.Writer) error {
	file := g.file(dir)
	if _, err := os.Stat(file); err == nil {
		return nil
	}
	r, err := x.play(ctx, bin, g)
	if err != nil {
		return err
	}
	fmt.Fprintf(progress, "%s at %g, run %d: goodput %.0f a second, service %.4f, batch-table %.4f, p99 %.1f ms, valid %t\n",
		g.variant.Name, g.rate, g.repeat+1, r.Load.Goodput, r.Load.Service, r.batchService(), 1e3*r.Load.Latency.P99, r.Load.Valid)
	// Whole or not at all: an experiment that is killed here goes on with this run.
	if err := loadgen.SaveJSON(file+".part", r); err != nil {
		return err
	}
	return os.Rename(file+".part", file)
}

// play plays one run on a bench of its own.
func (x *Experiment) play(ctx context.Context, bin string, g gridRun) (*Result, error) {
	b, err := Start(RouterOptions{
		Bin: bin, MaxProcs: x.MaxProcs, Shed: g.variant.Shed, MemoryBytes: g.variant.MemoryBytes, Endpoints: x.Endpoints,
	})
	if err != nil {
		return nil, err
	}
	defer b.stopOrWarn()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if x.LeadInSeconds > 0 {
		if _, err := loadgen.Run(ctx, x.plan(b, g.idlePerSecond, x.LeadInSeconds), nil); err != nil {
			return nil, err
		}
	}
	b.InjectFaults(ctx, x.Faults)
	load, err := loadgen.Run(ctx, x.measuredPlan(b, g), nil)
	if err != nil {
		return nil, err
	}
	r := &Result{Variant: g.variant.Name, Rate: g.rate, Repeat: g.repeat, OfferedPerSecond: g.offeredPerSecond, Load: load}
	if r.Shed, err = b.Metric("flintedge_shed_total"); err != nil {
		return nil, err
	}
	if r.MemoryPeakBytes, err = b.Metric("flintedge_memory_peak_bytes"); err != nil {
		r.MemoryPeakBytes = 0 // the router does not count its memory
	}
	if r.ResidentBytes, err = b.Resident(); err != nil {
		return nil, err
	}
	if x.RecoverySeconds > 0 {
		r.RecoveredSeconds = recoveredAfter(load, x.LengthSeconds)
	}
	return r, nil
}

// recoveredObjectiveDivisor makes the p99 that counts as recovered out of the shortest latency objective.
const recoveredObjectiveDivisor = 3

// recoveredAfter is the time, in seconds from when the load fell, until a second in which each request succeeded, 99 in 100 of them
// within a third of the shortest latency objective; -1 if there is none.
func recoveredAfter(load *loadgen.Outcome, fellAt float64) float64 {
	limit := Classes()[0].LatencyObjectiveSeconds / recoveredObjectiveDivisor
	for i := int(fellAt); i < len(load.Seconds); i++ {
		s := load.Seconds[i]
		if s.Offered > 0 && s.P99 < limit && s.Rejected+s.Unanswered == 0 {
			return float64(i) - fellAt
		}
	}
	return -1
}

// sameJSON reports whether two values have the same JSON, whatever the order of their keys.
func sameJSON(a, b any) (bool, error) {
	canonicalA, err := canonicalJSON(a)
	if err != nil {
		return false, err
	}
	canonicalB, err := canonicalJSON(b)
	if err != nil {
		return false, err
	}
	return bytes.Equal(canonicalA, canonicalB), nil
}

// canonicalJSON marshals a value by way of maps, which are written in the order of their keys.
func canonicalJSON(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	var generic any
	if err := json.Unmarshal(text, &generic); err != nil {
		return nil, err
	}
	return json.Marshal(generic)
}
