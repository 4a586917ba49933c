package proxy

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
	"flintspread/internal/processstats"
	"flintspread/internal/releases"
)

// Proxy forwards requests between client connections and endpoint connections as its balancer decides. Its methods are
// safe for concurrent use and do not block unless they say so.
type Proxy struct {
	settings *config.Router
	log      *slog.Logger
	protocol protocol
	castVote func(releases.Vote) // called without mu; must not block; nil: a controller votes

	// OnFinalAnswer, if set, is called under mu for each final answer with the request's class, the kind of answer and
	// the seconds since the request was received. It is not called for requests that are shed before they are parsed
	// (http_shed.go). It must not block, and must be set before Serve is called.
	OnFinalAnswer func(class, kind string, seconds float64)

	connReuseDelaySeconds float64   // minimum time between an answer and the next attempt on its connection
	clockBase             time.Time // creation time, with the monotonic clock
	clockBaseSeconds      float64   // the same instant in Unix seconds
	currentConfig         atomic.Pointer[configstate.Version]
	stop                  chan struct{} // closed by Close
	timerWake             chan struct{} // signals the timer that an earlier deadline was queued
	goroutines            sync.WaitGroup

	shedding        atomic.Bool   // some requests are being shed
	measureQueueing atomic.Bool   // the process is near its limits: measure how long requests wait in the kernel
	maxQueuedMillis atomic.Uint32 // longest wait of a request in the kernel since the last load sample

	mu                sync.Mutex // guards all fields below except memory, and serializes calls into the balancer
	balancer          *policy.Balancer
	shedder           *loadshed.Shedder // nil: no load shedding
	sampler           *processstats.Sampler
	processSample     processstats.Sample
	timerDelaySeconds float64 // delay of the timer at the last load sample
	delayTracker      loadshed.DelayTracker
	shedAnswer        answer               // cached answer to shed requests
	shedAnswerConfig  *configstate.Version // version that shedAnswer was encoded for
	configState       *configstate.State
	stats             Stats

	lastRequestID      uint32
	inFlight           int                       // accepted requests without a final answer
	inFlightByClass    []int                     // inFlight by Request.Class
	requestIDs         map[string]struct{}       // ids of requests in flight, if the protocol has ids
	abandonedRequests  policy.AbandonedRequests  // by id, if the protocol has ids
	wrongAnswerReports policy.WrongAnswerReports // by receipt, if the protocol has receipts
	deadlines          deadlineQueue
	answerDeadline     float64 // latest instant for any answer; 0: none

	nextTimerAt  float64 // when the timer fires next, if it is not woken before
	policyTickAt float64
	idleSweepAt  float64

	pools                   map[uint32]*endpointPool // by endpoint id
	endpointConns           map[*endpointConn]struct{}
	endpointListVersion     uint64
	endpointListConfirmedAt float64 // when the list was last known to be current

	clients            map[*clientConn]struct{}
	evictionCandidates evictionCandidates
	evictedOpen        int // evicted connections that have not closed yet
	draining           bool
	closed             bool // set by Close: new client connections are refused
	ready              bool
	awaitingReady      []func() // each answers a readiness probe that arrived before ready was set

	memory memoryBudget
}

// NewHTTP returns a proxy that speaks HTTP/1.1 to clients and endpoints, and starts its timer; Close stops it. castVote
// receives the balancer's votes on a release and must not block. It is nil if a controller votes.
func NewHTTP(settings *config.Router, seed uint64, log *slog.Logger, castVote func(releases.Vote)) *Proxy {
	return newProxy(settings, http1{}, seed, log, castVote)
}

// NewRESP is like NewHTTP for a proxy that speaks the platform's RESP2.
func NewRESP(settings *config.Router, seed uint64, log *slog.Logger, castVote func(releases.Vote)) *Proxy {
	return newProxy(settings, resp2{}, seed, log, castVote)
}

func newProxy(settings *config.Router, protocol protocol, seed uint64, log *slog.Logger, castVote func(releases.Vote)) *Proxy {
	now := time.Now()
	p := &Proxy{
		settings:              settings,
		log:                   log,
		protocol:              protocol,
		castVote:              castVote,
		connReuseDelaySeconds: protocol.connReuseDelaySeconds(),
		clockBase:             now,
		clockBaseSeconds:      float64(now.UnixNano()) / 1e9,
		stop:                  make(chan struct{}),
		timerWake:             make(chan struct{}, 1),
		pools:                 map[uint32]*endpointPool{},
		requestIDs:            map[string]struct{}{},
		endpointConns:         map[*endpointConn]struct{}{},
		clients:               map[*clientConn]struct{}{},
	}
	p.configState = configstate.NewState(&settings.Document, nil, 0, settings.RequiredListTimeoutSeconds())
	current := p.configState.Current()
	p.currentConfig.Store(current)
	p.balancer = policy.New(*current.Policy, seed, p.clockBaseSeconds)
	p.inFlightByClass = make([]int, len(current.Policy.Classes))
	p.policyTickAt, p.endpointListConfirmedAt = p.clockBaseSeconds, p.clockBaseSeconds
	p.sampler = processstats.New()
	if overload := settings.Overload; overload != nil {
		p.memory.setLimits(overload.MemoryBytes, overload.ConnMemoryBytes)
		if overload.Shed {
			p.shedder = loadshed.New(shedderClasses(current.Policy), seed, p.clockBaseSeconds)
		}
	}
	p.goroutines.Add(1)
	go p.runTimer()
	return p
}

// Now returns the time on the proxy's clock: the Unix time of its creation in seconds, advanced monotonically since.
func (p *Proxy) Now() float64 { return p.clockBaseSeconds + time.Since(p.clockBase).Seconds() }

// secondsToDuration converts a number of seconds to a time.Duration, for sockets and timers.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
