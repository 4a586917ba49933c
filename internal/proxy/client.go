package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// client is one client's connection. Its goroutine reads; the answer is written by whoever has it.
type client struct {
	r    *Proxy
	sock socket
	open int  // commands in hand, under the relay's lock
	last bool // no further command; set before the answer that says so
	done chan struct{}
	dead bool // an answer could not be written

	reading bool    // a request has begun to come; under the relay's lock, as the next four
	spoke   bool    // one came before
	going   bool    // it is to make room
	since   float64 // idle since

	who    uint64  // its host
	owes   owes    // answers in order, where a client may ask ahead
	parked parking // where its reader waits
}

func span(secs float64) time.Duration { return time.Duration(secs * float64(time.Second)) }

// Serve takes connections until the listener is closed.
func (r *Proxy) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			var wait interface{ Temporary() bool }
			if errors.As(err, &wait) && wait.Temporary() { // no descriptor left: those in hand give some back
				r.log.Warn("accept", "error", err)
				time.Sleep(10 * time.Millisecond)
				continue
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		cl := &client{r: r, sock: newSocket(nc), done: make(chan struct{}, 1), who: whoIs(nc.RemoteAddr().String()), since: r.Now()}
		noRoom := r.mem.full(connBytes)
		r.mu.Lock()
		lim := &r.now.Load().Document.Clients
		crammed := func() bool { return lim.Keep > 0 && loadshed.OverCapacity(len(r.clients), lim.Connections) }
		for try := 0; crammed() && try < 20; try++ { // who is to make room has not gone yet
			r.mu.Unlock()
			time.Sleep(time.Millisecond)
			r.mu.Lock()
		}
		over := lim.Keep > 0 && len(r.clients) >= lim.Keep
		full := noRoom || crammed() || !(over && r.evict()) && len(r.clients) >= lim.Connections
		if full {
			r.count.ClientsRefused++
			if noRoom {
				r.count.MemoryRefused++
			}
		} else {
			r.mem.add(connBytes)
			r.clients[cl] = struct{}{}
			r.count.ClientsAccepted++
			r.conns.Add(1)
		}
		r.mu.Unlock()
		if full {
			cl.sock.writeNow(r.speech.crowded(r.now.Load().Document.Rules.MaxPause))
			nc.Close()
			continue
		}
		go func() {
			defer r.conns.Done()
			defer func() {
				r.mu.Lock()
				delete(r.clients, cl)
				r.mu.Unlock()
				cl.sock.Close()
				r.mem.add(-connBytes)
			}()
			r.speech.serve(cl)
		}()
	}
}

// CloseListener closes a listener once what the kernel has accepted for it is taken, which Serve does meanwhile: closing it over
// connections would reset them, with the commands that they brought.
func CloseListener(l net.Listener) {
	const step, most = time.Millisecond, 1000 // a process that takes nobody for a second takes nobody
	defer l.Close()
	sock, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sock.SyscallConn()
	for i := 0; err == nil && i < most; i++ {
		waits := false
		err = raw.Control(func(fd uintptr) {
			n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
			waits = err == nil && n > 0
		})
		if !waits {
			return
		}
		time.Sleep(step)
	}
}

// linger ends this side of a connection whose client has its last answer, and reads for a moment what still comes.
func (cl *client) linger() {
	if tcp, ok := cl.sock.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	cl.sock.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var sink [4096]byte
	for range 64 {
		if _, err := cl.sock.Read(sink[:]); err != nil {
			return
		}
	}
}

// evict has a connection make room for another, by the shedding module's order. Its reader closes it: what it has begun to read
// meanwhile is served. Under the lock.
func (r *Proxy) evict() bool {
	now := r.Now()
	var first *client
	var as loadshed.ClientConn
	for cl := range r.clients {
		g := loadshed.ClientConn{Busy: cl.open > 0, Reading: cl.reading, HasSentRequest: cl.spoke, IdleSince: cl.since}
		if !cl.going && !g.Pinned() && (first == nil || g.EvictBefore(now, as)) && !cl.sock.unread() {
			first, as = cl, g
		}
	}
	if first == nil {
		return false
	}
	first.going = true
	r.speech.rouse(first)
	return true
}

func (cl *client) serve() {
	r := cl.r
	g := &gate{from: cl.sock.Conn, mem: &r.mem}
	defer g.release()
	br := bufio.NewReaderSize(g, 4096)
	for {
		lim := &r.now.Load().Document.Clients
		g.left = math.MaxInt64
		cl.sock.SetReadDeadline(time.Now().Add(span(lim.IdleTime)))
		if _, err := br.Peek(1); err != nil && !cl.more() {
			return
		}
		r.mem.wait(r.stop)
		waited := cl.waited()
		done, goOn, admitted := cl.shortcut(br, waited)
		if done && goOn {
			g.release()
			continue
		} else if done {
			return
		}
		r.mu.Lock()
		cl.reading = true // a drain lets it come
		cl.sock.SetReadDeadline(time.Now().Add(span(lim.ReadTime)))
		r.mu.Unlock()
		req, err := readRequest(br, g, lim.HeadBytes, lim.BodyBytes, func() {
			cl.sock.writeNow([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		})
		if err != nil {
			cl.refuse(err)
			return
		}
		req.admitted, req.waited = admitted, waited
		if !cl.handle(br, g, req) || cl.last {
			return
		}
		g.release()
	}
}

// toEnd tells whether the connection is to end once nothing is open on it. One that came during a drain, when others could not
// know of it yet, is still to bring its first command.
func (cl *client) toEnd(first bool) bool {
	cl.r.mu.Lock()
	defer cl.r.mu.Unlock()
	return cl.going || cl.r.draining && !first
}

// more tells whether a request lies unread in the kernel: a drain ends the wait for one by the clock, and what had come by
// then is served.
func (cl *client) more() bool {
	if cl.sock.raw == nil {
		return false
	}
	n := 0
	cl.sock.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// refuse answers a request that can't be read, and lets its sender see the answer: closing with bytes unread would
// reset the connection under it.
func (cl *client) refuse(err error) {
	var bad *refusal
	var late net.Error
	switch {
	case errors.As(err, &bad):
	case errors.As(err, &late) && late.Timeout():
		bad = &refusal{408, fmt.Sprintf("the request took longer than %g s", cl.r.now.Load().Document.Clients.ReadTime)}
	default:
		return
	}
	cl.r.mu.Lock()
	cl.r.count.InvalidRequests++
	cl.r.mu.Unlock()
	cl.sock.writeNow(plain(bad.status, "", bad.what, 0).closing().bytes)
	cl.linger()
}

// handle serves one request and tells whether the connection goes on.
func (cl *client) handle(br *bufio.Reader, g *gate, req *request) bool {
	r := cl.r
	if req.last {
		cl.last = true
	}
	if req.path == wrongPath {
		return cl.direct(wrongAnswer(r.wrong(req.receipt)))
	}
	v := r.now.Load()
	op := v.ClassOf(req.method, req.path)
	if op < 0 {
		return cl.direct(plain(404, "", "no route for "+req.method+" "+req.path, 0))
	}
	if v.Policy.Classes[op].Idempotency == policy.IdempotentWithKey && !req.mark {
		return cl.direct(plain(400, "", "an op type with deduplicated commands needs "+headMark, 0))
	}
	cl.sock.SetReadDeadline(time.Time{})
	g.left = math.MaxInt64
	c := r.accept(cl, req, v, op, nil)
	// Watches for the client's going while the command is in hand. More bytes are its next request; they wait.
	_, gone := br.Peek(1)
	if gone != nil && r.left(c) {
		return false
	}
	<-cl.done
	return gone == nil && !cl.dead
}

func wrongAnswer(err error) answer {
	if err != nil {
		return plain(400, "", err.Error(), 0)
	}
	return plain(200, "", "noted", 0)
}

// direct writes an answer to what was no command.
func (cl *client) direct(ans answer) bool {
	cl.r.mu.Lock()
	cl.r.count.InvalidRequests++
	cl.reading = false
	cl.r.mu.Unlock()
	cl.reply(ans)
	<-cl.done
	return !cl.dead
}

// reply writes an answer without waiting; what the kernel does not take at once goes on by itself for as long as a
// request may take to come.
func (cl *client) reply(ans answer) {
	// From here on the connection is idle, also for the read that watches it; or that read is to end.
	until := time.Now()
	if cl.last {
		ans = ans.closing()
	} else {
		until = until.Add(span(cl.r.now.Load().Document.Clients.IdleTime))
	}
	cl.sock.SetReadDeadline(until)
	n, err := cl.sock.writeNow(ans.bytes)
	if err == nil && n < len(ans.bytes) {
		cl.r.conns.Add(1)
		cl.r.mem.add(len(ans.bytes)) // its client reads slowly
		go func() {
			defer cl.r.conns.Done()
			defer cl.r.mem.add(-len(ans.bytes))
			cl.sock.SetWriteDeadline(time.Now().Add(span(cl.r.now.Load().Document.Clients.ReadTime)))
			_, err := cl.sock.Write(ans.bytes[n:])
			cl.sock.SetWriteDeadline(time.Time{})
			cl.answered(err)
		}()
		return
	}
	cl.answered(err)
}

func (cl *client) answered(err error) {
	if cl.dead = err != nil; cl.dead {
		cl.sock.Close()
	}
	cl.done <- struct{}{}
}

// SetReady has the relay say that it is ready, to all who asked and to who asks. Until then it can't decide where commands go.
func (r *Proxy) SetReady() {
	r.mu.Lock()
	pings := r.pings
	r.ready, r.pings = true, nil
	r.mu.Unlock()
	for _, answer := range pings {
		answer()
	}
}

// whenReady answers a client's question now or once the relay is ready.
func (r *Proxy) whenReady(cl *client, answer func()) {
	r.mu.Lock()
	cl.reading = false
	ready := r.ready
	if !ready {
		r.pings = append(r.pings, answer)
	}
	r.mu.Unlock()
	if ready {
		answer()
	}
}

// SetAnswerDeadline has all that is in hand, and all that is taken from now on, answered by a time, whatever its client would wait.
func (r *Proxy) SetAnswerDeadline(at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answerBy = at
	for _, c := range append(dues(nil), r.dues...) { // all in hand: each waits for something
		if c.Completed || c.Deadline <= at {
			continue
		}
		c.Deadline = at
		for _, d := range c.outs {
			d.until = min(d.until, at)
		}
		if c.again > at {
			c.again = at
		}
		r.due(c)
	}
}

// StopServing begins a stop while the listener goes on: clients are still served, and each connection ends once nothing is open on it.
// What has begun to come on one has until all is to be answered.
func (r *Proxy) StopServing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for cl := range r.clients {
		if cl.open == 0 || cl.reading {
			r.speech.rouse(cl)
		}
	}
}

// Drain stops taking commands and waits until those in hand have their answers, or ctx ends. The listener is to be
// closed before. Connections that have nothing in hand are closed at once.
func (r *Proxy) Drain(ctx context.Context) error {
	r.StopServing()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for {
		r.mu.Lock()
		hands := r.hands
		for cl := range r.clients {
			if cl.open == 0 && !cl.reading {
				r.speech.rouse(cl)
			}
		}
		clients := len(r.clients)
		r.mu.Unlock()
		if hands == 0 && clients == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d commands and %d connections left: %w", hands, clients, ctx.Err())
		case <-look.C:
		}
	}
}

// Close ends every connection and the timer, and waits for their goroutines.
func (r *Proxy) Close() {
	close(r.stop)
	r.mu.Lock()
	r.draining = true
	for cl := range r.clients {
		cl.sock.Close()
	}
	for uc := range r.units {
		uc.close()
	}
	r.mu.Unlock()
	r.conns.Wait()
}
