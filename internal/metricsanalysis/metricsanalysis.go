// Package metricsanalysis turns the results from query servers into input for the policy: outcome counts of the canary
// and its baseline, and health marks on endpoints, which decay over time. It also schedules the queries within a
// budget. The package does no I/O and reads no clock, and equal results produce equal evidence. Values that
// cannot be trusted are rejected and counted by reason, so that they lead to missing evidence, never to wrong evidence.
//
// Timestamps are float64 seconds since 1970, durations float64 seconds. The types are not safe for concurrent use.
package metricsanalysis

import "flintspread/internal/policy"

// Meaning is what the values in a query's results measure.
type Meaning uint8

// The meanings of values.
const (
	Counts     Meaning = iota // counters of outcomes and of the failures among them
	Quantile                  // a latency quantile, in seconds
	Saturation                // a utilization, 0 to 1
	Probe                     // 1: passed, 0: failed
)

// Query is a quantity that is periodically queried from every server.
type Query struct {
	Name                string
	Meaning             Meaning
	FailureKind         int     // index into policy.FailureKindNames, for Counts
	StaleAfterSeconds   float64 // age above which a value is ignored
	MaxClockSkewSeconds float64 // maximum lead of a server's clock
	Weight              float64 // 0 to 1; scales the marks and counts from this query
	Limit               float64 // for Quantile and Saturation: value above which an endpoint is marked
	// IndependentOfRouters says that the counts include no attempts of this router group. Otherwise the policy
	// subtracts the attempts that the routers reported, so that no outcome counts twice.
	IndependentOfRouters bool
}

// decays reports whether the counts decay over time. Counts of slow responses do, because they vary with the load.
func (q *Query) decays() bool {
	return q.Meaning == Counts && policy.FailureKindNames[q.FailureKind] == "slow"
}

// countsWrongResponses reports whether the failures are wrong responses. All other failures are signs of a degraded
// endpoint.
func (q *Query) countsWrongResponses() bool {
	return q.Meaning == Counts && policy.FailureKindNames[q.FailureKind] == "wrong"
}

// Point is a value of a series and its timestamp.
type Point struct{ At, Value float64 }

// Series holds a server's values for an endpoint and a build, oldest point first.
type Series struct {
	Endpoint uint32
	Build    int
	Points   []Point
}

// QueryResult is a server's result for a query.
type QueryResult struct {
	Server, Query int      // indexes
	Values        []Series // for Counts, the counters of all outcomes
	Failures      []Series // for Counts only, the counters of failures; an endpoint that never failed may be missing
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        uint32
	Build     int
	StartedAt float64 // start time of its process
}

// RejectReason is the reason why a value was rejected.
type RejectReason uint8

// The reasons for rejecting a value.
const (
	RejectedStale           RejectReason = iota // older than the query's StaleAfterSeconds
	RejectedFuture                              // later than now plus the query's MaxClockSkewSeconds
	RejectedInvalidNumber                       // NaN, infinite or negative
	RejectedInconsistent                        // more failures than outcomes, or only the failure counter decreased
	RejectedUnknownEndpoint                     // from an endpoint that is not listed or runs another build
	RejectedTooManySeries                       // maxSeries series are tracked already
	RejectedDuplicate                           // a second series for the same endpoint and build
	RejectReasonCount       = int(RejectedDuplicate) + 1
)

// String returns the reason as used in metric labels.
func (r RejectReason) String() string {
	return [...]string{"stale", "ahead", "no number", "nonsense", "no such unit", "too many", "doubled"}[r]
}

// ApplySummary counts the accepted and rejected values of a query result. A series that is rejected as a whole counts as
// one value.
type ApplySummary struct {
	AcceptedValues int
	CounterResets  int // outcome counters that decreased
	RejectedValues [RejectReasonCount]int
}
