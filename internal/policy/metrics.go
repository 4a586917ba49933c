package policy

import "math"

// MetricsEvidence is the cumulative evidence on a release from the fleet's metrics. A kind of failure is Independent if
// its counts contain no outcome that this balancer has counted too.
type MetricsEvidence struct {
	Evidence
	Independent [failureKindCount]bool
}

// SetMetricsEvidence replaces the evidence from the fleet's metrics.
func (b *Balancer) SetMetricsEvidence(evidence MetricsEvidence) { b.metricsEvidence = evidence }

// metricsCounts returns the counts from metrics for the current release, less the outcomes in own, which the fleet's
// metrics include too. The failures in own contain only the share of wrong answers that clients report.
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
			if ownCounts := ownByKey[sample.key()]; ownCounts != nil && !b.metricsEvidence.Independent[kind] {
				// The metrics include every failure in own. Of the outcomes in own, only the visible share is
				// subtracted, since the rest may have failed without being reported.
				count.total = max(0, count.total-b.visibleShare(kind)*ownCounts.byKind[kind].total)
				count.failures = max(0, count.failures-ownCounts.byKind[kind].failures)
			}
			counts.byKind[kind] = outcomeCount{count.total, min(count.total, count.failures)}
		}
		list = append(list, counts)
	}
	return list
}

// visibleShare returns the share of the failures of a kind that the own sample can show.
func (b *Balancer) visibleShare(kind int) float64 {
	if kind == wrongAnswer {
		return b.config.WrongAnswerReportShare
	}
	return 1
}

// combinedEvidence returns the log-likelihood ratio of a kind of failure, in nats, from the routers' own sample and from
// metrics together. Metrics alone never suffice where an own sample can check them: they are ignored if the own sample
// is less likely at the failure rates that they show than at equal rates of both builds. If it is more likely, metrics
// add at most the evidence against them that is expected of an own sample of this size without extra failures, and at
// most half the threshold. So whatever the metrics show, a good build is rolled back with a probability of at most
// exp(-threshold/2).
func (b *Balancer) combinedEvidence(kind int, threshold float64, own, metrics []*endpointCounts) float64 {
	ownRatio := b.canaryEvidence(kind, own, b.config.WrongAnswerReportShare)
	metricsRatio := b.canaryEvidence(kind, metrics, 1)
	if metricsRatio <= 0 {
		return ownRatio
	}
	visible := b.visibleShare(kind)
	if visible == 0 {
		// No own sample can contradict metrics. All routers share one source, so the threshold for one vote applies.
		return max(ownRatio, metricsRatio*threshold/(rollbackThreshold+math.Log(float64(b.config.RouterGroups))))
	}
	inMetrics, observed := sumBySide(metrics, kind, b.release.build), sumBySide(own, kind, b.release.build)
	observedBaseline, observedCanary := observed[baseline], observed[canary]
	// p and q are the canary's expected failure rate if it equals the baseline's, and if the metrics are right.
	p := (observedBaseline.failures + 0.5) / (observedBaseline.total + 1)
	q := min(p+visible*(inMetrics[canary].failures/inMetrics[canary].total-inMetrics[baseline].failures/inMetrics[baseline].total), (1+p)/2)
	perFailure, perSuccess := math.Log(q/p), math.Log((1-q)/(1-p))
	support := observedCanary.failures*perFailure + (observedCanary.total-observedCanary.failures)*perSuccess
	contradicted := !(q > p) || support < 0
	if contradicted || observedBaseline.total == 0 || observedCanary.total*float64(b.rollbackVotes()) < minCanaryOutcomes {
		return ownRatio
	}
	maxContradiction := -observedCanary.total * (p*perFailure + (1-p)*perSuccess) // expected if the canary fails at rate p
	return max(ownRatio, support+min(metricsRatio, maxContradiction, threshold/2))
}
