package policy

import (
	"maps"
	"slices"
)

// Evidence is all that a router has counted on a release. It is cumulative, so that the newest replaces earlier ones.
type Evidence struct {
	Build             int // build of the release that the router knew when it counted
	RequestsPerSecond float64
	Samples           []EndpointSample
}

// EndpointSample counts the outcomes of one endpoint running one build, and the failures among them, by kind of failure.
type EndpointSample struct {
	Endpoint uint32
	Build    int
	Outcomes [failureKindCount]float64
	Failures [failureKindCount]float64
}

// LocalEvidence returns the evidence that this balancer has counted itself.
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

// ApplyReport replaces a router's earlier report. From the first report on, the analysis uses only the routers' counts and
// no longer the local ones.
func (b *Balancer) ApplyReport(router string, evidence Evidence) {
	if b.reports == nil {
		b.reports = map[string]Evidence{}
	}
	b.reports[router] = evidence
	b.mergeNeeded = true
}

// DropReport discards a router's report.
func (b *Balancer) DropReport(router string) {
	delete(b.reports, router)
	b.mergeNeeded = true
}

// analysisCounts returns the counts that votes are based on: those of the routers once any router has reported, otherwise
// the local ones. Reports are merged only here, at most once per tick however many have arrived.
func (b *Balancer) analysisCounts() []*endpointCounts {
	if b.reports == nil {
		return b.localCounts
	}
	if b.mergeNeeded {
		b.mergeReports()
	}
	return b.mergedCounts
}

// mergeReports sums the routers' counts for the current release. It adds them in the order of the routers' names, because
// floating-point sums depend on the order and equal reports must produce equal sums.
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
