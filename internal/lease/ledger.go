package lease

import "sort"

// minShare is the smallest share that is leased; anything smaller is a rounding error.
const minShare = 1e-9

// Ledger records the leased shares of the free canary attempts. A lease may be in use until it ends, and the attempts
// made under it count for another window of the canary traffic limit. Only after that may its share be leased again, so
// that the outstanding shares never sum to more than 1, whichever router dies and whichever message is lost.
type Ledger struct {
	leaseSeconds  float64
	windowSeconds float64            // longest window over which the canary traffic limit has counted attempts so far
	firstGrantAt  float64            // no lease is granted before this time
	leases        map[string][]grant // by holder, ordered by end
}

// grant is a leased share and the end of its lease.
type grant struct{ share, endsAt float64 }

// NewLedger returns a ledger for a controller process that starts now. Leases of the previous controller may still be in
// use, so it grants none until all of those have ended and left the window.
func NewLedger(leaseSeconds, windowSeconds, now float64) *Ledger {
	return &Ledger{leaseSeconds: leaseSeconds, windowSeconds: windowSeconds, firstGrantAt: now + leaseSeconds + windowSeconds,
		leases: map[string][]grant{}}
}

// SetWindow sets the window over which the canary traffic limit counts attempts from now on. Leases that have left the window
// before may be in a longer one, so none is granted until they have left that too. A shorter window does not end leases
// sooner, since routers may still count over the one before.
func (l *Ledger) SetWindow(now, windowSeconds float64) {
	if windowSeconds <= l.windowSeconds {
		return
	}
	l.firstGrantAt = max(l.firstGrantAt, now) + windowSeconds - l.windowSeconds
	l.windowSeconds = windowSeconds
}

// Grant leases a share to a holder from now on: 1/holders, or less if the other holders' leases leave less. It returns 0
// if they leave nothing.
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

// record adds a lease that starts now. If the holder's latest lease has the same share, it extends that one instead.
func (l *Ledger) record(now float64, holder string, share float64) {
	granted := l.leases[holder]
	if n := len(granted); n > 0 && granted[n-1].share == share {
		granted[n-1].endsAt = now + l.leaseSeconds
		return
	}
	l.leases[holder] = append(granted, grant{share, now + l.leaseSeconds})
}

// outstandingOf returns the largest share that a holder may still be using, or may have used within the window. The
// holder's shares are not added up, because each lease replaces the previous one.
func (l *Ledger) outstandingOf(holder string) (largest float64) {
	for _, g := range l.leases[holder] {
		largest = max(largest, g.share)
	}
	return largest
}

// expire removes the leases that have ended and left the window.
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

// Outstanding returns the sum of the shares that may be in use or still count in the canary window.
func (l *Ledger) Outstanding(now float64) (sum float64) {
	l.expire(now)
	holders := make([]string, 0, len(l.leases))
	for holder := range l.leases {
		holders = append(holders, holder)
	}
	sort.Strings(holders) // a float sum depends on the order of its terms; equal states must have equal sums
	for _, holder := range holders {
		sum += l.outstandingOf(holder)
	}
	return sum
}
