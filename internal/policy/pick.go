package policy

const (
	holdIntervalSeconds = 0.02 // time after which a held request is picked again

	defaultDraws          = 2   // endpoints that are compared: the power of two choices
	staleListDraws        = 4   // while the best so far exceeds staleListOutlierScore: half of a stale list may be gone
	failingConnsDraws     = 8   // while many new connections fail: few endpoints have open ones, and other routers use them too
	staleListOutlierScore = 0.5 // about every other attempt fails
	minLatencyRatio       = 0.2 // an endpoint counts as at most five times as fast as a typical one
	outlierCostFactor     = 12  // an endpoint that fails every attempt costs 1 + this factor times as much
)

// Pick decides on a request: send an attempt, hold it, or answer it finally. The caller must call it when a request is
// received, when a decision's PickAgainAt is reached, and when the client has gone, to learn whether to cancel the
// attempts in flight; OnAttemptDone calls it after every attempt. The first call's now must equal r.ReceivedAt: only
// then is the request counted in the canary window and the retry budget (recordArrival).
//
// No further attempt is made, and finalAnswer ends the request once nothing is in flight, if
//   - the deadline or the latency objective is too near (outOfTime);
//   - no attempts are left (attemptsLeft);
//   - an earlier attempt may have run and another could have a second effect (retryIsSafe);
//   - it would be a retry and the retry budget is empty (retryAffordable);
//   - the request needs too much work to be answered in time (tooHeavy).
//
// While an attempt is in flight, Pick returns no action in these cases and when no endpoint can take the request: the
// request is picked again when an attempt ends. A hedged request is sent only with AllowHedging, once every attempt in
// flight is unresponsive; without AllowHedging the attempt in flight is cancelled first, if AllowCancel is set. With
// nothing in flight, a request that no endpoint can take is held. No attempt goes to an endpoint that
//   - is not ready;
//   - has an attempt of the request in flight, or may have run its only attempt so far (mustAvoid);
//   - would not recognise the request's key (leavesDedupScope);
//   - runs an older build than the one that answered the key (keyAllows);
//   - is a canary above the canary traffic limit (canaryAllowance);
//   - is in slow start and has no token (hasSlowStartToken).
//
// The concurrency limit applies only to first attempts: they are held, or rejected if an answer would come too late
// (tooLateToWait).
//
// Requests that are completed or streaming their answer get no further attempt.
func (b *Balancer) Pick(now float64, r *Request) Decision {
	b.detectStall(now)
	if r.Config == nil {
		r.Config = b.config
	}
	if r.Completed || r.Streaming {
		return Decision{CancelInFlight: r.Completed && r.Config.AllowCancel} // the attempts in flight are no longer needed
	}
	if len(r.Attempts) == 0 && now <= r.ReceivedAt {
		b.recordArrival(now, r)
	}
	inFlight := r.attemptsInFlight()
	if inFlight > 0 && !b.unresponsive(now, r) {
		return Decision{PickAgainAt: now + b.attemptTimeout(r)}
	}
	isRetry := len(r.Attempts) > 0
	if b.outOfTime(now, r) || !r.attemptsLeft() || !b.retryIsSafe(now, r) || isRetry && !b.retryAffordable(r) {
		return b.finalAnswer(now, r)
	}
	if inFlight > 0 && !r.Config.AllowHedging {
		return Decision{CancelInFlight: r.Config.AllowCancel}
	}
	if b.tooHeavy(now, r) {
		return b.finalAnswer(now, r)
	}
	if !isRetry && b.overConcurrencyLimit(r) {
		if b.tooLateToWait(now, r) {
			return b.finalAnswer(now, r)
		}
		return hold(now, r)
	}
	e := b.pickEndpoint(now, r)
	switch {
	case e != nil:
		return b.send(now, r, e)
	case inFlight > 0:
		return Decision{}
	}
	return hold(now, r)
}

// hold returns the decision to pick a request again shortly, at the latest when its last attempt must end.
func hold(now float64, r *Request) Decision {
	return Decision{Action: Hold, PickAgainAt: min(now+holdIntervalSeconds, r.lastAttemptEnd())}
}

// send adds a new attempt at an endpoint to the request and accounts for it. The decision says when to pick again if the
// endpoint does not answer.
func (b *Balancer) send(now float64, r *Request, e *endpoint) Decision {
	if len(r.Attempts) > 0 && !r.LastAttemptUndelivered { // an attempt that did not reach its endpoint has caused no load
		b.retryTokens--
	}
	if e.inFlight == 0 {
		e.lastAnswerAt = now
	}
	e.inFlight++
	e.workInFlight += r.Work
	b.inFlight++
	b.peakInFlight = max(b.peakInFlight, b.inFlight)
	if b.isCanary(e.build) {
		i := b.limitIndex(r.Class)
		b.canaryAttemptsAt[i] = append(b.canaryAttemptsAt[i], now)
	}
	e.slowStartTokens -= r.Work
	r.Attempts = append(r.Attempts, Attempt{Endpoint: e.id, StartedAt: now, InFlight: true, sentTo: e, moves: e.moves})
	e.neededUntil = max(e.neededUntil, r.Deadline)
	class := r.class()
	decision := Decision{Action: Send, Endpoint: e.id, AttemptDeadline: r.lastAttemptEnd()}
	pickAgainAt := now + b.attemptTimeout(r)
	if class.Idempotency != NonIdempotent && pickAgainAt < r.FirstTriedAt+class.LatencyObjectiveSeconds {
		decision.PickAgainAt = pickAgainAt
	}
	return decision
}

// OnAttemptDone records the outcome and the duration, in seconds, of an attempt in flight, which is given by its index
// in the request's Attempts, and decides what follows.
func (b *Balancer) OnAttemptDone(now float64, r *Request, index int, outcome Outcome, duration float64) Decision {
	b.detectStall(now)
	attempt := &r.Attempts[index]
	attempt.InFlight, attempt.MayHaveRun, attempt.endedAt = false, outcome.MayHaveRun(), now
	receiver := attempt.receivedBy()
	b.recordConnection(now, receiver, outcome)
	r.LastAttemptUndelivered = outcome == NotConnected || outcome == NotSent
	attempt.sentTo.inFlight--
	attempt.sentTo.workInFlight -= r.Work
	b.inFlight--
	if outcome != NotSent && (outcome != Cancelled || !r.Completed) {
		b.recordOutcome(now, r, receiver, outcome, duration)
	}
	if outcome == Succeeded && b.config.OneWayKeys && r.Key != 0 {
		for e := range attempt.mayHaveReached() {
			b.rememberKey(r.Key, e.build)
		}
	}
	if r.Completed {
		return Decision{CancelInFlight: b.config.AllowCancel} // by the current configuration, not the request's own
	}
	return b.Pick(now, r)
}

// pickEndpoint picks a side with a probability in proportion to its capacity, and an endpoint of that side, or of the
// other side if none can accept the request. A canary that this balancer's vote alone rolls back is tried second.
func (b *Balancer) pickEndpoint(now float64, r *Request) *endpoint {
	first, second := b.subset[canary], b.subset[baseline]
	if b.rollsBackAlone() || b.random.next() >= b.readyCapacity[canary]/(b.readyCapacity[baseline]+b.readyCapacity[canary]) {
		first, second = second, first
	}
	if e := b.pickFromSide(now, r, first); e != nil {
		return e
	}
	return b.pickFromSide(now, r, second)
}

// pickFromSide implements the power of two choices for one side: the cheaper of two endpoints drawn at random. More are
// drawn while many new connections fail, and if the best so far is a baseline endpoint that looks gone. A failing canary
// is no reason to draw again: its failures must be observed.
func (b *Balancer) pickFromSide(now float64, r *Request, candidates []*endpoint) (best *endpoint) {
	if len(candidates) == 0 || b.isCanary(candidates[0].build) && b.canaryAllowance(now, r, candidates[0].build) < 1 {
		return nil
	}
	manyConnsFail := b.manyConnsFail(now)
	maxDraws := staleListDraws
	if manyConnsFail {
		maxDraws = failingConnsDraws
	}
	drawAgain := func() bool {
		return best == nil || manyConnsFail || !b.isCanary(best.build) && b.outlierScore(now, best) > staleListOutlierScore
	}
	var bestCost float64
	for draw := 0; draw < maxDraws && (draw < defaultDraws || drawAgain()); draw++ {
		preferConn := manyConnsFail && (draw != 1 || r.LastAttemptUndelivered) // the second draw may open a new connection
		e := b.drawEndpoint(now, r, candidates, preferConn)
		if e == nil || !b.hasSlowStartToken(now, e) {
			continue
		}
		if cost := b.cost(now, e, r.Work); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// drawEndpoint draws a position among the candidates at random and returns the first eligible endpoint from there on,
// or nil if none is eligible. If preferConn is set, it returns the first eligible one with an open connection, or the
// last eligible one if none has an open connection.
func (b *Balancer) drawEndpoint(now float64, r *Request, candidates []*endpoint, preferConn bool) (drawn *endpoint) {
	start := int(b.random.next() * float64(len(candidates)))
	for i := range candidates {
		e := candidates[(start+i)%len(candidates)]
		if !b.eligible(now, r, e) {
			continue
		}
		drawn = e
		if !preferConn || b.hasConnection(now, e) {
			break
		}
	}
	return drawn
}

// eligible reports whether a request may be sent to an endpoint at all, whatever its load.
func (b *Balancer) eligible(now float64, r *Request, e *endpoint) bool {
	for i := range r.Attempts {
		if b.mustAvoid(r, &r.Attempts[i], e) || r.leavesDedupScope(&r.Attempts[i], e) {
			return false
		}
	}
	return e.ready && b.keyAllows(r, e) && (!b.isCanary(e.build) || b.canaryAllowance(now, r, e.build) >= 1)
}

// mustAvoid reports whether an attempt is in flight at an endpoint or, without hedging, is the request's only one so
// far and may have run there: another endpoint is likelier to succeed, if there is one. Later retries may use the endpoint
// again.
func (b *Balancer) mustAvoid(r *Request, attempt *Attempt, e *endpoint) bool {
	if attempt.Endpoint != e.id {
		return false
	}
	onlyAttempt := !r.Config.AllowHedging && b.readyCount > 1 && attempt.MayHaveRun && len(r.Attempts) == 1
	return attempt.InFlight || onlyAttempt
}

// cost returns how loaded an endpoint appears: this balancer's work in flight there plus the new request's, multiplied
// by how slowly the endpoint answers, how long it has been silent and how often it failed lately, divided by its
// capacity. Failures decay and silence counts only while attempts are in flight, so that each endpoint is tried again.
func (b *Balancer) cost(now float64, e *endpoint, work float64) float64 {
	if !b.hasConnection(now, e) {
		work *= 1 + outlierCostFactor*b.connFailureShare(now)
	}
	slowness := max(e.latencyRatio, minLatencyRatio)
	if e.latencyRatio == 0 {
		slowness = 1
	}
	if e.inFlight > 0 && b.maxTypicalLatency > 0 {
		slowness = max(slowness, (now-e.lastAnswerAt)/(2*b.maxTypicalLatency))
	}
	return (e.workInFlight + work) * slowness * (1 + outlierCostFactor*b.outlierScore(now, e)) / (e.weight * b.slowStartShare(now, e))
}
