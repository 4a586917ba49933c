package metricsanalysis

import (
	"cmp"
	"math"
	"slices"

	"flintspread/internal/policy"
)

// MarksIntervalSeconds is the time between two readings of the marks: what they rest on fades within seconds.
const MarksIntervalSeconds = 0.5

const (
	minMark            = 1.0 / 32 // a mark below it is none
	priorSuccesses     = 2.0      // outcomes without failure that every endpoint is taken to have had lately
	disputeShare       = 0.1      // servers disagree where their shares of failures differ by more,
	disputeMinOutcomes = 20.0     // with so many outcomes on both sides
)

// reading is what one server says of one endpoint, or what several say together.
type reading struct {
	share  float64 // of failures, or the mark of what is no counter
	counts counts
	mark   float64 // 0 to 1
}

// Evidence gives the counts of the newest build against earlier ones.
func (a *Analyzer) Evidence(now float64) policy.MetricsEvidence {
	evidence := policy.MetricsEvidence{Evidence: policy.Evidence{Build: a.build}}
	indexes := map[seriesKey]int{}
	for i := range a.questions {
		question := &a.questions[i]
		if question.Meaning != Counts {
			continue
		}
		evidence.Independent[question.Kind] = question.Independent
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
			sample.Outcomes[question.Kind] = merged.counts.outcomes * question.Weight
			sample.Failures[question.Kind] = merged.counts.failures * question.Weight
		})
	}
	return evidence
}

// HealthMarks gives the endpoints that are marked, by ID: each with the strongest mark of any question.
func (a *Analyzer) HealthMarks(now float64) []policy.HealthMark {
	byEndpoint := map[uint32]*policy.HealthMark{}
	for i := range a.questions {
		question := &a.questions[i]
		a.forEachSeries(now, i, func(key seriesKey, merged reading) {
			if merged.mark < minMark || a.endpoints[key.endpoint].Build != key.build {
				return
			}
			mark := byEndpoint[key.endpoint]
			if mark == nil {
				mark = &policy.HealthMark{Endpoint: key.endpoint}
				byEndpoint[key.endpoint] = mark
			}
			if question.marksWrongAnswers() {
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

// DisputedEndpoints tells on how many endpoints the servers disagreed about a question when they were compared last.
func (a *Analyzer) DisputedEndpoints(question string) int { return a.disputed[question] }

// FreshEndpoints tells of how many endpoints a server's answers to a question are not stale.
func (a *Analyzer) FreshEndpoints(now float64, question, server int) (count int) {
	for _, series := range a.servers[question][server].series {
		if series.started && series.at >= now-a.questions[question].StaleAfterSeconds {
			count++
		}
	}
	return count
}

// forEachSeries visits, by endpoint and build, what the servers say together on a question.
func (a *Analyzer) forEachSeries(now float64, question int, visit func(seriesKey, reading)) {
	q := &a.questions[question]
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

// readings gives what each server says on a question that is not silent, by series: a server that is says nothing, nor does
// what it said before. Counts of endpoints that no server answers on any more, or that left the list, stay.
func (a *Analyzer) readings(now float64, question int) map[seriesKey][]reading {
	q := &a.questions[question]
	fresh, past := map[seriesKey][]reading{}, map[seriesKey][]reading{}
	for _, server := range a.servers[question] {
		if server.newestAt < now-q.StaleAfterSeconds {
			continue
		}
		for key, series := range server.series {
			switch {
			case !series.started:
			case series.at >= now-q.StaleAfterSeconds:
				fresh[key] = append(fresh[key], q.read(now, series))
			case q.Meaning == Counts:
				past[key] = append(past[key], reading{share: series.total.failureShare(), counts: series.total})
			}
		}
		for build, total := range server.departed {
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

// read gives what one series says by itself.
func (q *Question) read(now float64, series *seriesState) (r reading) {
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
	r.mark *= q.Weight * math.Exp(-max(0, now-series.at)/markDecaySeconds)
	return r
}

// isDisputed tells whether servers disagree on an endpoint. Counters are compared only where both have seen enough outcomes.
func (q *Question) isDisputed(readings []reading) bool {
	lowest, highest := readings[0], readings[0]
	for _, r := range readings {
		if r.share < lowest.share {
			lowest = r
		}
		if r.share > highest.share {
			highest = r
		}
	}
	differ := highest.share-lowest.share > disputeShare
	comparable := q.Meaning != Counts || min(lowest.counts.outcomes, highest.counts.outcomes) >= disputeMinOutcomes
	return differ && comparable
}

// lowerMedian picks from what servers say of the same series. Of two that disagree it is the milder one: a failure counts only
// where both see it. Of three or more it is the one in the middle, so that one wrong server decides nothing.
func lowerMedian(readings []reading) reading {
	slices.SortStableFunc(readings, func(a, b reading) int { return cmp.Compare(a.share, b.share) })
	return readings[(len(readings)-1)/2]
}
