package proxy

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
)

// attempt is one sending of a command to a unit.
type attempt struct {
	request    *request
	index    int // its place in the command's Sent
	endpoint   uint32
	startedAt     float64
	deadline  float64
	conn   *endpointConn // nil once it ended
	outcome policy.Outcome
	writeState   atomic.Int32
	assignedConn *endpointConn // as conn, but never changed once given
}

// A delivery's fate is settled once: whoever takes it from fresh, or from held where units begin one with its last byte, says whether
// that byte may leave. One that was dropped before provably never ran; one that is written may have run.
const (
	notWritten   int32 = iota // nothing of it has left
	lastByteHeld                 // the kernel took a part, and the last byte is held back
	written              // the last byte leaves, or has left
	dropped
)

func (a *attempt) drop() bool {
	return a.writeState.CompareAndSwap(notWritten, dropped) || a.writeState.CompareAndSwap(lastByteHeld, dropped)
}

func (a *attempt) claimWrite() bool { return a.writeState.CompareAndSwap(notWritten, written) }

// endpointPool is the connections to one unit. Under the relay's lock.
type endpointPool struct {
	id     uint32
	addr   string
	usable bool // a connection may get a delivery: it is on the list as this process, and does not drain
	build  int
	startedAt  float64
	zone   uint16
	cell   uint16
	idle   []*endpointConn // the longest idle first; the latest is used first
	connCount  int
}

// endpointConn is one connection to a unit; its goroutine dials and reads.
type endpointConn struct {
	pool    *endpointPool
	attempt     *attempt // under the relay's lock, as the next three
	dialing bool
	removed    bool
	idleSince   float64 // idle since
	socket    atomic.Pointer[socket]
	closed    atomic.Bool
}

// close ends the connection, also one that is still to be made.
func (conn *endpointConn) close() {
	conn.closed.Store(true)
	if s := conn.socket.Load(); s != nil {
		s.Close()
	}
}

// updatePool keeps the pools in step with the list.
func (p *Proxy) updatePool(u endpoints.Endpoint, effects *effects) {
	pool := p.pools[u.ID]
	if u.State == "gone" {
		if pool != nil {
			pool.usable = false
		}
		return
	}
	if pool != nil && (pool.addr != u.Addr || pool.build != u.Build || pool.startedAt != u.StartedAt) {
		pool.usable = false // another process; what is out at the earlier one ends, and its connection with it
		for len(pool.idle) > 0 {
			p.removeConn(pool.idle[0], effects)
		}
		pool = nil
	}
	if pool == nil {
		pool = &endpointPool{id: u.ID, addr: u.Addr, build: u.Build, startedAt: u.StartedAt}
		p.pools[u.ID] = pool
	}
	pool.usable, pool.zone, pool.cell = u.State != "draining", u.Zone, u.Cell
}

// removeUnusedPools forgets the units that left the list and have no connection any more.
func (p *Proxy) removeUnusedPools() {
	for id, pool := range p.pools {
		if !pool.usable && pool.connCount == 0 {
			delete(p.pools, id)
		}
	}
}

// closeIdleConns closes what has been idle for too long, or leads to a unit that left the list.
func (p *Proxy) closeIdleConns(now float64, effects *effects) {
	for _, pool := range p.pools {
		n := 0
		for n < len(pool.idle) && (!pool.usable || now-pool.idle[n].idleSince > p.currentConfig.Load().Document.Endpoints.IdleTime) {
			n++
		}
		for _, conn := range append([]*endpointConn(nil), pool.idle[:n]...) {
			p.removeConn(conn, effects)
		}
	}
	p.removeUnusedPools()
}

// removeConn takes a connection out of its pool for good.
func (p *Proxy) removeConn(conn *endpointConn, effects *effects) {
	if conn.removed {
		return
	}
	conn.removed = true
	delete(p.endpointConns, conn)
	pool := conn.pool
	pool.connCount--
	for i, other := range pool.idle {
		if other == conn {
			pool.idle = append(pool.idle[:i], pool.idle[i+1:]...)
			break
		}
	}
	effects.connsToClose = append(effects.connsToClose, conn)
}

// assignConn gives a delivery a connection: an idle one or, within the bound, a new one. It tells whether there is one.
func (p *Proxy) assignConn(attempt *attempt, effects *effects) bool {
	pool := p.pools[attempt.endpoint]
	if pool == nil || !pool.usable {
		return false
	}
	limits := &p.currentConfig.Load().Document.Endpoints
	for n := len(pool.idle); n > 0; n-- {
		conn := pool.idle[n-1]
		if attempt.startedAt-conn.idleSince < p.connReuseDelaySeconds {
			continue // what else its unit may say would be taken for this one's answer
		}
		if attempt.startedAt-conn.idleSince > limits.IdleTime || conn.spoken() { // the sweep, or its reader, has not come to it yet
			p.removeConn(conn, effects)
			continue
		}
		pool.idle = append(pool.idle[:n-1], pool.idle[n:]...)
		conn.attempt, attempt.conn, attempt.assignedConn = attempt, conn, conn
		effects.attemptsToWrite = append(effects.attemptsToWrite, attempt)
		return true
	}
	if pool.connCount >= limits.Connections || limits.Total > 0 && len(p.endpointConns) >= limits.Total && !p.removeLongestIdle(effects) {
		return false
	}
	pool.connCount++
	p.stats.Dials++
	conn := &endpointConn{pool: pool, attempt: attempt, dialing: true}
	attempt.conn, attempt.assignedConn = conn, conn
	p.endpointConns[conn] = struct{}{}
	p.goroutines.Add(1)
	go p.serveEndpointConn(conn)
	return true
}

// spoken tells whether an idle connection's unit has closed it, or sent what nobody asked for: what is written to it would be lost,
// or take the answer of another.
func (conn *endpointConn) spoken() bool {
	s := conn.socket.Load()
	return s == nil || s.hasUnread()
}

// removeLongestIdle gives back the descriptor of the connection that has been idle longest of all.
func (p *Proxy) removeLongestIdle(effects *effects) bool {
	var idlest *endpointConn
	for _, pool := range p.pools {
		if len(pool.idle) > 0 && (idlest == nil || pool.idle[0].idleSince < idlest.idleSince) {
			idlest = pool.idle[0]
		}
	}
	if idlest != nil {
		p.removeConn(idlest, effects)
	}
	return idlest != nil
}

// writeAttempt writes a delivery to its connection, unless it was dropped meanwhile.
func (p *Proxy) writeAttempt(attempt *attempt) {
	if !attempt.claimWrite() {
		return
	}
	buf := p.protocol.encodeAttempt(attempt.request.message, max(0.001, attempt.deadline-p.Now()))
	s := attempt.assignedConn.socket.Load()
	n, err := s.writeNow(buf)
	switch {
	case err != nil && (n == 0 || p.protocol.startsAtLastByte()):
		p.failUnwritten(attempt, n, err)
	case err != nil:
		s.Close() // its reader tells
	case n < len(buf):
		// The unit does not read. The rest goes from a goroutine of its own; the delivery's end closes the connection.
		if p.protocol.startsAtLastByte() {
			attempt.writeState.Store(lastByteHeld)
		}
		p.goroutines.Add(1)
		go p.writeRemaining(attempt, s, buf, n)
	}
}

// writeRemaining writes what the kernel did not take at once, from byte n on.
func (p *Proxy) writeRemaining(attempt *attempt, s *socket, buf []byte, n int) {
	defer p.goroutines.Done()
	last := len(buf)
	if p.protocol.startsAtLastByte() {
		last--
	}
	m, err := s.Write(buf[n:last])
	if n += m; err == nil && n < len(buf) {
		if !attempt.writeState.CompareAndSwap(lastByteHeld, written) {
			return // given up: it never ran
		}
		m, err = s.Write(buf[n:])
		n += m
	}
	switch {
	case err != nil && p.protocol.startsAtLastByte():
		p.failUnwritten(attempt, n, err)
	case err != nil:
		s.Close() // its reader tells
	}
}

// failUnwritten ends a delivery whose last byte the kernel did not take: it never ran. Where it took none the connection was over before,
// which says nothing of the unit now.
func (p *Proxy) failUnwritten(attempt *attempt, n int, err error) {
	result := policy.NotConnected
	if n == 0 {
		result = policy.NotSent
	}
	p.mu.Lock()
	var effects effects
	if request := attempt.request; request.Attempts[attempt.index].InFlight {
		p.log.Debug("delivery not written", "unit", attempt.endpoint, "bytes", n, "error", err)
		attempt.writeState.Store(notWritten)
		p.endAttempt(p.Now(), attempt, result, &effects)
	}
	p.mu.Unlock()
	p.runEffects(&effects)
}

// serveEndpointConn makes a connection to a unit and reads from it until it ends.
func (p *Proxy) serveEndpointConn(conn *endpointConn) {
	defer p.goroutines.Done()
	netConn, err := net.DialTimeout("tcp", conn.pool.addr, time.Duration(p.currentConfig.Load().Document.Endpoints.DialTime*float64(time.Second)))
	p.mu.Lock()
	conn.dialing = false
	var effects effects
	if err != nil || conn.removed || !conn.pool.usable {
		if attempt := conn.attempt; attempt != nil {
			result := policy.NotConnected
			if err == nil { // its unit left, drains or was replaced while the connection was made
				result = policy.NotSent
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				result = policy.NotSent // want of descriptors here says nothing of the unit
			}
			p.endAttempt(p.Now(), attempt, result, &effects)
		} else {
			p.removeConn(conn, &effects)
		}
		p.mu.Unlock()
		if netConn != nil {
			netConn.Close()
		}
		p.runEffects(&effects)
		return
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
	p.memory.add(connOverheadBytes)
	reader := &limitedReader{source: netConn, remaining: 1, memory: &p.memory}
	defer func() {
		reader.release()
		p.memory.add(-connOverheadBytes)
	}()
	br := bufio.NewReaderSize(reader, 4096)
	for {
		reader.remaining = 1 << 20
		// What comes stays in the kernel until it is known whose it is: taken before, it would hide from who looks whether the
		// connection is quiet (spoken), and pass for the answer to what is sent on it in that moment.
		err := sock.waitReadable()
		p.mu.Lock()
		attempt := conn.attempt
		p.mu.Unlock()
		if err != nil || attempt == nil { // closed, or an answer nobody asked for
			p.onConnLost(conn, attempt)
			return
		}
		ans, result, keep, err := p.protocol.readAnswer(br, reader, attempt)
		if err != nil {
			p.log.Debug("unit's answer", "unit", attempt.endpoint, "addr", conn.pool.addr, "error", err)
			p.onConnLost(conn, attempt)
			return
		}
		if !p.onAnswer(conn, attempt, ans, result, keep && br.Buffered() == 0) {
			netConn.Close()
			return
		}
		reader.release()
	}
}

// onAnswer enters a unit's whole answer and tells whether the connection goes on.
func (p *Proxy) onAnswer(conn *endpointConn, attempt *attempt, ans answer, result policy.Outcome, keep bool) bool {
	p.mu.Lock()
	now := p.Now()
	request := attempt.request
	if conn.attempt != attempt { // given up while the answer was read
		p.stats.LateAnswers++
		p.mu.Unlock()
		return false
	}
	var effects effects
	conn.attempt, attempt.conn = nil, nil
	if keep = keep && !conn.removed && conn.pool.usable && attempt.writeState.Load() == written; keep {
		conn.idleSince = now
		conn.pool.idle = append(conn.pool.idle, conn)
	} else {
		p.removeConn(conn, &effects)
	}
	if result == policy.Succeeded {
		p.stats.Succeeded++
		p.observeSuccess(request, now, len(request.message.head)+len(request.message.body)+len(ans.bytes))
		p.finishRequest(request, ans, &effects)
	}
	p.endAttempt(now, attempt, result, &effects)
	p.mu.Unlock()
	p.runEffects(&effects)
	return keep
}

// onConnLost enters the end of a connection.
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
