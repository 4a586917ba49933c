package policy

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// listedProcess is what a list says about an endpoint's process.
type listedProcess struct {
	zone, cell uint16
	build      int
	startedAt  float64
	state      EndpointState
}

// sentAttempt is what the test knows of an attempt. It may have reached its endpoint as any of the entries say: the one that
// was listed when it was sent, or one that was listed since, of the same process or one that had started before the attempt
// ended.
type sentAttempt struct {
	endpoint  uint32
	processes []listedProcess
	startedAt float64
	endedAt   float64 // +Inf: in flight
	outcome   Outcome
}

func (a *sentAttempt) inFlight() bool { return math.IsInf(a.endedAt, 1) }

func (a *sentAttempt) mayHaveRun() bool { return a.inFlight() || a.outcome.MayHaveRun() }

// trackedRequest is a request with what the test knows of it.
type trackedRequest struct {
	*Request
	class       RequestClass // as of the version that the request was received under
	attempts    []*sentAttempt
	pickAgainAt float64 // 0: not scheduled
	finalAction Action  // NoAction: none yet
	answered    bool    // an attempt has succeeded, or the client has left
}

// lifecycle plays random lists, versions, requests and outcomes to a Balancer, and checks the rules against its own records.
type lifecycle struct {
	b          *Balancer
	now        float64
	list       map[uint32]listedProcess // not gone
	requests   []*trackedRequest
	keyBuilds  map[uint64]int  // newest build that may have answered a key
	everListed map[string]bool // "endpoint/build"
}

const lifecycleEndpoints = 4

func newLifecycle() *lifecycle {
	l := &lifecycle{now: 100, list: map[uint32]listedProcess{}, keyBuilds: map[uint64]int{}, everListed: map[string]bool{}}
	l.b = New(*lifecycleConfig(10, 600), 1, l.now)
	// Releases that are known to be complete leave every build without a canary limit, so that requests are sent freely.
	l.b.ApplyRelease(l.now, math.MaxInt32, 2, PhaseReleased, 1, 50)
	return l
}

// lifecycleConfig returns a configuration with given times, in seconds.
func lifecycleConfig(timeout, forgetEndpoints float64) *Config {
	class := func(idempotency Idempotency, scope DedupScope) RequestClass {
		return RequestClass{LatencyObjectiveSeconds: timeout, TimeoutSeconds: timeout, PriorityWeight: 1, Idempotency: idempotency,
			DedupScope: scope, DedupWindowSeconds: timeout / 2}
	}
	return &Config{
		RouterGroups: 1, TimerResolutionSeconds: 0.005, AllowHedging: true, AllowCancel: true, MaxRetryAfterSeconds: 1,
		ConnIdleSeconds: 15, RequestsPerConn: 1, MaxAttempts: 4, SlowStartInitialShare: 1, SlowStartOverloadFactor: 100,
		SlowStartOverloadSeconds: 1, CanaryWindowSeconds: 4, CanaryFreeAttempts: 2, CanaryLimits: []float64{1, 1, 1},
		StageShares: []float64{0.1, 0.5, 1}, OneWayKeys: true, ForgetEndpointSeconds: forgetEndpoints, WrongAnswerPrice: 3,
		StaleBuildPrice: 0.5, WrongAnswerReportShare: 0.2, VoteLifetimeSeconds: 10, VoteTimeoutSeconds: 1, VotesPerSecond: 20,
		Classes: []RequestClass{class(Idempotent, DedupAll), class(IdempotentWithKey, DedupAll), class(IdempotentWithKey, DedupZone),
			class(IdempotentWithKey, DedupCell), class(NonIdempotent, DedupAll)},
	}
}

// drawProcess draws an entry of the list. A third of the entries state no start time, and some state one in the past, as of
// a list that is late.
func (l *lifecycle) drawProcess(t *rapid.T) listedProcess {
	return listedProcess{
		zone:      rapid.Uint16Range(0, 2).Draw(t, "zone"),
		cell:      rapid.Uint16Range(0, 2).Draw(t, "cell"),
		build:     rapid.IntRange(1, 3).Draw(t, "build"),
		startedAt: rapid.SampledFrom([]float64{0, l.now, l.now - 0.5}).Draw(t, "started at"),
		state:     rapid.SampledFrom([]EndpointState{Ready, Ready, Ready, Draining}).Draw(t, "state"),
	}
}

// changeEndpoint changes one endpoint with a partial update: it is listed for the first time, again, restarted or elsewhere.
func (l *lifecycle) changeEndpoint(t *rapid.T) {
	id := rapid.Uint32Range(1, lifecycleEndpoints).Draw(t, "endpoint")
	entry := l.drawProcess(t)
	if listed, ok := l.list[id]; ok && rapid.Bool().Draw(t, "same process") {
		entry.build, entry.startedAt = listed.build, listed.startedAt
	}
	l.applyList(false, map[uint32]listedProcess{id: entry})
}

// replaceList replaces the list with a full update. Endpoints may be missing, and are gone then.
func (l *lifecycle) replaceList(t *rapid.T) {
	entries := map[uint32]listedProcess{}
	for id := range uint32(lifecycleEndpoints) {
		listed, ok := l.list[id+1]
		switch {
		case rapid.IntRange(0, 3).Draw(t, "missing") == 0:
		case ok && rapid.IntRange(0, 2).Draw(t, "unchanged") > 0:
			entries[id+1] = listed
		default:
			entries[id+1] = l.drawProcess(t)
		}
	}
	l.applyList(true, entries)
}

// removeEndpoint removes one endpoint, with an entry that holds only its id.
func (l *lifecycle) removeEndpoint(t *rapid.T) {
	id := rapid.Uint32Range(1, lifecycleEndpoints).Draw(t, "endpoint")
	l.applyList(false, map[uint32]listedProcess{id: {state: Gone}})
}

func (l *lifecycle) applyList(full bool, entries map[uint32]listedProcess) {
	if full {
		l.list = map[uint32]listedProcess{}
	}
	l.b.BeginEndpointList(full)
	for id := range uint32(lifecycleEndpoints) {
		id++
		entry, ok := entries[id]
		if !ok {
			continue
		}
		l.b.UpdateEndpoint(id, entry.zone, entry.cell, entry.build, entry.state, 1, entry.startedAt)
		if entry.state == Gone {
			delete(l.list, id)
			continue
		}
		l.list[id] = entry
		l.everListed[fmt.Sprint(id, "/", entry.build)] = true
		l.noteListed(id, entry)
	}
	l.b.EndEndpointList(l.now)
}

// noteListed adds a listed process to those that attempts at its endpoint may have reached.
func (l *lifecycle) noteListed(id uint32, entry listedProcess) {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if a.endpoint != id || entry.startedAt > a.endedAt {
				continue
			}
			a.processes = append(a.processes, entry)
		}
	}
}

// applyVersion puts a version in force whose times are longer or shorter than those of the one before.
func (l *lifecycle) applyVersion(t *rapid.T) {
	timeout := rapid.SampledFrom([]float64{0.3, 2, 10}).Draw(t, "timeout")
	forget := timeout * rapid.SampledFrom([]float64{1.1, 60}).Draw(t, "time to remember endpoints, in timeouts")
	l.b.SetConfig(lifecycleConfig(timeout, forget))
}

// receive receives a request.
func (l *lifecycle) receive(t *rapid.T) {
	r := &trackedRequest{Request: &Request{Class: rapid.IntRange(0, 4).Draw(t, "class"), Key: rapid.Uint64Range(0, 3).Draw(t, "key"), ReceivedAt: l.now}}
	r.class = l.b.config.Classes[r.Class]
	r.Deadline = l.now + r.class.TimeoutSeconds
	l.requests = append(l.requests, r)
	l.apply(t, r, l.b.Pick(l.now, r.Request))
}

// endAttempt ends an attempt in flight with a random outcome.
func (l *lifecycle) endAttempt(t *rapid.T) {
	r, index := l.drawInFlight(t)
	if r == nil {
		return
	}
	l.end(t, r, index, rapid.SampledFrom([]Outcome{Succeeded, ServerError, ServerError, Overloaded, TimedOut, NotConnected, ConnectionLost, Cancelled, NotSent}).Draw(t, "outcome"))
}

func (l *lifecycle) drawInFlight(t *rapid.T) (r *trackedRequest, index int) {
	type inFlight struct {
		request *trackedRequest
		index   int
	}
	var all []inFlight
	for _, r := range l.requests {
		for i, a := range r.attempts {
			if a.inFlight() {
				all = append(all, inFlight{r, i})
			}
		}
	}
	if len(all) == 0 {
		return nil, 0
	}
	drawn := rapid.SampledFrom(all).Draw(t, "attempt")
	return drawn.request, drawn.index
}

func (l *lifecycle) end(t *rapid.T, r *trackedRequest, index int, outcome Outcome) {
	a := r.attempts[index]
	a.endedAt, a.outcome = l.now, outcome
	if outcome == Succeeded && !r.answered && r.finalAction == NoAction {
		r.answered, r.Completed = true, true
	}
	if outcome == Succeeded && r.Key != 0 {
		for _, p := range a.processes {
			l.keyBuilds[r.Key] = max(l.keyBuilds[r.Key], p.build)
		}
	}
	l.apply(t, r, l.b.OnAttemptDone(l.now, r.Request, index, outcome, l.now-a.startedAt))
}

// leave makes the client of a request leave.
func (l *lifecycle) leave(t *rapid.T) {
	for _, r := range l.requests {
		if !r.Completed {
			r.Completed, r.answered = true, true
			l.apply(t, r, l.b.Pick(l.now, r.Request))
			return
		}
	}
}

// apply carries out a decision, and checks it.
func (l *lifecycle) apply(t *rapid.T, r *trackedRequest, decision Decision) {
	if decision.PickAgainAt > 0 && (r.pickAgainAt == 0 || decision.PickAgainAt < r.pickAgainAt) {
		r.pickAgainAt = decision.PickAgainAt
	}
	switch decision.Action {
	case Send:
		l.checkSend(t, r, decision.Endpoint)
		r.attempts = append(r.attempts, &sentAttempt{endpoint: decision.Endpoint, processes: []listedProcess{l.list[decision.Endpoint]}, startedAt: l.now, endedAt: math.Inf(1)})
	case Reject, Fail:
		l.checkFinalAnswer(t, r, decision.Action)
		r.finalAction, r.Completed = decision.Action, true
	}
	if decision.CancelInFlight {
		for i, a := range r.attempts {
			if a.inFlight() {
				l.end(t, r, i, Cancelled)
			}
		}
	}
}

// checkSend checks that an attempt may be sent to an endpoint.
func (l *lifecycle) checkSend(t *rapid.T, r *trackedRequest, id uint32) {
	target, listed := l.list[id]
	switch {
	case r.answered || r.finalAction != NoAction:
		t.Fatalf("rule 1: sent after the final answer")
	case l.now >= r.Deadline:
		t.Fatalf("rule 1: sent after the deadline")
	case !listed || target.state != Ready:
		t.Fatalf("rule 3: sent to endpoint %d, which is listed as %+v (%v)", id, target, listed)
	case r.Key != 0 && target.build < l.keyBuilds[r.Key]:
		t.Fatalf("rule 5: key sent to build %d after build %d may have answered it", target.build, l.keyBuilds[r.Key])
	}
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			l.checkRepeat(t, r, a, id, target)
		}
	}
}

// checkRepeat checks that a request may be sent to an endpoint after an attempt that may have run.
func (l *lifecycle) checkRepeat(t *rapid.T, r *trackedRequest, a *sentAttempt, id uint32, target listedProcess) {
	switch r.class.Idempotency {
	case Idempotent:
		return
	case NonIdempotent:
		t.Fatalf("rule 2: sent again, though not idempotent and outcome %v at endpoint %d", a.outcome, a.endpoint)
	}
	if l.now > a.startedAt+r.class.DedupWindowSeconds {
		t.Fatalf("rule 2: sent again %.3f s after an attempt, the window is %g s", l.now-a.startedAt, r.class.DedupWindowSeconds)
	}
	for _, p := range a.processes {
		isTarget := a.endpoint == id && p.build == target.build && p.startedAt == target.startedAt
		if !sharesGroup(r.class.DedupScope, p, target, isTarget) {
			t.Fatalf("rule 2: sent to %+v after an attempt that %+v may have run", target, p)
		}
	}
}

// sharesGroup reports whether a process recognises the keys that another one has received, or that itself has received.
func sharesGroup(scope DedupScope, receiver, target listedProcess, isTarget bool) bool {
	switch scope {
	case DedupZone:
		return receiver.zone == target.zone && (target.zone != 0 || isTarget)
	case DedupCell:
		return receiver.cell == target.cell && (target.cell != 0 || isTarget)
	}
	return true
}

// checkFinalAnswer checks that a request may be answered finally now.
func (l *lifecycle) checkFinalAnswer(t *rapid.T, r *trackedRequest, action Action) {
	if r.answered || r.finalAction != NoAction {
		t.Fatalf("rule 1: a second final answer")
	}
	for _, a := range r.attempts {
		harmless := r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll
		if action == Reject && a.mayHaveRun() && !harmless {
			t.Fatalf("rule 2: rejected, though an attempt may have run")
		}
	}
}

// wait lets time pass: requests are picked again when they are due, attempts end at the latest when their request must.
func (l *lifecycle) wait(t *rapid.T) {
	for end := l.now + rapid.SampledFrom([]float64{0.01, 0.1, 0.5, 3}).Draw(t, "seconds"); l.now < end; l.now += 0.01 {
		l.b.Tick(l.now)
		for _, r := range l.requests {
			l.checkDue(t, r)
		}
	}
	open := l.requests[:0]
	for _, r := range l.requests {
		if !r.Completed || r.attemptsInFlight() > 0 {
			open = append(open, r)
		}
	}
	l.requests = open
}

func (l *lifecycle) checkDue(t *rapid.T, r *trackedRequest) {
	for i, a := range r.attempts {
		if a.inFlight() && l.now >= r.lastAttemptEnd() {
			l.end(t, r, i, TimedOut)
		}
	}
	if !r.Completed && r.pickAgainAt > 0 && r.pickAgainAt <= l.now {
		r.pickAgainAt = 0
		l.apply(t, r, l.b.Pick(l.now, r.Request))
	}
	if !r.Completed && l.now > r.Deadline {
		t.Fatalf("rule 1: no final answer by the deadline")
	}
}

// check checks the balancer's bookkeeping after each step.
func (l *lifecycle) check(t *rapid.T) {
	inFlight := 0
	for _, r := range l.requests {
		for _, a := range r.attempts {
			inFlight += boolToInt(a.inFlight())
		}
	}
	if l.b.inFlight != inFlight {
		t.Fatalf("%d attempts in flight, want %d", l.b.inFlight, inFlight)
	}
	for _, e := range l.b.endpoints {
		listed, ok := l.list[e.id]
		if e.ready != (ok && listed.state == Ready) || ok && (e.zone != listed.zone || e.cell != listed.cell || e.build != listed.build) {
			t.Fatalf("endpoint %+v, listed as %+v (%v)", e, listed, ok)
		}
	}
	for _, sample := range l.b.LocalEvidence(l.now).Samples {
		if sample.Endpoint != 0 && !l.everListed[fmt.Sprint(sample.Endpoint, "/", sample.Build)] {
			t.Fatalf("outcomes counted for build %d of endpoint %d, which never ran it", sample.Build, sample.Endpoint)
		}
	}
}

// The rules hold whatever happens to an endpoint between an attempt and the decisions that depend on it: it drains, leaves the
// list, is forgotten, restarted, replaced by another build, moved, listed late or listed again, while versions shorten and
// lengthen the times.
func TestRulesOverEndpointLifecycles(t *testing.T) {
	const rounds = 30 // of 100 sequences each: some faults need several rare steps in a row
	for range rounds {
		rapid.Check(t, func(t *rapid.T) {
			l := newLifecycle()
			t.Repeat(map[string]func(*rapid.T){
				"":                l.check,
				"change endpoint": l.changeEndpoint,
				"replace list":    l.replaceList,
				"remove endpoint": l.removeEndpoint,
				"apply version":   l.applyVersion,
				"receive":         l.receive,
				"receive more":    l.receive,
				"end attempt":     l.endAttempt,
				"end another":     l.endAttempt,
				"client leaves":   l.leave,
				"wait":            l.wait,
			})
		})
	}
}
