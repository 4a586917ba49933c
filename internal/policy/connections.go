package policy

const rareConnFailures = 0.1 // share of new connections that fails without anything being unusual

// recordConnection notes whether a connection to an endpoint is open, and how often a new one to a baseline endpoint failed lately; at
// a canary that is a matter of its build.
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

// connFailureShare is the share of new connections that could not be made lately.
func (b *Balancer) connFailureShare(now float64) float64 {
	return b.connFailures.level(now, failureMemorySeconds)
}

// manyConnsFail tells whether so many new connections fail that the open ones are to be used first.
func (b *Balancer) manyConnsFail(now float64) bool { return b.connFailureShare(now) > rareConnFailures }

// hasConnection tells whether an endpoint has an open connection that can take another attempt.
func (b *Balancer) hasConnection(now float64, e *endpoint) bool {
	return e.inFlight < e.conns*b.config.RequestsPerConn && now-e.connSeenAt < b.config.ConnIdleSeconds
}
