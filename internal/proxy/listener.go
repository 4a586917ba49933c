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
	// acceptRetryDelay passes before accepting goes on after an error such as a want of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond

	// Beyond the hard limit of connections, a new one waits for evicted ones to close: so many times for so long.
	evictionPollTries    = 20
	evictionPollInterval = time.Millisecond

	// CloseListener waits for the kernel's queue to be empty, looking so many times: a process that accepts nothing for
	// a second accepts nothing any more.
	closePollTries    = 1000
	closePollInterval = time.Millisecond
)

// Serve accepts client connections until the listener is closed, and then returns nil. Connections that are open then go on.
func (p *Proxy) Serve(listener net.Listener) error {
	for {
		netConn, err := listener.Accept()
		switch {
		case err == nil:
			p.startClient(netConn)
		case isTemporary(err):
			p.log.Warn("accepting a connection failed, trying again", "error", err)
			time.Sleep(acceptRetryDelay)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			return err
		}
	}
}

func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// startClient has a new connection served, or answers that there are too many.
func (p *Proxy) startClient(netConn net.Conn) {
	conn := &clientConn{
		proxy:         p,
		socket:        newSocket(netConn),
		answerWritten: make(chan struct{}, 1),
		hostHash:      hashHost(netConn.RemoteAddr().String()),
		idleSince:     p.Now(),
	}
	if !p.admitClient(conn) {
		p.writeBestEffort(conn, p.protocol.tooManyConnections(p.currentConfig.Load().Document.Rules.MaxRetryAfterSeconds))
		netConn.Close()
		return
	}
	go p.serveClient(conn)
}

// admitClient enters a connection if the limits on connections and memory allow it, evicting another one where needed.
func (p *Proxy) admitClient(conn *clientConn) bool {
	outOfMemory := p.memory.wouldExceed(connOverheadBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := &p.currentConfig.Load().Document.Clients
	for try := 0; p.overCapacity(limits) && try < evictionPollTries; try++ {
		p.mu.Unlock()
		time.Sleep(evictionPollInterval)
		p.mu.Lock()
	}
	// After Close nobody would end the connection, nor wait for its goroutine.
	if p.closed || outOfMemory || p.overCapacity(limits) || !p.findPlace(limits) {
		p.stats.ClientsRefused++
		if outOfMemory {
			p.stats.MemoryRefused++
		}
		return false
	}
	p.memory.add(connOverheadBytes)
	p.clients[conn] = struct{}{}
	p.stats.ClientsAccepted++
	p.goroutines.Add(1)
	return true
}

// overCapacity tells whether so many connections are open, evicted ones included, that descriptors would run out. The
// caller holds p.mu.
func (p *Proxy) overCapacity(limits *config.Clients) bool {
	return limits.EvictIdleAbove > 0 && loadshed.OverCapacity(len(p.clients), limits.MaxConns)
}

// findPlace tells whether one more connection may be admitted: below the limit, or because another one could be evicted.
// From limits.EvictIdleAbove connections on, one is evicted for each that comes. The caller holds p.mu.
func (p *Proxy) findPlace(limits *config.Clients) bool {
	evicts := limits.EvictIdleAbove > 0 && len(p.clients) >= limits.EvictIdleAbove
	return evicts && p.evictClient() || len(p.clients) < limits.MaxConns
}

// evictClient has the connection close that the shedding rules choose, and returns false if they choose none. Its reader
// closes it; what it has begun to read meanwhile is served. The caller holds p.mu.
func (p *Proxy) evictClient() bool {
	now := p.Now()
	var victim *clientConn
	var victimState loadshed.ClientConn
	for conn := range p.clients {
		state := loadshed.ClientConn{Busy: conn.inFlight > 0, Reading: conn.reading, HasSentRequest: conn.hasSentRequest, IdleSince: conn.idleSince}
		if conn.evicted || state.Pinned() {
			continue
		}
		if (victim == nil || state.EvictBefore(now, victimState)) && !conn.socket.hasUnreadOrClosed() {
			victim, victimState = conn, state
		}
	}
	if victim == nil {
		return false
	}
	victim.evicted = true
	p.protocol.wakeReader(victim)
	return true
}

// serveClient serves an admitted connection to its end.
func (p *Proxy) serveClient(conn *clientConn) {
	defer p.goroutines.Done()
	defer p.removeClient(conn)
	p.protocol.serveClient(conn)
}

func (p *Proxy) removeClient(conn *clientConn) {
	p.mu.Lock()
	delete(p.clients, conn)
	p.mu.Unlock()
	conn.socket.Close()
	p.memory.add(-connOverheadBytes)
}

// CloseListener closes a listener once Serve, which is to go on meanwhile, has accepted what the kernel holds for it: closing
// it before would reset those connections, with the requests that they brought. It waits for a second at most.
func CloseListener(listener net.Listener) {
	defer listener.Close()
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	for try := 0; err == nil && try < closePollTries; try++ {
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
