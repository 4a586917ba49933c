package experiment

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
)

const (
	minComparedRuns = 3 // of a cell, on each side
	resamples       = 2000
	// The resampled ratios at these places, in order, hold the middle 95 in 100 between them.
	intervalLow  = 50
	intervalHigh = 1949
)

// Compare tells, cell by cell, the ratio of the goodput of the runs in folder b to that of those in folder a, with a 95% interval by
// resampling, and whether that is a difference or noise.
func Compare(a, b string, w io.Writer) error {
	resultsA, err := Results(a)
	if err != nil {
		return err
	}
	resultsB, err := Results(b)
	if err != nil {
		return err
	}
	cellsA, cellsB := byCell(resultsA), byCell(resultsB)
	common := commonCells(cellsA, cellsB)
	if len(common) == 0 {
		return errors.New("no cell is in both")
	}
	for _, at := range common {
		x, y := validValues(cellsA[at], goodput), validValues(cellsB[at], goodput)
		low, high := ratioInterval(x, y)
		fmt.Fprintf(w, "%s at %g: goodput %.0f and %.0f, ratio %.3f, 95%% from %.3f to %.3f: %s\n", at.variant, at.rate, median(x), median(y),
			median(y)/median(x), low, high, judge(len(x), len(y), low, high))
	}
	return nil
}

// commonCells gives the cells that are in both, by variant and rate.
func commonCells(a, b map[cell][]*Result) (common []cell) {
	for at := range a {
		if b[at] != nil {
			common = append(common, at)
		}
	}
	sort.Slice(common, func(i, j int) bool {
		if common[i].variant != common[j].variant {
			return common[i].variant < common[j].variant
		}
		return common[i].rate < common[j].rate
	})
	return common
}

// judge words an interval of ratios, by the number of runs on each side.
func judge(runsA, runsB int, low, high float64) string {
	switch {
	case runsA < minComparedRuns || runsB < minComparedRuns:
		return "too few runs to tell"
	case low > 1 || high < 1:
		return "a difference"
	}
	return "noise"
}

// ratioInterval resamples both sides and gives the middle 95% of the ratios of y's median to x's. It draws the same each time.
func ratioInterval(x, y []float64) (low, high float64) {
	if len(x) == 0 || len(y) == 0 {
		return 0, 0
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	resampledMedian := func(values []float64) float64 {
		sample := make([]float64, len(values))
		for i := range sample {
			sample[i] = values[rnd.IntN(len(values))]
		}
		sort.Float64s(sample)
		return median(sample)
	}
	ratios := make([]float64, resamples)
	for i := range ratios {
		ratios[i] = resampledMedian(y) / resampledMedian(x)
	}
	sort.Float64s(ratios)
	return ratios[intervalLow], ratios[intervalHigh]
}
