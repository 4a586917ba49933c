// Package metricsanalysis turns the answers of query servers into input for the policy: counts of the canary against
// its baseline, and health marks on endpoints, which fade over time. It also schedules the queries within a budget. It
// does no I/O and reads no clock, and equal answers produce equal evidence. Values that cannot be trusted are refused
// and counted by reason, so that they lead to missing evidence, never to wrong evidence.
//
// Instants are float64 seconds since 1970, durations float64 seconds. The types are not safe for concurrent use.
package metricsanalysis

import "flintspread/internal/policy"

// Meaning is what the values in the answers to a question measure.
type Meaning uint8

// The meanings of values.
const (
	Counts     Meaning = iota // counters of outcomes and of the failures among them
	Quantile                  // of latencies, in seconds
	Saturation                // 0 to 1
	Probe                     // 1: passed, 0: failed
)

// Query is one quantity that every server is queried for periodically.
type Query struct {
	Name                 string
	Meaning              Meaning
	FailureKind          int     // index into policy.FailureKinds, for Counts
	StaleAfterSeconds    float64 // age above which a value is ignored
	MaxClockSkewSeconds  float64 // how far a server's clock may be ahead
	Weight               float64 // 0 to 1; scales its marks and counts
	Limit                float64 // an endpoint with a Quantile or Saturation above it is marked
	IndependentOfRouters bool    // its counts include no attempts of this relay, so they are independent of the routers' reports
}

// decays reports whether a question's counts decay over time, as those of slow answers do, which vary with the load.
func (q *Query) decays() bool {
	return q.Meaning == Counts && policy.FailureKinds[q.FailureKind] == "slow"
}

// countsWrongResponses reports whether a question's failures are wrong answers, as opposed to a sign of a degraded
// endpoint.
func (q *Query) countsWrongResponses() bool {
	return q.Meaning == Counts && policy.FailureKinds[q.FailureKind] == "wrong"
}

// Point is one value of a series.
type Point struct{ At, Value float64 }

// Series is a server's data on an endpoint under a build, oldest point first.
type Series struct {
	Endpoint uint32
	Build    int
	Points   []Point
}

// QueryResult is a server's answer to a question. Outcomes holds the values; for Counts, these are the counters of all
// outcomes.
type QueryResult struct {
	Server, Query int // indexes
	Values        []Series
	Failures      []Series // for Counts only; an endpoint that never failed may be missing
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        uint32
	Build     int
	StartedAt float64 // start of its process
}

// RejectReason is the reason why a value was refused.
type RejectReason uint8

// The reasons for refusing a value.
const (
	RejectedStale           RejectReason = iota // older than the question allows
	RejectedFuture                              // newer than now plus the allowed clock skew
	RejectedInvalidNumber                       // NaN, infinite or negative
	RejectedInconsistent                        // more failures than outcomes, or only the failure counter went backwards
	RejectedUnknownEndpoint                     // of an endpoint that is not listed, or that runs another build
	RejectedTooManySeries                       // above the limit of tracked series
	RejectedDuplicate                           // a second series for the same endpoint and build
	RejectReasonCount       = int(RejectedDuplicate) + 1
)

// String returns the reason as used in metric labels.
func (r RejectReason) String() string {
	return [...]string{"stale", "ahead", "no number", "nonsense", "no such unit", "too many", "doubled"}[r]
}

// ApplySummary counts the accepted and refused values of an answer.
type ApplySummary struct {
	AcceptedValues int
	CounterResets  int // counters that restarted
	RejectedValues [RejectReasonCount]int
}
