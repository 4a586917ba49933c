package loadshed

import (
	"cmp"
	"math"
	"slices"
)

// Factors applied to a group's priority.
const (
	retryPriority          = 1.0 / 64 // for clients' retries: they rank below all first requests
	aboveFairSharePriority = 1.0 / 8  // for requests above their client's fair share
)

// shedGroup identifies requests that are shed with the same probability.
type shedGroup struct {
	class                 int
	retry, aboveFairShare bool
}

// groupLoad is the work that a group offered in a window.
type groupLoad struct {
	group shedGroup
	work  float64
	score float64
}

// score returns a group's priority divided by the cost of a request.
func (s *Shedder) score(group shedGroup) float64 {
	score := s.classes[group.class].PriorityWeight / s.Cost(group.class)
	if group.retry {
		score *= retryPriority
	}
	if group.aboveFairShare {
		score *= aboveFairSharePriority
	}
	return score
}

// shedShareOf returns the share of a group that is shed. A group that was absent from the last window is treated like
// the group with the nearest score at or below its own, so that it is not admitted ahead of groups with higher scores.
func (s *Shedder) shedShareOf(group shedGroup) float64 {
	if share, ok := s.shedShareByGroup[group]; ok {
		return share
	}
	score := s.score(group)
	belowScore, belowShare := math.Inf(-1), 0.0 // of the group with the nearest score at or below
	aboveScore, aboveShare := math.Inf(1), 0.0  // of the group with the nearest score above
	for other, share := range s.shedShareByGroup {
		switch otherScore := s.score(other); {
		case otherScore <= score && (otherScore > belowScore || otherScore == belowScore && share < belowShare):
			belowScore, belowShare = otherScore, share
		case otherScore > score && (otherScore < aboveScore || otherScore == aboveScore && share > aboveShare):
			aboveScore, aboveShare = otherScore, share
		}
	}
	if math.IsInf(belowScore, -1) { // all known groups score higher
		return max(aboveShare, min(1, s.shedShare))
	}
	return belowShare
}

// setShedShares sets the share of each group that is shed in the next window. The work to shed is the work that was
// offered above the limit in the ending window; it is taken from the groups with the lowest scores.
func (s *Shedder) setShedShares(elapsedSeconds float64) {
	s.shedShare = 0
	if s.offeredWork > s.limit*elapsedSeconds {
		s.shedShare = 1 - s.limit*elapsedSeconds/s.offeredWork
	}
	loads := s.loadsByScore()
	clear(s.shedShareByGroup)
	for workToShed, i := s.shedShare*s.offeredWork, 0; i < len(loads); {
		// The remaining work to shed is divided among the groups with the same score, in proportion to their work.
		end, work := i, 0.0
		for end < len(loads) && loads[end].score == loads[i].score {
			work += loads[end].work
			end++
		}
		share := 0.0
		if work > 0 {
			share = max(0, min(1, workToShed/work))
		}
		for _, load := range loads[i:end] {
			s.shedShareByGroup[load.group] = share
		}
		workToShed, i = workToShed-work, end
	}
}

// loadsByScore returns the work that each group offered in the window, lowest score first.
func (s *Shedder) loadsByScore() []groupLoad {
	loads := make([]groupLoad, 0, len(s.offeredByGroup))
	for group, work := range s.offeredByGroup {
		loads = append(loads, groupLoad{group, work, s.score(group)})
	}
	slices.SortFunc(loads, func(a, b groupLoad) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.group.class, b.group.class),
			cmp.Compare(asInt(b.group.retry), asInt(a.group.retry)))
	})
	return loads
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
