package proxy

import (
	"bufio"
	"fmt"
	"net/http"
	"time"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// http1 is HTTP/1.1 to clients and endpoints, as described in docs/protocol.md. A client connection has one request in
// flight at a time; the bytes of further requests wait in the kernel.
type http1 struct{}

// Texts of the final answers that the proxy itself generates.
const (
	textRejected = "not done; trying again does no harm"
	textFailed   = "failed; it may have been done"
)

func (http1) wakeReader(conn *clientConn) {
	if !conn.reading || conn.evicted { // otherwise, a message that is being read may still complete
		conn.socket.SetReadDeadline(time.Now())
	}
}

func (proto http1) deliverAnswer(request *request, answer answer) {
	proto.writeAnswer(request.conn, answer)
}

func (http1) rejectedAnswer(config *configstate.Version, retryAfterSeconds, retryBySeconds float64) answer {
	return newHTTPRejection(textRejected, retryAfterSeconds, retryBySeconds).withConfigVersion(config)
}

func (http1) failedAnswer(config *configstate.Version, timedOut bool) answer {
	status := http.StatusBadGateway
	if timedOut {
		status = http.StatusGatewayTimeout
	}
	return newHTTPAnswer(status, kindFailed, textFailed).withConfigVersion(config)
}

func (http1) tooManyConnections(retryAfterSeconds float64) []byte {
	return newHTTPRejection("too many connections", retryAfterSeconds, 0).withConnectionClose().bytes
}

func (http1) connReuseDelaySeconds() float64 { return 0 }

func (http1) startsAtLastByte() bool { return false } // an endpoint may start a request once it has the head

func (http1) encodeAttempt(buf []byte, message *message, remainingSeconds float64) []byte {
	buf = append(buf, message.head...)
	buf = fmt.Appendf(buf, headerTime+": %.3f\r\n\r\n", remainingSeconds)
	return append(buf, message.body...)
}

// readAnswer reads an endpoint's response. A 503 with the Flint-Never-Ran header counts as Overloaded, any other 5xx as
// ServerError.
func (http1) readAnswer(br *bufio.Reader, reader *limitedReader, memory *memoryHold, attempt *attempt) (endpointAnswer, error) {
	reader.hold = memory.tryGrowAnswer
	config := attempt.request.config
	response, err := readHTTPResponse(br, reader, attempt.request.message.method, receiptOf(attempt), config.Document.Endpoints.MaxAnswerBytes)
	switch {
	case err != nil:
		return endpointAnswer{}, err
	case response.neverRan:
		return endpointAnswer{outcome: policy.Overloaded, reusable: response.keepAlive}, nil
	case response.status >= 500:
		return endpointAnswer{outcome: policy.ServerError, reusable: response.keepAlive}, nil
	}
	return endpointAnswer{answer: response.answer.withConfigVersion(config), outcome: policy.Succeeded, reusable: response.keepAlive}, nil
}
