// Package shed decides what a relay that is itself the weakest part turns away: from what the process measures of itself it
// keeps a bound on the work that it takes in a second, and what is above the bound goes by worth, the least worth first. It does no
// I/O and reads no clock; equal events give equal answers.
//
// The bound moves as the policy's bound on what is open does: down from what was really taken when the process falls
// behind, up slowly while it keeps pace and uses the bound. So the share that is shed follows the load at once, and is nothing as
// soon as the load is below the bound.
package loadshed

import (
	"cmp"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
	"slices"
)

const (
	behind    = 0.1      // of the shortest service target: a delay in the process that is too long
	atEase    = 0.4      // of that: below it the bound may grow
	mostGC    = 0.5      // of the processors' time, spent collecting
	mostHeap  = 0.9      // of the limits on heap and buffers
	down      = 0.05     // part of what was taken that is given up, for each time of the line that the process is behind
	deepest   = 0.7      // part that is left of it at least
	settle    = 0.3      // s after a cut before the next, and twice the delay that it was for, unless it grows
	episode   = 2.0      // s after a cut in which another is part of the same trouble
	near      = 0.95     // of where the process last fell behind, from which the bound grows slowly
	busy      = 0.9      // share of the processors that may be used
	idle      = 0.3      // part of the bound by which it grows at a look for each processor's share below that
	bestFades = 0.999    // of the best rate of a window is kept from look to look
	slowly    = 0.004    // part of the bound by which it grows at a look from there on, at first
	faster    = 0.02     // and at most
	up        = 1.03     // times the bound, at each look at ease
	used      = 0.8      // of the bound: with less taken it does not grow
	forgets   = 20.0     // s at ease and below the bound after which there is none
	window    = 0.5      // s over which the offered work is counted, at least
	retry     = 1.0 / 64 // worth of a later try: behind first tries, whatever they are
	excess    = 1.0 / 8  // worth of what a client asks above its fair part
	hotFrom   = 2.0      // times the fair part, from which a client is above it
	large     = 8192.0   // bytes that cost as much as a command
	quick     = 0.05     // weight of a new sample in usual times and sizes
	mostSeen  = 10_000   // clients told apart in a window
)

// RequestClass is what is known of one.
type RequestClass struct {
	LatencyObjectiveSeconds float64 // service target, s
	PriorityWeight          float64
}

// LoadSample is what the process measured of itself since the last one.
type LoadSample struct {
	TimerDelaySeconds     float64 // s that its timer came late
	SchedulerDelaySeconds float64 // s that its goroutines waited for a processor, the 99th part of a hundred
	GCShare               float64 // share of the processors' time that went to collecting
	CPUShare              float64 // share of the processors that this process used, 0: not known
	HeapShare             float64 // share of its limit, 0: there is none
	BufferShare           float64 // share of the budget for buffers, 0: there is none
}

// Request is what is told of one that came.
type Request struct {
	Class            int
	Client           uint64  // whom it is from
	Retry            bool    // its client asks again
	RemainingSeconds float64 // s until its client gives up
}

// class is what counts alike.
type class struct {
	op            int
	retry, excess bool
}

type tally struct {
	class class
	work  float64 // offered in the window
	score float64
	shed  float64 // share of it that is turned away, as of the last look
}

// Shedder holds the bound and what is needed to keep it.
type Shedder struct {
	ops      []RequestClass
	shortest float64
	seed     uint64
	counter  uint64
	hash     hash.Hash64

	bound   float64 // work a second, infinite: none
	cutAt   float64
	cutFor  float64 // the pressure then
	met     float64 // work a second with which the process last fell behind
	lag     float64 // the process's delay, as of the last look
	began   float64 // of the window
	offered float64 // work in it
	taken   float64
	served  float64 // acked within its target
	best    float64 // work a second that was, the most lately
	easy    float64 // since when there was no need of the bound
	tallies map[class]*tally
	shares  map[class]float64 // share shed, from the last window
	level   float64
	clients map[uint64]float64 // work by client, halved with each window
	work    float64            // their sum
	usual   []float64          // answer time by op type, s
	size    []float64          // bytes a command, by op type
}

// New makes a gate that sheds nothing yet.
func New(ops []RequestClass, seed uint64, now float64) *Shedder {
	g := &Shedder{seed: seed, hash: fnv.New64a(), bound: math.Inf(1), began: now, easy: now, cutAt: math.Inf(-1), tallies: map[class]*tally{},
		shares: map[class]float64{}, clients: map[uint64]float64{}}
	g.SetClasses(ops)
	return g
}

// SetClasses takes op types for what comes from now on. They keep their places, and more may follow.
func (g *Shedder) SetClasses(ops []RequestClass) {
	g.ops, g.shortest = ops, math.Inf(1)
	for i, op := range ops {
		g.shortest = min(g.shortest, op.LatencyObjectiveSeconds)
		if i == len(g.usual) {
			g.usual, g.size = append(g.usual, 0), append(g.size, 0)
		}
	}
}

// Cost is what a command of an op type is expected to cost, against a small one: in halves, for a few bytes are no reason to
// put one op type before another that is worth as much.
func (g *Shedder) Cost(op int) float64 { return 1 + math.Round(2*g.size[op]/large)/2 }

// Admit tells whether a command is taken.
func (g *Shedder) Admit(now float64, c Request) bool {
	cost := g.Cost(c.Class)
	g.offered += cost
	if len(g.clients) < mostSeen || g.clients[c.Client] > 0 {
		g.clients[c.Client] += cost
		g.work += cost
	}
	k := class{c.Class, c.Retry, false}
	// Of a client that asks for more than its fair part, what is above it goes before others' work: by chance, so that it is
	// spread over time as its commands are.
	if n := float64(len(g.clients)); n > 1 && g.level > 0 {
		fair := hotFrom * g.work / n
		k.excess = g.clients[c.Client] > fair && g.chance() > fair/g.clients[c.Client]
	}
	t := g.tallies[k]
	if t == nil {
		t = &tally{class: k}
		g.tallies[k] = t
	}
	t.work += cost
	if g.level > 0 {
		// Nobody can use an answer that comes too late: it goes first, whatever it is worth.
		if c.RemainingSeconds < g.usual[c.Class]+g.lag {
			return false
		}
		if share := g.share(k); share >= 1 || share > 0 && g.chance() < share {
			return false
		}
	}
	g.taken += cost
	return true
}

// share is how much of a class is shed. One that the last window did not hold is treated as the nearest that is worth as
// much or less, so that what is new is not let in past what is worth more.
func (g *Shedder) share(k class) float64 {
	if s, ok := g.shares[k]; ok {
		return s
	}
	score, best, share := g.score(k), math.Inf(-1), 0.0
	worst, least := math.Inf(1), 0.0
	for other, s := range g.shares {
		switch x := g.score(other); {
		case x <= score && (x > best || x == best && s < share):
			best, share = x, s
		case x > score && (x < worst || x == worst && s > least):
			worst, least = x, s
		}
	}
	if math.IsInf(best, -1) { // worth less than all that is known
		return max(least, min(1, g.level))
	}
	return share
}

// score is a class's worth by its cost.
func (g *Shedder) score(k class) float64 {
	s := g.ops[k.op].PriorityWeight / g.Cost(k.op)
	if k.retry {
		s *= retry
	}
	if k.excess {
		s *= excess
	}
	return s
}

// OnSuccess enters an acked command's time, s, and the bytes that it took both ways.
func (g *Shedder) OnSuccess(op int, took float64, bytes int) {
	if g.usual[op] == 0 {
		g.usual[op], g.size[op] = took, float64(bytes)
	}
	if took <= g.ops[op].LatencyObjectiveSeconds {
		g.served += g.Cost(op)
	}
	g.usual[op] += quick * (min(took, g.ops[op].LatencyObjectiveSeconds) - g.usual[op])
	g.size[op] += quick * (float64(bytes) - g.size[op])
}

// Pressure is how far a reading is from the line that is too much, 1.
func (g *Shedder) Pressure(r LoadSample) float64 {
	return max(max(r.TimerDelaySeconds, r.SchedulerDelaySeconds)/(behind*g.shortest), r.GCShare/mostGC, r.HeapShare/mostHeap, r.BufferShare/mostHeap)
}

// Observe enters a reading; it is to come some times a second.
func (g *Shedder) Observe(now float64, r LoadSample) {
	span := now - g.began
	if span <= 0 {
		return
	}
	p := g.Pressure(r)
	g.lag = max(r.TimerDelaySeconds, r.SchedulerDelaySeconds)
	rate, offered := g.taken/span, g.offered/span
	// A bound far below what was served lately has lost its sense: it would take seconds to come back from there.
	g.bound = max(g.bound, g.best/4)
	if p <= 1 {
		g.cutFor = 1
	}
	switch {
	case p > 1 && rate > 0 && (now >= g.cutAt+settle+2*g.lag || p > 1.5*g.cutFor):
		// What has piled up takes a while to go; a cut for each look of that while would go far too deep.
		before := min(g.bound, rate)
		// Nor is it cut below half of what was served within a window lately: what presses then is not what is taken.
		g.bound = max(before*max(deepest, 1-down*p), min(before, g.best/2))
		if now > g.cutAt+episode {
			g.met = before
		}
		g.cutAt, g.cutFor = now, p
		g.easy = now
	case p > 1:
		g.easy = now
	case p > atEase:
		g.easy = now
	case rate > used*g.bound && g.bound < near*g.met:
		g.bound *= up
	case rate > used*g.bound:
		// The longer it keeps pace, the further off the line is taken to be.
		calm := now - g.cutAt
		g.bound *= 1 + min(faster, slowly*(1+calm*calm/8))
	}
	if p <= atEase && r.CPUShare > 0 && offered > g.bound { // what is not used of the processors could serve more
		g.bound *= 1 + idle*max(0, busy-r.CPUShare)
	}
	if offered > g.bound {
		g.easy = now
	} else if now-g.easy > forgets {
		g.bound = math.Inf(1)
	}
	if span >= window/2 {
		g.best = max(g.best*bestFades, g.served/span)
	}
	if span >= window || p > 1 && g.level == 0 {
		g.part(now, span)
	}
}

// part decides what each class loses, and begins a new window.
func (g *Shedder) part(now, span float64) {
	g.level = 0
	if g.offered > g.bound*span {
		g.level = 1 - g.bound*span/g.offered
	}
	list := make([]*tally, 0, len(g.tallies))
	for k, t := range g.tallies {
		t.score = g.score(k)
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.class.op, b.class.op), cmp.Compare(one(b.class.retry), one(a.class.retry)))
	})
	clear(g.shares)
	for left, i := g.level*g.offered, 0; i < len(list); {
		// What is worth the same shares what is left to shed.
		j, work := i, 0.0
		for j < len(list) && list[j].score == list[i].score {
			work += list[j].work
			j++
		}
		share := 0.0
		if work > 0 {
			share = max(0, min(1, left/work))
		}
		for _, t := range list[i:j] {
			g.shares[t.class] = share
		}
		left, i = left-work, j
	}
	clear(g.tallies)
	g.work = 0
	for c, w := range g.clients {
		if w /= 2; w < 0.5 {
			delete(g.clients, c)
			continue
		}
		g.clients[c] = w
		g.work += w
	}
	g.offered, g.taken, g.served, g.began = 0, 0, 0, now
}

func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// ShedShare is the share of the offered work that is shed now.
func (g *Shedder) ShedShare() float64 { return g.level }

// Limit is the work a second that is taken at most, infinite where there is none; 1 is a small command.
func (g *Shedder) Limit() float64 { return g.bound }

// chance is a number from 0 to 1 out of the seed and a counter.
func (g *Shedder) chance() float64 {
	g.counter++
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], g.counter)
	binary.LittleEndian.PutUint64(buf[8:], g.seed)
	g.hash.Reset()
	g.hash.Write(buf[:])
	return float64(g.hash.Sum64()>>11) / (1 << 53)
}

// ControllerLoadShedding says what a planner leaves out while it is late by so many seconds, against the beat of its edges: of their
// digests it takes every so many-th, for each is whole, and queries wait. Votes and views are never left out.
func ControllerLoadShedding(late, beat float64) (digests int, queries bool) {
	switch {
	case late > 8*beat:
		return 8, false
	case late > 2*beat:
		return 3, false
	case late > beat/2:
		return 1, false
	}
	return 1, true
}
