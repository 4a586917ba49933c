package invariants

import (
	"fmt"
	"slices"
	"sort"
)

// Bounds are the numbers behind the rules, as the relays' settings give them.
type Bounds struct {
	SlackSeconds             float64 // what the instants of two sockets may be apart through scheduling
	GraceSeconds             float64 // within which drains and lower canary limits must be followed
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

// maxShownBreaches is the number of breaches of a rule that are told one by one.
const maxShownBreaches = 5

// Rule is what became of one rule.
type Rule struct {
	Name            string   `json:"name"`
	Checked         int      `json:"checked"` // cases in which it could have been broken
	Violations      int      `json:"broken"`
	FirstViolations []string `json:"first,omitempty"` // the first breaches
}

func (r *Rule) breach(format string, args ...any) {
	r.Violations++
	if len(r.FirstViolations) < maxShownBreaches {
		r.FirstViolations = append(r.FirstViolations, fmt.Sprintf(format, args...))
	}
}

// Report is what a record shows: the rules, in their order, and the service that clients got.
type Report struct {
	Rules                      []Rule             `json:"rules"`
	Requests                   int                `json:"asked"`         // tries
	Answers                    map[string]int     `json:"answers"`       // tries by kind of answer, or what took its place
	Service                    float64            `json:"service"`       // weight of requests answered rightly within their objective, as a share of all
	ServiceByClass             map[string]float64 `json:"service_by_op"` // the same by request class
	WrongAnswers               int                `json:"wrong_answers"`
	AttemptsByBuild            map[int]int        `json:"deliveries_by_build"` // attempts
	SucceededWithController    LatencyQuantiles   `json:"acked_in_s"`
	SucceededWithoutController LatencyQuantiles   `json:"acked_in_s_without_planner"` // sent while the relay's controller was dead or paused
}

// Passed reports whether no rule was broken.
func (r *Report) Passed() bool {
	return !slices.ContainsFunc(r.Rules, func(rule Rule) bool { return rule.Violations > 0 })
}

// Check reads a record that nobody writes any more. It sorts the record's attempts by time.
func Check(record *Record, bounds Bounds) *Report {
	c := newChecker(record, bounds)
	report := &Report{Rules: []Rule{
		c.checkAnswers(),
		c.checkEffects(),
		c.checkDrains(),
		c.checkSlowStart(),
		c.checkCanaryLimit(),
	}}
	c.measureService(report)
	return report
}

// checker holds a record and what all rules need of it.
type checker struct {
	*Record
	bounds     Bounds
	requests   []*Request              // by the time at which they were sent
	attemptsOf map[uint64][]*Attempt   // by request, in order of time
	controlled map[string]*Incarnation // by relay with a controller: a Life that stands for all its routers together
}

func newChecker(record *Record, bounds Bounds) *checker {
	c := &checker{Record: record, bounds: bounds, attemptsOf: map[uint64][]*Attempt{}, controlled: map[string]*Incarnation{}}
	for _, life := range record.Incarnations {
		if life.IsController && c.controlled[life.RouterGroup] == nil {
			c.controlled[life.RouterGroup] = &Incarnation{RouterGroup: life.RouterGroup}
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

// responsibleLife is the process that answers for a relay's rules 3 and 5 at an instant, nil if there is none. With a controller it
// is the relay as a whole: the sum of its routers counts, and what a dead one spent is the relay's still.
func (c *checker) responsibleLife(relay string, at float64) *Incarnation {
	if whole := c.controlled[relay]; whole != nil {
		return whole
	}
	var found *Incarnation
	for _, life := range c.Incarnations {
		if life.RouterGroup == relay && life.covers(at) {
			found = life
		}
	}
	return found
}

// propagationSeconds is how long a controller must go on running after it was told something for its routers to know it too.
const propagationSeconds = 0.3

// learnedAt gives when a relay is taken to have learned what it was told at an instant, and whether that is sure: a controller that
// was killed at once may have told nobody, one that was paused knew nothing until it was continued.
func (c *checker) learnedAt(relay string, at float64) (learned float64, sure bool) {
	if c.controlled[relay] == nil {
		return at, true
	}
	for _, life := range c.Incarnations {
		if !life.IsController || life.RouterGroup != relay || life.StartedAt > at || life.EndedAt > 0 && life.EndedAt < at {
			continue
		}
		at = life.afterPauses(at)
		sure = life.EndedAt == 0 || life.EndedAt > at+propagationSeconds
	}
	return at, sure
}

// afterPauses moves an instant to the end of the pauses that it lies in, or just before.
func (l *Incarnation) afterPauses(at float64) float64 {
	for moved := true; moved; {
		moved = false
		for _, pause := range l.Pauses {
			if pause[0] <= at+propagationSeconds && at < pause[1] {
				at, moved = pause[1], true
			}
		}
	}
	return at
}
