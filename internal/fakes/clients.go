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
	minRequestsPerSecond             = 0.1 // so that the next request is not infinitely far off
	keyCount                         = 2000
	keySkewExponent                  = 3   // exponent by which low keys are more frequent
	abandonWithinShare               = 0.3 // share of the timeout within which a client that abandons a request does so
	unreachableBackoffSeconds        = 0.5 // for which a relay that can't be connected to is avoided
	minTimeForRetrySeconds           = 0.1 // that a retry must have left
	lateAnswerWaitSeconds            = 1   // for which an answer after the deadline is waited for, to be recorded
	wrongAnswerReportMinDelaySeconds = 0.2 // least seconds until a wrong answer is reported; up to one more
	clientDialTimeout                = 200 * time.Millisecond
)

// RequestClass is a class of requests as clients send it.
type RequestClass struct {
	Name                    string
	Method                  string
	Path                    string     // a key is put behind it
	Share                   float64    // of all requests
	WorkSeconds             [2]float64 // least and most
	LatencyObjectiveSeconds float64
	TimeoutSeconds          float64
	PriorityWeight          float64
	Idempotency             invariants.Idempotency
	DedupScope              string
	DedupWindowSeconds      float64
}

// ClientBehavior is how clients behave. It may change while they run.
type ClientBehavior struct {
	RequestsPerSecond      float64 // to all relays together
	MaxRetries             int     // of one request
	IgnoreRetryAfter       bool    // retry at once
	AbandonShare           float64 // share of requests that are abandoned early
	MinTimeoutShare        float64 // least part of its timeout that a try is given; 0: all
	HotRouterGroup         string  // a relay that gets HotRelayShare of the requests, and its part of the rest
	HotRouterGroupShare    float64
	WrongAnswerReportShare float64 // share of wrong answers that are reported
}

// Clients send requests to relays in an open loop: a request that is due is sent whether or not earlier ones were answered.
type Clients struct {
	record       *invariants.Record
	clock        func() float64
	classes      []RequestClass
	addresses    map[string]string // by relay
	routerGroups []string
	avoidUntil   sync.Map // instant by relay until which it is avoided
	ids          atomic.Uint64
	rand         *rand.Rand // of Run alone
	requests     sync.WaitGroup

	mu       sync.Mutex
	behavior ClientBehavior
	idle     map[string][]*clientConn // by relay
}

// NewClients makes clients of relays, whose addresses are given by name. Nothing is sent before Run.
func NewClients(classes []RequestClass, addresses map[string]string, relays []string, seed uint64, record *invariants.Record,
	clock func() float64) *Clients {
	return &Clients{
		record:       record,
		clock:        clock,
		classes:      classes,
		addresses:    addresses,
		routerGroups: relays,
		rand:         rand.New(rand.NewPCG(seed, 1)),
		idle:         map[string][]*clientConn{},
	}
}

// ChangeBehavior changes the behaviour for requests that are sent from now on.
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

// Run sends requests until an instant, and waits for those in flight.
func (cs *Clients) Run(until float64) {
	at := cs.clock()
	for at < until {
		behavior := cs.currentBehavior()
		at += cs.rand.ExpFloat64() / max(behavior.RequestsPerSecond, minRequestsPerSecond)
		time.Sleep(seconds(at - cs.clock()))
		request := cs.drawCall(behavior)
		cs.requests.Go(func() { cs.runCall(request) })
	}
	cs.requests.Wait()
}

// clientCall is a request with all its tries.
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

// drawCall draws the next request.
func (cs *Clients) drawCall(behavior ClientBehavior) *clientCall {
	index, u := 0, cs.rand.Float64()
	for ; index < len(cs.classes)-1 && u >= cs.classes[index].Share; index++ {
		u -= cs.classes[index].Share
	}
	relay := cs.routerGroups[cs.rand.IntN(len(cs.routerGroups))]
	if behavior.HotRouterGroup != "" && cs.rand.Float64() < behavior.HotRouterGroupShare {
		relay = behavior.HotRouterGroup
	}
	class := &cs.classes[index]
	work := class.WorkSeconds[0] + cs.rand.Float64()*(class.WorkSeconds[1]-class.WorkSeconds[0])
	key := fmt.Sprint("parcel-", int(keyCount*math.Pow(cs.rand.Float64(), keySkewExponent)))
	seed := cs.rand.Uint64()
	return &clientCall{
		class: class, behavior: behavior, routerGroup: relay, key: key, workSeconds: work, rand: rand.New(rand.NewPCG(seed, 2)),
	}
}

// runCall sends a request until it has its last answer.
func (cs *Clients) runCall(r *clientCall) {
	r.firstSentAt = cs.clock()
	r.idempotencyKey = strconv.FormatUint(r.rand.Uint64(), 16)
	for retries := 0; ; retries++ {
		if until, ok := cs.avoidUntil.Load(r.routerGroup); ok && cs.clock() < until.(float64) {
			r.routerGroup = cs.routerGroups[r.rand.IntN(len(cs.routerGroups))]
		}
		try := cs.newRequest(r, retries)
		outcome, retryAfter := cs.sendRequest(try)
		if outcome == outcomeNotConnected {
			cs.avoidUntil.Store(r.routerGroup, cs.clock()+unreachableBackoffSeconds)
		}
		if r.behavior.IgnoreRetryAfter {
			retryAfter = 0
		}
		inTime := cs.clock()+retryAfter+minTimeForRetrySeconds <= r.firstSentAt+r.class.TimeoutSeconds
		if !cs.mayRetry(r, outcome) || retries >= r.behavior.MaxRetries || !inTime {
			cs.record.Update(func(*invariants.Record) { try.record.IsFinal = true })
			return
		}
		time.Sleep(seconds(retryAfter))
	}
}

// mayRetry reports whether a request may be sent again after an outcome: after one without an effect, or if a repeat is harmless for
// sure.
func (cs *Clients) mayRetry(r *clientCall, outcome string) bool {
	switch outcome {
	case outcomeRejected, outcomeNotConnected:
		return true
	case outcomeFailed, outcomeNoAnswer:
		if r.class.Idempotency == invariants.Idempotent {
			return true
		}
		recognisedEverywhere := r.class.Idempotency == invariants.IdempotentWithKey && r.class.DedupScope == "all"
		return recognisedEverywhere && cs.clock()-r.firstSentAt < r.class.DedupWindowSeconds/2
	}
	return false
}

// What a try ends with, by the wire's words where it has one.
const (
	outcomeSucceeded    = "acked"
	outcomeRejected     = "nacked"
	outcomeFailed       = "failed"
	outcomeNoAnswer     = "none"      // no answer
	outcomeNotConnected = "unreached" // nothing could be sent
	outcomeAbandoned    = "left"
)

// clientRequest is one try of a request.
type clientRequest struct {
	*clientCall
	retries        int
	timeoutSeconds float64
	abandonAt      float64 // infinity: not
	record         *invariants.Request
}

// newRequest draws a try and enters it into the record.
func (cs *Clients) newRequest(r *clientCall, retries int) *clientRequest {
	class := r.class
	timeout := r.firstSentAt + class.TimeoutSeconds - cs.clock()
	if least := r.behavior.MinTimeoutShare; least > 0 {
		timeout = min(timeout, class.TimeoutSeconds*(least+(1-least)*r.rand.Float64()))
	}
	record := &invariants.Request{
		ID:                      cs.ids.Add(1),
		RouterGroup:             r.routerGroup,
		Class:                   class.Name,
		Idempotency:             class.Idempotency,
		DedupScope:              class.DedupScope,
		DedupWindowSeconds:      class.DedupWindowSeconds,
		Key:                     r.key,
		PriorityWeight:          class.PriorityWeight,
		LatencyObjectiveSeconds: class.LatencyObjectiveSeconds,
		FirstSentAt:             r.firstSentAt,
		SentAt:                  cs.clock(),
		Deadline:                cs.clock() + timeout,
	}
	cs.record.Update(func(all *invariants.Record) { all.Requests[record.ID] = record })
	abandonAt := math.Inf(1)
	if r.rand.Float64() < r.behavior.AbandonShare {
		abandonAt = record.SentAt + abandonWithinShare*timeout*r.rand.Float64()
	}
	return &clientRequest{r, retries, timeout, abandonAt, record}
}

func (r *clientCall) path() string { return r.class.Path + r.key }

// body is the key for a POST, empty otherwise.
func (r *clientCall) body() string {
	if r.class.Method == http.MethodPost {
		return r.key
	}
	return ""
}

// encode writes the try as HTTP/1.1.
func (t *clientRequest) encode() []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: relay\r\nFlint-Time: %.4f\r\n", t.class.Method, t.path(), t.timeoutSeconds)
	fmt.Fprintf(&buf, "%s: %.4f\r\nFlint-Key: %s\r\nIdempotency-Key: %s\r\n", headerWork, t.workSeconds, t.key, t.idempotencyKey)
	fmt.Fprintf(&buf, "%s: %d\r\n%s: %s\r\n%s: %s\r\n", headerRequestID, t.record.ID, headerClass, t.class.Name, headerRouterGroup, t.record.RouterGroup)
	if t.retries > 0 {
		buf.WriteString("Flint-Repeat: 1\r\n")
	}
	body := t.body()
	if body != "" {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(body))
	}
	buf.WriteString("\r\n" + body)
	return buf.Bytes()
}

// sendRequest sends a try and waits for its answer, for a while even after the deadline, so that a late answer is recorded.
func (cs *Clients) sendRequest(t *clientRequest) (outcome string, retryAfter float64) {
	c, err := cs.connect(t.record.RouterGroup)
	if err != nil {
		cs.record.Update(func(*invariants.Record) { t.record.NotConnected = true })
		return outcomeNotConnected, 0
	}
	c.expect(t.record)
	if n, err := c.Write(t.encode()); err != nil {
		c.Close()
		if n == 0 {
			cs.record.Update(func(*invariants.Record) { t.record.NotConnected = true })
			return outcomeNotConnected, 0
		}
	}
	timer := time.NewTimer(seconds(min(t.record.Deadline+lateAnswerWaitSeconds, t.abandonAt) - cs.clock()))
	defer timer.Stop()
	select {
	case answer := <-c.answers:
		if answer == nil {
			c.Close()
			return outcomeNoAnswer, 0
		}
		return cs.onAnswer(t, c, answer)
	case <-timer.C:
		c.Close()
		if cs.clock() < t.record.Deadline {
			cs.record.Update(func(*invariants.Record) { t.record.AbandonedAt = cs.clock() })
			return outcomeAbandoned, 0
		}
		return outcomeNoAnswer, 0
	}
}

// onAnswer judges an answer, and gives its connection back if it stays open.
func (cs *Clients) onAnswer(t *clientRequest, c *clientConn, answer *clientAnswer) (outcome string, retryAfter float64) {
	outcome = answer.header.Get("Flint-Answer")
	if outcome == outcomeSucceeded {
		wrong := answer.status == http.StatusOK && string(answer.body) != RightAnswer(t.body()+t.path())
		cs.record.Update(func(*invariants.Record) { t.record.WrongAnswer = wrong })
		if wrong && t.rand.Float64() < t.behavior.WrongAnswerReportShare {
			wait := seconds(wrongAnswerReportMinDelaySeconds + t.rand.Float64())
			time.AfterFunc(wait, func() { cs.reportWrongAnswer(t.record.RouterGroup, answer.header.Get("Flint-Receipt")) })
		}
	}
	if pause := answer.header.Get("Flint-Pause"); pause != "" {
		var err error
		if retryAfter, err = strconv.ParseFloat(pause, 64); err != nil {
			slog.Warn("fake client: unreadable Flint-Pause", "error", err)
		}
	}
	if answer.close {
		c.Close()
		return outcome, retryAfter
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.idle[t.record.RouterGroup] = append(cs.idle[t.record.RouterGroup], c)
	return outcome, retryAfter
}

// reportWrongAnswer reports a wrong answer to the relay that gave it. A relay that can't be reached gets no report.
func (cs *Clients) reportWrongAnswer(relay, receipt string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+cs.addresses[relay]+"/.flint/wrong", nil)
	if err != nil {
		slog.Warn("fake client: cannot report a wrong answer", "error", err)
		return
	}
	r.Header.Set("Flint-Receipt", receipt)
	r.Close = true
	if response, err := http.DefaultClient.Do(r); err == nil {
		response.Body.Close()
	}
}

// clientConn is a connection to a relay. Its goroutine reads all that comes, whether or not it is waited for, until it is closed.
type clientConn struct {
	net.Conn
	answers chan *clientAnswer // nil: the relay closed the connection instead
	closed  atomic.Bool

	mu           sync.Mutex
	awaited      *invariants.Request
	lastAnswered uint64 // ID of the request before
}

// clientAnswer is an answer that was read whole.
type clientAnswer struct {
	status int
	header http.Header
	body   []byte
	close  bool // the relay closes the connection
}

// expect makes a request the one that the next answer is for.
func (c *clientConn) expect(request *invariants.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited = request
}

// connect gives an idle connection to a relay, or a new one.
func (cs *Clients) connect(relay string) (*clientConn, error) {
	for {
		c := cs.takeIdle(relay)
		if c == nil {
			break
		}
		if !c.closed.Load() {
			return c, nil
		}
	}
	nc, err := net.DialTimeout("tcp", cs.addresses[relay], clientDialTimeout)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: nc, answers: make(chan *clientAnswer, 4)}
	go cs.readAnswers(c)
	return c, nil
}

// takeIdle takes the connection that was idle for the shortest time, nil if there is none.
func (cs *Clients) takeIdle(relay string) *clientConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	idle := cs.idle[relay]
	if len(idle) == 0 {
		return nil
	}
	cs.idle[relay] = idle[:len(idle)-1]
	return idle[len(idle)-1]
}

// readAnswers records the answers of a connection, and hands on those that are waited for.
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
				r.UnexpectedAnswers = append(r.UnexpectedAnswers, fmt.Sprintf("an answer nobody waited for, after that of command %d", lastAnswered))
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

// onClosed records that a connection ended, with the request that waited on it.
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

// endpoint is the endpoint that answered, by its own header; 0 if a router answered itself.
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
