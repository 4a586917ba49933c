package metricsanalysis

import "math"

// maxSeries bounds the series that are followed; more is a mistake in the queries, not a fleet.
const maxSeries = 1_000_000

// Analyzer is all that is known from the query servers.
type Analyzer struct {
	questions   []Question
	servers     [][]serverState // by question and server
	endpoints   map[uint32]Endpoint
	build       int // the newest, -1: none yet
	seriesCount int
	disputed    map[string]int // by question: endpoints on which servers disagreed when they were compared last
}

// serverState is what one server has answered to one question.
type serverState struct {
	firstAnswerAt float64
	newestAt      float64 // of the newest value of any endpoint
	series        map[seriesKey]*seriesState
	departed      map[int]counts // sums of the processes that left the list, by build
}

// seriesKey names a series.
type seriesKey struct {
	endpoint uint32
	build    int
}

// New makes an analyzer of some questions to a number of servers.
func New(questions []Question, servers int) *Analyzer {
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

// SetEndpoints replaces the endpoint list. What was counted of processes that left it stays, as the counts of one endpoint
// for each build.
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

// SetRelease begins the counts of a new build; the same build again changes nothing.
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

// ApplyAnswer enters an answer. Values that were entered before are passed over.
func (a *Analyzer) ApplyAnswer(now float64, answer *Answer) AnswerResult {
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

// follow gives the state of a series, nil where too many are followed already.
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
