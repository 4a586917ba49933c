package proxy

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/loadshed"
)

// forceOverload makes a proxy shed as much as its shedder allows.
func (h *harness) forceOverload() {
	h.proxy.mu.Lock()
	defer h.proxy.mu.Unlock()
	now := h.proxy.Now()
	g := loadshed.New(shedderClasses(h.proxy.currentConfig.Load().Policy), 1, now-100)
	for look := range 40 {
		at := now - 100 + float64(look+1)
		for i := range 1000 {
			g.Admit(at, loadshed.Request{Class: i % 4, Client: 1, RemainingSeconds: 10})
		}
		lag := 5.0
		if look == 39 {
			lag = 0 // else no request would have enough time left
		}
		g.Observe(at, loadshed.LoadSample{TimerDelaySeconds: lag})
	}
	h.proxy.shedder = g
	h.proxy.shedding.Store(g.ShedShare() > 0)
	h.proxy.policyTickAt = now + 1000 // no load sample of the real process
}

// A proxy under overload rejects each request once and in order, whether it is answered before or after parsing. No
// rejected request reaches an endpoint, and invalid requests get their usual answer.
func TestShedding(t *testing.T) {
	h := newHarness(t, nil)
	endpoint := h.addEndpoint(1, 1, answerPath)
	h.wantEqual("before", h.roundTrip(idempotentRequest), "200 acked: /chute/7")
	h.forceOverload()
	if h.proxy.shedder.ShedShare() < 0.5 {
		t.Fatal(h.proxy.shedder.ShedShare())
	}
	before := endpoint.count()
	shedAll, taken := 0, 0
	for i := range 60 {
		c := h.dial()
		for _, head := range []string{idempotentRequest, keyedRequest, nonIdempotentRequest, idempotentRequest + "Flint-Repeat: 1\r\n", idempotentRequest + "Connection: keep-alive\r\n", "GET /chute/%37 HTTP/1.1\r\nHost: x\r\n",
			idempotentRequest + fmt.Sprintf("X-Long: %s\r\n", strings.Repeat("x", i*100))} {
			c.send(head)
			switch got := c.readAnswer(); {
			case got == rejectedText:
				shedAll++
			case strings.HasPrefix(got, "200 acked"):
				taken++
			default:
				t.Fatalf("%s: %s", head, got)
			}
		}
		writeText(c, "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
		c.Close()
	}
	if shedAll < taken || taken == 0 {
		t.Errorf("%d shed, %d taken", shedAll, taken)
	}
	c := h.dial()
	writeText(c, strings.Repeat("GET /chute/a HTTP/1.1\r\nHost: x\r\n\r\n", 3)+"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
	for range 3 {
		if got := c.readAnswer(); got != rejectedText && got != "200 acked: /chute/a" {
			t.Error(got)
		}
	}
	if got := c.readAnswer(); !strings.HasPrefix(got, "404") {
		t.Error(got)
	}
	h.eventually("nothing in flight", func() bool { return h.proxy.Stats().InFlight == 0 })
	n := h.proxy.Stats()
	if n.Received != n.Succeeded+n.Rejected+n.Failed+n.Abandoned || n.Shed < uint64(shedAll) || uint64(endpoint.count()-before) > n.Received-n.Shed {
		t.Errorf("%+v, %d reached the endpoint", n, endpoint.count()-before)
	}
}

// With slow endpoints and a small memory budget, reading pauses, requests are rejected and connections are refused with
// an answer. The budget is exceeded by at most one message per connection, and all of it is released.
func TestMemoryBudget(t *testing.T) {
	const budget = 1 << 20
	h := newHarness(t, func(s *config.Router) {
		s.Overload = &config.Overload{MemoryBytes: budget}
	})
	release := make(chan struct{})
	h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for {
			if _, ok := endpoint.readRequest(br); !ok {
				return
			}
			<-release
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	const each = 60000
	head := fmt.Sprintf("POST /batch/7 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", each) + strings.Repeat("b", each)
	var open []*testClient
	for range 60 {
		c := h.dial()
		open = append(open, c)
		go writeText(c, head)
	}
	h.eventually("reading pauses", func() bool { return h.proxy.Stats().ReadsPaused > 0 })
	refused := 0
	for range 40 {
		if got := h.roundTrip(idempotentRequest); strings.HasPrefix(got, "503 nacked") {
			refused++
		}
	}
	close(release)
	answers := map[string]int{}
	for _, c := range open {
		answers[strings.Fields(c.readAnswer())[0]]++
		c.Close()
	}
	if answers["200"] == 0 || answers["200"]+answers["503"] != len(open) || refused+answers["503"] == 0 {
		t.Errorf("%v, %d refused", answers, refused)
	}
	if peak := h.proxy.Stats().MemoryPeakBytes; peak < budget/2 || peak > budget+60*(each+connOverheadBytes) {
		t.Errorf("peak of %d bytes, budget %d", peak, budget)
	}
	h.eventually("all of it is given back", func() bool {
		return h.proxy.memory.usedBytes.Load() <= int64(len(h.proxy.endpointConns))*connOverheadBytes+connOverheadBytes
	})
	h.wantEqual("after", h.roundTrip(idempotentRequest), "200 acked: ")
}

// A slow client holds memory only as long as its connection.
func TestSlowReadersMemory(t *testing.T) {
	h := newHarness(t, func(s *config.Router) {
		s.Overload = &config.Overload{MemoryBytes: 64 << 20}
		s.Clients.ReadTimeoutSeconds = 0.4
		s.Endpoints.MaxAnswerBytes = 16 << 20
	})
	big := strings.Repeat("x", 12<<20)
	h.addEndpoint(1, 1, answerHTTP(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big)))
	c := h.dial()
	setReadBuffer(c.Conn, 4096)
	c.send(idempotentRequest)
	h.eventually("its answer is counted", func() bool { return h.proxy.memory.usedBytes.Load() > 8<<20 })
	time.Sleep(500 * time.Millisecond)
	h.eventually("it is given back once the reader's time is over", func() bool { return h.proxy.memory.usedBytes.Load() < 1<<20 })
}
