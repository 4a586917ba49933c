package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// bodyBufferGrowth is the size of a buffer that doubles as bytes arrive, as a multiple of these bytes.
const bodyBufferGrowth = 2

// noReadLimit, set as limitedReader.remaining, removes the bound on the bytes read.
const noReadLimit = math.MaxInt64

// serveClient serves a connection's requests one at a time.
func (proto http1) serveClient(conn *clientConn) {
	memory := &memoryHold{account: &conn.memory}
	defer memory.release()
	reader := &limitedReader{source: conn.socket.Conn, bufferGrowth: bodyBufferGrowth, hold: func(n int) bool {
		return conn.memory.waitToHoldRequest(n, conn.proxy.stop) && memory.adopt(n)
	}}
	br := bufio.NewReaderSize(reader, readBufferBytes)
	for proto.serveRequest(conn, br, reader, memory) {
		memory.release()
	}
}

// serveRequest waits for a request and serves it. It reports whether the connection stays open. memory counts the bytes
// that reader reads.
func (proto http1) serveRequest(conn *clientConn, br *bufio.Reader, reader *limitedReader, memory *memoryHold) bool {
	p := conn.proxy
	limits := &p.currentConfig.Load().Document.Clients
	reader.remaining = noReadLimit
	conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(limits.IdleTimeoutSeconds)))
	// A shutdown ends this wait with a read deadline. A request that has arrived by then is still served.
	if _, err := br.Peek(1); err != nil && !conn.socket.hasUnread() {
		return false
	}
	queuedSeconds := conn.queuedSecondsIfMeasured()
	result := proto.shedUnparsed(conn, br, queuedSeconds)
	switch result {
	case shedKeepConn:
		return true
	case shedEndConn:
		return false
	}
	p.mu.Lock()
	conn.startReading(p.Now())
	conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(limits.ReadTimeoutSeconds)))
	p.mu.Unlock()
	message, err := readHTTPMessage(br, reader, limits.HeadBytes, limits.BodyBytes, func() {
		p.writeBestEffort(conn, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	})
	if err != nil {
		proto.rejectUnreadable(conn, err)
		return false
	}
	message.admitted, message.queuedSeconds = result == shedAdmitted, queuedSeconds
	memory.resize(len(message.head) + len(message.body) + requestOverheadBytes)
	message.memory = memory.move()
	return proto.handleMessage(conn, br, reader, message) && !conn.closeAfterAnswer
}

// handleMessage serves a message and waits for its answer. It reports whether the connection stays open.
func (proto http1) handleMessage(conn *clientConn, br *bufio.Reader, reader *limitedReader, message *message) bool {
	p := conn.proxy
	if message.closeAfter {
		conn.closeAfterAnswer = true
	}
	if message.path == wrongAnswerPath {
		message.memory.release()
		return proto.answerDirectly(conn, wrongAnswerReply(p.reportWrongAnswerByReceipt(message.receipt)))
	}
	config := p.currentConfig.Load()
	class := config.ClassOf(message.method, message.path)
	if invalid := checkClass(config, class, message); invalid.bytes != nil {
		message.memory.release()
		return proto.answerDirectly(conn, invalid)
	}
	conn.socket.SetReadDeadline(time.Time{})
	reader.remaining = noReadLimit
	if conn.socket.hasHungUp() { // nothing that was read after the client left may be sent
		message.memory.release()
		return false
	}
	request, err := p.accept(conn, message, config, class, nil)
	if err != nil { // can't happen: HTTP requests have no ids
		return false
	}
	// Peek detects a client that disconnects while its request is in flight. Bytes that arrive belong to the next
	// request and stay buffered; they hide the end of the connection from Peek.
	_, err = br.Peek(1)
	if err == nil {
		err = conn.waitAnswerWritten()
	}
	if err == nil {
		return !conn.writeFailed
	}
	if !p.abandonRequest(request) {
		<-conn.answerWritten
	}
	return false
}

// errHungUp is returned by waitAnswerWritten if the client disconnected first.
var errHungUp = errors.New("the client closed its connection")

// waitAnswerWritten waits until the answer in flight is written. It returns errHungUp if the client disconnects first.
func (conn *clientConn) waitAnswerWritten() error {
	for {
		select {
		case <-conn.answerWritten:
			return nil
		default:
		}
		switch err := conn.waitForReader(time.Time{}, conn.socket.waitHangUp); {
		case err == nil:
			return errHungUp
		case !errors.Is(err, errWoken) && !isTimeout(err): // this process has closed the connection
			<-conn.answerWritten
			return nil
		}
	}
}

// checkClass returns the error answer to a message that can't be served as a request of the given class, or an empty
// answer. A negative class means that no route matches.
func checkClass(config *configstate.Version, class int, message *message) answer {
	if class < 0 {
		return newHTTPAnswer(http.StatusNotFound, "", "no route for "+message.method+" "+message.path)
	}
	if config.Policy.Classes[class].Idempotency == policy.IdempotentWithKey && message.idempotencyHash == 0 {
		return newHTTPAnswer(http.StatusBadRequest, "", "an op type with deduplicated commands needs "+headerIdempotencyKey)
	}
	return answer{}
}

func wrongAnswerReply(err error) answer {
	if err != nil {
		return newHTTPAnswer(http.StatusBadRequest, "", err.Error())
	}
	return newHTTPAnswer(http.StatusOK, "", "noted")
}

// rejectUnreadable answers a message that is invalid or incomplete, and lingers so that the client sees the answer. If
// the connection itself failed, no answer is sent.
func (proto http1) rejectUnreadable(conn *clientConn, err error) {
	p := conn.proxy
	var invalid *requestError
	switch {
	case errors.As(err, &invalid):
	case errors.Is(err, errMemoryRefused), isTimeout(err) && conn.wasRevoked():
		proto.rejectForMemory(conn)
		return
	case isTimeout(err) && conn.isEvicted():
		p.writeBestEffort(conn, proto.tooManyConnections(p.currentConfig.Load().Document.Rules.MaxRetryAfterSeconds))
		return
	case isTimeout(err):
		readTimeoutSeconds := p.currentConfig.Load().Document.Clients.ReadTimeoutSeconds
		invalid = &requestError{http.StatusRequestTimeout, fmt.Sprintf("the request took longer than %g s", readTimeoutSeconds)}
	default:
		return
	}
	p.mu.Lock()
	p.stats.InvalidRequests++
	p.mu.Unlock()
	p.writeBestEffort(conn, newHTTPAnswer(invalid.status, "", invalid.reason).withConnectionClose().bytes)
	conn.linger()
}

// rejectForMemory rejects a message that was not read completely, because there is no memory for it, and lingers so that
// the client sees the answer.
func (http1) rejectForMemory(conn *clientConn) {
	p := conn.proxy
	p.mu.Lock()
	answer := p.rejectUnaccepted(conn)
	p.mu.Unlock()
	p.writeBestEffort(conn, answer.withConnectionClose().bytes)
	conn.linger()
}

// answerDirectly answers a message that is not forwarded and waits until the answer is written. It reports whether the
// write succeeded.
func (proto http1) answerDirectly(conn *clientConn, answer answer) bool {
	conn.proxy.mu.Lock()
	conn.proxy.stats.InvalidRequests++
	conn.reading = false
	conn.proxy.mu.Unlock()
	proto.writeAnswer(conn, answer)
	<-conn.answerWritten
	return !conn.writeFailed
}

// writeAnswer writes an answer without blocking. A separate goroutine writes the bytes that the kernel does not accept
// at once; clients.read-time bounds its write.
func (proto http1) writeAnswer(conn *clientConn, answer answer) {
	p := conn.proxy
	// The connection is idle once the answer is written, so the pending Peek in handleMessage gets the idle timeout. If
	// the connection must close, Peek returns at once.
	deadline := time.Now()
	if conn.closeAfterAnswer {
		answer = answer.withConnectionClose()
	} else {
		deadline = deadline.Add(secondsToDuration(p.currentConfig.Load().Document.Clients.IdleTimeoutSeconds))
	}
	conn.socket.SetReadDeadline(deadline)
	n, err := conn.socket.writeNow(answer.bytes)
	if err == nil && n < len(answer.bytes) {
		p.goroutines.Add(1)
		conn.memory.hold(len(answer.bytes))
		go proto.writeRemaining(conn, answer.bytes, n)
		return
	}
	proto.onAnswerWritten(conn, err)
}

// writeRemaining writes the bytes of an answer from offset on, to a slow client.
func (proto http1) writeRemaining(conn *clientConn, buf []byte, offset int) {
	p := conn.proxy
	defer p.goroutines.Done()
	defer conn.memory.release(len(buf))
	conn.socket.SetWriteDeadline(time.Now().Add(secondsToDuration(p.currentConfig.Load().Document.Clients.ReadTimeoutSeconds)))
	_, err := conn.socket.Write(buf[offset:])
	conn.socket.SetWriteDeadline(time.Time{})
	proto.onAnswerWritten(conn, err)
}

// onAnswerWritten signals the connection's goroutine that the answer was written, or that the write failed with err.
func (http1) onAnswerWritten(conn *clientConn, err error) {
	conn.writeFailed = err != nil
	if conn.writeFailed {
		conn.socket.Close()
	}
	conn.answerWritten <- struct{}{}
	conn.wakeReader() // see waitAnswerWritten
}
