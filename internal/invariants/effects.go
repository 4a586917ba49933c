package invariants

// checkEffects is rule 2: after an attempt that may have run, a non-idempotent request gets no other, and one that is idempotent with
// a key only gets others within its window and scope. Neither is rejected then, unless every endpoint recognises the key: a rejection
// tells the client that a retry is harmless.
func (c *checker) checkEffects() Rule {
	rule := Rule{Name: "2 effects"}
	for _, request := range c.requests {
		if request.Idempotency == Idempotent {
			continue
		}
		rule.Checked++
		var ran *Attempt // the first that may have run
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
			rule.breach("%s command %d was nacked though it may have run on unit %d", request.Idempotency, request.ID, ran.Endpoint)
		}
	}
	return rule
}

// checkRepeat checks an attempt that follows one that may have run.
func (c *checker) checkRepeat(rule *Rule, request *Request, ran, repeat *Attempt) {
	switch request.Idempotency {
	case NonIdempotent:
		rule.breach("at-most-once command %d went to unit %d, %.3f s after it may have run on unit %d",
			request.ID, repeat.Endpoint, repeat.At-ran.At, ran.Endpoint)
	case IdempotentWithKey:
		if repeat.At > ran.At+request.DedupWindowSeconds+c.bounds.SlackSeconds {
			rule.breach("deduplicated command %d was repeated after %.3f s", request.ID, repeat.At-ran.At)
		}
		if !c.inDedupScope(request.DedupScope, ran, repeat) {
			rule.breach("deduplicated command %d was repeated outside its %s", request.ID, request.DedupScope)
		}
	}
}

// inDedupScope reports whether the endpoint of a second attempt recognises the key of the first.
func (c *checker) inDedupScope(scope string, first, second *Attempt) bool {
	a, b := c.Endpoints[first.Endpoint], c.Endpoints[second.Endpoint]
	switch scope {
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a.Cell == b.Cell
	}
	return true
}
