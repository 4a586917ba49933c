package proxy

import (
	"net"
	"time"
)

const (
	readBufferBytes = 4096

	// A connection that ends after an answer is drained for at most lingerTime and lingerReads reads before it is
	// closed.
	lingerTime  = 100 * time.Millisecond
	lingerReads = 64
)

// clientConn is a client connection. Only its own goroutine reads from it; any goroutine may write an answer.
type clientConn struct {
	proxy    *Proxy
	socket   socket
	hostHash uint64 // see hashHost

	closeAfterAnswer bool // no further request is read; set before the last answer is written

	// HTTP/1.1: one answer at a time.
	answerWritten chan struct{} // receives one element per answer, written or failed
	writeFailed   bool          // the last answer was not written; set before the send

	// RESP2: many answers, in the order of their requests.
	answers answerQueue
	waiter  readWaiter

	// Guarded by Proxy.mu.
	inFlight       int     // requests without a final answer
	reading        bool    // a message is being read
	hasSentRequest bool    // it has sent a complete request
	evicted        bool    // it must close to make room for another connection
	idleSince      float64 // when it connected or got its last answer
}

// shouldClose reports whether the connection must close once nothing is in flight on it. While the proxy drains, a
// connection still gets its first request served (first is true): its client could not know of the shutdown.
func (conn *clientConn) shouldClose(first bool) bool {
	conn.proxy.mu.Lock()
	defer conn.proxy.mu.Unlock()
	return conn.evicted || conn.proxy.draining && !first
}

// linger closes the write side after the last answer and briefly discards what the client still sends. Closing with
// unread bytes would reset the connection before the client has read the answer.
func (conn *clientConn) linger() {
	if tcp, ok := conn.socket.Conn.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil { // the reads below fail too
			conn.proxy.log.Debug("client connection already ended", "error", err)
		}
	}
	conn.socket.SetReadDeadline(time.Now().Add(lingerTime))
	var sink [readBufferBytes]byte
	for range lingerReads {
		if _, err := conn.socket.Read(sink[:]); err != nil {
			return
		}
	}
}

// writeBestEffort writes without blocking and only logs a failure. It is used where the connection is closed next, or
// where its reader notices the failure.
func (p *Proxy) writeBestEffort(conn *clientConn, buf []byte) {
	if _, err := conn.socket.writeNow(buf); err != nil {
		p.log.Debug("answer not written", "error", err)
	}
}
