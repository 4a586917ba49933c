package proxy

import (
	"errors"
	"sync"
	"time"
)

// readWaiter is where the reader of a pipelined client connection waits between requests. Whoever changes what it waits for
// wakes it; a wake that comes while it does not wait is kept, so that none is lost. The reading of a request that has begun
// to come is not disturbed.
type readWaiter struct {
	mu      sync.Mutex
	waiting bool
	woken   bool
}

// errWoken is what waitForReader returns where wakeReader ended the wait.
var errWoken = errors.New("reader woken")

// pastDeadline ends a read that waits.
var pastDeadline = time.Unix(1, 0)

// wakeReader has the reader look again at what it waits for. It does not wait.
func (conn *clientConn) wakeReader() {
	conn.waiter.mu.Lock()
	defer conn.waiter.mu.Unlock()
	conn.waiter.woken = true
	if conn.waiter.waiting {
		conn.socket.SetReadDeadline(pastDeadline)
	}
}

// waitForReader runs wait, a read that ends by the connection's read deadline: at the time given (zero: none), or when
// woken. It returns errWoken if nothing came before that, else what wait returned.
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
		conn.wakeReader() // what came goes first; the wake is kept for the next wait
	}
	return err
}
