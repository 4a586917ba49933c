package policy

import "slices"

// The adaptive concurrency limit bounds the attempts in flight by how quickly answers arrive, which protects against
// overload, bursts and slow fleets alike. Requests of low priority reach it earlier.
const (
	targetLatencyRatio         = 0.45 // target for the ratio of the typical latency to the latency objective
	limitAdjustIntervalSeconds = 0.25 // minimum time between two adjustments: every third tick
	limitDecreaseFactor        = 0.9  // factor applied while answers are too slow
	limitIncreaseShare         = 0.05 // relative growth per adjustment while the limit is used, in addition to one attempt
	limitUsedShare             = 0.7  // fraction of the limit that must be in flight for it to grow
	minLimitShare              = 0.6  // fraction of the limit that is open to the lowest priority

	minInFlight            = 2 // attempts in the minimum limit of every router
	minInFlightPerEndpoint = 2 // attempts per endpoint in the minimum limits of all routers together
)

const (
	heavyWorkThreshold       = 3.0  // multiple of the typical work above which tooHeavy predicts the latency
	clientRetryWindowSeconds = 0.02 // a request this soon after another of its class failed counts as a client's retry
	answerTimeFactor         = 2    // multiple of the typical latency that a request is expected to need once it is sent
)

// recordArrival accounts for a request that has just been received: it counts the request in the canary window and the
// retry budget, and sets its relative work and the time of its client's first try.
func (b *Balancer) recordArrival(now float64, r *Request) {
	i := b.limitIndex(r.Class)
	b.receivedAt[i] = append(b.receivedAt[i], now)
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	if r.Work > 0 {
		addToAverage(&b.typicalWork, r.Work)
		r.Work /= b.typicalWork
	} else {
		r.Work = 1
	}
	if r.IdempotencyKey != 0 {
		r.recognisedBefore = b.rejectedKeys.until(now, r.IdempotencyKey)
	}
	r.FirstTriedAt = b.estimateFirstTry(now, r)
	// Marks immediate retries by the client, so that the analysis counts one failure, not many.
	r.ClientRetry = r.ClientRetry || now-b.lastFailedAt[r.Class] <= clientRetryWindowSeconds
}

// estimateFirstTry estimates when a request's client first sent the request. Most requests of a class arrive with the
// same timeout. One that has a different timeout, longer than the objective, is assumed to be a later try by a client
// whose deadline is the class's TimeoutSeconds after its first try.
func (b *Balancer) estimateFirstTry(now float64, r *Request) float64 {
	class, timeout := r.class(), r.Deadline-r.ReceivedAt
	if !b.commonTimeout[r.Class].add(timeout) && timeout > class.LatencyObjectiveSeconds {
		return r.Deadline - class.TimeoutSeconds
	}
	return now
}

// tooHeavy reports whether a request is expected to need so much work that its answer would be late: it would only take
// capacity from others.
func (b *Balancer) tooHeavy(now float64, r *Request) bool {
	if r.Work <= heavyWorkThreshold {
		return false
	}
	return b.typicalLatency[r.Class]*relativeLatency(r.Work) > r.FirstTriedAt+r.class().LatencyObjectiveSeconds-now
}

// relativeLatency returns the latency of a request with the given relative work, as a multiple of the typical
// latency: half of the latency scales with the work, half is waiting.
func relativeLatency(work float64) float64 { return (1 + work) / 2 }

// overConcurrencyLimit reports whether a first attempt must wait because the limit for its priority is reached.
func (b *Balancer) overConcurrencyLimit(r *Request) bool {
	return float64(b.inFlight) >= b.concurrencyLimit*(minLimitShare+(1-minLimitShare)*r.class().PriorityWeight/b.maxPriority)
}

// tooLateToWait reports whether a request that has to wait could no longer be answered in time.
func (b *Balancer) tooLateToWait(now float64, r *Request) bool {
	return now-r.FirstTriedAt+answerTimeFactor*b.typicalLatency[r.Class] > r.class().LatencyObjectiveSeconds
}

// adjustConcurrencyLimit adjusts the limit by the class whose latency is nearest to its objective. A decrease stops at
// minInFlight attempts plus this router's share of minInFlightPerEndpoint attempts per ready endpoint, the number in
// flight in an idle fleet.
func (b *Balancer) adjustConcurrencyLimit() {
	minLimit := minInFlight + minInFlightPerEndpoint*b.leasedShare*float64(b.readyCount)/float64(b.config.RouterGroups)
	b.latencyRatio, b.maxTypicalLatency = 0, slices.Max(b.typicalLatency)
	for i, class := range b.config.Classes {
		b.latencyRatio = max(b.latencyRatio, b.typicalLatency[i]/class.LatencyObjectiveSeconds)
	}
	switch {
	case b.latencyRatio > targetLatencyRatio:
		b.concurrencyLimit = max(minLimit, min(b.concurrencyLimit, float64(b.peakInFlight))*limitDecreaseFactor)
	case float64(b.peakInFlight) > limitUsedShare*b.concurrencyLimit:
		b.concurrencyLimit += 1 + limitIncreaseShare*b.concurrencyLimit
	}
	b.peakInFlight = b.inFlight
}

// requestRate returns the requests per second received within the canary window.
func (b *Balancer) requestRate(now float64) float64 {
	received := 0
	for i := range b.receivedAt {
		received += b.receivedInWindow(now, i)
	}
	return float64(received) / b.config.CanaryWindowSeconds
}
