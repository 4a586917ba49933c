package policy

import "math"

// Each router uses a subset of the endpoints, those that rank first by its own hash: as many as its traffic keeps connections open to,
// and knows something of. More would cost a handshake for each request.
const (
	minSubset       = 8    // endpoints
	subsetIdleShare = 0.08 // an endpoint should be used again within this share of the time after which idle connections close
)

// regroupEndpoints keeps what each request and vote needs, so that none of them walks the whole fleet: the subset of either side, the
// capacity of both sides, and whether both builds run side by side.
func (b *Balancer) regroupEndpoints(now float64) {
	baselineServes := b.countReadyEndpoints(now)
	manyConnsFail := b.manyConnsFail(now)
	b.sideBySide = b.canaryReady > 0 && baselineServes && !manyConnsFail
	if manyConnsFail {
		b.dropLatenessCounts()
	}
	b.chooseSubset(now)
}

// countReadyEndpoints counts the ready endpoints by side, and tells whether a baseline endpoint answers: one that only a stale list
// names is nothing to compare with.
func (b *Balancer) countReadyEndpoints(now float64) (baselineServes bool) {
	b.oldestBuild, b.readyCount, b.baselineReady, b.canaryReady, b.newestCanary = math.MaxInt, 0, 0, 0, 0
	for _, e := range b.endpoints {
		if !e.ready {
			continue
		}
		b.readyCount++
		b.oldestBuild = min(b.oldestBuild, e.build)
		switch {
		case e.build == b.release.build:
			b.canaryReady++
			b.newestCanary = max(b.newestCanary, e.startedAt)
		case e.build < b.release.build:
			b.baselineReady++
			baselineServes = baselineServes || e.failures.level(now, failureMemorySeconds) <= 0.5
		}
	}
	return baselineServes
}

// chooseSubset fills subset and readyCapacity.
func (b *Balancer) chooseSubset(now float64) {
	share := min(1, max(minSubset, b.requestRate(now)*b.config.ConnIdleSeconds*subsetIdleShare)/float64(max(1, b.readyCount)))
	for side := range b.subset {
		b.subset[side], b.readyCapacity[side] = b.subset[side][:0], 0
	}
	for _, e := range b.endpoints {
		if !e.ready {
			continue
		}
		side := boolToInt(b.isCanary(e.build))
		b.subset[side] = append(b.subset[side], e)
		b.readyCapacity[side] += e.weight * b.slowStartShare(now, e) * (1 - b.outlierScore(now, e)/2)
	}
	for side, group := range b.subset {
		b.subset[side] = group[:int(math.Ceil(share*float64(len(group))))]
	}
}
