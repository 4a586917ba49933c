package lease

// sentReportsKept is the number of latest reports whose sending times a follower keeps.
const sentReportsKept = 64

// unknownSentAt is the follower's acknowledgedSentAt while its last assignment acknowledges no report whose sending time is known.
const unknownSentAt = -1

// Follower is a router's end. It follows the controller with the highest epoch that it has heard of, and no other.
type Follower struct {
	incarnation        uint64
	reportsSent        uint64                   // which is the sequence of the last one
	reportSentAt       [sentReportsKept]float64 // by sequence modulo the size
	leaderEpoch        uint64
	assignmentSeq      uint64  // sequence of the last assignment accepted, within leaderEpoch
	acknowledgedSentAt float64 // when the report was sent that the last assignment acknowledges
	content            ContentVersions

	// Refused counts the assignments that did not count, by reason.
	Refused [ReasonCount]uint64
}

// NewFollower returns the end of a router process at its start. Its incarnation must be higher than that of the router's
// earlier processes.
func NewFollower(incarnation uint64) *Follower { return &Follower{incarnation: incarnation} }

// NextReport numbers a report that is about to be sent, and gives the epoch followed, 0 for none, that goes with it.
func (f *Follower) NextReport(now float64) (incarnation, sequence, epoch uint64) {
	f.reportsSent++
	f.reportSentAt[f.reportsSent%sentReportsKept] = now
	return f.incarnation, f.reportsSent, f.leaderEpoch
}

// AcceptAssignment tells whether an assignment counts and, where it does, which parts of its content the router has to apply.
// A part that is older than what the router has, such as an endpoint list that a restarted controller found on its disk, is
// passed over, while the rest of the assignment counts.
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

// checkAssignment finds why an assignment does not count.
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

// sentAt gives when a report was sent, or unknownSentAt. An assignment that acknowledges a report from too long ago proves nothing
// about the present.
func (f *Follower) sentAt(report uint64) float64 {
	if report > 0 && f.reportsSent-report < sentReportsKept {
		return f.reportSentAt[report%sentReportsKept]
	}
	return unknownSentAt
}

// RestoreEndpointsAt notes that the router has an endpoint list from its own disk that was true at the time given.
func (f *Follower) RestoreEndpointsAt(listAt float64) {
	f.content.EndpointsAt = max(f.content.EndpointsAt, listAt)
}

// LeaseEndsAt gives when the lease ends that came with the last assignment, 0 if it counts for nothing. It is counted from the
// sending of the report that the assignment acknowledges: that was before the leader granted the lease, so the lease ends here
// no later than in the leader's ledger, however long either message took.
func (f *Follower) LeaseEndsAt(leaseSeconds float64) float64 {
	if f.acknowledgedSentAt < 0 {
		return 0
	}
	return f.acknowledgedSentAt + leaseSeconds
}

// AssignmentAge gives the age of the last assignment, in seconds, at the most. startedAt is when the router process started:
// there may be no assignment yet.
func (f *Follower) AssignmentAge(now, startedAt float64) float64 {
	return now - max(startedAt, f.acknowledgedSentAt)
}

// Following gives the epoch that counts, 0 for none yet, and the sequence of its last assignment.
func (f *Follower) Following() (epoch, sequence uint64) { return f.leaderEpoch, f.assignmentSeq }
