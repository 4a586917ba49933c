package invariants

import "math"

// killBreakSeconds is how far from the end of a killed process its connections are seen to close.
const killBreakSeconds = 0.5

// checkAnswers is rule 1: each request that was sent gets exactly one answer, of a known kind, by its deadline, and no attempt goes
// out after it.
func (c *checker) checkAnswers() Rule {
	rule := Rule{Name: "1 final answer"}
	for _, request := range c.requests {
		if request.NotConnected {
			continue
		}
		rule.Checked++
		answeredAt := c.checkOneAnswer(&rule, request)
		for _, attempt := range c.attemptsOf[request.ID] {
			if attempt.At > answeredAt+c.bounds.SlackSeconds {
				rule.breach("command %d was delivered to unit %d %.3f s after its answer", request.ID, attempt.Endpoint, attempt.At-answeredAt)
			}
		}
	}
	for _, stray := range c.StrayAnswers {
		rule.breach("%s", stray)
	}
	return rule
}

// checkOneAnswer checks number, kind and time of a request's answers. It gives when the only one came, infinity otherwise.
func (c *checker) checkOneAnswer(rule *Rule, request *Request) (answeredAt float64) {
	switch n := len(request.Answers); {
	case n > 1:
		rule.breach("command %d got %d answers", request.ID, n)
	case n == 0 && request.AbandonedAt == 0 && !c.isExcused(request):
		rule.breach("command %d to %s at %.3f got no answer until %.3f (connection closed at %.3f)",
			request.ID, request.RouterGroup, request.SentAt, request.Deadline, request.ClosedAt)
	case n == 1:
		answer := request.Answers[0]
		if answer.Kind == "" {
			rule.breach("command %d got an answer of no kind", request.ID)
		}
		if answer.At > request.Deadline+c.bounds.SlackSeconds && !c.isExcused(request) {
			rule.breach("command %d was answered %.3f s after its client's time", request.ID, answer.At-request.Deadline)
		}
		return answer.At
	}
	return math.Inf(1)
}

// isExcused reports whether a request was with a process that owes it no answer in time.
func (c *checker) isExcused(request *Request) bool {
	for _, life := range c.Incarnations {
		if life.RouterGroup != request.RouterGroup || life.IsController {
			continue
		}
		if c.wasNeverAccepted(request, life) || wasKilledWith(request, life) || c.wasPausedWith(request, life) {
			return true
		}
	}
	return false
}

// wasNeverAccepted reports whether a request was written to an idle connection in the moment in which a draining process closed it:
// it met no endpoint.
func (c *checker) wasNeverAccepted(request *Request, life *Incarnation) bool {
	return life.DrainingFrom > 0 && request.ClosedAt >= life.DrainingFrom &&
		request.ClosedAt-request.SentAt < c.bounds.SlackSeconds && len(c.attemptsOf[request.ID]) == 0
}

// wasKilledWith reports whether the client saw the connection close just as the process was killed.
func wasKilledWith(request *Request, life *Incarnation) bool {
	return life.Killed && request.ClosedAt > 0 && math.Abs(request.ClosedAt-life.EndedAt) < killBreakSeconds
}

// wasPausedWith reports whether the process was paused while the request waited.
func (c *checker) wasPausedWith(request *Request, life *Incarnation) bool {
	for _, pause := range life.Pauses {
		if pause[0] <= request.Deadline && pause[1] >= request.SentAt-c.bounds.SlackSeconds {
			return true
		}
	}
	return false
}
