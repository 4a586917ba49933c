package policy

import "math"

const averageWeight = 0.1 // weight of a new value in a moving average

// addToAverage moves an average towards a value; the first value sets it.
func addToAverage(average *float64, value float64) {
	if *average == 0 {
		*average = value
	}
	*average += averageWeight * (value - *average)
}

// stepToMedian moves a median by a part of itself towards a value; the first value sets it.
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

// decayingShare is a moving share of hits that decays to 1/e within a lifetime.
type decayingShare struct{ share, at float64 }

// level is the share as of now.
func (s decayingShare) level(now, lifetime float64) float64 {
	return s.share * math.Exp((s.at-now)/lifetime)
}

// add enters a hit or a miss.
func (s *decayingShare) add(now, lifetime, weight float64, hit bool) {
	s.share, s.at = s.level(now, lifetime)*(1-weight), now
	if hit {
		s.share += weight
	}
}

// majority finds the value that most of a sequence have, within a hundredth (Boyer and Moore's vote).
type majority struct{ value, votes float64 }

// add enters a value and tells whether it is the one that most have.
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

// boolToInt is 1 for true, such as the index of the canary in a pair.
func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
