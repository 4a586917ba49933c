package proxy

import (
	"bufio"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// protocol is a wire protocol, spoken to clients and endpoints. It makes no decisions. Implementations are stateless:
// the state of a connection is in clientConn and endpointConn.
type protocol interface {
	// serveClient reads requests from a client and passes each to Proxy.accept. It returns when the connection must be
	// closed. It abandons the requests of a client that disconnected.
	serveClient(conn *clientConn)

	// wakeReader makes a client's reader check whether its connection must close. It does not block. The caller holds
	// Proxy.mu.
	wakeReader(conn *clientConn)

	// deliverAnswer writes a request's final answer to its client without blocking. The caller must not hold Proxy.mu.
	deliverAnswer(request *request, answer answer)

	// rejectedAnswer returns the final answer to a request that the client may safely retry, after retryAfterSeconds and,
	// unless it is 0, before retryBySeconds are over.
	rejectedAnswer(config *configstate.Version, retryAfterSeconds, retryBySeconds float64) answer

	// failedAnswer returns the final answer to a request that may have run. timedOut reports whether its last attempt
	// timed out.
	failedAnswer(config *configstate.Version, timedOut bool) answer

	// tooManyConnections returns the answer to a client whose connection is refused.
	tooManyConnections(retryAfterSeconds float64) []byte

	// connReuseDelaySeconds returns the minimum time between an answer and the next attempt on its endpoint connection.
	connReuseDelaySeconds() float64

	// startsAtLastByte reports whether endpoints start a request only on its last byte, so that a truncated request
	// never ran.
	startsAtLastByte() bool

	// encodeAttempt appends a message for an endpoint to buf; remainingSeconds is the time left until the attempt's
	// deadline.
	encodeAttempt(buf []byte, message *message, remainingSeconds float64) []byte

	// readAnswer reads an attempt's answer, and adds its bytes to memory. It may block. An error means that the
	// connection must be closed and that the attempt may have run.
	readAnswer(br *bufio.Reader, reader *limitedReader, memory *memoryHold, attempt *attempt) (endpointAnswer, error)
}

// endpointAnswer is an endpoint's answer to an attempt.
type endpointAnswer struct {
	answer   answer // for the client; set if outcome is policy.Succeeded
	outcome  policy.Outcome
	reusable bool // the connection may be used for another attempt
}
