package router

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/policy"
)

// ConfigHash identifies the policy configuration that a router and its controller must share. A router sends the hash in
// each report, and the controller compares it with its own. The hash covers the settings files as read at the start, not
// later configuration versions. Programs of different versions must compute the same hash, so the hashed text keeps the
// field names of the first version (hashedConfig), whatever policy.Config calls its fields now. ConnIdleSeconds and
// HasController concern only the router and are hashed as zero. Do not add fields: a setting that both programs must
// agree on needs another hash in the protocol.
func ConfigHash(config policy.Config) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%+v", newHashedConfig(config)))
}

// hashedConfig fixes the names and the order of the fields that ConfigHash covers. Do not rename, reorder or add fields.
type hashedConfig struct {
	Balancers   int
	BackVotes   int
	Round       float64
	Ops         []hashedClass
	Ask         bool
	Parallel    bool
	Cancel      bool
	MaxPause    float64
	ConnIdle    float64
	Streams     int
	Deliveries  int
	ColdFrom    float64
	WarmUp      float64
	FallFactor  float64
	FallTime    float64
	Window      float64
	Free        float64
	Caps        []float64
	Stages      []float64
	PerOp       bool
	Guarded     int
	OneWay      bool
	Keys        int
	Forget      float64
	Led         bool
	Automatic   bool
	Replace     bool
	HarmPrice   float64
	StalePrice  float64
	Reported    float64
	VoteLife    float64
	VoteTimeout float64
	VoteRate    float64
}

type hashedClass struct {
	Target     float64
	Timeout    float64
	Importance float64
	Effect     policy.Idempotency
	Group      policy.DedupScope
	Window     float64
}

func newHashedConfig(config policy.Config) hashedConfig {
	hashed := hashedConfig{
		Balancers:   config.RouterGroups,
		BackVotes:   config.RollbackVotes,
		Round:       config.TimerResolutionSeconds,
		Ask:         config.SubscribeToEndpoints,
		Parallel:    config.AllowHedging,
		Cancel:      config.AllowCancel,
		MaxPause:    config.MaxRetryAfterSeconds,
		ConnIdle:    0, // concerns only the router
		Streams:     config.RequestsPerConn,
		Deliveries:  config.MaxAttempts,
		ColdFrom:    config.SlowStartInitialShare,
		WarmUp:      config.SlowStartSeconds,
		FallFactor:  config.SlowStartOverloadFactor,
		FallTime:    config.SlowStartOverloadSeconds,
		Window:      config.CanaryWindowSeconds,
		Free:        config.CanaryFreeAttempts,
		Caps:        config.CanaryLimits,
		Stages:      config.StageShares,
		PerOp:       config.CanaryLimitPerClass,
		Guarded:     config.IdempotentOnlyStages,
		OneWay:      config.OneWayKeys,
		Keys:        config.MaxRememberedKeys,
		Forget:      config.ForgetEndpointSeconds,
		Led:         false, // concerns only the router
		Automatic:   config.AutomaticStages,
		Replace:     config.ReplaceInPlace,
		HarmPrice:   config.WrongAnswerPrice,
		StalePrice:  config.StaleBuildPrice,
		Reported:    config.WrongAnswerReportShare,
		VoteLife:    config.VoteLifetimeSeconds,
		VoteTimeout: config.VoteTimeoutSeconds,
		VoteRate:    config.VotesPerSecond,
	}
	for _, class := range config.Classes {
		hashed.Ops = append(hashed.Ops, hashedClass{
			Target:     class.LatencyObjectiveSeconds,
			Timeout:    class.TimeoutSeconds,
			Importance: class.PriorityWeight,
			Effect:     class.Idempotency,
			Group:      class.DedupScope,
			Window:     class.DedupWindowSeconds,
		})
	}
	return hashed
}
