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
	mebibyte        = 1 << 20
	reportTableHead = "| rate | variant | goodput a second | service | batch-table | no answer in time | p99, ms | shed | counted memory, MiB" +
		" | resident, MiB | recovered, s | valid |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
)

// column is a column of the report's table.
type column struct {
	value  func(*Result) float64
	format string
}

func goodput(r *Result) float64 { return r.Load.Goodput }

// reportColumns are those between variant and valid.
var reportColumns = []column{
	{goodput, "%.0f"},
	{func(r *Result) float64 { return r.Load.Service }, "%.3f"},
	{(*Result).batchService, "%.4f"},
	{func(r *Result) float64 { return float64(r.unanswered()) }, "%.0f"},
	{func(r *Result) float64 { return 1e3 * r.Load.Latency.P99 }, "%.0f"},
	{func(r *Result) float64 { return r.Shed }, "%.0f"},
	{func(r *Result) float64 { return r.MemoryPeakBytes / mebibyte }, "%.1f"},
	{func(r *Result) float64 { return float64(r.ResidentBytes) / mebibyte }, "%.0f"},
	{func(r *Result) float64 { return r.RecoveredSeconds }, "%.0f"},
}

// spread words the median of sorted values with the lowest and the highest.
func spread(sorted []float64, format string) string {
	switch len(sorted) {
	case 0:
		return "none valid"
	case 1:
		return fmt.Sprintf(format, sorted[0])
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", median(sorted), sorted[0], sorted[len(sorted)-1])
}

// writeReport writes report.md and its charts.
func (x *Experiment) writeReport(dir string, rateScale float64) error {
	results, err := Results(dir)
	if err != nil {
		return err
	}
	cells := byCell(results)
	var b strings.Builder
	in := loadgen.NewInputs(nil, x.Seed)
	fmt.Fprintf(&b, "# %s\n\n%d runs of %g s each, %d of each cell, played in turn; seed %d; %s; %s. Edge on %d processors (0: all), %d units, %d connections.\n",
		x.Title, len(results), x.LengthSeconds, x.Repeats, x.Seed, in.Machine, in.Build, x.MaxProcs, x.Endpoints, x.MaxConns)
	if x.RatesAreRelative {
		fmt.Fprintf(&b, "Rates are times %.0f commands a second, the most that the edge without shedding served with 0.99 within the targets.\n", rateScale)
	}
	b.WriteString("Medians of the valid runs, with the lowest and the highest.\n\n" + reportTableHead)
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
		fmt.Fprintf(&b, "| %s ", spread(validValues(runs, column.value), column.format))
	}
	fmt.Fprintf(&b, "| %d of %d |\n", len(validValues(runs, goodput)), len(runs))
	return b.String()
}

// medianLines gives a line for each variant, of the medians of a value by rate. Rates without a valid run are left out.
func (x *Experiment) medianLines(cells map[cell][]*Result, value func(*Result) float64) (lines []loadgen.Line) {
	for _, variant := range x.Variants {
		points := plotter.XYs{}
		for _, rate := range x.Rates {
			if values := validValues(cells[cell{variant.Name, rate}], value); len(values) > 0 {
				points = append(points, plotter.XY{X: rate, Y: median(values)})
			}
		}
		lines = append(lines, loadgen.Line{Name: variant.Name, Points: points})
	}
	return lines
}
