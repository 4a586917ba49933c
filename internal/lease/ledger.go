// Package accord decides, at both ends of the link between an edge and its planner, which message counts and what each
// edge may spend. It is free of I/O and clocks: times are seconds on the caller's clock, passed in.
//
// Messages are idempotent and monotone: an edge's digest holds all it counted, a view all that binds the edge. Each is
// numbered, the newest counts, and one that was lost, repeated or overtaken does no harm.
package lease

import "sort"

// Ledger keeps what a planner lends its edges of the one free part that the rule on exposure allows their sum. A lease
// that was given may be in use until it ends, and what was sent under it counts for a window more; only then is it free to
// be lent again. So the parts out never exceed one, whoever dies and whichever message is lost.
type Ledger struct {
	life, window float64
	from         float64 // nothing is lent before
	out          map[string][]lease
}

type lease struct{ share, ends float64 }

// NewLedger is a planner's at its start. Leases of the planner before it may be out still: it lends nothing until they
// have ended and their window is over.
func NewLedger(life, window, now float64) *Ledger {
	return &Ledger{life: life, window: window, from: now + life + window, out: map[string][]lease{}}
}

// Grant gives who a part for a lease's life from now on, alive being how many edges want one.
func (l *Ledger) Grant(now float64, who string, alive int) (share float64) {
	l.expire(now)
	if now < l.from {
		return 0
	}
	others := 0.0
	for name := range l.out {
		if name != who {
			others += l.held(name)
		}
	}
	if share = min(1/float64(max(1, alive)), 1-others); share < 1e-9 {
		return 0
	}
	// Renewed each time, a lease of the same size only ends later.
	if n := len(l.out[who]); n > 0 && l.out[who][n-1].share == share {
		l.out[who][n-1].ends = now + l.life
	} else {
		l.out[who] = append(l.out[who], lease{share, now + l.life})
	}
	return share
}

// held is the most that one edge may still be using, or has used within the window.
func (l *Ledger) held(who string) (most float64) {
	for _, x := range l.out[who] {
		most = max(most, x.share)
	}
	return most
}

func (l *Ledger) expire(now float64) {
	for who, list := range l.out {
		n := 0
		for _, x := range list {
			if x.ends+l.window > now {
				list[n] = x
				n++
			}
		}
		if l.out[who] = list[:n]; n == 0 {
			delete(l.out, who)
		}
	}
}

// Outstanding is the sum of what may be in use or count still, for the operator to see.
func (l *Ledger) Outstanding(now float64) (sum float64) {
	l.expire(now)
	names := make([]string, 0, len(l.out))
	for who := range l.out {
		names = append(names, who)
	}
	sort.Strings(names) // a sum in one order: equal events give equal sums
	for _, who := range names {
		sum += l.held(who)
	}
	return sum
}
