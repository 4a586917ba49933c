package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// minSentTimeoutSeconds is the smallest remaining time that is sent to an endpoint, since 0 would mean "not set".
const minSentTimeoutSeconds = 0.001

// attempt is the proxy's state of one attempt of a request. Its fields are guarded by Proxy.mu, except the atomic ones and
// the fields that never change once the attempt is scheduled for writing: request, index, endpointID, startedAt,
// assignedConn and writeDeadline.
type attempt struct {
	request       *request
	index         int // in request.Attempts and request.attempts
	endpointID    uint32
	startedAt     float64
	deadline      float64
	writeDeadline float64       // copy of deadline, made when the attempt is scheduled for writing
	conn          *endpointConn // nil once the attempt has ended
	assignedConn  *endpointConn // the same connection, kept after the attempt has ended
	outcome       policy.Outcome
	writeState    atomic.Int32
	sendProgress  atomic.Int32
}

// The write states of an attempt. The writer changes the state to written, the code that ends the attempt changes it to
// dropped; a single compare-and-swap decides which comes first, and so whether the last byte may be sent. Both start from
// notWritten or, for a partly written attempt of a protocol that startsAtLastByte, from lastByteHeld. A dropped attempt
// provably never ran; a written one may have run.
const (
	notWritten   int32 = iota
	lastByteHeld       // partly written; the last byte is held back until the kernel has accepted all others
	written            // the last byte is being sent, or was sent
	dropped
)

// The progress of sending an attempt's bytes. Its connection may be used again only once both directions have ended: all
// bytes were sent and the answer was read. An endpoint may answer before it has read the whole attempt.
const (
	sending              int32 = iota // the first write has not returned
	sendingRest                       // it was not enough or failed; another goroutine may be writing the rest
	sent                              // the kernel has accepted all bytes
	answeredWhileSending              // the answer was read before the first write returned: its writer frees the connection
)

// drop prevents an attempt's last byte from being sent. It returns false if the byte is being sent or was sent, or if
// the attempt was already dropped.
func (a *attempt) drop() bool {
	return a.writeState.CompareAndSwap(notWritten, dropped) || a.writeState.CompareAndSwap(lastByteHeld, dropped)
}

// claimWrite claims the right to write the attempt. It returns false if the attempt was dropped.
func (a *attempt) claimWrite() bool { return a.writeState.CompareAndSwap(notWritten, written) }

// inFlight reports whether the attempt has not ended. The caller holds Proxy.mu.
func (a *attempt) inFlight() bool { return a.request.Attempts[a.index].InFlight }

// startAttempt creates the proxy's state of an attempt that the balancer has just added to a request. The caller holds
// p.mu.
func (p *Proxy) startAttempt(now float64, request *request, decision policy.Decision) *attempt {
	p.stats.Attempts++
	attempt := &attempt{
		request:    request,
		index:      len(request.attempts),
		endpointID: decision.Endpoint,
		startedAt:  now,
		deadline:   decision.AttemptDeadline,
	}
	request.attempts = append(request.attempts, attempt)
	return attempt
}

// cancelAttempts cancels a request's attempts in flight. The caller holds p.mu.
func (p *Proxy) cancelAttempts(now float64, request *request, effects *effects) {
	for _, attempt := range request.attempts {
		if attempt.inFlight() {
			p.stats.Cancels++
			p.endAttempt(now, attempt, policy.Cancelled, effects)
		}
	}
}

// endAttempt records an attempt's outcome, reports it to the balancer and carries out the balancer's next decision. It
// does nothing if the attempt has already ended. The caller holds p.mu.
func (p *Proxy) endAttempt(now float64, attempt *attempt, outcome policy.Outcome, effects *effects) {
	if !attempt.inFlight() {
		return
	}
	request := attempt.request
	outcome = attempt.settleOutcome(outcome)
	attempt.outcome = outcome
	p.stats.Outcomes[outcome]++
	if conn := attempt.conn; conn != nil {
		attempt.conn = nil
		if conn.attempt == attempt {
			conn.attempt = nil
			p.removeConn(conn, effects) // bytes of the attempt may still be in transit on it
		}
	}
	decision := p.onAttemptDone(now, attempt)
	request.releaseMemory()
	p.applyDecision(now, request, decision, effects)
}

// onAttemptDone reports an attempt's outcome to the balancer and returns the next decision. The caller holds p.mu.
func (p *Proxy) onAttemptDone(now float64, attempt *attempt) policy.Decision {
	start := time.Now()
	decision := p.balancer.OnAttemptDone(now, &attempt.request.Request, attempt.index, attempt.outcome, now-attempt.startedAt)
	p.countPolicyCall(start)
	return decision
}

// settleOutcome returns the outcome to record for an attempt that ends with the given outcome. It drops the attempt if
// it has no answer and its last byte was not sent. A dropped attempt never ran, whatever ended it, so it is recorded as
// NotConnected, which counts against the endpoint, or as NotSent, which does not. It is NotConnected if that is the given
// outcome, or if the request was not completed and the connection was still being dialed or the attempt was partly
// written.
func (a *attempt) settleOutcome(outcome policy.Outcome) policy.Outcome {
	partlyWritten := a.writeState.Load() == lastByteHeld
	if outcome.IsAnswer() || !a.drop() || outcome == policy.NotConnected {
		return outcome
	}
	if a.conn != nil && (a.conn.dialing || partlyWritten) && !a.request.Completed {
		return policy.NotConnected
	}
	return policy.NotSent
}

// writeAttempt writes an attempt to its connection without blocking, unless it was dropped meanwhile. The caller must
// not hold p.mu.
func (p *Proxy) writeAttempt(attempt *attempt) {
	if attempt.writeState.Load() == dropped {
		return
	}
	if p.clientLeft(attempt) {
		p.abandonRequest(attempt.request)
		return
	}
	if !attempt.claimWrite() {
		return
	}
	pooled := attemptBuffers.Get().(*[]byte)
	buf := p.protocol.encodeAttempt((*pooled)[:0], attempt.request.message, max(minSentTimeoutSeconds, attempt.writeDeadline-p.Now()))
	*pooled = buf
	socket := attempt.assignedConn.socket.Load()
	n, err := socket.writeNow(buf)
	if !p.endFirstWrite(attempt, err == nil && n == len(buf)) {
		attemptBuffers.Put(pooled)
		return
	}
	switch {
	case err == nil && n < len(buf):
		// The endpoint does not read fast enough. If the attempt ends before all bytes are written, its connection is
		// closed, which ends the goroutine.
		if p.protocol.startsAtLastByte() {
			attempt.writeState.Store(lastByteHeld)
		}
		attempt.request.conn.memory.hold(len(buf))
		p.goroutines.Add(1)
		go p.writeRemaining(attempt, socket, pooled, n)
		return
	case err != nil && (n == 0 || p.protocol.startsAtLastByte()):
		p.failUnwritten(attempt, n, err)
	case err != nil:
		socket.Close() // the connection's reader ends the attempt
	}
	attemptBuffers.Put(pooled)
}

// endFirstWrite records whether the first write of an attempt has sent all of its bytes. It returns false if the answer was
// read before; then it frees the connection, and there is nothing left to write.
func (p *Proxy) endFirstWrite(attempt *attempt, complete bool) bool {
	progress := sendingRest
	if complete {
		progress = sent
	}
	if attempt.sendProgress.CompareAndSwap(sending, progress) {
		return true
	}
	p.mu.Lock()
	var effects effects
	p.freeConn(p.Now(), attempt.assignedConn, complete, &effects)
	p.mu.Unlock()
	p.runEffects(&effects)
	return false
}

// clientLeft reports whether the client of an attempt that is about to be written has closed its connection. The
// connection's reader notices that too, but after a stall of this process a retry, a held request or a completed dial may
// come first. A request that has just been received needs no check, since its reader has made it.
func (p *Proxy) clientLeft(attempt *attempt) bool {
	return loadshed.ClientCheckDue(p.Now()-attempt.request.ReceivedAt) && attempt.request.conn.socket.hasHungUp()
}

// attemptBuffers holds buffers (*[]byte) for encoded attempts.
var attemptBuffers = sync.Pool{New: func() any { return new([]byte) }}

// writeRemaining writes what the kernel did not accept at once, from byte n on, and returns the buffer to
// attemptBuffers.
func (p *Proxy) writeRemaining(attempt *attempt, socket *socket, pooled *[]byte, n int) {
	defer p.goroutines.Done()
	defer attemptBuffers.Put(pooled)
	buf := *pooled
	defer attempt.request.conn.memory.release(len(buf))
	end := len(buf)
	if p.protocol.startsAtLastByte() {
		end-- // hold back the last byte
	}
	more, err := socket.Write(buf[n:end])
	if n += more; err == nil && n < len(buf) {
		if !attempt.writeState.CompareAndSwap(lastByteHeld, written) {
			return // dropped
		}
		more, err = socket.Write(buf[n:])
		n += more
	}
	if err == nil {
		attempt.sendProgress.Store(sent)
	}
	switch {
	case err != nil && p.protocol.startsAtLastByte():
		p.failUnwritten(attempt, n, err)
	case err != nil:
		socket.Close() // the connection's reader ends the attempt
	}
}

// failUnwritten ends an attempt whose last byte the kernel did not accept: it never ran. If the kernel accepted no byte
// at all, the connection had already ended, which says nothing about the endpoint's present state.
func (p *Proxy) failUnwritten(attempt *attempt, writtenBytes int, err error) {
	outcome := policy.NotConnected
	if writtenBytes == 0 {
		outcome = policy.NotSent
	}
	p.mu.Lock()
	var effects effects
	if attempt.inFlight() {
		p.log.Debug("failed to write an attempt to its endpoint", "endpoint", attempt.endpointID, "written_bytes", writtenBytes, "error", err)
		attempt.writeState.Store(notWritten) // the last byte was not sent: settleOutcome drops the attempt
		p.endAttempt(p.Now(), attempt, outcome, &effects)
	}
	p.mu.Unlock()
	p.runEffects(&effects)
}
