package policy

import (
	"maps"
	"slices"
)

// Evidence is all that a router has counted of a release. It is whole each time, so that only the newest matters.
type Evidence struct {
	Build             int // of the release that was known
	RequestsPerSecond float64
	Samples           []EndpointSample
}

// EndpointSample is what one endpoint did under one build: outcomes, and failures among them, by kind of failure.
type EndpointSample struct {
	Endpoint uint32
	Build    int
	Outcomes [failureKinds]float64
	Failures [failureKinds]float64
}

// LocalEvidence gives what this balancer counted itself.
func (b *Balancer) LocalEvidence(now float64) Evidence {
	evidence := Evidence{
		Build:             b.release.build,
		RequestsPerSecond: b.requestRate(now),
		Samples:           make([]EndpointSample, 0, len(b.localCounts)),
	}
	for _, counts := range b.localCounts {
		sample := EndpointSample{Endpoint: counts.endpoint, Build: counts.build}
		for kind, count := range counts.byKind {
			sample.Outcomes[kind], sample.Failures[kind] = count.total, count.failures
		}
		evidence.Samples = append(evidence.Samples, sample)
	}
	return evidence
}

// ApplyReport replaces what a router had reported. From the first report on, evidence is that of the routers.
func (b *Balancer) ApplyReport(router string, evidence Evidence) {
	if b.reports == nil {
		b.reports = map[string]Evidence{}
	}
	b.reports[router] = evidence
	b.mergeNeeded = true
}

// DropReport drops what a router reported.
func (b *Balancer) DropReport(router string) {
	delete(b.reports, router)
	b.mergeNeeded = true
}

// counts is what votes rest on: the routers' counts where there are reports, else the local ones. Reports are merged once a
// tick, however many came since the last.
func (b *Balancer) counts() []*endpointCounts {
	if b.reports == nil {
		return b.localCounts
	}
	if b.mergeNeeded {
		b.mergeReports()
	}
	return b.mergedCounts
}

// mergeReports sums what routers counted of the present release, in the order of their names: equal reports give equal sums.
func (b *Balancer) mergeReports() {
	b.mergedCounts, b.reportedRate, b.mergeNeeded = nil, 0, false
	merged := map[countsKey]*endpointCounts{}
	for _, router := range slices.Sorted(maps.Keys(b.reports)) {
		report := b.reports[router]
		b.reportedRate += report.RequestsPerSecond
		if report.Build != b.release.build || !b.release.known {
			continue
		}
		for _, sample := range report.Samples {
			counts := merged[sample.key()]
			if counts == nil {
				counts = &endpointCounts{endpoint: sample.Endpoint, build: sample.Build}
				merged[sample.key()] = counts
				b.mergedCounts = append(b.mergedCounts, counts)
			}
			for kind := range counts.byKind {
				counts.byKind[kind] = counts.byKind[kind].plus(sample.count(kind))
			}
		}
	}
}

func (s *EndpointSample) key() countsKey { return countsKey{s.Endpoint, s.Build} }

func (s *EndpointSample) count(kind int) outcomeCount {
	return outcomeCount{s.Outcomes[kind], s.Failures[kind]}
}
