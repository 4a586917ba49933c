package proxy

import "flintspread/internal/loadshed"

// evictionCandidates is the result of the last search for client connections to evict. It is guarded by Proxy.mu.
type evictionCandidates struct {
	conns      []*clientConn // first to last
	scope      loadshed.EvictionScope
	searchedAt float64
	soon       bool // others may be evicted soon
}

// evictClient marks the connection that is first in loadshed's eviction order as evicted and wakes its reader, which
// closes it. It returns false if no connection may be evicted. A request that arrives on the connection before its
// reader wakes is still served. The caller holds p.mu.
func (p *Proxy) evictClient(scope loadshed.EvictionScope) bool {
	now := p.Now()
	last := &p.evictionCandidates
	if last.scope == scope && loadshed.EvictionSearchFresh(now-last.searchedAt) && p.evictCandidate(now) {
		return true
	}
	search := loadshed.NewEvictionSearch[*clientConn](now, scope)
	for conn := range p.clients {
		if !conn.evicted {
			search.Add(conn, conn.evictionState())
		}
	}
	*last = evictionCandidates{conns: search.Candidates(), scope: scope, searchedAt: now, soon: search.SoonEvictable()}
	return p.evictCandidate(now)
}

// evictCandidate evicts the first of evictionCandidates that may be evicted, and removes it from them with those before
// it. It returns false if none may be evicted. The caller holds p.mu.
func (p *Proxy) evictCandidate(now float64) bool {
	last := &p.evictionCandidates
	for len(last.conns) > 0 {
		conn := last.conns[0]
		last.conns[0] = nil
		last.conns = last.conns[1:]
		if _, open := p.clients[conn]; open && !conn.evicted && conn.evictionState().Evictable(now, last.scope) && conn.mayEvict() {
			p.markEvicted(conn, now)
			p.protocol.wakeReader(conn)
			return true
		}
	}
	return false
}

// markEvicted marks a connection as evicted. The caller holds p.mu.
func (p *Proxy) markEvicted(conn *clientConn, now float64) {
	conn.evicted, conn.evictedAt = true, now
	p.evictedOpen++
}

// isEvicted reports whether the connection must close to make room for another one.
func (conn *clientConn) isEvicted() bool {
	conn.proxy.mu.Lock()
	defer conn.proxy.mu.Unlock()
	return conn.evicted
}

// evictionOverdue reports whether the connection was evicted and must accept no further request.
func (conn *clientConn) evictionOverdue() bool {
	p := conn.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return conn.evicted && loadshed.EvictionOverdue(p.Now()-conn.evictedAt)
}

// evictionState returns the state that decides about the connection's eviction. The caller holds Proxy.mu.
func (conn *clientConn) evictionState() loadshed.ClientConn {
	return loadshed.ClientConn{
		Lingering:      conn.lingering,
		Busy:           conn.inFlight > 0,
		Delayed:        conn.delayed,
		Reading:        conn.reading,
		ReadingSince:   conn.readingSince,
		HasSentRequest: conn.hasSentRequest,
		IdleSince:      conn.idleSince,
	}
}

// mayEvict reports whether no request has arrived on the connection since its reader last looked. Clients that are slow,
// delayed or lingering may have sent more. The caller holds Proxy.mu.
func (conn *clientConn) mayEvict() bool {
	return conn.reading || conn.delayed || conn.lingering || !conn.socket.hasUnreadOrClosed()
}
