package policy

import "math"

// Each router uses a subset of the endpoints: those that rank first by its own hash, as many as its traffic keeps
// connections open to and learns anything about. A larger subset would cost a handshake for each request.
const (
	minSubset       = 8    // endpoints
	subsetIdleShare = 0.08 // share of the idle timeout within which each endpoint should be used again
)

// regroupEndpoints precomputes what each request and vote needs, so that none of them scans the whole fleet: the subset
// and the capacity of each side, and whether both builds run side by side.
func (b *Balancer) regroupEndpoints(now float64) {
	baselineServes := b.countReadyEndpoints(now)
	manyConnsFail := b.manyConnsFail(now)
	b.sideBySide = b.canaryReady > 0 && baselineServes && !manyConnsFail
	if manyConnsFail {
		b.dropLoadSensitiveCounts()
	}
	b.chooseSubset(now)
}

// countReadyEndpoints counts the ready endpoints by side, and reports whether any baseline endpoint answers: endpoints
// that only a stale list names can't be compared with.
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

// chooseSubset sets subset and readyCapacity.
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
