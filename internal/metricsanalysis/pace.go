package metricsanalysis

import "math"

const (
	slowPace = 4.0  // a server is asked again no sooner than so many times as long as it takes to answer
	quickly  = 0.25 // weight of a new answer in how long a server takes
	burst    = 0.25 // s of the budget that may be spent at once
)

// Bounds is what asking may cost, all servers together.
type Bounds struct {
	ASecond  float64 // queries
	AtOnce   int
	BackMost float64 // s, the longest pause of a server that fails
}

// Job is one asking that comes again.
type Job struct {
	Server, Question, Part int
	Period                 float64
	Cost                   float64 // queries that it takes
}

type job struct {
	Job
	due   float64
	out   bool
	fails int
}

type pacedServer struct {
	out   int
	fails int
	took  float64
	until float64 // it is left alone
}

// Pace decides what is asked when. The budget holds for all jobs together: where there are more than it pays for, each
// comes more seldom, all alike. A server that is slow is asked more seldom, one that fails is left alone for longer and
// longer and then asked one thing.
type Pace struct {
	bounds  Bounds
	servers []pacedServer
	jobs    []*job
	tokens  float64
	at      float64
	out     int
	late    float64 // how late jobs have come lately, in their periods
}

// NewPace makes a pace for so many servers.
func NewPace(b Bounds, servers int, now float64) *Pace {
	return &Pace{bounds: b, servers: make([]pacedServer, servers), at: now}
}

// Jobs replaces what is to be asked. What stays keeps its time; what is new is spread over its period.
func (p *Pace) Jobs(now float64, list []Job) {
	type key struct{ server, question, part int }
	old := map[key]*job{}
	for _, j := range p.jobs {
		old[key{j.Server, j.Question, j.Part}] = j
	}
	p.jobs = p.jobs[:0:0]
	for i, j := range list {
		of := old[key{j.Server, j.Question, j.Part}]
		if of == nil {
			of = &job{due: now + j.Period*float64(i)/float64(len(list))}
		}
		of.Job = j
		p.jobs = append(p.jobs, of)
	}
}

// Asking is a job that was let out.
type Asking struct {
	Job
	of   *job
	sent float64
}

// Next gives what is to be asked now, or how long to wait until it is worth asking again.
func (p *Pace) Next(now float64) (a Asking, ok bool, wait float64) {
	p.tokens = min(p.tokens+(now-p.at)*p.bounds.ASecond, max(2, burst*p.bounds.ASecond))
	p.at = now
	wait = math.Inf(1)
	if p.out >= p.bounds.AtOnce {
		return a, false, wait // the end of one of them is the time
	}
	var best *job
	var most float64
	for _, j := range p.jobs {
		s := &p.servers[j.Server]
		// No server may take up all that is asked at once, and one that fails gets one question.
		room := max(1, (p.bounds.AtOnce+1)/2)
		if s.fails > 0 {
			room = 1
		}
		if j.out || s.out >= room {
			continue
		}
		at := max(j.due, s.until)
		if at > now {
			wait = min(wait, at-now)
		} else if over := (now - j.due) / j.Period; best == nil || over > most {
			best, most = j, over
		}
	}
	if best == nil {
		return a, false, wait
	}
	if p.tokens < best.Cost {
		return a, false, (best.Cost - p.tokens) / p.bounds.ASecond
	}
	p.tokens -= best.Cost
	s := &p.servers[best.Server]
	s.out++
	p.out++
	best.out = true
	p.late += quickly * (max(0, most) - p.late)
	best.due = now + max(best.Period, slowPace*s.took)
	return Asking{best.Job, best, now}, true, 0
}

// Ended is how an asking ended.
type Ended uint8

const (
	Answered Ended = iota
	Declined       // the server answers, but not this
	Sick           // the server does not answer
)

// Done enters how an asking ended. after is how long the server wants to be left alone, 0: it does not say.
func (p *Pace) Done(now float64, a Asking, how Ended, after float64) {
	s := &p.servers[a.Server]
	s.out--
	p.out--
	a.of.out = false
	took := now - a.sent
	pause := func(fails int) float64 {
		return max(min(p.bounds.BackMost, a.Period*math.Pow(2, float64(min(fails, 30)-1))), min(after, p.bounds.BackMost))
	}
	if how == Sick {
		s.fails++
		s.until = now + pause(s.fails)
		s.took = max(s.took, took)
		return
	}
	s.fails, s.until = 0, 0
	if s.took == 0 {
		s.took = took
	}
	s.took += quickly * (took - s.took)
	a.of.due = max(a.of.due, a.sent+slowPace*s.took)
	if how == Answered {
		a.of.fails = 0
		return
	}
	a.of.fails++
	a.of.due = max(a.of.due, now+pause(a.of.fails))
}

// Late tells how many periods late jobs have come lately: what the budget and slow servers cost.
func (p *Pace) Late() float64 { return p.late }

// Resting tells whether a server is left alone, and for how much longer.
func (p *Pace) Resting(now float64, server int) float64 { return max(0, p.servers[server].until-now) }
