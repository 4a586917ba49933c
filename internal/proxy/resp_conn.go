package proxy

import (
	"bufio"
	"errors"
	"time"

	"flintspread/internal/loadshed"
	"flintspread/internal/platform/resp"
)

// memoryPollSeconds passes between two looks of a paused reader at the memory budget.
const memoryPollSeconds = 0.02

// serveClient takes commands as they come, each with its own deadline; answers follow their order.
func (proto resp2) serveClient(conn *clientConn) {
	p := conn.proxy
	reader := &limitedReader{source: conn.socket.Conn, memory: &p.memory, remaining: noReadLimit}
	defer reader.release()
	br := bufio.NewReaderSize(reader, readBufferBytes)
	var unanswered []*request // with some that were answered since the last look
	defer func() { proto.abandonRequests(conn, unanswered) }()
	for first := true; proto.waitForCommand(conn, br, first); first = false {
		queuedSeconds := conn.queuedSeconds() // always: the time that a command tells counts from its sending
		p.mu.Lock()
		conn.reading = true // a shutdown lets the command come whole
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(proto.readTimeoutSeconds(conn))))
		p.mu.Unlock()
		words, err := resp.ReadCommand(br)
		if err != nil {
			proto.rejectUnreadable(conn, err)
			return
		}
		if request := proto.handleCommand(conn, words, queuedSeconds); request != nil {
			unanswered = append(unanswered, request)
		}
		reader.release()
		unanswered = p.withoutCompleted(unanswered)
	}
}

// handleCommand has a command served, and returns its request. It returns nil for what is no request, which it answers.
func (proto resp2) handleCommand(conn *clientConn, words [][]byte, queuedSeconds float64) *request {
	p := conn.proxy
	config := p.currentConfig.Load()
	pending := conn.answers.enqueue()
	if len(words) == 1 && string(words[0]) == commandPing {
		p.answerWhenReady(conn, func() { proto.answerDirectly(conn, pending, []byte("+PONG\r\n")) })
		return nil
	}
	message, class, err := proto.parseCommand(config, words)
	if err != nil {
		proto.answerDirectly(conn, pending, resp.AppendError(nil, "ERR "+err.Error()))
		return nil
	}
	message.queuedSeconds = queuedSeconds
	request := p.accept(conn, message, config, class, pending)
	if request == nil {
		proto.answerDirectly(conn, pending, []byte("-ERR a command with this id is in hand\r\n"))
	}
	return request
}

// wakeReader also bounds the reading of a command that has begun to come: half a command must outlast neither the shutdown
// nor, on an evicted connection, the wait of others for its place.
func (proto resp2) wakeReader(conn *clientConn) {
	switch {
	case conn.reading && conn.evicted:
		conn.socket.SetReadDeadline(time.Now())
	case conn.reading:
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(proto.readTimeoutSeconds(conn))))
	}
	conn.wakeReader()
}

// readTimeoutSeconds is how long a command may take to come. The caller holds Proxy.mu.
func (resp2) readTimeoutSeconds(conn *clientConn) float64 {
	p := conn.proxy
	timeout := loadshed.ReadTimeoutSeconds(p.currentConfig.Load().Document.Clients.ReadTimeoutSeconds, conn.evicted)
	if p.draining && p.answerDeadline > 0 {
		timeout = max(0, min(timeout, p.answerDeadline-p.Now()))
	}
	return timeout
}

// firstByteTimeoutSeconds is how long a connection may stay idle before a command: one that has just come and says nothing
// only for as long as a command may take to come.
func (proto resp2) firstByteTimeoutSeconds(conn *clientConn, first bool) float64 {
	p := conn.proxy
	if !first {
		return p.currentConfig.Load().Document.Clients.IdleTimeoutSeconds
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return proto.readTimeoutSeconds(conn)
}

// waitForCommand waits for a command's first byte, and for memory to read it. It returns false if the connection is to end:
// the client has gone, or no answer is outstanding and it was idle for too long or is to be closed. A client's leaving is
// seen at any time, also while answers are outstanding and while nothing more is read.
func (proto resp2) waitForCommand(conn *clientConn, br *bufio.Reader, first bool) bool {
	p := conn.proxy
	peekByte := func() error { _, err := br.Peek(1); return err }
	idleSince, pauseSeconds := time.Now(), 0.0
	for {
		state := conn.answers.state()
		timeout := proto.firstByteTimeoutSeconds(conn, first)
		var until time.Time
		switch {
		case state.broken:
			return false
		case state.outstanding:
			idleSince = time.Now()
		case conn.shouldClose(first) && br.Buffered() == 0 && !conn.socket.hasUnread():
			return false
		default:
			until = idleSince.Add(secondsToDuration(timeout))
		}
		wait := peekByte
		onlyHangUp := !state.mayPipeline || pauseSeconds > 0 // nothing is to be read now
		if onlyHangUp {
			wait = conn.socket.waitHangUp
		}
		if state.mayPipeline && pauseSeconds > 0 {
			until = time.Now().Add(secondsToDuration(min(memoryPollSeconds, pauseSeconds)))
		}
		switch err := conn.waitForReader(until, wait); {
		case err == nil && onlyHangUp:
			return false
		case err == nil:
			if pauseSeconds = p.memory.beginPause(); pauseSeconds == 0 {
				return true
			}
		case errors.Is(err, errWoken):
		case !isTimeout(err):
			return false
		case pauseSeconds > 0: // what has come is read once there is memory, or the pause is over
			if pauseSeconds -= memoryPollSeconds; pauseSeconds <= 0 || !p.memory.underPressure() {
				return true
			}
		case state.outstanding:
		case !conn.socket.hasUnread():
			return false // idle for too long
		default:
			idleSince = time.Now() // a command came at the last moment
		}
	}
}

// flushAnswers waits until every outstanding answer has gone out. It returns false if the client has gone before.
func (resp2) flushAnswers(conn *clientConn) bool {
	for {
		state := conn.answers.state()
		if state.broken {
			return false
		}
		if !state.outstanding {
			return true
		}
		if err := conn.waitForReader(time.Time{}, conn.socket.waitHangUp); !errors.Is(err, errWoken) {
			return false
		}
	}
}

// answerDirectly answers what is no request, at its place among the answers.
func (resp2) answerDirectly(conn *clientConn, pending *pendingAnswer, text []byte) {
	p := conn.proxy
	p.mu.Lock()
	p.stats.InvalidRequests++
	conn.reading, conn.hasSentRequest, conn.idleSince = false, true, p.Now()
	p.mu.Unlock()
	conn.completeAnswer(pending, text)
}

// rejectUnreadable answers what can't be read, behind the outstanding answers, and lets its sender see the answer. An err of
// the connection itself gets none.
func (proto resp2) rejectUnreadable(conn *clientConn, err error) {
	text := "ERR the command did not come whole in time"
	switch {
	case resp.IsMalformed(err):
		text = "ERR " + err.Error()
	case !isTimeout(err):
		return
	}
	proto.answerDirectly(conn, conn.answers.enqueue(), resp.AppendError(nil, text))
	if !proto.flushAnswers(conn) || conn.placeIsWanted() {
		return
	}
	conn.linger()
}

// placeIsWanted tells whether other clients wait for the connection's place, so that it must end without lingering.
func (conn *clientConn) placeIsWanted() bool {
	p := conn.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return conn.evicted || len(p.clients) >= p.currentConfig.Load().Document.Clients.MaxConns
}

// abandonRequests ends what a client that has gone has in flight.
func (resp2) abandonRequests(conn *clientConn, unanswered []*request) {
	for _, request := range unanswered {
		conn.proxy.abandonRequest(request)
	}
}
