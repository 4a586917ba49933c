package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

const (
	rejectedText = "503 nacked: not done; trying again does no harm"
	failedText   = "502 failed: failed; it may have been done"
	timedOutText = "504 failed: failed; it may have been done"
	shortTimeout = "Flint-Time: 0.3\r\n"
)

func goneEndpoint(id uint32) endpoints.Endpoint {
	return endpoints.Endpoint{ID: id, State: "gone"}
}

func TestOrdinaryPath(t *testing.T) {
	h := newHarness(t, nil)
	endpoint := h.addEndpoint(1, 1, answerPath)
	c := h.dial()
	for _, head := range []string{idempotentRequest, keyedRequest, nonIdempotentRequest} {
		c.send(head)
		got := c.readAnswer()
		if !strings.HasPrefix(got, "200 acked: /") {
			t.Errorf("%s: %s", head, got)
		}
	}
	// Two requests in one write are answered in order.
	writeText(c, "GET /chute/a HTTP/1.1\r\nHost: x\r\n\r\nGET /chute/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	h.wantEqual("first of two", c.readAnswer(), "200 acked: /chute/a")
	h.wantEqual("second of two", c.readAnswer(), "200 acked: /chute/b")
	if _, err := c.br.ReadByte(); err != io.EOF {
		t.Error("not closed after Connection: close:", err)
	}
	if n := h.proxy.Stats(); n.Dials != 1 || n.Succeeded != 5 || endpoint.count() != 5 {
		t.Errorf("%+v", n)
	}
}

// Which requests are retried after each way in which an attempt can end: the first endpoint ends it in that way, the
// second one answers successfully. Requests are sent until the first endpoint has received one.
func TestRetryByOutcome(t *testing.T) {
	cut := func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) { endpoint.readRequest(br) } // closes the connection unanswered
	half := func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		endpoint.readRequest(br)
		writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	}
	reset := func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		endpoint.readRequest(br)
		resetOnClose(c)
	}
	ends := []struct {
		name               string
		play               func(*scriptedEndpoint, net.Conn, *bufio.Reader)
		lookup, divert, to string // to: the non-idempotent request
	}{
		{"error", answerHTTP("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), "acked", "acked", "failed"},
		{"503 that may have run", answerHTTP("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), "acked", "acked", "failed"},
		{"503 that never ran", answerHTTP("HTTP/1.1 503 No\r\nFlint-Never-Ran: full\r\nContent-Length: 0\r\n\r\n"), "acked", "acked", "acked"},
		{"closed unanswered", cut, "acked", "acked", "failed"},
		{"reset", reset, "acked", "acked", "failed"},
		{"half an answer", half, "acked", "acked", "failed"},
		{"no HTTP", answerHTTP("hello\r\n\r\n"), "acked", "acked", "failed"},
		{"too large", answerHTTP("HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("x", 6000)), "acked", "acked", "failed"},
		{"switches protocols", answerHTTP("HTTP/1.1 101 Now\r\n\r\n"), "acked", "acked", "failed"},
	}
	for _, e := range ends {
		for i, head := range []string{idempotentRequest, keyedRequest, nonIdempotentRequest} {
			want := []string{e.lookup, e.divert, e.to}[i]
			t.Run(e.name+", "+strings.Fields(head)[1], func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, func(s *config.Router) { s.Endpoints.MaxAnswerBytes = 4096 })
				bad := h.addEndpoint(1, 1, e.play)
				well := h.addEndpoint(2, 1, answerPath)
				for try := 0; bad.count() == 0 && try < 200; try++ {
					before := bad.count() + well.count()
					got := h.roundTrip(head)
					if bad.count() == 0 {
						continue
					}
					if !strings.Contains(got, " "+want) {
						t.Errorf("%s, want %s", got, want)
					}
					if n := bad.count() + well.count() - before; want == "failed" && n != 1 {
						t.Errorf("%d attempts of a non-idempotent request", n)
					}
				}
				if bad.count() == 0 {
					t.Error("the endpoint was never met")
				}
			})
		}
	}
}

// A connection that was never established proves that nothing ran.
func TestRefusedConnectionIsRetried(t *testing.T) {
	h := newHarness(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: addr, State: "ready", Build: 1})
	h.addEndpoint(2, 1, answerPath)
	for range 20 {
		h.wantEqual("non-idempotent", h.roundTrip(nonIdempotentRequest), "200 acked: /seal/7")
	}
	if n := h.proxy.Stats(); n.Outcomes[policy.NotConnected] == 0 {
		t.Errorf("the closed port was never tried: %+v", n)
	}
}

// An endpoint closes its idle connections. If the proxy notices before the next request, that request is not affected;
// a request that crosses the close may have run.
func TestIdleConnectionClosed(t *testing.T) {
	h := newHarness(t, nil)
	endpoint := h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		endpoint.readRequest(br)
		writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for range 5 {
		h.wantEqual("after an idle close", h.roundTrip(nonIdempotentRequest), "200 acked: ok")
		h.eventually("the closed connection is dropped", func() bool { return h.proxy.Stats().EndpointConns == 0 })
	}
	endpoint.listener.Close()
	// The endpoint resets a pooled connection after it has read the next request's first bytes.
	h = newHarness(t, nil)
	first := true
	endpoint = h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		endpoint.readRequest(br)
		writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if first {
			first = false
			endpoint.readRequest(br)
			resetOnClose(c)
		}
	})
	c := h.dial()
	c.send(nonIdempotentRequest)
	h.wantEqual("first", c.readAnswer(), "200 acked: ok")
	c.send(nonIdempotentRequest)
	h.wantEqual("reset on a reused connection", c.readAnswer(), failedText)
	if endpoint.count() != 2 {
		t.Errorf("%d attempts", endpoint.count())
	}
}

// An attempt that was dropped before its first byte is never written.
func TestDroppedAttemptIsNotWritten(t *testing.T) {
	h := newHarness(t, nil)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	sock := newSocket(a)
	conn := &endpointConn{pool: &endpointPool{}}
	conn.socket.Store(&sock)
	d := &attempt{request: &request{message: &message{head: []byte("GET / HTTP/1.1\r\n")}}, assignedConn: conn}
	if !d.drop() || d.claimWrite() {
		t.Fatal("a dropped attempt could be claimed for writing")
	}
	h.proxy.writeAttempt(d)
	b.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, _ := b.Read(make([]byte, 1)); n != 0 {
		t.Error("a dropped attempt was written")
	}
	d = &attempt{}
	if !d.claimWrite() || d.drop() {
		t.Error("an attempt that is being written could be dropped")
	}
}

// If an endpoint answers too late, the client gets one answer in time and none after it, and a non-idempotent request
// is not sent again.
func TestAnswerAfterTimeout(t *testing.T) {
	h := newHarness(t, nil)
	endpoint := h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		endpoint.readRequest(br)
		time.Sleep(600 * time.Millisecond)
		writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for head, want := range map[string]string{nonIdempotentRequest: timedOutText, keyedRequest: rejectedText, idempotentRequest: rejectedText} {
		c := h.dial()
		from := time.Now()
		c.send(head + shortTimeout)
		h.wantEqual(head, c.readAnswer(), want)
		if took := time.Since(from); took > 300*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		if b, err := c.br.ReadByte(); err == nil {
			t.Errorf("a second answer began with %q", b)
		}
	}
	if n := strings.Count(endpoint.allRequests(), "seal"); n != 1 {
		t.Errorf("the non-idempotent request was delivered %d times", n)
	}
}

// If both attempts of a hedged request are answered, the client gets one answer.
func TestHedgedRequestGetsOneAnswer(t *testing.T) {
	h := newHarness(t, nil)
	slow := func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			if _, ok := endpoint.readRequest(br); !ok {
				return
			}
			if endpoint.count() > 30 {
				time.Sleep(80 * time.Millisecond)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", endpoint.id)
		}
	}
	h.addEndpoint(1, 1, slow)
	h.addEndpoint(2, 1, slow)
	c := h.dial()
	for range 100 {
		c.send(idempotentRequest)
		if got := c.readAnswer(); !strings.HasPrefix(got, "200 acked") {
			t.Fatal(got)
		}
	}
	n := h.proxy.Stats()
	if n.Attempts <= n.Received || n.Succeeded != 100 {
		t.Errorf("no request had two attempts: %+v", n)
	}
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if b, err := c.br.ReadByte(); err == nil {
		t.Errorf("one answer too many, from %q", b)
	}
}

func TestClientLeaves(t *testing.T) {
	h := newHarness(t, nil)
	ended := make(chan bool, 1)
	h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		endpoint.readRequest(br)
		_, ok := endpoint.readRequest(br) // until the proxy closes
		ended <- !ok
	})
	c := h.dial()
	c.send(idempotentRequest)
	h.eventually("the attempt is in flight", func() bool { return h.endpoints[1].count() == 1 })
	c.Close()
	if !<-ended {
		t.Error("the attempt went on")
	}
	h.eventually("nothing is in flight", func() bool { n := h.proxy.Stats(); return n.Abandoned == 1 && n.InFlight == 0 && n.ClientConns == 0 })
}

func TestBadClients(t *testing.T) {
	h := newHarness(t, func(s *config.Router) {
		s.Clients.HeadBytes, s.Clients.BodyBytes, s.Clients.ReadTimeoutSeconds = 2048, 1000, 0.4
	})
	endpoint := h.addEndpoint(1, 1, answerPath)
	for _, x := range []struct{ name, text, want string }{
		{"no HTTP", "hello\r\n\r\n", "400"},
		{"bad header", "GET /chute/1 HTTP/1.1\r\nHost x\r\n\r\n", "400"},
		{"two lengths", "POST /seal/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"},
		{"bad chunk", "POST /seal/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", "400"},
		{"other host", "GET http://elsewhere/chute/1 HTTP/1.1\r\nHost: x\r\n\r\n", "400"},
		{"unknown path", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		{"unknown method", "DELETE /chute/1 HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		{"no idempotency key", "POST /divert/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "400"},
		{"bad time", "GET /chute/1 HTTP/1.1\r\nHost: x\r\nFlint-Time: soon\r\n\r\n", "400"},
		{"no time", "GET /chute/1 HTTP/1.1\r\nHost: x\r\nFlint-Time: 0.001\r\n\r\n", "503"},
		{"bad receipt", "POST /.flint/wrong HTTP/1.1\r\nHost: x\r\nFlint-Receipt: x\r\n\r\n", "400"},
		{"large head", "GET /chute/1 HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 9000) + "\r\n\r\n", "431"},
		{"large body", "POST /seal/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", "413"},
		{"large chunked body", "POST /seal/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("a", 2000) + "\r\n0\r\n\r\n", "413"},
		{"half a request", "GET /chute/1 HTTP/1.1\r\nHo", "408"},
		{"half a body", "POST /seal/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf", "408"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := h.dial()
			writeText(c, x.text)
			if got := c.readAnswer(); !strings.HasPrefix(got, x.want) {
				t.Errorf("%s, want %s", got, x.want)
			}
		})
	}
	// A client that stalls in the middle of a head, and one that disconnects there, affect no other client.
	c := h.dial()
	c.send("GET /chute/1 HTTP/1.1\r\nHost: x\r\nA: ")
	h.dial().send(nonIdempotentRequest[:20])
	if endpoint.count() != 0 {
		t.Errorf("an endpoint saw %s", endpoint.allRequests())
	}
	h.wantEqual("meanwhile", h.roundTrip(idempotentRequest), "200 acked: /chute/7")
	h.eventually("all in flight is answered", func() bool { return h.proxy.Stats().InFlight == 0 })
}

func TestEndpointDrainsWhileRequestWaits(t *testing.T) {
	h := newHarness(t, nil)
	one := h.addEndpoint(1, 1, answerPath)
	h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: one.listener.Addr().String(), State: "draining", Build: 1})
	got := make(chan string)
	go func() { got <- h.roundTrip(idempotentRequest) }()
	h.eventually("it is in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
	two := h.addEndpoint(2, 1, answerPath)
	h.wantEqual("held request", <-got, "200 acked: /chute/7")
	h.updateEndpoints(true, goneEndpoint(2))
	h.wantEqual("no endpoint", h.roundTrip(idempotentRequest), rejectedText)
	if one.count() != 0 || two.count() != 1 {
		t.Errorf("draining endpoint saw %v, the other %v", one.allRequests(), two.allRequests())
	}
	h.eventually("the connections to endpoints that left are closed", func() bool { n := h.proxy.Stats(); return n.EndpointConns == 0 && n.Endpoints == 0 })
}

// Before any release update, the proxy keeps the canary traffic limit of the first stage.
func TestCanaryLimitBeforeReleaseUpdate(t *testing.T) {
	h := newHarness(t, nil)
	h.addEndpoint(1, 1, answerPath)
	canary := h.addEndpoint(2, 2, answerPath)
	c := h.dial()
	for i := range 200 {
		c.send(idempotentRequest)
		if got := c.readAnswer(); got != "200 acked: /chute/7" {
			t.Fatal(got)
		}
		if most := 2 + 0.15*float64(i+1); float64(canary.count()) > most {
			t.Fatalf("%d canary attempts of %d requests", canary.count(), i+1)
		}
	}
	if canary.count() == 0 {
		t.Error("the canary build got nothing")
	}
	before := canary.count()
	h.proxy.ApplyRelease(2, 1, policy.PhaseRollingBack, 0, 0)
	for range 50 {
		c.send(idempotentRequest)
		c.readAnswer()
	}
	if canary.count() != before {
		t.Errorf("%d attempts at cap 0", canary.count()-before)
	}
}

// A client that does not read its answer blocks no other client, not even on the same endpoint connection.
func TestSlowReader(t *testing.T) {
	big := strings.Repeat("x", 4000000)
	h := newHarness(t, func(s *config.Router) { s.Endpoints.MaxConnsPerEndpoint, s.Clients.ReadTimeoutSeconds = 1, 0.5 })
	h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for {
			req, ok := endpoint.readRequest(br)
			if !ok {
				return
			}
			body := "ok"
			if strings.Contains(req.RequestURI, "big") {
				body = big
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	slow := h.dial()
	setReadBuffer(slow.Conn, 4096)
	for range 8 { // pipelined: more than the kernel buffers
		writeText(slow, "GET /chute/big HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	h.eventually("its first answer is there", func() bool { return h.proxy.Stats().Succeeded >= 1 })
	for range 10 {
		h.wantEqual("another client", h.roundTrip(idempotentRequest), "200 acked: ok")
	}
	h.eventually("the slow reader is cut off", func() bool { return h.proxy.Stats().ClientConns <= 10 && h.proxy.Stats().InFlight == 0 })
}

// Drain waits for every request in flight to be answered, and closes idle connections.
func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		endpoint.readRequest(br)
		time.Sleep(150 * time.Millisecond)
		writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	idle := h.dial()
	got := make(chan string)
	go func() { got <- h.roundTrip(idempotentRequest) }()
	h.eventually("it is in flight", func() bool { return h.proxy.Stats().InFlight == 1 && h.proxy.Stats().ClientConns == 2 })
	h.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.proxy.Drain(ctx); err != nil {
		t.Error(err)
	}
	h.wantEqual("in flight", <-got, "200 acked: ok")
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Error("an idle connection:", err)
	}
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}

func TestTooManyConnections(t *testing.T) {
	h := newHarness(t, func(s *config.Router) { s.Clients.MaxConns = 2 })
	h.addEndpoint(1, 1, answerPath)
	a, b := h.dial(), h.dial()
	h.eventually("both are taken", func() bool { return h.proxy.Stats().ClientConns == 2 })
	h.wantEqual("third", h.dial().readAnswer(), "503 nacked: too many connections")
	a.Close()
	h.eventually("one is given back", func() bool { return h.proxy.Stats().ClientConns == 1 })
	h.wantEqual("fourth", h.roundTrip(idempotentRequest), "200 acked: /chute/7")
	b.send(idempotentRequest)
	h.wantEqual("second", b.readAnswer(), "200 acked: /chute/7")
}

// An endpoint that does not read blocks neither the timer nor other requests.
func TestEndpointThatDoesNotRead(t *testing.T) {
	h := newHarness(t, func(s *config.Router) { s.Clients.BodyBytes = 16 << 20 })
	over := make(chan struct{})
	defer close(over)
	h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		setReadBuffer(c, 4096)
		<-over // it does not read as long as the test lasts
	})
	c := h.dial()
	fmt.Fprintf(c, "POST /seal/1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 16<<20)
	writeText(c, strings.Repeat("x", 16<<20))
	h.wantEqual("answer", c.readAnswer(), timedOutText)
	h.eventually("nothing is left", func() bool { n := h.proxy.Stats(); return n.InFlight == 0 && n.EndpointConns == 0 })
}

// TestCloseDuringAdmission guards against a connection that is admitted after Close, which would never be closed.
func TestCloseDuringAdmission(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h := newHarness(t, nil)
	closed := NewHTTP(h.proxy.settings, 1, discardLogger(), func(releases.Vote) {})
	closed.Close()
	closed.startClient(accepted) // as a Serve that was admitting the connection does
	if err := client.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, client); err != nil {
		t.Error("the connection is still open:", err)
	}
	if stats := closed.Stats(); stats.ClientConns != 0 || stats.ClientsRefused != 1 {
		t.Errorf("%d connections, %d refused", stats.ClientConns, stats.ClientsRefused)
	}
}
