package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
)

const (
	minComparedRuns = 3 // valid runs that a cell needs in each folder
	resampleCount   = 2000
	// Indices of the 2.5th and 97.5th percentiles in the sorted resampled ratios: the bounds of the 95% interval.
	intervalLowIndex  = 50
	intervalHighIndex = 1949
)

// Compare prints, for each cell, the ratio of the median goodput of the runs in folder b to that of the runs in folder
// a, a 95% bootstrap interval of the ratio, and whether the interval shows a difference or only noise.
func Compare(a, b string, w io.Writer) error {
	resultsA, err := ReadResults(a)
	if err != nil {
		return err
	}
	resultsB, err := ReadResults(b)
	if err != nil {
		return err
	}
	cellsA, cellsB := byCell(resultsA), byCell(resultsB)
	common := commonCells(cellsA, cellsB)
	if len(common) == 0 {
		return fmt.Errorf("%s and %s have no combination of variant and rate in common", a, b)
	}
	for _, at := range common {
		goodputA, goodputB := sortedValidValues(cellsA[at], goodput), sortedValidValues(cellsB[at], goodput)
		low, high := ratioInterval(goodputA, goodputB)
		fmt.Fprintf(w, "%s at %g: goodput %.0f and %.0f, ratio %.3f, 95%% from %.3f to %.3f: %s\n", at.variant, at.rate, median(goodputA), median(goodputB),
			median(goodputB)/median(goodputA), low, high, classifyInterval(len(goodputA), len(goodputB), low, high))
	}
	return nil
}

// commonCells returns the cells that are in both maps, sorted by variant and rate.
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

// classifyInterval returns a text that says whether an interval of ratios shows a difference, given the number of runs
// on each side.
func classifyInterval(runsA, runsB int, low, high float64) string {
	switch {
	case runsA < minComparedRuns || runsB < minComparedRuns:
		return "too few runs to tell"
	case low > 1 || high < 1:
		return "a difference"
	}
	return "noise"
}

// ratioInterval returns the 95% bootstrap interval of the ratio of valuesB's median to valuesA's median. The random
// seed is fixed, so that the same values always give the same interval.
func ratioInterval(valuesA, valuesB []float64) (low, high float64) {
	if len(valuesA) == 0 || len(valuesB) == 0 {
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
	ratios := make([]float64, resampleCount)
	for i := range ratios {
		ratios[i] = resampledMedian(valuesB) / resampledMedian(valuesA)
	}
	sort.Float64s(ratios)
	return ratios[intervalLowIndex], ratios[intervalHighIndex]
}
