// Package terms reads the settings that a deployment gives by name into what the module is told. The simulator's adapter and the
// platform's relay read them by this one decoder.
package policyconfig

import (
	"fmt"
	"strconv"
	"strings"

	"flintspread/internal/policy"
)

// reader looks settings up and remembers the first that is missing or malformed.
type reader struct {
	pairs map[string]string
	err   error
}

func (r *reader) text(key string) string {
	v, ok := r.pairs[key]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("setting %s is missing", key)
	}
	return v
}

func (r *reader) num(key string) float64 {
	s := r.text(key)
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("setting %s is no number: %q", key, s)
	}
	return v
}

func (r *reader) secs(key string) float64 { return r.num(key) / 1000 }

func (r *reader) flag(key string) bool { return r.word(key, "false", "true") == 1 }

// word gives the place of a setting among the words it may be.
func (r *reader) word(key string, words ...string) int {
	s := r.text(key)
	for i, w := range words {
		if s == w {
			return i
		}
	}
	if r.err == nil {
		r.err = fmt.Errorf("setting %s is none of %s: %q", key, strings.Join(words, ", "), s)
	}
	return 0
}

func (r *reader) nums(key string) (list []float64) {
	for _, s := range strings.Split(r.text(key), ",") {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil && r.err == nil {
			r.err = fmt.Errorf("setting %s is no list of numbers: %q", key, s)
		}
		list = append(list, v)
	}
	return list
}

// ParseLines gives the pairs of a settings text, path=value a line.
func ParseLines(text string) map[string]string {
	pairs := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(line, "="); ok {
			pairs[key] = strings.TrimSuffix(value, "\r")
		}
	}
	return pairs
}

// Decode reads the module's part of the settings; unknown keys are skipped. Times become seconds.
func Decode(pairs map[string]string) (policy.Config, error) {
	r := &reader{pairs: pairs}
	const fam = "family_info."
	t := policy.Config{
		Routers:                  int(r.num("balancers")),
		RollbackVotes:            int(r.num(fam + "noes_needed")),
		MinTickSeconds:           r.secs("round"),
		SubscribeToEndpoints:     r.word("discovery", "push", "ask") == 1,
		AllowHedging:             r.flag("policy_limits.parallel_tries"),
		AllowCancel:              r.flag("policy_limits.may_cancel"),
		MaxRetryAfterSeconds:     r.secs("policy_limits.max_retry_after"),
		ConnIdleSeconds:          r.secs("policy_limits.conn_idle"),
		RequestsPerConn:          max(1, int(r.num("policy_limits.max_streams"))),
		MaxAttempts:              int(r.num("policy_limits.send_cap")),
		SlowStartInitialShare:    r.num("rules.cold_from"),
		SlowStartSeconds:         r.secs("rules.warm_up"),
		SlowStartOverloadFactor:  r.num("rules.fall_multiple"),
		SlowStartOverloadSeconds: r.secs("rules.fall"),
		CanaryWindowSeconds:      r.secs(fam + "window"),
		CanaryFreeAttempts:       r.num(fam + "spare_tries"),
		CanaryLimits:             r.nums(fam + "exposure_caps"),
		StageShares:              r.nums(fam + "waves"),
		CanaryLimitPerClass:      r.word(fam+"counts", "all", "each_class") == 1,
		IdempotentOnlyStages:     int(r.num(fam + "shielded")),
		OneWayKeys:               r.flag(fam + "forward_only"),
		AutomaticStages:          r.word(fam+"gate_mode", "first_voice", "by_count", "automatic") == 2,
		ReplaceInPlace:           r.word(fam+"replace_mode", "parallel", "replace") == 1,
		WrongAnswerPrice:         r.num(fam + "harm_fee"),
		StaleBuildPrice:          r.num(fam + "stale_build_price"),
		WrongAnswerReportShare:   r.num(fam + "reported_share"),
		VoteLifetimeSeconds:      r.secs(fam + "vote_life"),
		VoteTimeoutSeconds:       r.secs(fam + "api_timeout"),
		VotesPerSecond:           r.num(fam + "votes_per_s"),
	}
	n := int(r.num("classes.count"))
	for i := 0; i < n && r.err == nil; i++ {
		p := fmt.Sprintf("classes.%d.", i)
		t.Classes = append(t.Classes, policy.RequestClass{
			LatencyObjectiveSeconds: r.secs(p + "aim"),
			TimeoutSeconds:          r.secs(p + "deadline"),
			PriorityWeight:          r.num(p + "value"),
			Idempotency:             policy.Idempotency(r.word(p+"semantics", "safe", "keyed", "unsafe")),
			DedupScope:              policy.DedupScope(r.word(p+"group", "all", "zone", "cell")),
			DedupWindowSeconds:      r.secs(p + "key_ttl"),
		})
	}
	if r.err == nil && len(t.CanaryLimits) != len(t.StageShares) {
		r.err = fmt.Errorf("settings %sexposure_caps and %swaves differ in length", fam, fam)
	}
	return t, r.err
}
