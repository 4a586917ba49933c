package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket is a connection that can be written, and looked at, without waiting: whoever decides on a request writes for it, on
// any goroutine, and must not be held up by a peer that does not read. It may be used by many goroutines at once.
type socket struct {
	net.Conn
	raw syscall.RawConn // nil where there is none: then nothing is written without waiting
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

// writeNow writes what the kernel takes at once. A count below len(buf) without an error means that it would have to wait.
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

// peek looks at the first byte in the kernel without waiting or taking it. It returns 0 and no error once the peer has
// closed, and syscall.EAGAIN where there is nothing.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// hasUnread tells whether bytes lie unread in the kernel.
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

// hasUnreadOrClosed tells whether bytes lie unread in the kernel, or the peer has closed.
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

// waitReadable waits until there is something to read, or the connection has ended, without taking it. It ends by the
// connection's read deadline.
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

// waitHangUp waits until the peer has ended its side, whatever lies unread before that: a reader that takes nothing more
// would not see it. It ends by the connection's read deadline; nil means that the peer has.
func (s socket) waitHangUp() error {
	if s.raw == nil {
		return os.ErrDeadlineExceeded
	}
	return s.raw.Read(func(fd uintptr) bool {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		return err == nil && n > 0 && fds[0].Revents != 0
	})
}

// isTimeout tells whether an error is a read or write deadline that has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
