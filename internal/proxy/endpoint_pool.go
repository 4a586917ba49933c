package proxy

import (
	"flintspread/internal/config"
	"flintspread/internal/endpoints"
)

// endpointPool holds the connections to one endpoint process. It is guarded by Proxy.mu.
type endpointPool struct {
	id        uint32
	addr      string
	usable    bool // attempts may be sent: the process is in the endpoint list and is not draining
	build     int
	startedAt float64
	zone      uint16
	cell      uint16
	idle      []*endpointConn // longest idle first; reused from the end
	connCount int             // idle, busy and dialing connections
}

// updatePool updates an endpoint's pool to match its entry in the endpoint list. The caller holds p.mu.
func (p *Proxy) updatePool(endpoint endpoints.Endpoint, effects *effects) {
	pool := p.pools[endpoint.ID]
	if endpoint.State == endpoints.StateGone {
		if pool != nil {
			pool.usable = false
		}
		return
	}
	if pool != nil && !pool.sameProcess(endpoint) {
		// Attempts in flight at the previous process run to their end; their connections are not reused.
		pool.usable = false
		for len(pool.idle) > 0 {
			p.removeConn(pool.idle[0], effects)
		}
		pool = nil
	}
	if pool == nil {
		pool = &endpointPool{id: endpoint.ID, addr: endpoint.Addr, build: endpoint.Build, startedAt: endpoint.StartedAt}
		p.pools[endpoint.ID] = pool
	}
	pool.usable, pool.zone, pool.cell = endpoint.State != endpoints.StateDraining, endpoint.Zone, endpoint.Cell
}

func (pool *endpointPool) sameProcess(endpoint endpoints.Endpoint) bool {
	return pool.addr == endpoint.Addr && pool.build == endpoint.Build && pool.startedAt == endpoint.StartedAt
}

// removeUnusedPools removes the pools that are not usable and have no connections left. The caller holds p.mu.
func (p *Proxy) removeUnusedPools() {
	for id, pool := range p.pools {
		if !pool.usable && pool.connCount == 0 {
			delete(p.pools, id)
		}
	}
}

// closeIdleConns closes idle connections that exceeded the idle timeout or whose endpoint is no longer usable. The
// caller holds p.mu.
func (p *Proxy) closeIdleConns(now float64, effects *effects) {
	maxIdleSeconds := p.currentConfig.Load().Document.Endpoints.IdleTimeoutSeconds
	for _, pool := range p.pools {
		n := 0
		for n < len(pool.idle) && (!pool.usable || now-pool.idle[n].idleSince > maxIdleSeconds) {
			n++
		}
		for _, conn := range append([]*endpointConn(nil), pool.idle[:n]...) {
			p.removeConn(conn, effects)
		}
	}
	p.removeUnusedPools()
}

// removeConn removes a connection from its pool and adds it to the connections to close. The caller holds p.mu.
func (p *Proxy) removeConn(conn *endpointConn, effects *effects) {
	if conn.removed {
		return
	}
	conn.removed = true
	delete(p.endpointConns, conn)
	pool := conn.pool
	pool.connCount--
	for i, other := range pool.idle {
		if other == conn {
			pool.idle = append(pool.idle[:i], pool.idle[i+1:]...)
			break
		}
	}
	effects.connsToClose = append(effects.connsToClose, conn)
}

// assignConn assigns a connection to an attempt: an idle one or, within the connection limits, a new one. It returns
// false if neither is available or the endpoint is no longer usable. The caller holds p.mu.
func (p *Proxy) assignConn(attempt *attempt, effects *effects) bool {
	pool := p.pools[attempt.endpointID]
	if pool == nil || !pool.usable {
		return false
	}
	limits := &p.currentConfig.Load().Document.Endpoints
	if conn := p.takeIdleConn(pool, attempt.startedAt, limits.IdleTimeoutSeconds, effects); conn != nil {
		conn.attempt, attempt.conn, attempt.assignedConn = attempt, conn, conn
		effects.writeLater(attempt)
		return true
	}
	if pool.connCount >= limits.MaxConnsPerEndpoint || !p.mayDial(limits, effects) {
		return false
	}
	p.dial(pool, attempt)
	return true
}

// takeIdleConn removes the most recently used connection from the pool's idle list and returns it, or nil if there is
// none. It closes unusable connections that it encounters. It skips a connection that is within its reuse delay: if the
// endpoint sends more bytes after its answer, they would be mistaken for the new attempt's answer. The caller holds
// p.mu.
func (p *Proxy) takeIdleConn(pool *endpointPool, now, maxIdleSeconds float64, effects *effects) *endpointConn {
	for n := len(pool.idle); n > 0; n-- {
		conn := pool.idle[n-1]
		idleSeconds := now - conn.idleSince
		if idleSeconds < p.connReuseDelaySeconds {
			continue
		}
		// The idle sweep may not have run since the idle timeout, nor the connection's reader since the endpoint made the
		// connection unusable.
		if idleSeconds > maxIdleSeconds || conn.unusable() {
			p.removeConn(conn, effects)
			continue
		}
		pool.idle = append(pool.idle[:n-1], pool.idle[n:]...)
		return conn
	}
	return nil
}

// freeConn makes a connection idle if it is reusable and its pool is usable, and otherwise removes it. It reports whether the
// connection is kept. The caller holds p.mu.
func (p *Proxy) freeConn(now float64, conn *endpointConn, reusable bool, effects *effects) bool {
	if !reusable || conn.removed || !conn.pool.usable {
		p.removeConn(conn, effects)
		return false
	}
	conn.idleSince = now
	conn.pool.idle = append(conn.pool.idle, conn)
	return true
}

// mayDial reports whether the limit on all endpoint connections allows one more. It closes an idle one if needed. The
// caller holds p.mu.
func (p *Proxy) mayDial(limits *config.Endpoints, effects *effects) bool {
	return limits.MaxConns <= 0 || len(p.endpointConns) < limits.MaxConns || p.removeLongestIdle(effects)
}

// removeLongestIdle closes the connection that has been idle longest in any pool. It returns false if none is idle. The
// caller holds p.mu.
func (p *Proxy) removeLongestIdle(effects *effects) bool {
	var longestIdle *endpointConn
	for _, pool := range p.pools {
		if len(pool.idle) > 0 && (longestIdle == nil || pool.idle[0].idleSince < longestIdle.idleSince) {
			longestIdle = pool.idle[0]
		}
	}
	if longestIdle != nil {
		p.removeConn(longestIdle, effects)
	}
	return longestIdle != nil
}
