package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
	"flintspread/internal/platform/resp"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// newRESPHarness is a hall whose relay speaks the platform's protocol.
func newRESPHarness(t testing.TB, edit func(*config.Router)) *harness {
	return newRESPHarnessWith(t, nil, edit)
}

// newRESPHarnessWith edits the module's terms, too.
func newRESPHarnessWith(t testing.TB, teach func(*policy.Config), edit func(*config.Router)) *harness {
	terms := policy.Config{Routers: 1, RollbackVotes: 1, MinTickSeconds: 0.005, AllowHedging: true, AllowCancel: true, MaxRetryAfterSeconds: 1.5, ConnIdleSeconds: 10, RequestsPerConn: 1,
		MaxAttempts: 4, SlowStartInitialShare: 0.3, SlowStartSeconds: 1, SlowStartOverloadFactor: 3, SlowStartOverloadSeconds: 1, CanaryWindowSeconds: 4, CanaryFreeAttempts: 2, CanaryLimits: []float64{0.5, 1},
		StageShares: []float64{0.5, 1}, VoteLifetimeSeconds: 10, VoteTimeoutSeconds: 1, VotesPerSecond: 10, WrongAnswerPrice: 1, StaleBuildPrice: 1, ForgetEndpointSeconds: 60,
		Classes: []policy.RequestClass{{LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.6, PriorityWeight: 1},
			{LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.6, PriorityWeight: 1, Idempotency: policy.IdempotentWithKey, DedupWindowSeconds: 5},
			{LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.6, PriorityWeight: 1, Idempotency: policy.NonIdempotent}}}
	if teach != nil {
		teach(&terms)
	}
	set := config.ForPlatform("r1", terms, []string{"lookup", "order", "seal"},
		config.Clients{Connections: 50, ReadTime: 1, IdleTime: 20, DrainTime: 3},
		config.Endpoints{Connections: 20, Total: 20, DialTime: 0.25, IdleTime: 8}, 0)
	if edit != nil {
		edit(set)
	}
	set.Clients.Keep = set.Clients.Connections
	r := NewRESP(set, 1, discardLogger(), func(releases.Vote) {})
	r.connReuseDelaySeconds = 0 // most tests count connections
	r.SetReady()
	return startHarness(t, r)
}

// readCommand takes one delivery and notes it.
func (u *scriptedEndpoint) readCommand(br *bufio.Reader) ([]string, bool) {
	args, err := resp.Command(br)
	if err != nil {
		return nil, false
	}
	var list []string
	for _, a := range args {
		list = append(list, string(a))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, strings.Join(list, " "))
	return list, true
}

// valueReply is a unit's answer with a value made of the delivery's id.
func valueReply(id string) string {
	return fmt.Sprintf("*3\r\n$%d\r\nv%s\r\n$-1\r\n$-1\r\n", len(id)+1, id)
}

func answerID(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) { answerIDAfter(0)(u, c, br) }

// answerIDAfter answers every delivery well, so late.
func answerIDAfter(late time.Duration) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for w, ok := u.readCommand(br); ok; w, ok = u.readCommand(br) {
			time.Sleep(late)
			io.WriteString(c, valueReply(w[2]))
		}
	}
}

// answerRESP answers every delivery with a text.
func answerRESP(text string) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for _, ok := u.readCommand(br); ok; _, ok = u.readCommand(br) {
			io.WriteString(c, text)
		}
	}
}

var lastID int

// newCommand words a client's command: c is its class. Its client waits for half a second.
func newCommand(c string) (text, id string) { return newCommandWithTimeout(c, 500) }

func newCommandWithTimeout(c string, ms int) (text, id string) {
	lastID++
	id = fmt.Sprintf("%016x", lastID)
	extras := fmt.Sprintf("c=%s,d=%d", c, ms)
	switch c {
	case "lookup":
		return encodeCommand("API.READ", "7f3a", id, extras), id
	case "order":
		return encodeCommand("API.WRITE", "7f3a", id, extras+",k=5c0f", "BODY"), id
	}
	return encodeCommand("API.WRITE", "7f3a", id, extras, "BODY"), id
}

func encodeCommand(list ...string) string {
	buf := resp.Array(nil, len(list))
	for _, w := range list {
		buf = resp.Bulk(buf, w)
	}
	return string(buf)
}

// readLine reads one answer: a value, or the line that stands for it.
func (c *testClient) readLine() string {
	text, err := c.br.ReadString('\n')
	if err != nil {
		return "closed"
	}
	text = strings.TrimSpace(text)
	if n, err := strconv.Atoi(strings.TrimPrefix(text, "$")); err == nil && text[0] == '$' {
		buf := make([]byte, n+2)
		if _, err := io.ReadFull(c.br, buf); err != nil {
			return "closed"
		}
		return string(buf[:n])
	}
	return text
}

func (h *harness) askOnce(text string) string {
	c := h.dial()
	defer c.Close()
	io.WriteString(c, text)
	return c.readLine()
}

// wantServed sends a command of a class and wants its value.
func (c *testClient) wantServed(class string) {
	c.t.Helper()
	text, id := newCommand(class)
	io.WriteString(c, text)
	if got := c.readLine(); got != "v"+id {
		c.t.Errorf("%s: %q, want %q", class, got, "v"+id)
	}
}

// dialBusy is a connection with a command in hand.
func (h *harness) dialBusy() (c *testClient, id string) {
	text, id := newCommand("seal")
	c = h.dial()
	io.WriteString(c, text)
	h.eventually("in hand", func() bool { return h.proxy.Stats().InFlight == 1 })
	return c, id
}

// What units get of a command is what its client sent, but for d.
func TestPlatformOrdinaryPath(t *testing.T) {
	h := newRESPHarness(t, nil)
	u := h.addEndpoint(1, 1, answerID)
	c := h.dial()
	io.WriteString(c, encodeCommand("PING"))
	h.wantEqual("ping", c.readLine(), "+PONG")
	for _, class := range []string{"lookup", "order", "seal"} {
		text, id := newCommand(class)
		io.WriteString(c, text)
		h.wantEqual(class, c.readLine(), "v"+id)
		got := strings.Fields(u.allRequests()[strings.LastIndex(u.allRequests(), "\n")+1:])
		var d int
		for i, w := range got {
			if at := strings.Index(w, "d="); at >= 0 {
				rest := w[at+2:]
				end := strings.IndexByte(rest+",", ',')
				d, _ = strconv.Atoi(rest[:end])
				got[i] = w[:at+2] + "500" + rest[end:]
			}
		}
		h.wantEqual("passed on", encodeCommand(got...), text)
		if d < 300 || d >= 500 {
			t.Errorf("d=%d of a command that has 500 ms left", d)
		}
	}
	if n := h.proxy.Stats(); n.Dials != 1 || n.Succeeded != 3 {
		t.Errorf("%+v", n)
	}
}

// The protocol's table of outcomes: a unit ends each delivery so; none says anything of what may run twice that it must not.
func TestPlatformOutcomes(t *testing.T) {
	cut := func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) { u.readCommand(br) }
	ends := []struct {
		name                string
		play                func(*scriptedEndpoint, net.Conn, *bufio.Reader)
		lookup, order, seal string // v: served by the unit that is well
	}{
		{"error", answerRESP("-ERR failed\r\n"), "v", "v", "-ERR"},
		{"error with a report", answerRESP("-ERR failed inflight=7,util=0.61\r\n"), "v", "v", "-ERR"},
		{"turned away", answerRESP("-BUSY\r\n"), "v", "v", "v"},
		{"turned away with a report", answerRESP("-BUSY inflight=7\r\n"), "v", "v", "v"},
		{"closed", cut, "v", "v", "-ERR"},
		{"noise", answerRESP("x?#\r\n"), "v", "v", "-ERR"},
		{"another error", answerRESP("-SYNTAX\r\n"), "v", "v", "-ERR"},
		{"no array", answerRESP("$5\r\nhello\r\n"), "v", "v", "-ERR"},
		{"a null value", answerRESP("*3\r\n$-1\r\n$-1\r\n$-1\r\n"), "v", "v", "-ERR"},
		{"a length too small", answerRESP("*3\r\n$2\r\nhello\r\n$-1\r\n$-1\r\n"), "v", "v", "-ERR"},
		{"a negative length", answerRESP("*3\r\n$-5\r\nhello\r\n$-1\r\n$-1\r\n"), "v", "v", "-ERR"},
		{"3 GB", answerRESP("*3\r\n$3000000000\r\n" + strings.Repeat("x", 8000)), "v", "v", "-ERR"},
		{"a line without end", answerRESP("-" + strings.Repeat("x", 8000)), "v", "v", "-ERR"},
	}
	for _, e := range ends {
		for i, class := range []string{"lookup", "order", "seal"} {
			want := []string{e.lookup, e.order, e.seal}[i]
			h := newRESPHarness(t, nil)
			bad := h.addEndpoint(1, 1, e.play)
			well := h.addEndpoint(2, 1, answerID)
			met := false
			for try := 0; try < 200 && !met; try++ {
				before := bad.count()
				all := before + well.count()
				text, id := newCommand(class)
				got := h.askOnce(text)
				if met = bad.count() > before; !met {
					continue
				}
				if want == "v" && got != "v"+id || want != "v" && !strings.HasPrefix(got, want) {
					t.Errorf("%s, %s: %q, want %q", e.name, class, got, want)
				}
				if n := bad.count() + well.count() - all; want != "v" && n != 1 {
					t.Errorf("%s, %s: %d deliveries", e.name, class, n)
				}
			}
			if !met {
				t.Errorf("%s, %s: the unit was never met", e.name, class)
			}
		}
	}
}

// Units give values far above those that they take.
func TestPlatformLargeValue(t *testing.T) {
	h := newRESPHarness(t, nil)
	big := strings.Repeat("x", 400_000)
	u := h.addEndpoint(1, 1, answerRESP("*3\r\n$400000\r\n"+big+"\r\n$-1\r\n$-1\r\n"))
	c := h.dial()
	for range 5 {
		text, _ := newCommand("seal")
		io.WriteString(c, text)
		if got := c.readLine(); got != big {
			t.Fatalf("%.60q", got)
		}
	}
	if n := h.proxy.Stats(); n.Dials != 1 || u.count() != 5 {
		t.Errorf("%+v", n)
	}
}

// A value that has room for more is served, what comes behind it is nobody's: neither where it lies there when the connection would be
// used again, nor where it comes when the next command's answer is due, for the connection rests.
func TestPlatformBytesTooMany(t *testing.T) {
	for _, rest := range []float64{0, 1000} {
		h := newRESPHarness(t, nil)
		h.proxy.connReuseDelaySeconds = rest
		copied, next := make(chan bool, 100), make(chan bool, 100)
		u := h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
			for w, ok := u.readCommand(br); ok; w, ok = u.readCommand(br) {
				io.WriteString(c, valueReply(w[2]))
				if rest > 0 {
					<-next // the next command is on its way
				}
				io.WriteString(c, valueReply(w[2]))
				copied <- true
			}
		})
		c := h.dial()
		for i := range 15 {
			text, id := newCommand("seal")
			io.WriteString(c, text)
			if rest > 0 && i > 0 {
				next <- true
			}
			if got := c.readLine(); got != "v"+id {
				t.Errorf("rest %g: %q, want %q", rest, got, "v"+id)
			}
			if rest == 0 {
				<-copied
			}
		}
		close(next)
		if u.count() != 15 {
			t.Errorf("rest %g: %d deliveries", rest, u.count())
		}
	}
}

// What is no command gets an error or a close, and never reaches a unit; usual clients are served meanwhile.
func TestPlatformBadClients(t *testing.T) {
	h := newRESPHarness(t, nil)
	u := h.addEndpoint(1, 1, answerID)
	read := func(extras string) string { return encodeCommand("API.READ", "k1", "1d", extras) }
	for _, text := range []string{
		"x\r\n", "*\r\n", "*-1\r\n", "*0\r\n", "*99999999999\r\n", "*1\r\n$-1\r\n", "*1\r\n$60000000\r\n", "*2\r\n$4\r\nPINGx\r\n", "*1\r\n:4\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n", strings.Repeat("x", 20000), "*4\r\n$8\r\nAPI.READ\r\n$65537\r\n",
		encodeCommand("FLUSHALL"), encodeCommand("API.READ"), encodeCommand("API.READ", "k1", "1d"), encodeCommand("API.READ", "k1", "", "c=lookup,d=100"),
		encodeCommand("API.READ", "k1", "a b", "c=lookup,d=100"), encodeCommand("API.READ", "", "1d", "c=lookup,d=100"),
		read("c=nothing,d=100"), read("d=100"), read("c=lookup"), read("c=lookup,d="), read("c=lookup,d=soon"), read("c=lookup,d=-5"),
		read("c=lookup,d=0"), read("c=lookup,d=99999999999999"), read("c=lookup,d=1,d=2"), read("c=lookup,d=100,k=1"), read("c=lookup,d=100,z=1"),
		read("c=order,d=100,k=1"), read("c=lookup,,d=100"), encodeCommand("API.WRITE", "k1", "1d", "c=order,d=100", "B"),
		encodeCommand("API.WRITE", "k1", "1d", "c=lookup,d=100", "B"), encodeCommand("API.READ", "k1", "1d", "c=lookup,d=100", "B"),
	} {
		if got := h.askOnce(text); got != "closed" && !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%.60q: %q", text, got)
		}
	}
	var silent []*testClient
	for i := range 200 { // far above what there is room for
		c := h.dial()
		if i%2 == 0 {
			io.WriteString(c, "*4\r\n$8\r\nAPI.")
		}
		silent = append(silent, c)
	}
	text, id := newCommand("lookup")
	h.wantEqual("a usual client", h.askOnce(text), "v"+id)
	for i, c := range silent {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.br.ReadByte(); errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("connection %d is still open", i)
		}
	}
	if u.count() != 1 {
		t.Errorf("units met %q", u.allRequests())
	}
}

// Commands behind one another are each taken as they come; answers follow their order. An id that is in hand is no other's.
func TestPlatformAskAhead(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for w, ok := u.readCommand(br); ok; w, ok = u.readCommand(br) {
			if w[1] == "slow" {
				time.Sleep(60 * time.Millisecond)
			}
			io.WriteString(c, valueReply(w[2]))
		}
	})
	c := h.dial()
	var all strings.Builder
	var want []string
	for i := range 200 { // above what is read ahead
		key := "quick"
		if i%10 == 0 {
			key = "slow"
		}
		id := fmt.Sprintf("a%d", i)
		all.WriteString(encodeCommand("API.READ", key, id, "c=lookup,d=30000"))
		want = append(want, "v"+id)
	}
	go io.WriteString(c, all.String())
	for _, w := range want {
		if got := c.readLine(); got != w && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("%q, want %q", got, w)
		}
	}
	held := encodeCommand("API.READ", "slow", "same", "c=lookup,d=500")
	io.WriteString(c, held)
	h.eventually("in hand", func() bool { return h.proxy.Stats().InFlight == 1 })
	h.wantEqual("the same id", h.askOnce(held), "-ERR a command with this id is in hand")
	h.wantEqual("the first", c.readLine(), "vsame")
	h.wantEqual("the id again", h.askOnce(held), "vsame")
}

// A nack names a time to come back and is given at once where there is no unit to wait for.
func TestPlatformNack(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Endpoints.Total, s.Endpoints.Connections = 1, 1 })
	h.addEndpoint(1, 1, answerRESP("-BUSY\r\n"))
	text, _ := newCommand("seal")
	from := time.Now()
	h.wantEqual("nack", h.askOnce(text), "-BUSY 1500")
	if took := time.Since(from); took > 400*time.Millisecond {
		t.Errorf("after %v", took)
	}
}

// A relay that leaves still takes who comes, answers all that it has taken, and ends each connection behind its answer.
func TestPlatformLeaves(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerIDAfter(50*time.Millisecond))
	idle := h.dial()
	busy, id := h.dialBusy()
	h.proxy.StopServing()
	for range 3 {
		late := h.dial()
		late.wantServed("order")
		h.wantEqual("and then", late.readLine(), "closed")
	}
	h.wantEqual("what was in hand", busy.readLine(), "v"+id)
	h.wantEqual("and then", busy.readLine(), "closed")
	h.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.proxy.Drain(ctx); err != nil {
		t.Error(err)
	}
	h.wantEqual("an idle one", idle.readLine(), "closed")
}

// A full house has room for whoever comes to be served: the longest idle goes, one with a command in hand never.
func TestPlatformMakesRoom(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Clients.Connections = 5 })
	h.addEndpoint(1, 1, answerIDAfter(150*time.Millisecond))
	busy, id := h.dialBusy()
	var idle []*testClient
	for range 20 {
		idle = append(idle, h.dial())
		h.eventually("it is taken", func() bool { n := h.proxy.Stats(); return int(n.ClientsAccepted) == len(idle)+1 && n.ClientConns <= 5 })
	}
	h.wantEqual("the longest idle", idle[0].readLine(), "closed")
	h.wantEqual("the busy one", busy.readLine(), "v"+id)
	if n := h.proxy.Stats(); n.ClientsRefused != 0 {
		t.Errorf("%d refused", n.ClientsRefused)
	}
}

// Who has just come is about to speak: in a house full of others that were served and are idle, those go, also when several come
// at once; and however many come, no more are held than there is room for.
func TestPlatformNewcomersSpeak(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Clients.Connections = 8 })
	h.addEndpoint(1, 1, answerID)
	var kept []*testClient
	come := func() *testClient {
		before := h.proxy.Stats().ClientsAccepted
		c := h.dial()
		h.eventually("it is taken", func() bool { return h.proxy.Stats().ClientsAccepted > before })
		return c
	}
	for range 8 {
		kept = append(kept, come())
		kept[len(kept)-1].wantServed("lookup")
	}
	for range 10 {
		a, b, c := come(), come(), come()
		for _, c := range []*testClient{a, b, c} {
			c.wantServed("seal")
		}
	}
	h.wantEqual("the longest idle", kept[0].readLine(), "closed")
	for range 100 {
		h.dial()
		if n := h.proxy.Stats(); n.ClientConns > 10 {
			t.Fatalf("%d connections", n.ClientConns)
		}
	}
}

// A command that crosses the relay's wish to make room is served, and then the connection ends.
func TestPlatformCommandCrossesGoing(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerIDAfter(100*time.Millisecond))
	c, id := h.dialBusy()
	h.proxy.mu.Lock()
	for cl := range h.proxy.clients {
		cl.evicted = true
		cl.wakeReader()
	}
	h.proxy.mu.Unlock()
	time.Sleep(20 * time.Millisecond) // its reader waits for the answer by now
	second, id2 := newCommand("lookup")
	io.WriteString(c, second)
	h.wantEqual("the first", c.readLine(), "v"+id)
	h.wantEqual("the second", c.readLine(), "v"+id2)
	h.wantEqual("and then", c.readLine(), "closed")
}

// A unit's number that comes back as another process gets connections of its own.
func TestPlatformUnitComesBack(t *testing.T) {
	h := newRESPHarness(t, nil)
	u := h.addEndpoint(1, 1, answerID)
	for start := range 3 {
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: u.listener.Addr().String(), State: "ready", Build: 1, StartedAt: float64(start)})
		for range 3 {
			text, id := newCommand("seal")
			h.wantEqual("served", h.askOnce(text), "v"+id)
		}
	}
	if n := h.proxy.Stats(); n.Dials != 3 || n.EndpointConns != 1 {
		t.Errorf("%d dials, %d connections", n.Dials, n.EndpointConns)
	}
}

// A connection that has been idle for too long is not used, also where the sweep has not come to it yet: its unit closes it, and
// what is written to it may have run.
func TestPlatformIdleTooLong(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Endpoints.IdleTime = 0.2 })
	h.addEndpoint(1, 1, answerID)
	h.proxy.mu.Lock()
	h.proxy.idleSweepAt = h.proxy.Now() + 1000
	h.proxy.mu.Unlock()
	for i, pause := range []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond} {
		time.Sleep(pause)
		text, id := newCommand("seal")
		h.wantEqual("served", h.askOnce(text), "v"+id)
		if n := h.proxy.Stats(); n.Dials != uint64(1+i/2) {
			t.Errorf("%d dials after a pause of %v", n.Dials, pause)
		}
	}
}

// Ids, keys, units and connections are ever new; nothing of them is kept.
func TestPlatformKeepsNothing(t *testing.T) {
	h := newRESPHarness(t, nil)
	for i := range 30 {
		u := h.addEndpoint(uint32(i+1), i, answerID)
		for range 10 {
			text, id := newCommand("lookup")
			if got := h.askOnce(text); got != "v"+id && !strings.HasPrefix(got, "-BUSY") {
				t.Fatal(got)
			}
		}
		h.updateEndpoints(true, endpoints.Endpoint{ID: uint32(i + 1), Addr: u.listener.Addr().String(), State: "ready", Build: i})
	}
	h.eventually("nothing is kept", func() bool {
		h.proxy.mu.Lock()
		defer h.proxy.mu.Unlock()
		return len(h.proxy.requestIDs) == 0 && len(h.proxy.clients) == 0 && len(h.proxy.deadlines) == 0 && len(h.proxy.pools) <= 2 && len(h.proxy.endpointConns) <= 20
	})
}
