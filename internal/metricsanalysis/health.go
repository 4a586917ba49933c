// Package health turns what query servers answer into what the policy takes: counts of a trial build against the earlier
// one, and marks on units that fade. It does no I/O and reads no clock; equal answers give equal evidence. What is refused
// here is absence of evidence, never evidence.
package metricsanalysis

import (
	"cmp"
	"math"
	"slices"

	"flintspread/internal/policy"
)

const (
	forget   = 4.0       // s in which what a mark rests on is forgotten to 1/e, as the policy forgets a unit's failures
	lagLife  = 8.2       // s in which counts of lateness are forgotten to 1/e, as the policy's own are: load changes
	faint    = 1.0 / 32  // a mark below it is none
	doubt    = 2.0       // outcomes without failure that every unit is taken to have had lately
	apartBy  = 0.1       // shares of failures that differ by more are a disagreement of servers,
	apartOf  = 20.0      // with so many outcomes on both sides
	mostRows = 1_000_000 // series followed; more is a mistake of the queries, not a fleet
)

// MarksEvery is the time between two looks at the marks, s: what they rest on fades within seconds.
const MarksEvery = 0.5

// Meaning is what a question's numbers are.
type Meaning uint8

const (
	Counts     Meaning = iota // counters of outcomes and of failures among them
	Quantile                  // of answer times, s
	Saturation                // 0 to 1
	Probe                     // 1: passed
)

// Question is one thing that is asked of every server, again and again.
type Question struct {
	Name    string
	Meaning Meaning
	Kind    int     // of failure, for Counts
	Stale   float64 // s after which an answer says nothing any more
	Skew    float64 // s that a server's clock may be ahead
	Weight  float64 // 0 to 1: what its marks and counts are worth
	Limit   float64 // above it a Quantile or a Saturation ails a unit
	Apart   bool    // no outcome of this relay's own deliveries is in it
}

// Point is one value of a series.
type Point struct{ At, Value float64 }

// Series is what a server holds of a unit under a build, oldest first.
type Series struct {
	Unit   uint32
	Build  int
	Points []Point
}

// Answer is what a server said to a question. Bad goes with Counts only.
type Answer struct {
	Server, Question int
	All, Bad         []Series
}

// Unit is one on the list.
type Unit struct {
	ID    uint32
	Build int
	Since float64 // start of its process
}

// Refusal is why a value did not count.
type Refusal uint8

const (
	Stale    Refusal = iota // older than the question allows
	Ahead                   // of a time to come
	NoNumber                // not a number, infinite or below 0
	Nonsense                // more failures than outcomes, or failures that run backwards alone
	NoUnit                  // of a unit that is not listed, or of another build's process
	TooMany                 // above what is followed at all
	Doubled                 // a second series of one unit and build
	Refusals = int(Doubled) + 1
)

func (r Refusal) String() string {
	return [...]string{"stale", "ahead", "no number", "nonsense", "no such unit", "too many", "doubled"}[r]
}

// Taken tells what became of an answer's values.
type Taken struct {
	Values  int // that counted
	Resets  int // counters that began anew
	Refused [Refusals]int
}

type seriesKey struct {
	unit  uint32
	build int
}

// track is what one server says of one unit under one build, followed over time.
type track struct {
	at      float64 // of the newest value
	n, bad  float64 // counters then
	sum     pair    // since the present build is new
	recent  pair    // fading, for the mark
	gauge   float64 // newest value of what is no counter
	started bool
}

type pair struct{ n, bad float64 }

func (p pair) share() float64 {
	if p.n <= 0 {
		return 0
	}
	return p.bad / p.n
}

func (p pair) times(f float64) pair { return pair{p.n * f, p.bad * f} }

// voice is one server on one question.
type voice struct {
	first  float64 // when it was first heard
	last   float64 // newest value of any unit
	tracks map[seriesKey]*track
	left   map[int]pair // sums of processes that are gone, by build
}

// Source is all that is known from the servers.
type Source struct {
	questions []Question
	voices    [][]voice // by question and server
	units     map[uint32]Unit
	build     int
	rows      int
	differs   map[string]int // by question: units on which servers disagree, as of the last look
}

// New makes a source of some servers.
func New(questions []Question, servers int) *Source {
	s := &Source{questions: questions, units: map[uint32]Unit{}, differs: map[string]int{}, build: -1}
	for range questions {
		of := make([]voice, servers)
		for i := range of {
			of[i] = voice{first: math.Inf(1), last: math.Inf(-1), tracks: map[seriesKey]*track{}, left: map[int]pair{}}
		}
		s.voices = append(s.voices, of)
	}
	return s
}

// Units replaces the list. What was counted of processes that are gone from it goes on together, as of one machine.
func (s *Source) Units(list []Unit) {
	s.units = make(map[uint32]Unit, len(list))
	for _, u := range list {
		s.units[u.ID] = u
	}
	for i, of := range s.voices {
		for _, v := range of {
			for k, tr := range v.tracks {
				if u, ok := s.units[k.unit]; ok && u.Build == k.build {
					continue
				}
				if !s.questions[i].fades() {
					v.left[k.build] = pair{v.left[k.build].n + tr.sum.n, v.left[k.build].bad + tr.sum.bad}
				}
				delete(v.tracks, k)
				s.rows--
			}
		}
	}
}

// fades tells whether a question's counts are forgotten with time.
func (q *Question) fades() bool { return q.Meaning == Counts && policy.FailureKinds[q.Kind] == "slow" }

// Release begins the counts of a new build.
func (s *Source) Release(build int) {
	if build == s.build {
		return
	}
	s.build = build
	for _, of := range s.voices {
		for _, v := range of {
			clear(v.left)
			for _, t := range v.tracks {
				t.sum = pair{}
			}
		}
	}
}

// Take enters an answer. Values that were taken before are passed over.
func (s *Source) Take(now float64, a *Answer) (t Taken) {
	q, v := &s.questions[a.Question], &s.voices[a.Question][a.Server]
	v.first = min(v.first, now)
	bad := make(map[seriesKey][]Point, len(a.Bad))
	for _, b := range a.Bad {
		bad[seriesKey{b.Unit, b.Build}] = b.Points
	}
	met := make(map[seriesKey]bool, len(a.All))
	for _, series := range a.All {
		key := seriesKey{series.Unit, series.Build}
		u, listed := s.units[series.Unit]
		switch {
		case !listed || series.Build != u.Build:
			t.Refused[NoUnit]++
			continue
		case met[key]:
			t.Refused[Doubled]++
			continue
		}
		met[key] = true
		tr := v.tracks[key]
		if tr == nil {
			if s.rows >= mostRows {
				t.Refused[TooMany]++
				continue
			}
			s.rows++
			tr = &track{}
			v.tracks[key] = tr
		}
		if q.Meaning == Counts {
			failures, some := bad[key]
			v.count(now, q, u, tr, series.Points, failures, some, &t)
		} else {
			v.look(now, q, tr, series.Points, &t)
		}
		if tr.started {
			v.last = max(v.last, tr.at)
		}
	}
	return t
}

// fits tells whether a value may count at all.
func (q *Question) fits(now float64, p Point, t *Taken) bool {
	switch {
	case math.IsNaN(p.Value) || math.IsInf(p.Value, 0) || p.Value < 0:
		t.Refused[NoNumber]++
	case p.At > now+q.Skew:
		t.Refused[Ahead]++
	case p.At < now-q.Stale:
		t.Refused[Stale]++
	default:
		return true
	}
	return false
}

// look takes the newest value of what is no counter.
func (v *voice) look(now float64, q *Question, tr *track, points []Point, t *Taken) {
	for _, p := range points {
		if tr.started && p.At <= tr.at || !q.fits(now, p, t) {
			continue
		}
		tr.at, tr.gauge, tr.started = p.At, p.Value, true
		t.Values++
	}
}

// count follows two counters of one process from value to value.
func (v *voice) count(now float64, q *Question, u Unit, tr *track, all, failures []Point, some bool, t *Taken) {
	j := 0
	for _, p := range all {
		if tr.started && p.At <= tr.at {
			continue
		}
		// Both counters stand in one scrape, so that they bear one time. One that has not failed yet may have no failures' counter.
		bad := Point{At: p.At}
		if some {
			for j < len(failures) && failures[j].At < p.At {
				j++
			}
			if j == len(failures) || failures[j].At > p.At {
				continue
			}
			bad = failures[j]
		} else if tr.started {
			bad.Value = tr.bad
			if p.Value < tr.n {
				bad.Value = 0
			}
		}
		if !q.fits(now, p, t) || !q.fits(now, bad, t) {
			continue
		}
		if bad.Value > p.Value {
			t.Refused[Nonsense]++
			continue
		}
		from := *tr
		tr.at, tr.n, tr.bad, tr.started = p.At, p.Value, bad.Value, true
		d := pair{p.Value - from.n, bad.Value - from.bad}
		switch {
		case !from.started && u.Since > v.first && u.Since <= p.At: // its process began under these eyes: all of it is news
			d = pair{p.Value, bad.Value}
		case !from.started:
			continue // what it counted before is of no known time
		case d.n < 0: // the process began anew, and so did its counters
			t.Resets++
			d = pair{p.Value, bad.Value}
		case d.bad < 0 || d.bad > d.n:
			t.Refused[Nonsense]++
			continue
		}
		t.Values++
		gone := math.Exp(-(p.At - from.at) / forget)
		if !from.started {
			gone = 0
		}
		tr.recent = tr.recent.times(gone)
		tr.recent.n, tr.recent.bad = tr.recent.n+d.n, tr.recent.bad+d.bad
		if q.fades() && from.started {
			tr.sum = tr.sum.times(math.Exp(-(p.At - from.at) / lagLife))
		}
		tr.sum.n, tr.sum.bad = tr.sum.n+d.n, tr.sum.bad+d.bad
	}
}

// said is what one server says of one unit's failures.
type said struct {
	share float64
	sum   pair
	mark  float64
}

// middle picks, of what servers say of the same thing, the lower median: of two that disagree the milder, for a failure
// counts only where both see it; of three or more the one in the middle, so that one liar decides nothing.
func middle(list []said) said {
	slices.SortStableFunc(list, func(a, b said) int { return cmp.Compare(a.share, b.share) })
	return list[(len(list)-1)/2]
}

// each gives, unit by unit in order, what the fresh voices on a question say together.
func (s *Source) each(now float64, question int, give func(seriesKey, said)) {
	q := &s.questions[question]
	of, late := map[seriesKey][]said{}, map[seriesKey][]said{}
	for _, v := range s.voices[question] {
		if v.last < now-q.Stale {
			continue // a source that is silent says nothing, nor does what it said once
		}
		for k, tr := range v.tracks {
			switch {
			case !tr.started:
			case tr.at >= now-q.Stale:
				of[k] = append(of[k], q.say(now, tr))
			case q.Meaning == Counts: // the unit is not met any more; what it did, it did
				late[k] = append(late[k], said{share: tr.sum.share(), sum: tr.sum})
			}
		}
		for build, sum := range v.left {
			late[seriesKey{0, build}] = append(late[seriesKey{0, build}], said{share: sum.share(), sum: sum})
		}
	}
	for k, list := range late {
		if of[k] == nil {
			of[k] = list
		}
	}
	keys := make([]seriesKey, 0, len(of))
	for k := range of {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b seriesKey) int { return cmp.Or(cmp.Compare(a.unit, b.unit), cmp.Compare(a.build, b.build)) })
	differ := 0
	for _, k := range keys {
		list := of[k]
		low, high := list[0], list[0]
		for _, x := range list {
			if x.share < low.share {
				low = x
			}
			if x.share > high.share {
				high = x
			}
		}
		if high.share-low.share > apartBy && (q.Meaning != Counts || min(low.sum.n, high.sum.n) >= apartOf) {
			differ++
		}
		give(k, middle(list))
	}
	s.differs[q.Name] = differ
}

// say is what one track says by itself.
func (q *Question) say(now float64, tr *track) said {
	over := func() float64 {
		if tr.gauge <= q.Limit {
			return 0
		}
		return 1 - q.Limit/tr.gauge
	}
	x := said{}
	switch q.Meaning {
	case Counts:
		x.sum, x.share = tr.sum, tr.sum.share()
		x.mark = tr.recent.bad / (tr.recent.n + doubt)
	case Probe:
		x.mark = 1 - min(1, tr.gauge)
		x.share = x.mark
	default:
		x.mark = over()
		x.share = x.mark
	}
	x.mark *= q.Weight * math.Exp(-max(0, now-tr.at)/forget)
	return x
}

// Counted gives the counts of the present build against earlier ones.
func (s *Source) Counted(now float64) policy.MetricsEvidence {
	out := policy.MetricsEvidence{Evidence: policy.Evidence{Build: s.build}}
	at := map[seriesKey]int{}
	for i := range s.questions {
		q := &s.questions[i]
		if q.Meaning != Counts {
			continue
		}
		out.Independent[q.Kind] = q.Apart
		s.each(now, i, func(k seriesKey, x said) {
			if x.sum.n == 0 {
				return
			}
			j, ok := at[k]
			if !ok {
				j = len(out.Samples)
				at[k] = j
				out.Samples = append(out.Samples, policy.EndpointSample{Endpoint: k.unit, Build: k.build})
			}
			out.Samples[j].Outcomes[q.Kind], out.Samples[j].Failures[q.Kind] = x.sum.n*q.Weight, x.sum.bad*q.Weight
		})
	}
	return out
}

// Marks gives the units that are marked, in order.
func (s *Source) Marks(now float64) []policy.HealthMark {
	of := map[uint32]*policy.HealthMark{}
	for i := range s.questions {
		q := &s.questions[i]
		s.each(now, i, func(k seriesKey, x said) {
			if x.mark < faint || s.units[k.unit].Build != k.build {
				return
			}
			m := of[k.unit]
			if m == nil {
				m = &policy.HealthMark{Endpoint: k.unit}
				of[k.unit] = m
			}
			if q.Meaning == Counts && policy.FailureKinds[q.Kind] == "wrong" {
				m.WrongShare = max(m.WrongShare, x.mark)
			} else {
				m.DegradedShare = max(m.DegradedShare, x.mark)
			}
		})
	}
	list := make([]policy.HealthMark, 0, len(of))
	for _, m := range of {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(a, b policy.HealthMark) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// Differ tells on how many units the servers disagreed about a question at the last look.
func (s *Source) Differ(question string) int { return s.differs[question] }

// Fresh tells how many units a server's answers to a question speak of that are not stale.
func (s *Source) Fresh(now float64, question, server int) (n int) {
	for _, tr := range s.voices[question][server].tracks {
		if tr.started && tr.at >= now-s.questions[question].Stale {
			n++
		}
	}
	return n
}
