package policy

// What counts as evidence on a release, and what is attributed to other causes.
// docs/design.md, "Changed", gives the reasons (1 and 3 to 7).
const (
	settleSeconds     = 2.0  // time after an endpoint's start in which outcomes are not counted
	slowLatencyFactor = 2.0  // multiple of the baseline's median latency above which an answer is slow
	canaryLeniency    = 1.5  // further factor for the canary: a build that is a little slower is still good
	medianStep        = 0.02 // fraction by which the baseline's median moves with each answer
	slowCountDecay    = 0.97 // fraction of the slow-answer counts kept at each limit adjustment, as load changes
)

// wasWarm reports whether an attempt met a warm endpoint that has worked off its queue from slow start. That takes
// longer in a fully loaded fleet, and more caution is due where few votes decide.
func (b *Balancer) wasWarm(e *endpoint, startedAt float64) bool {
	if startedAt < e.startedAt {
		return false // it was sent to the endpoint's previous process
	}
	load := min(1, b.latencyRatio/targetLatencyRatio)
	return startedAt-e.startedAt >= b.config.SlowStartSeconds*(1+load/float64(b.rollbackVotes()))
}

// includeInAnalysis reports whether an attempt's outcome is evidence at all. Retries are not, on
// either side: they repeat what was already counted.
func (b *Balancer) includeInAnalysis(now float64, r *Request, e *endpoint, startedAt float64) bool {
	isRetry := r.ClientRetry || len(r.Attempts) > 1
	sameProcess := startedAt >= e.startedAt
	settled := now-e.startedAt >= settleSeconds
	return !isRetry && sameProcess && settled && b.release.known && e.build <= b.release.build
}

// countOutcome adds an outcome to the evidence, by kind of failure.
func (b *Balancer) countOutcome(r *Request, e *endpoint, outcome Outcome, took float64, warm bool) {
	counts := &b.countsOf(e.id, e.build).byKind
	switch outcome {
	case Succeeded:
		counts[wrongAnswer].record(false) // ReportWrongAnswer may change that
		counts[serverError].record(false)
	case ServerError:
		counts[serverError].record(true)
	}
	// Without baseline endpoints beside it, only the canary meets a burst, a slow fleet or vanished endpoints, so its
	// lateness has nothing to be compared with. The same holds while new connections fail widely.
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

// countLatency compares a warm endpoint's latency to the baseline's median. A baseline
// endpoint's latency also updates that median.
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

// ReportWrongAnswer records that a client reported a wrong answer to an attempt of age seconds ago.
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

// dropLoadSensitiveCounts discards the lateness counts. Where connections are refused, only the endpoints with open ones are
// sampled, and that was so even before it was noticed.
func (b *Balancer) dropLoadSensitiveCounts() {
	for _, counts := range b.localCounts {
		counts.byKind[attemptLost], counts.byKind[slowAnswer] = outcomeCount{}, outcomeCount{}
	}
}

// decaySlowCounts decays the counts of slow answers.
func (b *Balancer) decaySlowCounts() {
	for _, counts := range b.localCounts {
		slow := &counts.byKind[slowAnswer]
		slow.total, slow.failures = slow.total*slowCountDecay, slow.failures*slowCountDecay
	}
}
