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
	nack  = "503 nacked: not done; trying again does no harm"
	fail  = "502 failed: failed; it may have been done"
	late  = "504 failed: failed; it may have been done"
	timed = "Flint-Time: 0.3\r\n"
)

func gone(u *hall, id uint32) endpoints.Endpoint { return endpoints.Endpoint{ID: id, State: "gone"} }

func TestOrdinaryPath(t *testing.T) {
	h := newHall(t, nil)
	u := h.serve(1, 1, good)
	c := h.dial()
	for _, head := range []string{lookup, divert, seal} {
		c.send(head)
		got := c.answer()
		if !strings.HasPrefix(got, "200 acked: /") {
			t.Errorf("%s: %s", head, got)
		}
	}
	// Two in one write are answered in order.
	io.WriteString(c, "GET /chute/a HTTP/1.1\r\nHost: x\r\n\r\nGET /chute/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	h.want("first of two", c.answer(), "200 acked: /chute/a")
	h.want("second of two", c.answer(), "200 acked: /chute/b")
	if _, err := c.br.ReadByte(); err != io.EOF {
		t.Error("not closed after Connection: close:", err)
	}
	if n := h.r.Stats(); n.Dials != 1 || n.Succeeded != 5 || u.count() != 5 {
		t.Errorf("%+v", n)
	}
}

// What may be sent again after each way a delivery can end: the first unit ends it so, the second is well. The command
// is sent until the first unit has had one.
func TestAfterEachEnd(t *testing.T) {
	cut := func(u *unitScript, c net.Conn, br *bufio.Reader) { u.read(br) } // closes the connection unanswered
	half := func(u *unitScript, c net.Conn, br *bufio.Reader) {
		u.read(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	}
	reset := func(u *unitScript, c net.Conn, br *bufio.Reader) {
		u.read(br)
		c.(*net.TCPConn).SetLinger(0)
	}
	ends := []struct {
		name               string
		play               func(*unitScript, net.Conn, *bufio.Reader)
		lookup, divert, to string // to: at-most-once
	}{
		{"error", always("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), "acked", "acked", "failed"},
		{"503 that may have run", always("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), "acked", "acked", "failed"},
		{"503 that never ran", always("HTTP/1.1 503 No\r\nFlint-Never-Ran: full\r\nContent-Length: 0\r\n\r\n"), "acked", "acked", "acked"},
		{"closed unanswered", cut, "acked", "acked", "failed"},
		{"reset", reset, "acked", "acked", "failed"},
		{"half an answer", half, "acked", "acked", "failed"},
		{"no HTTP", always("hello\r\n\r\n"), "acked", "acked", "failed"},
		{"too large", always("HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("x", 6000)), "acked", "acked", "failed"},
		{"switches protocols", always("HTTP/1.1 101 Now\r\n\r\n"), "acked", "acked", "failed"},
	}
	for _, e := range ends {
		for i, head := range []string{lookup, divert, seal} {
			want := []string{e.lookup, e.divert, e.to}[i]
			t.Run(e.name+", "+strings.Fields(head)[1], func(t *testing.T) {
				t.Parallel()
				h := newHall(t, func(s *config.Router) { s.Endpoints.AnswerBytes = 4096 })
				bad := h.serve(1, 1, e.play)
				well := h.serve(2, 1, good)
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
	h := newHall(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	h.list(false, endpoints.Endpoint{ID: 1, Addr: addr, State: "ready", Build: 1})
	h.serve(2, 1, good)
	for range 20 {
		h.want("at-most-once", h.ask(seal), "200 acked: /seal/7")
	}
	if n := h.r.Stats(); n.Outcomes[policy.NotConnected] == 0 {
		t.Errorf("the closed port was never tried: %+v", n)
	}
}

// A unit closes its idle connections. Seen before the next command, that costs nothing; on the next command's heels it
// may have run.
func TestIdleConnectionClosed(t *testing.T) {
	h := newHall(t, nil)
	u := h.serve(1, 1, func(u *unitScript, c net.Conn, br *bufio.Reader) {
		u.read(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for range 5 {
		h.want("after an idle close", h.ask(seal), "200 acked: ok")
		h.soon("the closed connection is dropped", func() bool { return h.r.Stats().EndpointConns == 0 })
	}
	u.l.Close()
	// The unit resets a pooled connection after it has read the next command's first bytes.
	h = newHall(t, nil)
	first := true
	u = h.serve(1, 1, func(u *unitScript, c net.Conn, br *bufio.Reader) {
		u.read(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if first {
			first = false
			u.read(br)
			c.(*net.TCPConn).SetLinger(0)
		}
	})
	c := h.dial()
	c.send(seal)
	h.want("first", c.answer(), "200 acked: ok")
	c.send(seal)
	h.want("reset on a reused connection", c.answer(), fail)
	if u.count() != 2 {
		t.Errorf("%d deliveries", u.count())
	}
}

// A delivery that was dropped before its first byte never leaves, whoever is about to write it.
func TestDroppedDeliveryIsNotWritten(t *testing.T) {
	h := newHall(t, nil)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	sock := newSocket(a)
	uc := &unitConn{pool: &pool{}}
	uc.sock.Store(&sock)
	d := &delivery{cmd: &command{req: &request{head: []byte("GET / HTTP/1.1\r\n")}}, sentBy: uc}
	if !d.drop() || d.begin() {
		t.Fatal("a dropped delivery began")
	}
	h.r.send(d)
	b.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, _ := b.Read(make([]byte, 1)); n != 0 {
		t.Error("a dropped delivery was written")
	}
	d = &delivery{}
	if !d.begin() || d.drop() {
		t.Error("a delivery that began counts as never run")
	}
}

// A silent unit: one answer in time, none after it though the unit answers late, and no second delivery of what must not
// run twice.
func TestLateUnit(t *testing.T) {
	h := newHall(t, nil)
	u := h.serve(1, 1, func(u *unitScript, c net.Conn, br *bufio.Reader) {
		u.read(br)
		time.Sleep(600 * time.Millisecond)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for head, want := range map[string]string{seal: late, divert: nack, lookup: nack} {
		c := h.dial()
		from := time.Now()
		c.send(head + timed)
		h.want(head, c.answer(), want)
		if took := time.Since(from); took > 300*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		if b, err := c.br.ReadByte(); err == nil {
			t.Errorf("a second answer began with %q", b)
		}
	}
	if n := strings.Count(u.all(), "seal"); n != 1 {
		t.Errorf("the at-most-once command was delivered %d times", n)
	}
}

// Two deliveries may both answer; the client gets one answer.
func TestTwoAnswers(t *testing.T) {
	h := newHall(t, nil)
	slow := func(u *unitScript, c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			if _, ok := u.read(br); !ok {
				return
			}
			if u.count() > 30 {
				time.Sleep(80 * time.Millisecond)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", u.id)
		}
	}
	h.serve(1, 1, slow)
	h.serve(2, 1, slow)
	c := h.dial()
	for range 100 {
		c.send(lookup)
		if got := c.answer(); !strings.HasPrefix(got, "200 acked") {
			t.Fatal(got)
		}
	}
	n := h.r.Stats()
	if n.Attempts <= n.Received || n.Succeeded != 100 {
		t.Errorf("no command had two deliveries: %+v", n)
	}
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if b, err := c.br.ReadByte(); err == nil {
		t.Errorf("one answer too many, from %q", b)
	}
}

func TestClientLeaves(t *testing.T) {
	h := newHall(t, nil)
	ended := make(chan bool, 1)
	h.serve(1, 1, func(u *unitScript, c net.Conn, br *bufio.Reader) {
		u.read(br)
		_, ok := u.read(br) // until the relay closes
		ended <- !ok
	})
	c := h.dial()
	c.send(lookup)
	h.soon("the delivery is out", func() bool { return h.unit[1].count() == 1 })
	c.Close()
	if !<-ended {
		t.Error("the delivery went on")
	}
	h.soon("nothing is in hand", func() bool { n := h.r.Stats(); return n.Abandoned == 1 && n.InFlight == 0 && n.ClientConns == 0 })
}

func TestBadClients(t *testing.T) {
	h := newHall(t, func(s *config.Router) {
		s.Clients.HeadBytes, s.Clients.BodyBytes, s.Clients.ReadTime = 2048, 1000, 0.4
	})
	u := h.serve(1, 1, good)
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
			if got := c.answer(); !strings.HasPrefix(got, x.want) {
				t.Errorf("%s, want %s", got, x.want)
			}
		})
	}
	// One that sends a byte now and then is cut off, and one that leaves in the middle costs nothing.
	c := h.dial()
	c.send("GET /chute/1 HTTP/1.1\r\nHost: x\r\nA: ")
	h.dial().send(seal[:20])
	if u.count() != 0 {
		t.Errorf("a unit saw %s", u.all())
	}
	h.want("meanwhile", h.ask(lookup), "200 acked: /chute/7")
	h.soon("all in hand is answered", func() bool { return h.r.Stats().InFlight == 0 })
}

func TestDrainWhileACommandWaits(t *testing.T) {
	h := newHall(t, nil)
	one := h.serve(1, 1, good)
	h.list(false, endpoints.Endpoint{ID: 1, Addr: one.l.Addr().String(), State: "draining", Build: 1})
	got := make(chan string)
	go func() { got <- h.ask(lookup) }()
	h.soon("it is in hand", func() bool { return h.r.Stats().InFlight == 1 })
	two := h.serve(2, 1, good)
	h.want("held command", <-got, "200 acked: /chute/7")
	h.list(true, gone(h, 2))
	h.want("no unit", h.ask(lookup), nack)
	if one.count() != 0 || two.count() != 1 {
		t.Errorf("draining unit saw %v, the other %v", one.all(), two.all())
	}
	h.soon("the connections to units that left are closed", func() bool { n := h.r.Stats(); return n.EndpointConns == 0 && n.Endpoints == 0 })
}

// Started anew in a first stage, before any news, the relay keeps that stage's cap.
func TestCapBeforeNews(t *testing.T) {
	h := newHall(t, nil)
	h.serve(1, 1, good)
	trial := h.serve(2, 2, good)
	c := h.dial()
	for i := range 200 {
		c.send(lookup)
		if got := c.answer(); got != "200 acked: /chute/7" {
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
	h.r.ApplyRelease(2, 1, policy.PhaseRollingBack, 0, 0)
	for range 50 {
		c.send(lookup)
		c.answer()
	}
	if trial.count() != before {
		t.Errorf("%d deliveries at cap 0", trial.count()-before)
	}
}

// A client that does not read its answer holds up nobody else, also not on its unit connection.
func TestSlowReader(t *testing.T) {
	big := strings.Repeat("x", 4000000)
	h := newHall(t, func(s *config.Router) { s.Endpoints.Connections, s.Clients.ReadTime = 1, 0.5 })
	h.serve(1, 1, func(u *unitScript, c net.Conn, br *bufio.Reader) {
		for {
			req, ok := u.read(br)
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
	h.soon("its first answer is there", func() bool { return h.r.Stats().Succeeded >= 1 })
	for range 10 {
		h.want("another client", h.ask(lookup), "200 acked: ok")
	}
	h.soon("the slow reader is cut off", func() bool { return h.r.Stats().ClientConns <= 10 && h.r.Stats().InFlight == 0 })
}

// A drain gives everything in hand its answer and takes nothing new.
func TestDrain(t *testing.T) {
	h := newHall(t, nil)
	h.serve(1, 1, func(u *unitScript, c net.Conn, br *bufio.Reader) {
		u.read(br)
		time.Sleep(150 * time.Millisecond)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	idle := h.dial()
	got := make(chan string)
	go func() { got <- h.ask(lookup) }()
	h.soon("it is in hand", func() bool { return h.r.Stats().InFlight == 1 && h.r.Stats().ClientConns == 2 })
	h.l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.r.Drain(ctx); err != nil {
		t.Error(err)
	}
	h.want("in hand", <-got, "200 acked: ok")
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Error("an idle connection:", err)
	}
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}

func TestTooManyConnections(t *testing.T) {
	h := newHall(t, func(s *config.Router) { s.Clients.Connections = 2 })
	h.serve(1, 1, good)
	a, b := h.dial(), h.dial()
	h.soon("both are taken", func() bool { return h.r.Stats().ClientConns == 2 })
	h.want("third", h.dial().answer(), "503 nacked: too many connections")
	a.Close()
	h.soon("one is given back", func() bool { return h.r.Stats().ClientConns == 1 })
	h.want("fourth", h.ask(lookup), "200 acked: /chute/7")
	b.send(lookup)
	h.want("second", b.answer(), "200 acked: /chute/7")
}

// A unit that closes its receive window costs the timer and other commands nothing.
func TestUnitThatDoesNotRead(t *testing.T) {
	h := newHall(t, func(s *config.Router) { s.Clients.BodyBytes = 16 << 20 })
	over := make(chan struct{})
	defer close(over)
	h.serve(1, 1, func(u *unitScript, c net.Conn, br *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(4096)
		<-over // it does not read as long as the test lasts
	})
	c := h.dial()
	fmt.Fprintf(c, "POST /seal/1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 16<<20)
	io.WriteString(c, strings.Repeat("x", 16<<20))
	h.want("answer", c.answer(), late)
	h.soon("nothing is left", func() bool { n := h.r.Stats(); return n.InFlight == 0 && n.EndpointConns == 0 })
}
