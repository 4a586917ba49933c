package loadgen

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// ending is what became of a command.
type ending int

const (
	acked ending = iota
	nacked
	failed
	gaveUp    // its client's time was over
	broken    // the connection ended under it
	unreached // no connection could be had
	again     // another try follows
)

var endingNames = [...]string{"acked", "nacked", "failed", "gave up", "broken", "unreached"}

// Quantiles are of a time, s.
type Quantiles struct {
	N    int64   `json:"n"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Most float64 `json:"most"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e6}
}

// OpOutcome is what became of one op type's commands.
type OpOutcome struct {
	Name     string         `json:"name"`
	Offered  int            `json:"offered"`
	InTarget int            `json:"in_target"`
	Ends     map[string]int `json:"ends"`
	Service  float64        `json:"service"` // in target over offered
	Latency  Quantiles      `json:"latency"` // of the acked, from the time that the command was meant to be sent
}

// Second is one second of a run, by the time that commands were meant to be sent.
type Second struct {
	Offered  int     `json:"offered"`
	InTarget int     `json:"in_target"`
	Nacked   int     `json:"nacked"`
	GaveUp   int     `json:"gave_up"` // and broken and unreached
	P99      float64 `json:"p99"`     // of the acked
	hist     *hdrhistogram.Histogram
}

// Outcome is what a run showed.
type Outcome struct {
	Length  float64     `json:"length"`
	Offered int         `json:"offered"`
	Retried int         `json:"retried"`
	Goodput float64     `json:"goodput"` // answered within the target, a second
	Service float64     `json:"service"`
	Latency Quantiles   `json:"latency"`
	Ops     []OpOutcome `json:"ops"`
	Seconds []*Second   `json:"seconds"`
	OwnLag  Quantiles   `json:"own_lag"` // from when a command was meant to be sent to when it was, with a connection free for it
	Valid   bool        `json:"valid"`
	Why     string      `json:"why,omitempty"`

	all, own *hdrhistogram.Histogram
	ops      []*hdrhistogram.Histogram
	targets  []float64
	ends     int
}

const longest = 120_000_000 // µs

func newOutcome(p *Plan) *Outcome {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }
	o := &Outcome{all: hist(), own: hist()}
	for _, op := range p.Ops {
		o.Ops = append(o.Ops, OpOutcome{Name: op.Name, Ends: map[string]int{}})
		o.ops, o.targets = append(o.ops, hist()), append(o.targets, op.Target)
	}
	return o
}

func micros(s float64) int64 { return max(1, min(longest, int64(math.Round(s*1e6)))) }

func (o *Outcome) lag(s float64) { record(o.own, s) }

// record enters a time into a histogram.
func record(h *hdrhistogram.Histogram, seconds float64) {
	if err := h.RecordValue(micros(seconds)); err != nil {
		panic(err) // micros keeps the value within the histogram's range
	}
}

func (o *Outcome) second(at float64) *Second {
	for len(o.Seconds) <= int(at) {
		o.Seconds = append(o.Seconds, &Second{hist: hdrhistogram.New(1, longest, 2)})
	}
	return o.Seconds[int(at)]
}

func (o *Outcome) began(s *sending) {
	o.Offered++
	o.Ops[s.op].Offered++
	o.second(s.first).Offered++
}

func (o *Outcome) ended(s *sending, now float64, kind ending) {
	o.ends++
	op, sec := &o.Ops[s.op], o.second(s.first)
	op.Ends[endingNames[kind]]++
	switch kind {
	case acked:
		took := now - s.first
		record(o.all, took)
		record(o.ops[s.op], took)
		record(sec.hist, took)
		if took <= o.targets[s.op] {
			op.InTarget++
			sec.InTarget++
		}
	case nacked, failed:
		sec.Nacked++
	default:
		sec.GaveUp++
	}
}

func (o *Outcome) open() int { return o.Offered - o.ends }

// finish fills what is reckoned from the rest.
func (o *Outcome) finish(p *Plan) {
	in := 0
	for i := range o.Ops {
		op := &o.Ops[i]
		op.Latency = quantiles(o.ops[i])
		op.Service = float64(op.InTarget) / float64(max(1, op.Offered))
		in += op.InTarget
	}
	span := p.Shape.Length
	if p.Shape.Kind == "trace" {
		span = max(1, p.Shape.Trace[len(p.Shape.Trace)-1].At)
	}
	o.Goodput, o.Service = float64(in)/span, float64(in)/float64(max(1, o.Offered))
	o.Latency, o.OwnLag = quantiles(o.all), quantiles(o.own)
	for _, s := range o.Seconds {
		s.P99 = quantiles(s.hist).P99
	}
	o.Valid = p.Lag <= 0 || o.OwnLag.P99 <= p.Lag
	if !o.Valid {
		o.Why = fmt.Sprintf("the generator itself was late: %.4f s at the 99th part of a hundred, %.4f s allowed", o.OwnLag.P99, p.Lag)
	}
}

// Print writes a table.
func (o *Outcome) Print(w io.Writer) {
	fmt.Fprintf(w, "%-16s %9s %8s %8s %8s %8s %8s %9s %9s %9s\n", "op type", "offered", "service", "acked", "nacked", "failed", "gave up", "p50 ms", "p99 ms", "most ms")
	for _, op := range o.Ops {
		fmt.Fprintf(w, "%-16s %9d %8.4f %8d %8d %8d %8d %9.2f %9.2f %9.2f\n", op.Name, op.Offered, op.Service, op.Ends["acked"], op.Ends["nacked"],
			op.Ends["failed"], op.Ends["gave up"]+op.Ends["broken"]+op.Ends["unreached"], 1e3*op.Latency.P50, 1e3*op.Latency.P99, 1e3*op.Latency.Most)
	}
	fmt.Fprintf(w, "offered %d in %.1f s, %d tries again; goodput %.0f a second; own lag p99 %.2f ms\n", o.Offered, o.Length, o.Retried, o.Goodput, 1e3*o.OwnLag.P99)
	if !o.Valid {
		fmt.Fprintln(w, "INVALID:", o.Why)
	}
}

// Inputs names what a run was made with.
type Inputs struct {
	Plan    any    `json:"plan"`
	Seed    uint64 `json:"seed"`
	Machine string `json:"machine"`
	Build   string `json:"build"`
}

// NewInputs describes this machine and build.
func NewInputs(plan any, seed uint64) Inputs {
	build := runtime.Version()
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
				build += " " + s.Key + "=" + s.Value
			}
		}
	}
	return Inputs{plan, seed, fmt.Sprintf("%s/%s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU()), build}
}

// Save writes a run's folder: inputs.json, outcome.json, table.txt, seconds.svg and latency.svg.
func (o *Outcome) Save(dir string, in Inputs) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for name, x := range map[string]any{"inputs.json": in, "outcome.json": o} {
		if err := SaveJSON(filepath.Join(dir, name), x); err != nil {
			return err
		}
	}
	table, err := os.Create(filepath.Join(dir, "table.txt"))
	if err != nil {
		return err
	}
	defer table.Close()
	o.Print(table)
	if o.all.TotalCount() == 0 {
		return nil
	}
	lat := plotter.XYs{}
	for _, q := range []float64{10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99} {
		lat = append(lat, plotter.XY{X: -math.Log10(1 - q/100), Y: float64(o.all.ValueAtQuantile(q)) / 1e3})
	}
	offered, in1, p99 := plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	for i, s := range o.Seconds {
		x := float64(i)
		offered, in1, p99 = append(offered, plotter.XY{X: x, Y: float64(s.Offered)}), append(in1, plotter.XY{X: x, Y: float64(s.InTarget)}), append(p99, plotter.XY{X: x, Y: 1e3 * s.P99})
	}
	return firstError(
		Chart(filepath.Join(dir, "latency.svg"), "Latency from the intended time", "nines of the commands", "ms", []Line{{"acked", lat}}),
		Chart(filepath.Join(dir, "seconds.svg"), "Commands by second", "s", "commands", []Line{{"offered", offered}, {"within the target", in1}}),
		Chart(filepath.Join(dir, "p99.svg"), "p99 by second", "s", "ms", []Line{{"acked", p99}}))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// SaveJSON writes a value, readable.
func SaveJSON(file string, x any) error {
	text, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

// Line is one of a chart's.
type Line struct {
	Name   string
	Points plotter.XYs
}

// Chart draws lines into an SVG or PNG file, by its ending.
func Chart(file, title, x, y string, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	colors := []color.Color{color.RGBA{20, 80, 160, 255}, color.RGBA{200, 80, 20, 255}, color.RGBA{40, 140, 60, 255}, color.RGBA{120, 40, 140, 255}}
	for i, l := range lines {
		if len(l.Points) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(l.Points)
		if err != nil {
			return err
		}
		line.Color, points.Color = colors[i%len(colors)], colors[i%len(colors)]
		p.Add(line, points)
		p.Legend.Add(l.Name, line)
	}
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, file)
}
