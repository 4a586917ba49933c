package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
)

// Endpoints receive a command as its client sent it, except for the remaining time.
func TestRESPOrdinaryPath(t *testing.T) {
	h := newRESPHarness(t, nil)
	endpoint := h.addEndpoint(1, 1, answerID)
	c := h.dial()
	writeText(c, encodeCommand("PING"))
	h.wantEqual("ping", c.readRESPAnswer(), "+PONG")
	for _, class := range []string{"lookup", "order", "seal"} {
		text, id := newCommand(class)
		writeText(c, text)
		h.wantEqual(class, c.readRESPAnswer(), "v"+id)
		got := strings.Fields(endpoint.allRequests()[strings.LastIndex(endpoint.allRequests(), "\n")+1:])
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

// Which commands are retried after each reply, by the protocol's table of outcomes.
func TestRESPRetryByOutcome(t *testing.T) {
	cut := func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) { endpoint.readCommand(br) }
	ends := []struct {
		name                string
		play                func(*scriptedEndpoint, net.Conn, *bufio.Reader)
		lookup, order, seal string // v: served by the healthy endpoint
	}{
		{"error", answerRESP("-ERR failed\r\n"), "v", "v", "-ERR"},
		{"error with a report", answerRESP("-ERR failed inflight=7,util=0.61\r\n"), "v", "v", "-ERR"},
		{"overloaded", answerRESP("-BUSY\r\n"), "v", "v", "v"},
		{"overloaded with a report", answerRESP("-BUSY inflight=7\r\n"), "v", "v", "v"},
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
					t.Errorf("%s, %s: %d attempts", e.name, class, n)
				}
			}
			if !met {
				t.Errorf("%s, %s: the endpoint was never met", e.name, class)
			}
		}
	}
}

// An endpoint's value may be far larger than a command.
func TestRESPLargeValue(t *testing.T) {
	h := newRESPHarness(t, nil)
	big := strings.Repeat("x", 400_000)
	endpoint := h.addEndpoint(1, 1, answerRESP("*3\r\n$400000\r\n"+big+"\r\n$-1\r\n$-1\r\n"))
	c := h.dial()
	for range 5 {
		text, _ := newCommand("seal")
		writeText(c, text)
		if got := c.readRESPAnswer(); got != big {
			t.Fatalf("%.60q", got)
		}
	}
	if n := h.proxy.Stats(); n.Dials != 1 || endpoint.count() != 5 {
		t.Errorf("%+v", n)
	}
}

// An endpoint sends a second reply after an answer. It is not taken for another command's answer: neither if it is
// already there when the connection would be reused, nor if it arrives later, within the reuse delay.
func TestRESPSurplusBytes(t *testing.T) {
	for _, rest := range []float64{0, 1000} {
		h := newRESPHarness(t, nil)
		h.proxy.connReuseDelaySeconds = rest
		copied, next := make(chan bool, 100), make(chan bool, 100)
		endpoint := h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
			for w, ok := endpoint.readCommand(br); ok; w, ok = endpoint.readCommand(br) {
				writeText(c, valueReply(w[2]))
				if rest > 0 {
					<-next // the next command is on its way
				}
				writeText(c, valueReply(w[2]))
				copied <- true
			}
		})
		c := h.dial()
		for i := range 15 {
			text, id := newCommand("seal")
			writeText(c, text)
			if rest > 0 && i > 0 {
				next <- true
			}
			if got := c.readRESPAnswer(); got != "v"+id {
				t.Errorf("rest %g: %q, want %q", rest, got, "v"+id)
			}
			if rest == 0 {
				<-copied
			}
		}
		close(next)
		if endpoint.count() != 15 {
			t.Errorf("rest %g: %d attempts", rest, endpoint.count())
		}
	}
}

// Invalid commands are answered with an error or a closed connection and never reach an endpoint. Other clients are
// served meanwhile.
func TestRESPBadClients(t *testing.T) {
	h := newRESPHarness(t, nil)
	endpoint := h.addEndpoint(1, 1, answerID)
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
	for i := range 200 { // far above the limit on connections
		c := h.dial()
		if i%2 == 0 {
			writeText(c, "*4\r\n$8\r\nAPI.")
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
	if endpoint.count() != 1 {
		t.Errorf("endpoints met %q", endpoint.allRequests())
	}
}

// Pipelined commands are sent as they arrive, and answers keep their order. An id in flight can't be used again.
func TestRESPPipelining(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for w, ok := endpoint.readCommand(br); ok; w, ok = endpoint.readCommand(br) {
			if w[1] == "slow" {
				time.Sleep(60 * time.Millisecond)
			}
			writeText(c, valueReply(w[2]))
		}
	})
	c := h.dial()
	var all strings.Builder
	var want []string
	for i := range 200 { // above what may be pipelined
		key := "quick"
		if i%10 == 0 {
			key = "slow"
		}
		id := fmt.Sprintf("a%d", i)
		all.WriteString(encodeCommand("API.READ", key, id, "c=lookup,d=30000"))
		want = append(want, "v"+id)
	}
	go writeText(c, all.String())
	for _, w := range want {
		if got := c.readRESPAnswer(); got != w && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("%q, want %q", got, w)
		}
	}
	held := encodeCommand("API.READ", "slow", "same", "c=lookup,d=500")
	writeText(c, held)
	h.eventually("in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
	h.wantEqual("the same id", h.askOnce(held), "-ERR a command with this id is in hand")
	h.wantEqual("the first", c.readRESPAnswer(), "vsame")
	h.wantEqual("the id again", h.askOnce(held), "vsame")
}

// A rejection carries a retry-after time, and is immediate if no endpoint is worth waiting for.
func TestRESPRejectedAtOnce(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Endpoints.MaxConns, s.Endpoints.MaxConnsPerEndpoint = 1, 1 })
	h.addEndpoint(1, 1, answerRESP("-BUSY\r\n"))
	text, _ := newCommand("seal")
	from := time.Now()
	h.wantEqual("rejection", h.askOnce(text), "-BUSY 1500")
	if took := time.Since(from); took > 400*time.Millisecond {
		t.Errorf("after %v", took)
	}
}

// During a graceful shutdown, new connections are still served, and each connection closes after its last answer.
func TestRESPGracefulShutdown(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerIDAfter(50*time.Millisecond))
	idle := h.dial()
	busy, id := h.dialBusy()
	h.proxy.StopServing()
	for range 3 {
		late := h.dial()
		late.wantServed("order")
		h.wantEqual("and then", late.readRESPAnswer(), "closed")
	}
	h.wantEqual("what was in flight", busy.readRESPAnswer(), "v"+id)
	h.wantEqual("and then", busy.readRESPAnswer(), "closed")
	h.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.proxy.Drain(ctx); err != nil {
		t.Error(err)
	}
	h.wantEqual("an idle one", idle.readRESPAnswer(), "closed")
}

// At the limit of connections, the longest idle one is evicted for a new one; one with a command in flight never is.
func TestRESPEvictsLongestIdle(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Clients.MaxConns = 5 })
	h.addEndpoint(1, 1, answerIDAfter(150*time.Millisecond))
	busy, id := h.dialBusy()
	var idle []*testClient
	for range 20 {
		idle = append(idle, h.dial())
		h.eventually("it is taken", func() bool { n := h.proxy.Stats(); return int(n.ClientsAccepted) == len(idle)+1 && n.ClientConns <= 5 })
	}
	h.wantEqual("the longest idle", idle[0].readRESPAnswer(), "closed")
	h.wantEqual("the busy one", busy.readRESPAnswer(), "v"+id)
	if n := h.proxy.Stats(); n.ClientsRefused != 0 {
		t.Errorf("%d refused", n.ClientsRefused)
	}
}

// New connections that are about to send their first command are not evicted for each other while older ones are idle,
// even if several arrive at once. However many arrive, their number stays bounded.
func TestRESPNewConnectionsSurviveEviction(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Clients.MaxConns = 8 })
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
	h.wantEqual("the longest idle", kept[0].readRESPAnswer(), "closed")
	for range 100 {
		h.dial()
		if n := h.proxy.Stats(); n.ClientConns > 10 {
			t.Fatalf("%d connections", n.ClientConns)
		}
	}
}

// A command that crosses the eviction of its connection is served, and then the connection ends.
func TestRESPCommandCrossesEviction(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerIDAfter(100*time.Millisecond))
	c, id := h.dialBusy()
	h.proxy.mu.Lock()
	for conn := range h.proxy.clients {
		conn.evicted = true
		conn.wakeReader()
	}
	h.proxy.mu.Unlock()
	time.Sleep(20 * time.Millisecond) // by now its reader waits for the answer
	second, id2 := newCommand("lookup")
	writeText(c, second)
	h.wantEqual("the first", c.readRESPAnswer(), "v"+id)
	h.wantEqual("the second", c.readRESPAnswer(), "v"+id2)
	h.wantEqual("and then", c.readRESPAnswer(), "closed")
}

// An endpoint that restarts gets new connections.
func TestRESPEndpointRestarts(t *testing.T) {
	h := newRESPHarness(t, nil)
	endpoint := h.addEndpoint(1, 1, answerID)
	for start := range 3 {
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: endpoint.listener.Addr().String(), State: "ready", Build: 1, StartedAt: float64(start)})
		for range 3 {
			text, id := newCommand("seal")
			h.wantEqual("served", h.askOnce(text), "v"+id)
		}
	}
	if n := h.proxy.Stats(); n.Dials != 3 || n.EndpointConns != 1 {
		t.Errorf("%d dials, %d connections", n.Dials, n.EndpointConns)
	}
}

// A connection that has been idle for too long is not reused, even if the periodic sweep has not closed it yet: its
// endpoint may be closing it, and an attempt written to it may have run.
func TestRESPIdleConnectionNotReused(t *testing.T) {
	h := newRESPHarness(t, func(s *config.Router) { s.Endpoints.IdleTimeoutSeconds = 0.2 })
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

// No state is kept for ids, keys, endpoints and connections that are gone.
func TestRESPKeepsNothing(t *testing.T) {
	h := newRESPHarness(t, nil)
	for i := range 30 {
		endpoint := h.addEndpoint(uint32(i+1), i, answerID)
		for range 10 {
			text, id := newCommand("lookup")
			if got := h.askOnce(text); got != "v"+id && !strings.HasPrefix(got, "-BUSY") {
				t.Fatal(got)
			}
		}
		h.updateEndpoints(true, endpoints.Endpoint{ID: uint32(i + 1), Addr: endpoint.listener.Addr().String(), State: "ready", Build: i})
	}
	h.eventually("nothing is kept", func() bool {
		h.proxy.mu.Lock()
		defer h.proxy.mu.Unlock()
		return len(h.proxy.requestIDs) == 0 && len(h.proxy.clients) == 0 && len(h.proxy.deadlines) == 0 && len(h.proxy.pools) <= 2 && len(h.proxy.endpointConns) <= 20
	})
}
