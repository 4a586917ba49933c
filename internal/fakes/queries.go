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

// Fault is what ails a query server.
type Fault string

// The faults of a query server. Some hold for what it scrapes, some for what it answers.
const (
	NoFault    Fault = ""
	Blind      Fault = "blind"     // scrapes nothing any more
	Lies       Fault = "lies"      // says that most of what the newest build answers is wrong and fails
	Flatters   Fault = "flatters"  // says that nothing ever fails
	Late       Fault = "late"      // answers after a second
	Hangs      Fault = "hangs"     // does not answer
	Truncated  Fault = "truncated" // ends in the middle of an answer
	TooManyNow Fault = "429"       // too many requests, come back in a second
	Overloaded Fault = "503"       //
	Elsewhere  Fault = "redirect"  //
	Warns      Fault = "warnings"  // answers in part
	Yesterday  Fault = "yesterday" // answers as of a day ago
	Exploded   Fault = "exploded"  // 100,000 series
	Garbage    Fault = "garbage"   // another program's page
	Dead       Fault = "dead"      // its connections break
	keepFor          = 60.0        // s of samples
	explodedTo       = 100_000     // series
	lieShare         = 0.6         // of outcomes
)

// QueryServer is a query server: it scrapes what it is shown and answers selectors over the HTTP API.
type QueryServer struct {
	URL    string
	clock  func() float64
	srv    *http.Server
	parse  parser.Parser
	mu     sync.Mutex
	fault  Fault
	series map[string]*scraped
	asked  int
}

type scraped struct {
	labels labels.Labels
	points []model.SamplePair
}

// Scrape is one value that a target shows.
type Scrape struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// StartQueryServer listens on a loopback port of its own.
func StartQueryServer(clock func() float64) (*QueryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	q := &QueryServer{URL: "http://" + l.Addr().String(), clock: clock, parse: parser.NewParser(parser.Options{}), series: map[string]*scraped{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/v1/query", q.serve(false))
	mux.HandleFunc("/api/v1/query_range", q.serve(true))
	q.srv = &http.Server{Handler: mux}
	go serveUntilClosed(q.srv, l)
	return q, nil
}

// Stop ends it.
func (q *QueryServer) Stop() { q.srv.Close() }

// Ail sets its fault.
func (q *QueryServer) Ail(f Fault) {
	if f == Exploded {
		explosion() // takes a while, the first time
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fault = f
}

// Heal ends a fault, unless another has taken its place.
func (q *QueryServer) Heal(f Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fault == f {
		q.fault = NoFault
	}
}

// Asked tells how many queries it was sent.
func (q *QueryServer) Asked() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.asked
}

// Enter adds what was scraped at a time. Series that are not among it end.
func (q *QueryServer) Enter(at float64, list []Scrape) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fault == Blind {
		return
	}
	newest := ""
	for _, s := range list {
		if b := s.Labels["build"]; len(b) > len(newest) || len(b) == len(newest) && b > newest {
			newest = b
		}
	}
	all := map[string]float64{}
	for _, s := range list {
		if s.Name == "unit_answers_total" {
			all[s.Labels["unit"]] = s.Value
		}
	}
	for _, s := range list {
		if counter := s.Name == "unit_wrong_total" || s.Name == "unit_errors_total"; counter && q.fault == Flatters {
			s.Value = 0
		} else if counter && q.fault == Lies && s.Labels["build"] == newest {
			s.Value = math.Floor(lieShare * all[s.Labels["unit"]])
		}
		l := labels.FromMap(s.Labels)
		key := s.Name + l.String()
		of := q.series[key]
		if of == nil {
			b := labels.NewBuilder(l)
			b.Set(model.MetricNameLabel, s.Name)
			of = &scraped{labels: b.Labels()}
			q.series[key] = of
		}
		of.points = append(of.points, model.SamplePair{Timestamp: model.Time(at * 1000), Value: model.SampleValue(s.Value)})
		for len(of.points) > 0 && of.points[0].Timestamp < model.Time((at-keepFor)*1000) {
			of.points = of.points[1:]
		}
	}
	for key, of := range q.series {
		if of.points[len(of.points)-1].Timestamp < model.Time((at-keepFor)*1000) {
			delete(q.series, key)
		}
	}
}

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

func (q *QueryServer) serve(ranged bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		// The server notices that its client left only once it has read the request.
		if err := req.ParseForm(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q.mu.Lock()
		fault := q.fault
		q.asked++
		q.mu.Unlock()
		switch fault {
		case Late:
			select {
			case <-req.Context().Done():
				return
			case <-time.After(time.Second):
			}
		case Hangs:
			<-req.Context().Done()
			return
		case Dead:
			panic(http.ErrAbortHandler)
		case TooManyNow:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many requests", http.StatusTooManyRequests)
			return
		case Overloaded:
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
			return
		case Elsewhere:
			http.Redirect(w, req, "http://127.0.0.1:1/api/v1/query", http.StatusFound)
			return
		case Garbage:
			fmt.Fprint(w, "<html><body>It works!</body></html>")
			return
		}
		if fault == Exploded {
			writeResponse(w, explosion())
			return
		}
		a, code := q.answer(req, ranged, fault)
		text, err := json.Marshal(a)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if fault == Truncated {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			text = text[:len(text)*2/3]
		}
		w.WriteHeader(code)
		writeResponse(w, text)
	}
}

func (q *QueryServer) answer(req *http.Request, ranged bool, fault Fault) (*apiAnswer, int) {
	bad := func(format string, args ...any) (*apiAnswer, int) {
		return &apiAnswer{Status: "error", ErrorType: "bad_data", Error: fmt.Sprintf(format, args...)}, http.StatusBadRequest
	}
	expr, err := q.parse.ParseExpr(req.FormValue("query"))
	if err != nil {
		return bad("invalid parameter \"query\": %v", err)
	}
	number := func(name string, otherwise float64) float64 {
		if x, err := strconv.ParseFloat(req.FormValue(name), 64); err == nil {
			return x
		}
		return otherwise
	}
	at := number("time", q.clock())
	shift := 0.0
	if fault == Yesterday {
		shift = 86400
	}
	a := &apiAnswer{Status: "success"}
	if fault == Warns {
		a.Warnings = []string{"remote_read: one of the stores did not answer"}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	switch e := expr.(type) {
	case *parser.MatrixSelector:
		if ranged {
			return bad("invalid expression type \"range vector\" for range query, must be Scalar or instant Vector")
		}
		m := model.Matrix{}
		for _, s := range q.match(e.VectorSelector.(*parser.VectorSelector).LabelMatchers) {
			if points := s.between(at-e.Range.Seconds(), at, shift); len(points) > 0 {
				m = append(m, &model.SampleStream{Metric: metricOf(s.labels), Values: points})
			}
		}
		a.Data = apiData{"matrix", m}
	case *parser.VectorSelector:
		if ranged {
			m := model.Matrix{}
			start, end, step := number("start", at), number("end", at), max(0.001, number("step", 1))
			for _, s := range q.match(e.LabelMatchers) {
				var points []model.SamplePair
				for t := start; t <= end+1e-9 && len(points) < 11000; t += step {
					if v, ok := s.asOf(t); ok {
						points = append(points, model.SamplePair{Timestamp: model.Time((t - shift) * 1000), Value: v})
					}
				}
				if len(points) > 0 {
					m = append(m, &model.SampleStream{Metric: metricOf(s.labels), Values: points})
				}
			}
			a.Data = apiData{"matrix", m}
			break
		}
		v := model.Vector{}
		for _, s := range q.match(e.LabelMatchers) {
			if x, ok := s.asOf(at); ok {
				v = append(v, &model.Sample{Metric: metricOf(s.labels), Value: x, Timestamp: model.Time((at - shift) * 1000)})
			}
		}
		a.Data = apiData{"vector", v}
	default:
		return &apiAnswer{Status: "error", ErrorType: "execution", Error: "this stand-in evaluates selectors only"}, http.StatusUnprocessableEntity
	}
	return a, http.StatusOK
}

// explosion is what a label with a request's id in it does.
var explosion = sync.OnceValue(func() []byte {
	m := make(model.Matrix, explodedTo)
	for i := range m {
		m[i] = &model.SampleStream{Metric: model.Metric{"__name__": "unit_answers_total", "unit": "1", "build": "1", "request": model.LabelValue(strconv.Itoa(i))},
			Values: []model.SamplePair{{Timestamp: 1e12, Value: 1}}}
	}
	text, err := json.Marshal(&apiAnswer{Status: "success", Data: apiData{"matrix", m}})
	if err != nil {
		panic(err)
	}
	return text
})

func metricOf(l labels.Labels) model.Metric {
	m := model.Metric{}
	l.Range(func(l labels.Label) { m[model.LabelName(l.Name)] = model.LabelValue(l.Value) })
	return m
}

func (q *QueryServer) match(by []*labels.Matcher) (found []*scraped) {
	for _, s := range q.series {
		if !slices.ContainsFunc(by, func(m *labels.Matcher) bool { return !m.Matches(s.labels.Get(m.Name)) }) {
			found = append(found, s)
		}
	}
	sort.Slice(found, func(i, j int) bool { return labels.Compare(found[i].labels, found[j].labels) < 0 })
	return found
}

func (s *scraped) between(from, to, shift float64) (points []model.SamplePair) {
	for _, p := range s.points {
		if p.Timestamp > model.Time(from*1000) && p.Timestamp <= model.Time(to*1000) {
			p.Timestamp -= model.Time(shift * 1000)
			points = append(points, p)
		}
	}
	return points
}

const lookBack = 5000 // ms, as the servers' own five minutes, in small

func (s *scraped) asOf(t float64) (model.SampleValue, bool) {
	at := model.Time(t * 1000)
	for i := len(s.points) - 1; i >= 0; i-- {
		if p := s.points[i]; p.Timestamp <= at {
			return p.Value, p.Timestamp > at-lookBack
		}
	}
	return 0, false
}

// Shows gives what a unit shows to a scrape.
func (u *Endpoint) Shows() []Scrape {
	l := map[string]string{"unit": strconv.Itoa(int(u.ID)), "build": strconv.Itoa(u.Build), "instance": u.Addr}
	t := u.ails.Load()
	if t.Silent || u.stop.Err() != nil {
		return nil
	}
	up := 1.0
	if t.Probes {
		up = 0
	}
	u.mu.Lock()
	did := u.did
	u.mu.Unlock()
	var list []Scrape
	for name, v := range map[string]float64{"unit_answers_total": did.all, "unit_errors_total": did.failed, "unit_wrong_total": did.wrong,
		"unit_probe_success": up, "unit_busy": float64(u.inHand.Load()) / float64(u.shape.Cores+u.shape.Queue),
		"unit_answer_seconds": did.usual} {
		list = append(list, Scrape{name, l, v})
	}
	return list
}
