package lease

import "fmt"

// The version of the message schema. Peers whose major versions differ reject each other's messages; a higher minor
// version only adds fields.
const (
	SchemaMajor = 1
	SchemaMinor = 2
)

// AssignmentHeader identifies an assignment.
type AssignmentHeader struct {
	Major              uint32 // major version of the schema
	Epoch              uint64 // epoch of the sending controller process
	Sequence           uint64 // increases within the epoch
	Incarnation        uint64 // incarnation of the router process that the assignment is for
	AcknowledgedReport uint64 // sequence number of the last report accepted from that process; 0: none
}

// String describes the assignment in logs and test failures.
func (h AssignmentHeader) String() string {
	return fmt.Sprintf("schema %d, epoch %d, sequence %d, for incarnation %d", h.Major, h.Epoch, h.Sequence, h.Incarnation)
}

// ContentVersions identifies how recent the two parts of an assignment's content are.
type ContentVersions struct {
	EndpointsAt      float64 // when the endpoint list was last known to be current, in seconds since the Unix epoch
	EndpointsVersion uint64  // the list service's version of the endpoint list
	ReleaseVersion   uint64  // the release service's version of the release; 0: none known yet
}

// Reason is the result of checking a message: Accepted, or why the message is rejected. Its String is a metric label.
type Reason int

// The reasons. A rejected message changes nothing, except that Superseded ends the receiving controller's leadership.
const (
	Accepted         Reason = iota // the message must be applied
	SchemaMismatch                 // the sender's major schema version differs
	OtherIncarnation               // an assignment for another process of the router, or a report from an earlier one
	StaleEpoch                     // an assignment from a controller that a newer one has superseded
	StaleSequence                  // a duplicate, or a newer message has arrived first
	UnknownReport                  // an assignment that acknowledges a report that was never sent
	Superseded                     // a report from a router that follows a newer controller than the receiver
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

// String returns the metric label value of the reason.
func (r Reason) String() string { return reasonNames[r] }
