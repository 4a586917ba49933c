package lease

import (
	"sort"
	"strconv"
)

// Leader is a controller's end.
type Leader struct {
	epoch                uint64
	newerEpoch           uint64 // of a controller that has come after this one; 0: none known
	assignmentsSent      uint64 // which is the sequence of the last one
	routers              map[string]*router
	routerTimeoutSeconds float64
	ledger               *Ledger
	leaseSeconds         float64

	// Refused counts the reports that did not count, by reason.
	Refused [ReasonCount]uint64
}

// router is what the leader knows of a router that is alive.
type router struct {
	incarnation  uint64
	sequence     uint64 // of its last report
	lastReportAt float64
}

// NewLeader returns the end of a controller process at its start. Its epoch must be higher than that of every controller
// before it. A lease lasts leaseSeconds, the canary limit counts attempts over windowSeconds, and a router without a report for
// routerTimeoutSeconds is taken for dead.
func NewLeader(epoch uint64, leaseSeconds, windowSeconds, routerTimeoutSeconds, now float64) *Leader {
	return &Leader{epoch: epoch, routerTimeoutSeconds: routerTimeoutSeconds, ledger: NewLedger(leaseSeconds, windowSeconds, now),
		routers: map[string]*router{}, leaseSeconds: leaseSeconds}
}

// AcceptReport tells whether a router's report counts. followedEpoch is the epoch that the router follows: where it is higher
// than this controller's, another controller has come after it, and this one stops being the leader for good.
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

// checkReport finds why a report of a router does not count; known is nil for a router that is not known to be alive.
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

// IsLeader tells whether this controller is the newest, as far as it knows. One that is not casts no vote and leases nothing.
func (l *Leader) IsLeader() bool { return l.newerEpoch == 0 }

// NewerEpoch gives the highest epoch known to have come after this one, 0 for none.
func (l *Leader) NewerEpoch() uint64 { return l.newerEpoch }

// Epoch gives this controller's epoch.
func (l *Leader) Epoch() uint64 { return l.epoch }

// NextAssignment gives the header of the next assignment for a router, and the share that is leased to it, from 0 to 1, with
// the lease's length. A router that has not reported gets no share.
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

// leaseHolder names one process of a router: what the process before it spent still counts.
func leaseHolder(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 10)
}

// ExpireRouters forgets the routers that have not reported for too long, and gives their names. Their leases run out by
// themselves.
func (l *Leader) ExpireRouters(now float64) (names []string) {
	for name, known := range l.routers {
		if now-known.lastReportAt > l.routerTimeoutSeconds {
			names = append(names, name)
			delete(l.routers, name)
		}
	}
	return names
}

// Routers gives the names of the routers alive, sorted.
func (l *Leader) Routers() []string {
	names := make([]string, 0, len(l.routers))
	for name := range l.routers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RouterCount gives the number of routers alive.
func (l *Leader) RouterCount() int { return len(l.routers) }

// LeasedShare gives the sum of the shares that may be in use or count still, at most 1.
func (l *Leader) LeasedShare(now float64) float64 { return l.ledger.Outstanding(now) }
