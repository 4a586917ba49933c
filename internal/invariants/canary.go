package invariants

import (
	"math"
	"sort"
)

// roundingTolerance is what the canary traffic limit may be exceeded by through rounding of its share.
const roundingTolerance = 1e-9

// counter is what the canary traffic limit counts apart: a process or relay, and, with CanaryLimitPerClass, a request class.
type counter struct {
	life  *Incarnation
	class string
}

func (c *checker) counterOf(life *Incarnation, request *Request) counter {
	if c.bounds.CanaryLimitPerClass {
		return counter{life, request.Class}
	}
	return counter{life: life}
}

// checkCanaryLimit is rule 5: at each attempt at a canary, the attempts at it in the window that ends there are at most the free ones
// and a share of the requests received in the window; guarded stages take idempotent requests only; and keys go one way.
func (c *checker) checkCanaryLimit() Rule {
	rule := Rule{Name: "5 exposure"}
	receivedAt, attemptedAt := c.receivedAt(), map[counter][]float64{}
	oldestBuild := c.oldestBuild()
	keys := keyBuilds{}
	for _, attempt := range c.Attempts {
		request, endpoint := c.Requests[attempt.RequestID], c.Endpoints[attempt.Endpoint]
		life := c.responsibleLife(request.RouterGroup, request.SentAt)
		if life == nil || attempt.At > request.Deadline+c.bounds.SlackSeconds {
			continue
		}
		if c.bounds.OneWayKeys {
			c.checkOneWayKey(&rule, keys, life, request, endpoint, attempt)
		}
		loosest, since, isCanary := c.limitAt(life, endpoint.Build, attempt.At, oldestBuild)
		if !isCanary {
			continue
		}
		rule.Checked++
		key := c.counterOf(life, request)
		attemptedAt[key] = append(attemptedAt[key], attempt.At)
		windowStart := max(attempt.At-c.bounds.CanaryWindowSeconds, since)
		attempts := len(attemptedAt[key]) - sort.SearchFloat64s(attemptedAt[key], windowStart)
		received := countBetween(receivedAt[key], attempt.At-c.bounds.CanaryWindowSeconds-c.bounds.SlackSeconds, attempt.At)
		limit := c.bounds.CanaryFreeAttempts + loosest.canaryLimit*float64(received)
		if float64(attempts) > limit+roundingTolerance {
			rule.breach("%s sent build %d (stage %d, cap %.2f) %d deliveries in the window up to %.3f; %.1f at most of %d commands",
				request.RouterGroup, endpoint.Build, loosest.stage, loosest.canaryLimit, attempts, attempt.At, limit, received)
		}
		if loosest.canaryLimit == 0 {
			rule.breach("%s delivered to build %d at cap 0", request.RouterGroup, endpoint.Build)
		}
		if loosest.stage < c.bounds.IdempotentOnlyStages && request.Idempotency != Idempotent {
			rule.breach("%s sent a %s command to build %d in guarded stage %d",
				request.RouterGroup, request.Idempotency, endpoint.Build, loosest.stage)
		}
	}
	return rule
}

// receivedAt gives when requests were sent to each process or relay, in order.
func (c *checker) receivedAt() map[counter][]float64 {
	instants := map[counter][]float64{}
	for _, request := range c.requests {
		life := c.responsibleLife(request.RouterGroup, request.SentAt)
		if life == nil || request.NotConnected {
			continue
		}
		key := c.counterOf(life, request)
		instants[key] = append(instants[key], request.SentAt)
	}
	return instants
}

// countBetween counts the instants from one to another, both included. The instants are in order.
func countBetween(instants []float64, from, to float64) int {
	count := len(instants) - sort.SearchFloat64s(instants, from)
	for i := len(instants) - 1; i >= 0 && instants[i] > to; i-- {
		count--
	}
	return count
}

// oldestBuild is the oldest build that an endpoint runs. It is no canary, even before the first release update.
func (c *checker) oldestBuild() int {
	oldest := math.MaxInt
	for _, endpoint := range c.Endpoints {
		oldest = min(oldest, endpoint.Build)
	}
	return oldest
}

// releaseState is what a release update says, or what holds before the first.
type releaseState struct {
	at           float64
	build, stage int // build is -1 before the first update
	phase        string
	canaryLimit  float64
	unsure       bool // it may not have reached the routers: what was told before may hold on
}

// of gives what the state says of one build, nil where the build is no canary. A build newer than the state's is a canary in the first
// stage.
func (s releaseState) of(build, oldestBuild int, firstLimit float64) *releaseState {
	isBaseline := s.build < 0 && build <= oldestBuild || s.build >= 0 && build < s.build
	isReleased := build == s.build && s.phase == phaseReleased
	switch {
	case isBaseline || isReleased:
		return nil
	case build > s.build:
		return &releaseState{s.at, build, 0, phaseCanary, firstLimit, s.unsure}
	}
	return &s
}

// releaseStates gives what a process or relay was told of releases until an instant, in order.
func (c *checker) releaseStates(life *Incarnation, at float64) []releaseState {
	states := []releaseState{{at: life.StartedAt, build: -1, canaryLimit: c.bounds.CanaryLimits[0]}}
	for _, update := range c.ReleaseUpdates {
		if update.RouterGroup != life.RouterGroup || update.At < life.StartedAt || update.At > at {
			continue
		}
		// What loosens may be used from when it was told, what tightens binds from when it is known for sure.
		learned, sure := c.learnedAt(life.RouterGroup, update.At)
		states = append(states, releaseState{update.At, update.Build, update.Stage, update.Phase, update.CanaryLimit, !sure || learned > at})
	}
	return states
}

// limitAt gives what limits the attempts of a process or relay at a build at an instant: the loosest state that held within the grace,
// and since when the last lower limit has been binding. A build that is no canary, or was none within the grace, is not limited.
func (c *checker) limitAt(life *Incarnation, build int, at float64, oldestBuild int) (loosest *releaseState, since float64, isCanary bool) {
	states := c.releaseStates(life, at)
	ofBuild := make([]*releaseState, len(states))
	for i, state := range states {
		ofBuild[i] = state.of(build, oldestBuild, c.bounds.CanaryLimits[0])
	}
	loosest = ofBuild[len(ofBuild)-1]
	if loosest == nil {
		return nil, 0, false
	}
	for i, state := range ofBuild {
		if c.heldUntil(life, states[i+1:])+c.bounds.GraceSeconds+c.bounds.SlackSeconds < at {
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
		learned, _ := c.learnedAt(life.RouterGroup, states[i].at)
		isLower := after != nil && (before == nil || before.canaryLimit > after.canaryLimit)
		if isLower && !states[i].unsure && learned+c.bounds.GraceSeconds <= at {
			since = learned + c.bounds.GraceSeconds
		}
	}
	return loosest, since, true
}

// heldUntil is when a state ended that these states follow: when the first sure one of them was learned, infinity if there is none.
func (c *checker) heldUntil(life *Incarnation, following []releaseState) float64 {
	for _, next := range following {
		if !next.unsure {
			learned, _ := c.learnedAt(life.RouterGroup, next.at)
			return learned
		}
	}
	return math.Inf(1)
}

// keyBuilds holds the newest build that answered a key, for each process or relay: what a killed one remembered is gone.
type keyBuilds map[*Incarnation]map[string]keyBuild

type keyBuild struct {
	build int
	at    float64 // of the answer
}

// checkOneWayKey checks that a key does not go to an earlier build than one that answered it, and notes an answer.
func (c *checker) checkOneWayKey(rule *Rule, keys keyBuilds, life *Incarnation, request *Request, endpoint *Endpoint, attempt *Attempt) {
	if request.Key == "" {
		return
	}
	if keys[life] == nil {
		keys[life] = map[string]keyBuild{}
	}
	newest, known := keys[life][request.Key]
	wentBack := known && endpoint.Build < newest.build && attempt.At > newest.at+c.bounds.SlackSeconds
	if wentBack && !c.wasRolledBack(request.RouterGroup, newest.build, attempt.At) {
		rule.breach("%s sent key %q to build %d after build %d had answered it", request.RouterGroup, request.Key, endpoint.Build, newest.build)
	}
	isAnswered := len(request.Answers) == 1 && request.Answers[0].Kind == kindSucceeded && request.Answers[0].Endpoint == attempt.Endpoint
	if isAnswered && endpoint.Build > newest.build {
		keys[life][request.Key] = keyBuild{endpoint.Build, request.Answers[0].At}
	}
}

// wasRolledBack reports whether a relay was told until an instant that a build is rolled back.
func (c *checker) wasRolledBack(relay string, build int, at float64) bool {
	for _, update := range c.ReleaseUpdates {
		isRollback := update.Phase == phaseRollingBack || update.Phase == phaseWithdrawn
		if update.RouterGroup == relay && update.At <= at && update.Build == build && isRollback {
			return true
		}
	}
	return false
}
