package lease

import (
	"sort"
	"strconv"
)

// Leader is the controller's side of the protocol.
type Leader struct {
	epoch                uint64
	newerEpoch           uint64 // highest epoch known of a newer controller; 0: none
	assignmentsSent      uint64 // also the sequence number of the last assignment
	routers              map[string]*router
	routerTimeoutSeconds float64
	listeningSince       float64 // start of the process, or the end of its last stall
	lastCallAt           float64 // last call of AcceptReport or ExpireRouters
	ledger               *Ledger
	leaseSeconds         float64

	// Refused counts rejected reports by reason.
	Refused [ReasonCount]uint64
}

// router is the state of a live router, one that has reported within routerTimeoutSeconds.
type router struct {
	incarnation  uint64
	sequence     uint64 // of its last accepted report
	lastReportAt float64
}

// NewLeader returns a leader for a controller process that starts now. Its epoch must be higher than that of every
// earlier controller process. A lease lasts leaseSeconds, the canary traffic limit counts attempts over a window of
// windowSeconds, and a router that has not reported for routerTimeoutSeconds is considered dead.
func NewLeader(epoch uint64, leaseSeconds, windowSeconds, routerTimeoutSeconds, now float64) *Leader {
	return &Leader{epoch: epoch, routerTimeoutSeconds: routerTimeoutSeconds, listeningSince: now, lastCallAt: now,
		ledger: NewLedger(leaseSeconds, windowSeconds, now), routers: map[string]*router{}, leaseSeconds: leaseSeconds}
}

// AcceptReport checks a router's report. followedEpoch is the epoch that the router follows: if it is higher than this
// controller's, a newer controller has superseded this one, which is never the leader again.
func (l *Leader) AcceptReport(now float64, major uint32, name string, incarnation, sequence, followedEpoch uint64) Reason {
	l.detectStall(now)
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

// checkReport returns Accepted, or the reason why a report is rejected. known is the state of the router that sent it, or
// nil if the router is not live.
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

// IsLeader reports whether this controller leads, which it does until it learns of a newer one. A controller that does
// not lead grants no leases and must not vote.
func (l *Leader) IsLeader() bool { return l.newerEpoch == 0 }

// NewerEpoch returns the highest epoch known of a newer controller, or 0 if there is none.
func (l *Leader) NewerEpoch() uint64 { return l.newerEpoch }

// Epoch returns this controller's epoch.
func (l *Leader) Epoch() uint64 { return l.epoch }

// NextAssignment returns the header of the next assignment for a router, the share leased to it, from 0 to 1, and the
// duration of the lease. A router that is not alive receives no share.
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

// SetCanaryWindow sets the window over which the canary traffic limit counts attempts; see Ledger.SetWindow.
func (l *Leader) SetCanaryWindow(now, windowSeconds float64) { l.ledger.SetWindow(now, windowSeconds) }

// leaseHolder identifies one process of a router. A new process does not take over the lease of the previous one, whose
// attempts still count against the canary traffic limit.
func leaseHolder(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 10)
}

// ExpireRouters removes the routers that have not reported for more than routerTimeoutSeconds, and returns their names in
// no particular order. Their leases stay in the ledger until they end. It must be called several times within
// routerTimeoutSeconds.
func (l *Leader) ExpireRouters(now float64) (names []string) {
	l.detectStall(now)
	for name, known := range l.routers {
		if now-max(known.lastReportAt, l.listeningSince) > l.routerTimeoutSeconds {
			names = append(names, name)
			delete(l.routers, name)
		}
	}
	return names
}

// detectStall notices that this process did not run for longer than routerTimeoutSeconds. The routers' reports of that
// time may still be unread, so the routers get the whole time again before they are considered dead.
func (l *Leader) detectStall(now float64) {
	if now-l.lastCallAt > l.routerTimeoutSeconds {
		l.listeningSince = now
	}
	l.lastCallAt = now
}

// RoutersKnownAt returns the time from which Routers holds every live router: a router that has not reported by then is
// considered dead. Before, a router may be alive that has not reported to this process yet.
func (l *Leader) RoutersKnownAt() float64 { return l.listeningSince + l.routerTimeoutSeconds }

// RoutersKnown reports whether Routers holds every live router.
func (l *Leader) RoutersKnown(now float64) bool { return now >= l.RoutersKnownAt() }

// Routers returns the sorted names of the live routers.
func (l *Leader) Routers() []string {
	names := make([]string, 0, len(l.routers))
	for name := range l.routers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RouterCount returns the number of live routers.
func (l *Leader) RouterCount() int { return len(l.routers) }

// LeasedShare returns the sum of the shares that may be in use or still count in the canary window, at most 1.
func (l *Leader) LeasedShare(now float64) float64 { return l.ledger.Outstanding(now) }
