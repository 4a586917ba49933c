package policy

// Passive health: endpoints are judged by the outcomes of attempts, and by health marks derived from metrics.
const (
	failureMemorySeconds = 4.0  // time in which an endpoint's failures decay to 1/e
	failureWeight        = 0.25 // weight of a new outcome in the share of failures
)

// HealthMark is what metrics show about an endpoint. Both shares range from 0 to 1: WrongShare is the share of its
// answers that are wrong, DegradedShare how far it is degraded in ways that attempts would show.
type HealthMark struct {
	Endpoint      uint32
	WrongShare    float64
	DegradedShare float64
}

// SetHealthMarks replaces all marks with marks that were true age seconds ago.
func (b *Balancer) SetHealthMarks(now, age float64, marks []HealthMark) {
	for _, e := range b.endpoints {
		e.wrongMark, e.degradedMark = decayingShare{}, decayingShare{}
	}
	for _, mark := range marks {
		if e := b.endpointByID[mark.Endpoint]; e != nil {
			e.wrongMark = decayingShare{mark.WrongShare, now - age}
			e.degradedMark = decayingShare{mark.DegradedShare, now - age}
		}
	}
}

// outlierScore returns how often an endpoint fails, from 0 to 1. A mark for wrong answers counts in full,
// because attempts can't show those. A degraded mark only amplifies failures of own attempts: an endpoint that
// fails its probes but serves well keeps its traffic.
func (b *Balancer) outlierScore(now float64, e *endpoint) float64 {
	failures := e.failures.level(now, failureMemorySeconds)
	if e.wrongMark.share == 0 && e.degradedMark.share == 0 {
		return failures
	}
	wrong := e.wrongMark.level(now, failureMemorySeconds)
	degraded := min(e.degradedMark.level(now, failureMemorySeconds), failures/failureWeight)
	return max(failures, wrong, degraded)
}

// recordOutcome records an outcome in the endpoint's health, the typical latencies, and the evidence on the release.
func (b *Balancer) recordOutcome(now float64, r *Request, e *endpoint, outcome Outcome, took float64) {
	if outcome == Cancelled && !r.Completed {
		outcome = TimedOut // it was cancelled because its endpoint was unresponsive
	}
	if b.isUninformative(now, r, outcome, took) {
		return
	}
	if outcome != TimedOut {
		e.lastAnswerAt = now
	}
	e.failures.add(now, failureMemorySeconds, failureWeight, outcome.isFailure() || outcome == Overloaded)
	warm := b.wasWarm(e, now-took)
	if outcome == Succeeded || outcome == TimedOut {
		b.recordLatency(r, e, took)
	}
	if b.includeInAnalysis(now, r, e, now-took) {
		b.countOutcome(r, e, outcome, took, warm)
	}
}

// isUninformative reports whether an outcome says nothing about its endpoint, because the client had
// little time left or this process was stalled.
func (b *Balancer) isUninformative(now float64, r *Request, outcome Outcome, took float64) bool {
	if outcome == TimedOut && took < b.attemptTimeout(r) {
		return true
	}
	return now == b.resumedAt && outcome != ServerError
}

// recordLatency records the duration of an attempt, normalised by the request's work. It is capped at the latency
// objective because a few unresponsive endpoints are no overload.
func (b *Balancer) recordLatency(r *Request, e *endpoint, took float64) {
	factor := latencyFactor(r.Work)
	if b.typicalLatency[r.Class] > 0 {
		addToAverage(&e.latencyRatio, took/b.typicalLatency[r.Class]/factor)
	}
	addToAverage(&b.typicalLatency[r.Class], min(took/factor, r.class().LatencyObjectiveSeconds))
}
