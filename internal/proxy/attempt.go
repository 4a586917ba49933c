package proxy

import (
	"sync/atomic"
	"time"

	"flintspread/internal/policy"
)

// minSentTimeoutSeconds is the least remaining time that an endpoint is told: 0 would mean that none is told.
const minSentTimeoutSeconds = 0.001

// attempt is one sending of a request to an endpoint. Its fields are guarded by Proxy.mu, but for writeState and for those
// that are set before it is handed out and never changed: request, index, endpointID, startedAt, assignedConn. The deadline
// is also read, without the lock, to tell the endpoint how much time is left.
type attempt struct {
	request      *request
	index        int // its place in request.Attempts
	endpointID   uint32
	startedAt    float64
	deadline     float64
	conn         *endpointConn // nil once it ended
	assignedConn *endpointConn // the connection it was given, also after its end
	outcome      policy.Outcome
	writeState   atomic.Int32
}

// The states of an attempt's writing. Whether its last byte may leave is settled once, by who changes notWritten (or
// lastByteHeld, where endpoints begin a request only with its last byte): to written by the writer, to dropped by who ends
// the attempt. A dropped attempt provably never ran; one that is written may have run.
const (
	notWritten   int32 = iota
	lastByteHeld       // the kernel took a part; the last byte is held back until the rest is taken
	written            // the last byte leaves, or has left
	dropped
)

// drop keeps an attempt's last byte from leaving. It returns false if that is too late.
func (a *attempt) drop() bool {
	return a.writeState.CompareAndSwap(notWritten, dropped) || a.writeState.CompareAndSwap(lastByteHeld, dropped)
}

// claimWrite takes the right to write an attempt. It returns false if it was dropped.
func (a *attempt) claimWrite() bool { return a.writeState.CompareAndSwap(notWritten, written) }

// inFlight tells whether the attempt has not ended. The caller holds Proxy.mu.
func (a *attempt) inFlight() bool { return a.request.Attempts[a.index].InFlight }

// startAttempt enters a further attempt of a request. The caller holds p.mu.
func (p *Proxy) startAttempt(now float64, request *request, decision policy.Decision) *attempt {
	p.stats.Attempts++
	attempt := &attempt{
		request:    request,
		index:      len(request.Attempts),
		endpointID: decision.Endpoint,
		startedAt:  now,
		deadline:   decision.AttemptDeadline,
	}
	request.Attempts = append(request.Attempts, policy.Attempt{Endpoint: decision.Endpoint, StartedAt: now, InFlight: true})
	request.attempts = append(request.attempts, attempt)
	return attempt
}

// cancelAttempts ends what a request has in flight. The caller holds p.mu.
func (p *Proxy) cancelAttempts(now float64, request *request, effects *effects) {
	for _, attempt := range request.attempts {
		if attempt.inFlight() {
			p.stats.Cancels++
			p.endAttempt(now, attempt, policy.Cancelled, effects)
		}
	}
}

// endAttempt enters an attempt's outcome, tells the balancer, and carries out what it decides next. An attempt that has
// ended before stays as it is. The caller holds p.mu.
func (p *Proxy) endAttempt(now float64, attempt *attempt, outcome policy.Outcome, effects *effects) {
	if !attempt.inFlight() {
		return
	}
	request := attempt.request
	outcome = attempt.settleOutcome(outcome)
	attempt.outcome = outcome
	p.stats.Outcomes[outcome]++
	record := &request.Attempts[attempt.index]
	record.InFlight = false
	record.MayHaveRun = outcome.MayHaveRun()
	if conn := attempt.conn; conn != nil {
		attempt.conn = nil
		if conn.attempt == attempt {
			conn.attempt = nil
			p.removeConn(conn, effects) // something of the attempt may still be on it
		}
	}
	decision := p.onAttemptDone(now, attempt)
	p.applyDecision(now, request, decision, effects)
}

// onAttemptDone tells the balancer of an attempt's outcome. The caller holds p.mu.
func (p *Proxy) onAttemptDone(now float64, attempt *attempt) policy.Decision {
	from := time.Now()
	decision := p.balancer.OnAttemptDone(now, &attempt.request.Request, attempt.endpointID, attempt.outcome, now-attempt.startedAt)
	p.countPolicyCall(from)
	return decision
}

// settleOutcome drops an attempt that has no answer, where that is not too late, and gives the outcome to be entered: one
// that was dropped is known never to have run, whatever ended it. It counts against the endpoint only where there was time
// to make a connection, or to write to one, and none came of it.
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

// writeAttempt writes an attempt to its connection without waiting, unless it was dropped meanwhile. The caller does not
// hold p.mu.
func (p *Proxy) writeAttempt(attempt *attempt) {
	if !attempt.claimWrite() {
		return
	}
	buf := p.protocol.encodeAttempt(attempt.request.message, max(minSentTimeoutSeconds, attempt.deadline-p.Now()))
	socket := attempt.assignedConn.socket.Load()
	n, err := socket.writeNow(buf)
	switch {
	case err != nil && (n == 0 || p.protocol.startsAtLastByte()):
		p.failUnwritten(attempt, n, err)
	case err != nil:
		socket.Close() // its reader enters the end
	case n < len(buf):
		// The endpoint does not read. The attempt's end closes the connection, and with it ends the goroutine.
		if p.protocol.startsAtLastByte() {
			attempt.writeState.Store(lastByteHeld)
		}
		p.goroutines.Add(1)
		go p.writeRemaining(attempt, socket, buf, n)
	}
}

// writeRemaining writes what the kernel did not take at once, from byte n on.
func (p *Proxy) writeRemaining(attempt *attempt, socket *socket, buf []byte, n int) {
	defer p.goroutines.Done()
	held := len(buf)
	if p.protocol.startsAtLastByte() {
		held--
	}
	m, err := socket.Write(buf[n:held])
	if n += m; err == nil && n < len(buf) {
		if !attempt.writeState.CompareAndSwap(lastByteHeld, written) {
			return // dropped
		}
		m, err = socket.Write(buf[n:])
		n += m
	}
	switch {
	case err != nil && p.protocol.startsAtLastByte():
		p.failUnwritten(attempt, n, err)
	case err != nil:
		socket.Close() // its reader enters the end
	}
}

// failUnwritten ends an attempt whose last byte the kernel did not take: it never ran. Where the kernel took no byte at
// all, the connection had ended before, which says nothing of the endpoint now.
func (p *Proxy) failUnwritten(attempt *attempt, writtenBytes int, err error) {
	outcome := policy.NotConnected
	if writtenBytes == 0 {
		outcome = policy.NotSent
	}
	p.mu.Lock()
	var effects effects
	if attempt.inFlight() {
		p.log.Debug("attempt not written", "endpoint", attempt.endpointID, "written_bytes", writtenBytes, "error", err)
		attempt.writeState.Store(notWritten)
		p.endAttempt(p.Now(), attempt, outcome, &effects)
	}
	p.mu.Unlock()
	p.runEffects(&effects)
}
