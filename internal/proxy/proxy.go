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

// Proxy forwards requests between client connections and endpoint connections by the decisions of one balancer. Its
// methods may be called from any goroutine, and do not wait unless they say so.
type Proxy struct {
	settings *config.Router
	log      *slog.Logger
	protocol protocol
	castVote func(releases.Vote) // called without the lock; must not wait. nil: a controller votes

	// OnFinalAnswer, where set, is called under the lock with each final answer: the request's class, the kind of answer, and
	// the seconds since the request was received. Requests shed before they were parsed (http_shed.go) are not told. It must not
	// wait, and must be set before Serve is called.
	OnFinalAnswer func(class, kind string, seconds float64)

	connReuseDelaySeconds float64   // after an answer, in which its connection gets no further attempt
	clockBase             time.Time // when the proxy was made, on the monotonic clock
	clockBaseSeconds      float64   // the same instant in Unix seconds
	currentConfig         atomic.Pointer[configstate.Version]
	stop                  chan struct{} // closed by Close
	timerWake             chan struct{} // the timer has to look at the deadlines again
	goroutines            sync.WaitGroup

	shedding        atomic.Bool   // some requests are shed at present
	measureQueueing atomic.Bool   // this process is near its limits: how long requests lay in the kernel is measured
	maxQueuedMillis atomic.Uint32 // the longest that a request lay in the kernel since the last load sample

	mu                sync.Mutex // guards all below, and orders the balancer's calls
	balancer          *policy.Balancer
	shedder           *loadshed.Shedder // nil: nothing is shed by load
	sampler           *processstats.Sampler
	processSample     processstats.Sample
	timerDelaySeconds float64 // how late the timer was at the last load sample
	delayTracker      loadshed.DelayTracker
	shedAnswer        answer               // the answer to requests that are shed,
	shedAnswerConfig  *configstate.Version // under this version
	configState       *configstate.State
	stats             Stats

	lastRequestID   uint32
	inFlight        int                 // accepted requests without a final answer
	inFlightByClass []int               // the same by Request.Class
	requestIDs      map[string]struct{} // of requests in flight, where the protocol names them
	deadlines       deadlineQueue
	answerDeadline  float64 // when every request is to be answered at the latest; 0: no such time

	timerAt      float64 // what the timer waits for
	policyTickAt float64
	idleSweepAt  float64

	pools               map[uint32]*endpointPool // by endpoint id
	endpointConns       map[*endpointConn]struct{}
	endpointListVersion uint64
	endpointListAt      float64 // when what the list says was true

	clients       map[*clientConn]struct{}
	draining      bool
	closed        bool // by Close: no client is admitted any more
	ready         bool
	awaitingReady []func() // answers to clients that asked whether it is ready, before it was

	memory memoryBudget
}

// NewHTTP makes a proxy that speaks HTTP/1.1 to clients and endpoints, and starts its timer; Close ends it. castVote takes
// the balancer's votes on a release; it must not wait. It is nil where a controller votes.
func NewHTTP(settings *config.Router, seed uint64, log *slog.Logger, castVote func(releases.Vote)) *Proxy {
	return newProxy(settings, http1{}, seed, log, castVote)
}

// NewRESP makes one that speaks the platform's RESP2 instead.
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
	p.configState = configstate.NewState(&settings.Document, nil, 0, settings.ConfigWaitSeconds())
	current := p.configState.Current()
	p.currentConfig.Store(current)
	p.balancer = policy.New(*current.Policy, seed, p.clockBaseSeconds)
	p.inFlightByClass = make([]int, len(current.Policy.Classes))
	p.policyTickAt, p.endpointListAt = p.clockBaseSeconds, p.clockBaseSeconds
	p.sampler = processstats.New()
	if overload := settings.Overload; overload != nil {
		p.memory.limitBytes = overload.MemoryBytes
		if overload.Shed {
			p.shedder = loadshed.New(shedderClasses(current.Policy), seed, p.clockBaseSeconds)
		}
	}
	p.goroutines.Add(1)
	go p.runTimer()
	return p
}

// Now is the proxy's clock, in seconds: the Unix time at which it was made, going forward steadily from there.
func (p *Proxy) Now() float64 { return p.clockBaseSeconds + time.Since(p.clockBase).Seconds() }

// secondsToDuration converts the policy's and the settings' spans for sockets and timers.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
