package metricsanalysis

import "math"

// maxSeries bounds the tracked series. More than that is a mistake in the queries, not a large fleet.
const maxSeries = 1_000_000

// Analyzer accumulates the answers of all query servers and derives evidence and health marks from them.
type Analyzer struct {
	questions   []Query
	servers     [][]serverState // by question and server
	endpoints   map[uint32]Endpoint
	build       int // the newest; -1: none yet
	seriesCount int
	disputed    map[string]int // by question name: endpoints on which servers disagreed at the last comparison
}

// serverState holds one server's answers to one question.
type serverState struct {
	firstAnswerAt float64
	newestAt      float64 // of the newest value of any series
	series        map[seriesKey]*seriesState
	departed      map[int]counts // sums of processes that left the endpoint list, by build
}

// seriesKey identifies a series.
type seriesKey struct {
	endpoint uint32
	build    int
}

// NewAnalyzer returns an analyzer of questions that are sent to a number of servers.
func NewAnalyzer(questions []Query, servers int) *Analyzer {
	a := &Analyzer{questions: questions, endpoints: map[uint32]Endpoint{}, disputed: map[string]int{}, build: -1}
	for range questions {
		states := make([]serverState, servers)
		for i := range states {
			states[i] = serverState{
				firstAnswerAt: math.Inf(1),
				newestAt:      math.Inf(-1),
				series:        map[seriesKey]*seriesState{},
				departed:      map[int]counts{},
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
				if !a.questions[i].decays() {
					server.departed[key.build] = server.departed[key.build].plus(series.total)
				}
				delete(server.series, key)
				a.seriesCount--
			}
		}
	}
}

// SetRelease resets all counts if build differs from the current newest build, and makes it the newest.
func (a *Analyzer) SetRelease(build int) {
	if build == a.build {
		return
	}
	a.build = build
	for _, states := range a.servers {
		for _, server := range states {
			clear(server.departed)
			for _, series := range server.series {
				series.total = counts{}
			}
		}
	}
}

// ApplyResult applies an answer and counts its values. Values that were applied before are skipped.
func (a *Analyzer) ApplyResult(now float64, answer *QueryResult) ApplySummary {
	server := &a.servers[answer.Question][answer.Server]
	server.firstAnswerAt = min(server.firstAnswerAt, now)
	reader := &answerReader{now: now, question: &a.questions[answer.Question], server: server}
	refused := &reader.result.RefusedValues
	failures := make(map[seriesKey][]Point, len(answer.Failures))
	for _, series := range answer.Failures {
		failures[seriesKey{series.Endpoint, series.Build}] = series.Points
	}
	seen := make(map[seriesKey]bool, len(answer.Outcomes))
	for _, series := range answer.Outcomes {
		key := seriesKey{series.Endpoint, series.Build}
		endpoint, listed := a.endpoints[series.Endpoint]
		switch {
		case !listed || series.Build != endpoint.Build:
			refused[RefusedUnknownEndpoint]++
			continue
		case seen[key]:
			refused[RefusedDuplicate]++
			continue
		}
		seen[key] = true
		state := a.follow(server, key)
		if state == nil {
			refused[RefusedTooManySeries]++
			continue
		}
		if reader.question.Meaning == Counts {
			points, exists := failures[key]
			reader.readCounters(endpoint, state, series.Points, &failureCounter{points: points, exists: exists})
		} else {
			reader.readGauge(state, series.Points)
		}
		if state.started {
			server.newestAt = max(server.newestAt, state.at)
		}
	}
	return reader.result
}

// follow returns the state of a series, which it creates if needed, or nil if too many series are tracked.
func (a *Analyzer) follow(server *serverState, key seriesKey) *seriesState {
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
