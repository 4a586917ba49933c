// Package metricsanalysis turns the answers of query servers into what the policy takes: counts of the canary against its
// baseline, and health marks on endpoints, which fade. It also schedules the queries within a budget. It does no I/O and reads
// no clock; equal answers give equal evidence. Values that can't be trusted are refused and counted by reason: they make
// evidence absent, never bad.
//
// Instants are float64 seconds since 1970, durations float64 seconds. The types are not safe for concurrent use.
package metricsanalysis

import "flintspread/internal/policy"

// Meaning is what the values of a question's answers are.
type Meaning uint8

// The meanings of values.
const (
	Counts     Meaning = iota // counters of outcomes and of failures among them
	Quantile                  // of latencies, seconds
	Saturation                // 0 to 1
	Probe                     // 1: passed
)

// Question is one thing that every server is queried for, again and again.
type Question struct {
	Name                string
	Meaning             Meaning
	Kind                int     // index into policy.FailureKinds, for Counts
	StaleAfterSeconds   float64 // seconds after which a value says nothing any more
	MaxClockSkewSeconds float64 // seconds that a server's clock may be ahead
	Weight              float64 // 0 to 1, of its marks and counts
	Limit               float64 // a Quantile or a Saturation above it marks an endpoint
	Independent         bool    // no attempt of this relay is in its counts: they are independent of the routers' reports
}

// decays tells whether a question's counts fade with time: lateness comes and goes with the load.
func (q *Question) decays() bool { return q.Meaning == Counts && policy.FailureKinds[q.Kind] == "slow" }

// marksWrongAnswers tells whether a question's failures are wrong answers, and not a sign of a degraded endpoint.
func (q *Question) marksWrongAnswers() bool {
	return q.Meaning == Counts && policy.FailureKinds[q.Kind] == "wrong"
}

// Point is one value of a series.
type Point struct{ At, Value float64 }

// Series is what a server holds of an endpoint under a build, oldest first.
type Series struct {
	Endpoint uint32
	Build    int
	Points   []Point
}

// Answer is what a server answered to a question: the values themselves, or for Counts both counters.
type Answer struct {
	Server, Question int // indexes
	Outcomes         []Series
	Failures         []Series // of Counts only; an endpoint that never failed may be missing
}

// Endpoint is one of the endpoint list.
type Endpoint struct {
	ID        uint32
	Build     int
	StartedAt float64 // of its process
}

// Refusal is why a value did not count.
type Refusal uint8

// The reasons to refuse a value.
const (
	RefusedStale           Refusal = iota // older than the question allows
	RefusedFuture                         // newer than now and the allowed skew
	RefusedNoNumber                       // not a number, infinite or below 0
	RefusedInconsistent                   // more failures than outcomes, or only the failures' counter ran backwards
	RefusedUnknownEndpoint                // of an endpoint that is not listed, or of another build's process
	RefusedTooManySeries                  // above the number of series that are followed
	RefusedDuplicate                      // a second series of one endpoint and build
	RefusalCount           = int(RefusedDuplicate) + 1
)

// String gives the reason as a metric's label has it.
func (r Refusal) String() string {
	return [...]string{"stale", "ahead", "no number", "nonsense", "no such unit", "too many", "doubled"}[r]
}

// AnswerResult counts what became of an answer's values.
type AnswerResult struct {
	AcceptedValues int
	CounterResets  int // counters that began anew
	RefusedValues  [RefusalCount]int
}
