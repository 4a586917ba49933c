package loadshed

import (
	"cmp"
	"math"
	"slices"
)

// Factors applied to a group's priority.
const (
	retryPriority     = 1.0 / 64 // for clients' retries: they come after all first requests
	aboveFairPriority = 1.0 / 8  // for requests above their client's fair share
)

// shedGroup identifies requests that are shed alike.
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

// score returns a group's priority over its cost.
func (s *Shedder) score(group shedGroup) float64 {
	score := s.classes[group.class].PriorityWeight / s.Cost(group.class)
	if group.retry {
		score *= retryPriority
	}
	if group.aboveFairShare {
		score *= aboveFairPriority
	}
	return score
}

// shareOf returns the share of a group that is shed. A group that was absent from the last window is treated like the
// nearest group with the same score or less, so that new groups are not admitted ahead of more valuable ones.
func (s *Shedder) shareOf(group shedGroup) float64 {
	if share, ok := s.shareByGroup[group]; ok {
		return share
	}
	score := s.score(group)
	belowScore, belowShare := math.Inf(-1), 0.0 // the nearest group with the same score or less
	aboveScore, aboveShare := math.Inf(1), 0.0  // the nearest group with a higher score
	for other, share := range s.shareByGroup {
		switch x := s.score(other); {
		case x <= score && (x > belowScore || x == belowScore && share < belowShare):
			belowScore, belowShare = x, share
		case x > score && (x < aboveScore || x == aboveScore && share > aboveShare):
			aboveScore, aboveShare = x, share
		}
	}
	if math.IsInf(belowScore, -1) { // all known groups score higher
		return max(aboveShare, min(1, s.shedShare))
	}
	return belowShare
}

// setShares sets, at the end of a window, the share of each group that is shed in the next: the work offered above the
// limit, taken from the groups with the lowest scores.
func (s *Shedder) setShares(elapsedSeconds float64) {
	s.shedShare = 0
	if s.offeredWork > s.limit*elapsedSeconds {
		s.shedShare = 1 - s.limit*elapsedSeconds/s.offeredWork
	}
	loads := s.loadsByScore()
	clear(s.shareByGroup)
	for left, i := s.shedShare*s.offeredWork, 0; i < len(loads); {
		// Groups with the same score share the remaining work to shed.
		end, work := i, 0.0
		for end < len(loads) && loads[end].score == loads[i].score {
			work += loads[end].work
			end++
		}
		share := 0.0
		if work > 0 {
			share = max(0, min(1, left/work))
		}
		for _, load := range loads[i:end] {
			s.shareByGroup[load.group] = share
		}
		left, i = left-work, end
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
