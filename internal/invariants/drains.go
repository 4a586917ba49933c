package invariants

// checkDrains checks rule 3: once the grace period has passed since a process learned that an endpoint is draining or
// gone, the process sends no attempts there.
func (c *checker) checkDrains() RuleResult {
	rule := RuleResult{Name: "3 drains"}
	type groupEndpoint struct {
		routerGroup string
		endpoint    uint32
	}
	updates := map[groupEndpoint][]EndpointUpdate{}
	for _, update := range c.EndpointUpdates {
		if !update.Ready {
			rule.Checked++
		}
		learned, sure := c.learnedAt(update.RouterGroup, update.At)
		if !sure && !update.Ready {
			continue
		}
		update.At = learned
		key := groupEndpoint{update.RouterGroup, update.Endpoint}
		updates[key] = append(updates[key], update)
	}
	for _, attempt := range c.Attempts {
		request := c.Requests[attempt.RequestID]
		process := c.responsibleProcess(request.RouterGroup, request.SentAt)
		if process == nil {
			continue
		}
		since := notReadySince(updates[groupEndpoint{request.RouterGroup, attempt.Endpoint}], process.StartedAt, attempt.At)
		if since > 0 && attempt.At > since+c.bounds.GraceSeconds+c.bounds.SlackSeconds {
			rule.addViolation("%s sent an attempt to endpoint %d %.3f s after learning that the endpoint is draining or gone",
				request.RouterGroup, attempt.Endpoint, attempt.At-since)
		}
	}
	return rule
}

// notReadySince returns the time since which an endpoint has not been ready, as of the time at, according to the
// updates that a process received since its start at from. It returns 0 if the endpoint is ready.
func notReadySince(updates []EndpointUpdate, from, at float64) (since float64) {
	for _, update := range updates {
		switch {
		case update.At > at || update.At < from:
		case update.Ready:
			since = 0
		case since == 0:
			since = update.At
		}
	}
	return since
}
