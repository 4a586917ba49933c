package loadshed

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
)

const (
	largeBytes      = 8192.0 // bytes of a request and its answer that cost as much as a small request
	smoothingWeight = 0.05   // weight of a new sample in a class's typical latency and size
)

// RequestClass describes a class of requests to the shedder.
type RequestClass struct {
	LatencyObjectiveSeconds float64
	PriorityWeight          float64 // relative; must be above 0
}

// Request describes a received request to the shedder.
type Request struct {
	Class            int     // index into the slice passed to New or SetClasses
	Client           uint64  // identifies the client
	Retry            bool    // the client has sent the same request before
	RemainingSeconds float64 // time until the client gives up
}

// Shedder decides which requests are admitted. It is not safe for concurrent use.
type Shedder struct {
	classes                  []RequestClass
	shortestObjectiveSeconds float64
	typicalLatencySeconds    []float64 // of successful requests, by class
	typicalBytes             []float64 // of a request and its answer, by class

	// The limit (limit.go).
	limit           float64 // work per second; +Inf: no limit
	limitNeededAt   float64 // when the limit was last needed
	lastCutAt       float64
	lastCutPressure float64 // pressure at the last cut; 1 once the process has caught up
	overloadRate    float64 // work per second at which the process last fell behind
	bestRate        float64 // highest recent work per second answered within its objective
	delaySeconds    float64 // the process's own delay, as of the last sample

	// The current window of counted work (limit.go).
	windowStartedAt float64
	offeredWork     float64
	admittedWork    float64
	servedWork      float64 // answered within its objective

	// What is shed (shares.go).
	shedShare      float64               // share of the offered work, as of the last window
	shareByGroup   map[shedGroup]float64 // share of each group that is shed, as of the last window
	offeredByGroup map[shedGroup]float64 // work offered in this window

	// Fairness between clients (fairness.go).
	workByClient map[uint64]float64 // halved at the end of each window
	clientWork   float64            // sum of workByClient

	// Random draws.
	seed      uint64
	drawCount uint64
	drawHash  hash.Hash64
}

// New returns a shedder that sheds nothing yet. Equal seeds and equal sequences of calls return equal
// results; now is in seconds on the caller's clock.
func New(classes []RequestClass, seed uint64, now float64) *Shedder {
	s := &Shedder{
		limit:           math.Inf(1),
		limitNeededAt:   now,
		lastCutAt:       math.Inf(-1),
		windowStartedAt: now,
		shareByGroup:    map[shedGroup]float64{},
		offeredByGroup:  map[shedGroup]float64{},
		workByClient:    map[uint64]float64{},
		seed:            seed,
		drawHash:        fnv.New64a(),
	}
	s.SetClasses(classes)
	return s
}

// SetClasses replaces the classes for subsequent requests. Classes keep their index, and new ones may be appended.
func (s *Shedder) SetClasses(classes []RequestClass) {
	s.classes, s.shortestObjectiveSeconds = classes, math.Inf(1)
	for i, class := range classes {
		s.shortestObjectiveSeconds = min(s.shortestObjectiveSeconds, class.LatencyObjectiveSeconds)
		if i == len(s.typicalLatencySeconds) {
			s.typicalLatencySeconds, s.typicalBytes = append(s.typicalLatencySeconds, 0), append(s.typicalBytes, 0)
		}
	}
}

// Cost returns the expected work of a request of a class; a small request costs 1. It is rounded to halves, as a few
// bytes are no reason to prefer one class over another of the same priority.
func (s *Shedder) Cost(class int) float64 {
	return 1 + math.Round(2*s.typicalBytes[class]/largeBytes)/2
}

// Admit reports whether a request is to be served. It must be called once for each request received.
func (s *Shedder) Admit(now float64, r Request) bool {
	cost := s.Cost(r.Class)
	s.offeredWork += cost
	s.countClient(r.Client, cost)
	group := shedGroup{class: r.Class, retry: r.Retry}
	group.aboveFairShare = s.drawAboveFairShare(r.Client)
	s.offeredByGroup[group] += cost
	if s.shedShare > 0 && (s.tooLate(r) || s.drawShed(group)) {
		return false
	}
	s.admittedWork += cost
	return true
}

// tooLate reports whether a request's client is expected to give up before the answer. While the process sheds, such
// requests are shed first, whatever their priority: their answers are of no use.
func (s *Shedder) tooLate(r Request) bool {
	return r.RemainingSeconds < s.typicalLatencySeconds[r.Class]+s.delaySeconds
}

// drawShed decides at random whether a request belongs to the share of its group that is shed.
func (s *Shedder) drawShed(group shedGroup) bool {
	share := s.shareOf(group)
	return share >= 1 || share > 0 && s.draw() < share
}

// OnSuccess records the latency of a request that succeeded, and the total bytes of the request and its answer.
func (s *Shedder) OnSuccess(class int, latencySeconds float64, bytes int) {
	objective := s.classes[class].LatencyObjectiveSeconds
	if s.typicalLatencySeconds[class] == 0 {
		s.typicalLatencySeconds[class], s.typicalBytes[class] = latencySeconds, float64(bytes)
	}
	if latencySeconds <= objective {
		s.servedWork += s.Cost(class)
	}
	s.typicalLatencySeconds[class] += smoothingWeight * (min(latencySeconds, objective) - s.typicalLatencySeconds[class])
	s.typicalBytes[class] += smoothingWeight * (float64(bytes) - s.typicalBytes[class])
}

// ShedShare returns the share of the offered work that is being shed.
func (s *Shedder) ShedShare() float64 { return s.shedShare }

// Limit returns the maximum work admitted per second, +Inf if there is no limit.
func (s *Shedder) Limit() float64 { return s.limit }

// draw returns a pseudo-random number in [0, 1) determined by the seed and the number of earlier draws.
func (s *Shedder) draw() float64 {
	s.drawCount++
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], s.drawCount)
	binary.LittleEndian.PutUint64(buf[8:], s.seed)
	s.drawHash.Reset()
	s.drawHash.Write(buf[:])
	return float64(s.drawHash.Sum64()>>11) / (1 << 53)
}
