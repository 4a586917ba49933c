package policy

import "iter"

// Request is the state of a request until its last attempt has ended. The caller owns it, but changes no Attempts: Pick
// and OnAttemptDone append one for each Send, and OnAttemptDone ends it. The first Pick sets Config and FirstTriedAt and
// normalises Work.
type Request struct {
	ID                     uint32
	Class                  int     // index into Config.Classes
	Config                 *Config // configuration when it was received; set by the first Pick if nil
	Key                    uint64  // one-way key; 0: none
	IdempotencyKey         uint64  // by which endpoints recognise repeats; 0: none or unknown
	ReceivedAt             float64
	FirstTriedAt           float64 // estimated time of the client's first try
	Deadline               float64 // when its client stops waiting
	Work                   float64 // expected work, 0: unknown; the first Pick divides it by the typical work
	ClientRetry            bool    // the client has marked the request as a retry, or recordArrival assumes so
	Streaming              bool    // part of the answer has been sent to the client; set by callers that stream answers
	Completed              bool    // it has its final answer, or the client has gone
	LastAttemptUndelivered bool    // the last attempt to end was NotConnected or NotSent: a retry costs no token
	Attempts               []Attempt

	recognisedBefore float64 // until when an earlier request's repeats are recognised; 0: no earlier one with the key is known
}

// Attempt is one attempt to send a request to an endpoint. It keeps what later decisions need to know of the endpoint:
// by then the endpoint may have left the list and been forgotten, or be listed as restarted or in another zone or cell.
type Attempt struct {
	Endpoint   uint32
	StartedAt  float64
	InFlight   bool // no outcome yet
	MayHaveRun bool // valid once it has ended: the endpoint may have executed the request

	endedAt float64
	sentTo  *endpoint // the endpoint's process by the list at that time
	moves   int       // sentTo.moves at that time
}

// mayHaveReached returns an iterator over the processes that may have received an attempt. They are the one that it was sent
// to and, because the list may be late, those that were listed in its place since but had started before it ended.
func (a *Attempt) mayHaveReached() iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for e := a.sentTo; e != nil; e = e.replacedBy {
			startedInTime := e == a.sentTo || a.InFlight || e.startedAt <= a.endedAt
			if startedInTime && !yield(e) {
				return
			}
		}
	}
}

// receivedBy returns the process that most likely received an attempt: the newest that is known to have started before the
// attempt was sent.
func (a *Attempt) receivedBy() *endpoint {
	receiver := a.sentTo
	for e := receiver.replacedBy; e != nil; e = e.replacedBy {
		if e.startedAt > 0 && e.startedAt <= a.StartedAt {
			receiver = e
		}
	}
	return receiver
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded      Outcome = iota
	ServerError            // the endpoint answered with an error
	Overloaded             // the endpoint refused the request without executing it
	TimedOut               // may have run
	NotConnected           // no connection could be made; it never ran
	ConnectionLost         // may have run
	Cancelled              // may have run
	NotSent                // abandoned before it was sent; it never ran
	OutcomeCount           // number of outcomes
)

// isFailure reports whether an outcome counts as a failure of its endpoint or build.
func (o Outcome) isFailure() bool {
	return o == ServerError || o == TimedOut || o == ConnectionLost || o == NotConnected
}

// IsAnswer reports whether the outcome is an answer from the endpoint itself.
func (o Outcome) IsAnswer() bool { return o == Succeeded || o == ServerError || o == Overloaded }

// MayHaveRun reports whether an attempt with this outcome may have had an effect.
func (o Outcome) MayHaveRun() bool { return o != NotSent && o != NotConnected && o != Overloaded }

// Action is what the caller must do with a request.
type Action uint8

// The actions.
const (
	NoAction Action = iota
	Send            // carry out the new attempt, at Decision.Endpoint
	Hold            // call Pick again at Decision.PickAgainAt
	Reject          // final answer: a retry is harmless, from Decision.RetryAfterSeconds until RetryBySeconds
	Fail            // final answer: the request may have run
)

// Decision is the result of Pick and OnAttemptDone.
type Decision struct {
	Action            Action
	Endpoint          uint32  // with Send; the attempt is the last of the request's Attempts
	AttemptDeadline   float64 // when the attempt must be abandoned
	PickAgainAt       float64 // when to call Pick again; no call is due if 0 or not before the request's deadline
	RetryAfterSeconds float64 // with Reject: how long the client should wait before it retries
	RetryBySeconds    float64 // with Reject: for how long a retry is harmless; 0: for good
	CancelInFlight    bool    // cancel the attempts in flight
}

// attemptsInFlight returns the number of attempts that have no outcome yet.
func (r *Request) attemptsInFlight() (n int) {
	for _, attempt := range r.Attempts {
		n += boolToInt(attempt.InFlight)
	}
	return n
}

// class returns the request's class under the configuration that the request was received with.
func (r *Request) class() *RequestClass { return &r.Config.Classes[r.Class] }
