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

// stepToMedian moves an estimate of the median towards a value by a fraction step of itself; the first value sets it.
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

// decayingShare is a moving share of hits that decays to 1/e within a lifetime, in seconds.
type decayingShare struct{ share, at float64 }

// level returns the share as of now.
func (s decayingShare) level(now, lifetime float64) float64 {
	return s.share * math.Exp((s.at-now)/lifetime)
}

// add records a hit or a miss.
func (s *decayingShare) add(now, lifetime, weight float64, hit bool) {
	s.share, s.at = s.level(now, lifetime)*(1-weight), now
	if hit {
		s.share += weight
	}
}

// majority tracks the value that most of a sequence share, to within one percent (Boyer-Moore majority vote).
type majority struct{ value, votes float64 }

// add records a value and reports whether it matches the present candidate for the majority.
func (m *majority) add(value float64) bool {
	same := math.Abs(value-m.value) <= 0.01*m.value
	switch {
	case same:
		m.votes++
	case m.votes > 0:
		m.votes--
	default:
		m.value, m.votes, same = value, 1, true
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
