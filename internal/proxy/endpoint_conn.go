package proxy

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"flintspread/internal/policy"
)

// endpointConn is a connection to an endpoint that serves one attempt at a time. Its own goroutine dials and reads; any
// goroutine may write an attempt.
type endpointConn struct {
	pool   *endpointPool
	socket atomic.Pointer[socket] // nil until connected
	closed atomic.Bool

	// Guarded by Proxy.mu.
	attempt   *attempt // the attempt whose answer is awaited; nil: idle or removed
	dialing   bool
	removed   bool    // permanently removed from its pool
	idleSince float64 // arrival time of its last answer
}

// close closes the connection. If it is still being dialed, it is closed once the dial completes.
func (conn *endpointConn) close() {
	conn.closed.Store(true)
	if s := conn.socket.Load(); s != nil {
		s.Close()
	}
}

// unusable reports whether the endpoint has closed an idle connection or sent unsolicited bytes on it. An attempt
// written to such a connection would be lost, or receive another attempt's answer.
func (conn *endpointConn) unusable() bool {
	s := conn.socket.Load()
	return s == nil || s.hasUnreadOrClosed()
}

// dial opens a new connection to a pool's endpoint for an attempt, in its own goroutine. The caller holds p.mu.
func (p *Proxy) dial(pool *endpointPool, attempt *attempt) {
	pool.connCount++
	p.stats.Dials++
	conn := &endpointConn{pool: pool, attempt: attempt, dialing: true}
	attempt.conn, attempt.assignedConn = conn, conn
	p.endpointConns[conn] = struct{}{}
	p.goroutines.Add(1)
	go p.serveEndpointConn(conn)
}

// serveEndpointConn dials a connection and reads answers from it until it ends.
func (p *Proxy) serveEndpointConn(conn *endpointConn) {
	defer p.goroutines.Done()
	timeout := secondsToDuration(p.currentConfig.Load().Document.Endpoints.DialTimeoutSeconds)
	netConn, err := net.DialTimeout("tcp", conn.pool.addr, timeout)
	if socket := p.onDialed(conn, netConn, err); socket != nil {
		p.readAnswers(conn, socket)
	}
}

// onDialed records the result of a dial and writes the attempt that waits for it. It returns nil if there is no
// connection to serve: the dial failed, or the connection is no longer needed.
func (p *Proxy) onDialed(conn *endpointConn, netConn net.Conn, err error) *socket {
	p.mu.Lock()
	conn.dialing = false
	var effects effects
	if err != nil || conn.removed || !conn.pool.usable {
		if conn.attempt != nil {
			p.endAttempt(p.Now(), conn.attempt, dialOutcome(err), &effects)
		} else {
			p.removeConn(conn, &effects)
		}
		p.mu.Unlock()
		if netConn != nil {
			netConn.Close()
		}
		p.runEffects(&effects)
		return nil
	}
	sock := newSocket(netConn)
	conn.socket.Store(&sock)
	if conn.attempt != nil {
		effects.writeLater(conn.attempt)
	}
	p.mu.Unlock()
	if conn.closed.Load() {
		netConn.Close()
	}
	p.runEffects(&effects)
	return &sock
}

// dialOutcome returns the outcome of an attempt whose dial failed or completed too late. A failed dial is NotConnected,
// which counts against the endpoint, unless the host or this process ran out of file descriptors. If err is nil, the
// connection is no longer needed, because the endpoint left the list, began to drain or was replaced: that is NotSent.
func dialOutcome(err error) policy.Outcome {
	if err == nil || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return policy.NotSent
	}
	return policy.NotConnected
}

// readAnswers reads and handles the answers on a connection until it ends.
func (p *Proxy) readAnswers(conn *endpointConn, socket *socket) {
	p.memory.addConn()
	defer p.memory.removeConn()
	reader := &limitedReader{source: socket.Conn, bufferGrowth: 1} // an answer that exceeds the memory ends its attempt
	br := bufio.NewReaderSize(reader, readBufferBytes)
	for p.readNextAnswer(conn, socket, reader, br) {
	}
}

// readNextAnswer waits for the next answer and handles it. It reports whether the connection stays open.
func (p *Proxy) readNextAnswer(conn *endpointConn, socket *socket, reader *limitedReader, br *bufio.Reader) bool {
	// Bytes stay in the kernel until the attempt that they belong to is known. If they were read earlier, unusable
	// would not detect them, and they could be mistaken for the answer to an attempt that is written meanwhile.
	err := socket.waitReadable()
	p.mu.Lock()
	attempt := conn.attempt
	p.mu.Unlock()
	if err != nil || attempt == nil { // closed, or an unsolicited answer
		p.onConnLost(conn, attempt)
		return false
	}
	memory := memoryHold{account: &attempt.request.conn.memory}
	defer memory.release() // the answer is counted by its client's connection from its delivery on
	reply, err := p.protocol.readAnswer(br, reader, &memory, attempt)
	if err != nil {
		p.log.Debug("failed to read an answer from an endpoint", "endpoint", attempt.endpointID, "addr", conn.pool.addr, "error", err)
		p.onConnLost(conn, attempt)
		return false
	}
	reply.reusable = reply.reusable && br.Buffered() == 0
	if !p.onAnswer(conn, attempt, reply) {
		socket.Close()
		return false
	}
	return true
}

// onAnswer handles an attempt's complete answer. It reports whether the connection stays open.
func (p *Proxy) onAnswer(conn *endpointConn, attempt *attempt, reply endpointAnswer) bool {
	p.mu.Lock()
	now := p.Now()
	if conn.attempt != attempt { // the attempt ended while its answer was read
		p.stats.LateAnswers++
		p.mu.Unlock()
		return false
	}
	var effects effects
	conn.attempt, attempt.conn = nil, nil
	answeredFirst := attempt.sendProgress.CompareAndSwap(sending, answeredWhileSending) // the writer frees the connection
	keepConn := answeredFirst && reply.reusable
	if !keepConn {
		keepConn = p.freeConn(now, conn, reply.reusable && attempt.sendProgress.Load() == sent, &effects)
	}
	if reply.outcome == policy.Succeeded {
		request := attempt.request
		p.stats.Succeeded++
		p.observeSuccess(request, now, len(request.message.head)+len(request.message.body)+len(reply.answer.bytes))
		p.finishRequest(request, reply.answer, &effects)
	}
	p.endAttempt(now, attempt, reply.outcome, &effects)
	p.mu.Unlock()
	p.runEffects(&effects)
	return keepConn
}

// onConnLost handles the end of a connection. attempt is the attempt whose answer was awaited, or nil.
func (p *Proxy) onConnLost(conn *endpointConn, attempt *attempt) {
	p.mu.Lock()
	var effects effects
	if attempt != nil && conn.attempt == attempt {
		p.endAttempt(p.Now(), attempt, policy.ConnectionLost, &effects)
	}
	p.removeConn(conn, &effects)
	p.mu.Unlock()
	conn.close()
	p.runEffects(&effects)
}
