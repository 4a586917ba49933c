package policy

import "math"

// MetricsEvidence is the cumulative evidence that the fleet's metrics hold on a release. A kind is Independent if it
// contains no outcome that this balancer counted as well.
type MetricsEvidence struct {
	Evidence
	Independent [failureKindCount]bool
}

// SetMetricsEvidence replaces the evidence from metrics.
func (b *Balancer) SetMetricsEvidence(evidence MetricsEvidence) { b.metricsEvidence = evidence }

// metricsCounts returns the counts from metrics for the present release, without the outcomes that are already in own:
// the fleet's metrics include them. Of wrong answers, own holds only the share that clients report.
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
				// Metrics include each own failure. Of the own outcomes only the visible share is subtracted:
				// the rest may have failed without being reported.
				count.total = max(0, count.total-b.visibleShare(kind)*known.byKind[kind].total)
				count.failures = max(0, count.failures-known.byKind[kind].failures)
			}
			counts.byKind[kind] = outcomeCount{count.total, min(count.total, count.failures)}
		}
		list = append(list, counts)
	}
	return list
}

// visibleShare returns the share of a kind's failures that this balancer can observe.
func (b *Balancer) visibleShare(kind int) float64 {
	if kind == wrongAnswer {
		return b.config.WrongAnswerReportShare
	}
	return 1
}

// combinedEvidence returns the log-likelihood ratio of a kind, in nats, from the own sample and metrics
// together. Metrics are never believed on their own: their rates are tested against the own sample, and
// ignored if they make it less likely. If they explain it, they add at most what a clean own sample of this
// size could contradict, and at most half the threshold. So whatever metrics show, a good build is rolled back
// with a probability of at most exp(-threshold/2).
func (b *Balancer) combinedEvidence(kind int, threshold float64, own, metrics []*endpointCounts) float64 {
	ownRatio := b.canaryEvidence(kind, own, b.config.WrongAnswerReportShare)
	metricsRatio := b.canaryEvidence(kind, metrics, 1)
	if metricsRatio <= 0 {
		return ownRatio
	}
	seen := b.visibleShare(kind)
	if seen == 0 { // no own sample can contradict metrics; as all routers share one source, they count as one
		return max(ownRatio, metricsRatio*threshold/(rollbackThreshold+math.Log(float64(b.config.RouterGroups))))
	}
	claimed, observed := sumBySide(metrics, kind, b.release.build), sumBySide(own, kind, b.release.build)
	observedBaseline, observedCanary := observed[baseline], observed[canary]
	// Failure rate of the canary without the claim of the metrics, and with it.
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
