package proxy

import (
	"context"
	"fmt"
	"time"
)

// drainPollInterval is the interval at which Drain checks for remaining requests and connections.
const drainPollInterval = 5 * time.Millisecond

// SetReady marks the proxy as ready to route requests. It answers pending readiness probes; later probes are answered
// at once. It may be called more than once.
func (p *Proxy) SetReady() {
	p.mu.Lock()
	pendingAnswers := p.awaitingReady
	p.ready, p.awaitingReady = true, nil
	p.mu.Unlock()
	for _, answer := range pendingAnswers {
		answer()
	}
}

// answerWhenReady runs answer, which must not block, now or once the proxy is ready.
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

// SetAnswerDeadline limits the deadline of every request, in flight or accepted later, to an instant on the clock of
// Now, whatever its client's timeout.
func (p *Proxy) SetAnswerDeadline(at float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerDeadline = at
	// The queue contains every request in flight, since each waits for an event. scheduleCheck reorders the queue, so
	// iterate over a copy.
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

// StopServing begins a graceful shutdown while the listener stays open. A new connection still gets its first request
// served, and each connection closes once no request is in flight on it. A message that is being read may still
// complete, until the answer deadline.
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

// DrainTimeoutSeconds returns the longest time that a graceful shutdown which begins now should wait for: the longest drain
// timeout of the configuration version in force and of those that requests in flight were accepted under.
func (p *Proxy) DrainTimeoutSeconds() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.currentConfig.Load().Document.Clients.DrainTimeoutSeconds
	for conn := range p.clients {
		for _, request := range conn.openRequests {
			longest = max(longest, request.config.Document.Clients.DrainTimeoutSeconds)
		}
	}
	return longest
}

// Drain calls StopServing and blocks until every request is answered and every client connection has closed. If ctx
// ends first, it returns an error that wraps ctx.Err() and gives the numbers of requests and connections that remain.
// Close the listener before calling Drain.
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
			return fmt.Errorf("%d requests in flight and %d client connections open at the end of the drain: %w", requests, connections, ctx.Err())
		case <-ticker.C:
		}
	}
}

// wakeIdleClients wakes the readers of idle client connections, which then close them. It returns the numbers of
// requests in flight and of client connections.
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

// Close closes every connection, stops the timer and blocks until their goroutines have ended. It must be called at
// most once. A connection that Serve is still admitting is refused.
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
