package metricsanalysis

import "math"

const (
	// markDecaySeconds is the time in which what a mark rests on fades to 1/e, as the policy forgets an endpoint's failures.
	markDecaySeconds = 4.0
	// slowCountDecaySeconds is the time in which counts of slow answers fade to 1/e, as the policy's own do: load changes.
	slowCountDecaySeconds = 8.2
)

// seriesState is what one server says of one endpoint under one build, followed over time.
type seriesState struct {
	started  bool
	at       float64 // of the newest value
	counters counts  // as of then
	total    counts  // since the present build is the newest
	recent   counts  // fading, for the mark
	gauge    float64 // the newest value of what is no counter
}

// counts are outcomes and the failures among them.
type counts struct{ outcomes, failures float64 }

// failureShare gives the share of failures, 0 without outcomes.
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

// answerReader reads the series of one answer.
type answerReader struct {
	now      float64
	question *Question
	server   *serverState
	result   AnswerResult
}

// accepts tells whether a value may count at all, and counts the reason if not.
func (r *answerReader) accepts(point Point) bool {
	refused := &r.result.RefusedValues
	switch {
	case math.IsNaN(point.Value) || math.IsInf(point.Value, 0) || point.Value < 0:
		refused[RefusedNoNumber]++
	case point.At > r.now+r.question.MaxClockSkewSeconds:
		refused[RefusedFuture]++
	case point.At < r.now-r.question.StaleAfterSeconds:
		refused[RefusedStale]++
	default:
		return true
	}
	return false
}

// readGauge takes the newest value of what is no counter.
func (r *answerReader) readGauge(series *seriesState, points []Point) {
	for _, point := range points {
		if series.started && point.At <= series.at || !r.accepts(point) {
			continue
		}
		series.at, series.gauge, series.started = point.At, point.Value, true
		r.result.AcceptedValues++
	}
}

// readCounters follows the two counters of one process from value to value.
func (r *answerReader) readCounters(endpoint Endpoint, series *seriesState, outcomes []Point, failures *failureCounter) {
	for _, point := range outcomes {
		if series.started && point.At <= series.at {
			continue
		}
		failure, found := failures.at(point, series)
		if !found || !r.accepts(point) || !r.accepts(failure) {
			continue
		}
		if failure.Value > point.Value {
			r.result.RefusedValues[RefusedInconsistent]++
			continue
		}
		before := *series
		series.at, series.counters, series.started = point.At, counts{point.Value, failure.Value}, true
		increase, known := r.increase(endpoint, &before, series)
		if !known {
			continue
		}
		r.result.AcceptedValues++
		series.add(increase, &before, r.question.decays())
	}
}

// increase gives what the counters grew by since the value before, and whether that is known.
func (r *answerReader) increase(endpoint Endpoint, before, after *seriesState) (increase counts, known bool) {
	increase = after.counters.minus(before.counters)
	switch {
	case !before.started:
		// All that a process counted which began while this server was watched is new; what another one counted before it was
		// first seen is of no known time.
		beganWatched := endpoint.StartedAt > r.server.firstAnswerAt && endpoint.StartedAt <= after.at
		return after.counters, beganWatched
	case increase.outcomes < 0: // the process began anew, and so did its counters
		r.result.CounterResets++
		return after.counters, true
	case increase.failures < 0 || increase.failures > increase.outcomes:
		r.result.RefusedValues[RefusedInconsistent]++
		return counts{}, false
	}
	return increase, true
}

// add adds an increase since the state before to the sums, which fade over the time between.
func (s *seriesState) add(increase counts, before *seriesState, decays bool) {
	remaining := 0.0
	if before.started {
		remaining = math.Exp(-(s.at - before.at) / markDecaySeconds)
	}
	s.recent = s.recent.times(remaining).plus(increase)
	if decays && before.started {
		s.total = s.total.times(math.Exp(-(s.at - before.at) / slowCountDecaySeconds))
	}
	s.total = s.total.plus(increase)
}

// failureCounter gives the failures that go with values of the outcomes' counter, which have to be asked for in their order.
type failureCounter struct {
	points []Point
	next   int
	exists bool // an endpoint that has not failed yet may have no such counter
}

// at gives the failures of the scrape that an outcomes' value is from: both counters stand in one scrape, so that they bear
// one time. found is false where that scrape has none.
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
