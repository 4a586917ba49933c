// Package policyconfig decodes the named settings of a deployment into a policy.Config, for the simulator adapter and for
// the router on the platform. Times are in milliseconds in the settings and in seconds in the result.
package policyconfig

import (
	"fmt"
	"strconv"
	"strings"

	"flintspread/internal/policy"
)

// Values holds the text of each setting by its key, a dotted path.
type Values = map[string]string

const millisecondsPerSecond = 1000

// Decode decodes the policy settings. Unknown keys are ignored. An error names the first key that is missing or
// malformed.
func Decode(values Values) (policy.Config, error) {
	d := &decoder{values: values}
	config := policy.Config{
		RouterGroups:             d.integer("balancers"),
		RollbackVotes:            d.integer("family_info.noes_needed"),
		TimerResolutionSeconds:   d.seconds("round"),
		SubscribeToEndpoints:     d.choice("discovery", "push", "ask") == 1,
		AllowHedging:             d.boolean("policy_limits.parallel_tries"),
		AllowCancel:              d.boolean("policy_limits.may_cancel"),
		MaxRetryAfterSeconds:     d.seconds("policy_limits.max_retry_after"),
		ConnIdleSeconds:          d.seconds("policy_limits.conn_idle"),
		RequestsPerConn:          max(1, d.integer("policy_limits.max_streams")),
		MaxAttempts:              d.integer("policy_limits.send_cap"),
		SlowStartInitialShare:    d.number("rules.cold_from"),
		SlowStartSeconds:         d.seconds("rules.warm_up"),
		SlowStartOverloadFactor:  d.number("rules.fall_multiple"),
		SlowStartOverloadSeconds: d.seconds("rules.fall"),
		CanaryWindowSeconds:      d.seconds("family_info.window"),
		CanaryFreeAttempts:       d.number("family_info.spare_tries"),
		CanaryLimits:             d.numberList("family_info.exposure_caps"),
		StageShares:              d.numberList("family_info.waves"),
		CanaryLimitPerClass:      d.choice("family_info.counts", "all", "each_class") == 1,
		IdempotentOnlyStages:     d.integer("family_info.shielded"),
		OneWayKeys:               d.boolean("family_info.forward_only"),
		AutomaticStages:          d.choice("family_info.gate_mode", "first_voice", "by_count", "automatic") == 2,
		ReplaceInPlace:           d.choice("family_info.replace_mode", "parallel", "replace") == 1,
		WrongAnswerPrice:         d.number("family_info.harm_fee"),
		StaleBuildPrice:          d.number("family_info.stale_build_price"),
		WrongAnswerReportShare:   d.number("family_info.reported_share"),
		VoteLifetimeSeconds:      d.seconds("family_info.vote_life"),
		VoteTimeoutSeconds:       d.seconds("family_info.api_timeout"),
		VotesPerSecond:           d.number("family_info.votes_per_s"),
	}
	config.Classes = d.classes()
	if d.err == nil && len(config.CanaryLimits) != len(config.StageShares) {
		d.err = fmt.Errorf("settings family_info.exposure_caps and family_info.waves differ in length: %d and %d",
			len(config.CanaryLimits), len(config.StageShares))
	}
	return config, d.err
}

// decoder reads settings by key and keeps the first error. After an error, the value that a method returns is
// unspecified.
type decoder struct {
	values Values
	err    error
}

// classes reads the settings of all request classes.
func (d *decoder) classes() (classes []policy.RequestClass) {
	count := d.integer("classes.count")
	for i := 0; i < count && d.err == nil; i++ {
		prefix := fmt.Sprintf("classes.%d.", i)
		classes = append(classes, policy.RequestClass{
			LatencyObjectiveSeconds: d.seconds(prefix + "aim"),
			TimeoutSeconds:          d.seconds(prefix + "deadline"),
			PriorityWeight:          d.number(prefix + "value"),
			Idempotency:             policy.Idempotency(d.choice(prefix+"semantics", "safe", "keyed", "unsafe")),
			DedupScope:              policy.DedupScope(d.choice(prefix+"group", "all", "zone", "cell")),
			DedupWindowSeconds:      d.seconds(prefix + "key_ttl"),
		})
	}
	return classes
}

// text reads a setting, which must be present.
func (d *decoder) text(key string) string {
	value, ok := d.values[key]
	if !ok {
		d.fail("setting %s is missing", key)
	}
	return value
}

func (d *decoder) number(key string) float64 {
	text := d.text(key)
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		d.fail("setting %s is not a number: %q", key, text)
	}
	return value
}

// integer reads a number and truncates it to an integer.
func (d *decoder) integer(key string) int { return int(d.number(key)) }

// seconds reads a time in milliseconds and returns it in seconds.
func (d *decoder) seconds(key string) float64 { return d.number(key) / millisecondsPerSecond }

// numberList reads comma-separated numbers.
func (d *decoder) numberList(key string) (list []float64) {
	for _, text := range strings.Split(d.text(key), ",") {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			d.fail("setting %s is not a list of numbers: element %q", key, text)
		}
		list = append(list, value)
	}
	return list
}

func (d *decoder) boolean(key string) bool { return d.choice(key, "false", "true") == 1 }

// choice reads a setting that must be one of words, and returns its index in words.
func (d *decoder) choice(key string, words ...string) int {
	text := d.text(key)
	for i, word := range words {
		if text == word {
			return i
		}
	}
	d.fail("setting %s is not one of %s: %q", key, strings.Join(words, ", "), text)
	return 0
}

// fail records an error unless there is an earlier one.
func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = fmt.Errorf(format, args...)
	}
}
