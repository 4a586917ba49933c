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

// Run executes the runs of the grid that are not yet saved in the folder dir, and writes the report. The variants are
// interleaved: within each repeat and rate, every variant runs once. bin is the folder of the router program. A line
// for each run is written to progress.
func (x *Experiment) Run(ctx context.Context, bin, dir string, progress io.Writer) error {
	if err := os.MkdirAll(filepath.Join(dir, "runs"), 0o755); err != nil {
		return err
	}
	if err := x.writeOrCheckInputs(dir); err != nil {
		return err
	}
	rateScale, err := x.rateScale(ctx, bin, dir, progress)
	if err != nil {
		return err
	}
	for repeat := range x.Repeats {
		for _, rate := range x.Rates {
			for i := range x.Variants {
				variant := x.Variants[(i+repeat)%len(x.Variants)] // the variant that runs first rotates with the repeat
				g := gridRun{variant, rate, rate * rateScale, x.idleRate(rateScale), repeat}
				if err := x.executeUnlessSaved(ctx, bin, dir, g, progress); err != nil {
					return err
				}
			}
		}
	}
	return x.writeReport(dir, rateScale)
}

// gridRun is a run of the grid.
type gridRun struct {
	variant          Variant
	rate             float64 // as in the experiment's Rates
	offeredPerSecond float64
	idlePerSecond    float64 // before and after the run
	repeat           int     // starting at 0
}

// file returns the path of the run's result within the experiment's folder.
func (g gridRun) file(dir string) string {
	return filepath.Join(dir, "runs", fmt.Sprintf("%s-%g-%d.json", g.variant.Name, g.rate, g.repeat))
}

// writeOrCheckInputs writes the experiment's inputs into its folder. If the folder already has inputs, they must be
// those of the same experiment.
func (x *Experiment) writeOrCheckInputs(dir string) error {
	file := filepath.Join(dir, "inputs.json")
	text, err := os.ReadFile(file)
	if err != nil {
		return loadgen.SaveJSON(file, loadgen.NewInputs(x, x.Seed))
	}
	var saved loadgen.Inputs
	if err := json.Unmarshal(text, &saved); err != nil {
		return fmt.Errorf("failed to parse %s: %w", file, err)
	}
	same, err := sameJSON(saved.Plan, x)
	if err != nil {
		return fmt.Errorf("failed to compare the experiment with %s: %w", file, err)
	}
	if !same {
		return fmt.Errorf("folder %s has the runs of another experiment", dir)
	}
	return nil
}

// rateScale returns the requests per second that correspond to a rate of 1: the capacity if rates are relative,
// otherwise 1. The capacity is measured once and saved in the folder.
func (x *Experiment) rateScale(ctx context.Context, bin, dir string, progress io.Writer) (float64, error) {
	if !x.RatesAreRelative {
		return 1, nil
	}
	var capacity float64
	file := filepath.Join(dir, "capacity.json")
	text, err := os.ReadFile(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		fmt.Fprintln(progress, "searching for the capacity")
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
	fmt.Fprintf(progress, "capacity: %.0f requests/s\n", capacity)
	return capacity, nil
}

// executeUnlessSaved executes a run and saves its result, unless the folder already has the result.
func (x *Experiment) executeUnlessSaved(ctx context.Context, bin, dir string, g gridRun, progress io.Writer) error {
	file := g.file(dir)
	if _, err := os.Stat(file); err == nil {
		return nil
	}
	r, err := x.executeRun(ctx, bin, g)
	if err != nil {
		return err
	}
	fmt.Fprintf(progress, "%s at %g, run %d: goodput %.0f requests/s, service %.4f, batch-table %.4f, p99 %.1f ms, valid %t\n",
		g.variant.Name, g.rate, g.repeat+1, r.Load.Goodput, r.Load.Service, r.batchService(), 1e3*r.Load.Latency.P99, r.Load.Valid)
	// Rename the complete file, so that an experiment that is killed here repeats this run instead of finding a
	// truncated result.
	if err := loadgen.SaveJSON(file+".part", r); err != nil {
		return err
	}
	return os.Rename(file+".part", file)
}

// executeRun executes a run on a new bench.
func (x *Experiment) executeRun(ctx context.Context, bin string, g gridRun) (*Result, error) {
	bench, err := Start(RouterOptions{
		Bin: bin, MaxProcs: x.MaxProcs, Shed: g.variant.Shed, MemoryBytes: g.variant.MemoryBytes, Endpoints: x.Endpoints,
	})
	if err != nil {
		return nil, err
	}
	defer bench.stopOrWarn()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if x.LeadInSeconds > 0 {
		if _, err := loadgen.Run(ctx, x.plan(bench, g.idlePerSecond, x.LeadInSeconds), nil); err != nil {
			return nil, err
		}
	}
	bench.InjectFaults(ctx, x.Faults)
	load, err := loadgen.Run(ctx, x.measuredPlan(bench, g), nil)
	if err != nil {
		return nil, err
	}
	r := &Result{Variant: g.variant.Name, Rate: g.rate, Repeat: g.repeat, OfferedPerSecond: g.offeredPerSecond, Load: load}
	if r.Shed, err = bench.Metric("flintedge_shed_total"); err != nil {
		return nil, err
	}
	if r.MemoryPeakBytes, err = bench.Metric("flintedge_memory_peak_bytes"); err != nil {
		r.MemoryPeakBytes = 0 // the router does not count its memory
	}
	if r.ResidentBytes, err = bench.ResidentBytes(); err != nil {
		return nil, err
	}
	if x.RecoverySeconds > 0 {
		r.RecoveredSeconds = recoverySeconds(load, x.LengthSeconds)
	}
	return r, nil
}

// recoveredObjectiveDivisor divides the shortest latency objective to give the p99 below which a second counts as
// recovered.
const recoveredObjectiveDivisor = 3

// recoverySeconds returns the time from the drop of the load until the first second with load in which no request was
// rejected or unanswered and p99 was below a third of the shortest latency objective. It returns -1 if there is no such
// second.
func recoverySeconds(load *loadgen.Outcome, loadDroppedAt float64) float64 {
	limit := Classes()[0].LatencyObjectiveSeconds / recoveredObjectiveDivisor
	for i := int(loadDroppedAt); i < len(load.Seconds); i++ {
		s := load.Seconds[i]
		if s.Offered > 0 && s.P99 < limit && s.Rejected+s.Unanswered == 0 {
			return float64(i) - loadDroppedAt
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

// canonicalJSON marshals a value with sorted keys. It decodes the value's JSON into maps, whose keys encoding/json sorts.
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
