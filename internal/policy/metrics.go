package policy

import "math"

// MetricsEvidence is what the fleet's metrics show of a release, all of it each time. Kinds that are Independent hold no outcome that this
// balancer counted too.
type MetricsEvidence struct {
	Evidence
	Independent [failureKinds]bool
}

// SetMetricsEvidence replaces what metrics showed.
func (b *Balancer) SetMetricsEvidence(evidence MetricsEvidence) { b.metricsEvidence = evidence }

// metricsCounts is what metrics show of the present release and own, which is given, could not know: own outcomes are among those of
// the fleet, of wrong answers the share that clients report.
func (b *Balancer) metricsCounts(own []*endpointCounts) []*endpointCounts {
	if b.metricsEvidence.Build != b.release.build || len(b.metricsEvidence.Samples) == 0 {
		return nil
	}
	ownByKey := make(map[countsKey]*endpointCounts, len(own))
	for _, counts := range own {
		ownByKey[countsKey{counts.endpoint, counts.build}] = counts
	}
	list := make([]*endpointCounts, 0, len(b.metricsEvidence.Samples))
	for i := range b.metricsEvidence.Samples {
		sample := &b.metricsEvidence.Samples[i]
		counts := &endpointCounts{endpoint: sample.Endpoint, build: sample.Build}
		for kind := range counts.byKind {
			count := sample.count(kind)
			if known := ownByKey[sample.key()]; known != nil && !b.metricsEvidence.Independent[kind] {
				// Each own failure is among those that metrics show. Of the own outcomes only the visible share is known well enough to be
				// left out: the rest may have failed unreported.
				count.total = max(0, count.total-b.visibleShare(kind)*known.byKind[kind].total)
				count.failures = max(0, count.failures-known.byKind[kind].failures)
			}
			counts.byKind[kind] = outcomeCount{count.total, min(count.total, count.failures)}
		}
		list = append(list, counts)
	}
	return list
}

// visibleShare is the share of a kind's failures that this balancer can see.
func (b *Balancer) visibleShare(kind int) float64 {
	if kind == wrongAnswer {
		return b.config.WrongAnswerReportShare
	}
	return 1
}

// combinedEvidence is the log-likelihood ratio of a kind, of the own sample and of what metrics add to it. Metrics are never believed
// alone: their rates are put to the own sample, and count for nothing where that is less likely under them than without.
// Else they add to what they explain at most what a clean own sample of this size would speak against them, and half the threshold. So whatever
// they say, a good build is sent back with a chance of at most e to the minus half the threshold.
func (b *Balancer) combinedEvidence(kind int, threshold float64, own, metrics []*endpointCounts) float64 {
	ownRatio := b.canaryEvidence(kind, own, b.config.WrongAnswerReportShare)
	metricsRatio := b.canaryEvidence(kind, metrics, 1)
	if metricsRatio <= 0 {
		return ownRatio
	}
	seen := b.visibleShare(kind)
	if seen == 0 { // no own sample could contradict them, and all routers that hear them share one source, so that they count as one
		return max(ownRatio, metricsRatio*threshold/(rollbackThreshold+math.Log(float64(b.config.Routers))))
	}
	claimed, observed := sumBySide(metrics, kind, b.release.build), sumBySide(own, kind, b.release.build)
	observedBaseline, observedCanary := observed[baseline], observed[canary]
	// Failure rate of the canary without the claim, and with it.
	p := (observedBaseline.failures + 0.5) / (observedBaseline.total + 1)
	q := min(p+seen*(claimed[canary].failures/claimed[canary].total-claimed[baseline].failures/claimed[baseline].total), (1+p)/2)
	perFailure, perSuccess := math.Log(q/p), math.Log((1-q)/(1-p))
	explained := observedCanary.failures*perFailure + (observedCanary.total-observedCanary.failures)*perSuccess
	contradicted := !(q > p) || explained < 0
	if contradicted || observedBaseline.total == 0 || observedCanary.total*float64(b.rollbackVotes()) < minCanaryOutcomes {
		return ownRatio
	}
	couldContradict := -observedCanary.total * (p*perFailure + (1-p)*perSuccess)
	return max(ownRatio, explained+min(metricsRatio, couldContradict, threshold/2))
}
