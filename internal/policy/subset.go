package policy

import "math"

// Each router uses a subset of the endpoints: those that rank first by its own hash. The subset is no larger than the
// router's traffic can keep connections open to and observe. A larger subset would cost a handshake for each request.
const (
	minSubsetSize   = 8    // endpoints, of both sides together
	subsetIdleShare = 0.08 // share of the idle timeout within which each endpoint should be used again
)

// regroupEndpoints precomputes what each request and vote needs, so that none of them scans the whole fleet: the subset
// and the capacity of each side, and whether the lateness of the two builds can be compared.
func (b *Balancer) regroupEndpoints(now float64) {
	baselineAnswers := b.countReadyEndpoints(now)
	manyConnsFail := b.manyConnsFail(now)
	b.latenessComparable = b.canaryReady > 0 && baselineAnswers && !manyConnsFail
	if manyConnsFail {
		b.dropLoadSensitiveCounts()
	}
	b.chooseSubset(now)
}

// countReadyEndpoints counts the ready endpoints by side, and reports whether any baseline endpoint answers: endpoints
// that exist only in a stale list are no baseline.
func (b *Balancer) countReadyEndpoints(now float64) (baselineAnswers bool) {
	b.oldestBuild, b.readyCount, b.baselineReady, b.canaryReady, b.newestCanaryStartedAt = math.MaxInt, 0, 0, 0, 0
	for _, e := range b.endpoints {
		if !e.ready {
			continue
		}
		b.readyCount++
		b.oldestBuild = min(b.oldestBuild, e.build)
		switch {
		case e.build == b.release.build:
			b.canaryReady++
			b.newestCanaryStartedAt = max(b.newestCanaryStartedAt, e.startedAt)
		case e.build < b.release.build:
			b.baselineReady++
			baselineAnswers = baselineAnswers || e.failures.valueAt(now, failureDecaySeconds) <= 0.5
		}
	}
	return baselineAnswers
}

// chooseSubset sets subset and readyCapacity.
func (b *Balancer) chooseSubset(now float64) {
	share := min(1, max(minSubsetSize, b.requestRate(now)*b.config.ConnIdleSeconds*subsetIdleShare)/float64(max(1, b.readyCount)))
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
