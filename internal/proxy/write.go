package proxy

import (
	"net"
	"syscall"
)

// socket is a connection that can be written without waiting: whoever decides on a command writes for it, on any
// goroutine, and must not be held up by a peer that does not read.
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

// writeNow writes what the kernel takes at once. A count below len(buf) without an error means that it would wait.
func (s socket) writeNow(buf []byte) (n int, err error) {
	if s.raw == nil {
		return 0, nil
	}
	done := s.raw.Write(func(fd uintptr) bool {
		for n < len(buf) {
			var m int
			if m, err = syscall.Write(int(fd), buf[n:]); err == syscall.EINTR {
				continue
			}
			n += max(m, 0)
			if err == syscall.EAGAIN {
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
		err = done
	}
	return n, err
}

// hasUnread tells whether something lies unread in the kernel, or the peer has closed.
func (s socket) hasUnread() bool {
	if s.raw == nil {
		return false
	}
	is := false
	s.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		is = err != syscall.EAGAIN
	})
	return is
}

// waitReadable waits until there is something to read, or the connection has ended, without taking it.
func (s socket) waitReadable() error {
	if s.raw == nil {
		return nil
	}
	return s.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		for {
			if _, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
				return err != syscall.EAGAIN
			}
		}
	})
}
