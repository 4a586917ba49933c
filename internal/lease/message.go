package lease

import "fmt"

// The version of the message schema. Peers whose major versions differ reject each other's
// messages; a higher minor version only adds fields.
const (
	SchemaMajor = 1
	SchemaMinor = 1
)

// AssignmentHeader identifies an assignment.
type AssignmentHeader struct {
	Major              uint32 // major version of the schema
	Epoch              uint64 // epoch of the controller process that sent it
	Sequence           uint64 // increases within that epoch
	Incarnation        uint64 // incarnation of the router process that it is for
	AcknowledgedReport uint64 // sequence of the last report of that process that the controller accepted; 0: none
}

// String describes the assignment in logs and test failures.
func (h AssignmentHeader) String() string {
	return fmt.Sprintf("schema %d, epoch %d, sequence %d, for incarnation %d", h.Major, h.Epoch, h.Sequence, h.Incarnation)
}

// ContentVersions identifies how recent the two parts of an assignment's content are.
type ContentVersions struct {
	EndpointsAt    float64 // when the endpoint list was true, in seconds since the Unix epoch
	ReleaseVersion uint64  // the release service's version of the release; 0: none known yet
}

// A Reason says whether a message counts and, if not, why. Its String is the value of a metric's label.
type Reason int

// The reasons. A message with any reason but Accepted changes nothing.
const (
	Accepted         Reason = iota // the message counts
	SchemaMismatch                 // the sender's major schema version differs
	OtherIncarnation               // it is for another process of the router, or from an earlier one
	StaleEpoch                     // it is from a controller that has been succeeded by another
	StaleSequence                  // it is a duplicate, or a newer message has arrived before it
	UnknownReport                  // it acknowledges a report that was never sent
	Superseded                     // the controller that received it is no longer the newest
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

// String returns the label value under which metrics count the reason.
func (r Reason) String() string { return reasonNames[r] }
