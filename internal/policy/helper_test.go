package policy

import (
	"fmt"
	"math"
	"sort"
)

// fleet drives one Balancer by hand: a clock, an endpoint list, requests and their outcomes.
type fleet struct {
	b   *Balancer
	now float64
	id  uint32
}

type endpointEntry struct {
	id        uint32
	build     int
	state     EndpointState
	startedAt float64
}

// newFleet returns a fleet with three classes, one of each idempotency, and endpoints 1 to
// 4 of build 7, long past slow start.
func newFleet(edit func(*Config)) *fleet {
	t := Config{
		RouterGroups: 2, TimerResolutionSeconds: 0.005, AllowHedging: false, AllowCancel: true, MaxRetryAfterSeconds: 1, MaxAttempts: 4, ConnIdleSeconds: 15, RequestsPerConn: 100,
		Classes: []RequestClass{
			{LatencyObjectiveSeconds: 0.3, PriorityWeight: 2, Idempotency: Idempotent, DedupWindowSeconds: 1},
			{LatencyObjectiveSeconds: 0.3, PriorityWeight: 2, Idempotency: IdempotentWithKey, DedupWindowSeconds: 1},
			{LatencyObjectiveSeconds: 0.3, PriorityWeight: 5, Idempotency: NonIdempotent},
		},
		SlowStartInitialShare: 0.4, SlowStartSeconds: 4, SlowStartOverloadFactor: 3, SlowStartOverloadSeconds: 2, CanaryWindowSeconds: 4, CanaryFreeAttempts: 2,
		CanaryLimits: []float64{0.1, 0.5, 1}, StageShares: []float64{0.1, 0.5, 1}, WrongAnswerPrice: 3, StaleBuildPrice: 0.5, WrongAnswerReportShare: 0.2,
		VoteLifetimeSeconds: 10, VoteTimeoutSeconds: 1, VotesPerSecond: 20,
	}
	if edit != nil {
		edit(&t)
	}
	f := &fleet{b: New(t, 42, 100), now: 100}
	f.list(true, endpointEntry{id: 1, build: 7}, endpointEntry{id: 2, build: 7}, endpointEntry{id: 3, build: 7}, endpointEntry{id: 4, build: 7})
	f.b.ApplyRelease(f.now, 7, 2, PhaseReleased, 1, 50)
	return f
}

func (f *fleet) list(full bool, endpoints ...endpointEntry) {
	f.b.BeginEndpointList(full)
	for _, m := range endpoints {
		f.b.UpdateEndpoint(m.id, 0, uint16(m.id%2), m.build, m.state, 1, m.startedAt)
	}
	f.b.EndEndpointList(f.now)
}

// request creates a request, picks for it and records the attempt.
func (f *fleet) request(class int) (*Request, Decision) {
	f.id++
	c := &Request{ID: f.id, Class: class, ReceivedAt: f.now, Deadline: f.now + 0.8}
	return c, f.pick(c)
}

func (f *fleet) pick(c *Request) Decision { return f.did(c, f.b.Pick(f.now, c)) }

func (f *fleet) did(c *Request, s Decision) Decision {
	switch s.Action {
	case Send:
		c.Attempts = append(c.Attempts, Attempt{Endpoint: s.Endpoint, StartedAt: f.now, InFlight: true})
	case Reject, Fail:
		c.Completed = true
	}
	return s
}

// answer ends the last attempt of a request.
func (f *fleet) answer(c *Request, r Outcome) Decision {
	d := &c.Attempts[len(c.Attempts)-1]
	d.InFlight, d.MayHaveRun = false, r != Overloaded && r != NotConnected && r != NotSent
	c.Completed = c.Completed || r == Succeeded
	return f.did(c, f.b.OnAttemptDone(f.now, c, d.Endpoint, r, f.now-d.StartedAt))
}

// run sends n idempotent requests over the given seconds; outcome determines how each attempt ends and
// after how long. It returns the attempts by build.
func (f *fleet) run(n int, secs float64, outcome func(u uint32, build int) (Outcome, float64)) map[int]int {
	sent := map[int]int{}
	type end struct {
		at float64
		c  *Request
		r  Outcome
	}
	var out []end
	finish := func(until float64) {
		for len(out) > 0 && out[0].at <= until {
			f.now = max(f.now, out[0].at)
			f.answer(out[0].c, out[0].r)
			out = out[1:]
		}
	}
	for i, start := 0, f.now; i < n; i++ {
		at := start + secs*float64(i)/float64(n)
		finish(at)
		f.now = at
		if c, s := f.request(0); s.Action == Send {
			u := f.b.endpointByID[s.Endpoint]
			sent[u.build]++
			r, took := outcome(u.id, u.build)
			out = append(out, end{f.now + took, c, r})
			sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
		}
	}
	finish(math.Inf(1))
	return sent
}

func succeed(uint32, int) (Outcome, float64) { return Succeeded, 0.05 }

// vote ticks until a vote is cast or the time is up, and prints the vote.
func (f *fleet) vote(secs float64, reply VoteReply) {
	for end := f.now + secs; f.now < end; {
		t := f.b.TickAndVote(f.now)
		if t.CastVote {
			names := [...]string{"none", "promote", "hold", "rollback"}
			fmt.Printf("vote %s on build %d stage %d\n", names[t.Verdict], t.Build, t.Stage)
			f.now += t.NextTickSeconds
			f.b.OnVoteReply(f.now, reply)
			return
		}
		f.now += t.NextTickSeconds
	}
	fmt.Println("no vote")
}

func (s Decision) String() string {
	if s.Action == NoAction && s.CancelInFlight {
		return "cancel"
	}
	return [...]string{"nothing", "send", "hold", fmt.Sprintf("reject, retry after %.1f s", s.RetryAfterSeconds), "fail"}[s.Action]
}
