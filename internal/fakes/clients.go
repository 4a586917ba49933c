package fakes

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/invariants"
)

const (
	minRequestsPerSecond             = 0.1 // keeps the time to the next request finite at a rate of 0
	keyCount                         = 2000
	keySkewExponent                  = 3   // the higher, the more frequent are keys with low numbers
	abandonWithinShare               = 0.3 // clients abandon a request, if at all, within this share of its timeout
	unreachableBackoffSeconds        = 0.5 // time for which a router group that can't be connected to is avoided
	minTimeForRetrySeconds           = 0.1 // time that must be left until the timeout for a retry to be sent
	lateAnswerWaitSeconds            = 1   // time to wait after the deadline, so that late answers are recorded
	wrongAnswerReportMinDelaySeconds = 0.2 // delay before a wrong answer is reported; up to one second is added at random
	clientDialTimeout                = 200 * time.Millisecond
)

// RequestClass describes the requests of one class that clients send.
type RequestClass struct {
	Name                    string
	Method                  string
	Path                    string     // prefix of the path; the key is appended
	Share                   float64    // share of all requests
	WorkSeconds             [2]float64 // minimum and maximum
	LatencyObjectiveSeconds float64
	TimeoutSeconds          float64
	PriorityWeight          float64
	Idempotency             invariants.Idempotency
	DedupScope              string
	DedupWindowSeconds      float64
}

// ClientBehavior describes how clients behave. It may change while they run.
type ClientBehavior struct {
	RequestsPerSecond      float64 // to all router groups together
	MaxRetries             int     // per call
	IgnoreRetryAfter       bool    // retry immediately
	AbandonShare           float64 // share of requests that are abandoned early
	MinTimeoutShare        float64 // a request gets at least this share of the timeout, drawn at random; 0: all of it
	HotRouterGroup         string  // gets HotRouterGroupShare of the calls, and an equal part of the rest
	HotRouterGroupShare    float64
	WrongAnswerReportShare float64 // share of wrong answers that are reported
}

// Clients sends requests to router groups as an open-loop load: a request that is due is sent whether or not earlier
// requests have been answered.
type Clients struct {
	record       *invariants.Record
	clock        func() float64
	classes      []RequestClass
	addresses    map[string]string // by router group
	routerGroups []string
	avoidUntil   sync.Map // by router group: the time until which it is avoided
	ids          atomic.Uint64
	rand         *rand.Rand // used only by Run
	calls        sync.WaitGroup

	mu       sync.Mutex
	behavior ClientBehavior
	idle     map[string][]*clientConn // by router group
}

// NewClients returns clients of the given router groups, whose addresses are given by name. Nothing is sent before Run.
func NewClients(classes []RequestClass, addresses map[string]string, routerGroups []string, seed uint64, record *invariants.Record,
	clock func() float64) *Clients {
	return &Clients{
		record:       record,
		clock:        clock,
		classes:      classes,
		addresses:    addresses,
		routerGroups: routerGroups,
		rand:         rand.New(rand.NewPCG(seed, 1)),
		idle:         map[string][]*clientConn{},
	}
}

// ChangeBehavior changes the behaviour for calls that start from now on.
func (cs *Clients) ChangeBehavior(change func(*ClientBehavior)) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	change(&cs.behavior)
}

func (cs *Clients) currentBehavior() ClientBehavior {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.behavior
}

// Run starts calls until the given time, and waits for those in flight.
func (cs *Clients) Run(until float64) {
	at := cs.clock()
	for at < until {
		behavior := cs.currentBehavior()
		at += cs.rand.ExpFloat64() / max(behavior.RequestsPerSecond, minRequestsPerSecond)
		time.Sleep(seconds(at - cs.clock()))
		call := cs.drawCall(behavior)
		cs.calls.Go(func() { cs.runCall(call) })
	}
	cs.calls.Wait()
}

// clientCall is a client's call: a request and its retries.
type clientCall struct {
	class          *RequestClass
	behavior       ClientBehavior
	routerGroup    string
	key            string
	workSeconds    float64
	rand           *rand.Rand
	idempotencyKey string
	firstSentAt    float64
}

// drawCall draws the next call at random.
func (cs *Clients) drawCall(behavior ClientBehavior) *clientCall {
	index, u := 0, cs.rand.Float64()
	for ; index < len(cs.classes)-1 && u >= cs.classes[index].Share; index++ {
		u -= cs.classes[index].Share
	}
	routerGroup := cs.routerGroups[cs.rand.IntN(len(cs.routerGroups))]
	if behavior.HotRouterGroup != "" && cs.rand.Float64() < behavior.HotRouterGroupShare {
		routerGroup = behavior.HotRouterGroup
	}
	class := &cs.classes[index]
	work := class.WorkSeconds[0] + cs.rand.Float64()*(class.WorkSeconds[1]-class.WorkSeconds[0])
	key := fmt.Sprint("parcel-", int(keyCount*math.Pow(cs.rand.Float64(), keySkewExponent)))
	seed := cs.rand.Uint64()
	return &clientCall{
		class: class, behavior: behavior, routerGroup: routerGroup, key: key, workSeconds: work, rand: rand.New(rand.NewPCG(seed, 2)),
	}
}

// runCall sends the request of a call and its retries, until a request needs no retry or may not be retried.
func (cs *Clients) runCall(call *clientCall) {
	call.firstSentAt = cs.clock()
	call.idempotencyKey = strconv.FormatUint(call.rand.Uint64(), 16)
	for retries := 0; ; retries++ {
		if until, ok := cs.avoidUntil.Load(call.routerGroup); ok && cs.clock() < until.(float64) {
			call.routerGroup = cs.routerGroups[call.rand.IntN(len(cs.routerGroups))]
		}
		request := cs.newRequest(call, retries)
		outcome, retryAfter := cs.sendRequest(request)
		if outcome == outcomeNotConnected {
			cs.avoidUntil.Store(call.routerGroup, cs.clock()+unreachableBackoffSeconds)
		}
		if call.behavior.IgnoreRetryAfter {
			retryAfter = 0
		}
		inTime := cs.clock()+retryAfter+minTimeForRetrySeconds <= call.firstSentAt+call.class.TimeoutSeconds
		if !cs.mayRetry(call, outcome) || retries >= call.behavior.MaxRetries || !inTime {
			cs.record.Update(func(*invariants.Record) { request.record.IsFinal = true })
			return
		}
		time.Sleep(seconds(retryAfter))
	}
}

// mayRetry reports whether a call may be retried after an outcome: if the request had no effect, or if a repeat is
// certain to be harmless.
func (cs *Clients) mayRetry(call *clientCall, outcome string) bool {
	switch outcome {
	case outcomeRejected, outcomeNotConnected:
		return true
	case outcomeFailed, outcomeNoAnswer:
		if call.class.Idempotency == invariants.Idempotent {
			return true
		}
		recognisedEverywhere := call.class.Idempotency == invariants.IdempotentWithKey && call.class.DedupScope == "all"
		return recognisedEverywhere && cs.clock()-call.firstSentAt < call.class.DedupWindowSeconds/2
	}
	return false
}

// The outcomes of a request. Those that a router reports are named as on the wire.
const (
	outcomeSucceeded    = "acked"
	outcomeRejected     = "nacked"
	outcomeFailed       = "failed"
	outcomeNoAnswer     = "none"
	outcomeNotConnected = "unreached" // not a single byte could be sent
	outcomeAbandoned    = "left"
)

// clientRequest is one request of a call.
type clientRequest struct {
	*clientCall
	retries        int // number of requests of the call before this one
	timeoutSeconds float64
	abandonAt      float64 // infinity: never
	record         *invariants.Request
}

// newRequest draws the timeout of a call's next request at random and adds the request to the record.
func (cs *Clients) newRequest(call *clientCall, retries int) *clientRequest {
	class := call.class
	timeout := call.firstSentAt + class.TimeoutSeconds - cs.clock()
	if minShare := call.behavior.MinTimeoutShare; minShare > 0 {
		timeout = min(timeout, class.TimeoutSeconds*(minShare+(1-minShare)*call.rand.Float64()))
	}
	record := &invariants.Request{
		ID:                      cs.ids.Add(1),
		RouterGroup:             call.routerGroup,
		Class:                   class.Name,
		Idempotency:             class.Idempotency,
		DedupScope:              class.DedupScope,
		DedupWindowSeconds:      class.DedupWindowSeconds,
		Key:                     call.key,
		PriorityWeight:          class.PriorityWeight,
		LatencyObjectiveSeconds: class.LatencyObjectiveSeconds,
		FirstSentAt:             call.firstSentAt,
		SentAt:                  cs.clock(),
		Deadline:                cs.clock() + timeout,
	}
	cs.record.Update(func(r *invariants.Record) { r.Requests[record.ID] = record })
	abandonAt := math.Inf(1)
	if call.rand.Float64() < call.behavior.AbandonShare {
		abandonAt = record.SentAt + abandonWithinShare*timeout*call.rand.Float64()
	}
	return &clientRequest{call, retries, timeout, abandonAt, record}
}

func (c *clientCall) path() string { return c.class.Path + c.key }

// body returns the request body: the key for a POST, empty otherwise.
func (c *clientCall) body() string {
	if c.class.Method == http.MethodPost {
		return c.key
	}
	return ""
}

// encode returns the request in HTTP/1.1 format.
func (r *clientRequest) encode() []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: relay\r\nFlint-Time: %.4f\r\n", r.class.Method, r.path(), r.timeoutSeconds)
	fmt.Fprintf(&buf, "%s: %.4f\r\nFlint-Key: %s\r\nIdempotency-Key: %s\r\n", headerWork, r.workSeconds, r.key, r.idempotencyKey)
	fmt.Fprintf(&buf, "%s: %d\r\n%s: %s\r\n%s: %s\r\n", headerRequestID, r.record.ID, headerClass, r.class.Name, headerRouterGroup, r.record.RouterGroup)
	if r.retries > 0 {
		buf.WriteString("Flint-Repeat: 1\r\n")
	}
	body := r.body()
	if body != "" {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(body))
	}
	buf.WriteString("\r\n" + body)
	return buf.Bytes()
}

// sendRequest sends a request and waits for its answer until lateAnswerWaitSeconds after the deadline, so that a late
// answer is recorded.
func (cs *Clients) sendRequest(request *clientRequest) (outcome string, retryAfter float64) {
	c, err := cs.connect(request.record.RouterGroup)
	if err != nil {
		cs.record.Update(func(*invariants.Record) { request.record.NotConnected = true })
		return outcomeNotConnected, 0
	}
	c.expect(request.record)
	if n, err := c.Write(request.encode()); err != nil {
		c.Close()
		if n == 0 {
			cs.record.Update(func(*invariants.Record) { request.record.NotConnected = true })
			return outcomeNotConnected, 0
		}
	}
	timer := time.NewTimer(seconds(min(request.record.Deadline+lateAnswerWaitSeconds, request.abandonAt) - cs.clock()))
	defer timer.Stop()
	select {
	case answer := <-c.answers:
		if answer == nil {
			c.Close()
			return outcomeNoAnswer, 0
		}
		return cs.onAnswer(request, c, answer)
	case <-timer.C:
		c.Close()
		if cs.clock() < request.record.Deadline {
			cs.record.Update(func(*invariants.Record) { request.record.AbandonedAt = cs.clock() })
			return outcomeAbandoned, 0
		}
		return outcomeNoAnswer, 0
	}
}

// onAnswer checks an answer, and returns the connection to the idle connections if it stays open.
func (cs *Clients) onAnswer(request *clientRequest, c *clientConn, answer *clientAnswer) (outcome string, retryAfter float64) {
	outcome = answer.header.Get("Flint-Answer")
	if outcome == outcomeSucceeded {
		wrong := answer.status == http.StatusOK && string(answer.body) != RightAnswer(request.body()+request.path())
		cs.record.Update(func(*invariants.Record) { request.record.WrongAnswer = wrong })
		if wrong && request.rand.Float64() < request.behavior.WrongAnswerReportShare {
			wait := seconds(wrongAnswerReportMinDelaySeconds + request.rand.Float64())
			time.AfterFunc(wait, func() { cs.reportWrongAnswer(request.record.RouterGroup, answer.header.Get("Flint-Receipt")) })
		}
	}
	if pause := answer.header.Get("Flint-Pause"); pause != "" {
		var err error
		if retryAfter, err = strconv.ParseFloat(pause, 64); err != nil {
			slog.Warn("fake client: failed to parse the Flint-Pause header", "error", err)
		}
	}
	if answer.close {
		c.Close()
		return outcome, retryAfter
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.idle[request.record.RouterGroup] = append(cs.idle[request.record.RouterGroup], c)
	return outcome, retryAfter
}

// reportWrongAnswer reports a wrong answer to the router group that sent it. If the group can't be reached, the report
// is dropped.
func (cs *Clients) reportWrongAnswer(routerGroup, receipt string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+cs.addresses[routerGroup]+"/.flint/wrong", nil)
	if err != nil {
		slog.Warn("fake client: failed to create the report of a wrong answer", "error", err)
		return
	}
	r.Header.Set("Flint-Receipt", receipt)
	r.Close = true
	if response, err := http.DefaultClient.Do(r); err == nil {
		response.Body.Close()
	}
}

// clientConn is a connection to a router. Its goroutine reads all answers, expected or not, until the connection is
// closed.
type clientConn struct {
	net.Conn
	answers chan *clientAnswer // nil: the connection was closed without an answer
	closed  atomic.Bool

	mu           sync.Mutex
	awaited      *invariants.Request
	lastAnswered uint64 // ID of the last request that was answered
}

// clientAnswer is an answer that was read completely.
type clientAnswer struct {
	status int
	header http.Header
	body   []byte
	close  bool // the router closes the connection after this answer
}

// expect assigns the next answer on the connection to a request.
func (c *clientConn) expect(request *invariants.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited = request
}

// connect returns an idle connection to a router group, or a new one if there is none.
func (cs *Clients) connect(routerGroup string) (*clientConn, error) {
	for {
		c := cs.takeIdle(routerGroup)
		if c == nil {
			break
		}
		if !c.closed.Load() {
			return c, nil
		}
	}
	conn, err := net.DialTimeout("tcp", cs.addresses[routerGroup], clientDialTimeout)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, answers: make(chan *clientAnswer, 4)}
	go cs.readAnswers(c)
	return c, nil
}

// takeIdle removes and returns the idle connection that was used last, or nil if there is none.
func (cs *Clients) takeIdle(routerGroup string) *clientConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	idle := cs.idle[routerGroup]
	if len(idle) == 0 {
		return nil
	}
	cs.idle[routerGroup] = idle[:len(idle)-1]
	return idle[len(idle)-1]
}

// readAnswers records the answers on a connection, and passes those that are expected to sendRequest.
func (cs *Clients) readAnswers(c *clientConn) {
	br := bufio.NewReader(c)
	for {
		answer, err := readAnswer(br)
		now := cs.clock()
		if err != nil {
			cs.onClosed(c, now)
			return
		}
		c.mu.Lock()
		request, lastAnswered := c.awaited, c.lastAnswered
		if request != nil {
			c.lastAnswered, c.awaited = request.ID, nil
		}
		c.mu.Unlock()
		cs.record.Update(func(r *invariants.Record) {
			if request == nil {
				r.UnexpectedAnswers = append(r.UnexpectedAnswers, fmt.Sprintf("unexpected answer after the answer to request %d", lastAnswered))
				return
			}
			request.Answers = append(request.Answers, invariants.Answer{
				At: now, Kind: answer.header.Get("Flint-Answer"), Endpoint: answer.endpoint(),
			})
		})
		if request != nil {
			c.answers <- answer
		}
	}
}

// onClosed marks a connection as closed, and records this for the request that was waiting for an answer on it.
func (cs *Clients) onClosed(c *clientConn, now float64) {
	c.mu.Lock()
	request := c.awaited
	c.closed.Store(true)
	c.awaited = nil
	c.mu.Unlock()
	if request != nil {
		cs.record.Update(func(*invariants.Record) { request.ClosedAt = now })
		c.answers <- nil
	}
	c.Close()
}

func readAnswer(br *bufio.Reader) (*clientAnswer, error) {
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return &clientAnswer{response.StatusCode, response.Header, body, response.Close}, nil
}

// endpoint returns the ID of the endpoint that answered, from the endpoint's own header, or 0 if the router itself
// answered.
func (a *clientAnswer) endpoint() uint32 {
	id, err := strconv.ParseUint(a.header.Get(headerEndpoint), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(id)
}

// Close closes the idle connections. It is called after Run.
func (cs *Clients) Close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, idle := range cs.idle {
		for _, c := range idle {
			c.Close()
		}
	}
	cs.idle = map[string][]*clientConn{}
}
