package proxy

import (
	"errors"
	"sync"
	"time"
)

// readWaiter lets the reader of a pipelined client connection wait between requests. Code that changes a condition that
// the reader waits for calls wakeReader. A wake-up while the reader is not waiting is kept for its next wait, so that
// none is lost, and does not interrupt a request that is being read.
type readWaiter struct {
	mu      sync.Mutex
	waiting bool
	woken   bool
}

// errWoken is returned by waitForReader if wakeReader ended the wait.
var errWoken = errors.New("reader woken")

// pastDeadline is a read deadline that interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)

// wakeReader makes the reader check its conditions again. It does not block.
func (conn *clientConn) wakeReader() {
	conn.waiter.mu.Lock()
	defer conn.waiter.mu.Unlock()
	conn.waiter.woken = true
	if conn.waiter.waiting {
		conn.socket.SetReadDeadline(pastDeadline)
	}
}

// waitForReader runs wait, which must respect the connection's read deadline, until the given time (zero: no limit) or
// until wakeReader is called. It returns errWoken if a wake-up interrupted wait, otherwise the result of wait.
func (conn *clientConn) waitForReader(until time.Time, wait func() error) error {
	waiter := &conn.waiter
	waiter.mu.Lock()
	if waiter.woken {
		waiter.woken = false
		waiter.mu.Unlock()
		return errWoken
	}
	waiter.waiting = true
	conn.socket.SetReadDeadline(until)
	waiter.mu.Unlock()
	err := wait()
	waiter.mu.Lock()
	woken := waiter.woken
	waiter.waiting, waiter.woken = false, false
	waiter.mu.Unlock()
	if woken && isTimeout(err) {
		return errWoken
	}
	if woken {
		conn.wakeReader() // the caller handles the result of wait first; keep the wake-up for the next wait
	}
	return err
}
