package policy

import "math"

// A retry budget bounds what retries add to the load: a request earns a part of a token, a retry costs one.
const (
	retryTokensPerRequest = 0.15
	maxRetryTokens        = 20.0
)

// attemptTimeoutFactor is how many typical latencies an attempt is left alone before another may follow.
const attemptTimeoutFactor = 3.0

// An answer has to be written before its client's time is over: attempts end so many times the timer's resolution before the deadline.
// A held request is picked then for the last time, and half a resolution earlier counts as out of time: rounding could otherwise
// make it be picked again without end.
const (
	attemptMargin   = 2
	outOfTimeMargin = 2.5
)

// timeTolerance keeps rounding from hiding that a time has come, in seconds.
const timeTolerance = 1e-6

// outOfTime tells whether no further attempt can earn anything: the client's time or the latency objective is over. Under load nothing goes
// to a client that asks again after the objective of its first try has passed.
func (b *Balancer) outOfTime(now float64, r *Request) bool {
	objective := r.class().LatencyObjectiveSeconds
	if now >= r.Deadline-outOfTimeMargin*r.Config.TimerResolutionSeconds || now-r.ReceivedAt >= objective {
		return true
	}
	return b.latencyRatio > targetLatencyRatio && len(r.Attempts) == 0 && now-r.FirstSeenAt >= objective
}

// lastAttemptEnd is when the last attempt of a request has to end.
func (r *Request) lastAttemptEnd() float64 {
	return r.Deadline - attemptMargin*r.Config.TimerResolutionSeconds
}

// retryIsSafe tells whether a further attempt can do no harm (rule 2, no effect twice). A request may be sent again when no attempt can
// have run; when it is idempotent; or when it has a key and the window in which endpoints recognise that is open for every
// attempt. Where it may go then is leavesDedupScope's matter.
func (b *Balancer) retryIsSafe(now float64, r *Request) bool {
	if len(r.Attempts) >= r.Config.MaxAttempts {
		return false
	}
	class := r.class()
	for _, attempt := range r.Attempts {
		neverRan := !attempt.MayHaveRun && !attempt.InFlight
		if neverRan || class.Idempotency == Idempotent {
			continue
		}
		windowEnds := attempt.StartedAt + class.DedupWindowSeconds
		if class.Idempotency == NonIdempotent || now+2*r.Config.TimerResolutionSeconds >= windowEnds {
			return false
		}
	}
	return true
}

// leavesDedupScope tells whether an endpoint would not recognise the key of an attempt that may have run.
func (b *Balancer) leavesDedupScope(r *Request, attempt *Attempt, e *endpoint) bool {
	class := r.class()
	if class.Idempotency != IdempotentWithKey || !attempt.InFlight && !attempt.MayHaveRun {
		return false
	}
	tried := b.endpointByID[attempt.Endpoint]
	switch class.DedupScope {
	case DedupZone:
		return tried.zone != e.zone
	case DedupCell:
		return tried.cell != e.cell
	}
	return false
}

// retryAffordable tells whether the retry budget allows another attempt. After one that reached no endpoint it is free.
func (b *Balancer) retryAffordable(r *Request) bool { return b.retryTokens >= 1 || r.NotConnected }

// finalAnswer ends a request: a rejection where a retry of the client is harmless, else a failure. With an attempt in flight it waits
// for that one's outcome.
func (b *Balancer) finalAnswer(now float64, r *Request) Decision {
	if r.attemptsInFlight() > 0 {
		return Decision{}
	}
	b.lastFailedAt[r.Class] = now
	if r.effectUncertain() {
		return Decision{Action: Fail}
	}
	return Decision{Action: Reject, RetryAfterSeconds: r.Config.MaxRetryAfterSeconds}
}

// effectUncertain tells whether a retry by the client could have a second effect: it may have run, and the client can't keep a
// retry where its key is recognised.
func (r *Request) effectUncertain() bool {
	class := r.class()
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll {
		return false
	}
	for _, attempt := range r.Attempts {
		if attempt.MayHaveRun {
			return true
		}
	}
	return false
}

// attemptTimeout is how many seconds an attempt is left alone: some typical latencies, more for work that is said to be heavy.
func (b *Balancer) attemptTimeout(r *Request) float64 {
	if b.typicalLatency[r.Class] == 0 {
		return math.Inf(1)
	}
	return attemptTimeoutFactor*b.typicalLatency[r.Class]*max(1, r.Work) + b.ownDelay
}

// unresponsive tells whether each attempt in flight has gone to an endpoint that has answered nothing since. An endpoint with little else
// in flight had little other chance to answer: it gets more time.
func (b *Balancer) unresponsive(now float64, r *Request) bool {
	for _, attempt := range r.Attempts {
		if !attempt.InFlight {
			continue
		}
		e := b.endpointByID[attempt.Endpoint]
		waitUntil := max(attempt.StartedAt, b.resumedAt) + b.attemptTimeout(r)*(1+1/float64(e.inFlight)) - timeTolerance
		if e.lastAnswerAt > attempt.StartedAt || now < waitUntil {
			return false
		}
	}
	return true
}
