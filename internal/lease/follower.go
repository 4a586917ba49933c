package lease

// sentReportsKept is the number of most recent reports whose send times a follower keeps.
const sentReportsKept = 64

// unknownSentAt is the value of acknowledgedSentAt if the last assignment acknowledged no report, or one whose send time
// is no longer stored.
const unknownSentAt = -1

// Follower is the router's side of the protocol. It follows only the controller with the highest epoch that it has
// received.
type Follower struct {
	incarnation        uint64
	reportsSent        uint64                   // also the sequence number of the last report
	reportSentAt       [sentReportsKept]float64 // indexed by sequence number modulo sentReportsKept
	leaderEpoch        uint64
	assignmentSeq      uint64  // sequence number of the last accepted assignment, within leaderEpoch
	acknowledgedSentAt float64 // send time of the report that the last accepted assignment acknowledged
	content            ContentVersions

	// Refused counts rejected assignments by reason.
	Refused [ReasonCount]uint64
}

// NewFollower returns a follower for a router process that starts now. Its incarnation must be higher than that of the
// router's earlier processes.
func NewFollower(incarnation uint64) *Follower { return &Follower{incarnation: incarnation} }

// NextReport returns the header values of a report that is sent now; epoch is that of the controller followed, or 0 if
// there is none yet.
func (f *Follower) NextReport(now float64) (incarnation, sequence, epoch uint64) {
	f.reportsSent++
	f.reportSentAt[f.reportsSent%sentReportsKept] = now
	return f.incarnation, f.reportsSent, f.leaderEpoch
}

// AcceptAssignment checks an assignment and, if it is accepted, returns which parts of its content the router must
// apply. An endpoint list that is not newer than the router's, for instance because a restarted controller read it from
// its disk, is skipped, and so is an older release; the rest of the assignment applies.
func (f *Follower) AcceptAssignment(header AssignmentHeader, content ContentVersions) (reason Reason, applyEndpoints, applyRelease bool) {
	if reason = f.checkAssignment(header); reason != Accepted {
		f.Refused[reason]++
		return reason, false, false
	}
	f.leaderEpoch, f.assignmentSeq = header.Epoch, header.Sequence
	f.acknowledgedSentAt = f.sentAt(header.AcknowledgedReport)
	applyEndpoints = f.isNewerList(content)
	applyRelease = content.ReleaseVersion > 0 && content.ReleaseVersion >= f.content.ReleaseVersion
	if applyEndpoints {
		f.content.EndpointsAt, f.content.EndpointsVersion = content.EndpointsAt, content.EndpointsVersion
	}
	if applyRelease {
		f.content.ReleaseVersion = content.ReleaseVersion
	}
	return Accepted, applyEndpoints, applyRelease
}

// isNewerList reports whether the endpoint list of an accepted assignment is newer than the router's or confirms it again. A
// later version is newer whatever age its service stated. An earlier one is so only if it was current later, as of a
// service that has begun its numbers anew.
func (f *Follower) isNewerList(content ContentVersions) bool {
	return content.EndpointsVersion > f.content.EndpointsVersion || content.EndpointsAt > f.content.EndpointsAt
}

// checkAssignment returns Accepted, or the reason why an assignment is rejected.
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

// sentAt returns when a report was sent, or unknownSentAt if that time is no longer stored. An assignment that
// acknowledges so old a report does not show that the controller is alive now, so it grants no lease.
func (f *Follower) sentAt(report uint64) float64 {
	if report > 0 && f.reportsSent-report < sentReportsKept {
		return f.reportSentAt[report%sentReportsKept]
	}
	return unknownSentAt
}

// RestoreEndpoints records that the router has loaded a version of the endpoint list from its own disk. listAt is when the
// list was last known to be current, in seconds since the Unix epoch.
func (f *Follower) RestoreEndpoints(version uint64, listAt float64) {
	f.content.EndpointsVersion, f.content.EndpointsAt = version, listAt
}

// LeaseEndsAt returns when the lease of the last accepted assignment ends, or 0 if it has none. The lease starts when the
// router sent the report that the assignment acknowledges. The leader granted it after that, so it ends here no later
// than in the leader's ledger, however long either message took.
func (f *Follower) LeaseEndsAt(leaseSeconds float64) float64 {
	if f.acknowledgedSentAt < 0 {
		return 0
	}
	return f.acknowledgedSentAt + leaseSeconds
}

// AssignmentAge returns an upper bound on the age of the last accepted assignment, in seconds. Before the first one, it
// is the time since startedAt, the start of the router process.
func (f *Follower) AssignmentAge(now, startedAt float64) float64 {
	return now - max(startedAt, f.acknowledgedSentAt)
}

// Following returns the epoch of the controller followed, 0 if there is none yet, and the sequence number of the last
// assignment accepted from it.
func (f *Follower) Following() (epoch, sequence uint64) { return f.leaderEpoch, f.assignmentSeq }
