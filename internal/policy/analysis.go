package policy

// Which outcomes are evidence on a release, and which are attributed to other causes. The reasons are in docs/design.md,
// "Changed, and when each exception applies": "Four kinds of failure", and from "A lone canary endpoint's lateness is no
// proof" to "Instant repeats".
const (
	settleSeconds       = 2.0  // time after an endpoint's start during which its outcomes are not counted
	slowLatencyFactor   = 2.0  // multiple of the baseline's median latency above which an answer is slow
	canaryLatencyMargin = 1.5  // further factor for canary answers: a slightly slower build is still good
	baselineMedianStep  = 0.02 // fraction by which each answer moves the estimate of the baseline's median latency
	slowCountDecay      = 0.97 // factor on slow-answer counts at each adjustment of the concurrency limit, as load changes
)

// wasWarm reports whether an attempt was sent to a warm endpoint: one that has completed its slow start and worked off
// the queue that built up in it. The queue takes longer to drain in a loaded fleet. The extra time is divided by the
// number of votes that a rollback needs, as a decision by few votes calls for more caution.
func (b *Balancer) wasWarm(e *endpoint, startedAt float64) bool {
	if startedAt < e.startedAt {
		return false // sent to the endpoint's previous process
	}
	load := min(1, b.latencyRatio/targetLatencyRatio)
	return startedAt-e.startedAt >= b.config.SlowStartSeconds*(1+load/float64(b.rollbackVotes()))
}

// includeInAnalysis reports whether an attempt's outcome is evidence on the release. Retries are excluded for canary and
// baseline alike, because they repeat requests that are already counted.
func (b *Balancer) includeInAnalysis(now float64, r *Request, e *endpoint, startedAt float64) bool {
	isRetry := r.ClientRetry || len(r.Attempts) > 1
	sameProcess := startedAt >= e.startedAt && e.replacedBy == nil // a restart is no failure of the build
	settled := now-e.startedAt >= settleSeconds
	return !isRetry && sameProcess && settled && b.release.known && e.build <= b.release.build
}

// countOutcome adds an attempt's outcome to the local counts, by kind of failure.
func (b *Balancer) countOutcome(r *Request, e *endpoint, outcome Outcome, latency float64, warm bool) {
	counts := &b.countsOf(e.id, e.build).byKind
	switch outcome {
	case Succeeded:
		counts[wrongAnswer].record(false) // ReportWrongAnswer may turn it into a failure later
		counts[serverError].record(false)
	case ServerError:
		counts[serverError].record(true)
	}
	// Load-sensitive failures are compared only while both builds serve: without baseline endpoints, the canary alone is
	// affected by a burst, a slow fleet or vanished endpoints. They are not compared either while many new connections
	// fail.
	if !b.latenessComparable {
		return
	}
	if outcome != Overloaded && (outcome != TimedOut || warm) {
		counts[attemptLost].record(outcome.isFailure() && outcome != ServerError)
	}
	if warm && (outcome == Succeeded || outcome == TimedOut || outcome == Overloaded) {
		b.countLatency(r, e, &counts[slowAnswer], outcome, latency)
	}
}

// countLatency counts whether a warm endpoint's answer is slow compared to the baseline's median latency. The latency of
// a baseline endpoint also updates that median, which a few slow endpoints hardly move.
func (b *Balancer) countLatency(r *Request, e *endpoint, count *outcomeCount, outcome Outcome, latency float64) {
	slowFactor := slowLatencyFactor * canaryLatencyMargin
	if e.build < b.release.build {
		slowFactor = slowLatencyFactor
		stepToMedian(&b.baselineLatency[r.Class], latency, baselineMedianStep)
	}
	if median := b.baselineLatency[r.Class]; median > 0 {
		count.record(outcome == Overloaded || latency > slowFactor*median)
	}
}

// ReportWrongAnswer records that a client reported a wrong answer from an endpoint, to an attempt made age seconds ago.
// The report counts against the build that the endpoint ran at that time.
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

// dropLoadSensitiveCounts discards the counts of load-sensitive failures. While endpoints refuse connections, only those
// with open connections are sampled, and this bias began before the refusals were noticed.
func (b *Balancer) dropLoadSensitiveCounts() {
	for _, counts := range b.localCounts {
		counts.byKind[attemptLost], counts.byKind[slowAnswer] = outcomeCount{}, outcomeCount{}
	}
}

// decaySlowCounts reduces the counts of slow answers, so that those from an earlier load lose weight.
func (b *Balancer) decaySlowCounts() {
	for _, counts := range b.localCounts {
		slow := &counts.byKind[slowAnswer]
		slow.total, slow.failures = slow.total*slowCountDecay, slow.failures*slowCountDecay
	}
}
