package policy

import "math"

// The retry budget bounds the load that retries add: each request earns a fraction of a token, each retry costs one.
const (
	retryTokensPerRequest = 0.15
	maxRetryTokens        = 20.0
)

// attemptTimeoutFactor is the multiple of the typical latency after which another attempt may follow.
const attemptTimeoutFactor = 3.0

// Margins before a request's deadline, in timer resolutions. Attempts end early so that the answer is written before
// the client stops waiting. A held request is picked for the last time when attempts must end, and counts as out of
// time half a resolution earlier: otherwise rounding could cause endless picks at the same instant.
const (
	attemptMarginResolutions   = 2
	outOfTimeMarginResolutions = 2.5
)

// timeToleranceSeconds allows for rounding when checking whether an instant has been reached.
const timeToleranceSeconds = 1e-6

// outOfTime reports whether a further attempt is pointless because the deadline or the latency objective has passed.
// Under load, a client's retry is not sent either once the objective of its first try has passed.
func (b *Balancer) outOfTime(now float64, r *Request) bool {
	objective := r.class().LatencyObjectiveSeconds
	if now >= r.Deadline-outOfTimeMarginResolutions*r.Config.TimerResolutionSeconds || now-r.ReceivedAt >= objective {
		return true
	}
	return b.latencyRatio > targetLatencyRatio && len(r.Attempts) == 0 && now-r.FirstTriedAt >= objective
}

// lastAttemptEnd returns when the last attempt of a request must end.
func (r *Request) lastAttemptEnd() float64 {
	return r.Deadline - attemptMarginResolutions*r.Config.TimerResolutionSeconds
}

// attemptsLeft reports whether a request may have another attempt. Those that were never sent count too.
func (r *Request) attemptsLeft() bool { return len(r.Attempts) < r.Config.MaxAttempts }

// retryIsSafe reports whether a further attempt can't cause a second effect (rule 2 of package invariants). A request
// may be sent again if no attempt can have run, if it is idempotent, or if it has a key and, for every attempt, the
// window in which endpoints recognise the key is still open. leavesDedupScope then restricts the endpoints. For a request
// that was rejected before, the first attempt is such a further one.
func (b *Balancer) retryIsSafe(now float64, r *Request) bool {
	class := r.class()
	if r.recognisedBefore > 0 && now+2*r.Config.TimerResolutionSeconds >= r.recognisedBefore {
		return false
	}
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

// leavesDedupScope reports whether an endpoint might not recognise the key of an attempt that may have run. It must share
// the zone or cell of every process that may have received the attempt. Where one of them has moved since, no endpoint is
// known to recognise the key.
func (r *Request) leavesDedupScope(attempt *Attempt, e *endpoint) bool {
	class := r.class()
	if class.Idempotency != IdempotentWithKey || class.DedupScope == DedupAll || !attempt.InFlight && !attempt.MayHaveRun {
		return false
	}
	movesWhenSent := attempt.moves
	for process := range attempt.mayHaveReached() {
		if process.moves != movesWhenSent || !class.DedupScope.contains(process, e) {
			return true
		}
		movesWhenSent = 0 // the other processes were listed later
	}
	return false
}

// contains reports whether an endpoint recognises the keys that another one has received. An endpoint that is in no zone or
// cell shares none with another.
func (s DedupScope) contains(receiver, e *endpoint) bool {
	switch s {
	case DedupZone:
		return receiver == e || receiver.zone == e.zone && e.zone != noGroup
	case DedupCell:
		return receiver == e || receiver.cell == e.cell && e.cell != noGroup
	}
	return true
}

// retryAffordable reports whether the retry budget allows another attempt. A retry after an attempt that did not reach
// its endpoint is free.
func (b *Balancer) retryAffordable(r *Request) bool {
	return b.retryTokens >= 1 || r.LastAttemptUndelivered
}

// clientRetryShare is the part of the time for which a client's retry is harmless that the client is told to wait. The rest is
// left for the retry itself.
const clientRetryShare = 0.5

// finalAnswer returns a request's final answer: a rejection if a retry by the client is harmless, otherwise a failure. Where
// endpoints recognise the request's key only for a time, the client is told to retry within that.
// While an attempt is in flight, finalAnswer returns no action, as that attempt may still succeed.
func (b *Balancer) finalAnswer(now float64, r *Request) Decision {
	if r.attemptsInFlight() > 0 {
		return Decision{}
	}
	b.lastFailedAt[r.Class] = now
	harmlessSeconds := r.recognisedUntil() - now
	if r.effectUncertain() || harmlessSeconds <= attemptMarginResolutions*r.Config.TimerResolutionSeconds {
		return Decision{Action: Fail}
	}
	decision := Decision{Action: Reject, RetryAfterSeconds: min(r.Config.MaxRetryAfterSeconds, clientRetryShare*harmlessSeconds)}
	if !math.IsInf(harmlessSeconds, 1) {
		decision.RetryBySeconds = harmlessSeconds
		if r.IdempotencyKey != 0 {
			b.rejectedKeys.add(now, r.IdempotencyKey, now+harmlessSeconds)
		}
	}
	return decision
}

// recognisedUntil returns the end of the time in which endpoints recognise the key of every attempt that may have run, of this
// request or an earlier one that was rejected; infinity if none may have run, or if the request may run again without a key.
func (r *Request) recognisedUntil() float64 {
	until := math.Inf(1)
	class := r.class()
	if class.Idempotency != IdempotentWithKey {
		return until
	}
	if r.recognisedBefore > 0 {
		until = r.recognisedBefore
	}
	for _, attempt := range r.Attempts {
		if attempt.MayHaveRun || attempt.InFlight {
			until = min(until, attempt.StartedAt+class.DedupWindowSeconds)
		}
	}
	return until
}

// effectUncertain reports whether a retry by the client could have a second effect: an attempt may have run or may yet
// run, and the client can't direct its retry to the endpoints that recognise the key.
func (r *Request) effectUncertain() bool {
	class := r.class()
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll {
		return false
	}
	for _, attempt := range r.Attempts {
		if attempt.MayHaveRun || attempt.InFlight {
			return true
		}
	}
	return false
}

// attemptTimeout returns the time after which an attempt may be followed by another: a few typical latencies, longer
// for work that is expected to be heavy, plus the caller's processing delay; infinite while no latency is known.
func (b *Balancer) attemptTimeout(r *Request) float64 {
	if b.typicalLatency[r.Class] == 0 {
		return math.Inf(1)
	}
	return attemptTimeoutFactor*b.typicalLatency[r.Class]*max(1, r.Work) + b.processingDelay
}

// unresponsive reports whether every attempt in flight has timed out at an endpoint that has answered nothing since the
// attempt was sent. An endpoint with few other attempts in flight had little chance to answer any: it gets more time.
func (b *Balancer) unresponsive(now float64, r *Request) bool {
	for _, attempt := range r.Attempts {
		if !attempt.InFlight {
			continue
		}
		e := attempt.receivedBy()
		othersInFlight := max(1, float64(e.inFlight)) // 0 if the list was late, and the attempt counts for the process before
		waitUntil := max(attempt.StartedAt, b.resumedAt) + b.attemptTimeout(r)*(1+1/othersInFlight) - timeToleranceSeconds
		if e.lastAnswerAt > attempt.StartedAt || now < waitUntil {
			return false
		}
	}
	return true
}
