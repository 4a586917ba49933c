package metricsanalysis

import (
	"cmp"
	"math"
	"slices"

	"flintspread/internal/policy"
)

// MarksIntervalSeconds is the interval at which to recompute health marks: their evidence decays within seconds.
const MarksIntervalSeconds = 0.5

const (
	minMark              = 1.0 / 32 // smaller marks are dropped
	priorSuccesses       = 2.0      // successes added to the recent outcomes of each endpoint, as a prior
	disputeMinDifference = 0.1      // difference between two servers' shares above which the endpoint is disputed
	disputeMinOutcomes   = 20.0     // outcomes that each of two servers must have counted for a comparison
)

// reading is the current state of a series at one server, or merged from several servers.
type reading struct {
	share  float64 // share of failures; for gauges, the mark before weight and decay
	counts counts  // for Counts only
	mark   float64 // strength of the health mark, 0 to 1
}

// Evidence returns the servers' merged counts by endpoint and build, for the newest build and all earlier ones.
// The counts of endpoints that left the list are in samples of endpoint 0.
func (a *Analyzer) Evidence(now float64) policy.MetricsEvidence {
	evidence := policy.MetricsEvidence{Evidence: policy.Evidence{Build: a.newestBuild}}
	indexes := map[seriesKey]int{} // into evidence.Samples
	for i := range a.queries {
		query := &a.queries[i]
		if query.Meaning != Counts {
			continue
		}
		evidence.Independent[query.FailureKind] = query.IndependentOfRouters
		a.forEachSeries(now, i, func(key seriesKey, merged reading) {
			if merged.counts.outcomes == 0 {
				return
			}
			index, found := indexes[key]
			if !found {
				index = len(evidence.Samples)
				indexes[key] = index
				evidence.Samples = append(evidence.Samples, policy.EndpointSample{Endpoint: key.endpoint, Build: key.build})
			}
			sample := &evidence.Samples[index]
			sample.Outcomes[query.FailureKind] = merged.counts.outcomes * query.Weight
			sample.Failures[query.FailureKind] = merged.counts.failures * query.Weight
		})
	}
	return evidence
}

// HealthMarks returns the marked endpoints in order of ID, each with its highest marks over all queries.
func (a *Analyzer) HealthMarks(now float64) []policy.HealthMark {
	byEndpoint := map[uint32]*policy.HealthMark{}
	for i := range a.queries {
		query := &a.queries[i]
		a.forEachSeries(now, i, func(key seriesKey, merged reading) {
			if merged.mark < minMark || a.endpoints[key.endpoint].Build != key.build {
				return
			}
			mark := byEndpoint[key.endpoint]
			if mark == nil {
				mark = &policy.HealthMark{Endpoint: key.endpoint}
				byEndpoint[key.endpoint] = mark
			}
			if query.countsWrongResponses() {
				mark.WrongShare = max(mark.WrongShare, merged.mark)
			} else {
				mark.DegradedShare = max(mark.DegradedShare, merged.mark)
			}
		})
	}
	marks := make([]policy.HealthMark, 0, len(byEndpoint))
	for _, mark := range byEndpoint {
		marks = append(marks, *mark)
	}
	slices.SortFunc(marks, func(a, b policy.HealthMark) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return marks
}

// DisputedEndpoints returns the number of endpoints for which the servers' results for a query differed when Evidence or
// HealthMarks last compared them.
func (a *Analyzer) DisputedEndpoints(queryName string) int { return a.disputed[queryName] }

// FreshEndpoints returns the number of endpoints for which a server's newest value for a query is not stale.
func (a *Analyzer) FreshEndpoints(now float64, query, server int) (count int) {
	for _, series := range a.servers[query][server].series {
		if series.started && series.valueAt >= now-a.queries[query].StaleAfterSeconds {
			count++
		}
	}
	return count
}

// forEachSeries calls visit with the servers' merged reading of each series of a query, ordered by endpoint and build.
// It updates the number of disputed endpoints of the query.
func (a *Analyzer) forEachSeries(now float64, queryIndex int, visit func(seriesKey, reading)) {
	q := &a.queries[queryIndex]
	readings := a.readings(now, queryIndex)
	keys := make([]seriesKey, 0, len(readings))
	for key := range readings {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.build, b.build))
	})
	disputed := 0
	for _, key := range keys {
		if q.isDisputed(readings[key]) {
			disputed++
		}
		visit(key, lowerMedian(readings[key]))
	}
	a.disputed[q.Name] = disputed
}

// readings returns the servers' readings of each series of a query. A server whose values are all stale is ignored, with
// all its counts. Of the other servers, those with a fresh value of the series are used. If none has one, their earlier
// counts of the series are used, which include those of endpoints that left the list; gauges have no reading then.
func (a *Analyzer) readings(now float64, queryIndex int) map[seriesKey][]reading {
	q := &a.queries[queryIndex]
	fresh, stale := map[seriesKey][]reading{}, map[seriesKey][]reading{}
	for _, server := range a.servers[queryIndex] {
		if server.newestValueAt < now-q.StaleAfterSeconds {
			continue
		}
		for key, series := range server.series {
			switch {
			case !series.started:
			case series.valueAt >= now-q.StaleAfterSeconds:
				fresh[key] = append(fresh[key], q.read(now, series))
			case q.Meaning == Counts:
				stale[key] = append(stale[key], reading{share: series.total.failureShare(), counts: series.total})
			}
		}
		for build, total := range server.removed {
			key := seriesKey{0, build} // no endpoint has ID 0
			stale[key] = append(stale[key], reading{share: total.failureShare(), counts: total})
		}
	}
	for key, list := range stale {
		if fresh[key] == nil {
			fresh[key] = list
		}
	}
	return fresh
}

// read converts the state of one series to a reading.
func (q *Query) read(now float64, series *seriesState) (r reading) {
	switch q.Meaning {
	case Counts:
		r.counts, r.share = series.total, series.total.failureShare()
		r.mark = series.recent.failures / (series.recent.outcomes + priorSuccesses)
	case Probe:
		r.mark = 1 - min(1, series.gauge)
		r.share = r.mark
	default:
		if series.gauge > q.Limit {
			r.mark = 1 - q.Limit/series.gauge
		}
		r.share = r.mark
	}
	r.mark *= q.Weight * math.Exp(-max(0, now-series.valueAt)/markDecaySeconds)
	return r
}

// isDisputed reports whether the lowest and the highest of the servers' readings of one series differ too much. Counts
// are compared only if both servers have counted enough outcomes.
func (q *Query) isDisputed(readings []reading) bool {
	lowest, highest := readings[0], readings[0]
	for _, r := range readings {
		if r.share < lowest.share {
			lowest = r
		}
		if r.share > highest.share {
			highest = r
		}
	}
	differ := highest.share-lowest.share > disputeMinDifference
	comparable := q.Meaning != Counts || min(lowest.counts.outcomes, highest.counts.outcomes) >= disputeMinOutcomes
	return differ && comparable
}

// lowerMedian merges the servers' readings of one series: it returns the reading with the median share, or the lower of
// the two middle ones if their number is even. With two servers, failures thus count only if both report them. With
// three or more servers, a single faulty server cannot determine the result.
func lowerMedian(readings []reading) reading {
	slices.SortStableFunc(readings, func(a, b reading) int { return cmp.Compare(a.share, b.share) })
	return readings[(len(readings)-1)/2]
}
