package policy

// Config is the configuration of a Balancer. It must not be changed once passed to New or SetConfig. Durations are
// seconds.
type Config struct {
	// RouterGroups is the number of router groups that share the endpoints. Each has one vote. Without a controller, it is
	// the number of routers.
	RouterGroups           int
	RollbackVotes          int     // votes needed to roll a release back; 0 counts as 1
	TimerResolutionSeconds float64 // precision of the caller's timers; attempts end 2 to 3 resolutions before the deadline
	Classes                []RequestClass

	SubscribeToEndpoints bool    // the caller must subscribe to the endpoint list (TickResult.SubscribeToEndpoints)
	AllowHedging         bool    // two attempts of a request may be in flight at once
	AllowCancel          bool    // an attempt in flight may be cancelled
	MaxRetryAfterSeconds float64 // longest retry-after time that a rejection may carry
	ConnIdleSeconds      float64 // idle time after which endpoints close a connection
	RequestsPerConn      int     // attempts that one connection to an endpoint carries at once
	MaxAttempts          int     // maximum number of attempts of a request, including those that were never sent

	SlowStartInitialShare    float64 // share of its capacity that an endpoint has at its start
	SlowStartSeconds         float64 // time from its start until it has its full capacity
	SlowStartOverloadFactor  float64 // an endpoint fails above this multiple of the mean traffic times its capacity share
	SlowStartOverloadSeconds float64 // period over which that traffic is measured

	CanaryWindowSeconds  float64   // window over which the canary traffic limit is enforced
	CanaryFreeAttempts   float64   // attempts always allowed per window, for all routers of one controller together
	CanaryLimits         []float64 // further attempts as a share of the requests received in the window, by rollout stage
	StageShares          []float64 // share of the endpoints that run the canary, by rollout stage
	CanaryLimitPerClass  bool      // the limit applies to each request class separately
	IdempotentOnlyStages int       // number of initial stages that accept only idempotent requests
	OneWayKeys           bool      // once a build has answered a key, requests with this key go to no earlier build
	MaxRememberedKeys    int       // maximum number of keys remembered for OneWayKeys; 0: no limit

	// ForgetEndpointSeconds is the time after which an endpoint that left the list is removed from memory; 0: never.
	ForgetEndpointSeconds float64
	HasController         bool // a controller votes and leases the free canary attempts (ApplyAssignment)

	AutomaticStages        bool    // stages advance on a schedule; votes only hold or roll back
	ReplaceInPlace         bool    // canary endpoints replace baseline endpoints instead of running beside them
	WrongAnswerPrice       float64 // cost of work that is answered wrongly; only its ratio to StaleBuildPrice matters
	StaleBuildPrice        float64 // cost of work that the old build serves while a good build waits
	WrongAnswerReportShare float64 // share of wrong answers that clients report
	VoteLifetimeSeconds    float64 // time for which a vote counts
	VoteTimeoutSeconds     float64 // time to wait for the reply to a vote
	VotesPerSecond         float64 // votes that the release service accepts from all routers together
}

// LongestTimeoutSeconds returns the longest request timeout of all classes.
func (c *Config) LongestTimeoutSeconds() float64 {
	longest := 0.0
	for _, class := range c.Classes {
		longest = max(longest, class.TimeoutSeconds)
	}
	return longest
}

// RequestClass describes a class of similar requests.
type RequestClass struct {
	LatencyObjectiveSeconds float64 // an answer later than this has no value
	TimeoutSeconds          float64 // time that a client allows for all its tries
	PriorityWeight          float64 // value of an answer relative to other classes
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindowSeconds      float64 // time for which an endpoint recognises a repeated key
}

// Idempotency says whether a request may be executed again.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // may run again where its key is recognised: within the class's scope and window
	NonIdempotent                        // may run only once
)

// DedupScope says which endpoints recognise a repeated key: all, those in the zone of the first endpoint that received
// the key, or those in its cell.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)
