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

// QueryServerFault is what is wrong with a QueryServer. Some faults concern what it scrapes, some what it answers.
type QueryServerFault string

// The faults of a QueryServer, by the words of scenario files.
const (
	NoFault               QueryServerFault = ""
	FaultNoScrapes        QueryServerFault = "blind"     // it scrapes nothing any more
	FaultInflatesFailures QueryServerFault = "lies"      // it says that most answers of the newest build are wrong and fail
	FaultHidesFailures    QueryServerFault = "flatters"  // it says that nothing ever fails
	FaultSlow             QueryServerFault = "late"      // it answers after a second
	FaultNoResponse       QueryServerFault = "hangs"     // it does not answer
	FaultTruncated        QueryServerFault = "truncated" // its answers end in the middle
	FaultTooManyRequests  QueryServerFault = "429"       // too many requests, come back in a second
	FaultUnavailable      QueryServerFault = "503"       // service unavailable
	FaultRedirect         QueryServerFault = "redirect"  // it redirects to where nothing listens
	FaultPartialResult    QueryServerFault = "warnings"  // its answers are partial, with a warning
	FaultOldTimestamps    QueryServerFault = "yesterday" // its samples are dated a day back
	FaultTooManySeries    QueryServerFault = "exploded"  // it answers with explodedSeries series
	FaultNotJSON          QueryServerFault = "garbage"   // it answers with another program's page
	FaultConnectionReset  QueryServerFault = "dead"      // its connections break
)

const (
	retentionSeconds         = 60.0    // of samples
	lookbackMillis           = 5000    // age up to which a sample counts for an instant: the servers' own five minutes, in small
	tooManySeriesCount       = 100_000 // in an answer of Exploded
	inflatedFailureShare     = 0.6     // of answers, by Lies
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

// QueryServer speaks the query part of Prometheus' HTTP API. It evaluates selectors only, over what it was given by Enter.
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

// Sample is one sample that a target shows.
type Sample struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// StartQueryServer starts a server on a loopback port of its own.
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
		tooManySeriesAnswer() // takes a while, the first time
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fault = f
}

// ClearFault ends a fault, unless another has taken its place.
func (q *QueryServer) ClearFault(f QueryServerFault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fault == f {
		q.fault = NoFault
	}
}

// Queries counts the queries that were received.
func (q *QueryServer) Queries() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queries
}

// AddSamples adds what was scraped at an instant. Series that are not among it get no further samples.
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

// newestBuild is the highest build number among the labels of samples. Build numbers have no leading zeros.
func newestBuild(samples []Sample) (newest string) {
	for _, sample := range samples {
		build := sample.Labels["build"]
		if len(build) > len(newest) || len(build) == len(newest) && build > newest {
			newest = build
		}
	}
	return newest
}

// seriesOf gives the series of a sample, a new one if there is none. Under the lock.
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

// apiAnswer and apiData are the JSON of the HTTP API.
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

// apiError is an error of a query, with its HTTP status.
type apiError struct {
	status    int
	errorType string
	text      string
}

// Error gives the text that the API shows.
func (e *apiError) Error() string { return e.text }

func newBadDataError(format string, args ...any) *apiError {
	return &apiError{http.StatusBadRequest, "bad_data", fmt.Sprintf(format, args...)}
}

var errNotSelector = &apiError{http.StatusUnprocessableEntity, "execution", "this stand-in evaluates selectors only"}

// queryFunc evaluates an expression by the parameters of a request. Timestamps are moved back by shift seconds. It is called under the
// lock.
type queryFunc func(r *http.Request, expression parser.Expr, shift float64) (apiData, *apiError)

// serve answers a query, or as the fault has it.
func (q *QueryServer) serve(w http.ResponseWriter, r *http.Request, evaluate queryFunc) {
	// The server notices that its client left only once it has read the request.
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

// applyFault does what a fault does instead of an answer, or before it. It reports whether there is nothing more to answer.
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

// answer evaluates a query and gives the answer with its HTTP status.
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

// floatParameter gives a number of a request, or another value if it has none.
func floatParameter(r *http.Request, name string, otherwise float64) float64 {
	if x, err := strconv.ParseFloat(r.FormValue(name), 64); err == nil {
		return x
	}
	return otherwise
}

// instantQuery gives the samples of a range selector, or the values of a selector as of an instant.
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

// rangeQuery gives the values of a selector step by step.
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

// tooManySeriesAnswer is what a label with a request's id in it does.
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
		panic(err) // of a value made here
	}
	return text
})

// match gives the series that match a selector, in the order of their labels. Under the lock.
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

// between gives the samples after one instant up to another.
func (s *scrapedSeries) between(from, to, shift float64) (points []model.SamplePair) {
	for _, point := range s.points {
		if point.Timestamp > model.Time(from*1000) && point.Timestamp <= model.Time(to*1000) {
			point.Timestamp -= model.Time(shift * 1000)
			points = append(points, point)
		}
	}
	return points
}

// valueAt gives the last sample at an instant, unless it is older than the lookback.
func (s *scrapedSeries) valueAt(t float64) (model.SampleValue, bool) {
	at := model.Time(t * 1000)
	for i := len(s.points) - 1; i >= 0; i-- {
		if point := s.points[i]; point.Timestamp <= at {
			return point.Value, point.Timestamp > at-lookbackMillis
		}
	}
	return 0, false
}
