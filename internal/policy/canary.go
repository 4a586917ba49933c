package policy

import "sort"

// canaryAllowance returns how many more attempts at a canary build the canary traffic limit (rule 5 of package
// invariants) allows in the current window: the router's share of the free attempts, plus a share, set by the rollout
// stage, of the requests received in the window, less the attempts made in it. A build that was not announced counts
// as in its first stage. To stay within the limit despite the timer's resolution, requests leave the window one
// resolution early and attempts one late. Entries that have left the window are dropped.
func (b *Balancer) canaryAllowance(now float64, r *Request, build int) float64 {
	limit, stage := b.release.canaryLimit, b.release.stage
	if !b.release.known || build > b.release.build {
		limit, stage = b.config.CanaryLimits[0], 0
	}
	if limit <= 0 || stage < b.config.IdempotentOnlyStages && r.class().Idempotency != Idempotent {
		return 0
	}
	i := b.limitIndex(r.Class)
	b.receivedAt[i] = since(b.receivedAt[i], now-b.config.CanaryWindowSeconds+b.config.TimerResolutionSeconds)
	b.canaryAttemptsAt[i] = since(b.canaryAttemptsAt[i], now-b.config.CanaryWindowSeconds-b.config.TimerResolutionSeconds)
	freeAttempts := b.config.CanaryFreeAttempts * b.leasedShare
	if b.config.HasController && now >= b.leaseEndsAt {
		freeAttempts = 0 // the controller may have leased this share to another router
	}
	return freeAttempts + limit*float64(len(b.receivedAt[i])) - float64(len(b.canaryAttemptsAt[i]))
}

// limitIndex returns the index under which a class's requests and canary attempts are counted.
func (b *Balancer) limitIndex(class int) int {
	if b.config.CanaryLimitPerClass {
		return class
	}
	return 0
}

// since returns the instants at or after the instant from; instants must be sorted.
func since(instants []float64, from float64) []float64 {
	return instants[sort.SearchFloat64s(instants, from):]
}
