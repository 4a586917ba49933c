package proxy

import (
	"time"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// request is an accepted request, kept until its last attempt has ended. It is guarded by Proxy.mu.
type request struct {
	policy.Request
	conn        *clientConn
	message     *message
	config      *configstate.Version // in force when it was accepted; used until it ends
	attempts    []*attempt           // attempts[i] is the proxy's state of Request.Attempts[i]
	pickAgainAt float64              // when to call the balancer's Pick again; 0: not scheduled
	nextCheckAt float64              // earliest of pickAgainAt and the attempts' deadlines
	heapIndex   int                  // index in Proxy.deadlines; -1: not queued
	abandoned   bool                 // its client disconnected before its final answer
	pending     *pendingAnswer       // its slot in the client's answerQueue; nil if the protocol does not pipeline
}

// message is a request as read by a protocol.
type message struct {
	method, path string
	head         []byte // sent to endpoints, followed by the remaining time and the body
	body         []byte

	id              string  // empty if the protocol has no request ids
	keyHash         uint64  // hash of the request's key; 0: none given
	idempotencyHash uint64  // hash of its idempotency key; 0: none given
	timeoutSeconds  float64 // the client's timeout, from arrival; 0: none given
	workSeconds     float64 // expected work; 0: none given
	clientRetry     bool    // the client marked the message as a retry
	closeAfter      bool    // the client wants the connection closed after the answer
	receipt         string  // HTTP/1.1: the receipt of an answer that the client reports as wrong

	options       []byte // RESP2: the option list without the value of d, the timeout
	timeoutOffset int    // RESP2: where encodeAttempt inserts the remaining time into options

	queuedSeconds float64 // time in the kernel before it was read; 0 if not measured
	admitted      bool    // already admitted by load shedding, before it was parsed

	memory memoryHold // held until the request has ended; see request.releaseMemory
}

// The kinds of final answers, as passed to OnFinalAnswer and sent to HTTP clients in headerAnswer.
const (
	kindSucceeded = "acked"
	kindRejected  = "nacked" // a retry is safe: the request never ran, or may run again
	kindFailed    = "failed" // the request may have run
)

// answer is an encoded answer for a client, and its kind. The kind is empty if the answered message was not accepted as
// a request.
type answer struct {
	bytes []byte
	kind  string
}

// pick returns the balancer's decision on a request's next step. The caller holds p.mu.
func (p *Proxy) pick(now float64, request *request) policy.Decision {
	start := time.Now()
	decision := p.balancer.Pick(now, &request.Request)
	p.countPolicyCall(start)
	return decision
}

// applyDecision carries out a decision, and any further decisions that follow from it at once. The caller holds p.mu.
func (p *Proxy) applyDecision(now float64, request *request, decision policy.Decision, effects *effects) {
	if at := decision.PickAgainAt; at > 0 && at < request.Deadline && (request.pickAgainAt == 0 || at < request.pickAgainAt) {
		request.pickAgainAt = at
	}
	switch decision.Action {
	case policy.Send:
		attempt := p.startAttempt(now, request, decision)
		if !p.assignConn(attempt, effects) {
			p.endAttempt(now, attempt, policy.NotSent, effects)
			return
		}
	case policy.Reject:
		p.stats.Rejected++
		p.finishRequest(request, p.protocol.rejectedAnswer(request.config, decision.RetryAfterSeconds, decision.RetryBySeconds), effects)
	case policy.Fail:
		p.stats.Failed++
		p.finishRequest(request, p.protocol.failedAnswer(request.config, request.lastAttemptTimedOut()), effects)
	}
	if decision.CancelInFlight {
		p.cancelAttempts(now, request, effects)
	}
	p.scheduleCheck(request)
}

func (r *request) lastAttemptTimedOut() bool {
	n := len(r.attempts)
	return n > 0 && r.attempts[n-1].outcome == policy.TimedOut
}

// finishRequest completes a request with its final answer. The caller holds p.mu.
func (p *Proxy) finishRequest(request *request, answer answer, effects *effects) {
	p.removeInFlight(request)
	effects.answer, effects.answeredRequest = answer, request
	if p.draining {
		request.conn.closeAfterAnswer = true
	}
	if p.OnFinalAnswer != nil {
		p.OnFinalAnswer(p.configState.ClassName(request.Class), answer.kind, p.Now()-request.ReceivedAt)
	}
}

// abandonRequest ends a request whose client disconnected. It returns false if the request already had its final
// answer, and does nothing if it was abandoned before. An attempt that may have reached its endpoint continues unless the balancer cancels it.
func (p *Proxy) abandonRequest(request *request) bool {
	p.mu.Lock()
	if request.Completed {
		p.mu.Unlock()
		return request.abandoned
	}
	now := p.Now()
	request.abandoned = true
	p.stats.Abandoned++
	p.removeInFlight(request)
	var effects effects
	for _, attempt := range request.attempts {
		if attempt.inFlight() && attempt.writeState.Load() == notWritten {
			p.endAttempt(now, attempt, policy.Cancelled, &effects)
		}
	}
	p.applyDecision(now, request, p.pick(now, request), &effects)
	if id := request.message.id; id != "" {
		p.abandonedRequests.Add(now, id, &request.Request)
	}
	p.mu.Unlock()
	p.runEffects(&effects)
	return true
}

// addInFlight counts a new request as in flight. The caller holds p.mu.
func (p *Proxy) addInFlight(request *request) {
	if request.message.id != "" {
		p.requestIDs[request.message.id] = struct{}{}
	}
	conn := request.conn
	conn.reading, conn.hasSentRequest = false, true
	conn.inFlight++
	conn.openRequests = append(conn.openRequests, request)
	p.stats.Received++
	p.inFlight++
	p.inFlightByClass[request.Class]++
}

// removeInFlight undoes addInFlight once the request was answered or its client disconnected. The caller holds p.mu.
func (p *Proxy) removeInFlight(request *request) {
	request.Completed = true
	p.inFlight--
	p.inFlightByClass[request.Class]--
	conn := request.conn
	conn.inFlight--
	conn.idleSince = p.Now()
	conn.removeOpenRequest(request)
	delete(p.requestIDs, request.message.id)
	request.releaseMemory()
}

// removeOpenRequest removes a request from openRequests. The caller holds Proxy.mu.
func (conn *clientConn) removeOpenRequest(request *request) {
	open := conn.openRequests
	for i := range open {
		if open[i] == request {
			last := len(open) - 1
			open[i], open[last] = open[last], nil
			conn.openRequests = open[:last]
			return
		}
	}
}

// releaseMemory releases the memory of the request's message once it has its final answer and no attempt is in flight.
// The caller holds Proxy.mu.
func (r *request) releaseMemory() {
	if !r.Completed {
		return
	}
	for _, attempt := range r.attempts {
		if attempt.inFlight() {
			return
		}
	}
	r.message.memory.release()
}
