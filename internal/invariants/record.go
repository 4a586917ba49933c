package invariants

import "sync"

// Idempotency says whether a request may run again. The values are those of the settings files.
type Idempotency string

// The kinds of idempotency: idempotent, idempotent by a key within a deduplication scope and window, and
// non-idempotent.
const (
	Idempotent        Idempotency = "redeliverable"
	IdempotentWithKey Idempotency = "deduplicated"
	NonIdempotent     Idempotency = "at-most-once"
)

// The kinds of an Answer, as on the wire. The second group is for requests without an answer and occurs only in
// Report.Answers.
const (
	kindSucceeded = "acked"
	kindRejected  = "nacked"

	kindNoAnswer     = "none"
	kindNotConnected = "unreached"
	kindAbandoned    = "left"
)

// The phases of a release, as on the wire.
const (
	phaseCanary      = "on-trial"
	phaseRollingBack = "going-back"
	phaseReleased    = "released"
	phaseWithdrawn   = "withdrawn"
)

// Request is one request that a client sent. A client's retry is a Request of its own. Times are seconds on the clock
// of the process that observes all sockets; 0 means that the event did not happen.
type Request struct {
	ID                      uint64
	RouterGroup             string
	Class                   string
	Idempotency             Idempotency
	DedupScope              string  // for IdempotentWithKey: all, zone or cell
	DedupWindowSeconds      float64 // for IdempotentWithKey: how long endpoints recognise the key
	Key                     string
	PriorityWeight          float64
	LatencyObjectiveSeconds float64

	FirstSentAt  float64 // when the client sent the first request, of which this one may be a retry
	SentAt       float64 // when this request was written
	Deadline     float64 // when the client gives up
	AbandonedAt  float64 // when the client closed the connection before the deadline
	NotConnected bool    // not a single byte could be sent
	ClosedAt     float64 // when the router closed the connection without an answer
	Answers      []Answer
	WrongAnswer  bool // the answer reported success but its content was wrong
	IsFinal      bool // the client does not retry after this request
}

// Answer is an answer that a client read.
type Answer struct {
	At       float64
	Kind     string // acked, nacked or failed; empty if the answer is of another kind
	Endpoint uint32 // the endpoint that answered, as named in the endpoint's own header
}

// Attempt is a request that an endpoint read.
type Attempt struct {
	RequestID   uint64
	Endpoint    uint32
	At          float64
	RejectedAt  float64 // when the endpoint answered that it did not run the request; 0: the request may have run
	WorkSeconds float64 // on one core at full speed
}

// mayHaveRun reports whether the attempt may have had an effect.
func (a *Attempt) mayHaveRun() bool { return a.RejectedAt == 0 }

// Endpoint is one process of an endpoint, from its start to its end.
type Endpoint struct {
	ID         uint32
	Build      int
	Zone, Cell uint16
	StartedAt  float64
	Capacity   float64 // seconds of work per second once slow start is over
	FailedAt   float64 // when it failed from overload in slow start; 0: it did not
}

// EndpointUpdate is an update on an endpoint that was sent to a router group.
type EndpointUpdate struct {
	At          float64
	RouterGroup string
	Endpoint    uint32
	Ready       bool // false: the endpoint is draining or gone
}

// ReleaseUpdate is an update on a release that was sent to a router group.
type ReleaseUpdate struct {
	At           float64
	RouterGroup  string
	Build, Stage int
	Phase        string
	CanaryLimit  float64
}

// Incarnation is one process of a router group, from its start until it was killed or had stopped. A router group is a
// controller with its routers, or a single router without a controller.
type Incarnation struct {
	RouterGroup        string
	IsController       bool // false: a router
	StartedAt, EndedAt float64
	Killed             bool
	DrainingFrom       float64      // when a graceful shutdown was requested; 0: none was
	Pauses             [][2]float64 // start and end of each pause by signals
}

// covers reports whether the process existed at the given time.
func (p *Incarnation) covers(at float64) bool {
	return p.StartedAt <= at && (p.EndedAt == 0 || at <= p.EndedAt)
}

// Record holds everything that was observed on sockets. While other goroutines may write, it may only be accessed
// through Update.
type Record struct {
	mu                sync.Mutex
	Requests          map[uint64]*Request // by ID
	Attempts          []*Attempt
	Endpoints         map[uint32]*Endpoint // by ID
	EndpointUpdates   []EndpointUpdate
	ReleaseUpdates    []ReleaseUpdate
	Incarnations      []*Incarnation
	UnexpectedAnswers []string // answers that arrived while no request was waiting for one
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{Requests: map[uint64]*Request{}, Endpoints: map[uint32]*Endpoint{}}
}

// Update calls change with the record locked. It may be called from any goroutine.
func (r *Record) Update(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}
