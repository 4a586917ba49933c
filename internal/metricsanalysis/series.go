package metricsanalysis

import "math"

const (
	// markDecaySeconds is the time constant (decay to 1/e) of the evidence for health marks. The policy's outlier scores
	// use the same value.
	markDecaySeconds = 4.0
	// slowCountDecaySeconds is the time constant (decay to 1/e) of the counts of slow responses, which vary with the
	// load. The policy uses the same value.
	slowCountDecaySeconds = 8.2
)

// seriesState is the state of one series of a server.
type seriesState struct {
	started  bool    // a value was accepted
	valueAt  float64 // timestamp of the newest value
	counters counts  // newest values of the counters
	total    counts  // sum of the increases since the newest build was set; decays for counts of slow responses
	recent   counts  // sum of the increases, decaying with markDecaySeconds
	gauge    float64 // newest value of a series that is not a counter
}

// counts holds a number of outcomes and how many of them are failures.
type counts struct{ outcomes, failures float64 }

// failureShare returns the share of outcomes that are failures, or 0 without outcomes.
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

// seriesUpdater applies the series of one query result and counts its values.
type seriesUpdater struct {
	now     float64
	query   *Query
	server  *serverState
	summary ApplySummary
}

// accepts reports whether a value is valid and recent. If not, it counts the reason.
func (u *seriesUpdater) accepts(point Point) bool {
	rejected := &u.summary.RejectedValues
	switch {
	case math.IsNaN(point.Value) || math.IsInf(point.Value, 0) || point.Value < 0:
		rejected[RejectedInvalidNumber]++
	case point.At > u.now+u.query.MaxClockSkewSeconds:
		rejected[RejectedFuture]++
	case point.At < u.now-u.query.StaleAfterSeconds:
		rejected[RejectedStale]++
	default:
		return true
	}
	return false
}

// updateGauge applies the values of a series that is not a counter.
func (u *seriesUpdater) updateGauge(series *seriesState, points []Point) {
	for _, point := range points {
		if series.started && point.At <= series.valueAt || !u.accepts(point) {
			continue
		}
		series.valueAt, series.gauge, series.started = point.At, point.Value, true
		u.summary.AcceptedValues++
	}
}

// updateCounters applies the values of an endpoint's two counters: all outcomes, and the failures among them.
func (u *seriesUpdater) updateCounters(endpoint Endpoint, series *seriesState, outcomes []Point, failures *failureCounter) {
	for _, point := range outcomes {
		if series.started && point.At <= series.valueAt {
			continue
		}
		failure, found := failures.at(point, series)
		if !found || !u.accepts(point) || !u.accepts(failure) {
			continue
		}
		if failure.Value > point.Value {
			u.summary.RejectedValues[RejectedInconsistent]++
			continue
		}
		before := *series
		series.valueAt, series.counters, series.started = point.At, counts{point.Value, failure.Value}, true
		increase, known := u.increase(endpoint, &before, series)
		if !known {
			continue
		}
		u.summary.AcceptedValues++
		series.add(increase, &before, u.query.decays())
	}
}

// increase returns by how much the counters have grown since the previous value. known is false if that cannot be
// determined.
func (u *seriesUpdater) increase(endpoint Endpoint, before, after *seriesState) (increase counts, known bool) {
	increase = after.counters.minus(before.counters)
	switch {
	case !before.started:
		// Otherwise it is unknown when they were counted.
		allNew := endpoint.StartedAt > u.server.observedSince && endpoint.StartedAt <= after.valueAt
		return after.counters, allNew
	case increase.outcomes < 0: // the process restarted, which resets its counters
		u.summary.CounterResets++
		return after.counters, true
	case increase.failures < 0 || increase.failures > increase.outcomes:
		u.summary.RejectedValues[RejectedInconsistent]++
		return counts{}, false
	}
	return increase, true
}

// add adds an increase since the previous value to the sums, after decaying them by the time since that value.
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

// failureCounter matches values of the failure counter to those of the outcome counter.
type failureCounter struct {
	points []Point
	next   int
	exists bool // false if the result has no such counter: the endpoint has not failed yet
}

// at returns the failure count from the same scrape as a value of the outcome counter: the one with the same timestamp.
// found is false if there is none. If the result has no failure counter, the failure count is that of the previous
// value, or 0 if there is no previous value or the outcome counter has decreased. Calls must be in the order of the
// timestamps.
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
