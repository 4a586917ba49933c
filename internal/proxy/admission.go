package proxy

import (
	"errors"
	"hash/fnv"
	"strings"

	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// The reasons for which a message is not accepted as a request.
var (
	errIDInFlight = errors.New("a command with this id is in hand")
	errMayHaveRun = errors.New(textFailed)
)

// accept turns a message into a request, asks the balancer for its first decision and carries it out. It returns
// errIDInFlight if a request with the same id is in flight, and errMayHaveRun if one was abandoned that must not run
// again. Every other request gets exactly one final answer, unless abandonRequest is
// called first. pending is the answer's slot in the client's answerQueue, nil if the protocol does not pipeline. The
// caller must not hold p.mu.
func (p *Proxy) accept(conn *clientConn, message *message, config *configstate.Version, class int, pending *pendingAnswer) (*request, error) {
	p.mu.Lock()
	now := p.Now()
	if err := p.checkID(now, message.id); err != nil {
		p.mu.Unlock()
		message.memory.release()
		return nil, err
	}
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
	return request, nil
}

// checkID returns the error of accept for a message's id, which is empty if the protocol has none. The caller holds p.mu.
func (p *Proxy) checkID(now float64, id string) error {
	if id == "" {
		return nil
	}
	if _, inFlight := p.requestIDs[id]; inFlight {
		return errIDInFlight
	}
	if p.abandonedRequests.MayHaveRun(now, id) {
		return errMayHaveRun
	}
	return nil
}

// newRequest creates the request for a message. Its deadline is the earliest of its class's timeout, the client's
// timeout and the proxy's answer deadline. Both timeouts count from when the kernel received the message if that was
// measured, and from now otherwise. The caller holds p.mu.
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
			ID:             p.lastRequestID,
			Class:          class,
			Config:         config.Policy,
			Key:            message.keyHash,
			IdempotencyKey: message.idempotencyHash,
			ReceivedAt:     now,
			Deadline:       deadline,
			Work:           message.workSeconds,
			ClientRetry:    message.clientRetry,
		},
		conn:      conn,
		message:   message,
		config:    config,
		heapIndex: -1,
		pending:   pending,
	}
}

// admits reports whether this process has the capacity to serve a request. It is called before the balancer picks an
// endpoint: a request that is not admitted was never sent, so it can be rejected as safe to retry. The caller holds
// p.mu.
func (p *Proxy) admits(now float64, request *request) bool {
	if request.message.admitted {
		return true
	}
	return p.shedder == nil || p.shedder.Admit(now, loadshed.Request{
		Class:            request.Class,
		Client:           request.conn.hostHash,
		Retry:            request.ClientRetry,
		RemainingSeconds: request.Deadline - now,
	})
}

// rejectUnaccepted counts a message that is rejected without having been accepted as a request, and returns its answer.
// The caller holds p.mu.
func (p *Proxy) rejectUnaccepted(conn *clientConn) answer {
	p.stats.Received++
	p.stats.Rejected++
	p.stats.Shed++
	conn.reading, conn.hasSentRequest, conn.idleSince = false, true, p.Now()
	return p.shedAnswerFor(p.currentConfig.Load())
}

// shedAnswerFor returns the answer to requests that are shed. It is cached for the last configuration version used,
// because it is needed most when there is no CPU time to encode it. The caller holds p.mu.
func (p *Proxy) shedAnswerFor(config *configstate.Version) answer {
	if p.shedAnswer.bytes == nil || p.shedAnswerConfig != config {
		p.shedAnswerConfig = config
		p.shedAnswer = p.protocol.rejectedAnswer(config, config.Policy.MaxRetryAfterSeconds, 0)
	}
	return p.shedAnswer
}

// observeSuccess reports to the shedder the latency and the message bytes of a request that succeeded. The caller holds
// p.mu.
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

// shedderClasses converts a policy's request classes to the shedder's, in the same order.
func shedderClasses(config *policy.Config) (classes []loadshed.RequestClass) {
	for _, class := range config.Classes {
		classes = append(classes, loadshed.RequestClass{LatencyObjectiveSeconds: class.LatencyObjectiveSeconds, PriorityWeight: class.PriorityWeight})
	}
	return classes
}

// hashHost hashes an address without its port: the shedder treats all connections from one host as one client.
func hashHost(addr string) uint64 {
	if i := strings.LastIndexByte(addr, ':'); i >= 0 {
		addr = addr[:i]
	}
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()
}
