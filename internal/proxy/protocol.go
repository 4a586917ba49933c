package proxy

import (
	"bufio"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// protocol is the form that messages have on the wire, to clients and to endpoints. It knows no rule and decides nothing.
// Implementations have no state: that of a connection is in clientConn and endpointConn.
type protocol interface {
	// serveClient reads requests from a client, has each accepted, and returns once the connection is of no more use. It
	// abandons the requests of a client that has gone.
	serveClient(conn *clientConn)

	// wakeReader has a client's reader look whether its connection is to end. It does not wait. The caller holds Proxy.mu.
	wakeReader(conn *clientConn)

	// deliverAnswer writes a request's final answer to its client, without waiting. The caller does not hold Proxy.mu.
	deliverAnswer(request *request, answer answer)

	// rejectedAnswer is the final answer to a request that was not done; the client may retry after some seconds.
	rejectedAnswer(config *configstate.Version, retryAfterSeconds float64) answer

	// failedAnswer is the final answer to a request that may have been done; timedOut: its last attempt ended by the clock.
	failedAnswer(config *configstate.Version, timedOut bool) answer

	// tooManyConnections is what a client gets, on connecting, that there is no room for.
	tooManyConnections(retryAfterSeconds float64) []byte

	// connReuseDelaySeconds is for how long after an answer an endpoint connection gets no further attempt.
	connReuseDelaySeconds() float64

	// startsAtLastByte tells whether endpoints begin a request only with its last byte, so that one cut before it never ran.
	startsAtLastByte() bool

	// encodeAttempt gives what is written to an endpoint; the proxy waits for so many more seconds.
	encodeAttempt(message *message, remainingSeconds float64) []byte

	// readAnswer reads an attempt's answer. It may wait. An error means that the connection is of no further use, and that
	// the attempt may have run.
	readAnswer(br *bufio.Reader, reader *limitedReader, attempt *attempt) (endpointAnswer, error)
}

// endpointAnswer is what an endpoint answered to an attempt.
type endpointAnswer struct {
	answer   answer // for the client, where outcome is policy.Succeeded
	outcome  policy.Outcome
	reusable bool // the connection may take a further attempt
}
