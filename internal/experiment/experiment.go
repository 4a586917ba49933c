package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"
	"olympos.io/encoding/edn"

	"flintspread/internal/config"
	"flintspread/internal/loadgen"
)

// Experiment is a grid of runs. Rates are times the capacity that the tool finds itself, or commands a second.
type Experiment struct {
	Title    string    `edn:"title" validate:"required"`
	Seed     uint64    `edn:"seed" validate:"gte=0"`
	Repeats  int       `edn:"repeats" validate:"gt=0,lte=100"`
	Length   float64   `edn:"length" validate:"gt=0"` // s of a run
	Relative bool      `edn:"relative"`               // rates are times the capacity
	Rates    []float64 `edn:"rates" validate:"required,min=1,dive,gt=0"`
	Before   float64   `edn:"before"` // optional: s at half the capacity, or half the first rate, that go unmeasured: connections are made and warm
	After    float64   `edn:"after"`  // optional: s at half the capacity, or half the first rate, after each run, to see it recover
	Shape    string    `edn:"shape" validate:"omitempty,oneof=poisson constant rush"`
	Procs    int       `edn:"procs"` // processors of the edge, 0: all
	Units    int       `edn:"units" validate:"gt=0,lte=100"`
	Conns    int       `edn:"conns" validate:"gt=0,lte=20000"`
	Clients  int       `edn:"clients"`
	Retries  int       `edn:"retries"`
	AtOnce   bool      `edn:"at-once"`
	Lag      float64   `edn:"lag" validate:"gt=0"` // s of the generator's own lag that is allowed
	Variants []Variant `edn:"variants" validate:"required,min=1,dive"`
	Faults   []Event   `edn:"faults"`
}

// Variant is one way to run the edge.
type Variant struct {
	Name   string `edn:"name" validate:"required,alphanum"`
	Shed   bool   `edn:"shed"`
	Memory int64  `edn:"memory" validate:"gte=1048576"`
}

// Event is one fault, as in Fault.
type Event struct {
	Kind edn.Keyword `edn:"kind" validate:"oneof=stop starve pause large"`
	At   float64     `edn:"at" validate:"gte=0"`
	For  float64     `edn:"for" validate:"gt=0"`
	By   float64     `edn:"by"`
}

// ReadExperiment reads and checks a file.
func ReadExperiment(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	x := &Experiment{}
	return x, config.Decode(file, text, x)
}

// Result is one run's.
type Result struct {
	Variant    string           `json:"variant"`
	Rate       float64          `json:"rate"` // as the experiment names it
	Repeat     int              `json:"repeat"`
	ASecond    float64          `json:"a_second"` // offered
	Load       *loadgen.Outcome `json:"load"`
	Shed       float64          `json:"shed"`                // commands
	MemoryPeak float64          `json:"memory_peak"`         // bytes that the edge counted
	Resident   int64            `json:"resident"`            // bytes, at the end of the run
	Recovered  float64          `json:"recovered,omitempty"` // s after the load fell until p99 was below the target of the shortest, -1: not
}

// Capacity finds how many commands a second an edge without shedding serves within the targets, to a twentieth.
func (x *Experiment) Capacity(ctx context.Context, bin string, say io.Writer) (float64, error) {
	b, err := Start(Edge{Bin: bin, Procs: x.Procs, Units: x.Units, Memory: x.Variants[0].Memory})
	if err != nil {
		return 0, err
	}
	defer b.stopOrWarn()
	low, high := 0.0, 0.0
	try := func(rate float64) error {
		o, err := loadgen.Run(ctx, x.plan(b, rate, 3), nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(say, "  %7.0f a second: service %.4f, p99 %.1f ms, own lag %.1f ms\n", rate, o.Service, 1e3*o.Latency.P99, 1e3*o.OwnLag.P99)
		time.Sleep(time.Second) // what is left of it goes
		if o.Service >= 0.99 {
			low = rate
		} else {
			high = rate
		}
		return nil
	}
	for rate := 4000.0; high == 0; rate *= 1.6 {
		if err := try(rate); err != nil {
			return 0, err
		}
		if rate > 1e6 {
			return 0, errors.New("no capacity found up to a million commands a second")
		}
	}
	for high/max(low, 1) > 1.05 && high-low > 100 {
		if err := try((low + high) / 2); err != nil {
			return 0, err
		}
	}
	return low, nil
}

func (x *Experiment) plan(b *Bench, rate, length float64) *loadgen.Plan {
	kind := x.Shape
	if kind == "" {
		kind = "poisson"
	}
	return &loadgen.Plan{Address: b.Address, Shape: loadgen.Shape{Kind: kind, RequestsPerSecond: rate, LengthSeconds: length}, Classes: Ops(), KeyCount: 100000, ZipfExponent: 1.1,
		MaxConns: x.Conns, ClientAddresses: x.Clients, MaxRetries: x.Retries, IgnoreRetryAfter: x.AtOnce, Seed: x.Seed, MaxLagSeconds: x.Lag}
}

// Run plays what of the grid is not in the folder yet, variants in turn within each rate and repeat, and writes the report.
func (x *Experiment) Run(ctx context.Context, bin, dir string, say io.Writer) error {
	if err := os.MkdirAll(filepath.Join(dir, "runs"), 0o755); err != nil {
		return err
	}
	inputs := filepath.Join(dir, "inputs.json")
	now := loadgen.NewInputs(x, x.Seed)
	if text, err := os.ReadFile(inputs); err == nil {
		var was loadgen.Inputs
		if err := json.Unmarshal(text, &was); err != nil {
			return fmt.Errorf("%s: %w", inputs, err)
		}
		same, err := sameJSON(was.Plan, x)
		if err != nil {
			return fmt.Errorf("%s: %w", inputs, err)
		}
		if !same {
			return fmt.Errorf("%s: another experiment's runs lie there", dir)
		}
	} else if err := loadgen.SaveJSON(inputs, now); err != nil {
		return err
	}
	unit := 1.0
	if x.Relative {
		file := filepath.Join(dir, "capacity.json")
		text, err := os.ReadFile(file)
		if errors.Is(err, fs.ErrNotExist) {
			fmt.Fprintln(say, "looking for the capacity")
			if unit, err = x.Capacity(ctx, bin, say); err != nil {
				return err
			}
			err = loadgen.SaveJSON(file, unit)
		} else if err == nil {
			err = json.Unmarshal(text, &unit)
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(say, "capacity: %.0f commands a second\n", unit)
	}
	for repeat := range x.Repeats {
		for _, rate := range x.Rates {
			for i := range x.Variants {
				v := x.Variants[(i+repeat)%len(x.Variants)] // each comes first in its turn
				file := filepath.Join(dir, "runs", fmt.Sprintf("%s-%g-%d.json", v.Name, rate, repeat))
				if _, err := os.Stat(file); err == nil {
					continue
				}
				r, err := x.one(ctx, bin, v, rate, unit, repeat)
				if err != nil {
					return err
				}
				fmt.Fprintf(say, "%s at %g, run %d: goodput %.0f a second, service %.4f, batch-table %.4f, p99 %.1f ms, valid %t\n", v.Name, rate, repeat+1,
					r.Load.Goodput, r.Load.Service, r.Load.Classes[1].Service, 1e3*r.Load.Latency.P99, r.Load.Valid)
				// Whole or not at all: a killed experiment goes on from here.
				if err := loadgen.SaveJSON(file+".part", r); err != nil {
					return err
				}
				if err := os.Rename(file+".part", file); err != nil {
					return err
				}
			}
		}
	}
	return x.report(dir, unit)
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

func (x *Experiment) one(ctx context.Context, bin string, v Variant, rate, unit float64, repeat int) (*Result, error) {
	b, err := Start(Edge{Bin: bin, Procs: x.Procs, Shed: v.Shed, Memory: v.Memory, Units: x.Units})
	if err != nil {
		return nil, err
	}
	defer b.stopOrWarn()
	p := x.plan(b, rate*unit, x.Length)
	p.Seed += uint64(repeat)
	if x.After > 0 {
		p.Shape = loadgen.Shape{Kind: "step", RequestsPerSecond: rate * unit, EndRequestsPerSecond: 0.5 * unit, OnShare: x.Length / (x.Length + x.After), LengthSeconds: x.Length + x.After}
		if !x.Relative {
			p.Shape.EndRequestsPerSecond = 0.5 * x.Rates[0]
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if half := 0.5 * unit; x.Before > 0 {
		if !x.Relative {
			half = 0.5 * x.Rates[0]
		}
		if _, err := loadgen.Run(ctx, x.plan(b, half, x.Before), nil); err != nil {
			return nil, err
		}
	}
	var faults []Fault
	for _, f := range x.Faults {
		faults = append(faults, Fault{string(f.Kind), f.At, f.For, f.By})
	}
	b.Inflict(ctx, faults)
	o, err := loadgen.Run(ctx, p, nil)
	if err != nil {
		return nil, err
	}
	r := &Result{Variant: v.Name, Rate: rate, Repeat: repeat, ASecond: rate * unit, Load: o}
	if r.Shed, err = b.Number("flintedge_shed_total"); err != nil {
		return nil, err
	}
	r.MemoryPeak, _ = b.Number("flintedge_memory_peak_bytes")
	r.Resident, err = b.Resident()
	if x.After > 0 {
		r.Recovered = -1
		for i := int(x.Length); i < len(o.Seconds); i++ {
			if s := o.Seconds[i]; s.Offered > 0 && s.P99 < Ops()[0].LatencyObjectiveSeconds/3 && s.Rejected+s.Unanswered == 0 {
				r.Recovered = float64(i) - x.Length
				break
			}
		}
	}
	return r, err
}

// Results reads the runs of a folder.
func Results(dir string) (list []*Result, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "runs", "*.json"))
	if err != nil {
		return nil, err
	}
	sort.Strings(files)
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		r := &Result{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		list = append(list, r)
	}
	return list, nil
}

type cell struct {
	variant string
	rate    float64
}

func cells(list []*Result) map[cell][]*Result {
	m := map[cell][]*Result{}
	for _, r := range list {
		c := cell{r.Variant, r.Rate}
		m[c] = append(m[c], r)
	}
	return m
}

func values(list []*Result, of func(*Result) float64) (x []float64) {
	for _, r := range list {
		if r.Load.Valid {
			x = append(x, of(r))
		}
	}
	sort.Float64s(x)
	return x
}

func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

// word gives a median and the ends.
func word(x []float64, format string) string {
	if len(x) == 0 {
		return "none valid"
	}
	if len(x) == 1 {
		return fmt.Sprintf(format, x[0])
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", median(x), x[0], x[len(x)-1])
}

// report writes report.md and the charts.
func (x *Experiment) report(dir string, unit float64) error {
	list, err := Results(dir)
	if err != nil {
		return err
	}
	of := cells(list)
	var b strings.Builder
	in := loadgen.NewInputs(nil, x.Seed)
	fmt.Fprintf(&b, "# %s\n\n%d runs of %g s each, %d of each cell, played in turn; seed %d; %s; %s. Edge on %d processors (0: all), %d units, %d connections.\n",
		x.Title, len(list), x.Length, x.Repeats, x.Seed, in.Machine, in.Build, x.Procs, x.Units, x.Conns)
	if x.Relative {
		fmt.Fprintf(&b, "Rates are times %.0f commands a second, the most that the edge without shedding served with 0.99 within the targets.\n", unit)
	}
	b.WriteString("Medians of the valid runs, with the lowest and the highest.\n\n| rate | variant | goodput a second | service | batch-table | no answer in time | p99, ms | shed | counted memory, MiB | resident, MiB | recovered, s | valid |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	var goodput, batch []loadgen.Line
	for _, v := range x.Variants {
		good, bt := plotter.XYs{}, plotter.XYs{}
		for _, rate := range x.Rates {
			runs := of[cell{v.Name, rate}]
			get := func(f func(*Result) float64) []float64 { return values(runs, f) }
			g := get(func(r *Result) float64 { return r.Load.Goodput })
			s := get(func(r *Result) float64 { return r.Load.Classes[1].Service })
			late := get(func(r *Result) float64 {
				n := 0
				for _, op := range r.Load.Classes {
					n += op.Ends["gave up"] + op.Ends["broken"] + op.Ends["unreached"]
				}
				return float64(n)
			})
			if len(g) > 0 {
				good, bt = append(good, plotter.XY{X: rate, Y: median(g)}), append(bt, plotter.XY{X: rate, Y: median(s)})
			}
			fmt.Fprintf(&b, "| %g | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d of %d |\n", rate, v.Name, word(g, "%.0f"),
				word(get(func(r *Result) float64 { return r.Load.Service }), "%.3f"), word(s, "%.4f"), word(late, "%.0f"),
				word(get(func(r *Result) float64 { return 1e3 * r.Load.Latency.P99 }), "%.0f"),
				word(get(func(r *Result) float64 { return r.Shed }), "%.0f"), word(get(func(r *Result) float64 { return r.MemoryPeak / (1 << 20) }), "%.1f"),
				word(get(func(r *Result) float64 { return float64(r.Resident) / (1 << 20) }), "%.0f"),
				word(get(func(r *Result) float64 { return r.Recovered }), "%.0f"), len(g), len(runs))
		}
		goodput, batch = append(goodput, loadgen.Line{Name: v.Name, Points: good}), append(batch, loadgen.Line{Name: v.Name, Points: bt})
	}
	b.WriteString("\n![goodput](goodput.svg)\n\n![batch-table](batch-table.svg)\n")
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(b.String()), 0o644); err != nil {
		return err
	}
	if err := loadgen.Chart(filepath.Join(dir, "goodput.svg"), "Commands answered within the target", "offered", "a second", goodput); err != nil {
		return err
	}
	return loadgen.Chart(filepath.Join(dir, "batch-table.svg"), "batch-table within the target", "offered", "share", batch)
}

// Compare tells, cell by cell, the ratio of goodput of B's runs over A's with a 95% interval by resampling, and whether that is
// a difference or noise.
func Compare(a, b string, w io.Writer) error {
	la, err := Results(a)
	if err != nil {
		return err
	}
	lb, err := Results(b)
	if err != nil {
		return err
	}
	ca, cb := cells(la), cells(lb)
	var keys []cell
	for k := range ca {
		if cb[k] != nil {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return errors.New("no cell is in both")
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].variant < keys[j].variant || keys[i].variant == keys[j].variant && keys[i].rate < keys[j].rate
	})
	for _, k := range keys {
		good := func(r *Result) float64 { return r.Load.Goodput }
		x, y := values(ca[k], good), values(cb[k], good)
		low, high := interval(x, y)
		what := "noise"
		switch {
		case len(x) < 3 || len(y) < 3:
			what = "too few runs to tell"
		case low > 1 || high < 1:
			what = "a difference"
		}
		fmt.Fprintf(w, "%s at %g: goodput %.0f and %.0f, ratio %.3f, 95%% from %.3f to %.3f: %s\n", k.variant, k.rate, median(x), median(y),
			median(y)/median(x), low, high, what)
	}
	return nil
}

// interval resamples both sides and gives the middle 95% of the medians' ratios.
func interval(x, y []float64) (low, high float64) {
	if len(x) == 0 || len(y) == 0 {
		return 0, 0
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func(of []float64) float64 {
		some := make([]float64, len(of))
		for i := range some {
			some[i] = of[rnd.IntN(len(of))]
		}
		sort.Float64s(some)
		return median(some)
	}
	ratios := make([]float64, 2000)
	for i := range ratios {
		ratios[i] = draw(y) / draw(x)
	}
	sort.Float64s(ratios)
	return ratios[50], ratios[1949]
}
