package invariants

import (
	"fmt"
	"slices"
	"sort"
)

// Bounds holds the parameters of the rules, as in the routers' settings.
type Bounds struct {
	SlackSeconds             float64 // allowance for scheduling delays between events on different sockets
	GraceSeconds             float64 // time within which drains and lower canary limits must take effect
	SlowStartInitialShare    float64
	SlowStartSeconds         float64
	SlowStartOverloadFactor  float64
	SlowStartOverloadSeconds float64
	CanaryWindowSeconds      float64
	CanaryFreeAttempts       float64
	CanaryLimits             []float64
	CanaryLimitPerClass      bool
	IdempotentOnlyStages     int
	OneWayKeys               bool
}

// maxShownViolations is the number of violations of a rule that a report describes individually.
const maxShownViolations = 5

// RuleResult is the result of checking one rule.
type RuleResult struct {
	Name            string   `json:"name"`
	Checked         int      `json:"checked"` // number of cases to which the rule applied
	Violations      int      `json:"broken"`
	FirstViolations []string `json:"first,omitempty"` // at most maxShownViolations
}

func (r *RuleResult) addViolation(format string, args ...any) {
	r.Violations++
	if len(r.FirstViolations) < maxShownViolations {
		r.FirstViolations = append(r.FirstViolations, fmt.Sprintf(format, args...))
	}
}

// Report holds the results of all rules, in their order, and the service that clients got.
type Report struct {
	Rules []RuleResult `json:"rules"`
	// Requests is the number of requests that clients sent, retries included.
	Requests int `json:"asked"`
	// Answers counts the requests by kind of answer, or by the reason why there is none.
	Answers map[string]int `json:"answers"`
	// Service is the share, by priority weight, of the requests that were answered correctly within their objective.
	Service         float64            `json:"service"`
	ServiceByClass  map[string]float64 `json:"service_by_op"`
	WrongAnswers    int                `json:"wrong_answers"`
	AttemptsByBuild map[int]int        `json:"deliveries_by_build"`
	// SucceededWithoutController is for requests sent while their router group's controller was down or paused,
	// SucceededWithController for all others.
	SucceededWithController    LatencyQuantiles `json:"acked_in_s"`
	SucceededWithoutController LatencyQuantiles `json:"acked_in_s_without_planner"`
}

// Passed reports whether no rule was violated.
func (r *Report) Passed() bool {
	return !slices.ContainsFunc(r.Rules, func(rule RuleResult) bool { return rule.Violations > 0 })
}

// Check checks all rules against a record, which must not be written any more. It sorts the record's attempts by time.
func Check(record *Record, bounds Bounds) *Report {
	c := newChecker(record, bounds)
	report := &Report{Rules: []RuleResult{
		c.checkAnswers(),
		c.checkEffects(),
		c.checkDrains(),
		c.checkSlowStart(),
		c.checkCanaryLimit(),
	}}
	c.measureService(report)
	return report
}

// checker holds a record and the indexes that the rules share.
type checker struct {
	*Record
	bounds           Bounds
	requests         []*Request              // ordered by SentAt
	attemptsOf       map[uint64][]*Attempt   // by request ID, ordered by time
	controlledGroups map[string]*Incarnation // by group with a controller: stands for the whole group
}

func newChecker(record *Record, bounds Bounds) *checker {
	c := &checker{Record: record, bounds: bounds, attemptsOf: map[uint64][]*Attempt{}, controlledGroups: map[string]*Incarnation{}}
	for _, process := range record.Incarnations {
		if process.IsController && c.controlledGroups[process.RouterGroup] == nil {
			c.controlledGroups[process.RouterGroup] = &Incarnation{RouterGroup: process.RouterGroup}
		}
	}
	for _, request := range record.Requests {
		c.requests = append(c.requests, request)
	}
	sort.Slice(c.requests, func(i, j int) bool { return c.requests[i].SentAt < c.requests[j].SentAt })
	sort.SliceStable(record.Attempts, func(i, j int) bool { return record.Attempts[i].At < record.Attempts[j].At })
	for _, attempt := range record.Attempts {
		c.attemptsOf[attempt.RequestID] = append(c.attemptsOf[attempt.RequestID], attempt)
	}
	return c
}

// responsibleProcess returns the process that must keep rules 3 and 5 for a router group at the given time, or nil if
// there is none. If the group has a controller, the group as a whole is responsible: the attempts of all its routers
// count together, and those of a router that died still count.
func (c *checker) responsibleProcess(routerGroup string, at float64) *Incarnation {
	if wholeGroup := c.controlledGroups[routerGroup]; wholeGroup != nil {
		return wholeGroup
	}
	var found *Incarnation
	for _, process := range c.Incarnations {
		if process.RouterGroup == routerGroup && process.covers(at) {
			found = process
		}
	}
	return found
}

// propagationSeconds is how long a controller must keep running after it received an update for its routers to have the
// update too.
const propagationSeconds = 0.3

// learnedAt returns when a router group learned of an update that it was sent at the given time, and whether that is
// sure. A controller that was killed right afterwards may have passed the update on to no router, and a paused
// controller reads it only after it is resumed.
func (c *checker) learnedAt(routerGroup string, at float64) (learned float64, sure bool) {
	if c.controlledGroups[routerGroup] == nil {
		return at, true
	}
	for _, process := range c.Incarnations {
		if !process.IsController || process.RouterGroup != routerGroup || process.StartedAt > at || process.EndedAt > 0 && process.EndedAt < at {
			continue
		}
		at = process.afterPauses(at)
		sure = process.EndedAt == 0 || process.EndedAt > at+propagationSeconds
	}
	return at, sure
}

// afterPauses returns the given time, moved to the end of any pause that contains it or that begins within
// propagationSeconds after it.
func (p *Incarnation) afterPauses(at float64) float64 {
	for moved := true; moved; {
		moved = false
		for _, pause := range p.Pauses {
			if pause[0] <= at+propagationSeconds && at < pause[1] {
				at, moved = pause[1], true
			}
		}
	}
	return at
}
