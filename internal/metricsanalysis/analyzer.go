package metricsanalysis

import "math"

// maxSeries bounds the tracked series. More than that is a mistake in the queries, not a large fleet.
const maxSeries = 1_000_000

// Analyzer accumulates the answers of all query servers and derives evidence and health marks from them.
type Analyzer struct {
	queries     []Query
	servers     [][]serverState // by question and server
	endpoints   map[uint32]Endpoint
	newestBuild int // the newest; -1: none yet
	seriesCount int
	disputed    map[string]int // by question name: endpoints on which servers disagreed at the last comparison
}

// serverState holds one server's answers to one question.
type serverState struct {
	firstResultAt float64
	newestValueAt float64 // of the newest value of any series
	series        map[seriesKey]*seriesState
	removed       map[int]counts // sums of processes that left the endpoint list, by build
}

// seriesKey identifies a series.
type seriesKey struct {
	endpoint uint32
	build    int
}

// NewAnalyzer returns an analyzer of questions that are sent to a number of servers.
func NewAnalyzer(questions []Query, servers int) *Analyzer {
	a := &Analyzer{queries: questions, endpoints: map[uint32]Endpoint{}, disputed: map[string]int{}, newestBuild: -1}
	for range questions {
		states := make([]serverState, servers)
		for i := range states {
			states[i] = serverState{
				firstResultAt: math.Inf(1),
				newestValueAt: math.Inf(-1),
				series:        map[seriesKey]*seriesState{},
				removed:       map[int]counts{},
			}
		}
		a.servers = append(a.servers, states)
	}
	return a
}

// SetEndpoints replaces the endpoint list. Counts of processes that left the list are kept, summed per build as if of
// one endpoint, unless the question's counts decay.
func (a *Analyzer) SetEndpoints(list []Endpoint) {
	a.endpoints = make(map[uint32]Endpoint, len(list))
	for _, endpoint := range list {
		a.endpoints[endpoint.ID] = endpoint
	}
	for i, states := range a.servers {
		for _, server := range states {
			for key, series := range server.series {
				if endpoint, listed := a.endpoints[key.endpoint]; listed && endpoint.Build == key.build {
					continue
				}
				if !a.queries[i].decays() {
					server.removed[key.build] = server.removed[key.build].plus(series.total)
				}
				delete(server.series, key)
				a.seriesCount--
			}
		}
	}
}

// SetRelease resets all counts if build differs from the current newest build, and makes it the newest.
func (a *Analyzer) SetRelease(build int) {
	if build == a.newestBuild {
		return
	}
	a.newestBuild = build
	for _, states := range a.servers {
		for _, server := range states {
			clear(server.removed)
			for _, series := range server.series {
				series.total = counts{}
			}
		}
	}
}

// ApplyResult applies an answer and counts its values. Values that were applied before are skipped.
func (a *Analyzer) ApplyResult(now float64, answer *QueryResult) ApplySummary {
	server := &a.servers[answer.Query][answer.Server]
	server.firstResultAt = min(server.firstResultAt, now)
	reader := &seriesUpdater{now: now, query: &a.queries[answer.Query], server: server}
	refused := &reader.summary.RejectedValues
	failures := make(map[seriesKey][]Point, len(answer.Failures))
	for _, series := range answer.Failures {
		failures[seriesKey{series.Endpoint, series.Build}] = series.Points
	}
	seen := make(map[seriesKey]bool, len(answer.Values))
	for _, series := range answer.Values {
		key := seriesKey{series.Endpoint, series.Build}
		endpoint, listed := a.endpoints[series.Endpoint]
		switch {
		case !listed || series.Build != endpoint.Build:
			refused[RejectedUnknownEndpoint]++
			continue
		case seen[key]:
			refused[RejectedDuplicate]++
			continue
		}
		seen[key] = true
		state := a.trackSeries(server, key)
		if state == nil {
			refused[RejectedTooManySeries]++
			continue
		}
		if reader.query.Meaning == Counts {
			points, exists := failures[key]
			reader.updateCounters(endpoint, state, series.Points, &failureCounter{points: points, exists: exists})
		} else {
			reader.updateGauge(state, series.Points)
		}
		if state.started {
			server.newestValueAt = max(server.newestValueAt, state.valueAt)
		}
	}
	return reader.summary
}

// trackSeries returns the state of a series, which it creates if needed, or nil if too many series are tracked.
func (a *Analyzer) trackSeries(server *serverState, key seriesKey) *seriesState {
	if state := server.series[key]; state != nil {
		return state
	}
	if a.seriesCount >= maxSeries {
		return nil
	}
	a.seriesCount++
	state := &seriesState{}
	server.series[key] = state
	return state
}
