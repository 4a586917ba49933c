package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flintspread/internal/config"
	"flintspread/internal/loadshed"
)

const (
	// acceptRetryDelay is the pause after a temporary accept error, such as running out of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond

	// admitClient polls until there is capacity for a connection, see capacityExpected.
	maxEvictionPolls     = 50
	evictionPollInterval = 2 * time.Millisecond

	// CloseListener polls for an empty accept queue, for about one second in all: a process that has not accepted all
	// connections by then is stuck.
	maxClosePolls     = 1000
	closePollInterval = time.Millisecond
)

// Serve accepts client connections until the listener is closed, and then returns nil. Accepted connections stay open.
func (p *Proxy) Serve(listener net.Listener) error {
	if err := p.limitSocketBuffers(listener); err != nil {
		p.log.Warn("failed to limit the kernel's buffers of client connections", "error", err)
	}
	for {
		netConn, err := listener.Accept()
		switch {
		case err == nil:
			p.startClient(netConn)
		case isTemporary(err):
			p.log.Warn("failed to accept a client connection; retrying", "error", err)
			time.Sleep(acceptRetryDelay)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			return err
		}
	}
}

// limitSocketBuffers limits the kernel's buffers of the connections that a listener accepts, if the settings say so.
// Otherwise a client that does not read, or whose requests are not read, would occupy several megabytes. The limit is set
// on the listener, since data may arrive before a connection is accepted.
func (p *Proxy) limitSocketBuffers(listener net.Listener) error {
	overload := p.settings.Overload
	conn, ok := listener.(syscall.Conn)
	if !ok || overload == nil || overload.SocketBufferBytes == 0 {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var receiveErr, sendErr error
	err = raw.Control(func(fd uintptr) {
		receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, overload.SocketBufferBytes)
		sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, overload.SocketBufferBytes)
	})
	return errors.Join(err, receiveErr, sendErr)
}

func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// startClient serves a new connection in its own goroutine. If the connection is not admitted, startClient sends the
// protocol's answer for too many connections and closes it.
func (p *Proxy) startClient(netConn net.Conn) {
	conn := &clientConn{
		proxy:         p,
		socket:        newSocket(netConn),
		answerWritten: make(chan struct{}, 1),
		hostHash:      hashHost(netConn.RemoteAddr().String()),
		idleSince:     p.Now(),
		memory:        memoryAccount{budget: &p.memory},
	}
	conn.answers.memory.account = &conn.memory
	if !p.admitClient(conn) {
		p.writeBestEffort(conn, p.protocol.tooManyConnections(p.currentConfig.Load().Document.Rules.MaxRetryAfterSeconds))
		netConn.Close()
		return
	}
	go p.serveClient(conn)
}

// admitClient registers a connection if the limits on connections and memory allow it, evicting another one if needed. It
// blocks for up to maxEvictionPolls * evictionPollInterval while others are about to close, or may be evicted soon.
func (p *Proxy) admitClient(conn *clientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := &p.currentConfig.Load().Document.Clients
	hasCapacity := !p.overCapacity(limits) && p.makeCapacity(limits)
	for try := 0; !hasCapacity && p.capacityExpected() && try < maxEvictionPolls; try++ {
		p.mu.Unlock()
		time.Sleep(evictionPollInterval)
		p.mu.Lock()
		hasCapacity = !p.overCapacity(limits) && p.makeCapacity(limits)
	}
	// Close would neither close a connection that is admitted after it, nor wait for the connection's goroutine.
	if p.closed || !hasCapacity {
		p.stats.ClientsRefused++
		if !p.memory.allowsConn() {
			p.stats.MemoryRefused++
		}
		return false
	}
	p.memory.addConn()
	p.clients[conn] = struct{}{}
	p.stats.ClientsAccepted++
	p.goroutines.Add(1)
	return true
}

// overCapacity reports whether so many connections are open, including evicted ones that have not closed yet, that file
// descriptors or memory could run out. The caller holds p.mu.
func (p *Proxy) overCapacity(limits *config.Clients) bool {
	return loadshed.OverCapacity(len(p.clients), limits.MaxConns) || p.memory.connsOverCapacity()
}

// capacityExpected reports whether it makes sense to wait: evicted connections are about to close, or connections that may
// not be evicted yet may be soon. The caller holds p.mu.
func (p *Proxy) capacityExpected() bool { return p.evictedOpen > 0 || p.evictionCandidates.soon }

// makeCapacity reports whether one more connection may be admitted, because the limits allow it or because another connection
// could be evicted. From limits.IdleEvictionThreshold connections on, each new connection evicts an idle one, if there is
// one. Without a threshold, clients may keep their idle connections. The caller holds p.mu.
func (p *Proxy) makeCapacity(limits *config.Clients) bool {
	full := len(p.clients) >= limits.MaxConns || !p.memory.allowsConn()
	keepsIdle := limits.IdleEvictionThreshold == 0
	switch {
	case full && keepsIdle:
		return p.evictClient(loadshed.EvictHarmful)
	case full:
		return p.evictClient(loadshed.EvictAny)
	case !keepsIdle && len(p.clients) >= limits.IdleEvictionThreshold:
		p.evictClient(loadshed.EvictIdle)
	}
	return !full
}

// serveClient serves an admitted connection until it ends.
func (p *Proxy) serveClient(conn *clientConn) {
	defer p.goroutines.Done()
	defer p.removeClient(conn)
	p.protocol.serveClient(conn)
}

func (p *Proxy) removeClient(conn *clientConn) {
	p.mu.Lock()
	delete(p.clients, conn)
	if conn.evicted {
		p.evictedOpen--
	}
	p.mu.Unlock()
	conn.socket.Close()
	conn.answers.close()
	p.memory.removeConn()
}

// CloseListener closes a listener once Serve, which must still be running, has accepted every connection in the
// kernel's accept queue. Closing it earlier would reset those connections and lose their requests. It blocks for about
// one second at most.
func CloseListener(listener net.Listener) {
	defer listener.Close()
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	for try := 0; err == nil && try < maxClosePolls; try++ {
		waiting := false
		err = raw.Control(func(fd uintptr) {
			n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
			waiting = err == nil && n > 0
		})
		if !waiting {
			return
		}
		time.Sleep(closePollInterval)
	}
}
