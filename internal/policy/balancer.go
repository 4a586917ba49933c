package policy

import "math"

// tickSeconds is the time between two ticks.
const tickSeconds = 0.1

// Indices of pairs that hold something of both sides of a comparison.
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
	endpoints       []*endpoint // by rank
	endpointByID    map[uint32]*endpoint
	subset          [sideCount][]*endpoint // the ready endpoints that this router uses, by side
	readyCapacity   [sideCount]float64     // capacity of all ready endpoints, by side
	readyCount      int
	oldestBuild     int // among the ready ones
	subscribed      bool
	subscribedAt    float64
	endpointListAge float64 // seconds

	// The release (release.go, canary.go, keys.go).
	release          release
	baselineReady    int         // ready endpoints of builds before the release's
	canaryReady      int         // ready endpoints of its build
	newestCanary     float64     // start of the newest among the latter
	sideBySide       bool        // both builds run together, so that their lateness can be compared
	receivedAt       [][]float64 // requests received in the canary window; by class where the limit is, else at 0
	canaryAttemptsAt [][]float64 // canary attempts, likewise
	buildByKey       map[uint64]int
	keyFloorBuild    int // every key counts as answered by this build
	leasedShare      float64
	leaseEndsAt         float64

	// Latency and load (admission.go, retry.go, outlier.go).
	typicalLatency    []float64 // by class
	maxTypicalLatency float64
	baselineLatency   []float64  // median of warm baseline endpoints, by class
	commonTimeout     []majority // time that clients give a try, by class
	lastFailedAt      []float64  // when a request last ended without success, by class
	typicalWork       float64    // of the work that clients state
	retryTokens       float64
	connFailures      decayingShare // share of new connections that could not be made
	inFlight          int           // attempts
	peakInFlight      int           // since the limit was last adjusted
	concurrencyLimit  float64
	latencyRatio      float64 // typical latency over its objective, of the class nearest to it
	maxPriority       float64
	limitAdjustedAt   float64

	// This process itself.
	lastCallAt float64
	resumedAt  float64 // when it was found that the process had stood still
	ownDelay   float64 // seconds by which it may be late with what it learns

	// Evidence (counts.go, reports.go, metrics.go).
	localCounts     []*endpointCounts // in the order of first outcomes
	reports         map[string]Evidence
	mergedCounts    []*endpointCounts
	mergeNeeded     bool
	reportedRate    float64 // requests per second of the routers that reported
	metricsEvidence MetricsEvidence

	// Votes (vote.go).
	currentVote  vote
	voteCastAt   float64
	pendingVote  vote
	votePending  bool
	voteSentAt   float64
	noVoteBefore float64
}

// New makes a balancer with no endpoints.
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

// SetConfig puts a configuration in force for requests received from now on; the caller doesn't change it any more. Classes keep their
// index, and more may follow. A request ends by the configuration that it was received under. What concerns all requests together
// (limits, windows, drains, slow start, cancelling after an answer) follows the new configuration at once.
func (b *Balancer) SetConfig(config *Config) {
	b.config, b.maxPriority = config, 0
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

// SetOwnDelay tells by how many seconds the caller itself may be late with what endpoints sent; attempt timeouts are longer by it.
func (b *Balancer) SetOwnDelay(seconds float64) { b.ownDelay = seconds }

// noteCall notes a call. If periodic calls were missed, the process itself stood still: what it finds now came meanwhile, and how
// late that is says nothing about endpoints.
func (b *Balancer) noteCall(now float64) {
	if now-b.lastCallAt > 3*tickSeconds {
		b.resumedAt = now
	}
	b.lastCallAt = now
}

// TickResult is the answer of a tick.
type TickResult struct {
	NextTickSeconds      float64
	CastVote             bool // send Verdict on Build and Stage to the release service, and report its reply by OnVoteReply
	Build                int
	Stage                int
	Verdict              Verdict
	SubscribeToEndpoints bool // subscribe to the endpoint list
}

// TickRouter does a router's periodic work. It casts no vote.
func (b *Balancer) TickRouter(now float64) TickResult {
	b.noteCall(now)
	if now-b.limitAdjustedAt >= limitAdjustSeconds-b.config.TimerResolutionSeconds {
		b.limitAdjustedAt = now
		b.adjustConcurrencyLimit()
		b.forgetKeys()
		b.forgetEndpoints(now)
		b.regroupEndpoints(now)
		b.decaySlowCounts()
	}
	return TickResult{NextTickSeconds: tickSeconds}
}

// TickController does the periodic work of a balancer that also votes: TickRouter's, the subscription to the endpoint list, and the vote
// that the evidence calls for.
func (b *Balancer) TickController(now float64) TickResult {
	result := b.TickRouter(now)
	if b.config.SubscribeToEndpoints && !b.subscribed && now-b.subscribedAt >= subscribeRetrySeconds {
		result.SubscribeToEndpoints, b.subscribedAt = true, now
	}
	if wanted, due := b.voteDue(now); due {
		b.pendingVote, b.voteSentAt, b.votePending = wanted, now, true
		result.CastVote, result.Build, result.Stage, result.Verdict = true, b.release.build, b.release.stage, wanted.verdict
	}
	return result
}
