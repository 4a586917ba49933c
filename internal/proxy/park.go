package proxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// readWaiter is where a client's reader waits between commands. Whoever changes what it waits by wakes it; a wake that comes while it
// does not wait is kept, so that none is lost. A command that has begun to come is not disturbed.
type readWaiter struct {
	mu      sync.Mutex
	waiting bool
	woken   bool
}

var errWoken = errors.New("woken")

var pastDeadline = time.Unix(1, 0)

// wakeReader has the reader look again at what it waits by.
func (conn *clientConn) wakeReader() {
	conn.waiter.mu.Lock()
	defer conn.waiter.mu.Unlock()
	conn.waiter.woken = true
	if conn.waiter.waiting {
		conn.socket.SetReadDeadline(pastDeadline)
	}
}

// waitForReader runs look, which ends by the connection's read deadline at the latest: at the time given (zero: none), or when woken.
func (conn *clientConn) waitForReader(until time.Time, look func() error) error {
	p := &conn.waiter
	p.mu.Lock()
	if p.woken {
		p.woken = false
		p.mu.Unlock()
		return errWoken
	}
	p.waiting = true
	conn.socket.SetReadDeadline(until)
	p.mu.Unlock()
	err := look()
	p.mu.Lock()
	woken := p.woken
	p.waiting, p.woken = false, false
	p.mu.Unlock()
	if woken && isTimeout(err) {
		return errWoken
	}
	if woken {
		conn.wakeReader() // what came goes first; the news is still to be looked at
	}
	return err
}

func isTimeout(err error) bool {
	var net net.Error
	return errors.As(err, &net) && net.Timeout()
}

// waitHangUp waits until the peer has ended its side, whatever lies unread before that: a reader that takes nothing more would not see
// it. nil: it has.
func (s socket) waitHangUp() error {
	if s.raw == nil {
		return os.ErrDeadlineExceeded
	}
	return s.raw.Read(func(fd uintptr) bool {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(list, 0)
		return err == nil && n > 0 && list[0].Revents != 0
	})
}
