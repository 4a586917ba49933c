package proxy

import (
	"hash/fnv"
	"strings"

	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// accept takes a message as a request, decides its first step and carries it out. It returns nil if a request with the
// message's id is in flight; all others get a final answer, unless abandonRequest comes first. pending is the answer's place
// where the protocol keeps a queue of them. The caller does not hold p.mu.
func (p *Proxy) accept(conn *clientConn, message *message, config *configstate.Version, class int, pending *pendingAnswer) *request {
	p.mu.Lock()
	if _, duplicate := p.requestIDs[message.id]; duplicate && message.id != "" {
		p.mu.Unlock()
		return nil
	}
	now := p.Now()
	request := p.newRequest(now, conn, message, config, class, pending)
	p.addInFlight(request)
	var effects effects
	if p.admits(now, request) {
		p.applyDecision(now, request, p.pick(now, request), &effects)
	} else {
		p.stats.Shed++
		p.stats.Rejected++
		p.finishRequest(request, p.shedAnswerFor(request.config), &effects)
	}
	p.mu.Unlock()
	p.runEffects(&effects)
	return request
}

// newRequest makes the request of a message. Its deadline is the earliest of its class's timeout, the client's, and the
// proxy's own answer deadline; the client's time began when the kernel got the message. The caller holds p.mu.
func (p *Proxy) newRequest(now float64, conn *clientConn, message *message, config *configstate.Version, class int, pending *pendingAnswer) *request {
	deadline := now + config.Policy.Classes[class].TimeoutSeconds
	if message.timeoutSeconds > 0 {
		deadline = min(deadline, now+message.timeoutSeconds)
	}
	deadline -= message.queuedSeconds
	if p.answerDeadline > 0 {
		deadline = min(deadline, p.answerDeadline)
	}
	p.lastRequestID++
	return &request{
		Request: policy.Request{
			ID:          p.lastRequestID,
			Class:       class,
			Config:      config.Policy,
			Key:         message.keyHash,
			ReceivedAt:  now,
			Deadline:    deadline,
			Work:        message.workSeconds,
			ClientRetry: message.clientRetry,
		},
		conn:      conn,
		message:   message,
		config:    config,
		heapIndex: -1,
		pending:   pending,
	}
}

// admits tells whether this process can take a request at all, before the balancer is asked where it goes. What is not
// admitted was never sent, so that a rejection, which says that a retry is harmless, is right. The caller holds p.mu.
func (p *Proxy) admits(now float64, request *request) bool {
	if request.message.admitted {
		return true
	}
	if p.memory.wouldExceed(0) {
		return false
	}
	return p.shedder == nil || p.shedder.Admit(now, loadshed.Request{
		Class:            request.Class,
		Client:           request.conn.hostHash,
		Retry:            request.ClientRetry,
		RemainingSeconds: request.Deadline - now,
	})
}

// shedAnswerFor is the answer to requests that are shed. It is kept for as long as a configuration version holds: it is
// given when there is no time to write others. The caller holds p.mu.
func (p *Proxy) shedAnswerFor(config *configstate.Version) answer {
	if p.shedAnswer.bytes == nil || p.shedAnswerConfig != config {
		p.shedAnswerConfig = config
		p.shedAnswer = p.protocol.rejectedAnswer(config, config.Policy.MaxRetryAfterSeconds)
	}
	return p.shedAnswer
}

// observeSuccess tells the shedder what a request took. The caller holds p.mu.
func (p *Proxy) observeSuccess(request *request, now float64, bytes int) {
	if p.shedder != nil {
		p.shedder.OnSuccess(request.Class, now-request.ReceivedAt, bytes)
	}
}

// setShedderClasses applies a configuration version to the shedder. The caller holds p.mu.
func (p *Proxy) setShedderClasses(config *configstate.Version) {
	if p.shedder != nil {
		p.shedder.SetClasses(shedderClasses(config.Policy))
	}
}

// shedderClasses gives what the shedder needs to know of a policy's classes, in their order.
func shedderClasses(config *policy.Config) (classes []loadshed.RequestClass) {
	for _, class := range config.Classes {
		classes = append(classes, loadshed.RequestClass{LatencyObjectiveSeconds: class.LatencyObjectiveSeconds, PriorityWeight: class.PriorityWeight})
	}
	return classes
}

// hashHost hashes an address without its port: to the shedder, the connections of one host are one client.
func hashHost(addr string) uint64 {
	if i := strings.LastIndexByte(addr, ':'); i >= 0 {
		addr = addr[:i]
	}
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()
}
