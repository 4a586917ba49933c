package metricsanalysis

import "math"

const (
	// markDecaySeconds is the time constant (decay to 1/e) of the evidence for marks, the same as of outlier scores in
	// the policy.
	markDecaySeconds = 4.0
	// slowCountDecaySeconds is the time constant (decay to 1/e) of counts of slow answers, the same as in the policy:
	// load changes.
	slowCountDecaySeconds = 8.2
)

// seriesState is the state of one series of one server, tracked over time.
type seriesState struct {
	started  bool
	valueAt  float64 // of the newest value
	counters counts  // as of then
	total    counts  // since the current newest build was set
	recent   counts  // decaying, for the mark
	gauge    float64 // newest value, if not a counter
}

// counts are outcomes and the failures among them.
type counts struct{ outcomes, failures float64 }

// failureShare returns the share of failures, or 0 without outcomes.
func (c counts) failureShare() float64 {
	if c.outcomes <= 0 {
		return 0
	}
	return c.failures / c.outcomes
}

func (c counts) times(factor float64) counts { return counts{c.outcomes * factor, c.failures * factor} }

func (c counts) plus(other counts) counts {
	return counts{c.outcomes + other.outcomes, c.failures + other.failures}
}

func (c counts) minus(other counts) counts {
	return counts{c.outcomes - other.outcomes, c.failures - other.failures}
}

// seriesUpdater applies the series of one answer.
type seriesUpdater struct {
	now     float64
	query   *Query
	server  *serverState
	summary ApplySummary
}

// accepts reports whether a value is valid and recent, and counts the reason if not.
func (r *seriesUpdater) accepts(point Point) bool {
	refused := &r.summary.RejectedValues
	switch {
	case math.IsNaN(point.Value) || math.IsInf(point.Value, 0) || point.Value < 0:
		refused[RejectedInvalidNumber]++
	case point.At > r.now+r.query.MaxClockSkewSeconds:
		refused[RejectedFuture]++
	case point.At < r.now-r.query.StaleAfterSeconds:
		refused[RejectedStale]++
	default:
		return true
	}
	return false
}

// updateGauge applies the values of a series that is not a counter.
func (r *seriesUpdater) updateGauge(series *seriesState, points []Point) {
	for _, point := range points {
		if series.started && point.At <= series.valueAt || !r.accepts(point) {
			continue
		}
		series.valueAt, series.gauge, series.started = point.At, point.Value, true
		r.summary.AcceptedValues++
	}
}

// updateCounters applies the values of the two counters of one process.
func (r *seriesUpdater) updateCounters(endpoint Endpoint, series *seriesState, outcomes []Point, failures *failureCounter) {
	for _, point := range outcomes {
		if series.started && point.At <= series.valueAt {
			continue
		}
		failure, found := failures.at(point, series)
		if !found || !r.accepts(point) || !r.accepts(failure) {
			continue
		}
		if failure.Value > point.Value {
			r.summary.RejectedValues[RejectedInconsistent]++
			continue
		}
		before := *series
		series.valueAt, series.counters, series.started = point.At, counts{point.Value, failure.Value}, true
		increase, known := r.increase(endpoint, &before, series)
		if !known {
			continue
		}
		r.summary.AcceptedValues++
		series.add(increase, &before, r.query.decays())
	}
}

// increase returns the growth of the counters since the previous value, and whether it is known.
func (r *seriesUpdater) increase(endpoint Endpoint, before, after *seriesState) (increase counts, known bool) {
	increase = after.counters.minus(before.counters)
	switch {
	case !before.started:
		// If the process started after the first answer of this server, everything that it counted is new. Otherwise it
		// is unknown when its first counts were made.
		beganWatched := endpoint.StartedAt > r.server.firstResultAt && endpoint.StartedAt <= after.valueAt
		return after.counters, beganWatched
	case increase.outcomes < 0: // the process restarted, and so did its counters
		r.summary.CounterResets++
		return after.counters, true
	case increase.failures < 0 || increase.failures > increase.outcomes:
		r.summary.RejectedValues[RejectedInconsistent]++
		return counts{}, false
	}
	return increase, true
}

// add adds an increase since the previous state to the sums, after decaying them by the time in between.
func (s *seriesState) add(increase counts, before *seriesState, decays bool) {
	remaining := 0.0
	if before.started {
		remaining = math.Exp(-(s.valueAt - before.valueAt) / markDecaySeconds)
	}
	s.recent = s.recent.times(remaining).plus(increase)
	if decays && before.started {
		s.total = s.total.times(math.Exp(-(s.valueAt - before.valueAt) / slowCountDecaySeconds))
	}
	s.total = s.total.plus(increase)
}

// failureCounter finds the failures that belong to values of the outcome counter. Calls must be in the order of those
// values.
type failureCounter struct {
	points []Point
	next   int
	exists bool // false for an endpoint that has not failed yet
}

// at returns the failures from the same scrape as an outcomes value, which has the same timestamp. found is false if
// that scrape has none.
func (f *failureCounter) at(outcome Point, series *seriesState) (failure Point, found bool) {
	if !f.exists {
		failure = Point{At: outcome.At}
		if series.started && outcome.Value >= series.counters.outcomes {
			failure.Value = series.counters.failures
		}
		return failure, true
	}
	for f.next < len(f.points) && f.points[f.next].At < outcome.At {
		f.next++
	}
	if f.next == len(f.points) || f.points[f.next].At > outcome.At {
		return Point{}, false
	}
	return f.points[f.next], true
}
