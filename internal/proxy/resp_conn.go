package proxy

import (
	"bufio"
	"errors"
	"runtime"
	"slices"
	"time"

	"flintspread/internal/loadshed"
	"flintspread/internal/platform/resp"
)

// memoryPollSeconds is the interval at which a paused reader checks the memory budget.
const memoryPollSeconds = 0.05

// freeCommandBytes is the part of a command that is not counted against the memory budget: its arguments without a body
// fit into it, so that a small command can be parsed, and answered, however little memory is left.
const freeCommandBytes = 512

// serveClient accepts pipelined commands, each with its own deadline. Answers are sent in the order of the commands.
func (proto resp2) serveClient(conn *clientConn) {
	p := conn.proxy
	br := bufio.NewReaderSize(conn.socket.Conn, readBufferBytes) // package resp bounds what it reads
	defer proto.abandonRequests(conn)
	for awaitsFirst := true; proto.waitForCommand(conn, br, awaitsFirst); awaitsFirst = false {
		queuedSeconds := conn.queuedSeconds() // measured for every command: its timeout counts from when it was sent
		p.mu.Lock()
		conn.startReading(p.Now())
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(proto.readTimeoutSeconds(conn))))
		p.mu.Unlock()
		memory := memoryHold{account: &conn.memory}
		args, err := resp.ReadCommand(br, reserveCommand(&memory))
		switch {
		case errors.Is(err, resp.ErrMemoryRefused):
			memory.release()
			proto.rejectForMemory(conn, conn.answers.enqueue())
		case err != nil:
			memory.release()
			proto.rejectUnreadable(conn, err)
			return
		case conn.socket.hasHungUp(): // nothing that was read after the client left may be sent
			memory.release()
			return
		default:
			proto.handleCommand(conn, args, memory, queuedSeconds)
		}
		if br.Buffered() > 0 {
			runtime.Gosched() // other connections get their turn before the next command of this one
		}
		if !proto.delayAfterInvalid(conn) {
			return
		}
	}
}

// delayAfterInvalid delays the next command of a client that has sent many invalid ones in a row. It returns false if the
// client disconnects or the connection is evicted meanwhile.
func (proto resp2) delayAfterInvalid(conn *clientConn) bool {
	seconds := loadshed.InvalidRequestDelaySeconds(conn.consecutiveInvalid)
	if seconds == 0 {
		return true
	}
	defer conn.setDelayed(false)
	until := time.Now().Add(secondsToDuration(seconds))
	for {
		if evicted := conn.setDelayed(true); evicted {
			proto.flushAnswers(conn)
			return false
		}
		err := conn.waitForReader(until, conn.socket.waitHangUp)
		if !errors.Is(err, errWoken) {
			return isTimeout(err)
		}
	}
}

// reserveCommand returns a function that adds the bytes of a command to memory, except the first freeCommandBytes.
func reserveCommand(memory *memoryHold) resp.ReserveFunc {
	freeBytes := freeCommandBytes
	return func(n int) bool {
		if n <= freeBytes {
			freeBytes -= n
			return true
		}
		return memory.tryGrowRequest(n)
	}
}

// handleCommand accepts a command, whose bytes are counted in memory, as a request. A command that is not accepted is
// answered directly.
func (proto resp2) handleCommand(conn *clientConn, args [][]byte, memory memoryHold, queuedSeconds float64) {
	p := conn.proxy
	config := p.currentConfig.Load()
	pending := conn.answers.enqueue()
	if len(args) == 1 && string(args[0]) == commandPing {
		memory.release()
		p.answerWhenReady(conn, func() { proto.answerDirectly(conn, pending, []byte("+PONG\r\n")) })
		return
	}
	message, class, err := proto.parseCommand(config, args)
	if err != nil {
		memory.release()
		conn.consecutiveInvalid++
		proto.answerDirectly(conn, pending, resp.AppendError(nil, "ERR "+err.Error()))
		return
	}
	conn.consecutiveInvalid = 0
	if !memory.tryGrowRequest(requestOverheadBytes) {
		memory.release()
		proto.rejectForMemory(conn, pending)
		return
	}
	message.memory, message.queuedSeconds = memory, queuedSeconds
	if _, err := p.accept(conn, message, config, class, pending); err != nil {
		proto.answerDirectly(conn, pending, resp.AppendError(nil, "ERR "+err.Error()))
	}
}

// rejectForMemory rejects a command for which there is no memory.
func (resp2) rejectForMemory(conn *clientConn, pending *pendingAnswer) {
	p := conn.proxy
	p.mu.Lock()
	answer := p.rejectUnaccepted(conn)
	p.mu.Unlock()
	conn.completeAnswer(pending, answer.bytes)
}

// wakeReader implements protocol. It also sets a read deadline for a command that is partly received: reading must not
// outlast the shutdown and, on an evicted connection, must not delay the client that waits for the slot.
func (proto resp2) wakeReader(conn *clientConn) {
	switch {
	case (conn.reading || conn.lingering) && conn.evicted:
		conn.socket.SetReadDeadline(time.Now())
	case conn.reading:
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(proto.readTimeoutSeconds(conn))))
	}
	conn.wakeReader()
}

// readTimeoutSeconds returns how long a command may take to arrive completely. The caller holds Proxy.mu.
func (resp2) readTimeoutSeconds(conn *clientConn) float64 {
	p := conn.proxy
	timeoutSeconds := loadshed.ReadTimeoutSeconds(p.currentConfig.Load().Document.Clients.ReadTimeoutSeconds, conn.evicted)
	if p.draining && p.answerDeadline > 0 {
		timeoutSeconds = max(0, min(timeoutSeconds, p.answerDeadline-p.Now()))
	}
	return timeoutSeconds
}

// firstByteTimeoutSeconds returns how long a connection may stay idle before its next command. A connection that has
// not sent a command yet (awaitsFirst) gets the read timeout, all others get the idle timeout.
func (proto resp2) firstByteTimeoutSeconds(conn *clientConn, awaitsFirst bool) float64 {
	p := conn.proxy
	if !awaitsFirst {
		return p.currentConfig.Load().Document.Clients.IdleTimeoutSeconds
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return proto.readTimeoutSeconds(conn)
}

// waitForCommand blocks until a command's first byte has arrived. If the client holds more memory than it may, it then
// pauses until that has changed, for a bounded time. It returns false if the connection must close: the client
// disconnected, or no answer is outstanding and the connection was idle for too long or should close. It detects a
// disconnect even while answers are outstanding or reading is paused.
func (proto resp2) waitForCommand(conn *clientConn, br *bufio.Reader, awaitsFirst bool) bool {
	peekByte := func() error { _, err := br.Peek(1); return err }
	idleSince, remainingPauseSeconds := time.Now(), 0.0
	for {
		state := conn.answers.state()
		if !state.broken && conn.evictionOverdue() {
			proto.flushAnswers(conn)
			return false
		}
		timeoutSeconds := proto.firstByteTimeoutSeconds(conn, awaitsFirst)
		var until time.Time
		switch {
		case state.broken:
			return false
		case state.outstanding:
			idleSince = time.Now()
		case conn.shouldClose(awaitsFirst) && br.Buffered() == 0 && !conn.socket.hasUnread():
			return false
		default:
			until = idleSince.Add(secondsToDuration(timeoutSeconds))
		}
		wait := peekByte
		hangUpOnly := !state.mayPipeline || remainingPauseSeconds > 0 // no command may be read now
		if hangUpOnly {
			wait = conn.socket.waitHangUp
		}
		if state.mayPipeline && remainingPauseSeconds > 0 {
			until = time.Now().Add(secondsToDuration(min(memoryPollSeconds, remainingPauseSeconds)))
		}
		switch err := conn.waitForReader(until, wait); {
		case err == nil && hangUpOnly:
			return false
		case err == nil:
			if remainingPauseSeconds = conn.memory.beginPause(); remainingPauseSeconds == 0 {
				return true
			}
		case errors.Is(err, errWoken):
		case !isTimeout(err):
			return false
		case remainingPauseSeconds > 0: // the command is read once there is memory or the pause has ended
			if remainingPauseSeconds -= memoryPollSeconds; remainingPauseSeconds <= 0 || conn.memory.pauseSeconds() == 0 {
				return true
			}
		case state.outstanding:
		case !conn.socket.hasUnread():
			return false // idle for too long
		default:
			idleSince = time.Now() // a command arrived just before the idle timeout
		}
	}
}

// flushAnswers blocks until every outstanding answer is written. It returns false if the client disconnects first.
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

// answerDirectly answers a command that is not accepted as a request. The answer keeps its position in the queue.
func (resp2) answerDirectly(conn *clientConn, pending *pendingAnswer, text []byte) {
	p := conn.proxy
	p.mu.Lock()
	p.stats.InvalidRequests++
	conn.reading, conn.hasSentRequest, conn.idleSince = false, true, p.Now()
	p.mu.Unlock()
	conn.completeAnswer(pending, text)
}

// rejectUnreadable answers a command that is malformed or incomplete, after the outstanding answers, and lingers so that
// the client sees the answer. If the connection itself failed, no answer is sent.
func (proto resp2) rejectUnreadable(conn *clientConn, err error) {
	text := "ERR the command did not come whole in time"
	switch {
	case resp.IsMalformed(err):
		text = "ERR " + err.Error()
	case !isTimeout(err):
		return
	}
	if isTimeout(err) && conn.wasRevoked() {
		proto.rejectForMemory(conn, conn.answers.enqueue())
	} else {
		proto.answerDirectly(conn, conn.answers.enqueue(), resp.AppendError(nil, text))
	}
	if !proto.flushAnswers(conn) || conn.slotNeeded() {
		return
	}
	conn.linger()
}

// slotNeeded reports whether another client needs the connection's slot, so that it must close without lingering.
func (conn *clientConn) slotNeeded() bool {
	p := conn.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return conn.evicted || len(p.clients) >= p.currentConfig.Load().Document.Clients.MaxConns
}

// abandonRequests abandons the requests in flight of a client that disconnected.
func (resp2) abandonRequests(conn *clientConn) {
	p := conn.proxy
	p.mu.Lock()
	open := slices.Clone(conn.openRequests)
	p.mu.Unlock()
	for _, request := range open {
		p.abandonRequest(request)
	}
}
