package policy

import "math"

// tickSeconds is the time between two ticks.
const tickSeconds = 0.1

// The two sides of a release, as indices of arrays with sideCount elements.
const (
	baseline = iota
	canary
	sideCount
)

// Balancer holds the state of one router's or controller's decisions. It is not safe for concurrent use.
type Balancer struct {
	config *Config
	random random

	// Endpoints (endpoints.go, subset.go).
	endpoints       []*endpoint // sorted by rank
	endpointByID    map[uint32]*endpoint
	subset          [sideCount][]*endpoint // the ready endpoints that this router uses, by side
	readyCapacity   [sideCount]float64     // capacity of all ready endpoints, by side
	readyCount      int
	oldestBuild     int // oldest build of the ready endpoints
	subscribed      bool
	subscribedAt    float64 // when the subscription to the endpoint list was last requested
	endpointListAge float64 // seconds

	// The release (release.go, canary.go, keys.go).
	release               release
	baselineReady         int         // number of ready endpoints that run a build older than the release's
	canaryReady           int         // number of ready endpoints that run the release's build
	newestCanaryStartedAt float64     // start of the newest ready canary endpoint
	latenessComparable    bool        // both builds serve at once: their lateness can be compared
	receivedAt            [][]float64 // times of the requests received in the longest canary window, by limitIndex
	canaryAttemptsAt      [][]float64 // start times of the canary attempts in it, by limitIndex
	longestCanaryWindow   float64     // longest canary window of all configurations so far, in seconds
	canaryCountsSince     float64     // receivedAt and canaryAttemptsAt lack what was before; 0 if they lack nothing
	buildByKey            map[uint64]int
	rejectedKeys          rejectedKeys
	keyFloorBuild         int     // every key counts as answered by this build or a later one
	leasedShare           float64 // share of all routers' allowances that the controller assigned; 1 without a controller
	leaseEndsAt           float64

	// Latency and load (admission.go, retry.go, outlier.go).
	typicalLatency    []float64 // moving average, by class
	maxTypicalLatency float64
	baselineLatency   []float64  // median of warm baseline endpoints, by class
	commonTimeout     []majority // most common request timeout, by class
	lastFailedAt      []float64  // when a request last ended without success, by class
	typicalWork       float64    // average of the work that requests state
	retryTokens       float64
	connFailures      decayingShare // share of new connections that could not be made
	inFlight          int           // attempts in flight
	peakInFlight      int           // most attempts in flight since the limit was last adjusted
	concurrencyLimit  float64
	latencyRatio      float64 // typical latency over its objective, of the class nearest to its objective
	maxPriority       float64
	limitAdjustedAt   float64

	// This process itself.
	lastCallAt      float64
	resumedAt       float64 // when the process last resumed after a stall
	processingDelay float64 // seconds by which the caller may be late in processing its input

	// Evidence (counts.go, reports.go, metrics.go).
	localCounts     []*endpointCounts // in the order of their first outcomes
	reports         map[string]Evidence
	mergedCounts    []*endpointCounts
	mergeNeeded     bool
	reportedRate    float64 // requests per second over all reports
	metricsEvidence MetricsEvidence

	// Votes (vote.go).
	currentVote  vote
	voteCastAt   float64
	pendingVote  vote
	votePending  bool
	voteSentAt   float64
	noVoteBefore float64
}

// New returns a balancer without endpoints. Random choices are drawn from the seed; now is in seconds on the caller's
// clock.
func New(config Config, seed uint64, now float64) *Balancer {
	b := &Balancer{
		random:           newRandom(seed),
		endpointByID:     map[uint32]*endpoint{},
		buildByKey:       map[uint64]int{},
		retryTokens:      maxRetryTokens / 2,
		concurrencyLimit: math.Inf(1),
		subscribedAt:     math.Inf(-1),
	}
	b.SetConfig(&config)
	b.leasedShare = float64(boolToInt(!config.HasController))
	return b
}

// SetConfig applies a configuration to requests received from now on; the caller must not change it afterwards. Classes
// keep their index, and new ones may be appended. A request keeps the configuration that it was received under.
// Settings that concern all requests together (limits, windows, drains, slow start, cancelling after an answer) take
// effect at once.
func (b *Balancer) SetConfig(config *Config) {
	b.config, b.maxPriority = config, 0
	b.extendCanaryWindow(config.CanaryWindowSeconds)
	for i, class := range config.Classes {
		if i == len(b.typicalLatency) {
			b.addClass()
		}
		b.maxPriority = max(b.maxPriority, class.PriorityWeight)
	}
}

func (b *Balancer) addClass() {
	b.receivedAt = append(b.receivedAt, nil)
	b.canaryAttemptsAt = append(b.canaryAttemptsAt, nil)
	b.typicalLatency = append(b.typicalLatency, 0)
	b.baselineLatency = append(b.baselineLatency, 0)
	b.lastFailedAt = append(b.lastFailedAt, math.Inf(-1))
	b.commonTimeout = append(b.commonTimeout, majority{})
}

// SetProcessingDelay sets by how many seconds the caller itself may be late in processing answers; attempt timeouts are
// extended by this delay.
func (b *Balancer) SetProcessingDelay(seconds float64) { b.processingDelay = seconds }

// detectStall records the time of a call and detects that the process was stalled: after missed ticks, the lateness of
// pending events says nothing about endpoints.
func (b *Balancer) detectStall(now float64) {
	if now-b.lastCallAt > 3*tickSeconds {
		b.resumedAt = now
	}
	b.lastCallAt = now
}

// TickResult is the result of a tick.
type TickResult struct {
	NextTickSeconds      float64 // time from this tick to the next
	CastVote             bool    // send Verdict on Build and Stage to the release service, and pass its reply to OnVoteReply
	Build                int
	Stage                int
	Verdict              Verdict
	SubscribeToEndpoints bool // subscribe to the endpoint list
}

// Tick does the periodic work of a balancer that does not vote: that of a router with a controller, or of a controller
// that a newer one has superseded.
func (b *Balancer) Tick(now float64) TickResult {
	b.detectStall(now)
	if now-b.limitAdjustedAt >= limitAdjustIntervalSeconds-b.config.TimerResolutionSeconds {
		b.limitAdjustedAt = now
		b.adjustConcurrencyLimit()
		b.forgetKeys()
		b.forgetEndpoints(now)
		b.regroupEndpoints(now)
		b.decaySlowCounts()
	}
	return TickResult{NextTickSeconds: tickSeconds}
}

// TickAndVote does the periodic work of a balancer that also votes: the work of Tick, the subscription to the endpoint
// list, and the vote that the evidence calls for.
func (b *Balancer) TickAndVote(now float64) TickResult {
	result := b.Tick(now)
	if b.config.SubscribeToEndpoints && !b.subscribed && now-b.subscribedAt >= subscribeRetrySeconds {
		result.SubscribeToEndpoints, b.subscribedAt = true, now
	}
	if wanted, due := b.voteDue(now); due {
		b.pendingVote, b.voteSentAt, b.votePending = wanted, now, true
		result.CastVote, result.Build, result.Stage, result.Verdict = true, b.release.build, b.release.stage, wanted.verdict
	}
	return result
}
