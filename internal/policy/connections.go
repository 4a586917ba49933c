package policy

// connFailureThreshold is the share of failed new connections above which open connections are preferred. A lower share
// is normal.
const connFailureThreshold = 0.1

// recordConnection records whether a connection to an endpoint is open and, for baseline endpoints, how often new
// connections have failed lately. Failures at a canary are left out: they may be caused by its build.
func (b *Balancer) recordConnection(now float64, e *endpoint, outcome Outcome) {
	newConn := outcome == NotConnected || outcome.IsAnswer() && !b.hasConnection(now, e)
	if newConn && !b.isCanary(e.build) {
		b.connFailures.add(now, failureDecaySeconds, averageWeight, outcome == NotConnected)
	}
	switch {
	case outcome == NotConnected:
		e.openConns = 0
	case outcome.IsAnswer():
		e.openConns, e.connConfirmedAt = (e.inFlight+b.config.RequestsPerConn-1)/b.config.RequestsPerConn, now
	}
}

// connFailureShare returns the share of new connections that failed lately.
func (b *Balancer) connFailureShare(now float64) float64 {
	return b.connFailures.valueAt(now, failureDecaySeconds)
}

// manyConnsFail reports whether so many new connections fail that open ones should be preferred.
func (b *Balancer) manyConnsFail(now float64) bool {
	return b.connFailureShare(now) > connFailureThreshold
}

// hasConnection reports whether an endpoint has an open connection with room for another attempt.
func (b *Balancer) hasConnection(now float64, e *endpoint) bool {
	return e.inFlight < e.openConns*b.config.RequestsPerConn && now-e.connConfirmedAt < b.config.ConnIdleSeconds
}
