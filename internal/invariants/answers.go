package invariants

import "math"

// killCloseToleranceSeconds is the largest difference between the end of a killed process and the time at which a
// client sees its connection to the process close.
const killCloseToleranceSeconds = 0.5

// checkAnswers checks rule 1: each request that was sent gets exactly one answer of a known kind by its deadline, and
// no attempt is sent after the answer.
func (c *checker) checkAnswers() RuleResult {
	rule := RuleResult{Name: "1 final answer"}
	for _, request := range c.requests {
		if request.NotConnected {
			continue
		}
		rule.Checked++
		answeredAt := c.checkOneAnswer(&rule, request)
		for _, attempt := range c.attemptsOf[request.ID] {
			if attempt.At > answeredAt+c.bounds.SlackSeconds {
				rule.addViolation("request %d was sent to endpoint %d %.3f s after its answer", request.ID, attempt.Endpoint, attempt.At-answeredAt)
			}
		}
	}
	for _, unexpected := range c.UnexpectedAnswers {
		rule.addViolation("%s", unexpected)
	}
	return rule
}

// checkOneAnswer checks the number, kind and time of a request's answers. It returns the time of the answer, or
// infinity if there is not exactly one.
func (c *checker) checkOneAnswer(rule *RuleResult, request *Request) (answeredAt float64) {
	switch n := len(request.Answers); {
	case n > 1:
		rule.addViolation("request %d got %d answers", request.ID, n)
	case n == 0 && request.AbandonedAt == 0 && !c.isExcused(request):
		rule.addViolation("request %d to %s at %.3f got no answer until %.3f (connection closed at %.3f)",
			request.ID, request.RouterGroup, request.SentAt, request.Deadline, request.ClosedAt)
	case n == 1:
		answer := request.Answers[0]
		if answer.Kind == "" {
			rule.addViolation("request %d got an answer of unknown kind", request.ID)
		}
		if answer.At > request.Deadline+c.bounds.SlackSeconds && !c.isExcused(request) {
			rule.addViolation("request %d was answered %.3f s after its deadline", request.ID, answer.At-request.Deadline)
		}
		return answer.At
	}
	return math.Inf(1)
}

// isExcused reports whether a request may miss its answer or get it late, because the router process that held it was
// draining, killed or paused.
func (c *checker) isExcused(request *Request) bool {
	for _, process := range c.Incarnations {
		if process.RouterGroup != request.RouterGroup || process.IsController {
			continue
		}
		if c.closedByDraining(request, process) || closedByKill(request, process) || c.pausedDuring(request, process) {
			return true
		}
	}
	return false
}

// closedByDraining reports whether a request was written to an idle connection just as a draining process closed the
// connection. Such a request reaches no endpoint.
func (c *checker) closedByDraining(request *Request, process *Incarnation) bool {
	return process.DrainingFrom > 0 && request.ClosedAt >= process.DrainingFrom &&
		request.ClosedAt-request.SentAt < c.bounds.SlackSeconds && len(c.attemptsOf[request.ID]) == 0
}

// closedByKill reports whether the client saw its connection close when the process was killed.
func closedByKill(request *Request, process *Incarnation) bool {
	return process.Killed && request.ClosedAt > 0 && math.Abs(request.ClosedAt-process.EndedAt) < killCloseToleranceSeconds
}

// pausedDuring reports whether the process was paused while the request waited for its answer.
func (c *checker) pausedDuring(request *Request, process *Incarnation) bool {
	for _, pause := range process.Pauses {
		if pause[0] <= request.Deadline && pause[1] >= request.SentAt-c.bounds.SlackSeconds {
			return true
		}
	}
	return false
}
