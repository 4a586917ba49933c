package lease

import "sort"

// minShare is the least share worth a lease; below it, what is left over is rounding.
const minShare = 1e-9

// Ledger keeps which shares of the free canary attempts are leased. A lease may be in use until it ends, and the attempts made
// under it count in the canary limit's window after that; only then may its share be leased again. So the shares outstanding
// never sum to more than 1, whichever router dies and whichever message is lost.
type Ledger struct {
	leaseSeconds  float64
	windowSeconds float64 // over which the canary limit counts attempts
	firstGrantAt  float64
	leases        map[string][]grant // by holder, in the order of their ends
}

// grant is one lease.
type grant struct{ share, endsAt float64 }

// NewLedger returns the ledger of a controller process at its start. Leases of the controller before it may still be in use:
// it grants nothing until they have ended and their window is over.
func NewLedger(leaseSeconds, windowSeconds, now float64) *Ledger {
	return &Ledger{leaseSeconds: leaseSeconds, windowSeconds: windowSeconds, firstGrantAt: now + leaseSeconds + windowSeconds,
		leases: map[string][]grant{}}
}

// Grant leases a holder the share of one of so many holders, or what is left where that is less, from now on. It gives 0 where
// nothing is left.
func (l *Ledger) Grant(now float64, holder string, holders int) (share float64) {
	l.expire(now)
	if now < l.firstGrantAt {
		return 0
	}
	others := 0.0
	for name := range l.leases {
		if name != holder {
			others += l.outstandingOf(name)
		}
	}
	if share = min(1/float64(max(1, holders)), 1-others); share < minShare {
		return 0
	}
	l.record(now, holder, share)
	return share
}

// record notes a lease from now on. One that renews the holder's last with the same share only moves that one's end.
func (l *Ledger) record(now float64, holder string, share float64) {
	granted := l.leases[holder]
	if n := len(granted); n > 0 && granted[n-1].share == share {
		granted[n-1].endsAt = now + l.leaseSeconds
		return
	}
	l.leases[holder] = append(granted, grant{share, now + l.leaseSeconds})
}

// outstandingOf gives the largest share that a holder may still be using, or has used within the window.
func (l *Ledger) outstandingOf(holder string) (largest float64) {
	for _, g := range l.leases[holder] {
		largest = max(largest, g.share)
	}
	return largest
}

// expire drops the leases that have ended and whose window is over.
func (l *Ledger) expire(now float64) {
	for holder, granted := range l.leases {
		kept := granted[:0]
		for _, g := range granted {
			if g.endsAt+l.windowSeconds > now {
				kept = append(kept, g)
			}
		}
		if len(kept) == 0 {
			delete(l.leases, holder)
			continue
		}
		l.leases[holder] = kept
	}
}

// Outstanding gives the sum of the shares that may be in use or count still.
func (l *Ledger) Outstanding(now float64) (sum float64) {
	l.expire(now)
	holders := make([]string, 0, len(l.leases))
	for holder := range l.leases {
		holders = append(holders, holder)
	}
	sort.Strings(holders) // float sums depend on their order: equal events give equal sums
	for _, holder := range holders {
		sum += l.outstandingOf(holder)
	}
	return sum
}
