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

// delivery is one sending of a command to a unit.
type delivery struct {
	cmd    *command
	try    int // its place in the command's Sent
	unit   uint32
	at     float64
	until  float64
	conn   *unitConn // nil once it ended
	result policy.Outcome
	fate   atomic.Int32
	sentBy *unitConn // as conn, but never changed once given
}

// A delivery's fate is settled once: whoever takes it from fresh, or from held where units begin one with its last byte, says whether
// that byte may leave. One that was dropped before provably never ran; one that is written may have run.
const (
	fresh   int32 = iota // nothing of it has left
	held                 // the kernel took a part, and the last byte is held back
	written              // the last byte leaves, or has left
	dropped
)

func (d *delivery) drop() bool {
	return d.fate.CompareAndSwap(fresh, dropped) || d.fate.CompareAndSwap(held, dropped)
}

func (d *delivery) begin() bool { return d.fate.CompareAndSwap(fresh, written) }

// pool is the connections to one unit. Under the relay's lock.
type pool struct {
	id     uint32
	addr   string
	listed bool // a connection may get a delivery: it is on the list as this process, and does not drain
	build  int
	start  float64
	zone   uint16
	cell   uint16
	idle   []*unitConn // the longest idle first; the latest is used first
	conns  int
}

// unitConn is one connection to a unit; its goroutine dials and reads.
type unitConn struct {
	pool    *pool
	cur     *delivery // under the relay's lock, as the next three
	dialing bool
	gone    bool
	since   float64 // idle since
	sock    atomic.Pointer[socket]
	shut    atomic.Bool
}

// close ends the connection, also one that is still to be made.
func (uc *unitConn) close() {
	uc.shut.Store(true)
	if s := uc.sock.Load(); s != nil {
		s.Close()
	}
}

// listed keeps the pools in step with the list.
func (r *Proxy) listed(u endpoints.Endpoint, a *acts) {
	p := r.pools[u.ID]
	if u.State == "gone" {
		if p != nil {
			p.listed = false
		}
		return
	}
	if p != nil && (p.addr != u.Addr || p.build != u.Build || p.start != u.StartedAt) {
		p.listed = false // another process; what is out at the earlier one ends, and its connection with it
		for len(p.idle) > 0 {
			r.drop(p.idle[0], a)
		}
		p = nil
	}
	if p == nil {
		p = &pool{id: u.ID, addr: u.Addr, build: u.Build, start: u.StartedAt}
		r.pools[u.ID] = p
	}
	p.listed, p.zone, p.cell = u.State != "draining", u.Zone, u.Cell
}

// dropPools forgets the units that left the list and have no connection any more.
func (r *Proxy) dropPools() {
	for id, p := range r.pools {
		if !p.listed && p.conns == 0 {
			delete(r.pools, id)
		}
	}
}

// sweep closes what has been idle for too long, or leads to a unit that left the list.
func (r *Proxy) sweep(now float64, a *acts) {
	for _, p := range r.pools {
		n := 0
		for n < len(p.idle) && (!p.listed || now-p.idle[n].since > r.now.Load().Document.Endpoints.IdleTime) {
			n++
		}
		for _, uc := range append([]*unitConn(nil), p.idle[:n]...) {
			r.drop(uc, a)
		}
	}
	r.dropPools()
}

// drop takes a connection out of its pool for good.
func (r *Proxy) drop(uc *unitConn, a *acts) {
	if uc.gone {
		return
	}
	uc.gone = true
	delete(r.units, uc)
	p := uc.pool
	p.conns--
	for i, other := range p.idle {
		if other == uc {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	a.closes = append(a.closes, uc)
}

// carry gives a delivery a connection: an idle one or, within the bound, a new one. It tells whether there is one.
func (r *Proxy) carry(d *delivery, a *acts) bool {
	p := r.pools[d.unit]
	if p == nil || !p.listed {
		return false
	}
	lim := &r.now.Load().Document.Endpoints
	for n := len(p.idle); n > 0; n-- {
		uc := p.idle[n-1]
		if d.at-uc.since < r.rest {
			continue // what else its unit may say would be taken for this one's answer
		}
		if d.at-uc.since > lim.IdleTime || uc.spoken() { // the sweep, or its reader, has not come to it yet
			r.drop(uc, a)
			continue
		}
		p.idle = append(p.idle[:n-1], p.idle[n:]...)
		uc.cur, d.conn, d.sentBy = d, uc, uc
		a.sends = append(a.sends, d)
		return true
	}
	if p.conns >= lim.Connections || lim.Total > 0 && len(r.units) >= lim.Total && !r.dropIdlest(a) {
		return false
	}
	p.conns++
	r.count.Dials++
	uc := &unitConn{pool: p, cur: d, dialing: true}
	d.conn, d.sentBy = uc, uc
	r.units[uc] = struct{}{}
	r.conns.Add(1)
	go r.serveUnit(uc)
	return true
}

// spoken tells whether an idle connection's unit has closed it, or sent what nobody asked for: what is written to it would be lost,
// or take the answer of another.
func (uc *unitConn) spoken() bool {
	s := uc.sock.Load()
	return s == nil || s.unread()
}

// dropIdlest gives back the descriptor of the connection that has been idle longest of all.
func (r *Proxy) dropIdlest(a *acts) bool {
	var idlest *unitConn
	for _, p := range r.pools {
		if len(p.idle) > 0 && (idlest == nil || p.idle[0].since < idlest.since) {
			idlest = p.idle[0]
		}
	}
	if idlest != nil {
		r.drop(idlest, a)
	}
	return idlest != nil
}

// send writes a delivery to its connection, unless it was dropped meanwhile.
func (r *Proxy) send(d *delivery) {
	if !d.begin() {
		return
	}
	buf := r.speech.word(d.cmd.req, max(0.001, d.until-r.Now()))
	s := d.sentBy.sock.Load()
	n, err := s.writeNow(buf)
	switch {
	case err != nil && (n == 0 || r.speech.atLastByte()):
		r.unwritten(d, n, err)
	case err != nil:
		s.Close() // its reader tells
	case n < len(buf):
		// The unit does not read. The rest goes from a goroutine of its own; the delivery's end closes the connection.
		if r.speech.atLastByte() {
			d.fate.Store(held)
		}
		r.conns.Add(1)
		go r.sendRest(d, s, buf, n)
	}
}

// sendRest writes what the kernel did not take at once, from byte n on.
func (r *Proxy) sendRest(d *delivery, s *socket, buf []byte, n int) {
	defer r.conns.Done()
	last := len(buf)
	if r.speech.atLastByte() {
		last--
	}
	m, err := s.Write(buf[n:last])
	if n += m; err == nil && n < len(buf) {
		if !d.fate.CompareAndSwap(held, written) {
			return // given up: it never ran
		}
		m, err = s.Write(buf[n:])
		n += m
	}
	switch {
	case err != nil && r.speech.atLastByte():
		r.unwritten(d, n, err)
	case err != nil:
		s.Close() // its reader tells
	}
}

// unwritten ends a delivery whose last byte the kernel did not take: it never ran. Where it took none the connection was over before,
// which says nothing of the unit now.
func (r *Proxy) unwritten(d *delivery, n int, err error) {
	result := policy.NotConnected
	if n == 0 {
		result = policy.NotSent
	}
	r.mu.Lock()
	var a acts
	if c := d.cmd; c.Attempts[d.try].InFlight {
		r.log.Debug("delivery not written", "unit", d.unit, "bytes", n, "error", err)
		d.fate.Store(fresh)
		r.ended(r.Now(), d, result, &a)
	}
	r.mu.Unlock()
	r.do(&a)
}

// serveUnit makes a connection to a unit and reads from it until it ends.
func (r *Proxy) serveUnit(uc *unitConn) {
	defer r.conns.Done()
	nc, err := net.DialTimeout("tcp", uc.pool.addr, time.Duration(r.now.Load().Document.Endpoints.DialTime*float64(time.Second)))
	r.mu.Lock()
	uc.dialing = false
	var a acts
	if err != nil || uc.gone || !uc.pool.listed {
		if d := uc.cur; d != nil {
			result := policy.NotConnected
			if err == nil { // its unit left, drains or was replaced while the connection was made
				result = policy.NotSent
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				result = policy.NotSent // want of descriptors here says nothing of the unit
			}
			r.ended(r.Now(), d, result, &a)
		} else {
			r.drop(uc, &a)
		}
		r.mu.Unlock()
		if nc != nil {
			nc.Close()
		}
		r.do(&a)
		return
	}
	sock := newSocket(nc)
	uc.sock.Store(&sock)
	if uc.cur != nil {
		a.sends = append(a.sends, uc.cur)
	}
	r.mu.Unlock()
	if uc.shut.Load() {
		nc.Close()
	}
	r.do(&a)
	r.mem.add(connBytes)
	g := &gate{from: nc, left: 1, mem: &r.mem}
	defer func() {
		g.release()
		r.mem.add(-connBytes)
	}()
	br := bufio.NewReaderSize(g, 4096)
	for {
		g.left = 1 << 20
		// What comes stays in the kernel until it is known whose it is: taken before, it would hide from who looks whether the
		// connection is quiet (spoken), and pass for the answer to what is sent on it in that moment.
		err := sock.readable()
		r.mu.Lock()
		d := uc.cur
		r.mu.Unlock()
		if err != nil || d == nil { // closed, or an answer nobody asked for
			r.broken(uc, d)
			return
		}
		ans, result, keep, err := r.speech.read(br, g, d)
		if err != nil {
			r.log.Debug("unit's answer", "unit", d.unit, "addr", uc.pool.addr, "error", err)
			r.broken(uc, d)
			return
		}
		if !r.arrived(uc, d, ans, result, keep && br.Buffered() == 0) {
			nc.Close()
			return
		}
		g.release()
	}
}

// arrived enters a unit's whole answer and tells whether the connection goes on.
func (r *Proxy) arrived(uc *unitConn, d *delivery, ans answer, result policy.Outcome, keep bool) bool {
	r.mu.Lock()
	now := r.Now()
	c := d.cmd
	if uc.cur != d { // given up while the answer was read
		r.count.LateAnswers++
		r.mu.Unlock()
		return false
	}
	var a acts
	uc.cur, d.conn = nil, nil
	if keep = keep && !uc.gone && uc.pool.listed && d.fate.Load() == written; keep {
		uc.since = now
		uc.pool.idle = append(uc.pool.idle, uc)
	} else {
		r.drop(uc, &a)
	}
	if result == policy.Succeeded {
		r.count.Succeeded++
		r.answeredBy(c, now, len(c.req.head)+len(c.req.body)+len(ans.bytes))
		r.finish(c, ans, &a)
	}
	r.ended(now, d, result, &a)
	r.mu.Unlock()
	r.do(&a)
	return keep
}

// broken enters the end of a connection.
func (r *Proxy) broken(uc *unitConn, d *delivery) {
	r.mu.Lock()
	var a acts
	if d != nil && uc.cur == d {
		r.ended(r.Now(), d, policy.ConnectionLost, &a)
	}
	r.drop(uc, &a)
	r.mu.Unlock()
	uc.close()
	r.do(&a)
}
