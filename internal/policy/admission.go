package policy

import "slices"

// The adaptive concurrency limit bounds the attempts in flight by how quickly answers come, against overload, bursts and slow fleets
// alike. Requests of low priority meet it earlier.
const (
	targetLatencyRatio = 0.45 // typical latency over its objective that the limit is adjusted for
	limitAdjustSeconds = 0.25 // least time between two adjustments: every third tick
	limitDecrease      = 0.9  // factor while answers are too slow
	limitIncrease      = 0.05 // part by which it grows while it is used, and one attempt
	limitUsed          = 0.7  // part of it that has to be in flight for it to grow
	minLimitShare      = 0.6  // part of the limit that is open to the lowest priority

	minInFlight            = 2 // attempts that are always allowed,
	minInFlightPerEndpoint = 2 // and further ones for each endpoint, all routers together
)

const (
	heavyWork           = 3.0  // times the typical work, from which a request's chances are judged by its work
	repeatWindowSeconds = 0.02 // after a failed answer, in which a request of the class is taken for its client's repeat
	latenciesToAnswer   = 2    // typical latencies that a request needs once it may go
)

// receive notes a request that has just been received: the limits' windows, the retry budget, the work it is expected to
// need, and when its client first asked.
func (b *Balancer) receive(now float64, r *Request) {
	i := b.limitIndex(r.Class)
	b.receivedAt[i] = append(b.receivedAt[i], now)
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	if r.Work > 0 {
		addToAverage(&b.typicalWork, r.Work)
		r.Work /= b.typicalWork
	} else {
		r.Work = 1
	}
	r.FirstSeenAt = b.firstSeenAt(now, r)
	// One client's instant repeats are one failure, not many.
	r.ClientRetry = r.ClientRetry || now-b.lastFailedAt[r.Class] <= repeatWindowSeconds
}

// firstSeenAt is when a request's client first asked. Most requests of a class come with one timeout. One that comes with another, and
// more than the objective, is a later try of a client that gives up a request timeout after its first.
func (b *Balancer) firstSeenAt(now float64, r *Request) float64 {
	class, timeout := r.class(), r.Deadline-r.ReceivedAt
	if !b.commonTimeout[r.Class].add(timeout) && timeout > class.LatencyObjectiveSeconds {
		return r.Deadline - class.TimeoutSeconds
	}
	return now
}

// tooHeavy tells whether a request is said to need so much work that its answer would be late: it would only take its endpoint from
// others.
func (b *Balancer) tooHeavy(now float64, r *Request) bool {
	if r.Work <= heavyWork {
		return false
	}
	return b.typicalLatency[r.Class]*latencyFactor(r.Work) > r.FirstSeenAt+r.class().LatencyObjectiveSeconds-now
}

// latencyFactor is how many typical latencies a request of so much work takes: half of an answer's time goes with the work, half is
// waiting.
func latencyFactor(work float64) float64 { return (1 + work) / 2 }

// overConcurrencyLimit tells whether a first attempt has to wait: the limit is reached for its priority.
func (b *Balancer) overConcurrencyLimit(r *Request) bool {
	return float64(b.inFlight) >= b.concurrencyLimit*(minLimitShare+(1-minLimitShare)*r.class().PriorityWeight/b.maxPriority)
}

// tooLateToWait tells whether a request that has to wait could no longer be answered in time.
func (b *Balancer) tooLateToWait(now float64, r *Request) bool {
	return now-r.FirstSeenAt+latenciesToAnswer*b.typicalLatency[r.Class] > r.class().LatencyObjectiveSeconds
}

// adjustConcurrencyLimit adjusts the limit by the class whose latency is nearest to its objective. It stays above this router's even
// share of two attempts an endpoint, with which a fleet idles.
func (b *Balancer) adjustConcurrencyLimit() {
	least := minInFlight + minInFlightPerEndpoint*b.leasedShare*float64(b.readyCount)/float64(b.config.Routers)
	b.latencyRatio, b.maxTypicalLatency = 0, slices.Max(b.typicalLatency)
	for i, class := range b.config.Classes {
		b.latencyRatio = max(b.latencyRatio, b.typicalLatency[i]/class.LatencyObjectiveSeconds)
	}
	switch {
	case b.latencyRatio > targetLatencyRatio:
		b.concurrencyLimit = max(least, min(b.concurrencyLimit, float64(b.peakInFlight))*limitDecrease)
	case float64(b.peakInFlight) > limitUsed*b.concurrencyLimit:
		b.concurrencyLimit += 1 + limitIncrease*b.concurrencyLimit
	}
	b.peakInFlight = b.inFlight
}

// requestRate is how many requests per second were received lately.
func (b *Balancer) requestRate(now float64) float64 {
	received := 0
	for i := range b.receivedAt {
		b.receivedAt[i] = since(b.receivedAt[i], now-b.config.CanaryWindowSeconds+b.config.TimerResolutionSeconds)
		received += len(b.receivedAt[i])
	}
	return float64(received) / b.config.CanaryWindowSeconds
}
