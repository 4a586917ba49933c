package loadshed

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
)

const (
	bytesPerCostUnit = 8192.0 // bytes of a request and its answer that add the cost of one small request
	smoothingWeight  = 0.05   // weight of a new sample in a class's typical latency and size
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
	limitNeededAt   float64 // when the offered work was last above the limit, or the pressure not low
	lastCutAt       float64
	lastCutPressure float64 // pressure at the last cut; 1 once the pressure is at most 1 again
	overloadRate    float64 // admitted work per second when the last overload began
	bestRate        float64 // highest recent work per second answered within its objective
	delaySeconds    float64 // the process's own delay, as of the last sample

	// Work counted in the current window (limit.go).
	windowStartedAt float64
	offeredWork     float64
	admittedWork    float64
	servedWork      float64 // answered within its objective

	// Shares to shed (shares.go).
	shedShare        float64               // share of the offered work that is shed, as of the last window
	shedShareByGroup map[shedGroup]float64 // share of each group that is shed, as of the last window
	offeredByGroup   map[shedGroup]float64 // work offered in the current window

	// Fairness between clients (fairness.go).
	workByClient map[uint64]float64 // decayed at the end of each window
	clientWork   float64            // sum of workByClient

	// Random draws.
	seed      uint64
	drawCount uint64
	drawHash  hash.Hash64
}

// New returns a shedder without a limit. Equal seeds and equal sequences of calls return equal results; now is in
// seconds on the caller's clock.
func New(classes []RequestClass, seed uint64, now float64) *Shedder {
	s := &Shedder{
		limit:            math.Inf(1),
		limitNeededAt:    now,
		lastCutAt:        math.Inf(-1),
		windowStartedAt:  now,
		shedShareByGroup: map[shedGroup]float64{},
		offeredByGroup:   map[shedGroup]float64{},
		workByClient:     map[uint64]float64{},
		seed:             seed,
		drawHash:         fnv.New64a(),
	}
	s.SetClasses(classes)
	return s
}

// SetClasses replaces the classes for subsequent requests. Existing classes must keep their index; new ones may be
// appended.
func (s *Shedder) SetClasses(classes []RequestClass) {
	s.classes, s.shortestObjectiveSeconds = classes, math.Inf(1)
	for i, class := range classes {
		s.shortestObjectiveSeconds = min(s.shortestObjectiveSeconds, class.LatencyObjectiveSeconds)
		if i == len(s.typicalLatencySeconds) {
			s.typicalLatencySeconds, s.typicalBytes = append(s.typicalLatencySeconds, 0), append(s.typicalBytes, 0)
		}
	}
}

// Cost returns the expected work of a request of a class; a small request costs 1. The cost is rounded to halves, so
// that a difference of a few bytes does not rank one class before another of the same priority.
func (s *Shedder) Cost(class int) float64 {
	return 1 + math.Round(2*s.typicalBytes[class]/bytesPerCostUnit)/2
}

// Admit reports whether to serve a request. It must be called once for each request received.
func (s *Shedder) Admit(now float64, request Request) bool {
	cost := s.Cost(request.Class)
	s.offeredWork += cost
	s.countClient(request.Client, cost)
	group := shedGroup{class: request.Class, retry: request.Retry}
	group.aboveFairShare = s.drawAboveFairShare(request.Client)
	s.offeredByGroup[group] += cost
	if s.shedShare > 0 && (s.expectedTooLate(request) || s.drawShed(group)) {
		return false
	}
	s.admittedWork += cost
	return true
}

// expectedTooLate reports whether a request's client is expected to give up before it receives the answer. While the
// process sheds, all such requests are shed, whatever their priority: nobody would use their answers.
func (s *Shedder) expectedTooLate(request Request) bool {
	return request.RemainingSeconds < s.typicalLatencySeconds[request.Class]+s.delaySeconds
}

// drawShed decides at random whether a request belongs to the share of its group that is shed.
func (s *Shedder) drawShed(group shedGroup) bool {
	share := s.shedShareOf(group)
	return share >= 1 || share > 0 && s.draw() < share
}

// OnSuccess records the latency of a successful request, and the total bytes of the request and its answer.
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

// draw returns a pseudo-random number in [0, 1) that depends only on the seed and the number of earlier draws.
func (s *Shedder) draw() float64 {
	s.drawCount++
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], s.drawCount)
	binary.LittleEndian.PutUint64(buf[8:], s.seed)
	s.drawHash.Reset()
	s.drawHash.Write(buf[:])
	return float64(s.drawHash.Sum64()>>11) / (1 << 53)
}
