package metricsanalysis

// departedKeepSeconds is the time for which the last counters of an endpoint that left the list are kept.
const departedKeepSeconds = 600.0

// departedSeries holds the last values of the series whose endpoints left the list or changed their build. A process that is
// listed again goes on from there: its counters include what was counted before.
type departedSeries map[seriesKey]departedState

type departedState struct {
	processStartedAt float64
	valueAt          float64
	counters         counts
}

// resume returns the initial state of the series of a listed endpoint: without values, or with the last ones if the same
// process departed earlier.
func (d departedSeries) resume(key seriesKey, endpoint Endpoint) *seriesState {
	state, found := d[key]
	delete(d, key)
	if !found || state.processStartedAt != endpoint.StartedAt {
		return &seriesState{}
	}
	return &seriesState{started: true, valueAt: state.valueAt, counters: state.counters}
}

// depart keeps the last values of a series whose endpoint leaves the list. Older ones are forgotten.
func (s *serverState) depart(key seriesKey, endpoint Endpoint, series *seriesState) {
	if !series.started {
		return
	}
	s.forgetDeparted(s.newestValueAt - departedKeepSeconds)
	if len(s.departed) == maxSeries {
		s.forgetDeparted(s.newestValueAt)
	}
	s.departed[key] = departedState{processStartedAt: endpoint.StartedAt, valueAt: series.valueAt, counters: series.counters}
}

// forgetDeparted forgets the departed series whose last value is older than an instant. From now on, the counts of a process
// that had started by then are not new.
func (s *serverState) forgetDeparted(before float64) {
	for key, state := range s.departed {
		if state.valueAt < before {
			s.observedSince = max(s.observedSince, state.valueAt)
			delete(s.departed, key)
		}
	}
}
