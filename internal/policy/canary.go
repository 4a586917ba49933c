package policy

import "sort"

// canaryAllowance is the canary traffic limit (rule 5): how many more attempts at a canary build the window allows for a request. That
// is the router's share of the free attempts, and a share of the requests received in the window, by the rollout stage. A build
// that was not announced is in its first stage. The windows lean to the safe side by the timer's resolution: requests leave theirs early,
// attempts late. What has left them is dropped.
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
	free := b.config.CanaryFreeAttempts * b.leasedShare
	if b.config.HasController && now >= b.leaseEndsAt {
		free = 0 // the controller may have leased this share to another router
	}
	return free + limit*float64(len(b.receivedAt[i])) - float64(len(b.canaryAttemptsAt[i]))
}

// limitIndex is where a class's requests and canary attempts are kept.
func (b *Balancer) limitIndex(class int) int {
	if b.config.CanaryLimitPerClass {
		return class
	}
	return 0
}

// since gives the instants that are not before from.
func since(instants []float64, from float64) []float64 {
	return instants[sort.SearchFloat64s(instants, from):]
}
