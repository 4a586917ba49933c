package proxy

import (
	"net"
	"time"
)

const (
	readBufferBytes = 4096

	// Bounds of clientConn.linger: its duration and its number of reads.
	lingerTimeout  = 100 * time.Millisecond
	maxLingerReads = 64
)

// clientConn is a client connection. Only its own goroutine reads from it; any goroutine may write an answer.
type clientConn struct {
	proxy    *Proxy
	socket   socket
	hostHash uint64        // see hashHost
	memory   memoryAccount // of its requests and their answers

	consecutiveInvalid int  // invalid requests since the last valid one; used by the reader only
	closeAfterAnswer   bool // no further request is read; set before the last answer is written

	// HTTP/1.1: one answer at a time.
	answerWritten chan struct{} // receives one element per answer, even if the write failed
	writeFailed   bool          // writing the last answer failed; set before the send on answerWritten

	// RESP2: many answers, in the order of their requests.
	answers answerQueue
	waiter  readWaiter

	// Guarded by Proxy.mu.
	inFlight       int        // requests without a final answer
	openRequests   []*request // RESP2: the requests that inFlight counts
	reading        bool       // a message is being read
	readingSince   float64    // when reading was set
	readRevoked    bool       // the message that is being read must be given up, because memory is short
	hasSentRequest bool       // the client has sent a complete request
	evicted        bool       // must close to make room for another connection
	evictedAt      float64    // when evicted was set
	delayed        bool       // its next request is delayed, because it has sent many invalid ones
	lingering      bool       // see linger
	idleSince      float64    // time of connecting or of the last answer
}

// startReading records that a message is being read; a shutdown lets it complete. The caller holds Proxy.mu.
func (conn *clientConn) startReading(now float64) {
	conn.reading, conn.readingSince, conn.readRevoked = true, now, false
}

// wasRevoked reports whether the last read was ended because memory is short.
func (conn *clientConn) wasRevoked() bool {
	conn.proxy.mu.Lock()
	defer conn.proxy.mu.Unlock()
	return conn.readRevoked
}

// setDelayed records whether the connection's next request is delayed, and reports whether the connection is evicted.
func (conn *clientConn) setDelayed(delayed bool) (evicted bool) {
	conn.proxy.mu.Lock()
	defer conn.proxy.mu.Unlock()
	conn.delayed = delayed
	return conn.evicted
}

// shouldClose reports whether the connection must close once nothing is in flight on it. While the proxy drains, a
// connection that has not sent a request yet (awaitsFirst) stays open for its first one: its client could not know of
// the shutdown.
func (conn *clientConn) shouldClose(awaitsFirst bool) bool {
	conn.proxy.mu.Lock()
	defer conn.proxy.mu.Unlock()
	return conn.evicted || conn.proxy.draining && !awaitsFirst
}

// linger closes the write side after the last answer and briefly discards what the client still sends. Closing a
// connection with unread bytes would reset it before the client has read the answer.
func (conn *clientConn) linger() {
	if tcp, ok := conn.socket.Conn.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil { // the reads below fail as well
			conn.proxy.log.Debug("failed to close the write side of a client connection", "error", err)
		}
	}
	if !conn.startLingering() {
		return
	}
	var sink [readBufferBytes]byte
	for range maxLingerReads {
		if _, err := conn.socket.Read(sink[:]); err != nil {
			return
		}
	}
}

// startLingering sets the deadline for linger. It returns false if the connection was evicted and must close at once.
func (conn *clientConn) startLingering() bool {
	p := conn.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.reading, conn.lingering = false, true
	conn.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	return !conn.evicted
}

// writeBestEffort writes without blocking and only logs a failure. It is used where the connection is closed next, or
// where the connection's reader detects the failure.
func (p *Proxy) writeBestEffort(conn *clientConn, buf []byte) {
	if _, err := conn.socket.writeNow(buf); err != nil {
		p.log.Debug("failed to write to a client", "error", err)
	}
}
