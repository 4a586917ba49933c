package invariants

// checkEffects checks rule 2: after an attempt that may have run, a non-idempotent request gets no further attempt, and
// a request that is idempotent by its key gets further attempts only within its deduplication window and scope. Neither
// is rejected after such an attempt, because a rejection tells the client that a retry is harmless. The exception is a
// key that every endpoint recognises.
func (c *checker) checkEffects() RuleResult {
	rule := RuleResult{Name: "2 effects"}
	for _, request := range c.requests {
		if request.Idempotency == Idempotent {
			continue
		}
		rule.Checked++
		var ran *Attempt // the first attempt that may have run
		for _, attempt := range c.attemptsOf[request.ID] {
			if ran != nil {
				c.checkRepeat(&rule, request, ran, attempt)
			} else if attempt.mayHaveRun() {
				ran = attempt
			}
		}
		rejected := len(request.Answers) == 1 && request.Answers[0].Kind == kindRejected
		recognisedEverywhere := request.Idempotency == IdempotentWithKey && request.DedupScope == "all"
		if rejected && ran != nil && !recognisedEverywhere {
			rule.addViolation("%s request %d was rejected although it may have run on endpoint %d", request.Idempotency, request.ID, ran.Endpoint)
		}
	}
	return rule
}

// checkRepeat checks an attempt that follows an attempt of the same request that may have run.
func (c *checker) checkRepeat(rule *RuleResult, request *Request, ran, repeat *Attempt) {
	switch request.Idempotency {
	case NonIdempotent:
		rule.addViolation("at-most-once request %d was sent to endpoint %d, %.3f s after it may have run on endpoint %d",
			request.ID, repeat.Endpoint, repeat.At-ran.At, ran.Endpoint)
	case IdempotentWithKey:
		if repeat.At > ran.At+request.DedupWindowSeconds+c.bounds.SlackSeconds {
			rule.addViolation("deduplicated request %d was repeated after %.3f s", request.ID, repeat.At-ran.At)
		}
		if !c.inDedupScope(request.DedupScope, ran, repeat) {
			rule.addViolation("deduplicated request %d was repeated outside its %s", request.ID, request.DedupScope)
		}
	}
}

// inDedupScope reports whether the endpoint of the second attempt recognises a key that the endpoint of the first
// attempt has seen.
func (c *checker) inDedupScope(scope string, first, second *Attempt) bool {
	firstEndpoint, secondEndpoint := c.Endpoints[first.Endpoint], c.Endpoints[second.Endpoint]
	switch scope {
	case "zone":
		return firstEndpoint.Zone == secondEndpoint.Zone
	case "cell":
		return firstEndpoint.Cell == secondEndpoint.Cell
	}
	return true
}
