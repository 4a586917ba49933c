package config

import (
	"fmt"

	"olympos.io/encoding/edn"

	"flintspread/internal/policy"
)

var idempotencies = map[edn.Keyword]policy.Idempotency{
	"redeliverable": policy.Idempotent,
	"deduplicated":  policy.IdempotentWithKey,
	"at-most-once":  policy.NonIdempotent,
}

var dedupScopes = map[edn.Keyword]policy.DedupScope{
	"":     policy.DedupAll,
	"all":  policy.DedupAll,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// minTimeoutTicks is the number of ticks of TimerResolutionSeconds that a request timeout must exceed, because answers
// are sent two to three ticks before it.
const minTimeoutTicks = 3

// policyConfig builds the configuration for package policy. It rejects values that are valid individually but
// contradict each other.
func policyConfig(loc locator, rules Rules, release Release, classes []RequestClass) (policy.Config, error) {
	if err := validateStages(loc, rules, release); err != nil {
		return policy.Config{}, err
	}
	if rules.OneWayKeys && rules.MaxRememberedKeys == 0 {
		return policy.Config{}, loc.fieldError(":rules :keys-kept", "one-way keys need room for some")
	}
	c := policy.Config{
		RouterGroups:             rules.RouterGroups,
		RollbackVotes:            release.RollbackVotes,
		TimerResolutionSeconds:   rules.TimerResolutionSeconds,
		AllowHedging:             rules.AllowHedging,
		AllowCancel:              true,
		MaxRetryAfterSeconds:     rules.MaxRetryAfterSeconds,
		RequestsPerConn:          1,
		MaxAttempts:              rules.MaxAttempts,
		SlowStartInitialShare:    rules.SlowStartInitialShare,
		SlowStartSeconds:         rules.SlowStartSeconds,
		SlowStartOverloadFactor:  rules.SlowStartOverloadFactor,
		SlowStartOverloadSeconds: rules.SlowStartOverloadSeconds,
		CanaryWindowSeconds:      rules.CanaryWindowSeconds,
		CanaryFreeAttempts:       rules.CanaryFreeAttempts,
		CanaryLimits:             release.CanaryLimits,
		StageShares:              release.StageShares,
		CanaryLimitPerClass:      rules.CanaryLimitPerClass,
		IdempotentOnlyStages:     rules.IdempotentOnlyStages,
		OneWayKeys:               rules.OneWayKeys,
		MaxRememberedKeys:        rules.MaxRememberedKeys,
		ForgetEndpointSeconds:    rules.ForgetEndpointSeconds,
		AutomaticStages:          release.AutomaticStages,
		ReplaceInPlace:           release.ReplaceInPlace,
		WrongAnswerPrice:         release.WrongAnswerPrice,
		StaleBuildPrice:          release.StaleBuildPrice,
		WrongAnswerReportShare:   release.WrongAnswerReportShare,
		VoteLifetimeSeconds:      release.VoteLifetimeSeconds,
		VoteTimeoutSeconds:       release.VoteTimeoutSeconds,
		VotesPerSecond:           release.VotesPerSecond,
	}
	names := map[string]bool{}
	for i, class := range classes {
		key := fmt.Sprintf(":op-types %d", i)
		if names[class.Name] {
			return policy.Config{}, loc.fieldError(key+" :name", fmt.Sprintf("%q stands twice", class.Name))
		}
		names[class.Name] = true
		if err := validateClass(loc, key, class, rules); err != nil {
			return policy.Config{}, err
		}
		c.Classes = append(c.Classes, policy.RequestClass{
			LatencyObjectiveSeconds: class.LatencyObjectiveSeconds,
			TimeoutSeconds:          class.TimeoutSeconds,
			PriorityWeight:          class.PriorityWeight,
			DedupWindowSeconds:      class.DedupWindowSeconds,
			Idempotency:             idempotencies[class.Idempotency],
			DedupScope:              dedupScopes[class.DedupScope],
		})
	}
	return c, nil
}

// validateStages checks the rollout stages, their canary limits and the window over which these are counted.
func validateStages(loc locator, rules Rules, release Release) error {
	stages, limits := release.StageShares, release.CanaryLimits
	if len(limits) != len(stages) {
		return loc.fieldError(":release :caps", fmt.Sprintf("%d caps for %d stages", len(limits), len(stages)))
	}
	for i := 1; i < len(stages); i++ {
		if stages[i] < stages[i-1] {
			return loc.fieldError(fmt.Sprintf(":release :stages %d", i), "a stage below the one before it")
		}
	}
	if rules.CanaryWindowSeconds < rules.GraceSeconds {
		return loc.fieldError(":rules :window",
			fmt.Sprintf("below the grace (%g s): a lower cap would bind after the window it is for", rules.GraceSeconds))
	}
	for i, limit := range limits {
		key := fmt.Sprintf(":release :caps %d", i)
		if limit < stages[i] {
			return loc.fieldError(key,
				fmt.Sprintf("%g of a relay's commands for %g of the fleet: the stage's units could not be used", limit, stages[i]))
		}
		if i > 0 && limit < limits[i-1] {
			return loc.fieldError(key, "a cap below that of the stage before it")
		}
	}
	if rules.IdempotentOnlyStages > len(stages) {
		return loc.fieldError(":rules :guarded-stages", fmt.Sprintf("%d of %d stages", rules.IdempotentOnlyStages, len(stages)))
	}
	return nil
}

// validateClass checks the request class at a key against the rules.
func validateClass(loc locator, key string, class RequestClass, rules Rules) error {
	switch {
	case class.TimeoutSeconds <= minTimeoutTicks*rules.TimerResolutionSeconds:
		return loc.fieldError(key+" :timeout", "not above three rounds (:rules :round): no answer could be in time")
	case class.LatencyObjectiveSeconds > class.TimeoutSeconds:
		return loc.fieldError(key+" :target", "above the timeout")
	case class.TimeoutSeconds >= rules.ForgetEndpointSeconds:
		return loc.fieldError(":rules :forget-units", fmt.Sprintf("not above the timeout of %q", class.Name))
	}
	needsKey := idempotencies[class.Idempotency] == policy.IdempotentWithKey
	if needsKey && (class.DedupWindowSeconds <= 0 || class.DedupScope == "") {
		return loc.fieldError(key, "a deduplicated op type needs :group and a :window above 0")
	}
	return nil
}
