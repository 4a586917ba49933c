package policy

const rareConnFailures = 0.1 // share of new connections whose failure is nothing unusual

// recordConnection records whether a connection to an endpoint is open and, for baseline endpoints, how often new
// connections have failed lately. Failures at a canary are left out: they may be caused by its build.
func (b *Balancer) recordConnection(now float64, e *endpoint, outcome Outcome) {
	newConn := outcome == NotConnected || outcome.IsAnswer() && !b.hasConnection(now, e)
	if newConn && !b.isCanary(e.build) {
		b.connFailures.add(now, failureMemorySeconds, averageWeight, outcome == NotConnected)
	}
	switch {
	case outcome == NotConnected:
		e.conns = 0
	case outcome.IsAnswer():
		e.conns, e.connSeenAt = (e.inFlight+b.config.RequestsPerConn-1)/b.config.RequestsPerConn, now
	}
}

// connFailureShare returns the share of new connections that failed lately.
func (b *Balancer) connFailureShare(now float64) float64 {
	return b.connFailures.level(now, failureMemorySeconds)
}

// manyConnsFail reports whether so many new connections fail that open ones should be preferred.
func (b *Balancer) manyConnsFail(now float64) bool { return b.connFailureShare(now) > rareConnFailures }

// hasConnection reports whether an endpoint has an open connection with room for another attempt.
func (b *Balancer) hasConnection(now float64, e *endpoint) bool {
	return e.inFlight < e.conns*b.config.RequestsPerConn && now-e.connSeenAt < b.config.ConnIdleSeconds
}
