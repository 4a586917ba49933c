package policy

// Config is what a deployment tells a Balancer. It is not changed once it was given to New or SetConfig. Durations are seconds.
type Config struct {
	Routers                int     // how many routers share the endpoints
	RollbackVotes          int     // votes that send a release back; 0 counts as 1
	TimerResolutionSeconds float64 // how exactly the caller keeps a time; deadlines are met two to three of it early
	Classes                []RequestClass

	SubscribeToEndpoints bool    // the endpoint list must be subscribed to (TickResult.SubscribeToEndpoints)
	AllowHedging         bool    // two attempts of a request may be in flight together
	AllowCancel          bool    // an attempt in flight may be cancelled
	MaxRetryAfterSeconds float64 // longest retry-after time that a rejection may name
	ConnIdleSeconds      float64 // endpoints close a connection that was idle for so long
	RequestsPerConn      int     // attempts that one connection to an endpoint carries together
	MaxAttempts          int     // attempts of one request, those that were never sent included

	SlowStartInitialShare    float64 // share of its capacity that an endpoint has when it starts
	SlowStartSeconds         float64 // time until it has all of it
	SlowStartOverloadFactor  float64 // it fails when it gets more than this many times its share of the mean traffic
	SlowStartOverloadSeconds float64 // over this time

	CanaryWindowSeconds  float64   // window in which the canary traffic limit holds
	CanaryFreeAttempts   float64   // attempts that a window always allows, all routers of one controller together
	CanaryLimits         []float64 // further ones as a share of the requests received in the window, by rollout stage
	StageShares          []float64 // share of the endpoints that runs the canary, by rollout stage
	CanaryLimitPerClass  bool      // the limit holds for each request class by itself
	IdempotentOnlyStages int       // the first so many stages take idempotent requests only
	OneWayKeys           bool      // a key that a build answered never goes to an earlier build
	MaxRememberedKeys    int       // keys remembered for OneWayKeys; 0: all

	// ForgetEndpointSeconds after it left the list an endpoint is forgotten; 0: never. It must be above any request timeout, since retries
	// look up the endpoints of earlier attempts (unresponsive, leavesDedupScope).
	ForgetEndpointSeconds float64
	HasController         bool // a controller votes and leases the free canary attempts (ApplyAssignment)

	AutomaticStages        bool    // stages advance by time; votes only hold or roll back
	ReplaceInPlace         bool    // baseline endpoints leave as their canary successors come, instead of staying beside them
	WrongAnswerPrice       float64 // cost of the work that is answered wrongly, in the unit of StaleBuildPrice
	StaleBuildPrice        float64 // cost of the work that the old build serves while a good one waits
	WrongAnswerReportShare float64 // share of wrong answers that clients report
	VoteLifetimeSeconds    float64 // a vote counts for so long
	VoteTimeoutSeconds     float64 // a reply to a vote is waited for so long
	VotesPerSecond         float64 // votes that the release service takes from all routers together
}

// RequestClass describes requests that are alike.
type RequestClass struct {
	LatencyObjectiveSeconds float64 // an answer later than this earns nothing
	TimeoutSeconds          float64 // the client's time for all its tries
	PriorityWeight          float64 // relative worth of an answer
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindowSeconds      float64 // for how long an endpoint recognises a repeated key
}

// Idempotency says whether a request may run again.
type Idempotency uint8

// How a request may run again.
const (
	Idempotent        Idempotency = iota // any number of times
	IdempotentWithKey                    // again within the class's scope and window, where its key is recognised
	NonIdempotent                        // once
)

// DedupScope says which endpoints recognise a repeated key: all, those of the first endpoint's zone, or those of its cell.
type DedupScope uint8

// Where a repeated key is recognised.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)
