package policy

// Passive health: endpoints are judged by the outcomes of attempts, and by health marks derived from metrics.
const (
	failureDecaySeconds = 4.0  // time in which a share of failures decays to 1/e
	failureWeight       = 0.25 // weight of a new outcome in the share of failures
)

// HealthMark is what metrics show about an endpoint. Both shares range from 0 to 1: WrongShare is the share of its
// answers that are wrong, DegradedShare how far it is degraded in ways that attempts would show.
type HealthMark struct {
	Endpoint      uint32
	WrongShare    float64
	DegradedShare float64
}

// SetHealthMarks replaces all marks with marks that were derived from the metrics of age seconds ago.
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

// outlierScore returns how often an endpoint fails, from 0 to 1. A mark for wrong answers counts in full, because
// attempts can't show wrong answers. A degraded mark only amplifies failures of this balancer's attempts: an endpoint
// that fails its probes but serves well keeps its traffic.
func (b *Balancer) outlierScore(now float64, e *endpoint) float64 {
	failures := e.failures.valueAt(now, failureDecaySeconds)
	if e.wrongMark.share == 0 && e.degradedMark.share == 0 {
		return failures
	}
	wrong := e.wrongMark.valueAt(now, failureDecaySeconds)
	degraded := min(e.degradedMark.valueAt(now, failureDecaySeconds), failures/failureWeight)
	return max(failures, wrong, degraded)
}

// recordOutcome records an outcome in the endpoint's health, the typical latencies, and the evidence on the release.
func (b *Balancer) recordOutcome(now float64, r *Request, e *endpoint, outcome Outcome, duration float64) {
	if outcome == Cancelled && !r.Completed {
		outcome = TimedOut // it was cancelled because its endpoint was unresponsive
	}
	if b.isUninformative(now, r, outcome, duration) {
		return
	}
	if outcome != TimedOut {
		e.lastAnswerAt = now
	}
	e.failures.add(now, failureDecaySeconds, failureWeight, outcome.isFailure() || outcome == Overloaded)
	warm := b.wasWarm(e, now-duration)
	if outcome == Succeeded || outcome == TimedOut {
		b.recordLatency(r, e, duration)
	}
	if b.includeInAnalysis(now, r, e, now-duration) {
		b.countOutcome(r, e, outcome, duration, warm)
	}
}

// isUninformative reports whether an outcome says nothing about its endpoint, because the client had little time left
// or this process was stalled.
func (b *Balancer) isUninformative(now float64, r *Request, outcome Outcome, duration float64) bool {
	if outcome == TimedOut && duration < b.attemptTimeout(r) {
		return true
	}
	return now == b.resumedAt && outcome != ServerError
}

// recordLatency records the duration of an attempt, normalised by the request's work, in the averages of its endpoint
// and its class. For the class it is capped at the latency objective: a few unresponsive endpoints must not
// look like overload.
func (b *Balancer) recordLatency(r *Request, e *endpoint, duration float64) {
	workFactor := relativeLatency(r.Work)
	if b.typicalLatency[r.Class] > 0 {
		addToAverage(&e.latencyRatio, duration/b.typicalLatency[r.Class]/workFactor)
	}
	addToAverage(&b.typicalLatency[r.Class], min(duration/workFactor, r.class().LatencyObjectiveSeconds))
}
