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

// clientConn is one client's connection. Its goroutine reads; the answer is written by whoever has it.
type clientConn struct {
	proxy    *Proxy
	socket socket
	inFlight int  // commands in hand, under the relay's lock
	closeAfterAnswer bool // no further command; set before the answer that says so
	answerWritten chan struct{}
	writeFailed bool // an answer could not be written

	reading bool    // a request has begun to come; under the relay's lock, as the next four
	hasSentRequest   bool    // one came before
	evicted   bool    // it is to make room
	idleSince   float64 // idle since

	hostHash    uint64  // its host
	answers   answerQueue    // answers in order, where a client may ask ahead
	waiter readWaiter // where its reader waits
}

func secondsToDuration(secs float64) time.Duration { return time.Duration(secs * float64(time.Second)) }

// Serve takes connections until the listener is closed.
func (p *Proxy) Serve(l net.Listener) error {
	for {
		netConn, err := l.Accept()
		if err != nil {
			var wait interface{ Temporary() bool }
			if errors.As(err, &wait) && wait.Temporary() { // no descriptor left: those in hand give some back
				p.log.Warn("accept", "error", err)
				time.Sleep(10 * time.Millisecond)
				continue
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		conn := &clientConn{proxy: p, socket: newSocket(netConn), answerWritten: make(chan struct{}, 1), hostHash: hashHost(netConn.RemoteAddr().String()), idleSince: p.Now()}
		noRoom := p.memory.exceededBy(connOverheadBytes)
		p.mu.Lock()
		limits := &p.currentConfig.Load().Document.Clients
		crammed := func() bool { return limits.Keep > 0 && loadshed.OverCapacity(len(p.clients), limits.Connections) }
		for try := 0; crammed() && try < 20; try++ { // who is to make room has not gone yet
			p.mu.Unlock()
			time.Sleep(time.Millisecond)
			p.mu.Lock()
		}
		over := limits.Keep > 0 && len(p.clients) >= limits.Keep
		full := noRoom || crammed() || !(over && p.evictClient()) && len(p.clients) >= limits.Connections
		if full {
			p.stats.ClientsRefused++
			if noRoom {
				p.stats.MemoryRefused++
			}
		} else {
			p.memory.add(connOverheadBytes)
			p.clients[conn] = struct{}{}
			p.stats.ClientsAccepted++
			p.goroutines.Add(1)
		}
		p.mu.Unlock()
		if full {
			conn.socket.writeNow(p.protocol.tooManyConnections(p.currentConfig.Load().Document.Rules.MaxPause))
			netConn.Close()
			continue
		}
		go func() {
			defer p.goroutines.Done()
			defer func() {
				p.mu.Lock()
				delete(p.clients, conn)
				p.mu.Unlock()
				conn.socket.Close()
				p.memory.add(-connOverheadBytes)
			}()
			p.protocol.serveClient(conn)
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
func (conn *clientConn) linger() {
	if tcp, ok := conn.socket.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	conn.socket.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var sink [4096]byte
	for range 64 {
		if _, err := conn.socket.Read(sink[:]); err != nil {
			return
		}
	}
}

// evictClient has a connection make room for another, by the shedding module's order. Its reader closes it: what it has begun to read
// meanwhile is served. Under the lock.
func (p *Proxy) evictClient() bool {
	now := p.Now()
	var first *clientConn
	var firstState loadshed.ClientConn
	for conn := range p.clients {
		candidate := loadshed.ClientConn{Busy: conn.inFlight > 0, Reading: conn.reading, HasSentRequest: conn.hasSentRequest, IdleSince: conn.idleSince}
		if !conn.evicted && !candidate.Pinned() && (first == nil || candidate.EvictBefore(now, firstState)) && !conn.socket.hasUnread() {
			first, firstState = conn, candidate
		}
	}
	if first == nil {
		return false
	}
	first.evicted = true
	p.protocol.wakeReader(first)
	return true
}

func (conn *clientConn) serveHTTP() {
	p := conn.proxy
	reader := &limitedReader{source: conn.socket.Conn, memory: &p.memory}
	defer reader.release()
	br := bufio.NewReaderSize(reader, 4096)
	for {
		limits := &p.currentConfig.Load().Document.Clients
		reader.remaining = math.MaxInt64
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(limits.IdleTime)))
		if _, err := br.Peek(1); err != nil && !conn.hasUnreadBytes() {
			return
		}
		p.memory.waitAvailable(p.stop)
		waited := conn.queuedSecondsIfOverloaded()
		done, goOn, admitted := conn.shedUnparsed(br, waited)
		if done && goOn {
			reader.release()
			continue
		} else if done {
			return
		}
		p.mu.Lock()
		conn.reading = true // a drain lets it come
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(limits.ReadTime)))
		p.mu.Unlock()
		message, err := readHTTPMessage(br, reader, limits.HeadBytes, limits.BodyBytes, func() {
			conn.socket.writeNow([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		})
		if err != nil {
			conn.rejectUnreadable(err)
			return
		}
		message.admitted, message.queuedSeconds = admitted, waited
		if !conn.handleMessage(br, reader, message) || conn.closeAfterAnswer {
			return
		}
		reader.release()
	}
}

// shouldClose tells whether the connection is to end once nothing is open on it. One that came during a drain, when others could not
// know of it yet, is still to bring its first command.
func (conn *clientConn) shouldClose(first bool) bool {
	conn.proxy.mu.Lock()
	defer conn.proxy.mu.Unlock()
	return conn.evicted || conn.proxy.draining && !first
}

// hasUnreadBytes tells whether a request lies unread in the kernel: a drain ends the wait for one by the clock, and what had come by
// then is served.
func (conn *clientConn) hasUnreadBytes() bool {
	if conn.socket.raw == nil {
		return false
	}
	n := 0
	conn.socket.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// rejectUnreadable answers a request that can't be read, and lets its sender see the answer: closing with bytes unread would
// reset the connection under it.
func (conn *clientConn) rejectUnreadable(err error) {
	var bad *requestError
	var late net.Error
	switch {
	case errors.As(err, &bad):
	case errors.As(err, &late) && late.Timeout():
		bad = &requestError{408, fmt.Sprintf("the request took longer than %g s", conn.proxy.currentConfig.Load().Document.Clients.ReadTime)}
	default:
		return
	}
	conn.proxy.mu.Lock()
	conn.proxy.stats.InvalidRequests++
	conn.proxy.mu.Unlock()
	conn.socket.writeNow(newHTTPAnswer(bad.status, "", bad.reason, 0).withConnectionClose().bytes)
	conn.linger()
}

// handleMessage serves one request and tells whether the connection goes on.
func (conn *clientConn) handleMessage(br *bufio.Reader, reader *limitedReader, message *message) bool {
	p := conn.proxy
	if message.closeAfter {
		conn.closeAfterAnswer = true
	}
	if message.path == wrongAnswerPath {
		return conn.answerInvalid(wrongAnswerReply(p.reportWrongAnswerByReceipt(message.receipt)))
	}
	v := p.currentConfig.Load()
	class := v.ClassOf(message.method, message.path)
	if class < 0 {
		return conn.answerInvalid(newHTTPAnswer(404, "", "no route for "+message.method+" "+message.path, 0))
	}
	if v.Policy.Classes[class].Idempotency == policy.IdempotentWithKey && !message.hasIdempotencyKey {
		return conn.answerInvalid(newHTTPAnswer(400, "", "an op type with deduplicated commands needs "+headerIdempotencyKey, 0))
	}
	conn.socket.SetReadDeadline(time.Time{})
	reader.remaining = math.MaxInt64
	request := p.accept(conn, message, v, class, nil)
	// Watches for the client's going while the command is in hand. More bytes are its next request; they wait.
	_, gone := br.Peek(1)
	if gone != nil && p.abandonRequest(request) {
		return false
	}
	<-conn.answerWritten
	return gone == nil && !conn.writeFailed
}

func wrongAnswerReply(err error) answer {
	if err != nil {
		return newHTTPAnswer(400, "", err.Error(), 0)
	}
	return newHTTPAnswer(200, "", "noted", 0)
}

// answerInvalid writes an answer to what was no command.
func (conn *clientConn) answerInvalid(ans answer) bool {
	conn.proxy.mu.Lock()
	conn.proxy.stats.InvalidRequests++
	conn.reading = false
	conn.proxy.mu.Unlock()
	conn.writeAnswer(ans)
	<-conn.answerWritten
	return !conn.writeFailed
}

// writeAnswer writes an answer without waiting; what the kernel does not take at once goes on by itself for as long as a
// request may take to come.
func (conn *clientConn) writeAnswer(ans answer) {
	// From here on the connection is idle, also for the read that watches it; or that read is to end.
	until := time.Now()
	if conn.closeAfterAnswer {
		ans = ans.withConnectionClose()
	} else {
		until = until.Add(secondsToDuration(conn.proxy.currentConfig.Load().Document.Clients.IdleTime))
	}
	conn.socket.SetReadDeadline(until)
	n, err := conn.socket.writeNow(ans.bytes)
	if err == nil && n < len(ans.bytes) {
		conn.proxy.goroutines.Add(1)
		conn.proxy.memory.add(len(ans.bytes)) // its client reads slowly
		go func() {
			defer conn.proxy.goroutines.Done()
			defer conn.proxy.memory.add(-len(ans.bytes))
			conn.socket.SetWriteDeadline(time.Now().Add(secondsToDuration(conn.proxy.currentConfig.Load().Document.Clients.ReadTime)))
			_, err := conn.socket.Write(ans.bytes[n:])
			conn.socket.SetWriteDeadline(time.Time{})
			conn.onAnswerWritten(err)
		}()
		return
	}
	conn.onAnswerWritten(err)
}

func (conn *clientConn) onAnswerWritten(err error) {
	if conn.writeFailed = err != nil; conn.writeFailed {
		conn.socket.Close()
	}
	conn.answerWritten <- struct{}{}
}

// SetReady has the relay say that it is ready, to all who asked and to who asks. Until then it can't decide where commands go.
func (p *Proxy) SetReady() {
	p.mu.Lock()
	pings := p.awaitingReady
	p.ready, p.awaitingReady = true, nil
	p.mu.Unlock()
	for _, answer := range pings {
		answer()
	}
}

// answerWhenReady answers a client's question now or once the relay is ready.
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

// SetAnswerDeadline has all that is in hand, and all that is taken from now on, answered by a time, whatever its client would wait.
func (p *Proxy) SetAnswerDeadline(at float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerDeadline = at
	for _, request := range append(deadlineQueue(nil), p.deadlines...) { // all in hand: each waits for something
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

// StopServing begins a stop while the listener goes on: clients are still served, and each connection ends once nothing is open on it.
// What has begun to come on one has until all is to be answered.
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

// Drain stops taking commands and waits until those in hand have their answers, or ctx ends. The listener is to be
// closed before. Connections that have nothing in hand are closed at once.
func (p *Proxy) Drain(ctx context.Context) error {
	p.StopServing()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for {
		p.mu.Lock()
		unanswered := p.inFlight
		for conn := range p.clients {
			if conn.inFlight == 0 && !conn.reading {
				p.protocol.wakeReader(conn)
			}
		}
		clients := len(p.clients)
		p.mu.Unlock()
		if unanswered == 0 && clients == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d commands and %d connections left: %w", unanswered, clients, ctx.Err())
		case <-look.C:
		}
	}
}

// Close ends every connection and the timer, and waits for their goroutines.
func (p *Proxy) Close() {
	close(p.stop)
	p.mu.Lock()
	p.draining = true
	for conn := range p.clients {
		conn.socket.Close()
	}
	for conn := range p.endpointConns {
		conn.close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
