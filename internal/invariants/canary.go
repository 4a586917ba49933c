package invariants

import (
	"math"
	"sort"
)

// roundingTolerance is by how much the canary traffic limit may be exceeded because of floating-point rounding.
const roundingTolerance = 1e-9

// limitScope is the scope of one count of the canary traffic limit: a process or router group and, with
// CanaryLimitPerClass, a request class.
type limitScope struct {
	process *Incarnation
	class   string
}

func (c *checker) limitScopeOf(process *Incarnation, request *Request) limitScope {
	if c.bounds.CanaryLimitPerClass {
		return limitScope{process, request.Class}
	}
	return limitScope{process: process}
}

// checkCanaryLimit checks rule 5. In the window that ends with an attempt at a canary, the canary gets at most
// CanaryFreeAttempts attempts plus a share of the requests received in the window. In addition, guarded stages get
// idempotent requests only, and with OneWayKeys a key never moves back to an earlier build.
func (c *checker) checkCanaryLimit() RuleResult {
	rule := RuleResult{Name: "5 exposure"}
	receivedAt, attemptedAt := c.receivedAt(), map[limitScope][]float64{}
	oldestBuild := c.oldestBuild()
	newestBuilds := newestKeyBuilds{}
	for _, attempt := range c.Attempts {
		request, endpoint := c.Requests[attempt.RequestID], c.Endpoints[attempt.Endpoint]
		process := c.responsibleProcess(request.RouterGroup, request.SentAt)
		if process == nil || attempt.At > request.Deadline+c.bounds.SlackSeconds {
			continue
		}
		if c.bounds.OneWayKeys {
			c.checkOneWayKey(&rule, newestBuilds, process, request, endpoint, attempt)
		}
		loosest, since, isCanary := c.limitAt(process, endpoint.Build, attempt.At, oldestBuild)
		if !isCanary {
			continue
		}
		rule.Checked++
		scope := c.limitScopeOf(process, request)
		attemptedAt[scope] = append(attemptedAt[scope], attempt.At)
		windowStart := max(attempt.At-c.bounds.CanaryWindowSeconds, since)
		attempts := len(attemptedAt[scope]) - sort.SearchFloat64s(attemptedAt[scope], windowStart)
		received := countBetween(receivedAt[scope], attempt.At-c.bounds.CanaryWindowSeconds-c.bounds.SlackSeconds, attempt.At)
		limit := c.bounds.CanaryFreeAttempts + loosest.canaryLimit*float64(received)
		if float64(attempts) > limit+roundingTolerance {
			rule.addViolation("%s sent build %d (stage %d, canary limit %.2f) %d attempts in the window up to %.3f; the limit is %.1f for %d requests",
				request.RouterGroup, endpoint.Build, loosest.stage, loosest.canaryLimit, attempts, attempt.At, limit, received)
		}
		if loosest.canaryLimit == 0 {
			rule.addViolation("%s sent an attempt to build %d at canary limit 0", request.RouterGroup, endpoint.Build)
		}
		if loosest.stage < c.bounds.IdempotentOnlyStages && request.Idempotency != Idempotent {
			rule.addViolation("%s sent a request (%s) to build %d in guarded stage %d",
				request.RouterGroup, request.Idempotency, endpoint.Build, loosest.stage)
		}
	}
	return rule
}

// receivedAt returns, for each scope, the times at which requests were sent to it, in order.
func (c *checker) receivedAt() map[limitScope][]float64 {
	times := map[limitScope][]float64{}
	for _, request := range c.requests {
		process := c.responsibleProcess(request.RouterGroup, request.SentAt)
		if process == nil || request.NotConnected {
			continue
		}
		scope := c.limitScopeOf(process, request)
		times[scope] = append(times[scope], request.SentAt)
	}
	return times
}

// countBetween counts the times between from and to, both included. The times must be in ascending order.
func countBetween(times []float64, from, to float64) int {
	count := len(times) - sort.SearchFloat64s(times, from)
	for i := len(times) - 1; i >= 0 && times[i] > to; i-- {
		count--
	}
	return count
}

// oldestBuild returns the oldest build that any endpoint runs. That build is not a canary, even before the first
// release update.
func (c *checker) oldestBuild() int {
	oldest := math.MaxInt
	for _, endpoint := range c.Endpoints {
		oldest = min(oldest, endpoint.Build)
	}
	return oldest
}

// releaseState is the state of a release after an update, or the initial state before the first update.
type releaseState struct {
	at               float64
	build, stage     int // build is -1 before the first update
	phase            string
	canaryLimit      float64
	mayBeUndelivered bool // the update may not have reached the routers, so that the state before it may still apply
}

// forBuild returns the state as it applies to one build, or nil if the build is not a canary. A build newer than the
// state's is a canary in the first stage.
func (s releaseState) forBuild(build, oldestBuild int, firstLimit float64) *releaseState {
	isBaseline := s.build < 0 && build <= oldestBuild || s.build >= 0 && build < s.build
	isReleased := build == s.build && s.phase == phaseReleased
	switch {
	case isBaseline || isReleased:
		return nil
	case build > s.build:
		return &releaseState{s.at, build, 0, phaseCanary, firstLimit, s.mayBeUndelivered}
	}
	return &s
}

// releaseStates returns the release states that a process or router group was sent until the given time, in order.
func (c *checker) releaseStates(process *Incarnation, at float64) []releaseState {
	states := []releaseState{{at: process.StartedAt, build: -1, canaryLimit: c.bounds.CanaryLimits[0]}}
	for _, update := range c.ReleaseUpdates {
		if update.RouterGroup != process.RouterGroup || update.At < process.StartedAt || update.At > at {
			continue
		}
		// A higher limit may be used as soon as it was sent. A lower limit binds from when the routers surely know it.
		learned, sure := c.learnedAt(process.RouterGroup, update.At)
		states = append(states, releaseState{update.At, update.Build, update.Stage, update.Phase, update.CanaryLimit, !sure || learned > at})
	}
	return states
}

// limitAt returns the state that limits the attempts of a process or router group at a build at the given time: the
// loosest state that applied within the grace period. since is the time from which the last lower limit has been
// binding. A build that is not a canary, or was not one at some time within the grace period, is not limited.
func (c *checker) limitAt(process *Incarnation, build int, at float64, oldestBuild int) (loosest *releaseState, since float64, isCanary bool) {
	states := c.releaseStates(process, at)
	ofBuild := make([]*releaseState, len(states))
	for i, state := range states {
		ofBuild[i] = state.forBuild(build, oldestBuild, c.bounds.CanaryLimits[0])
	}
	loosest = ofBuild[len(ofBuild)-1]
	if loosest == nil {
		return nil, 0, false
	}
	for i, state := range ofBuild {
		if c.supersededAt(process, states[i+1:])+c.bounds.GraceSeconds+c.bounds.SlackSeconds < at {
			continue
		}
		if state == nil {
			return nil, 0, false
		}
		if state.canaryLimit > loosest.canaryLimit {
			loosest = state
		}
	}
	for i := 1; i < len(states); i++ {
		before, after := ofBuild[i-1], ofBuild[i]
		learned, _ := c.learnedAt(process.RouterGroup, states[i].at)
		isLower := after != nil && (before == nil || before.canaryLimit > after.canaryLimit)
		if isLower && !states[i].mayBeUndelivered && learned+c.bounds.GraceSeconds <= at {
			since = learned + c.bounds.GraceSeconds
		}
	}
	return loosest, since, true
}

// supersededAt returns when a state stopped applying, given the states that follow it: the time at which the first of
// them that was surely delivered was learned, or infinity if there is none.
func (c *checker) supersededAt(process *Incarnation, following []releaseState) float64 {
	for _, next := range following {
		if !next.mayBeUndelivered {
			learned, _ := c.learnedAt(process.RouterGroup, next.at)
			return learned
		}
	}
	return math.Inf(1)
}

// newestKeyBuilds holds the newest build that answered each key, by process or router group. A router that was killed
// and started again is another process and remembers no keys.
type newestKeyBuilds map[*Incarnation]map[string]keyBuild

type keyBuild struct {
	build int
	at    float64 // of the answer
}

// checkOneWayKey checks that a key is not sent to an earlier build than one that has answered it. If the attempt's
// endpoint answered the request, its build is added to newestBuilds.
func (c *checker) checkOneWayKey(rule *RuleResult, newestBuilds newestKeyBuilds, process *Incarnation, request *Request, endpoint *Endpoint, attempt *Attempt) {
	if request.Key == "" {
		return
	}
	if newestBuilds[process] == nil {
		newestBuilds[process] = map[string]keyBuild{}
	}
	newest, known := newestBuilds[process][request.Key]
	isEarlierBuild := known && endpoint.Build < newest.build && attempt.At > newest.at+c.bounds.SlackSeconds
	if isEarlierBuild && !c.wasRolledBack(request.RouterGroup, newest.build, attempt.At) {
		rule.addViolation("%s sent key %q to build %d after build %d had answered it", request.RouterGroup, request.Key, endpoint.Build, newest.build)
	}
	isAnswered := len(request.Answers) == 1 && request.Answers[0].Kind == kindSucceeded && request.Answers[0].Endpoint == attempt.Endpoint
	if isAnswered && endpoint.Build > newest.build {
		newestBuilds[process][request.Key] = keyBuild{endpoint.Build, request.Answers[0].At}
	}
}

// wasRolledBack reports whether a router group had been sent a rollback of a build by the given time.
func (c *checker) wasRolledBack(routerGroup string, build int, at float64) bool {
	for _, update := range c.ReleaseUpdates {
		isRollback := update.Phase == phaseRollingBack || update.Phase == phaseWithdrawn
		if update.RouterGroup == routerGroup && update.At <= at && update.Build == build && isRollback {
			return true
		}
	}
	return false
}
