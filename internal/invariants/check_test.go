package invariants

import (
	"fmt"
	"strings"
)

var bounds = Bounds{SlackSeconds: 0.02, GraceSeconds: 1, SlowStartInitialShare: 0.25, SlowStartSeconds: 4, SlowStartOverloadFactor: 2, SlowStartOverloadSeconds: 1, CanaryWindowSeconds: 4, CanaryFreeAttempts: 1, CanaryLimits: []float64{0.1, 0.5}}

// cleanRecord returns a record that violates no rule: a router, an endpoint of build 1, an endpoint of build 2, and a
// request of each kind of idempotency.
func cleanRecord() *Record {
	r := NewRecord()
	r.Incarnations = []*Incarnation{{RouterGroup: "r1", StartedAt: 0}}
	r.Endpoints[1] = &Endpoint{ID: 1, Build: 1, StartedAt: -100, Capacity: 2}
	r.Endpoints[2] = &Endpoint{ID: 2, Build: 2, StartedAt: -100, Capacity: 2, Cell: 1}
	for i, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		id := uint64(i + 1)
		r.Requests[id] = &Request{ID: id, RouterGroup: "r1", Class: string(idempotency), Idempotency: idempotency, DedupScope: "cell", DedupWindowSeconds: 0.5, Key: "k", PriorityWeight: 1, LatencyObjectiveSeconds: 1,
			FirstSentAt: 10, SentAt: 10, Deadline: 11, Answers: []Answer{{10.1, "acked", 1}}, IsFinal: true}
		r.Attempts = append(r.Attempts, &Attempt{RequestID: id, Endpoint: 1, At: 10.01, WorkSeconds: 0.1})
	}
	return r
}

// showViolations applies change to a clean record and edit, if not nil, to the bounds, and prints the first violation of
// each rule.
func showViolations(name string, change func(*Record), edit func(*Bounds)) {
	r, b := cleanRecord(), bounds
	change(r)
	if edit != nil {
		edit(&b)
	}
	var violated []string
	for _, rule := range Check(r, b).Rules {
		if rule.Violations > 0 {
			violated = append(violated, fmt.Sprintf("rule %s: %s", rule.Name, rule.FirstViolations[0]))
		}
	}
	fmt.Println(strings.TrimSpace(name + ": " + strings.Join(violated, "; ")))
}

// Shows that the checker reports a violation of each rule, and does not report similar records that keep the rules.
func Example_violations() {
	showViolations("clean", func(*Record) {}, nil)
	showViolations("no answer", func(r *Record) { r.Requests[1].Answers = nil }, nil)
	showViolations("no answer, router killed", func(r *Record) {
		r.Requests[1].Answers, r.Requests[1].ClosedAt = nil, 10.5
		r.Incarnations[0].EndedAt, r.Incarnations[0].Killed = 10.5, true
	}, nil)
	showViolations("no answer, request abandoned", func(r *Record) { r.Requests[1].Answers, r.Requests[1].AbandonedAt = nil, 10.2 }, nil)
	draining := func(closedAt float64, reachedEndpoint bool) func(*Record) {
		return func(r *Record) {
			r.Incarnations[0].DrainingFrom, r.Incarnations[0].EndedAt = 9.99, 10.6
			r.Requests[1].Answers, r.Requests[1].ClosedAt = nil, closedAt
			if !reachedEndpoint {
				r.Attempts = r.Attempts[1:]
			}
		}
	}
	showViolations("written just as a draining router closed the connection", draining(10.005, false), nil)
	showViolations("the same, but it reached an endpoint", draining(10.005, true), nil)
	showViolations("accepted by a draining router, then dropped", draining(10.3, false), nil)
	showViolations("two answers", func(r *Record) { r.Requests[1].Answers = []Answer{{10.1, "acked", 1}, {10.2, "failed", 0}} }, nil)
	showViolations("late answer", func(r *Record) { r.Requests[1].Answers[0].At = 11.1 }, nil)
	showViolations("late answer, router paused", func(r *Record) {
		r.Requests[1].Answers[0].At = 11.1
		r.Incarnations[0].Pauses = [][2]float64{{10.5, 11}}
	}, nil)
	showViolations("unexpected answer", func(r *Record) { r.UnexpectedAnswers = []string{"unexpected answer"} }, nil)
	showViolations("sent after the answer", func(r *Record) { addAttempt(r, 1, 1, 10.3) }, nil)
	showViolations("at-most-once twice", func(r *Record) { r.Requests[3].Answers[0].At = 10.5; addAttempt(r, 3, 1, 10.3) }, nil)
	showViolations("at-most-once twice, first rejected", func(r *Record) {
		r.Requests[3].Answers[0].At = 10.5
		r.Attempts[2].RejectedAt = 10.02
		addAttempt(r, 3, 1, 10.3)
	}, nil)
	showViolations("at-most-once rejected after it may have run", func(r *Record) { r.Requests[3].Answers[0].Kind = "nacked" }, nil)
	showViolations("deduplicated after its window", func(r *Record) { r.Requests[2].Answers[0].At = 10.9; addAttempt(r, 2, 1, 10.6) }, nil)
	showViolations("deduplicated outside its cell", func(r *Record) {
		r.ReleaseUpdates = []ReleaseUpdate{{9, "r1", 2, 1, "released", 1}}
		r.Requests[2].Answers[0].At = 10.9
		addAttempt(r, 2, 2, 10.2)
	}, nil)
	endpointDrained := func(readyAgain bool) func(*Record) {
		return func(r *Record) {
			r.EndpointUpdates = []EndpointUpdate{{8, "r1", 1, false}}
			if readyAgain {
				r.EndpointUpdates = append(r.EndpointUpdates, EndpointUpdate{9.5, "r1", 1, true})
			}
		}
	}
	showViolations("sent to a draining endpoint", endpointDrained(false), nil)
	showViolations("sent to an endpoint that is ready again", endpointDrained(true), nil)
	showViolations("drain sent to an earlier incarnation", func(r *Record) {
		endpointDrained(false)(r)
		r.Incarnations = []*Incarnation{{RouterGroup: "r1", StartedAt: 0, EndedAt: 8.5, Killed: true}, {RouterGroup: "r1", StartedAt: 9}}
	}, nil)
	showViolations("endpoint overloaded in slow start", func(r *Record) {
		r.Endpoints[1].StartedAt = 10
		for i := range 12 {
			addAttempt(r, 1, 1, 10.02+float64(i)/1000)
		}
		r.Requests[1].Answers[0].At = 10.9
	}, nil)
	canaryAttempts := func(n int, at float64) func(*Record) {
		return func(r *Record) {
			r.ReleaseUpdates = append([]ReleaseUpdate{{5, "r1", 2, 0, "on-trial", 0.1}}, r.ReleaseUpdates...)
			for i := range n {
				addAttempt(r, 1, 2, at+float64(i)/100)
			}
			r.Requests[1].Answers[0].At = 10.9
		}
	}
	showViolations("one attempt at a canary", canaryAttempts(1, 10.1), nil)
	showViolations("over the canary limit", canaryAttempts(2, 10.1), nil)
	showViolations("over a canary limit that was lowered within the grace", func(r *Record) {
		canaryAttempts(2, 10.1)(r)
		r.ReleaseUpdates = []ReleaseUpdate{{5, "r1", 2, 1, "on-trial", 0.5}, {9.6, "r1", 2, 1, "going-back", 0}}
	}, nil)
	showViolations("at canary limit 0 after the grace", func(r *Record) {
		canaryAttempts(1, 10.1)(r)
		r.ReleaseUpdates = []ReleaseUpdate{{5, "r1", 2, 1, "on-trial", 0.5}, {8, "r1", 2, 1, "going-back", 0}}
	}, nil)
	showViolations("canary without a release update", func(r *Record) { canaryAttempts(2, 10.1)(r); r.ReleaseUpdates = nil }, nil)
	showViolations("released", func(r *Record) { canaryAttempts(5, 10.1)(r); r.ReleaseUpdates[0].Phase = "released" }, nil)
	showViolations("guarded stage", func(r *Record) {
		canaryAttempts(0, 0)(r)
		addAttempt(r, 3, 2, 10.005)
		r.Attempts[2].RejectedAt = 10.006
		r.Attempts[3].RejectedAt = 10.006
	}, func(b *Bounds) { b.IdempotentOnlyStages = 1 })
	showViolations("one-way key", func(r *Record) {
		canaryAttempts(1, 10.005)(r)
		r.Requests[1].Answers[0] = Answer{10.006, "acked", 2}
		r.Attempts[1].At = 10.2
		r.Requests[2].Answers[0].At = 10.3
	}, func(b *Bounds) { b.OneWayKeys = true })
	showViolations("one-way key, router killed in between", func(r *Record) {
		canaryAttempts(1, 10.005)(r)
		r.Requests[1].Answers[0] = Answer{10.006, "acked", 2}
		r.Attempts[1].At, r.Requests[2].SentAt = 10.2, 10.15
		r.Requests[2].Answers[0].At = 10.3
		r.Requests[3].Answers[0] = Answer{10.003, "acked", 1}
		r.Attempts[2].At = 10.002
		r.Incarnations = []*Incarnation{{RouterGroup: "r1", StartedAt: 0, EndedAt: 10.1, Killed: true}, {RouterGroup: "r1", StartedAt: 10.12}}
		r.ReleaseUpdates = append(r.ReleaseUpdates, ReleaseUpdate{10.13, "r1", 2, 0, "on-trial", 0.1})
	}, func(b *Bounds) { b.OneWayKeys = true })
	withController := func(n int, controllers ...*Incarnation) func(*Record) {
		return func(r *Record) {
			canaryAttempts(n, 10.1)(r)
			r.Incarnations = append(controllers, &Incarnation{RouterGroup: "r1", StartedAt: 0, EndedAt: 10.12, Killed: true}, &Incarnation{RouterGroup: "r1", StartedAt: 10.12})
		}
	}
	showViolations("two routers with a controller, together over the limit", withController(2, &Incarnation{RouterGroup: "r1", IsController: true}), nil)
	showViolations("two routers with a controller, together within the limit", withController(1, &Incarnation{RouterGroup: "r1", IsController: true}), nil)
	paused := &Incarnation{RouterGroup: "r1", IsController: true, Pauses: [][2]float64{{7.9, 9.9}}}
	showViolations("drain sent to a paused controller", func(r *Record) { endpointDrained(false)(r); r.Incarnations = append(r.Incarnations, paused) }, nil)
	showViolations("drain sent to a controller that was killed at once", func(r *Record) {
		endpointDrained(false)(r)
		r.Incarnations = append(r.Incarnations, &Incarnation{RouterGroup: "r1", IsController: true, EndedAt: 8.1, Killed: true}, &Incarnation{RouterGroup: "r1", IsController: true, StartedAt: 8.2})
	}, nil)
	showViolations("drain sent to a controller that kept running", func(r *Record) {
		endpointDrained(false)(r)
		r.Incarnations = append(r.Incarnations, &Incarnation{RouterGroup: "r1", IsController: true, EndedAt: 8.9, Killed: true})
	}, nil)
	// Output:
	// clean:
	// no answer: rule 1 final answer: request 1 to r1 at 10.000 got no answer until 11.000 (connection closed at 0.000)
	// no answer, router killed:
	// no answer, request abandoned:
	// written just as a draining router closed the connection:
	// the same, but it reached an endpoint: rule 1 final answer: request 1 to r1 at 10.000 got no answer until 11.000 (connection closed at 10.005)
	// accepted by a draining router, then dropped: rule 1 final answer: request 1 to r1 at 10.000 got no answer until 11.000 (connection closed at 10.300)
	// two answers: rule 1 final answer: request 1 got 2 answers
	// late answer: rule 1 final answer: request 1 was answered 0.100 s after its deadline
	// late answer, router paused:
	// unexpected answer: rule 1 final answer: unexpected answer
	// sent after the answer: rule 1 final answer: request 1 was sent to endpoint 1 0.200 s after its answer
	// at-most-once twice: rule 2 effects: at-most-once request 3 was sent to endpoint 1, 0.290 s after it may have run on endpoint 1
	// at-most-once twice, first rejected:
	// at-most-once rejected after it may have run: rule 2 effects: at-most-once request 3 was rejected although it may have run on endpoint 1
	// deduplicated after its window: rule 2 effects: deduplicated request 2 was repeated after 0.590 s
	// deduplicated outside its cell: rule 2 effects: deduplicated request 2 was repeated outside its cell
	// sent to a draining endpoint: rule 3 drains: r1 sent an attempt to endpoint 1 2.010 s after learning that the endpoint is draining or gone
	// sent to an endpoint that is ready again:
	// drain sent to an earlier incarnation:
	// endpoint overloaded in slow start: rule 4 cold units: endpoint 1, 0.03 s old, was sent 1.10 s of work within 1.0 s; the limit is 1.02
	// one attempt at a canary:
	// over the canary limit: rule 5 exposure: r1 sent build 2 (stage 0, canary limit 0.10) 2 attempts in the window up to 10.110; the limit is 1.3 for 3 requests
	// over a canary limit that was lowered within the grace:
	// at canary limit 0 after the grace: rule 5 exposure: r1 sent an attempt to build 2 at canary limit 0
	// canary without a release update: rule 5 exposure: r1 sent build 2 (stage 0, canary limit 0.10) 2 attempts in the window up to 10.110; the limit is 1.3 for 3 requests
	// released:
	// guarded stage: rule 5 exposure: r1 sent a request (at-most-once) to build 2 in guarded stage 0
	// one-way key: rule 5 exposure: r1 sent key "k" to build 1 after build 2 had answered it
	// one-way key, router killed in between:
	// two routers with a controller, together over the limit: rule 5 exposure: r1 sent build 2 (stage 0, canary limit 0.10) 2 attempts in the window up to 10.110; the limit is 1.3 for 3 requests
	// two routers with a controller, together within the limit:
	// drain sent to a paused controller:
	// drain sent to a controller that was killed at once:
	// drain sent to a controller that kept running: rule 3 drains: r1 sent an attempt to endpoint 1 2.010 s after learning that the endpoint is draining or gone
}

func addAttempt(r *Record, request uint64, endpoint uint32, at float64) {
	r.Attempts = append(r.Attempts, &Attempt{RequestID: request, Endpoint: endpoint, At: at, WorkSeconds: 0.1})
}
