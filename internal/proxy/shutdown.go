package proxy

import (
	"context"
	"fmt"
	"time"
)

// drainPollInterval passes between two looks of Drain at what is left.
const drainPollInterval = 5 * time.Millisecond

// SetReady says that the proxy knows enough to decide where requests go: clients that asked whether it is ready get their
// answer, as those who ask from then on.
func (p *Proxy) SetReady() {
	p.mu.Lock()
	waiting := p.awaitingReady
	p.ready, p.awaitingReady = true, nil
	p.mu.Unlock()
	for _, answer := range waiting {
		answer()
	}
}

// answerWhenReady runs answer, which must not wait, now or once the proxy is ready.
func (p *Proxy) answerWhenReady(conn *clientConn, answer func()) {
	p.mu.Lock()
	conn.reading = false
	ready := p.ready
	if !ready {
		p.awaitingReady = append(p.awaitingReady, answer)
	}
	p.mu.Unlock()
	if ready {
		answer()
	}
}

// SetAnswerDeadline has every request in flight, and every further one, answered by a time on the clock of Now, however long
// its client would wait.
func (p *Proxy) SetAnswerDeadline(at float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerDeadline = at
	// Every request in flight stands in the queue, for each waits for something. scheduleCheck reorders it: a copy is walked.
	for _, request := range append(deadlineQueue(nil), p.deadlines...) {
		if request.Completed || request.Deadline <= at {
			continue
		}
		request.Deadline = at
		for _, attempt := range request.attempts {
			attempt.deadline = min(attempt.deadline, at)
		}
		if request.pickAgainAt > at {
			request.pickAgainAt = at
		}
		p.scheduleCheck(request)
	}
}

// StopServing begins a graceful shutdown while the listener goes on: new connections are still served, and each connection
// ends once nothing is in flight on it. A message that has begun to come may still come whole, until the answer deadline.
func (p *Proxy) StopServing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	for conn := range p.clients {
		if conn.inFlight == 0 || conn.reading {
			p.protocol.wakeReader(conn)
		}
	}
}

// Drain stops serving, and waits until every request has its answer and every client connection has ended; the error says
// what is left if ctx ends before. The listener is to be closed before it is called.
func (p *Proxy) Drain(ctx context.Context) error {
	p.StopServing()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		requests, connections := p.wakeIdleClients()
		if requests == 0 && connections == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests and %d connections left: %w", requests, connections, ctx.Err())
		case <-ticker.C:
		}
	}
}

// wakeIdleClients has connections end that are idle, and counts what is left.
func (p *Proxy) wakeIdleClients() (requests, connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.clients {
		if conn.inFlight == 0 && !conn.reading {
			p.protocol.wakeReader(conn)
		}
	}
	return p.inFlight, len(p.clients)
}

// Close ends every connection and the timer, and waits for their goroutines. It may be called once, also while Serve still has a
// connection in admission: that one is refused.
func (p *Proxy) Close() {
	close(p.stop)
	p.mu.Lock()
	p.draining, p.closed = true, true
	for conn := range p.clients {
		conn.socket.Close()
	}
	for conn := range p.endpointConns {
		conn.close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
