package lease

import (
	"sort"
	"strconv"
)

// Leader is a planner's end.
type Leader struct {
	epoch    uint64
	number   uint64
	silence  float64
	ledger   *Ledger
	edges    map[string]*edge
	newer    uint64 // epoch of a planner that has come after this one, 0: none
	Refused  [ReasonCount]uint64
	lifeTime float64
}

type edge struct {
	life, seq uint64
	heard     float64
}

// NewLeader is a planner's at its start. epoch must be above that of every planner before it; life is how long a lease
// lasts, window the rule's on exposure; an edge that is silent for so long is taken for dead.
func NewLeader(epoch uint64, life, window, silence, now float64) *Leader {
	return &Leader{epoch: epoch, silence: silence, ledger: NewLedger(life, window, now), edges: map[string]*edge{}, lifeTime: life}
}

// AcceptReport says whether an edge's digest counts. following is the epoch that the edge follows: where that is above this
// planner's, another has come after it, and it has to step down.
func (l *Leader) AcceptReport(now float64, major uint32, name string, life, seq, following uint64) (r Reason) {
	e := l.edges[name]
	switch {
	case major != SchemaMajor:
		r = SchemaMismatch
	case following > l.epoch:
		l.newer = max(l.newer, following)
		r = Superseded
	case e != nil && life < e.life:
		r = OtherIncarnation
	case e != nil && life == e.life && seq <= e.seq:
		r = StaleSequence
	}
	if r != Accepted {
		l.Refused[r]++
		return r
	}
	l.edges[name] = &edge{life: life, seq: seq, heard: now}
	return Accepted
}

// IsLeader tells whether this planner is the newest, as far as it knows. One that is not casts no vote and lends nothing.
func (l *Leader) IsLeader() bool { return l.newer == 0 }

// NewerEpoch is the epoch that came after this one.
func (l *Leader) NewerEpoch() uint64 { return l.newer }

// Epoch is this planner's.
func (l *Leader) Epoch() uint64 { return l.epoch }

// NextAssignment gives the head of the next view for an edge, and what is lent to it.
func (l *Leader) NextAssignment(now float64, name string) (h AssignmentHeader, share, life float64) {
	l.number++
	h = AssignmentHeader{Major: SchemaMajor, Epoch: l.epoch, Sequence: l.number}
	if e := l.edges[name]; e != nil {
		h.Incarnation, h.AckedReport = e.life, e.seq
		if l.IsLeader() {
			share = l.ledger.Grant(now, holder(name, e.life), len(l.edges))
		}
	}
	return h, share, l.lifeTime
}

// holder names one process of an edge: what the process before it spent still counts.
func holder(name string, life uint64) string { return name + "/" + strconv.FormatUint(life, 10) }

// ExpireRouters gives the edges that have been silent for too long, and forgets them.
func (l *Leader) ExpireRouters(now float64) (names []string) {
	for name, e := range l.edges {
		if now-e.heard > l.silence {
			names = append(names, name)
			delete(l.edges, name)
		}
	}
	return names
}

// Routers gives the edges alive.
func (l *Leader) Routers() []string {
	names := make([]string, 0, len(l.edges))
	for name := range l.edges {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RouterCount is how many are alive.
func (l *Leader) RouterCount() int { return len(l.edges) }

// LeasedShare is the sum of the parts that may be in use or count still.
func (l *Leader) LeasedShare(now float64) float64 { return l.ledger.Outstanding(now) }
