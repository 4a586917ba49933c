package proxy

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"flintspread/internal/policy"
)

// endpointConn is one connection to an endpoint, for one attempt at a time. Its goroutine dials and reads; attempts are
// written by whoever assigned or sent them.
type endpointConn struct {
	pool   *endpointPool
	socket atomic.Pointer[socket] // nil until the connection is made
	closed atomic.Bool

	// Guarded by Proxy.mu.
	attempt   *attempt // whose answer is next; nil: it is idle, or removed
	dialing   bool
	removed   bool    // from its pool, for good
	idleSince float64 // when it got its last answer
}

// close ends the connection, also one that is still to be made.
func (conn *endpointConn) close() {
	conn.closed.Store(true)
	if s := conn.socket.Load(); s != nil {
		s.Close()
	}
}

// unusable tells whether an idle connection's endpoint has closed it, or sent what nobody asked for: an attempt written to
// it would be lost, or get another one's answer.
func (conn *endpointConn) unusable() bool {
	s := conn.socket.Load()
	return s == nil || s.hasUnreadOrClosed()
}

// dial has a new connection of a pool made, for an attempt. The caller holds p.mu.
func (p *Proxy) dial(pool *endpointPool, attempt *attempt) {
	pool.connCount++
	p.stats.Dials++
	conn := &endpointConn{pool: pool, attempt: attempt, dialing: true}
	attempt.conn, attempt.assignedConn = conn, conn
	p.endpointConns[conn] = struct{}{}
	p.goroutines.Add(1)
	go p.serveEndpointConn(conn)
}

// serveEndpointConn makes a connection, and reads answers from it until it ends.
func (p *Proxy) serveEndpointConn(conn *endpointConn) {
	defer p.goroutines.Done()
	timeout := secondsToDuration(p.currentConfig.Load().Document.Endpoints.DialTimeoutSeconds)
	netConn, err := net.DialTimeout("tcp", conn.pool.addr, timeout)
	if socket := p.onDialed(conn, netConn, err); socket != nil {
		p.readAnswers(conn, socket)
	}
}

// onDialed enters the end of a dial, and has the attempt written that waits for it. It returns nil if there is no connection
// to go on with: the dial failed, or nobody wants it any more.
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
		effects.attemptsToWrite = append(effects.attemptsToWrite, conn.attempt)
	}
	p.mu.Unlock()
	if conn.closed.Load() {
		netConn.Close()
	}
	p.runEffects(&effects)
	return &sock
}

// dialOutcome is the outcome of an attempt that got no connection. It counts against the endpoint only if the dial failed
// there: not where the endpoint left, drains or was replaced meanwhile (err is nil), nor where this process has no
// descriptors left.
func dialOutcome(err error) policy.Outcome {
	if err == nil || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return policy.NotSent
	}
	return policy.NotConnected
}

// readAnswers reads and enters the answers on a connection until it ends.
func (p *Proxy) readAnswers(conn *endpointConn, socket *socket) {
	p.memory.add(connOverheadBytes)
	defer p.memory.add(-connOverheadBytes)
	reader := &limitedReader{source: socket.Conn, memory: &p.memory}
	defer reader.release()
	br := bufio.NewReaderSize(reader, readBufferBytes)
	for p.readNextAnswer(conn, socket, reader, br) {
		reader.release()
	}
}

// readNextAnswer waits for an answer, reads and enters it, and tells whether the connection goes on.
func (p *Proxy) readNextAnswer(conn *endpointConn, socket *socket, reader *limitedReader, br *bufio.Reader) bool {
	// Bytes stay in the kernel until it is known whose they are. Taken before, they would be hidden from unusable, and pass
	// for the answer to an attempt that is sent in that moment.
	err := socket.waitReadable()
	p.mu.Lock()
	attempt := conn.attempt
	p.mu.Unlock()
	if err != nil || attempt == nil { // closed, or an answer nobody asked for
		p.onConnLost(conn, attempt)
		return false
	}
	reply, err := p.protocol.readAnswer(br, reader, attempt)
	if err != nil {
		p.log.Debug("answer not read", "endpoint", attempt.endpointID, "addr", conn.pool.addr, "error", err)
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

// onAnswer enters an attempt's whole answer, and tells whether the connection goes on.
func (p *Proxy) onAnswer(conn *endpointConn, attempt *attempt, reply endpointAnswer) bool {
	p.mu.Lock()
	now := p.Now()
	if conn.attempt != attempt { // it was given up while the answer was read
		p.stats.LateAnswers++
		p.mu.Unlock()
		return false
	}
	var effects effects
	conn.attempt, attempt.conn = nil, nil
	// Where an endpoint answered before the attempt was written whole, the rest of it may still be on the connection.
	goesOn := reply.reusable && !conn.removed && conn.pool.usable && attempt.writeState.Load() == written
	if goesOn {
		conn.idleSince = now
		conn.pool.idle = append(conn.pool.idle, conn)
	} else {
		p.removeConn(conn, &effects)
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
	return goesOn
}

// onConnLost enters the end of a connection; attempt is the one whose answer was to come, or nil.
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
