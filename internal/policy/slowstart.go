package policy

// Slow start (rule 4 of package invariants): all routers together never send an endpoint that has just started more
// than its allowance. Each router spends a share of the allowance in proportion to the traffic it sends to a warm
// endpoint. As this share is often less than one request, it accumulates as tokens, starting at a random fraction of
// one. There is no minimum allowance per router, because the minimums of many routers would add up.
//
// Both shares are of the allowance over SlowStartOverloadSeconds when all warm endpoints are at capacity. In any such time
// a router spends at most the tokens that have accumulated and those that are added, so together they are the allowance.
const (
	slowStartRefillShare = 0.6                      // tokens that are added
	slowStartBurstShare  = 1 - slowStartRefillShare // most tokens that accumulate
)

// slowStartShare returns the minimum share of its full capacity that an endpoint has by now; 1 after slow start.
func (b *Balancer) slowStartShare(now float64, e *endpoint) float64 {
	if e.startedAt <= 0 || now-e.startedAt >= b.config.SlowStartSeconds {
		return 1
	}
	initial := b.config.SlowStartInitialShare
	return initial + (1-initial)*max(0, now-e.startedAt)/b.config.SlowStartSeconds
}

// hasSlowStartToken refills an endpoint's tokens and reports whether slow start permits another request; send deducts
// the request's work.
func (b *Balancer) hasSlowStartToken(now float64, e *endpoint) bool {
	share := b.slowStartShare(now, e)
	if share >= 1 {
		return true
	}
	subsetSize := float64(len(b.subset[baseline]) + len(b.subset[canary])) // other routers use other subsets
	allowedPerSecond := b.config.SlowStartOverloadFactor * share * b.requestRate(now) / subsetSize
	refill := slowStartRefillShare * allowedPerSecond * (now - e.slowStartTokensAt)
	maxTokens := max(1, slowStartBurstShare*allowedPerSecond*b.config.SlowStartOverloadSeconds)
	e.slowStartTokens = min(e.slowStartTokens+refill, maxTokens)
	e.slowStartTokensAt = now
	return e.slowStartTokens >= 1
}

// initialSlowStartTokens returns the tokens of an endpoint that has just started: a random fraction of this router's
// leased share of one token.
func (b *Balancer) initialSlowStartTokens() float64 { return b.leasedShare * b.random.next() }
