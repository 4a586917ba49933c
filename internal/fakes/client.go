package fakes

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
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

// OpShape is one op type as clients ask for it.
type OpShape struct {
	Name       string
	Method     string
	Path       string
	Share      float64
	Work       [2]float64 // s, from and to
	Target     float64
	Timeout    float64
	Importance float64
	Effect     invariants.Idempotency
	Group      string
	Window     float64
}

// Habits is how clients behave; it changes during a day.
type Habits struct {
	Rate    float64 // commands a second, all relays together
	Retries int     // tries after the first
	AtOnce  bool    // not after the pause told
	Leave   float64 // share that leaves long before its time is up
	Short   float64 // least part of its time that a try is given, 0: all
	Hot     string  // a relay that gets HotPart of all
	HotPart float64
	Report  float64 // share of wrong answers reported
}

// Clients asks relays for commands, open loop: what is due goes out whether or not earlier ones were answered.
type Clients struct {
	rec    *invariants.Record
	clock  func() float64
	ops    []OpShape
	relays map[string]string // name to address
	names  []string
	down   sync.Map // relay to until when it is taken for dead
	ids    atomic.Uint64
	rand   *rand.Rand // of Run alone

	mu     sync.Mutex
	habits Habits
	idle   map[string][]*clientConn
	all    sync.WaitGroup
}

// NewClients makes clients of the named relays. Nothing is sent before Run.
func NewClients(ops []OpShape, relays map[string]string, names []string, seed uint64, rec *invariants.Record, clock func() float64) *Clients {
	return &Clients{rec: rec, clock: clock, ops: ops, relays: relays, names: names, rand: rand.New(rand.NewPCG(seed, 1)),
		idle: map[string][]*clientConn{}}
}

// Change changes the habits from now on.
func (cs *Clients) Change(f func(*Habits)) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	f(&cs.habits)
}

func (cs *Clients) now() Habits {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.habits
}

// Run asks until a time, then waits for what is out.
func (cs *Clients) Run(until float64) {
	at := cs.clock()
	for at < until {
		h := cs.now()
		at += cs.rand.ExpFloat64() / max(h.Rate, 0.1)
		time.Sleep(time.Duration((at - cs.clock()) * float64(time.Second)))
		op, u := 0, cs.rand.Float64()
		for ; op < len(cs.ops)-1 && u >= cs.ops[op].Share; op++ {
			u -= cs.ops[op].Share
		}
		relay := cs.names[cs.rand.IntN(len(cs.names))]
		if h.Hot != "" && cs.rand.Float64() < h.HotPart {
			relay = h.Hot
		}
		shape := &cs.ops[op]
		work := shape.Work[0] + cs.rand.Float64()*(shape.Work[1]-shape.Work[0])
		key := fmt.Sprint("parcel-", int(2000*math.Pow(cs.rand.Float64(), 3)))
		seed := cs.rand.Uint64()
		cs.all.Add(1)
		go func() {
			defer cs.all.Done()
			cs.ask(rand.New(rand.NewPCG(seed, 2)), h, shape, relay, key, work)
		}()
	}
	cs.all.Wait()
}

// ask is one command with all its tries.
func (cs *Clients) ask(rnd *rand.Rand, h Habits, op *OpShape, relay, key string, work float64) {
	first := cs.clock()
	mark := strconv.FormatUint(rnd.Uint64(), 16)
	for try := 0; ; try++ {
		if until, ok := cs.down.Load(relay); ok && cs.clock() < until.(float64) {
			relay = cs.names[rnd.IntN(len(cs.names))]
		}
		given := first + op.Timeout - cs.clock()
		if h.Short > 0 {
			given = min(given, op.Timeout*(h.Short+(1-h.Short)*rnd.Float64()))
		}
		cmd := &invariants.Request{ID: cs.ids.Add(1), Relay: relay, Class: op.Name, Idempotency: op.Effect, DedupScope: op.Group, DedupWindowSeconds: op.Window,
			Key: key, PriorityWeight: op.Importance, LatencyObjectiveSeconds: op.Target, FirstSentAt: first, Asked: cs.clock(), Deadline: cs.clock() + given}
		cs.rec.Enter(func(r *invariants.Record) { r.Commands[cmd.ID] = cmd })
		leave := math.Inf(1)
		if rnd.Float64() < h.Leave {
			leave = cmd.Asked + 0.3*given*rnd.Float64()
		}
		kind, pause := cs.try(cmd, op, key, mark, work, given, try, leave, h, rnd)
		if kind == "unreached" {
			cs.down.Store(relay, cs.clock()+0.5)
		}
		again := kind == "nacked" || kind == "unreached" ||
			(kind == "failed" || kind == "none") && (op.Effect == invariants.Idempotent ||
				op.Effect == invariants.IdempotentWithKey && op.Group == "all" && cs.clock()-first < op.Window/2)
		if h.AtOnce {
			pause = 0
		}
		if kind == "left" || !again || try >= h.Retries || cs.clock()+pause+0.1 > first+op.Timeout {
			cs.rec.Enter(func(*invariants.Record) { cmd.FinalTry = true })
			return
		}
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
}

// try is one sending of a command to a relay.
func (cs *Clients) try(cmd *invariants.Request, op *OpShape, key, mark string, work, given float64, try int, leave float64, h Habits,
	rnd *rand.Rand) (kind string, pause float64) {
	c, err := cs.conn(cmd.Relay)
	if err != nil {
		cs.rec.Enter(func(*invariants.Record) { cmd.NotConnected = true })
		return "unreached", 0
	}
	var buf bytes.Buffer
	body := ""
	if op.Method == http.MethodPost {
		body = key
	}
	path := op.Path + key
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: relay\r\nFlint-Time: %.4f\r\nFlint-Work: %.4f\r\nFlint-Key: %s\r\n"+
		"Idempotency-Key: %s\r\nX-Command: %d\r\nX-Op: %s\r\nX-Relay: %s\r\n", op.Method, path, given, work, key, mark, cmd.ID, op.Name, cmd.Relay)
	if try > 0 {
		buf.WriteString("Flint-Repeat: 1\r\n")
	}
	if body != "" {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(body))
	}
	buf.WriteString("\r\n" + body)
	c.mu.Lock()
	c.cur = cmd
	c.mu.Unlock()
	if n, err := c.Write(buf.Bytes()); err != nil {
		c.Close()
		if n == 0 {
			cs.rec.Enter(func(*invariants.Record) { cmd.NotConnected = true })
			return "unreached", 0
		}
	}
	// A late answer is waited for too, to be seen.
	timer := time.NewTimer(time.Duration((min(cmd.Deadline+1, leave) - cs.clock()) * float64(time.Second)))
	defer timer.Stop()
	select {
	case got := <-c.got:
		if got == nil {
			c.Close()
			return "none", 0
		}
		kind = got.Header.Get("Flint-Answer")
		text, _ := io.ReadAll(got.Body) // it is all there
		if kind == "acked" {
			want := Answer(body + path)
			wrong := got.StatusCode == 200 && string(text) != want
			cs.rec.Enter(func(*invariants.Record) { cmd.WrongAnswer = wrong })
			if wrong && rnd.Float64() < h.Report {
				time.AfterFunc(time.Duration((0.2+rnd.Float64())*float64(time.Second)), func() { cs.report(cmd.Relay, got.Header.Get("Flint-Receipt")) })
			}
		}
		pause, _ = strconv.ParseFloat(got.Header.Get("Flint-Pause"), 64)
		if got.Close {
			c.Close()
		} else {
			cs.mu.Lock()
			cs.idle[cmd.Relay] = append(cs.idle[cmd.Relay], c)
			cs.mu.Unlock()
		}
		return kind, pause
	case <-timer.C:
		c.Close()
		if cs.clock() < cmd.Deadline {
			cs.rec.Enter(func(*invariants.Record) { cmd.AbandonedAt = cs.clock() })
			return "left", 0
		}
		return "none", 0
	}
}

func (cs *Clients) report(relay, receipt string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+cs.relays[relay]+"/.flint/wrong", nil)
	if err != nil {
		return
	}
	req.Header.Set("Flint-Receipt", receipt)
	req.Close = true
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// clientConn is a connection to a relay. Its goroutine reads all that comes, asked for or not.
type clientConn struct {
	net.Conn
	mu   sync.Mutex
	cur  *invariants.Request
	last uint64 // the command before
	dead atomic.Bool
	got  chan *http.Response
}

func (cs *Clients) conn(relay string) (*clientConn, error) {
	for {
		cs.mu.Lock()
		list := cs.idle[relay]
		if len(list) == 0 {
			cs.mu.Unlock()
			break
		}
		c := list[len(list)-1]
		cs.idle[relay] = list[:len(list)-1]
		cs.mu.Unlock()
		if !c.dead.Load() {
			return c, nil
		}
	}
	nc, err := net.DialTimeout("tcp", cs.relays[relay], 200*time.Millisecond)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: nc, got: make(chan *http.Response, 4)}
	go cs.read(c)
	return c, nil
}

func (cs *Clients) read(c *clientConn) {
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		now := cs.clock()
		c.mu.Lock()
		cmd := c.cur
		if err != nil {
			c.dead.Store(true)
			c.cur = nil
			c.mu.Unlock()
			if cmd != nil {
				cs.rec.Enter(func(*invariants.Record) { cmd.ClosedAt = now })
				c.got <- nil
			}
			c.Close()
			return
		}
		resp.Body = io.NopCloser(bytes.NewReader(body))
		last := c.last
		if cmd != nil {
			c.last, c.cur = cmd.ID, nil
		}
		c.mu.Unlock()
		unit, _ := strconv.ParseUint(resp.Header.Get(headUnit), 10, 32)
		cs.rec.Enter(func(r *invariants.Record) {
			if cmd == nil {
				r.StrayAnswers = append(r.StrayAnswers, fmt.Sprintf("an answer nobody waited for, after that of command %d", last))
				return
			}
			cmd.Answers = append(cmd.Answers, invariants.Answer{At: now, Kind: resp.Header.Get("Flint-Answer"), Endpoint: uint32(unit)})
		})
		if cmd != nil {
			c.got <- resp
		}
	}
}

// Close closes all connections.
func (cs *Clients) Close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, list := range cs.idle {
		for _, c := range list {
			c.Close()
		}
	}
	cs.idle = map[string][]*clientConn{}
}
