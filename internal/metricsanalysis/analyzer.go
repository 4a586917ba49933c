package metricsanalysis

import "math"

// maxSeries is the maximum number of tracked series. More indicate a mistake in the queries, not a large fleet.
const maxSeries = 1_000_000

// Analyzer accumulates the results of all query servers and derives evidence and health marks from them.
type Analyzer struct {
	queries     []Query
	servers     [][]serverState // by query and server
	endpoints   map[uint32]Endpoint
	newestBuild int // -1: none yet
	seriesCount int
	disputed    map[string]int // number of endpoints on which the servers disagreed at the last comparison, by query name
}

// serverState holds the state of one server's results for one query.
type serverState struct {
	observedSince float64 // all counts of a process that started later are new; +Inf: no result yet
	newestValueAt float64 // timestamp of the newest value of any series; -Inf: no value yet
	series        map[seriesKey]*seriesState
	removed       map[int]counts // total counts of endpoints that left the list or changed their build, by former build
	departed      departedSeries
}

// seriesKey identifies a series of a server.
type seriesKey struct {
	endpoint uint32
	build    int
}

// NewAnalyzer returns an analyzer for the results that a number of servers return for queries.
func NewAnalyzer(queries []Query, servers int) *Analyzer {
	a := &Analyzer{queries: queries, endpoints: map[uint32]Endpoint{}, disputed: map[string]int{}, newestBuild: -1}
	for range queries {
		states := make([]serverState, servers)
		for i := range states {
			states[i] = serverState{
				observedSince: math.Inf(1),
				newestValueAt: math.Inf(-1),
				series:        map[seriesKey]*seriesState{},
				removed:       map[int]counts{},
				departed:      departedSeries{},
			}
		}
		a.servers = append(a.servers, states)
	}
	return a
}

// SetEndpoints replaces the endpoint list. Counts of endpoints that left the list or changed their build are kept as one
// sum per build, except those of queries whose counts decay.
func (a *Analyzer) SetEndpoints(list []Endpoint) {
	previous := a.endpoints
	a.endpoints = make(map[uint32]Endpoint, len(list))
	for _, endpoint := range list {
		a.endpoints[endpoint.ID] = endpoint
	}
	for i, states := range a.servers {
		for j := range states {
			server := &states[j]
			for key, series := range server.series {
				if endpoint, listed := a.endpoints[key.endpoint]; listed && endpoint.Build == key.build {
					continue
				}
				if !a.queries[i].decays() {
					server.removed[key.build] = server.removed[key.build].plus(series.total)
				}
				server.depart(key, previous[key.endpoint], series)
				delete(server.series, key)
				a.seriesCount--
			}
		}
	}
}

// SetRelease makes build the newest build. If it was not the newest before, all total counts are reset, but not the
// recent counts, from which health marks are derived.
func (a *Analyzer) SetRelease(build int) {
	if build == a.newestBuild {
		return
	}
	a.newestBuild = build
	for _, states := range a.servers {
		for i := range states {
			server := &states[i]
			clear(server.removed)
			server.forgetDeparted(math.Inf(1)) // what they counted since is in part of the build before
			for _, series := range server.series {
				series.total = counts{}
			}
		}
	}
}

// ApplyResult applies a query result and counts its values. Values that were applied before are skipped.
func (a *Analyzer) ApplyResult(now float64, result *QueryResult) ApplySummary {
	server := &a.servers[result.Query][result.Server]
	server.observedSince = min(server.observedSince, now)
	updater := &seriesUpdater{now: now, query: &a.queries[result.Query], server: server}
	rejected := &updater.summary.RejectedValues
	failures := make(map[seriesKey][]Point, len(result.Failures))
	for _, series := range result.Failures {
		failures[seriesKey{series.Endpoint, series.Build}] = series.Points
	}
	seen := make(map[seriesKey]bool, len(result.Values))
	for _, series := range result.Values {
		key := seriesKey{series.Endpoint, series.Build}
		endpoint, listed := a.endpoints[series.Endpoint]
		switch {
		case !listed || series.Build != endpoint.Build:
			rejected[RejectedUnknownEndpoint]++
			continue
		case seen[key]:
			rejected[RejectedDuplicate]++
			continue
		}
		seen[key] = true
		state := a.trackSeries(server, key, endpoint)
		if state == nil {
			rejected[RejectedTooManySeries]++
			continue
		}
		if updater.query.Meaning == Counts {
			points, exists := failures[key]
			updater.updateCounters(endpoint, state, series.Points, &failureCounter{points: points, exists: exists})
		} else {
			updater.updateGauge(state, series.Points)
		}
		if state.started {
			server.newestValueAt = max(server.newestValueAt, state.valueAt)
		}
	}
	return updater.summary
}

// trackSeries returns the state of an endpoint's series, creating it if needed. It returns nil if the series is new and
// maxSeries series are tracked already.
func (a *Analyzer) trackSeries(server *serverState, key seriesKey, endpoint Endpoint) *seriesState {
	if state := server.series[key]; state != nil {
		return state
	}
	if a.seriesCount >= maxSeries {
		return nil
	}
	a.seriesCount++
	state := server.departed.resume(key, endpoint)
	server.series[key] = state
	return state
}
