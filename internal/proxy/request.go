package proxy

import (
	"time"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// request is an accepted request, from accept until its last attempt has ended. It is guarded by Proxy.mu.
type request struct {
	policy.Request
	conn        *clientConn
	message     *message
	config      *configstate.Version // it is served by this version to its end
	attempts    []*attempt           // attempts[i] is the proxy's side of Request.Attempts[i]
	pickAgainAt float64              // when the balancer is to be asked again, 0: not
	nextCheckAt float64              // the earliest of pickAgainAt and the attempts' deadlines
	heapIndex   int                  // in the deadline queue, -1: not in it
	pending     *pendingAnswer       // its place among its client's answers; nil where the protocol keeps no queue of them
}

// message is a request as a protocol read it.
type message struct {
	method, path string
	head         []byte // what endpoints get before the remaining time
	body         []byte // what they get after it

	id                string  // where the protocol names requests
	keyHash           uint64  // of what the request concerns, 0: not told
	timeoutSeconds    float64 // that its client waits from its arrival, 0: not told
	workSeconds       float64 // that its client expects it to take, 0: not told
	hasIdempotencyKey bool
	clientRetry       bool // the client asked before
	closeAfter        bool // the client wants the connection closed after the answer
	receipt           string

	options       []byte // RESP2: the option list without the value of d, which belongs at timeoutOffset
	timeoutOffset int

	queuedSeconds float64 // that it lay in the kernel before it was read, as far as that was measured
	admitted      bool    // it passed load shedding already
}

// The kinds of final answers, as OnFinalAnswer and the HTTP header give them.
const (
	kindSucceeded = "acked"
	kindRejected  = "nacked" // not done, a retry is harmless
	kindFailed    = "failed" // may have been done
)

// answer is what a client gets: bytes for the wire, and its kind; the kind is empty for answers to what was no request.
type answer struct {
	bytes []byte
	kind  string
}

// pick asks the balancer what comes next for a request. The caller holds p.mu.
func (p *Proxy) pick(now float64, request *request) policy.Decision {
	from := time.Now()
	decision := p.balancer.Pick(now, &request.Request)
	p.countPolicyCall(from)
	return decision
}

// applyDecision carries out a decision, and what the balancer decides on what comes of that at once. The caller holds p.mu.
func (p *Proxy) applyDecision(now float64, request *request, decision policy.Decision, effects *effects) {
	if again := decision.PickAgainAt; again > 0 && again < request.Deadline && (request.pickAgainAt == 0 || again < request.pickAgainAt) {
		request.pickAgainAt = again
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
		p.finishRequest(request, p.protocol.rejectedAnswer(request.config, decision.RetryAfterSeconds), effects)
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

// finishRequest ends a request with its final answer. The caller holds p.mu.
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

// abandonRequest ends a request whose client has gone. It returns false if the request had its final answer already. What
// has begun to reach an endpoint goes on unless the balancer cancels it.
func (p *Proxy) abandonRequest(request *request) bool {
	p.mu.Lock()
	if request.Completed {
		p.mu.Unlock()
		return false
	}
	now := p.Now()
	p.stats.Abandoned++
	p.removeInFlight(request)
	var effects effects
	for _, attempt := range request.attempts {
		if attempt.inFlight() && attempt.writeState.Load() == notWritten {
			p.endAttempt(now, attempt, policy.Cancelled, &effects)
		}
	}
	p.applyDecision(now, request, p.pick(now, request), &effects)
	p.mu.Unlock()
	p.runEffects(&effects)
	return true
}

// addInFlight enters a new request in the counts. The caller holds p.mu.
func (p *Proxy) addInFlight(request *request) {
	if request.message.id != "" {
		p.requestIDs[request.message.id] = struct{}{}
	}
	request.conn.reading, request.conn.hasSentRequest = false, true
	request.conn.inFlight++
	p.stats.Received++
	p.inFlight++
	p.inFlightByClass[request.Class]++
}

// removeInFlight undoes addInFlight: the request is answered, or its client has gone. The caller holds p.mu.
func (p *Proxy) removeInFlight(request *request) {
	request.Completed = true
	p.inFlight--
	p.inFlightByClass[request.Class]--
	request.conn.inFlight--
	request.conn.idleSince = p.Now()
	delete(p.requestIDs, request.message.id)
}

// withoutCompleted drops, in place, the requests that have their final answer.
func (p *Proxy) withoutCompleted(requests []*request) []*request {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, request := range requests {
		if !request.Completed {
			requests[n] = request
			n++
		}
	}
	clear(requests[n:])
	return requests[:n]
}
