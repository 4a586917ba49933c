package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Inputs records the plan, the machine and the program of a run or an experiment.
type Inputs struct {
	Plan    any    `json:"plan"`
	Seed    uint64 `json:"seed"`
	Machine string `json:"machine"`
	Build   string `json:"build"`
}

// NewInputs returns inputs that describe this machine and this program.
func NewInputs(plan any, seed uint64) Inputs {
	build := runtime.Version()
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" {
				build += " " + setting.Key + "=" + setting.Value
			}
		}
	}
	machine := fmt.Sprintf("%s/%s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	return Inputs{plan, seed, machine, build}
}

// latencyChartQuantiles are the percentiles shown in a latency chart.
var latencyChartQuantiles = []float64{10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99}

// Save writes the result folder of a run: inputs.json, outcome.json and table.txt. If any request succeeded, it also
// writes the charts latency.svg, seconds.svg and p99.svg.
func (o *Outcome) Save(dir string, in Inputs) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := SaveJSON(filepath.Join(dir, "inputs.json"), in); err != nil {
		return err
	}
	if err := SaveJSON(filepath.Join(dir, "outcome.json"), o); err != nil {
		return err
	}
	if err := o.saveTable(filepath.Join(dir, "table.txt")); err != nil {
		return err
	}
	if o.latencies.TotalCount() == 0 {
		return nil
	}
	return o.saveCharts(dir)
}

func (o *Outcome) saveTable(file string) (err error) {
	table, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, table.Close()) }()
	o.Print(table)
	return nil
}

func (o *Outcome) saveCharts(dir string) error {
	latency := plotter.XYs{}
	for _, q := range latencyChartQuantiles {
		latency = append(latency, plotter.XY{X: -math.Log10(1 - q/100), Y: float64(o.latencies.ValueAtQuantile(q)) / 1e3})
	}
	offered, inObjective, p99 := plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	for i, second := range o.Seconds {
		x := float64(i)
		offered = append(offered, plotter.XY{X: x, Y: float64(second.Offered)})
		inObjective = append(inObjective, plotter.XY{X: x, Y: float64(second.InObjective)})
		p99 = append(p99, plotter.XY{X: x, Y: 1e3 * second.P99})
	}
	err := Chart(filepath.Join(dir, "latency.svg"), "Latency from the intended time", "quantile, in nines", "ms", []Line{{"acked", latency}})
	if err != nil {
		return err
	}
	err = Chart(filepath.Join(dir, "seconds.svg"), "Commands by second", "s", "commands",
		[]Line{{"offered", offered}, {"within the target", inObjective}})
	if err != nil {
		return err
	}
	return Chart(filepath.Join(dir, "p99.svg"), "p99 by second", "s", "ms", []Line{{"acked", p99}})
}

// SaveJSON writes a value as indented JSON.
func SaveJSON(file string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

// Line is a line of a chart.
type Line struct {
	Name   string
	Points plotter.XYs
}

var lineColors = []color.Color{
	color.RGBA{20, 80, 160, 255}, color.RGBA{200, 80, 20, 255}, color.RGBA{40, 140, 60, 255}, color.RGBA{120, 40, 140, 255},
}

// Chart draws lines into a file whose extension selects SVG or PNG. Lines without points are omitted.
func Chart(file, title, xLabel, yLabel string, lines []Line) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, xLabel, yLabel
	chart.Y.Min = 0
	chart.Legend.Top, chart.Legend.Left = true, true
	chart.Add(plotter.NewGrid())
	for i, line := range lines {
		if len(line.Points) == 0 {
			continue
		}
		curve, points, err := plotter.NewLinePoints(line.Points)
		if err != nil {
			return err
		}
		curve.Color, points.Color = lineColors[i%len(lineColors)], lineColors[i%len(lineColors)]
		chart.Add(curve, points)
		chart.Legend.Add(line.Name, curve)
	}
	return chart.Save(16*vg.Centimeter, 9*vg.Centimeter, file)
}
