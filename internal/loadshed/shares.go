package loadshed

import (
	"cmp"
	"math"
	"slices"
)

// Factors of a group's priority.
const (
	retryPriority     = 1.0 / 64 // of a client's retry: behind first requests, whatever these are
	aboveFairPriority = 1.0 / 8  // of what a client asks for above its fair share
)

// shedGroup is a group of requests that are shed alike.
type shedGroup struct {
	class                 int
	retry, aboveFairShare bool
}

// groupLoad is what a group offered in a window.
type groupLoad struct {
	group shedGroup
	work  float64
	score float64
}

// score gives a group's priority for its cost.
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

// shareOf gives how much of a group is shed. A group that the last window did not hold is treated as the nearest with the same
// score or less, so that what is new does not get in before what is worth more.
func (s *Shedder) shareOf(group shedGroup) float64 {
	if share, ok := s.shareByGroup[group]; ok {
		return share
	}
	score := s.score(group)
	belowScore, belowShare := math.Inf(-1), 0.0 // the nearest with the same score or less
	aboveScore, aboveShare := math.Inf(1), 0.0  // the nearest with more
	for other, share := range s.shareByGroup {
		switch x := s.score(other); {
		case x <= score && (x > belowScore || x == belowScore && share < belowShare):
			belowScore, belowShare = x, share
		case x > score && (x < aboveScore || x == aboveScore && share > aboveShare):
			aboveScore, aboveShare = x, share
		}
	}
	if math.IsInf(belowScore, -1) { // all that is known scores more
		return max(aboveShare, min(1, s.shedShare))
	}
	return belowShare
}

// setShares decides, at the end of a window, how much of each group is shed in the next: what is offered above the limit, from
// the groups with the lowest score up.
func (s *Shedder) setShares(elapsedSeconds float64) {
	s.shedShare = 0
	if s.offeredWork > s.limit*elapsedSeconds {
		s.shedShare = 1 - s.limit*elapsedSeconds/s.offeredWork
	}
	loads := s.loadsByScore()
	clear(s.shareByGroup)
	for left, i := s.shedShare*s.offeredWork, 0; i < len(loads); {
		// Groups with the same score share what is left to shed.
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

// loadsByScore lists what the groups offered in the window, the lowest score first.
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
