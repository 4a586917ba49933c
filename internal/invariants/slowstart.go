package invariants

// checkSlowStart checks rule 4: within any window of SlowStartOverloadSeconds, an endpoint in slow start gets no more
// work than SlowStartOverloadFactor times its present capacity. A single attempt is never a violation, however much
// work it is.
func (c *checker) checkSlowStart() RuleResult {
	rule := RuleResult{Name: "4 cold units"}
	attempts := map[uint32][]*Attempt{} // by endpoint
	for _, attempt := range c.Attempts {
		attempts[attempt.Endpoint] = append(attempts[attempt.Endpoint], attempt)
	}
	for id, endpoint := range c.Endpoints {
		c.checkWorkInSlowStart(&rule, endpoint, attempts[id])
		if endpoint.FailedAt > 0 {
			rule.addViolation("endpoint %d failed %.2f s after its start", id, endpoint.FailedAt-endpoint.StartedAt)
		}
	}
	return rule
}

// checkWorkInSlowStart slides the window over the attempts at one endpoint until its slow start is over.
func (c *checker) checkWorkInSlowStart(rule *RuleResult, endpoint *Endpoint, attempts []*Attempt) {
	window := c.bounds.SlowStartOverloadSeconds
	work, oldest := 0.0, 0 // work in the window, index of the first attempt in the window
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
			rule.addViolation("endpoint %d, %.2f s old, was sent %.2f s of work within %.1f s; the limit is %.2f", endpoint.ID, age, work, window, limit)
		}
	}
}

// capacityShare returns the share of its capacity that an endpoint has at the given time. In slow start the share grows
// linearly from SlowStartInitialShare to 1.
func (c *checker) capacityShare(endpoint *Endpoint, at float64) float64 {
	bounds := c.bounds
	if bounds.SlowStartSeconds <= 0 || at-endpoint.StartedAt >= bounds.SlowStartSeconds {
		return 1
	}
	return bounds.SlowStartInitialShare + (1-bounds.SlowStartInitialShare)*max(0, at-endpoint.StartedAt)/bounds.SlowStartSeconds
}
