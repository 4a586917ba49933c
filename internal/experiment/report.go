package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot/plotter"

	"flintspread/internal/loadgen"
)

const (
	bytesPerMebibyte = 1 << 20
	reportTableHead  = "| rate | variant | goodput a second | service | batch-table | no answer in time | p99, ms | shed | counted memory, MiB" +
		" | resident, MiB | recovered, s | valid |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
)

// column is a column of the report's table: a value of each run and its format.
type column struct {
	value  func(*Result) float64
	format string
}

func goodput(r *Result) float64 { return r.Load.Goodput }

// reportColumns are the columns between "variant" and "valid" in reportTableHead.
var reportColumns = []column{
	{goodput, "%.0f"},
	{func(r *Result) float64 { return r.Load.Service }, "%.3f"},
	{(*Result).batchService, "%.4f"},
	{func(r *Result) float64 { return float64(r.unanswered()) }, "%.0f"},
	{func(r *Result) float64 { return 1e3 * r.Load.Latency.P99 }, "%.0f"},
	{func(r *Result) float64 { return r.Shed }, "%.0f"},
	{func(r *Result) float64 { return r.MemoryPeakBytes / bytesPerMebibyte }, "%.1f"},
	{func(r *Result) float64 { return float64(r.ResidentBytes) / bytesPerMebibyte }, "%.0f"},
	{func(r *Result) float64 { return r.RecoveredSeconds }, "%.0f"},
}

// formatSpread formats the median of sorted values, followed by the lowest and the highest value.
func formatSpread(sorted []float64, format string) string {
	switch len(sorted) {
	case 0:
		return "no valid run"
	case 1:
		return fmt.Sprintf(format, sorted[0])
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", median(sorted), sorted[0], sorted[len(sorted)-1])
}

// writeReport writes report.md and its charts from the saved runs.
func (x *Experiment) writeReport(dir string, rateScale float64) error {
	results, err := ReadResults(dir)
	if err != nil {
		return err
	}
	cells := byCell(results)
	var b strings.Builder
	in := loadgen.NewInputs(nil, x.Seed)
	fmt.Fprintf(&b, "# %s\n\n%d runs of %g s each, %d per cell, variants interleaved; seed %d; %s; %s. Router on %d processors (0: all), %d endpoints, %d connections.\n",
		x.Title, len(results), x.LengthSeconds, x.Repeats, x.Seed, in.Machine, in.Build, x.MaxProcs, x.Endpoints, x.MaxConns)
	if x.RatesAreRelative {
		fmt.Fprintf(&b, "Rates are multiples of %.0f requests/s, the highest rate at which the router without load shedding served a share of 0.99 within the latency objectives.\n", rateScale)
	}
	b.WriteString("Values are medians of the valid runs, with the lowest and the highest value.\n\n" + reportTableHead)
	for _, variant := range x.Variants {
		for _, rate := range x.Rates {
			b.WriteString(tableRow(cell{variant.Name, rate}, cells[cell{variant.Name, rate}]))
		}
	}
	b.WriteString("\n![goodput](goodput.svg)\n\n![batch-table](batch-table.svg)\n")
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(b.String()), 0o644); err != nil {
		return err
	}
	err = loadgen.Chart(filepath.Join(dir, "goodput.svg"), "Commands answered within the target", "offered", "a second",
		x.medianLines(cells, goodput))
	if err != nil {
		return err
	}
	return loadgen.Chart(filepath.Join(dir, "batch-table.svg"), "batch-table within the target", "offered", "share",
		x.medianLines(cells, (*Result).batchService))
}

func tableRow(at cell, runs []*Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %g | %s ", at.rate, at.variant)
	for _, column := range reportColumns {
		fmt.Fprintf(&b, "| %s ", formatSpread(sortedValidValues(runs, column.value), column.format))
	}
	fmt.Fprintf(&b, "| %d of %d |\n", len(sortedValidValues(runs, goodput)), len(runs))
	return b.String()
}

// medianLines returns a line per variant: the median of a value at each rate. Rates without a valid run are omitted.
func (x *Experiment) medianLines(cells map[cell][]*Result, value func(*Result) float64) (lines []loadgen.Line) {
	for _, variant := range x.Variants {
		points := plotter.XYs{}
		for _, rate := range x.Rates {
			if values := sortedValidValues(cells[cell{variant.Name, rate}], value); len(values) > 0 {
				points = append(points, plotter.XY{X: rate, Y: median(values)})
			}
		}
		lines = append(lines, loadgen.Line{Name: variant.Name, Points: points})
	}
	return lines
}
