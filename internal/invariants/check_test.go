package invariants

import (
	"fmt"
	"strings"
)

var bounds = Bounds{SlackSeconds: 0.02, GraceSeconds: 1, SlowStartInitialShare: 0.25, SlowStartSeconds: 4, SlowStartOverloadFactor: 2, SlowStartOverloadSeconds: 1, CanaryWindowSeconds: 4, CanaryFreeAttempts: 1, CanaryLimits: []float64{0.1, 0.5}}

// cleanRecord breaks no rule: a relay, an endpoint of build 1 and one of build 2, a request of each idempotency.
func cleanRecord() *Record {
	r := NewRecord()
	r.Incarnations = []*Incarnation{{RouterGroup: "r1", StartedAt: 0}}
	r.Endpoints[1] = &Endpoint{ID: 1, Build: 1, StartedAt: -100, Capacity: 2}
	r.Endpoints[2] = &Endpoint{ID: 2, Build: 2, StartedAt: -100, Capacity: 2, Cell: 1}
	for i, e := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		id := uint64(i + 1)
		r.Requests[id] = &Request{ID: id, RouterGroup: "r1", Class: string(e), Idempotency: e, DedupScope: "cell", DedupWindowSeconds: 0.5, Key: "k", PriorityWeight: 1, LatencyObjectiveSeconds: 1,
			FirstSentAt: 10, SentAt: 10, Deadline: 11, Answers: []Answer{{10.1, "acked", 1}}, FinalTry: true}
		r.Attempts = append(r.Attempts, &Attempt{RequestID: id, Endpoint: 1, At: 10.01, WorkSeconds: 0.1})
	}
	return r
}

// show prints the first breach of each rule in a clean record that was changed, under bounds that were edited.
func show(name string, change func(*Record), edit func(*Bounds)) {
	r, b := cleanRecord(), bounds
	change(r)
	if edit != nil {
		edit(&b)
	}
	var broken []string
	for _, rule := range Check(r, b).Rules {
		if rule.Violations > 0 {
			broken = append(broken, fmt.Sprintf("rule %s: %s", rule.Name, rule.FirstViolations[0]))
		}
	}
	fmt.Println(strings.TrimSpace(name + ": " + strings.Join(broken, "; ")))
}

// Each rule is seen to be broken, and what only looks like it is not.
func Example_violations() {
	show("clean", func(*Record) {}, nil)
	show("no answer", func(r *Record) { r.Requests[1].Answers = nil }, nil)
	show("no answer, relay killed", func(r *Record) {
		r.Requests[1].Answers, r.Requests[1].ClosedAt = nil, 10.5
		r.Incarnations[0].EndedAt, r.Incarnations[0].Killed = 10.5, true
	}, nil)
	show("no answer, client left", func(r *Record) { r.Requests[1].Answers, r.Requests[1].AbandonedAt = nil, 10.2 }, nil)
	stopping := func(broken float64, met bool) func(*Record) {
		return func(r *Record) {
			r.Incarnations[0].DrainingFrom, r.Incarnations[0].EndedAt = 9.99, 10.6
			r.Requests[1].Answers, r.Requests[1].ClosedAt = nil, broken
			if !met {
				r.Attempts = r.Attempts[1:]
			}
		}
	}
	show("written as a draining relay closed", stopping(10.005, false), nil)
	show("the same, but a unit met it", stopping(10.005, true), nil)
	show("accepted by a draining relay, then dropped", stopping(10.3, false), nil)
	show("two answers", func(r *Record) { r.Requests[1].Answers = []Answer{{10.1, "acked", 1}, {10.2, "failed", 0}} }, nil)
	show("late answer", func(r *Record) { r.Requests[1].Answers[0].At = 11.1 }, nil)
	show("late answer, relay stood still", func(r *Record) {
		r.Requests[1].Answers[0].At = 11.1
		r.Incarnations[0].Pauses = [][2]float64{{10.5, 11}}
	}, nil)
	show("stray bytes", func(r *Record) { r.StrayAnswers = []string{"an answer nobody waited for"} }, nil)
	show("sent after the answer", func(r *Record) { addAttempt(r, 1, 1, 10.3) }, nil)
	show("at-most-once twice", func(r *Record) { r.Requests[3].Answers[0].At = 10.5; addAttempt(r, 3, 1, 10.3) }, nil)
	show("at-most-once twice, first never ran", func(r *Record) {
		r.Requests[3].Answers[0].At = 10.5
		r.Attempts[2].RejectedAt = 10.02
		addAttempt(r, 3, 1, 10.3)
	}, nil)
	show("at-most-once nacked", func(r *Record) { r.Requests[3].Answers[0].Kind = "nacked" }, nil)
	show("deduplicated past its window", func(r *Record) { r.Requests[2].Answers[0].At = 10.9; addAttempt(r, 2, 1, 10.6) }, nil)
	show("deduplicated outside its cell", func(r *Record) {
		r.ReleaseUpdates = []ReleaseUpdate{{9, "r1", 2, 1, "released", 1}}
		r.Requests[2].Answers[0].At = 10.9
		addAttempt(r, 2, 2, 10.2)
	}, nil)
	draining := func(ready bool) func(*Record) {
		return func(r *Record) {
			r.EndpointUpdates = []EndpointUpdate{{8, "r1", 1, false}}
			if ready {
				r.EndpointUpdates = append(r.EndpointUpdates, EndpointUpdate{9.5, "r1", 1, true})
			}
		}
	}
	show("sent to a drained unit", draining(false), nil)
	show("sent to a unit that came back", draining(true), nil)
	show("drain told to an earlier life", func(r *Record) {
		draining(false)(r)
		r.Incarnations = []*Incarnation{{RouterGroup: "r1", StartedAt: 0, EndedAt: 8.5, Killed: true}, {RouterGroup: "r1", StartedAt: 9}}
	}, nil)
	show("cold unit flooded", func(r *Record) {
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
	show("one trial delivery", canaryAttempts(1, 10.1), nil)
	show("over the cap", canaryAttempts(2, 10.1), nil)
	show("over a cap that was lowered within the grace", func(r *Record) {
		canaryAttempts(2, 10.1)(r)
		r.ReleaseUpdates = []ReleaseUpdate{{5, "r1", 2, 1, "on-trial", 0.5}, {9.6, "r1", 2, 1, "going-back", 0}}
	}, nil)
	show("at cap 0 after the grace", func(r *Record) {
		canaryAttempts(1, 10.1)(r)
		r.ReleaseUpdates = []ReleaseUpdate{{5, "r1", 2, 1, "on-trial", 0.5}, {8, "r1", 2, 1, "going-back", 0}}
	}, nil)
	show("unannounced", func(r *Record) { canaryAttempts(2, 10.1)(r); r.ReleaseUpdates = nil }, nil)
	show("released", func(r *Record) { canaryAttempts(5, 10.1)(r); r.ReleaseUpdates[0].Phase = "released" }, nil)
	show("guarded stage", func(r *Record) {
		canaryAttempts(0, 0)(r)
		addAttempt(r, 3, 2, 10.005)
		r.Attempts[2].RejectedAt = 10.006
		r.Attempts[3].RejectedAt = 10.006
	}, func(b *Bounds) { b.IdempotentOnlyStages = 1 })
	show("one-way key", func(r *Record) {
		canaryAttempts(1, 10.005)(r)
		r.Requests[1].Answers[0] = Answer{10.006, "acked", 2}
		r.Attempts[1].At = 10.2
		r.Requests[2].Answers[0].At = 10.3
	}, func(b *Bounds) { b.OneWayKeys = true })
	show("one-way key, the relay was killed in between", func(r *Record) {
		canaryAttempts(1, 10.005)(r)
		r.Requests[1].Answers[0] = Answer{10.006, "acked", 2}
		r.Attempts[1].At, r.Requests[2].SentAt = 10.2, 10.15
		r.Requests[2].Answers[0].At = 10.3
		r.Requests[3].Answers[0] = Answer{10.003, "acked", 1}
		r.Attempts[2].At = 10.002
		r.Incarnations = []*Incarnation{{RouterGroup: "r1", StartedAt: 0, EndedAt: 10.1, Killed: true}, {RouterGroup: "r1", StartedAt: 10.12}}
		r.ReleaseUpdates = append(r.ReleaseUpdates, ReleaseUpdate{10.13, "r1", 2, 0, "on-trial", 0.1})
	}, func(b *Bounds) { b.OneWayKeys = true })
	withController := func(n int, lives ...*Incarnation) func(*Record) {
		return func(r *Record) {
			canaryAttempts(n, 10.1)(r)
			r.Incarnations = append(lives, &Incarnation{RouterGroup: "r1", StartedAt: 0, EndedAt: 10.12, Killed: true}, &Incarnation{RouterGroup: "r1", StartedAt: 10.12})
		}
	}
	show("two edges that are led, over the sum", withController(2, &Incarnation{RouterGroup: "r1", IsController: true}), nil)
	show("two edges that are led, within", withController(1, &Incarnation{RouterGroup: "r1", IsController: true}), nil)
	paused := &Incarnation{RouterGroup: "r1", IsController: true, Pauses: [][2]float64{{7.9, 9.9}}}
	show("drain told to a planner that stood still", func(r *Record) { draining(false)(r); r.Incarnations = append(r.Incarnations, paused) }, nil)
	show("drain told to a planner that was killed at once", func(r *Record) {
		draining(false)(r)
		r.Incarnations = append(r.Incarnations, &Incarnation{RouterGroup: "r1", IsController: true, EndedAt: 8.1, Killed: true}, &Incarnation{RouterGroup: "r1", IsController: true, StartedAt: 8.2})
	}, nil)
	show("drain told to a planner that lived", func(r *Record) {
		draining(false)(r)
		r.Incarnations = append(r.Incarnations, &Incarnation{RouterGroup: "r1", IsController: true, EndedAt: 8.9, Killed: true})
	}, nil)
	// Output:
	// clean:
	// no answer: rule 1 final answer: command 1 to r1 at 10.000 got no answer until 11.000 (connection closed at 0.000)
	// no answer, relay killed:
	// no answer, client left:
	// written as a draining relay closed:
	// the same, but a unit met it: rule 1 final answer: command 1 to r1 at 10.000 got no answer until 11.000 (connection closed at 10.005)
	// accepted by a draining relay, then dropped: rule 1 final answer: command 1 to r1 at 10.000 got no answer until 11.000 (connection closed at 10.300)
	// two answers: rule 1 final answer: command 1 got 2 answers
	// late answer: rule 1 final answer: command 1 was answered 0.100 s after its client's time
	// late answer, relay stood still:
	// stray bytes: rule 1 final answer: an answer nobody waited for
	// sent after the answer: rule 1 final answer: command 1 was delivered to unit 1 0.200 s after its answer
	// at-most-once twice: rule 2 effects: at-most-once command 3 went to unit 1, 0.290 s after it may have run on unit 1
	// at-most-once twice, first never ran:
	// at-most-once nacked: rule 2 effects: at-most-once command 3 was nacked though it may have run on unit 1
	// deduplicated past its window: rule 2 effects: deduplicated command 2 was repeated after 0.590 s
	// deduplicated outside its cell: rule 2 effects: deduplicated command 2 was repeated outside its cell
	// sent to a drained unit: rule 3 drains: r1 delivered to unit 1 2.010 s after it was told that the unit drains or is gone
	// sent to a unit that came back:
	// drain told to an earlier life:
	// cold unit flooded: rule 4 cold units: unit 1, 0.03 s old, was sent 1.10 s of work within 1.0 s; 1.02 at most
	// one trial delivery:
	// over the cap: rule 5 exposure: r1 sent build 2 (stage 0, cap 0.10) 2 deliveries in the window up to 10.110; 1.3 at most of 3 commands
	// over a cap that was lowered within the grace:
	// at cap 0 after the grace: rule 5 exposure: r1 delivered to build 2 at cap 0
	// unannounced: rule 5 exposure: r1 sent build 2 (stage 0, cap 0.10) 2 deliveries in the window up to 10.110; 1.3 at most of 3 commands
	// released:
	// guarded stage: rule 5 exposure: r1 sent a at-most-once command to build 2 in guarded stage 0
	// one-way key: rule 5 exposure: r1 sent key "k" to build 1 after build 2 had answered it
	// one-way key, the relay was killed in between:
	// two edges that are led, over the sum: rule 5 exposure: r1 sent build 2 (stage 0, cap 0.10) 2 deliveries in the window up to 10.110; 1.3 at most of 3 commands
	// two edges that are led, within:
	// drain told to a planner that stood still:
	// drain told to a planner that was killed at once:
	// drain told to a planner that lived: rule 3 drains: r1 delivered to unit 1 2.010 s after it was told that the unit drains or is gone
}

func addAttempt(r *Record, cmd uint64, unit uint32, at float64) {
	r.Attempts = append(r.Attempts, &Attempt{RequestID: cmd, Endpoint: unit, At: at, WorkSeconds: 0.1})
}
