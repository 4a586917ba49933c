package invariants

// checkSlowStart is rule 4: within SlowStartOverloadSeconds an endpoint in slow start gets no more work than SlowStartOverloadFactor
// times its present capacity. One attempt by itself is no breach, however much work it is.
func (c *checker) checkSlowStart() Rule {
	rule := Rule{Name: "4 cold units"}
	attempts := map[uint32][]*Attempt{} // by endpoint
	for _, attempt := range c.Attempts {
		attempts[attempt.Endpoint] = append(attempts[attempt.Endpoint], attempt)
	}
	for id, endpoint := range c.Endpoints {
		c.checkWorkInSlowStart(&rule, endpoint, attempts[id])
		if endpoint.FailedAt > 0 {
			rule.breach("unit %d fell over %.2f s after its start", id, endpoint.FailedAt-endpoint.StartedAt)
		}
	}
	return rule
}

// checkWorkInSlowStart moves the window over the attempts of one endpoint, until slow start is over.
func (c *checker) checkWorkInSlowStart(rule *Rule, endpoint *Endpoint, attempts []*Attempt) {
	window := c.bounds.SlowStartOverloadSeconds
	work, oldest := 0.0, 0 // of the window; index of its first attempt
	for i, attempt := range attempts {
		for work += attempt.WorkSeconds; attempts[oldest].At < attempt.At-window; oldest++ {
			work -= attempts[oldest].WorkSeconds
		}
		age := attempt.At - endpoint.StartedAt
		if age > c.bounds.SlowStartSeconds {
			return
		}
		rule.Checked++
		limit := c.bounds.SlowStartOverloadFactor * endpoint.Capacity * c.capacityShare(endpoint, attempt.At) * window
		if i > 0 && work > limit {
			rule.breach("unit %d, %.2f s old, was sent %.2f s of work within %.1f s; %.2f at most", endpoint.ID, age, work, window, limit)
		}
	}
}

// capacityShare is the share of its capacity that an endpoint has at an instant. It grows linearly from SlowStartInitialShare.
func (c *checker) capacityShare(endpoint *Endpoint, at float64) float64 {
	b := c.bounds
	if b.SlowStartSeconds <= 0 || at-endpoint.StartedAt >= b.SlowStartSeconds {
		return 1
	}
	return b.SlowStartInitialShare + (1-b.SlowStartInitialShare)*max(0, at-endpoint.StartedAt)/b.SlowStartSeconds
}
