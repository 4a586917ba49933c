package policy

// Request is one request until its last attempt has ended. The caller owns it, adds an Attempt for each Send, and marks what
// becomes of it; Pick fills Config and FirstSeenAt and normalises Work.
type Request struct {
	ID           uint32
	Class        int     // index into Config.Classes
	Config       *Config // in force when it was received; nil: the current one
	Key          uint64  // of requests that are idempotent with a key, or of one-way keys; 0: none
	ReceivedAt   float64
	FirstSeenAt  float64 // when its client first asked, as far as can be told
	Deadline     float64 // when its client gives up
	Work         float64 // expected work, 0: unknown; relative to the typical request after the first Pick
	ClientRetry  bool    // the client says that it asks again
	Streaming    bool    // a part of the answer has gone to the client; set by callers that stream answers
	Completed    bool    // it has its final answer, or nobody waits for one
	NotConnected bool    // the attempt that ended last reached no endpoint
	Attempts     []Attempt
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Endpoint   uint32
	StartedAt  float64
	InFlight   bool // it has no outcome yet
	MayHaveRun bool // once it ended: the endpoint may have executed the request
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded      Outcome = iota
	ServerError            // the endpoint answered with an error
	Overloaded             // the endpoint turned it away without looking at it
	TimedOut               // may have run
	NotConnected           // no connection could be made; it never ran
	ConnectionLost         // may have run
	Cancelled              // may have run
	NotSent                // given up before it left; it never ran
	OutcomeCount           // how many outcomes there are
)

// isFailure tells whether an outcome speaks against its endpoint or build.
func (o Outcome) isFailure() bool {
	return o == ServerError || o == TimedOut || o == ConnectionLost || o == NotConnected
}

// IsAnswer tells whether the outcome came from the endpoint itself.
func (o Outcome) IsAnswer() bool { return o == Succeeded || o == ServerError || o == Overloaded }

// MayHaveRun tells whether an attempt with this outcome may have had an effect.
func (o Outcome) MayHaveRun() bool { return o != NotSent && o != NotConnected && o != Overloaded }

// Action is what the caller has to do with a request.
type Action uint8

// What a caller may have to do.
const (
	NoAction Action = iota
	Send            // start an attempt at Decision.Endpoint
	Hold            // pick again at Decision.PickAgainAt
	Reject          // final answer: a retry is harmless, after Decision.RetryAfterSeconds
	Fail            // final answer: it may have run
)

// Decision is the answer of Pick and OnAttemptDone.
type Decision struct {
	Action            Action
	Endpoint          uint32
	AttemptDeadline   float64 // the attempt has to be given up then
	PickAgainAt       float64 // call Pick again then; not, if it is 0 or not before the request's deadline
	RetryAfterSeconds float64
	CancelInFlight    bool // cancel the attempts in flight
}

// attemptsInFlight is how many attempts have no outcome yet.
func (r *Request) attemptsInFlight() (n int) {
	for _, attempt := range r.Attempts {
		n += boolToInt(attempt.InFlight)
	}
	return n
}

// class is the request's class by the configuration that it came under.
func (r *Request) class() *RequestClass { return &r.Config.Classes[r.Class] }
