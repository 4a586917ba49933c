package policy

// What counts as evidence on a release, and what speaks of something else. The reasons are in docs/design.md, exceptions 1 and 3 to 7.
const (
	settleSeconds     = 2.0  // after an endpoint's start, that go uncounted
	slowLatencyFactor = 2.0  // an answer is slow above so many times the baseline's median latency
	canaryLeniency    = 1.5  // times that for the canary: a build that is a little slower is still good
	medianStep        = 0.02 // part by which the baseline's median moves for each answer
	slowCountDecay    = 0.97 // part of the counts of slow answers that each adjustment of the limit keeps: load changes with time
)

// wasWarm tells whether an attempt met a warm endpoint, rid of what queued while it was in slow start. That takes longer in a full fleet,
// and where few votes decide.
func (b *Balancer) wasWarm(e *endpoint, startedAt float64) bool {
	if startedAt < e.startedAt {
		return false // it went to the process before this one
	}
	load := min(1, b.latencyRatio/targetLatencyRatio)
	return startedAt-e.startedAt >= b.config.SlowStartSeconds*(1+load/float64(b.rollbackVotes()))
}

// countsForAnalysis tells whether an attempt's outcome is evidence at all. Retries, on either side, repeat what was counted.
func (b *Balancer) countsForAnalysis(now float64, r *Request, e *endpoint, startedAt float64) bool {
	isRetry := r.ClientRetry || len(r.Attempts) > 1
	sameProcess := startedAt >= e.startedAt
	settled := now-e.startedAt >= settleSeconds
	return !isRetry && sameProcess && settled && b.release.known && e.build <= b.release.build
}

// countOutcome enters an outcome into the evidence, by kind of failure.
func (b *Balancer) countOutcome(r *Request, e *endpoint, outcome Outcome, took float64, warm bool) {
	counts := &b.countsOf(e.id, e.build).byKind
	switch outcome {
	case Succeeded:
		counts[wrongAnswer].record(false) // ReportWrongAnswer may change that
		counts[serverError].record(false)
	case ServerError:
		counts[serverError].record(true)
	}
	// Without baseline endpoints beside it, a burst, a slow fleet or vanished endpoints meet the canary alone: its lateness is no
	// comparison. Nor is that of endpoints that start together.
	if !b.sideBySide {
		return
	}
	if outcome != Overloaded && (outcome != TimedOut || warm) {
		counts[attemptLost].record(outcome.isFailure() && outcome != ServerError)
	}
	if warm && (outcome == Succeeded || outcome == TimedOut || outcome == Overloaded) {
		b.countLatency(r, e, &counts[slowAnswer], outcome, took)
	}
}

// countLatency compares a warm endpoint's latency to the baseline's median, which it moves for a baseline endpoint.
func (b *Balancer) countLatency(r *Request, e *endpoint, count *outcomeCount, outcome Outcome, took float64) {
	slowFrom := slowLatencyFactor * canaryLeniency
	if e.build < b.release.build {
		slowFrom = slowLatencyFactor
		stepToMedian(&b.baselineLatency[r.Class], took, medianStep) // a median: a few slow endpoints don't move it
	}
	if median := b.baselineLatency[r.Class]; median > 0 {
		count.record(outcome == Overloaded || took > slowFrom*median)
	}
}

// ReportWrongAnswer enters a wrong answer that a client found, to an attempt of age seconds ago.
func (b *Balancer) ReportWrongAnswer(now float64, endpointID uint32, age float64) {
	e := b.endpointByID[endpointID]
	if e == nil {
		return
	}
	build := e.build
	if now-age < e.startedAt {
		build = e.previousBuild
	}
	if count := &b.countsOf(endpointID, build).byKind[wrongAnswer]; count.total > count.failures {
		count.failures++
	}
}

// dropLatenessCounts drops what was counted of lateness. Where connections are refused, the few open ones decide who is late, and did so before
// it was seen.
func (b *Balancer) dropLatenessCounts() {
	for _, counts := range b.localCounts {
		counts.byKind[attemptLost], counts.byKind[slowAnswer] = outcomeCount{}, outcomeCount{}
	}
}

// decaySlowCounts lets the counts of slow answers fade.
func (b *Balancer) decaySlowCounts() {
	for _, counts := range b.localCounts {
		slow := &counts.byKind[slowAnswer]
		slow.total, slow.failures = slow.total*slowCountDecay, slow.failures*slowCountDecay
	}
}
