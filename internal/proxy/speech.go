package proxy

import (
	"bufio"
	"fmt"
	"time"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// protocol is the form that messages have on the wire: one seam to clients, one to units. It knows no rule and decides nothing.
type protocol interface {
	// To clients: serve takes a client's commands until its connection is of no more use; nacked and failed word final answers
	// of the relay's own, reply hands one to its client without waiting; crowded goes to a client there is no room for.
	serveClient(cl *clientConn)
	rejectedAnswer(v *configstate.Version, pause float64) answer
	failedAnswer(v *configstate.Version, late bool) answer
	deliverAnswer(c *request, ans answer)
	tooManyConnections(pause float64) []byte

	// rouse has a client's reader look whether its connection is to end. Under the relay's lock.
	wakeReader(cl *clientConn)

	// To units: rest is the s after an answer in which its connection gets no further delivery; word gives a delivery's bytes, left being the s that the relay waits for it; read reads its answer. An
	// error says that the connection is of no further use, and that the delivery may have run. keep: the connection may be
	// used again.
	// atLastByte: a unit begins a delivery with its last byte, so that one cut before it never ran.
	connReuseDelaySeconds() float64
	startsAtLastByte() bool
	encodeAttempt(req *message, left float64) []byte
	readAnswer(br *bufio.Reader, g *limitedReader, d *attempt) (ans answer, result policy.Outcome, keep bool, err error)
}

// http1 is HTTP/1.1, as docs/protocol.md tells it.
type http1 struct{}

func (http1) serveClient(conn *clientConn) { conn.serveHTTP() }

func (http1) wakeReader(conn *clientConn) {
	if !conn.reading { // a drain lets it come
		conn.socket.SetReadDeadline(time.Now())
	}
}

func (http1) rejectedAnswer(v *configstate.Version, pause float64) answer {
	return newHTTPAnswer(503, "nacked", "not done; trying again does no harm", pause).withConfigVersion(v)
}

func (http1) failedAnswer(v *configstate.Version, late bool) answer {
	status := 502
	if late {
		status = 504
	}
	return newHTTPAnswer(status, "failed", "failed; it may have been done", 0).withConfigVersion(v)
}

func (http1) deliverAnswer(request *request, ans answer) { request.conn.writeAnswer(ans) }

func (http1) tooManyConnections(pause float64) []byte {
	return newHTTPAnswer(503, "nacked", "too many connections", pause).withConnectionClose().bytes
}

func (http1) connReuseDelaySeconds() float64 { return 0 }

func (http1) startsAtLastByte() bool { return false } // a unit may act on a head alone

func (http1) encodeAttempt(message *message, left float64) []byte {
	buf := make([]byte, 0, len(message.head)+len(message.body)+40)
	buf = append(buf, message.head...)
	buf = fmt.Appendf(buf, headerTime+": %.3f\r\n\r\n", left)
	return append(buf, message.body...)
}

func (http1) readAnswer(br *bufio.Reader, reader *limitedReader, attempt *attempt) (answer, policy.Outcome, bool, error) {
	ans, status, full, keep, err := readHTTPAnswer(br, reader, attempt.request.message.method, fmt.Sprintf("%d-%.3f", attempt.endpoint, attempt.startedAt), attempt.request.config.Document.Endpoints.AnswerBytes)
	switch {
	case err != nil:
		return answer{}, policy.ConnectionLost, false, err
	case full:
		return answer{}, policy.Overloaded, keep, nil
	case status >= 500:
		return answer{}, policy.ServerError, keep, nil
	}
	return ans.withConfigVersion(attempt.request.config), policy.Succeeded, keep, nil
}
