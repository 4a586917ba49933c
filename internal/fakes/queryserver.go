package fakes

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/model/labels"
	"github.com/prometheus/prometheus/promql/parser"
)

// QueryServerFault is a fault of a QueryServer. Some faults affect the samples that it scrapes, others its responses.
type QueryServerFault string

// The faults of a QueryServer, with their names in scenario files.
const (
	NoFault               QueryServerFault = ""
	FaultNoScrapes        QueryServerFault = "blind"     // scrapes are dropped
	FaultInflatesFailures QueryServerFault = "lies"      // failure counters of the newest build are inflated
	FaultHidesFailures    QueryServerFault = "flatters"  // failure counters are 0
	FaultSlow             QueryServerFault = "late"      // responses are delayed by slowResponseDelay
	FaultNoResponse       QueryServerFault = "hangs"     // queries get no response
	FaultTruncated        QueryServerFault = "truncated" // response bodies are cut off
	FaultTooManyRequests  QueryServerFault = "429"       // status 429, with a Retry-After of one second
	FaultUnavailable      QueryServerFault = "503"       // status 503
	FaultRedirect         QueryServerFault = "redirect"  // a redirect to an address on which nothing listens
	FaultPartialResult    QueryServerFault = "warnings"  // responses carry a warning that the result is partial
	FaultOldTimestamps    QueryServerFault = "yesterday" // timestamps are one day too old
	FaultTooManySeries    QueryServerFault = "exploded"  // responses contain tooManySeriesCount series
	FaultNotJSON          QueryServerFault = "garbage"   // responses are an HTML page
	FaultConnectionReset  QueryServerFault = "dead"      // connections are closed without a response
)

const (
	retentionSeconds         = 60.0    // after which samples are dropped
	lookbackMillis           = 5000    // maximum age of a current sample; Prometheus' default of 5 min, scaled down
	tooManySeriesCount       = 100_000 // in a response with FaultTooManySeries
	inflatedFailureShare     = 0.6     // of answers, with FaultInflatesFailures
	slowResponseDelay        = time.Second
	oldTimestampShiftSeconds = 86400
	maxPointsPerSeries       = 11000 // of a range query
	minStepSeconds           = 0.001 // of a range query
	redirectTarget           = "http://127.0.0.1:1/api/v1/query"
)

// Names of the metrics that faults change.
const (
	metricAnswers      = "unit_answers_total"
	metricErrors       = "unit_errors_total"
	metricWrongAnswers = "unit_wrong_total"
)

// QueryServer implements the query part of the Prometheus HTTP API. It evaluates selectors only, over the samples that
// were added with AddSamples.
type QueryServer struct {
	URL    string
	clock  func() float64
	server *http.Server
	parser parser.Parser

	mu      sync.Mutex
	fault   QueryServerFault
	series  map[string]*scrapedSeries // by metric name and labels
	queries int
}

// scrapedSeries holds the samples of one series, oldest first.
type scrapedSeries struct {
	labels labels.Labels
	points []model.SamplePair
}

// Sample is one sample of a scrape.
type Sample struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// StartQueryServer starts a server on a free loopback port.
func StartQueryServer(clock func() float64) (*QueryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	q := &QueryServer{
		URL:    "http://" + l.Addr().String(),
		clock:  clock,
		parser: parser.NewParser(parser.Options{}),
		series: map[string]*scrapedSeries{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/v1/query", func(w http.ResponseWriter, r *http.Request) { q.serve(w, r, q.instantQuery) })
	mux.HandleFunc("/api/v1/query_range", func(w http.ResponseWriter, r *http.Request) { q.serve(w, r, q.rangeQuery) })
	q.server = &http.Server{Handler: mux}
	go serveUntilClosed(q.server, l)
	return q, nil
}

// Stop closes the server and its connections.
func (q *QueryServer) Stop() { q.server.Close() }

// SetFault replaces the server's fault.
func (q *QueryServer) SetFault(f QueryServerFault) {
	if f == FaultTooManySeries {
		tooManySeriesAnswer() // building it takes a while, so build it before the first query
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fault = f
}

// ClearFault ends a fault, unless it has been replaced by another one.
func (q *QueryServer) ClearFault(f QueryServerFault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fault == f {
		q.fault = NoFault
	}
}

// Queries returns the number of queries received.
func (q *QueryServer) Queries() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queries
}

// AddSamples adds the samples of a scrape at the given time, and removes series without samples in the retention time.
func (q *QueryServer) AddSamples(at float64, samples []Sample) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fault == FaultNoScrapes {
		return
	}
	oldest := model.Time((at - retentionSeconds) * 1000)
	newest := newestBuild(samples)
	answers := map[string]float64{} // by endpoint
	for _, sample := range samples {
		if sample.Name == metricAnswers {
			answers[sample.Labels["unit"]] = sample.Value
		}
	}
	for _, sample := range samples {
		isFailureCounter := sample.Name == metricWrongAnswers || sample.Name == metricErrors
		switch {
		case isFailureCounter && q.fault == FaultHidesFailures:
			sample.Value = 0
		case isFailureCounter && q.fault == FaultInflatesFailures && sample.Labels["build"] == newest:
			sample.Value = math.Floor(inflatedFailureShare * answers[sample.Labels["unit"]])
		}
		series := q.seriesOf(sample)
		series.points = append(series.points, model.SamplePair{Timestamp: model.Time(at * 1000), Value: model.SampleValue(sample.Value)})
		for len(series.points) > 0 && series.points[0].Timestamp < oldest {
			series.points = series.points[1:]
		}
	}
	for key, series := range q.series {
		if series.points[len(series.points)-1].Timestamp < oldest {
			delete(q.series, key)
		}
	}
}

// newestBuild returns the highest build number among the labels of samples. Build numbers have no leading zeros.
func newestBuild(samples []Sample) (newest string) {
	for _, sample := range samples {
		build := sample.Labels["build"]
		if len(build) > len(newest) || len(build) == len(newest) && build > newest {
			newest = build
		}
	}
	return newest
}

// seriesOf returns the series of a sample, which it creates if there is none. q.mu must be held.
func (q *QueryServer) seriesOf(sample Sample) *scrapedSeries {
	sampleLabels := labels.FromMap(sample.Labels)
	key := sample.Name + sampleLabels.String()
	series := q.series[key]
	if series == nil {
		builder := labels.NewBuilder(sampleLabels)
		builder.Set(model.MetricNameLabel, sample.Name)
		series = &scrapedSeries{labels: builder.Labels()}
		q.series[key] = series
	}
	return series
}

// apiAnswer and apiData are the JSON objects of a response.
type apiAnswer struct {
	Status    string   `json:"status"`
	Data      any      `json:"data,omitempty"`
	ErrorType string   `json:"errorType,omitempty"`
	Error     string   `json:"error,omitempty"`
	Warnings  []string `json:"warnings,omitempty"`
}

type apiData struct {
	ResultType string `json:"resultType"`
	Result     any    `json:"result"`
}

// apiError is an error response to a query.
type apiError struct {
	status    int
	errorType string
	text      string
}

// Error returns the error text of the response.
func (e *apiError) Error() string { return e.text }

func newBadDataError(format string, args ...any) *apiError {
	return &apiError{http.StatusBadRequest, "bad_data", fmt.Sprintf(format, args...)}
}

var errNotSelector = &apiError{http.StatusUnprocessableEntity, "execution", "the fake query server evaluates selectors only"}

// queryFunc evaluates an expression with the parameters of a request. Timestamps in the result are moved back by shift
// seconds. It is called with QueryServer.mu held.
type queryFunc func(r *http.Request, expression parser.Expr, shift float64) (apiData, *apiError)

// serve answers a query, subject to the server's fault.
func (q *QueryServer) serve(w http.ResponseWriter, r *http.Request, evaluate queryFunc) {
	// net/http notices that the client has disconnected only once the request body has been read.
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q.mu.Lock()
	fault := q.fault
	q.queries++
	q.mu.Unlock()
	if done := applyFault(w, r, fault); done {
		return
	}
	answer, status := q.answer(r, evaluate, fault)
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if fault == FaultTruncated {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		text = text[:len(text)*2/3]
	}
	w.WriteHeader(status)
	writeResponse(w, text)
}

// applyFault applies the faults that replace or delay a response. done reports that the request needs no further
// response.
func applyFault(w http.ResponseWriter, r *http.Request, fault QueryServerFault) (done bool) {
	switch fault {
	case FaultSlow:
		select {
		case <-r.Context().Done():
			return true
		case <-time.After(slowResponseDelay):
			return false
		}
	case FaultNoResponse:
		<-r.Context().Done()
	case FaultConnectionReset:
		panic(http.ErrAbortHandler)
	case FaultTooManyRequests:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many requests", http.StatusTooManyRequests)
	case FaultUnavailable:
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
	case FaultRedirect:
		http.Redirect(w, r, redirectTarget, http.StatusFound)
	case FaultNotJSON:
		writeResponse(w, []byte("<html><body>It works!</body></html>"))
	case FaultTooManySeries:
		writeResponse(w, tooManySeriesAnswer())
	default:
		return false
	}
	return true
}

// answer evaluates a query and returns the response with its HTTP status.
func (q *QueryServer) answer(r *http.Request, evaluate queryFunc, fault QueryServerFault) (*apiAnswer, int) {
	data, problem := q.evaluate(r, evaluate, fault)
	if problem != nil {
		return &apiAnswer{Status: "error", ErrorType: problem.errorType, Error: problem.text}, problem.status
	}
	answer := &apiAnswer{Status: "success", Data: data}
	if fault == FaultPartialResult {
		answer.Warnings = []string{"remote_read: one of the stores did not answer"}
	}
	return answer, http.StatusOK
}

func (q *QueryServer) evaluate(r *http.Request, evaluate queryFunc, fault QueryServerFault) (apiData, *apiError) {
	expression, err := q.parser.ParseExpr(r.FormValue("query"))
	if err != nil {
		return apiData{}, newBadDataError("invalid parameter \"query\": %v", err)
	}
	shift := 0.0
	if fault == FaultOldTimestamps {
		shift = oldTimestampShiftSeconds
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return evaluate(r, expression, shift)
}

// floatParameter returns a number from a request's parameters, or defaultValue if it is missing or malformed.
func floatParameter(r *http.Request, name string, defaultValue float64) float64 {
	if value, err := strconv.ParseFloat(r.FormValue(name), 64); err == nil {
		return value
	}
	return defaultValue
}

// instantQuery returns the samples of a range selector, or the values of an instant selector, as of the query time.
func (q *QueryServer) instantQuery(r *http.Request, expression parser.Expr, shift float64) (apiData, *apiError) {
	at := floatParameter(r, "time", q.clock())
	switch selector := expression.(type) {
	case *parser.MatrixSelector:
		matrix := model.Matrix{}
		for _, series := range q.match(selector.VectorSelector.(*parser.VectorSelector).LabelMatchers) {
			if points := series.between(at-selector.Range.Seconds(), at, shift); len(points) > 0 {
				matrix = append(matrix, &model.SampleStream{Metric: series.metric(), Values: points})
			}
		}
		return apiData{"matrix", matrix}, nil
	case *parser.VectorSelector:
		vector := model.Vector{}
		for _, series := range q.match(selector.LabelMatchers) {
			if value, ok := series.valueAt(at); ok {
				vector = append(vector, &model.Sample{Metric: series.metric(), Value: value, Timestamp: model.Time((at - shift) * 1000)})
			}
		}
		return apiData{"vector", vector}, nil
	}
	return apiData{}, errNotSelector
}

// rangeQuery returns the values of a selector at each step between the start and the end of the query.
func (q *QueryServer) rangeQuery(r *http.Request, expression parser.Expr, shift float64) (apiData, *apiError) {
	at := floatParameter(r, "time", q.clock())
	switch selector := expression.(type) {
	case *parser.MatrixSelector:
		return apiData{}, newBadDataError("invalid expression type \"range vector\" for range query, must be Scalar or instant Vector")
	case *parser.VectorSelector:
		matrix := model.Matrix{}
		start, end := floatParameter(r, "start", at), floatParameter(r, "end", at)
		step := max(minStepSeconds, floatParameter(r, "step", 1))
		for _, series := range q.match(selector.LabelMatchers) {
			var points []model.SamplePair
			for t := start; t <= end+1e-9 && len(points) < maxPointsPerSeries; t += step {
				if value, ok := series.valueAt(t); ok {
					points = append(points, model.SamplePair{Timestamp: model.Time((t - shift) * 1000), Value: value})
				}
			}
			if len(points) > 0 {
				matrix = append(matrix, &model.SampleStream{Metric: series.metric(), Values: points})
			}
		}
		return apiData{"matrix", matrix}, nil
	}
	return apiData{}, errNotSelector
}

// tooManySeriesAnswer returns a response with one series per request, as a request ID in a label would cause.
var tooManySeriesAnswer = sync.OnceValue(func() []byte {
	matrix := make(model.Matrix, tooManySeriesCount)
	for i := range matrix {
		matrix[i] = &model.SampleStream{
			Metric: model.Metric{"__name__": metricAnswers, "unit": "1", "build": "1", "request": model.LabelValue(strconv.Itoa(i))},
			Values: []model.SamplePair{{Timestamp: 1e12, Value: 1}},
		}
	}
	text, err := json.Marshal(&apiAnswer{Status: "success", Data: apiData{"matrix", matrix}})
	if err != nil {
		panic(err) // the value above can always be marshalled
	}
	return text
})

// match returns the series that match a selector, ordered by their labels. q.mu must be held.
func (q *QueryServer) match(matchers []*labels.Matcher) (found []*scrapedSeries) {
	for _, series := range q.series {
		mismatches := func(m *labels.Matcher) bool { return !m.Matches(series.labels.Get(m.Name)) }
		if !slices.ContainsFunc(matchers, mismatches) {
			found = append(found, series)
		}
	}
	sort.Slice(found, func(i, j int) bool { return labels.Compare(found[i].labels, found[j].labels) < 0 })
	return found
}

func (s *scrapedSeries) metric() model.Metric {
	metric := model.Metric{}
	s.labels.Range(func(l labels.Label) { metric[model.LabelName(l.Name)] = model.LabelValue(l.Value) })
	return metric
}

// between returns the samples later than from and not later than to, with timestamps moved back by shift seconds.
func (s *scrapedSeries) between(from, to, shift float64) (points []model.SamplePair) {
	for _, point := range s.points {
		if point.Timestamp > model.Time(from*1000) && point.Timestamp <= model.Time(to*1000) {
			point.Timestamp -= model.Time(shift * 1000)
			points = append(points, point)
		}
	}
	return points
}

// valueAt returns the value of the last sample at time t; false if there is none or it is older than the lookback.
func (s *scrapedSeries) valueAt(t float64) (model.SampleValue, bool) {
	at := model.Time(t * 1000)
	for i := len(s.points) - 1; i >= 0; i-- {
		if point := s.points[i]; point.Timestamp <= at {
			return point.Value, point.Timestamp > at-lookbackMillis
		}
	}
	return 0, false
}
