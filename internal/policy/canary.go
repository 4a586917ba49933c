package policy

import "sort"

// canaryAllowance returns how many more attempts at a canary build the canary traffic limit (rule 5 of package
// invariants) allows in the current window: the router's share of the free attempts, plus a share, set by the rollout
// stage, of the requests received in the window, less the attempts made in it. A build that was not announced counts
// as in its first stage. To stay within the limit despite the timer's resolution, requests leave the window one
// resolution early and attempts one late.
func (b *Balancer) canaryAllowance(now float64, r *Request, build int) float64 {
	limit, stage := b.release.canaryLimit, b.release.stage
	if !b.release.known || build > b.release.build {
		limit, stage = b.config.CanaryLimits[0], 0
	}
	if limit <= 0 || stage < b.config.IdempotentOnlyStages && r.class().Idempotency != Idempotent {
		return 0
	}
	i := b.limitIndex(r.Class)
	attemptsFrom := now - b.config.CanaryWindowSeconds - b.config.TimerResolutionSeconds
	b.canaryAttemptsAt[i] = since(b.canaryAttemptsAt[i], now-b.longestCanaryWindow-b.config.TimerResolutionSeconds)
	attempts := len(since(b.canaryAttemptsAt[i], attemptsFrom))
	freeAttempts := b.config.CanaryFreeAttempts * b.leasedShare
	switch {
	case b.config.HasController && now >= b.leaseEndsAt:
		freeAttempts = 0 // the controller may have leased this share to another router
	case attemptsFrom < b.canaryCountsSince:
		freeAttempts = 0 // they may have been used by attempts that are not counted any more
	}
	return freeAttempts + limit*float64(b.receivedInWindow(now, i)) - float64(attempts)
}

// receivedInWindow returns the number of requests received in the current canary window, by limitIndex.
func (b *Balancer) receivedInWindow(now float64, i int) int {
	b.receivedAt[i] = since(b.receivedAt[i], now-b.longestCanaryWindow+b.config.TimerResolutionSeconds)
	return len(since(b.receivedAt[i], now-b.config.CanaryWindowSeconds+b.config.TimerResolutionSeconds))
}

// extendCanaryWindow makes what is counted from now on suffice for a canary window of the given length. What was counted is
// kept for the longest window so far, since a configuration may shorten the window and a later one lengthen it again.
func (b *Balancer) extendCanaryWindow(seconds float64) {
	if seconds <= b.longestCanaryWindow {
		return
	}
	if b.longestCanaryWindow > 0 {
		b.canaryCountsSince = max(b.canaryCountsSince, b.lastCallAt-b.longestCanaryWindow)
	}
	b.longestCanaryWindow = seconds
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
