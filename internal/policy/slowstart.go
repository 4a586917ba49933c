package policy

// Slow start (rule 4): all routers together never send an endpoint that has just started more than its allowance. Each
// router spends a share of the allowance in proportion to the traffic it sends to a warm endpoint. As that is often
// less than one request, it accumulates as tokens, starting at a random fraction of one. There is no minimum allowance
// per router, because the minimums of many routers would add up.
const slowStartBudget = 0.6 // share of the allowance that is used when all warm endpoints are at capacity

// slowStartShare returns the minimum share of its capacity that an endpoint has by now.
func (b *Balancer) slowStartShare(now float64, e *endpoint) float64 {
	if e.startedAt <= 0 || now-e.startedAt >= b.config.SlowStartSeconds {
		return 1
	}
	initial := b.config.SlowStartInitialShare
	return initial + (1-initial)*max(0, now-e.startedAt)/b.config.SlowStartSeconds
}

// hasSlowStartToken refills an endpoint's tokens and reports whether slow start permits
// another request; send deducts the request's work.
func (b *Balancer) hasSlowStartToken(now float64, e *endpoint) bool {
	share := b.slowStartShare(now, e)
	if share >= 1 {
		return true
	}
	subsetSize := float64(len(b.subset[baseline]) + len(b.subset[canary])) // other routers use other subsets
	tokensPerSecond := slowStartBudget * b.config.SlowStartOverloadFactor * share * b.requestRate(now) / subsetSize
	e.slowStartTokens = min(e.slowStartTokens+tokensPerSecond*(now-e.slowStartTokensAt), max(1, tokensPerSecond*b.config.SlowStartOverloadSeconds))
	e.slowStartTokensAt = now
	return e.slowStartTokens >= 1
}

// firstSlowStartTokens returns the tokens that an endpoint starts with.
func (b *Balancer) firstSlowStartTokens() float64 { return b.leasedShare * b.random.next() }
