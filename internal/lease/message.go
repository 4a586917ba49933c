package lease

import "fmt"

// The version of the message schema. Ends whose major versions differ do not talk; a higher minor version only adds fields.
const (
	SchemaMajor = 1
	SchemaMinor = 1
)

// AssignmentHeader identifies an assignment.
type AssignmentHeader struct {
	Major              uint32 // schema
	Epoch              uint64 // of the controller process that sent it
	Sequence           uint64 // within that epoch
	Incarnation        uint64 // of the router process that it is for
	AcknowledgedReport uint64 // sequence of the last report of that process that the controller had; 0: none
}

// String names the assignment in logs and test failures.
func (h AssignmentHeader) String() string {
	return fmt.Sprintf("schema %d, epoch %d, sequence %d, for incarnation %d", h.Major, h.Epoch, h.Sequence, h.Incarnation)
}

// ContentVersions tells how new the two parts of an assignment's content are.
type ContentVersions struct {
	EndpointsAt    float64 // when the endpoint list was true, in seconds since 1970
	ReleaseVersion uint64  // the release service's version of the release; 0: none known yet
}

// A Reason tells why a message does not count. Its String is the value of a metric's label.
type Reason int

// Reasons. All but Accepted mean that the message changes nothing.
const (
	Accepted         Reason = iota // the message counts
	SchemaMismatch                 // its major version is another
	OtherIncarnation               // it is for, or from, another process of the router
	StaleEpoch                     // it is from a controller that another has followed
	StaleSequence                  // it is a repeat, or a newer one has overtaken it
	UnknownReport                  // it acknowledges a report that was never sent
	Superseded                     // the controller that got it is not the newest any more
	reasonCount
)

// ReasonCount is the number of reasons, for counters by reason.
const ReasonCount = int(reasonCount)

var reasonNames = [reasonCount]string{
	Accepted:         "taken",
	SchemaMismatch:   "other schema",
	OtherIncarnation: "other life",
	StaleEpoch:       "old epoch",
	StaleSequence:    "old number",
	UnknownReport:    "never sent",
	Superseded:       "superseded",
}

// String gives the label value that metrics count the reason under.
func (r Reason) String() string { return reasonNames[r] }
