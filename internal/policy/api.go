// Package policy decides for one balancer: where a command goes, what follows an outcome, how it votes on a build.
package policy

// Config holds what a deployment tells a balancer at its start, as far as the module reads it.
type Config struct {
	Routers        int
	RollbackVotes  int     // that send a build back
	MinTickSeconds float64 // shortest gap between two moments at which the balancer acts
	Classes        []RequestClass

	SubscribeToEndpoints     bool // the list must be asked for
	AllowHedging             bool // two deliveries of a command may be out together
	AllowCancel              bool // a delivery may be called off
	MaxRetryAfterSeconds     float64
	ConnIdleSeconds          float64 // idle connections are closed after it
	RequestsPerConn          int     // deliveries a connection carries together
	MaxAttempts              int     // most deliveries of one command
	SlowStartInitialShare    float64
	SlowStartSeconds         float64
	SlowStartOverloadFactor  float64
	SlowStartOverloadSeconds float64
	CanaryWindowSeconds      float64 // of the rule on exposure
	CanaryFreeAttempts       float64
	CanaryLimits             []float64 // by stage
	StageShares              []float64 // share of the fleet, by stage
	CanaryLimitPerClass      bool      // exposure is counted for each op type by itself
	IdempotentOnlyStages     int       // stages that take redeliverable commands only
	OneWayKeys               bool      // a key that a new build answered never goes to an earlier one
	MaxRememberedKeys        int       // keys remembered for OneWay, 0: all
	ForgetEndpointSeconds    float64   // s after which a unit that left the list is forgotten, 0: never; more than any timeout
	HasController            bool      // another process judges and lends what is free; see Follow
	AutomaticStages          bool      // the clock moves stages, votes only hold or send back
	ReplaceInPlace           bool      // earlier machines go as their successors come
	WrongAnswerPrice         float64   // of worth in wrong answers, against StalePrice for worth served by an old build
	StaleBuildPrice          float64
	WrongAnswerReportShare   float64 // share of wrong answers that is flagged
	VoteLifetimeSeconds      float64
	VoteTimeoutSeconds       float64
	VotesPerSecond           float64 // votes a second, all balancers together
}

// Idempotency says whether a command may run again.
type Idempotency uint8

const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// DedupScope says which units recognise the repeat of a deduplicated command.
type DedupScope uint8

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

type RequestClass struct {
	LatencyObjectiveSeconds float64 // service target
	TimeoutSeconds          float64 // a client's time for all its tries
	PriorityWeight          float64
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindowSeconds      float64 // how long repeats are recognised
}

// Request is one command in hand. The caller keeps it from its coming until all its deliveries have come back,
// and enters each delivery it makes.
type Request struct {
	ID           uint32
	Class        int     // its place among the op types
	Config       *Config // it came under; nil: the present ones
	Key          uint64
	ReceivedAt   float64
	FirstSeenAt  float64 // when its client first asked, as far as can be told; set by Pick
	Deadline     float64 // when the client gives up
	Work         float64 // expected work, 0 if not told
	ClientRetry  bool    // the client says that it asks again
	Streaming    bool    // a streamed answer is on its way
	Completed    bool    // it has its final answer, or needs none any more
	NotConnected bool    // its last delivery met no unit
	Attempts     []Attempt
}

type Attempt struct {
	Endpoint   uint32
	StartedAt  float64
	InFlight   bool // no outcome yet
	MayHaveRun bool // it may have run
}

// Outcome is how a delivery ended.
type Outcome uint8

const (
	Succeeded Outcome = iota
	ServerError
	Overloaded     // turned away unseen
	TimedOut       // may have run
	NotConnected   // never ran
	ConnectionLost // the connection broke; may have run
	Cancelled
	NotSent // never ran
)

// Action is what the caller is to do with a command.
type Action uint8

const (
	NoAction Action = iota
	Send            // to Unit, dropped at Until; ask again at Again if it is above 0
	Hold            // ask again at Again
	Reject          // final; the client may come back after Pause
	Fail            // final
)

// Decision answers for one command.
type Decision struct {
	Action            Action
	Endpoint          uint32
	AttemptDeadline   float64
	PickAgainAt       float64
	RetryAfterSeconds float64
	CancelInFlight    bool // call off what is still out
}

// Phase is how far a build has come.
type Phase uint8

const (
	PhaseCanary Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// Verdict is a vote.
type Verdict uint8

const (
	VoteNone Verdict = iota
	VotePromote
	VoteHold
	VoteRollback
)

// VoteReply is what became of a vote.
type VoteReply uint8

const (
	VoteCounted VoteReply = iota
	VoteMoot
	VoteRefused // too many, or an error
	VoteUnknown // no answer in time; it may count
)

// TickResult is a balancer's periodic work: how long to wait for the next, and what to do now.
type TickResult struct {
	NextTickSeconds      float64
	CastVote             bool
	Build                int
	Stage                int
	Verdict              Verdict
	SubscribeToEndpoints bool // ask for the list and its changes
}

// EndpointState is what a list says of a unit.
type EndpointState uint8

const (
	Ready EndpointState = iota
	Draining
	Gone
)

// Evidence is all that an edge has counted of the present build, for its planner: whole each time, so that the newest is
// all that matters.
type Evidence struct {
	Build             int     // that was the newest when this was counted
	RequestsPerSecond float64 // commands a second
	Samples           []EndpointSample
}

// MetricsEvidence is what a health source counted of the present build, all of it each time. Kinds that stand Apart hold no
// outcome that this relay counts too.
type MetricsEvidence struct {
	Evidence
	Independent [kinds]bool
}

// FailureKinds names the kinds of failure, in the order of a Tally.
var FailureKinds = [kinds]string{"wrong", "failed", "lost", "slow"}

// HealthMark is what a health source says of a unit, from 0 to 1: the share of its answers that is wrong, and how far other
// things ail it, which deliveries would show.
type HealthMark struct {
	Endpoint      uint32
	WrongShare    float64
	DegradedShare float64
}

// EndpointSample is what one unit did under one build: outcomes and failures, by kind of failure.
type EndpointSample struct {
	Endpoint uint32
	Build    int
	Outcomes [kinds]float64
	Failures [kinds]float64
}
