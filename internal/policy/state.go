package policy

import (
	"encoding/binary"
	"hash"
	"maps"
	"math"
	"slices"
	"sort"
)

// What a balancer remembers, and its bookkeeping. Nothing is decided here.

type unit struct {
	id           uint32
	rank         float64 // its place in this balancer's order
	zone, cell   uint16
	build        int
	heft, since  float64
	ready, known bool    // known: named by the list being read
	before       int     // the build an earlier process or machine of this id ran
	left         float64 // when it was no longer listed as ready, 0 while it is
	open         int     // own deliveries out
	work         float64 // their work
	heard        float64 // last answer, or first delivery since none was out
	fail         fading  // share of failures lately
	slow         float64 // answer time over the usual
	wrong        fading  // share of wrong answers that a health source told
	ailing       fading  // what else it told
	links        int     // connections believed open
	linkAt       float64
	credit       float64 // while cold: commands that it may be sent from here, as of creditAt
	creditAt     float64
}

// sample is what one machine did while the present build was new: MaxSPRT-AB's counts, kept by unit and build.
type sample struct {
	unit  uint32
	build int
	of    [kinds]count
}

// fading is a share of hits that is forgotten to 1/e within a life.
type fading struct{ share, at float64 }

func (f fading) level(now, life float64) float64 { return f.share * math.Exp((f.at-now)/life) }

func (f *fading) add(now, life, weight float64, hit bool) {
	f.share, f.at = f.level(now, life)*(1-weight), now
	if hit {
		f.share += weight
	}
}

// majority finds the value that most of a row have, within a hundredth.
type majority struct{ value, votes float64 }

// most enters a value and tells whether it is the one that most have.
func (m *majority) most(value float64) bool {
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

type count struct{ n, bad float64 }

// Balancer is one instance's decisions.
type Balancer struct {
	t       *Config
	seed    uint64
	counter uint64
	hash    hash.Hash64

	units  []*unit // by rank
	byID   map[uint32]*unit
	sides  [2][]*unit // ready units of released builds, of builds on trial
	heft   [2]float64 // what they can take together
	ready  int
	oldest int // build among them

	earlier, newer int     // ready machines of builds before the newest told, and of it
	newest         float64 // start among the latter

	paired bool // machines of both builds run side by side

	told     bool // the stage is known
	build    int
	stage    int
	phase    Phase
	cap      float64
	stageAt  float64
	samples  []*sample // in order of first outcome
	taken    [][]float64
	tried    [][]float64 // trial deliveries; both by op type where the cap counts so
	answered map[uint64]int
	floor    int // every key is taken to be answered by this build

	usual   []float64  // answer time by op type
	longest float64    // of them
	plain   []float64  // the same of warm machines of the earlier build
	given   []majority // time that tries are given, by op type
	missed  []float64  // when a command of the op type last ended failed
	tokens  float64

	refused fading // share of new connections that could not be had lately
	open    int
	peak    int
	limit   float64
	ratio   float64 // usual answer time over target, of the op type nearest to it
	worth   float64 // highest importance
	hint    float64 // usual work told

	seen, woke      float64 // last asked or told anything; found that it had stood still
	votedAt, callAt float64
	steeredAt       float64
	standing, asked vote
	calling         bool
	mute            float64
	watching        bool
	listAge         float64
	lag             float64 // by which the caller itself may be late with what it hears

	share, lent float64             // part of what all edges may spend, and until when
	heard       map[string]Evidence // by edge
	merged      []*sample           // what they counted together
	mergeDue    bool
	others      float64 // rate of the edges heard
	source      MetricsEvidence
	watchAt     float64
}

type vote struct {
	build, stage int
	verdict      Verdict
}

// rate is how many commands a second came lately.
func (b *Balancer) rate(now float64) float64 {
	n := 0
	for i := range b.taken {
		b.taken[i] = after(b.taken[i], now-b.t.CanaryWindowSeconds+b.t.MinTickSeconds)
		n += len(b.taken[i])
	}
	return float64(n) / b.t.CanaryWindowSeconds
}

// outs is how many of a command's deliveries are out.
func (c *Request) outs() (n int) {
	for _, d := range c.Attempts {
		n += one(d.InFlight)
	}
	return n
}

func (b *Balancer) bucket(op int) int {
	if b.t.CanaryLimitPerClass {
		return op
	}
	return 0
}

func after(times []float64, from float64) []float64 {
	return times[sort.SearchFloat64s(times, from):]
}

// mean moves m towards v.
func mean(m *float64, v float64) {
	if *m == 0 {
		*m = v
	}
	*m += quick * (v - *m)
}

// lnChoose is the log of the number of ways to choose k of n.
func lnChoose(n, k float64) float64 {
	all, _ := math.Lgamma(n + 1)
	in, _ := math.Lgamma(k + 1)
	out, _ := math.Lgamma(n - k + 1)
	return all - in - out
}

// median moves m by a part of itself towards the middle of the values.
func median(m *float64, v, step float64) {
	switch {
	case *m == 0:
		*m = v
	case v > *m:
		*m *= 1 + step
	default:
		*m *= 1 - step
	}
}

// with is c and so many times d.
func (c count) with(d count, times float64) count { return count{c.n + times*d.n, c.bad + times*d.bad} }

// one is 1 for true, such as the place of the trial side in a pair.
func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (c *count) add(bad bool) {
	c.n++
	if bad {
		c.bad++
	}
}

func (b *Balancer) sampleOf(id uint32, build int) *sample {
	for _, s := range b.samples {
		if s.unit == id && s.build == build {
			return s
		}
	}
	s := &sample{unit: id, build: build}
	b.samples = append(b.samples, s)
	return s
}

// LocalEvidence gives an edge's counts.
func (b *Balancer) LocalEvidence(now float64) Evidence {
	e := Evidence{Build: b.build, RequestsPerSecond: b.rate(now), Samples: make([]EndpointSample, 0, len(b.samples))}
	for _, s := range b.samples {
		t := EndpointSample{Endpoint: s.unit, Build: s.build}
		for i, c := range s.of {
			t.Outcomes[i], t.Failures[i] = c.n, c.bad
		}
		e.Samples = append(e.Samples, t)
	}
	return e
}

// ApplyReport replaces what an edge had counted.
func (b *Balancer) ApplyReport(edge string, e Evidence) {
	if b.heard == nil {
		b.heard = map[string]Evidence{}
	}
	b.heard[edge] = e
	b.mergeDue = true
}

// DropReport drops an edge's counts.
func (b *Balancer) DropReport(edge string) {
	delete(b.heard, edge)
	b.mergeDue = true
}

// merge sums what was heard of the present build.
func (b *Balancer) merge() {
	type key struct {
		unit  uint32
		build int
	}
	b.merged, b.others, b.mergeDue = nil, 0, false
	at := map[key]*sample{}
	for _, edge := range slices.Sorted(maps.Keys(b.heard)) {
		e := b.heard[edge]
		b.others += e.RequestsPerSecond
		if e.Build != b.build || !b.told {
			continue
		}
		for _, t := range e.Samples {
			s := at[key{t.Endpoint, t.Build}]
			if s == nil {
				s = &sample{unit: t.Endpoint, build: t.Build}
				at[key{t.Endpoint, t.Build}] = s
				b.merged = append(b.merged, s)
			}
			for i := range s.of {
				s.of[i] = s.of[i].with(count{t.Outcomes[i], t.Failures[i]}, 1)
			}
		}
	}
}

// SetMetricsEvidence replaces what a health source had counted.
func (b *Balancer) SetMetricsEvidence(s MetricsEvidence) { b.source = s }

// outside is what a health source counted of the present build and own, which is given, could not know: own outcomes are
// among what the fleet counted, of wrong answers the share that clients report.
func (b *Balancer) outside(own []*sample) []*sample {
	if b.source.Build != b.build || len(b.source.Samples) == 0 {
		return nil
	}
	type key struct {
		unit  uint32
		build int
	}
	known := make(map[key]*sample, len(own))
	for _, s := range own {
		known[key{s.unit, s.build}] = s
	}
	list := make([]*sample, 0, len(b.source.Samples))
	for _, t := range b.source.Samples {
		s := &sample{unit: t.Endpoint, build: t.Build}
		for i := range s.of {
			c := count{t.Outcomes[i], t.Failures[i]}
			if k := known[key{t.Endpoint, t.Build}]; k != nil && !b.source.Independent[i] {
				seen := 1.0
				if i == wrong {
					seen = b.t.WrongAnswerReportShare
				}
				c = count{max(0, c.n-seen*k.of[i].n), max(0, c.bad-k.of[i].bad)}
			}
			s.of[i] = count{c.n, min(c.n, c.bad)}
		}
		list = append(list, s)
	}
	return list
}

// sides sums a kind over the machines of earlier builds, and of the trial build.
func sides(list []*sample, kind, build int) (sum [2]count) {
	for _, s := range list {
		i := one(s.build == build)
		sum[i] = sum[i].with(s.of[kind], 1)
	}
	return sum
}

// SetHealthMarks replaces what a health source says of units, age ago. Those that are not named have no mark.
func (b *Balancer) SetHealthMarks(now, age float64, marks []HealthMark) {
	for _, u := range b.units {
		u.wrong, u.ailing = fading{}, fading{}
	}
	for _, m := range marks {
		if u := b.byID[m.Endpoint]; u != nil {
			u.wrong, u.ailing = fading{m.WrongShare, now - age}, fading{m.DegradedShare, now - age}
		}
	}
}

// SetOwnDelay tells by how much the caller itself may be late with what units said: as much longer is a delivery left alone.
func (b *Balancer) SetOwnDelay(lag float64) { b.lag = lag }

// CurrentVote gives the vote that stands.
func (b *Balancer) CurrentVote() (build int, v Verdict) { return b.standing.build, b.standing.verdict }

// evidence is what the verdict rests on.
func (b *Balancer) evidence() []*sample {
	if b.heard == nil {
		return b.samples
	}
	if b.mergeDue { // once a look, however many edges were heard since the last
		b.merge()
	}
	return b.merged
}

// BeginEndpointList begins a list; full names every unit there is, else only changes follow.
func (b *Balancer) BeginEndpointList(full bool) {
	b.watching = true
	for _, u := range b.units {
		u.known = !full
	}
}

// UpdateEndpoint is one entry.
func (b *Balancer) UpdateEndpoint(id uint32, zone, cell uint16, build int, state EndpointState, heft, since float64) {
	u := b.byID[id]
	if u == nil {
		u = &unit{id: id, rank: b.draw(uint64(id)), before: build, build: build, since: since, credit: b.share * b.chance(), creditAt: since}
		b.byID[id] = u
		at := sort.Search(len(b.units), func(i int) bool {
			v := b.units[i]
			return v.rank > u.rank || v.rank == u.rank && v.id > u.id
		})
		b.units = slices.Insert(b.units, at, u)
	}
	if since != u.since || build != u.build {
		u.before, u.fail, u.slow, u.credit, u.creditAt = u.build, fading{}, 0, b.share*b.chance(), since
		u.wrong, u.ailing = fading{}, fading{}
	}
	if heft <= 0 {
		heft = 1
	}
	u.zone, u.cell, u.build, u.heft, u.since = zone, cell, build, heft, since
	u.ready, u.known = state == Ready, true
}

// EndpointListFailed: a call for the list failed; it is asked again from Wait.
func (b *Balancer) EndpointListFailed() { b.watching = false }

func (b *Balancer) chance() float64 {
	b.counter++
	return b.draw(b.counter)
}

// draw is a number from 0 to 1 out of the instance's seed and n.
func (b *Balancer) draw(n uint64) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	binary.LittleEndian.PutUint64(buf[8:], b.seed)
	b.hash.Reset()
	b.hash.Write(buf[:])
	return float64(b.hash.Sum64()>>11) / (1 << 53)
}
