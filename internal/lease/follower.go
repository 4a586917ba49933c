package lease

// sentReportsKept is the number of most recent reports whose sending times a follower keeps.
const sentReportsKept = 64

// unknownSentAt is the value of acknowledgedSentAt if the last assignment acknowledged no
// report with a known sending time.
const unknownSentAt = -1

// Follower is a router's end of the channel. It follows the controller with the highest
// epoch that it has heard of, and no other.
type Follower struct {
	incarnation        uint64
	reportsSent        uint64                   // also the sequence of the last one
	reportSentAt       [sentReportsKept]float64 // indexed by sequence modulo the size
	leaderEpoch        uint64
	assignmentSeq      uint64  // sequence of the last assignment accepted, within leaderEpoch
	acknowledgedSentAt float64 // sending time of the report that the last assignment acknowledged
	content            ContentVersions

	// Refused counts rejected assignments by reason.
	Refused [ReasonCount]uint64
}

// NewFollower returns the follower of a router process at its start. Its incarnation must be
// higher than that of the router's earlier processes.
func NewFollower(incarnation uint64) *Follower { return &Follower{incarnation: incarnation} }

// NextReport numbers a report that is sent now, and returns the header values to send with
// it; epoch is the epoch followed, 0 for none.
func (f *Follower) NextReport(now float64) (incarnation, sequence, epoch uint64) {
	f.reportsSent++
	f.reportSentAt[f.reportsSent%sentReportsKept] = now
	return f.incarnation, f.reportsSent, f.leaderEpoch
}

// AcceptAssignment reports whether an assignment counts and, if so, which parts of its content the router must apply. A
// part that is older than what the router has, such as an endpoint list that a restarted controller read from its disk,
// is skipped, while the rest of the assignment counts.
func (f *Follower) AcceptAssignment(header AssignmentHeader, content ContentVersions) (reason Reason, applyEndpoints, applyRelease bool) {
	if reason = f.checkAssignment(header); reason != Accepted {
		f.Refused[reason]++
		return reason, false, false
	}
	f.leaderEpoch, f.assignmentSeq = header.Epoch, header.Sequence
	f.acknowledgedSentAt = f.sentAt(header.AcknowledgedReport)
	applyEndpoints = content.EndpointsAt > f.content.EndpointsAt
	applyRelease = content.ReleaseVersion > 0 && content.ReleaseVersion >= f.content.ReleaseVersion
	if applyEndpoints {
		f.content.EndpointsAt = content.EndpointsAt
	}
	if applyRelease {
		f.content.ReleaseVersion = content.ReleaseVersion
	}
	return Accepted, applyEndpoints, applyRelease
}

// checkAssignment returns the reason why an assignment does not count, or Accepted.
func (f *Follower) checkAssignment(header AssignmentHeader) Reason {
	switch {
	case header.Major != SchemaMajor:
		return SchemaMismatch
	case header.Incarnation != f.incarnation:
		return OtherIncarnation
	case header.Epoch < f.leaderEpoch:
		return StaleEpoch
	case header.Epoch == f.leaderEpoch && header.Sequence <= f.assignmentSeq:
		return StaleSequence
	case header.AcknowledgedReport > f.reportsSent:
		return UnknownReport
	}
	return Accepted
}

// sentAt returns when a report was sent, or unknownSentAt. An assignment that acknowledges a report from
// too long ago proves nothing about the present.
func (f *Follower) sentAt(report uint64) float64 {
	if report > 0 && f.reportsSent-report < sentReportsKept {
		return f.reportSentAt[report%sentReportsKept]
	}
	return unknownSentAt
}

// RestoreEndpointsAt records that the router has loaded an endpoint list from its own disk that was
// true at listAt, in seconds since the Unix epoch.
func (f *Follower) RestoreEndpointsAt(listAt float64) {
	f.content.EndpointsAt = max(f.content.EndpointsAt, listAt)
}

// LeaseEndsAt returns when the lease of the last assignment ends, or 0 if it has none. The lease is counted from the
// sending of the report that the assignment acknowledges: that was before the leader granted the lease, so the lease
// ends here no later than in the leader's ledger, however long either message took.
func (f *Follower) LeaseEndsAt(leaseSeconds float64) float64 {
	if f.acknowledgedSentAt < 0 {
		return 0
	}
	return f.acknowledgedSentAt + leaseSeconds
}

// AssignmentAge returns the maximum age of the last assignment, in seconds. startedAt is when the router process
// started, which counts while there is no assignment.
func (f *Follower) AssignmentAge(now, startedAt float64) float64 {
	return now - max(startedAt, f.acknowledgedSentAt)
}

// Following returns the epoch followed, 0 for none yet, and the sequence of its last assignment.
func (f *Follower) Following() (epoch, sequence uint64) { return f.leaderEpoch, f.assignmentSeq }
