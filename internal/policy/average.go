package policy

import "math"

const averageWeight = 0.1 // weight of a new value in a moving average

// addToAverage updates a moving average with a value; the first value sets it.
func addToAverage(average *float64, value float64) {
	if *average == 0 {
		*average = value
	}
	*average += averageWeight * (value - *average)
}

// stepToMedian moves an estimate of the median towards a value; step is the fraction of the estimate by which it moves.
// The first value sets the estimate.
func stepToMedian(median *float64, value, step float64) {
	switch {
	case *median == 0:
		*median = value
	case value > *median:
		*median *= 1 + step
	default:
		*median *= 1 - step
	}
}

// decayingShare is a moving share of hits. Between updates, the share decays by the factor 1/e in every decaySeconds, a
// parameter of its methods.
type decayingShare struct{ share, updatedAt float64 }

// valueAt returns the share, decayed until now.
func (s decayingShare) valueAt(now, decaySeconds float64) float64 {
	return s.share * math.Exp((s.updatedAt-now)/decaySeconds)
}

// add records a hit or a miss.
func (s *decayingShare) add(now, decaySeconds, weight float64, hit bool) {
	s.share, s.updatedAt = s.valueAt(now, decaySeconds)*(1-weight), now
	if hit {
		s.share += weight
	}
}

// majority tracks the value that most elements of a sequence share, to within one percent (Boyer-Moore majority vote):
// the present candidate and its lead over all other values.
type majority struct{ value, lead float64 }

// add records a value and reports whether it matches the present candidate for the majority.
func (m *majority) add(value float64) bool {
	same := math.Abs(value-m.value) <= 0.01*m.value
	switch {
	case same:
		m.lead++
	case m.lead > 0:
		m.lead--
	default:
		m.value, m.lead, same = value, 1, true
	}
	return same
}

// boolToInt returns 1 for true and 0 for false, for instance as an index into a baseline/canary pair.
func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
