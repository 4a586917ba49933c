package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/invariants"
)

// Headers between fake clients and endpoints. They match attempts with requests without relying on anything that a
// router reports.
const (
	headerRequestID   = "X-Command"
	headerClass       = "X-Op"
	headerRouterGroup = "X-Relay"
	headerWork        = "Flint-Work"
	headerEndpoint    = "X-Unit"
)

const (
	// slowTailFactor multiplies the work of the requests selected by EndpointFault.SlowTailShare.
	slowTailFactor = 10
	// typicalLatencyGain is the weight of a new latency in the exponential moving average that is exported as a metric.
	typicalLatencyGain = 0.05
	// recheckInterval is how often an unresponsive endpoint checks whether it is still unresponsive.
	recheckInterval = 20 * time.Millisecond
	wrongAnswer     = "chute 99"
)

// BuildBehavior describes how the endpoints of one build behave. With the zero value they answer every request
// correctly and with the normal amount of work.
type BuildBehavior struct {
	WorkFactor       float64 `edn:"work"`       // multiplies the work of each request; 0: 1
	ErrorShare       float64 `edn:"errors"`     // share of requests that fail
	ErrorClass       string  `edn:"error-op"`   // if set, only requests of this class fail
	WrongAnswerShare float64 `edn:"wrong"`      // share of answers that are wrong
	LateAfterSeconds float64 `edn:"after"`      // age of the process from which the two Late fields below apply; 0: never
	LateWorkFactor   float64 `edn:"late-work"`  // multiplies the work of each request, in addition to WorkFactor
	LateErrorShare   float64 `edn:"late-error"` // share of requests that fail, if it is higher than ErrorShare
}

// EndpointFault describes the faults of an endpoint, of which several can be set at once. The zero value is no fault.
type EndpointFault struct {
	SlowFactor          float64 // multiplies the work of each request; 0: 1
	ErrorShare          float64 // share of requests that fail immediately
	Unresponsive        bool    // requests get no answer
	ResetShare          float64 // share of requests at which the connection is closed without an answer
	MaxConns            int     // connections beyond this number are reset; 0: no limit
	AcceptDelaySeconds  float64 // delay before a new connection is accepted
	SlowTailShare       float64 // share of requests whose work is multiplied by slowTailFactor
	OnlyFromRouterGroup string  // if set, the fault applies only to requests from this router group
	FailProbes          bool    // health probes fail; requests do not
	WrongAnswerShare    float64 // share of answers that are wrong and sent without delay
}

// EndpointSpec holds the settings that all endpoints of a fleet have in common.
type EndpointSpec struct {
	Cores                    int // number of requests that are processed in parallel
	QueueLength              int // number of requests that may wait for a core; more are rejected
	SlowStartInitialShare    float64
	SlowStartSeconds         float64
	SlowStartOverloadFactor  float64
	SlowStartOverloadSeconds float64
}

// Endpoint is one process of an endpoint, from its start to its end. A restarted endpoint is a new Endpoint.
type Endpoint struct {
	ID        uint32
	Addr      string
	Build     int
	StartedAt float64

	spec     EndpointSpec
	behavior BuildBehavior
	record   *invariants.Record
	clock    func() float64
	server   *http.Server
	cores    chan struct{} // semaphore
	inFlight atomic.Int64
	conns    atomic.Int64
	fault    atomic.Pointer[EndpointFault]
	stopped  context.Context
	cancel   context.CancelFunc

	mu         sync.Mutex
	recentWork []workItem // work of the last SlowStartOverloadSeconds, during slow start
	failed     bool       // permanently, from overload in slow start
	counts     outcomeCounts
	lastSeenAt map[string]float64 // by idempotency key
}

// workItem is the arrival time of a request and its work in core seconds.
type workItem struct{ at, work float64 }

// outcomeCounts holds the values that an endpoint exports as metrics.
type outcomeCounts struct{ total, failed, wrong, typicalLatency float64 }

func (e *Endpoint) countOutcome(failed, wrong bool, latency float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.total++
	if failed {
		e.counts.failed++
	}
	if wrong {
		e.counts.wrong++
	}
	e.counts.typicalLatency += typicalLatencyGain * (latency - e.counts.typicalLatency)
}

// StartEndpoint starts an endpoint on a free loopback port.
func StartEndpoint(id uint32, build int, behavior BuildBehavior, spec EndpointSpec, record *invariants.Record, clock func() float64) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		ID: id, Addr: l.Addr().String(), Build: build, StartedAt: clock(),
		spec: spec, behavior: behavior, record: record, clock: clock,
		cores: make(chan struct{}, spec.Cores), lastSeenAt: map[string]float64{},
	}
	e.fault.Store(&EndpointFault{})
	e.stopped, e.cancel = context.WithCancel(context.Background())
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			e.conns.Add(-1)
		}
	}}
	record.Update(func(r *invariants.Record) {
		r.Endpoints[id] = &invariants.Endpoint{ID: id, Build: build, StartedAt: e.StartedAt, Capacity: float64(spec.Cores)}
	})
	go serveUntilClosed(e.server, faultyListener{l, e})
	return e, nil
}

// InjectFault replaces the endpoint's faults.
func (e *Endpoint) InjectFault(fault EndpointFault) { e.fault.Store(&fault) }

// Stop ends the process immediately. Requests in flight get no answer.
func (e *Endpoint) Stop() {
	e.cancel()
	e.server.Close()
}

// faultyListener applies the endpoint's faults to new connections.
type faultyListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept delays new connections and resets those beyond the fault's limit.
func (l faultyListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		fault := l.endpoint.fault.Load()
		if fault.MaxConns > 0 && l.endpoint.conns.Load() >= int64(fault.MaxConns) {
			resetOnClose(c)
			c.Close()
			continue
		}
		if fault.AcceptDelaySeconds > 0 {
			time.Sleep(seconds(fault.AcceptDelaySeconds))
		}
		l.endpoint.conns.Add(1)
		return c, nil
	}
}

// capacityShare returns the share of its capacity that the endpoint has at the given time. In slow start the share
// grows linearly from SlowStartInitialShare to 1.
func (e *Endpoint) capacityShare(now float64) float64 {
	if e.spec.SlowStartSeconds <= 0 || now-e.StartedAt >= e.spec.SlowStartSeconds {
		return 1
	}
	return e.spec.SlowStartInitialShare + (1-e.spec.SlowStartInitialShare)*(now-e.StartedAt)/e.spec.SlowStartSeconds
}

// addWork adds the work of a request and reports whether the endpoint has failed. In slow start an endpoint fails when,
// within SlowStartOverloadSeconds, it gets more work than SlowStartOverloadFactor times its present capacity. A single
// request never makes it fail.
func (e *Endpoint) addWork(now, work float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failed || now-e.StartedAt > e.spec.SlowStartSeconds {
		return e.failed
	}
	e.recentWork = append(e.recentWork, workItem{now, work})
	sum, kept := 0.0, 0
	for _, item := range e.recentWork {
		if item.at >= now-e.spec.SlowStartOverloadSeconds {
			e.recentWork[kept] = item
			kept++
			sum += item.work
		}
	}
	e.recentWork = e.recentWork[:kept]
	limit := e.spec.SlowStartOverloadFactor * float64(e.spec.Cores) * e.capacityShare(now) * e.spec.SlowStartOverloadSeconds
	if kept > 1 && sum > limit {
		e.failed = true
		e.record.Update(func(r *invariants.Record) { r.Endpoints[e.ID].FailedAt = now })
	}
	return e.failed
}

// isRepeat reports whether an idempotency key was seen before, and remembers the key.
func (e *Endpoint) isRepeat(key string, now float64) bool {
	if key == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, seen := e.lastSeenAt[key]
	e.lastSeenAt[key] = now
	return seen
}

// RightAnswer returns the right answer to a request, given its body followed by its path.
func RightAnswer(bodyAndPath string) string {
	h := fnv.New32a()
	h.Write([]byte(bodyAndPath))
	return fmt.Sprintf("chute %d", h.Sum32()%97)
}

// serve answers a health probe or a request.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	now := e.clock()
	if r.URL.Path == "/health" {
		if e.fault.Load().FailProbes {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := e.recordAttempt(r, now)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := e.fault.Load()
	if fault.OnlyFromRouterGroup != "" && r.Header.Get(headerRouterGroup) != fault.OnlyFromRouterGroup {
		fault = &EndpointFault{}
	}
	if e.addWork(now, attempt.WorkSeconds) || fault.Unresponsive {
		e.waitUntilResponsive(r.Context())
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < fault.ResetShare {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerEndpoint, strconv.Itoa(int(e.ID)))
	if e.inFlight.Add(1) > int64(e.spec.Cores+e.spec.QueueLength) {
		e.inFlight.Add(-1)
		e.reject(w, attempt)
		return
	}
	defer e.inFlight.Add(-1)
	e.process(w, r, fault, attempt.WorkSeconds, now, string(body)+r.URL.Path)
}

// recordAttempt adds a received request to the record as an attempt. Headers that are missing or malformed count as 0.
func (e *Endpoint) recordAttempt(r *http.Request, now float64) *invariants.Attempt {
	id, _ := strconv.ParseUint(r.Header.Get(headerRequestID), 10, 64)
	work, _ := strconv.ParseFloat(r.Header.Get(headerWork), 64)
	attempt := &invariants.Attempt{RequestID: id, Endpoint: e.ID, At: now, WorkSeconds: work}
	e.record.Update(func(r *invariants.Record) { r.Attempts = append(r.Attempts, attempt) })
	return attempt
}

// reject answers that the request was not run.
func (e *Endpoint) reject(w http.ResponseWriter, attempt *invariants.Attempt) {
	e.record.Update(func(*invariants.Record) { attempt.RejectedAt = e.clock() })
	w.Header().Set("Flint-Never-Ran", "queue full")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// process waits for a core, does the work of a request and answers it.
func (e *Endpoint) process(w http.ResponseWriter, r *http.Request, fault *EndpointFault, work, now float64, bodyAndPath string) {
	slowFactor, errorShare := e.slowdown(r.Header.Get(headerClass), fault, now)
	repeat := e.isRepeat(r.Header.Get("Idempotency-Key"), now)
	if fault.ErrorShare > 0 && rand.Float64() < fault.ErrorShare {
		e.countOutcome(true, false, 0)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case e.cores <- struct{}{}:
	case <-e.stopped.Done():
		panic(http.ErrAbortHandler)
	}
	wrong := rand.Float64() < max(e.behavior.WrongAnswerShare, fault.WrongAnswerShare)
	withoutWork := repeat || fault.WrongAnswerShare != 0 && wrong
	if !withoutWork {
		time.Sleep(seconds(work * slowFactor / e.capacityShare(e.clock())))
	}
	<-e.cores
	if e.stopped.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	failed := rand.Float64() < errorShare
	e.countOutcome(failed, wrong && !failed, e.clock()-now)
	switch {
	case failed:
		w.WriteHeader(http.StatusInternalServerError)
	case wrong:
		writeResponse(w, []byte(wrongAnswer))
	default:
		writeResponse(w, []byte(RightAnswer(bodyAndPath)))
	}
}

// slowdown returns the factor by which a request's processing time is multiplied, and the probability that the request
// fails after that time.
func (e *Endpoint) slowdown(class string, fault *EndpointFault, now float64) (slowFactor, errorShare float64) {
	slowFactor, errorShare = max(1, fault.SlowFactor)*max(1, e.behavior.WorkFactor), e.behavior.ErrorShare
	age := now - e.StartedAt
	if e.behavior.LateAfterSeconds > 0 && age > e.behavior.LateAfterSeconds {
		slowFactor *= max(1, e.behavior.LateWorkFactor)
		errorShare = max(errorShare, e.behavior.LateErrorShare)
	}
	if errorClass := e.behavior.ErrorClass; errorClass != "" && errorClass != class {
		errorShare = 0
	}
	if rand.Float64() < fault.SlowTailShare {
		slowFactor *= slowTailFactor
	}
	return slowFactor, errorShare
}

func (e *Endpoint) hasFailed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failed
}

// waitUntilResponsive returns when the endpoint is responsive again, the client has disconnected or the endpoint is
// stopped.
func (e *Endpoint) waitUntilResponsive(client context.Context) {
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for e.hasFailed() || e.fault.Load().Unresponsive {
		select {
		case <-client.Done():
			return
		case <-e.stopped.Done():
			return
		case <-recheck.C:
		}
	}
}

// Metrics returns the samples that a scrape of the endpoint yields: none if it is unresponsive or stopped.
func (e *Endpoint) Metrics() []Sample {
	fault := e.fault.Load()
	if fault.Unresponsive || e.stopped.Err() != nil {
		return nil
	}
	probeSuccess := 1.0
	if fault.FailProbes {
		probeSuccess = 0
	}
	e.mu.Lock()
	counts := e.counts
	e.mu.Unlock()
	labels := map[string]string{"unit": strconv.Itoa(int(e.ID)), "build": strconv.Itoa(e.Build), "instance": e.Addr}
	return []Sample{
		{metricAnswers, labels, counts.total},
		{metricErrors, labels, counts.failed},
		{metricWrongAnswers, labels, counts.wrong},
		{"unit_probe_success", labels, probeSuccess},
		{"unit_busy", labels, float64(e.inFlight.Load()) / float64(e.spec.Cores+e.spec.QueueLength)},
		{"unit_answer_seconds", labels, counts.typicalLatency},
	}
}
