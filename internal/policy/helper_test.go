package policy

import (
	"fmt"
	"math"
	"sort"
)

// fleet is a test harness: one Balancer with a manual clock, an endpoint list, requests and their outcomes.
type fleet struct {
	b             *Balancer
	now           float64
	lastRequestID uint32
}

type endpointEntry struct {
	id        uint32
	build     int
	state     EndpointState
	startedAt float64
}

// newFleet returns a fleet with three request classes, one of each idempotency, and endpoints 1 to 4 of build 7, long
// past slow start. edit, if not nil, changes the configuration first.
func newFleet(edit func(*Config)) *fleet {
	config := Config{
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
		edit(&config)
	}
	f := &fleet{b: New(config, 42, 100), now: 100}
	f.list(true, endpointEntry{id: 1, build: 7}, endpointEntry{id: 2, build: 7}, endpointEntry{id: 3, build: 7}, endpointEntry{id: 4, build: 7})
	f.b.ApplyRelease(f.now, 7, 2, PhaseReleased, 1, 50)
	return f
}

// list applies an update of the endpoint list; endpoints with an odd id are in cell 1, the others in cell 0.
func (f *fleet) list(full bool, entries ...endpointEntry) {
	f.b.BeginEndpointList(full)
	for _, entry := range entries {
		f.b.UpdateEndpoint(entry.id, 0, uint16(entry.id%2), entry.build, entry.state, 1, entry.startedAt)
	}
	f.b.EndEndpointList(f.now)
}

// request creates a request, picks for it and applies the decision.
func (f *fleet) request(class int) (*Request, Decision) {
	f.lastRequestID++
	r := &Request{ID: f.lastRequestID, Class: class, ReceivedAt: f.now, Deadline: f.now + 0.8}
	return r, f.pick(r)
}

func (f *fleet) pick(r *Request) Decision { return f.apply(r, f.b.Pick(f.now, r)) }

// apply updates a request as the caller of a Balancer must after a decision.
func (f *fleet) apply(r *Request, decision Decision) Decision {
	r.Completed = r.Completed || decision.Action == Reject || decision.Action == Fail
	return decision
}

// answer ends the last attempt of a request.
func (f *fleet) answer(r *Request, outcome Outcome) Decision {
	last := len(r.Attempts) - 1
	r.Completed = r.Completed || outcome == Succeeded
	return f.apply(r, f.b.OnAttemptDone(f.now, r, last, outcome, f.now-r.Attempts[last].StartedAt))
}

// run sends n idempotent requests at even intervals over the given seconds; outcome determines how each attempt ends
// and after how many seconds. It returns the number of first attempts by build.
func (f *fleet) run(n int, seconds float64, outcome func(endpointID uint32, build int) (Outcome, float64)) map[int]int {
	attempts := map[int]int{}
	type answer struct {
		at      float64
		request *Request
		outcome Outcome
	}
	var pending []answer // in the order of their times
	answerUntil := func(until float64) {
		for len(pending) > 0 && pending[0].at <= until {
			f.now = max(f.now, pending[0].at)
			f.answer(pending[0].request, pending[0].outcome)
			pending = pending[1:]
		}
	}
	for i, start := 0, f.now; i < n; i++ {
		at := start + seconds*float64(i)/float64(n)
		answerUntil(at)
		f.now = at
		if r, decision := f.request(0); decision.Action == Send {
			e := f.b.endpointByID[decision.Endpoint]
			attempts[e.build]++
			result, duration := outcome(e.id, e.build)
			pending = append(pending, answer{f.now + duration, r, result})
			sort.SliceStable(pending, func(i, j int) bool { return pending[i].at < pending[j].at })
		}
	}
	answerUntil(math.Inf(1))
	return attempts
}

// succeed is an outcome function for run: each attempt succeeds after 0.05 s.
func succeed(uint32, int) (Outcome, float64) { return Succeeded, 0.05 }

// vote ticks until a vote is cast or the given seconds are over, and prints the vote.
func (f *fleet) vote(seconds float64, reply VoteReply) {
	for end := f.now + seconds; f.now < end; {
		result := f.b.TickAndVote(f.now)
		if result.CastVote {
			names := [...]string{"none", "promote", "hold", "rollback"}
			fmt.Printf("vote %s on build %d stage %d\n", names[result.Verdict], result.Build, result.Stage)
			f.now += result.NextTickSeconds
			f.b.OnVoteReply(f.now, reply)
			return
		}
		f.now += result.NextTickSeconds
	}
	fmt.Println("no vote")
}

// String describes a decision for the examples' output.
func (d Decision) String() string {
	if d.Action == NoAction && d.CancelInFlight {
		return "cancel"
	}
	return [...]string{"nothing", "send", "hold", fmt.Sprintf("reject, retry after %.1f s", d.RetryAfterSeconds), "fail"}[d.Action]
}
