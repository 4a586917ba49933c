package metricsanalysis

import (
	"cmp"
	"math"
	"slices"

	"flintspread/internal/policy"
)

// MarksIntervalSeconds is the interval at which health marks should be recomputed: their evidence fades within seconds.
const MarksIntervalSeconds = 0.5

const (
	minMark              = 1.0 / 32 // smaller marks are dropped
	priorSuccesses       = 2.0      // prior: recent outcomes without failure that are assumed for every endpoint
	disputeMinDifference = 0.1      // servers disagree if their failure shares differ by more,
	disputeMinOutcomes   = 20.0     // and both have seen at least this many outcomes
)

// reading is one server's data on a series, or the merged data of several servers.
type reading struct {
	share  float64 // of failures; for gauges, the mark before weight and decay
	counts counts
	mark   float64 // 0 to 1
}

// Evidence returns the merged counts of the newest build and of earlier ones, by endpoint and build.
func (a *Analyzer) Evidence(now float64) policy.MetricsEvidence {
	evidence := policy.MetricsEvidence{Evidence: policy.Evidence{Build: a.newestBuild}}
	indexes := map[seriesKey]int{}
	for i := range a.queries {
		question := &a.queries[i]
		if question.Meaning != Counts {
			continue
		}
		evidence.Independent[question.FailureKind] = question.IndependentOfRouters
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
			sample.Outcomes[question.FailureKind] = merged.counts.outcomes * question.Weight
			sample.Failures[question.FailureKind] = merged.counts.failures * question.Weight
		})
	}
	return evidence
}

// HealthMarks returns the marked endpoints in order of ID, each with its strongest mark of any question.
func (a *Analyzer) HealthMarks(now float64) []policy.HealthMark {
	byEndpoint := map[uint32]*policy.HealthMark{}
	for i := range a.queries {
		question := &a.queries[i]
		a.forEachSeries(now, i, func(key seriesKey, merged reading) {
			if merged.mark < minMark || a.endpoints[key.endpoint].Build != key.build {
				return
			}
			mark := byEndpoint[key.endpoint]
			if mark == nil {
				mark = &policy.HealthMark{Endpoint: key.endpoint}
				byEndpoint[key.endpoint] = mark
			}
			if question.countsWrongResponses() {
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

// DisputedEndpoints returns the number of endpoints on which the servers disagreed about a question at the last
// comparison, which Evidence and HealthMarks make.
func (a *Analyzer) DisputedEndpoints(question string) int { return a.disputed[question] }

// FreshEndpoints returns the number of series for which a server's answers to a question are not stale.
func (a *Analyzer) FreshEndpoints(now float64, question, server int) (count int) {
	for _, series := range a.servers[question][server].series {
		if series.started && series.valueAt >= now-a.queries[question].StaleAfterSeconds {
			count++
		}
	}
	return count
}

// forEachSeries calls visit with the servers' merged reading of each series of a question, ordered by endpoint and
// build.
func (a *Analyzer) forEachSeries(now float64, question int, visit func(seriesKey, reading)) {
	q := &a.queries[question]
	readings := a.readings(now, question)
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

// readings returns the readings of a question by series. Servers whose answers are all stale are ignored, including
// their earlier counts. Counts of endpoints on which no server has fresh values, or that left the list, are kept.
func (a *Analyzer) readings(now float64, question int) map[seriesKey][]reading {
	q := &a.queries[question]
	fresh, past := map[seriesKey][]reading{}, map[seriesKey][]reading{}
	for _, server := range a.servers[question] {
		if server.newestValueAt < now-q.StaleAfterSeconds {
			continue
		}
		for key, series := range server.series {
			switch {
			case !series.started:
			case series.valueAt >= now-q.StaleAfterSeconds:
				fresh[key] = append(fresh[key], q.read(now, series))
			case q.Meaning == Counts:
				past[key] = append(past[key], reading{share: series.total.failureShare(), counts: series.total})
			}
		}
		for build, total := range server.removed {
			key := seriesKey{0, build} // no endpoint has ID 0
			past[key] = append(past[key], reading{share: total.failureShare(), counts: total})
		}
	}
	for key, list := range past {
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

// isDisputed reports whether servers disagree on an endpoint. Counts are compared only if both servers have seen enough
// outcomes.
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

// lowerMedian merges the servers' readings of one series by picking the lower median. Of two readings this is the
// milder one, so a failure counts only if both servers see it. Of three or more it is the middle one, so that a single
// wrong server decides nothing.
func lowerMedian(readings []reading) reading {
	slices.SortStableFunc(readings, func(a, b reading) int { return cmp.Compare(a.share, b.share) })
	return readings[(len(readings)-1)/2]
}
