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
)

const (
	rejectedText = "503 nacked: not done; trying again does no harm"
	failedText   = "502 failed: failed; it may have been done"
	timedOutText = "504 failed: failed; it may have been done"
	shortTimeout = "Flint-Time: 0.3\r\n"
)

func goneEndpoint(u *harness, id uint32) endpoints.Endpoint {
	return endpoints.Endpoint{ID: id, State: "gone"}
}

func TestOrdinaryPath(t *testing.T) {
	h := newHarness(t, nil)
	u := h.addEndpoint(1, 1, answerPath)
	c := h.dial()
	for _, head := range []string{idempotentRequest, keyedRequest, nonIdempotentRequest} {
		c.send(head)
		got := c.readAnswer()
		if !strings.HasPrefix(got, "200 acked: /") {
			t.Errorf("%s: %s", head, got)
		}
	}
	// Two in one write are answered in order.
	io.WriteString(c, "GET /chute/a HTTP/1.1\r\nHost: x\r\n\r\nGET /chute/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	h.wantEqual("first of two", c.readAnswer(), "200 acked: /chute/a")
	h.wantEqual("second of two", c.readAnswer(), "200 acked: /chute/b")
	if _, err := c.br.ReadByte(); err != io.EOF {
		t.Error("not closed after Connection: close:", err)
	}
	if n := h.proxy.Stats(); n.Dials != 1 || n.Succeeded != 5 || u.count() != 5 {
		t.Errorf("%+v", n)
	}
}

// What may be sent again after each way a delivery can end: the first unit ends it so, the second is well. The command
// is sent until the first unit has had one.
func TestAfterEachEnd(t *testing.T) {
	cut := func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) { u.readRequest(br) } // closes the connection unanswered
	half := func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		u.readRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	}
	reset := func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		u.readRequest(br)
		c.(*net.TCPConn).SetLinger(0)
	}
	ends := []struct {
		name               string
		play               func(*scriptedEndpoint, net.Conn, *bufio.Reader)
		lookup, divert, to string // to: at-most-once
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
				h := newHarness(t, func(s *config.Router) { s.Endpoints.AnswerBytes = 4096 })
				bad := h.addEndpoint(1, 1, e.play)
				well := h.addEndpoint(2, 1, answerPath)
				for try := 0; bad.count() == 0 && try < 200; try++ {
					before := bad.count() + well.count()
					got := h.ask(head)
					if bad.count() == 0 {
						continue
					}
					if !strings.Contains(got, " "+want) {
						t.Errorf("%s, want %s", got, want)
					}
					if n := bad.count() + well.count() - before; want == "failed" && n != 1 {
						t.Errorf("%d deliveries of an at-most-once command", n)
					}
				}
				if bad.count() == 0 {
					t.Error("the unit was never met")
				}
			})
		}
	}
}

// A connection that was never made proves that nothing ran.
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
		h.wantEqual("at-most-once", h.ask(nonIdempotentRequest), "200 acked: /seal/7")
	}
	if n := h.proxy.Stats(); n.Outcomes[policy.NotConnected] == 0 {
		t.Errorf("the closed port was never tried: %+v", n)
	}
}

// A unit closes its idle connections. Seen before the next command, that costs nothing; on the next command's heels it
// may have run.
func TestIdleConnectionClosed(t *testing.T) {
	h := newHarness(t, nil)
	u := h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		u.readRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for range 5 {
		h.wantEqual("after an idle close", h.ask(nonIdempotentRequest), "200 acked: ok")
		h.eventually("the closed connection is dropped", func() bool { return h.proxy.Stats().EndpointConns == 0 })
	}
	u.listener.Close()
	// The unit resets a pooled connection after it has read the next command's first bytes.
	h = newHarness(t, nil)
	first := true
	u = h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		u.readRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if first {
			first = false
			u.readRequest(br)
			c.(*net.TCPConn).SetLinger(0)
		}
	})
	c := h.dial()
	c.send(nonIdempotentRequest)
	h.wantEqual("first", c.readAnswer(), "200 acked: ok")
	c.send(nonIdempotentRequest)
	h.wantEqual("reset on a reused connection", c.readAnswer(), failedText)
	if u.count() != 2 {
		t.Errorf("%d deliveries", u.count())
	}
}

// A delivery that was dropped before its first byte never leaves, whoever is about to write it.
func TestDroppedDeliveryIsNotWritten(t *testing.T) {
	h := newHarness(t, nil)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	sock := newSocket(a)
	uc := &endpointConn{pool: &endpointPool{}}
	uc.socket.Store(&sock)
	d := &attempt{request: &request{message: &message{head: []byte("GET / HTTP/1.1\r\n")}}, assignedConn: uc}
	if !d.drop() || d.claimWrite() {
		t.Fatal("a dropped delivery began")
	}
	h.proxy.writeAttempt(d)
	b.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, _ := b.Read(make([]byte, 1)); n != 0 {
		t.Error("a dropped delivery was written")
	}
	d = &attempt{}
	if !d.claimWrite() || d.drop() {
		t.Error("a delivery that began counts as never run")
	}
}

// A silent unit: one answer in time, none after it though the unit answers late, and no second delivery of what must not
// run twice.
func TestLateUnit(t *testing.T) {
	h := newHarness(t, nil)
	u := h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		u.readRequest(br)
		time.Sleep(600 * time.Millisecond)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
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
	if n := strings.Count(u.allRequests(), "seal"); n != 1 {
		t.Errorf("the at-most-once command was delivered %d times", n)
	}
}

// Two deliveries may both answer; the client gets one answer.
func TestTwoAnswers(t *testing.T) {
	h := newHarness(t, nil)
	slow := func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			if _, ok := u.readRequest(br); !ok {
				return
			}
			if u.count() > 30 {
				time.Sleep(80 * time.Millisecond)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", u.id)
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
		t.Errorf("no command had two deliveries: %+v", n)
	}
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if b, err := c.br.ReadByte(); err == nil {
		t.Errorf("one answer too many, from %q", b)
	}
}

func TestClientLeaves(t *testing.T) {
	h := newHarness(t, nil)
	ended := make(chan bool, 1)
	h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		u.readRequest(br)
		_, ok := u.readRequest(br) // until the relay closes
		ended <- !ok
	})
	c := h.dial()
	c.send(idempotentRequest)
	h.eventually("the delivery is out", func() bool { return h.endpoints[1].count() == 1 })
	c.Close()
	if !<-ended {
		t.Error("the delivery went on")
	}
	h.eventually("nothing is in hand", func() bool { n := h.proxy.Stats(); return n.Abandoned == 1 && n.InFlight == 0 && n.ClientConns == 0 })
}

func TestBadClients(t *testing.T) {
	h := newHarness(t, func(s *config.Router) {
		s.Clients.HeadBytes, s.Clients.BodyBytes, s.Clients.ReadTime = 2048, 1000, 0.4
	})
	u := h.addEndpoint(1, 1, answerPath)
	for _, x := range []struct{ name, text, want string }{
		{"no HTTP", "hello\r\n\r\n", "400"},
		{"bad header", "GET /chute/1 HTTP/1.1\r\nHost x\r\n\r\n", "400"},
		{"two lengths", "POST /seal/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"},
		{"bad chunk", "POST /seal/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", "400"},
		{"other host", "GET http://elsewhere/chute/1 HTTP/1.1\r\nHost: x\r\n\r\n", "400"},
		{"unknown path", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		{"unknown method", "DELETE /chute/1 HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		{"no mark", "POST /divert/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "400"},
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
			io.WriteString(c, x.text)
			if got := c.readAnswer(); !strings.HasPrefix(got, x.want) {
				t.Errorf("%s, want %s", got, x.want)
			}
		})
	}
	// One that sends a byte now and then is cut off, and one that leaves in the middle costs nothing.
	c := h.dial()
	c.send("GET /chute/1 HTTP/1.1\r\nHost: x\r\nA: ")
	h.dial().send(nonIdempotentRequest[:20])
	if u.count() != 0 {
		t.Errorf("a unit saw %s", u.allRequests())
	}
	h.wantEqual("meanwhile", h.ask(idempotentRequest), "200 acked: /chute/7")
	h.eventually("all in hand is answered", func() bool { return h.proxy.Stats().InFlight == 0 })
}

func TestDrainWhileACommandWaits(t *testing.T) {
	h := newHarness(t, nil)
	one := h.addEndpoint(1, 1, answerPath)
	h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: one.listener.Addr().String(), State: "draining", Build: 1})
	got := make(chan string)
	go func() { got <- h.ask(idempotentRequest) }()
	h.eventually("it is in hand", func() bool { return h.proxy.Stats().InFlight == 1 })
	two := h.addEndpoint(2, 1, answerPath)
	h.wantEqual("held command", <-got, "200 acked: /chute/7")
	h.updateEndpoints(true, goneEndpoint(h, 2))
	h.wantEqual("no unit", h.ask(idempotentRequest), rejectedText)
	if one.count() != 0 || two.count() != 1 {
		t.Errorf("draining unit saw %v, the other %v", one.allRequests(), two.allRequests())
	}
	h.eventually("the connections to units that left are closed", func() bool { n := h.proxy.Stats(); return n.EndpointConns == 0 && n.Endpoints == 0 })
}

// Started anew in a first stage, before any news, the relay keeps that stage's cap.
func TestCapBeforeNews(t *testing.T) {
	h := newHarness(t, nil)
	h.addEndpoint(1, 1, answerPath)
	trial := h.addEndpoint(2, 2, answerPath)
	c := h.dial()
	for i := range 200 {
		c.send(idempotentRequest)
		if got := c.readAnswer(); got != "200 acked: /chute/7" {
			t.Fatal(got)
		}
		if most := 2 + 0.15*float64(i+1); float64(trial.count()) > most {
			t.Fatalf("%d trial deliveries of %d commands", trial.count(), i+1)
		}
	}
	if trial.count() == 0 {
		t.Error("the trial build got nothing")
	}
	before := trial.count()
	h.proxy.ApplyRelease(2, 1, policy.PhaseRollingBack, 0, 0)
	for range 50 {
		c.send(idempotentRequest)
		c.readAnswer()
	}
	if trial.count() != before {
		t.Errorf("%d deliveries at cap 0", trial.count()-before)
	}
}

// A client that does not read its answer holds up nobody else, also not on its unit connection.
func TestSlowReader(t *testing.T) {
	big := strings.Repeat("x", 4000000)
	h := newHarness(t, func(s *config.Router) { s.Endpoints.Connections, s.Clients.ReadTime = 1, 0.5 })
	h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for {
			req, ok := u.readRequest(br)
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
	slow.Conn.(*net.TCPConn).SetReadBuffer(4096)
	for range 8 { // pipelined: more than the kernel buffers
		io.WriteString(slow, "GET /chute/big HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	h.eventually("its first answer is there", func() bool { return h.proxy.Stats().Succeeded >= 1 })
	for range 10 {
		h.wantEqual("another client", h.ask(idempotentRequest), "200 acked: ok")
	}
	h.eventually("the slow reader is cut off", func() bool { return h.proxy.Stats().ClientConns <= 10 && h.proxy.Stats().InFlight == 0 })
}

// A drain gives everything in hand its answer and takes nothing new.
func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		u.readRequest(br)
		time.Sleep(150 * time.Millisecond)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	idle := h.dial()
	got := make(chan string)
	go func() { got <- h.ask(idempotentRequest) }()
	h.eventually("it is in hand", func() bool { return h.proxy.Stats().InFlight == 1 && h.proxy.Stats().ClientConns == 2 })
	h.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.proxy.Drain(ctx); err != nil {
		t.Error(err)
	}
	h.wantEqual("in hand", <-got, "200 acked: ok")
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Error("an idle connection:", err)
	}
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}

func TestTooManyConnections(t *testing.T) {
	h := newHarness(t, func(s *config.Router) { s.Clients.Connections = 2 })
	h.addEndpoint(1, 1, answerPath)
	a, b := h.dial(), h.dial()
	h.eventually("both are taken", func() bool { return h.proxy.Stats().ClientConns == 2 })
	h.wantEqual("third", h.dial().readAnswer(), "503 nacked: too many connections")
	a.Close()
	h.eventually("one is given back", func() bool { return h.proxy.Stats().ClientConns == 1 })
	h.wantEqual("fourth", h.ask(idempotentRequest), "200 acked: /chute/7")
	b.send(idempotentRequest)
	h.wantEqual("second", b.readAnswer(), "200 acked: /chute/7")
}

// A unit that closes its receive window costs the timer and other commands nothing.
func TestUnitThatDoesNotRead(t *testing.T) {
	h := newHarness(t, func(s *config.Router) { s.Clients.BodyBytes = 16 << 20 })
	over := make(chan struct{})
	defer close(over)
	h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(4096)
		<-over // it does not read as long as the test lasts
	})
	c := h.dial()
	fmt.Fprintf(c, "POST /seal/1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 16<<20)
	io.WriteString(c, strings.Repeat("x", 16<<20))
	h.wantEqual("answer", c.readAnswer(), timedOutText)
	h.eventually("nothing is left", func() bool { n := h.proxy.Stats(); return n.InFlight == 0 && n.EndpointConns == 0 })
}
