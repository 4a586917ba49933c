package invariants

import "sync"

// Idempotency says whether a request may run again. The values are the operators' words, as in the settings files.
type Idempotency string

// What a request may be: idempotent, idempotent with a key within a scope and window, or non-idempotent.
const (
	Idempotent        Idempotency = "redeliverable"
	IdempotentWithKey Idempotency = "deduplicated"
	NonIdempotent     Idempotency = "at-most-once"
)

// The kinds of an Answer, by the wire's words. What a client got instead of an answer has a kind too in Report.Answers.
const (
	kindSucceeded = "acked"
	kindRejected  = "nacked"

	kindNone         = "none"
	kindNotConnected = "unreached"
	kindAbandoned    = "left"
)

// The phases of a release, by the wire's words.
const (
	phaseCanary      = "on-trial"
	phaseRollingBack = "going-back"
	phaseReleased    = "released"
	phaseWithdrawn   = "withdrawn"
)

// Request is one try of a client: a client that tries again makes another Request. Instants are seconds on the clock of the process
// that watches all sockets; 0 where the thing did not happen.
type Request struct {
	ID                      uint64
	RouterGroup             string
	Class                   string
	Idempotency             Idempotency
	DedupScope              string  // of IdempotentWithKey: all, zone or cell
	DedupWindowSeconds      float64 // of IdempotentWithKey: how long endpoints recognise the key
	Key                     string
	PriorityWeight          float64
	LatencyObjectiveSeconds float64

	FirstSentAt  float64 // when its client sent its first try
	SentAt       float64 // when this try was written
	Deadline     float64 // when the client gives up
	AbandonedAt  float64 // when the client closed the connection
	NotConnected bool    // no byte of it could be sent
	ClosedAt     float64 // when the relay closed the connection instead of an answer
	Answers      []Answer
	WrongAnswer  bool // an answer that it succeeded was wrong
	FinalTry     bool // the client does not try again
}

// Answer is one that a client read.
type Answer struct {
	At       float64
	Kind     string // acked, nacked or failed; empty if it was none of these
	Endpoint uint32 // the endpoint that gave it, by the endpoint's own header
}

// Attempt is a request that an endpoint read.
type Attempt struct {
	RequestID   uint64
	Endpoint    uint32
	At          float64
	RejectedAt  float64 // when the endpoint answered that it did not run it; 0: it may have run
	WorkSeconds float64 // of one core at full speed
}

// mayHaveRun reports whether the attempt may have had an effect.
func (a *Attempt) mayHaveRun() bool { return a.RejectedAt == 0 }

// Endpoint is one process of an endpoint, from its start to its end.
type Endpoint struct {
	ID         uint32
	Build      int
	Zone, Cell uint16
	StartedAt  float64
	Capacity   float64 // seconds of work a second after slow start
	FailedAt   float64 // when it was overloaded in slow start; 0: it was not
}

// EndpointUpdate is what a relay was sent about an endpoint.
type EndpointUpdate struct {
	At          float64
	RouterGroup string
	Endpoint    uint32
	Ready       bool // false: it drains or is gone
}

// ReleaseUpdate is what a relay was sent about a release.
type ReleaseUpdate struct {
	At           float64
	RouterGroup  string
	Build, Stage int
	Phase        string
	CanaryLimit  float64
}

// Incarnation is one process of a relay's router or controller, from its start until it was killed or had stopped.
type Incarnation struct {
	RouterGroup        string
	IsController       bool // it directs the relay's routers, which have processes of their own
	StartedAt, EndedAt float64
	Killed             bool
	DrainingFrom       float64      // when it was told to shut down gracefully; 0: it was not
	Pauses             [][2]float64 // when it was stopped from outside and continued
}

// covers reports whether the process existed at an instant.
func (l *Incarnation) covers(at float64) bool {
	return l.StartedAt <= at && (l.EndedAt == 0 || at <= l.EndedAt)
}

// Record is all that was seen on sockets. Only Enter may be used while others write.
type Record struct {
	mu              sync.Mutex
	Requests        map[uint64]*Request // by ID
	Attempts        []*Attempt
	Endpoints       map[uint32]*Endpoint // by ID
	EndpointUpdates []EndpointUpdate
	ReleaseUpdates  []ReleaseUpdate
	Incarnations    []*Incarnation
	StrayAnswers    []string // what came on a connection when nothing was waited for
}

// NewRecord makes an empty record.
func NewRecord() *Record {
	return &Record{Requests: map[uint64]*Request{}, Endpoints: map[uint32]*Endpoint{}}
}

// Update changes the record under its lock. It may be called from any goroutine.
func (r *Record) Update(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}
