package invariants

// checkDrains is rule 3: a grace after a process learned that an endpoint drains or is gone, no attempt goes there.
func (c *checker) checkDrains() Rule {
	rule := Rule{Name: "3 drains"}
	type relayEndpoint struct {
		relay    string
		endpoint uint32
	}
	updates := map[relayEndpoint][]EndpointUpdate{}
	for _, update := range c.EndpointUpdates {
		if !update.Ready {
			rule.Checked++
		}
		learned, sure := c.learnedAt(update.RouterGroup, update.At)
		if !sure && !update.Ready {
			continue
		}
		update.At = learned
		key := relayEndpoint{update.RouterGroup, update.Endpoint}
		updates[key] = append(updates[key], update)
	}
	for _, attempt := range c.Attempts {
		request := c.Requests[attempt.RequestID]
		life := c.responsibleLife(request.RouterGroup, request.SentAt)
		if life == nil {
			continue
		}
		since := notReadySince(updates[relayEndpoint{request.RouterGroup, attempt.Endpoint}], life.StartedAt, attempt.At)
		if since > 0 && attempt.At > since+c.bounds.GraceSeconds+c.bounds.SlackSeconds {
			rule.breach("%s delivered to unit %d %.3f s after it was told that the unit drains or is gone",
				request.RouterGroup, attempt.Endpoint, attempt.At-since)
		}
	}
	return rule
}

// notReadySince gives since when an endpoint has not been ready at an instant, by what came to a process that began at from; 0 if it
// is ready.
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
