package loadshed

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
)

const (
	largeBytes      = 8192.0 // bytes of a request and its answer that cost as much as the request itself
	smoothingWeight = 0.05   // weight of a new sample in a class's typical latency and size
)

// RequestClass is what the shedder is told of a class of requests.
type RequestClass struct {
	LatencyObjectiveSeconds float64
	PriorityWeight          float64 // relative, above 0
}

// Request is what the shedder is told of a request that has been received.
type Request struct {
	Class            int     // its place in the slice given to New or SetClasses
	Client           uint64  // identifies the client that sent it
	Retry            bool    // the client has asked for the same before
	RemainingSeconds float64 // time until the client gives up
}

// Shedder decides which requests are admitted. It is not safe for concurrent use.
type Shedder struct {
	classes                  []RequestClass
	shortestObjectiveSeconds float64
	typicalLatencySeconds    []float64 // of successful requests, by class
	typicalBytes             []float64 // of a request and its answer, by class

	// The limit (limit.go).
	limit           float64 // work per second, infinite: none
	limitNeededAt   float64 // when there was last a need of it
	lastCutAt       float64
	lastCutPressure float64 // pressure at the last cut; 1 once the process is not behind any more
	overloadRate    float64 // work per second with which the process last fell behind
	bestRate        float64 // most work per second that was served within its objective lately
	delaySeconds    float64 // the process's own, as of the last sample

	// The window of work that is counted (limit.go).
	windowStartedAt float64
	offeredWork     float64
	admittedWork    float64
	servedWork      float64 // answered within its objective

	// What is shed (shares.go).
	shedShare      float64               // of the offered work, as of the last window
	shareByGroup   map[shedGroup]float64 // how much of a group is shed, as of the last window
	offeredByGroup map[shedGroup]float64 // work in this window

	// Fairness between clients (fairness.go).
	workByClient map[uint64]float64 // halved with each window
	clientWork   float64            // the sum of these

	// Random draws.
	seed      uint64
	drawCount uint64
	drawHash  hash.Hash64
}

// New returns a shedder that sheds nothing yet. Equal seeds and equal calls give equal answers.
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

// SetClasses replaces the classes for the requests from now on. Classes keep their places; further ones may follow.
func (s *Shedder) SetClasses(classes []RequestClass) {
	s.classes, s.shortestObjectiveSeconds = classes, math.Inf(1)
	for i, class := range classes {
		s.shortestObjectiveSeconds = min(s.shortestObjectiveSeconds, class.LatencyObjectiveSeconds)
		if i == len(s.typicalLatencySeconds) {
			s.typicalLatencySeconds, s.typicalBytes = append(s.typicalLatencySeconds, 0), append(s.typicalBytes, 0)
		}
	}
}

// Cost gives the work that a request of a class is expected to be; a small one is 1. It goes in steps of a half: a few bytes
// are no reason to prefer one class to another of the same priority.
func (s *Shedder) Cost(class int) float64 {
	return 1 + math.Round(2*s.typicalBytes[class]/largeBytes)/2
}

// Admit tells whether a request is served. It is to be called once for each request received.
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

// tooLate tells whether a request's client is expected to give up before its answer. While anything is shed such requests go
// first, whatever their priority: nobody can use their answers.
func (s *Shedder) tooLate(r Request) bool {
	return r.RemainingSeconds < s.typicalLatencySeconds[r.Class]+s.delaySeconds
}

// drawShed decides by chance whether a request of a group is among the share of it that is shed.
func (s *Shedder) drawShed(group shedGroup) bool {
	share := s.shareOf(group)
	return share >= 1 || share > 0 && s.draw() < share
}

// OnSuccess enters the latency of a request that succeeded, and the bytes that it took both ways.
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

// ShedShare gives the share of the offered work that is shed now.
func (s *Shedder) ShedShare() float64 { return s.shedShare }

// Limit gives the work per second that is admitted at most, infinite where there is no limit.
func (s *Shedder) Limit() float64 { return s.limit }

// draw gives a number from 0 to 1 that depends on the seed and on how many were drawn before.
func (s *Shedder) draw() float64 {
	s.drawCount++
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], s.drawCount)
	binary.LittleEndian.PutUint64(buf[8:], s.seed)
	s.drawHash.Reset()
	s.drawHash.Write(buf[:])
	return float64(s.drawHash.Sum64()>>11) / (1 << 53)
}
