package proxy

import (
	"net"
	"time"
)

const (
	readBufferBytes = 4096

	// A connection that ends behind an answer is read for so long, and so many buffers, before it is closed.
	lingerTime  = 100 * time.Millisecond
	lingerReads = 64
)

// clientConn is one client's connection. Its goroutine reads from it; answers are written by whoever has them.
type clientConn struct {
	proxy    *Proxy
	socket   socket
	hostHash uint64 // of its host, see hashHost

	closeAfterAnswer bool // no further request is read; set before the answer that says so is written

	// HTTP/1.1: one answer at a time.
	answerWritten chan struct{} // gets an element for each answer that was written, or could not be
	writeFailed   bool          // the last one could not be; set before the element

	// RESP2: many answers, in the order of their requests.
	answers answerQueue
	waiter  readWaiter

	// Guarded by Proxy.mu.
	inFlight       int     // requests without a final answer
	reading        bool    // a message has begun to come
	hasSentRequest bool    // one came whole
	evicted        bool    // it is to end, to make room for another connection
	idleSince      float64 // when it connected, or got its last answer
}

// shouldClose tells whether the connection is to end once nothing is in flight on it. One that came while the proxy stops is
// still to bring its first request: its client could not know that it should go elsewhere.
func (conn *clientConn) shouldClose(first bool) bool {
	conn.proxy.mu.Lock()
	defer conn.proxy.mu.Unlock()
	return conn.evicted || conn.proxy.draining && !first
}

// linger ends this side of a connection whose client has its last answer, and reads for a moment what still comes: closing
// with bytes unread would reset the connection before the client has read the answer.
func (conn *clientConn) linger() {
	if tcp, ok := conn.socket.Conn.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil { // the reads below fail as well
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

// writeBestEffort writes an answer without waiting, where the connection is closed next, or its reader sees a failure.
func (p *Proxy) writeBestEffort(conn *clientConn, buf []byte) {
	if _, err := conn.socket.writeNow(buf); err != nil {
		p.log.Debug("answer not written", "error", err)
	}
}
