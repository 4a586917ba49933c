package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket adds non-blocking writes and peeks to a connection, so that a peer that does not read blocks none of the
// goroutines that write to it. It is safe for concurrent use.
type socket struct {
	net.Conn
	raw syscall.RawConn // nil if not available; writeNow then writes nothing
}

func newSocket(netConn net.Conn) socket {
	s := socket{Conn: netConn}
	if sc, ok := netConn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			s.raw = raw
		}
	}
	return s
}

// writeNow writes as much as the kernel accepts without blocking. If n < len(buf) and err is nil, writing more would
// block.
func (s socket) writeNow(buf []byte) (n int, err error) {
	if s.raw == nil {
		return 0, nil
	}
	rawErr := s.raw.Write(func(fd uintptr) bool {
		for n < len(buf) {
			var m int
			m, err = syscall.Write(int(fd), buf[n:])
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			n += max(m, 0)
			if errors.Is(err, syscall.EAGAIN) {
				err = nil
				break
			}
			if err != nil {
				break
			}
		}
		return true
	})
	if err == nil {
		err = rawErr
	}
	return n, err
}

// peek peeks at the first unread byte in the kernel without blocking. It returns 0 and no error once the peer has
// closed, and syscall.EAGAIN if there is nothing to read.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// hasUnread reports whether the kernel holds unread bytes.
func (s socket) hasUnread() bool {
	if s.raw == nil {
		return false
	}
	unread := false
	err := s.raw.Control(func(fd uintptr) {
		n, err := peek(fd)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// hasUnreadOrClosed reports whether the kernel holds unread bytes, or the connection has ended.
func (s socket) hasUnreadOrClosed() bool {
	if s.raw == nil {
		return false
	}
	found := false
	err := s.raw.Control(func(fd uintptr) {
		_, err := peek(fd)
		found = !errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && found
}

// waitReadable blocks until there is something to read or the connection has ended, without consuming bytes. It
// respects the connection's read deadline.
func (s socket) waitReadable() error {
	if s.raw == nil {
		return nil
	}
	return s.raw.Read(func(fd uintptr) bool {
		for {
			if _, err := peek(fd); !errors.Is(err, syscall.EINTR) {
				return !errors.Is(err, syscall.EAGAIN)
			}
		}
	})
}

// hasHungUp reports whether the peer has closed its side, even if bytes are unread.
func (s socket) hasHungUp() bool {
	if s.raw == nil {
		return false
	}
	closed := false
	err := s.raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	return err != nil || closed
}

// hungUp reports whether the peer of a connection has closed its side, without blocking.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents != 0
}

// waitHangUp blocks until the peer has closed its side, even if bytes are unread: a reader that is paused does not read
// up to the end of the stream. It returns nil once the peer has closed, and respects the connection's read deadline.
func (s socket) waitHangUp() error {
	if s.raw == nil {
		return os.ErrDeadlineExceeded
	}
	return s.raw.Read(hungUp)
}

// isTimeout reports whether an error is a timeout, such as a read or write deadline that passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
