package policy

// Slow start (rule 4): an endpoint that has just started never gets, from all routers together, more than its allowance. Each router spends a
// share of it that goes by what it sends to a warm endpoint; as each one's is often less than one request, it is kept in tokens that
// begin at a random part of one. There is no smallest allowance, for those of many routers would add up.
const slowStartBudget = 0.6 // part of the allowance that is used if all warm endpoints are full

// slowStartShare is the least share of its capacity that an endpoint has by now.
func (b *Balancer) slowStartShare(now float64, e *endpoint) float64 {
	if e.startedAt <= 0 || now-e.startedAt >= b.config.SlowStartSeconds {
		return 1
	}
	initial := b.config.SlowStartInitialShare
	return initial + (1-initial)*max(0, now-e.startedAt)/b.config.SlowStartSeconds
}

// hasSlowStartToken refills an endpoint's tokens and tells whether it may get another request as far as slow start goes. send takes the
// request's work from them.
func (b *Balancer) hasSlowStartToken(now float64, e *endpoint) bool {
	share := b.slowStartShare(now, e)
	if share >= 1 {
		return true
	}
	subsetSize := float64(len(b.subset[baseline]) + len(b.subset[canary])) // other routers use other endpoints
	tokensPerSecond := slowStartBudget * b.config.SlowStartOverloadFactor * share * b.requestRate(now) / subsetSize
	e.slowStartTokens = min(e.slowStartTokens+tokensPerSecond*(now-e.slowStartTokensAt), max(1, tokensPerSecond*b.config.SlowStartOverloadSeconds))
	e.slowStartTokensAt = now
	return e.slowStartTokens >= 1
}

// firstSlowStartTokens is what an endpoint has when it starts.
func (b *Balancer) firstSlowStartTokens() float64 { return b.leasedShare * b.random.next() }
