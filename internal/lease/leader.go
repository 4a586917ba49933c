package lease

import (
	"sort"
	"strconv"
)

// Leader is a controller's end of the channel.
type Leader struct {
	epoch                uint64
	newerEpoch           uint64 // highest epoch known to have succeeded this one; 0: none
	assignmentsSent      uint64 // also the sequence of the last one
	routers              map[string]*router
	routerTimeoutSeconds float64
	ledger               *Ledger
	leaseSeconds         float64

	// Refused counts rejected reports by reason.
	Refused [ReasonCount]uint64
}

// router is the state of a router that is alive.
type router struct {
	incarnation  uint64
	sequence     uint64 // sequence of its last report
	lastReportAt float64
}

// NewLeader returns the leader of a controller process at its start. Its epoch must be higher than that of every
// earlier controller process. A lease lasts leaseSeconds, the canary limit counts attempts over windowSeconds, and a
// router that has not reported for routerTimeoutSeconds is considered dead.
func NewLeader(epoch uint64, leaseSeconds, windowSeconds, routerTimeoutSeconds, now float64) *Leader {
	return &Leader{epoch: epoch, routerTimeoutSeconds: routerTimeoutSeconds, ledger: NewLedger(leaseSeconds, windowSeconds, now),
		routers: map[string]*router{}, leaseSeconds: leaseSeconds}
}

// AcceptReport reports whether a router's report counts. followedEpoch is the epoch that the router follows: if it is
// higher than this controller's, another controller has succeeded it, and this one stops being the leader for good.
func (l *Leader) AcceptReport(now float64, major uint32, name string, incarnation, sequence, followedEpoch uint64) Reason {
	reason := l.checkReport(major, l.routers[name], incarnation, sequence, followedEpoch)
	if reason == Superseded {
		l.newerEpoch = max(l.newerEpoch, followedEpoch)
	}
	if reason != Accepted {
		l.Refused[reason]++
		return reason
	}
	l.routers[name] = &router{incarnation: incarnation, sequence: sequence, lastReportAt: now}
	return Accepted
}

// checkReport returns the reason why a report does not count, or Accepted; known is nil
// for a router not known to be alive.
func (l *Leader) checkReport(major uint32, known *router, incarnation, sequence, followedEpoch uint64) Reason {
	switch {
	case major != SchemaMajor:
		return SchemaMismatch
	case followedEpoch > l.epoch:
		return Superseded
	case known != nil && incarnation < known.incarnation:
		return OtherIncarnation
	case known != nil && incarnation == known.incarnation && sequence <= known.sequence:
		return StaleSequence
	}
	return Accepted
}

// IsLeader reports whether this controller is the newest, as far as it knows. If not, it
// leases nothing and must not vote.
func (l *Leader) IsLeader() bool { return l.newerEpoch == 0 }

// NewerEpoch returns the highest epoch known to have succeeded this one, 0 for none.
func (l *Leader) NewerEpoch() uint64 { return l.newerEpoch }

// Epoch returns this controller's epoch.
func (l *Leader) Epoch() uint64 { return l.epoch }

// NextAssignment returns the header of the next assignment for a router, the share leased to it, from 0 to 1, and the
// length of the lease. A router that has not reported receives no share.
func (l *Leader) NextAssignment(now float64, name string) (header AssignmentHeader, share, leaseSeconds float64) {
	l.assignmentsSent++
	header = AssignmentHeader{Major: SchemaMajor, Epoch: l.epoch, Sequence: l.assignmentsSent}
	if known := l.routers[name]; known != nil {
		header.Incarnation, header.AcknowledgedReport = known.incarnation, known.sequence
		if l.IsLeader() {
			share = l.ledger.Grant(now, leaseHolder(name, known.incarnation), len(l.routers))
		}
	}
	return header, share, l.leaseSeconds
}

// leaseHolder identifies one process of a router: a new process does not take over the lease of
// the previous one, whose attempts still count.
func leaseHolder(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 10)
}

// ExpireRouters forgets the routers that have not reported for too long and returns their
// names, unsorted. Their leases expire on their own.
func (l *Leader) ExpireRouters(now float64) (names []string) {
	for name, known := range l.routers {
		if now-known.lastReportAt > l.routerTimeoutSeconds {
			names = append(names, name)
			delete(l.routers, name)
		}
	}
	return names
}

// Routers returns the names of the routers alive, sorted.
func (l *Leader) Routers() []string {
	names := make([]string, 0, len(l.routers))
	for name := range l.routers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RouterCount returns the number of routers alive.
func (l *Leader) RouterCount() int { return len(l.routers) }

// LeasedShare returns the sum of the shares that may be in use or still count in the window, at most 1.
func (l *Leader) LeasedShare(now float64) float64 { return l.ledger.Outstanding(now) }
