package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
)

// The instants in which something is still owed. Each is forced by the order of events: a unit or a client holds its next byte until the
// other end is where the test wants it.

// allowLongRequests gives every op type so much time that no end of a test comes from it.
func allowLongRequests(t *policy.Config) {
	for i := range t.Classes {
		t.Classes[i].TimeoutSeconds, t.Classes[i].LatencyObjectiveSeconds, t.Classes[i].DedupWindowSeconds = 60, 60, 100
	}
}

// newLongCommand words a command whose client waits for a minute.
func newLongCommand(c string) (text, id string) { return newCommandWithTimeout(c, 60_000) }

// answerIDWhenOpen is a unit that answers a delivery only once the gate is open.
func answerIDWhenOpen(gate chan struct{}) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for w, ok := u.readCommand(br); ok; w, ok = u.readCommand(br) {
			<-gate
			io.WriteString(c, valueReply(w[2]))
		}
	}
}

// unacceptingEndpoint is a unit whose connections do not come up until the test lets them: what its kernel holds for it is full.
type unacceptingEndpoint struct {
	*scriptedEndpoint
	fd   int
	addr string
	fill []net.Conn
}

func newUnacceptingEndpoint(t *testing.T) *unacceptingEndpoint {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	u := &unacceptingEndpoint{scriptedEndpoint: &scriptedEndpoint{}, fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)}
	for { // until one more does not come up
		c, err := net.DialTimeout("tcp", u.addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		u.fill = append(u.fill, c)
	}
	t.Cleanup(func() {
		for _, c := range u.fill {
			c.Close()
		}
		syscall.Close(fd)
	})
	return u
}

// acceptAndRead accepts what has come up and gives the first connection that is not one of those that filled the place, or what ended the wait.
func (u *unacceptingEndpoint) acceptAndRead(t *testing.T) (said string) {
	own := map[int]bool{}
	for _, c := range u.fill {
		own[c.LocalAddr().(*net.TCPAddr).Port] = true
	}
	for {
		fd, from, err := syscall.Accept(u.fd)
		if err != nil {
			t.Fatal(err)
		}
		if own[from.(*syscall.SockaddrInet4).Port] {
			syscall.Close(fd)
			continue
		}
		var buf [512]byte
		n, err := syscall.Read(fd, buf[:])
		syscall.Close(fd)
		if err != nil {
			return err.Error()
		}
		return string(buf[:max(0, n)])
	}
}

// A stop answers what is in hand in time, however long its client would wait: the process is about to be killed.
func TestOwedAtStop(t *testing.T) {
	for class, want := range map[string]string{"lookup": "-BUSY 1500", "order": "-BUSY 1500", "seal": "-ERR failed; it may have been done"} {
		h := newRESPHarnessWith(t, allowLongRequests, nil)
		gate := make(chan struct{})
		defer close(gate)
		h.addEndpoint(1, 1, answerIDWhenOpen(gate))
		text, _ := newLongCommand(class)
		c := h.dial()
		io.WriteString(c, text)
		h.eventually("in hand", func() bool { return h.proxy.Stats().Attempts == 1 })
		h.proxy.SetAnswerDeadline(h.proxy.Now() + 0.2)
		h.wantEqual(class, c.readLine(), want)
	}
}

// What has come in part when the relay stops is answered, not cut; the rest of it may still come.
func TestOwedPieceAtStop(t *testing.T) {
	for _, whole := range []bool{true, false} {
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Clients.ReadTime = 60 })
		h.addEndpoint(1, 1, answerID)
		c := h.dial()
		c.wantServed("lookup")
		text, id := newCommand("seal")
		io.WriteString(c, text[:20])
		h.eventually("it has begun", func() bool { return h.anyClient(func(cl *clientConn) bool { return cl.reading }) })
		h.proxy.SetAnswerDeadline(h.proxy.Now() + 0.3)
		h.proxy.StopServing()
		if whole {
			io.WriteString(c, text[20:])
			h.wantEqual("the whole", c.readLine(), "v"+id)
		} else {
			h.wantEqual("the part", c.readLine(), "-ERR the command did not come whole in time")
		}
		h.wantEqual("and then", c.readLine(), "closed")
	}
}

// anyClient tells whether some client's connection is as said.
func (h *harness) anyClient(is func(*clientConn) bool) bool {
	h.proxy.mu.Lock()
	defer h.proxy.mu.Unlock()
	for cl := range h.proxy.clients {
		if is(cl) {
			return true
		}
	}
	return false
}

// A connection that comes during a stop is not ended before its first command, which others could not know to send elsewhere.
func TestOwedNewcomerAtStop(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerID)
	h.proxy.StopServing()
	c := h.dial()
	h.eventually("its reader waits", func() bool {
		return h.anyClient(func(cl *clientConn) bool {
			cl.waiter.mu.Lock()
			defer cl.waiter.mu.Unlock()
			return cl.waiter.waiting
		})
	})
	c.wantServed("seal")
	h.wantEqual("and then", c.readLine(), "closed")
}

// A client that goes is seen to go at any time: nothing of its commands begins afterwards.
func TestGoneClient(t *testing.T) {
	cases := []struct {
		name string
		edit func(*config.Router)
		play func(h *harness, c *testClient)
	}{
		{"while so much is owed that reading has stopped", nil, func(h *harness, c *testClient) {
			for range 100 {
				text, _ := newLongCommand("lookup")
				io.WriteString(c, text)
			}
			h.eventually("reading has stopped", func() bool { return h.proxy.Stats().InFlight == 64 })
		}},
		{"after it was idle for long behind its command", func(s *config.Router) { s.Clients.IdleTime = 0.05 }, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			io.WriteString(c, text)
			h.eventually("in hand", func() bool { return h.proxy.Stats().InFlight == 1 })
			time.Sleep(150 * time.Millisecond) // above the idle time; a reader that waits otherwise by then is what this is about
		}},
		{"behind something that can't be read", nil, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			io.WriteString(c, text+"x\r\n")
			h.eventually("it was read", func() bool { return h.proxy.Stats().InvalidRequests == 1 })
		}},
		{"while the relay stops", nil, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			io.WriteString(c, text)
			h.eventually("in hand", func() bool { return h.proxy.Stats().InFlight == 1 })
			h.proxy.StopServing()
		}},
		{"with half a command behind the first", nil, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			io.WriteString(c, text+text[:12])
			h.eventually("in hand", func() bool { return h.proxy.Stats().InFlight == 1 })
		}},
	}
	for _, x := range cases {
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) {
			if x.edit != nil {
				x.edit(s)
			}
			s.Endpoints.Connections, s.Endpoints.Total = 100, 100
		})
		gate := make(chan struct{})
		u := h.addEndpoint(1, 1, answerIDWhenOpen(gate))
		c := h.dial()
		x.play(h, c)
		h.eventually(x.name+": one has begun", func() bool { return u.count() > 0 })
		c.Close()
		h.eventually(x.name+": nothing is in hand", func() bool { return h.proxy.Stats().InFlight == 0 })
		begun := u.count()
		close(gate)
		h.eventually("the unit's answers are in", func() bool { return h.proxy.Stats().EndpointConns == 0 })
		if u.count() != begun {
			t.Errorf("%s: %d deliveries, then %d", x.name, begun, u.count())
		}
	}
}

// A client that goes while its command's connection is being made: the unit hears nothing of it, also where nothing may be called off.
func TestGoneClientAtDial(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		u := newUnacceptingEndpoint(t)
		h := newRESPHarnessWith(t, func(t *policy.Config) { allowLongRequests(t); t.AllowCancel = cancel }, func(s *config.Router) { s.Endpoints.DialTime = 30 })
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: u.addr, State: "ready", Build: 1})
		text, _ := newLongCommand("lookup")
		c := h.dial()
		io.WriteString(c, text)
		h.eventually("the dial", func() bool { return h.proxy.Stats().Dials == 1 })
		c.Close()
		h.eventually("nothing is in hand", func() bool { return h.proxy.Stats().InFlight == 0 })
		if said := u.acceptAndRead(t); strings.Contains(said, "API") {
			t.Errorf("cancel %v: the unit got %q", cancel, said)
		}
	}
}

// A unit that drains, is gone or comes back as another process while a connection to it is being made gets nothing on that one.
func TestUnitLeavesAtDial(t *testing.T) {
	for _, how := range []endpoints.Endpoint{{State: "draining", Build: 1}, {State: "gone"}, {State: "ready", Build: 2}, {State: "ready", Build: 1, StartedAt: 7}} {
		u := newUnacceptingEndpoint(t)
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Endpoints.DialTime = 30 })
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: u.addr, State: "ready", Build: 1})
		text, id := newLongCommand("seal")
		c := h.dial()
		io.WriteString(c, text)
		h.eventually("the dial", func() bool { return h.proxy.Stats().Dials == 1 })
		if how.ID = 1; how.State != "gone" {
			how.Addr = u.addr
		}
		h.updateEndpoints(false, how)
		two := h.addEndpoint(2, 1, answerID)
		if how.State == "ready" { // it is replaced, and then leaves as well: the command has one place to go
			h.updateEndpoints(false, endpoints.Endpoint{ID: 1, State: "gone"})
		}
		if said := u.acceptAndRead(t); strings.Contains(said, "API") {
			t.Errorf("%+v: the unit got %q", how, said)
		}
		h.wantEqual("served by the other", c.readLine(), "v"+id)
		if two.count() != 1 {
			t.Errorf("%+v: the other got %d", how, two.count())
		}
	}
}

// A delivery whose connection breaks before its last byte has left never ran: an at-most-once command is sent again.
func TestDeliveryCutBeforeItsEnd(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, nil)
	var once sync.Once
	cutNow := make(chan struct{})
	h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(1 << 10)
		cut := false
		for w, ok := u.readCommand(br); ok; w, ok = u.readCommand(br) {
			io.WriteString(c, valueReply(w[2]))
			once.Do(func() { cut = true })
			if !cut {
				continue
			}
			// Of the next delivery only a part is taken, and then the connection is reset.
			var part [1000]byte
			io.ReadFull(br, part[:])
			<-cutNow
			c.(*net.TCPConn).SetLinger(0)
			return
		}
	})
	c := h.dial()
	c.wantServed("seal")
	h.proxy.mu.Lock()
	for uc := range h.proxy.endpointConns { // so little room that a large command can't leave at once
		uc.socket.Load().Conn.(*net.TCPConn).SetWriteBuffer(1 << 10)
	}
	h.proxy.mu.Unlock()
	body := strings.Repeat("x", 60_000)
	io.WriteString(c, encodeCommand("API.WRITE", "7f3a", "big", "c=seal,d=60000", body))
	h.eventually("a part has left", func() bool {
		h.proxy.mu.Lock()
		defer h.proxy.mu.Unlock()
		for uc := range h.proxy.endpointConns {
			if uc.attempt != nil && uc.attempt.writeState.Load() == lastByteHeld {
				return true
			}
		}
		return false
	})
	close(cutNow)
	h.wantEqual("large", c.readLine(), "vbig")
}

// Who was accepted by the kernel, but not yet by the program, is served before the listener closes.
func TestOwedAtAccept(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerID)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var waiting []*testClient
	var want []string
	for range 5 {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		text, id := newCommand("seal")
		io.WriteString(nc, text)
		waiting, want = append(waiting, &testClient{nc, bufio.NewReader(nc), t}), append(want, "v"+id)
	}
	ended := make(chan struct{})
	go func() { CloseListener(l); close(ended) }()
	if err := h.proxy.Serve(l); err != nil { // until it is closed
		t.Error(err)
	}
	<-ended
	for i, c := range waiting {
		h.wantEqual("accepted", c.readLine(), want[i])
	}
}

// An answer that its client takes slowly goes out whole, however long a command may take to come.
func TestOwedToSlowReader(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Clients.ReadTime, s.Clients.IdleTime = 0.05, 0.05 })
	big := strings.Repeat("x", 1_000_000)
	h.addEndpoint(1, 1, answerRESP("*3\r\n$1000000\r\n"+big+"\r\n$-1\r\n$-1\r\n"))
	c := h.dial()
	c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	for range 8 { // far more than the kernels hold
		text, _ := newLongCommand("lookup")
		io.WriteString(c, text)
	}
	h.eventually("the kernel is full", func() bool {
		return h.anyClient(func(cl *clientConn) bool {
			cl.answers.mu.Lock()
			defer cl.answers.mu.Unlock()
			return cl.answers.writing && len(cl.answers.pending) == 0
		})
	})
	time.Sleep(150 * time.Millisecond) // above the times that commands have to come
	for range 8 {
		if got := c.readLine(); got != big {
			t.Fatalf("%.60q of %d bytes", got, len(got))
		}
	}
}

// A connection that comes up once its time is over is not used, and what waited for it never ran.
func TestConnectionUpLate(t *testing.T) {
	u := newUnacceptingEndpoint(t)
	h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Endpoints.DialTime = 0.05 })
	h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: u.addr, State: "ready", Build: 1})
	text, _ := newLongCommand("seal")
	h.wantEqual("never ran", h.askOnce(text), "-BUSY 1500")
	done := make(chan string)
	go func() { done <- u.acceptAndRead(t) }()
	select {
	case said := <-done:
		if said != "" {
			t.Errorf("the unit got %q", said)
		}
	case <-time.After(2 * time.Second): // nothing came up at all
		c, err := net.Dial("tcp", u.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		<-done
	}
}

// The time that a unit is told is what is left to the client, also with a further delivery.
func TestTimeTold(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, nil)
	u := h.addEndpoint(1, 1, func(u *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		w, ok := u.readCommand(br)
		if !ok {
			return
		}
		if u.count() == 1 {
			time.Sleep(120 * time.Millisecond)
			return // the connection ends
		}
		io.WriteString(c, valueReply(w[2]))
	})
	text, id := newLongCommand("lookup")
	h.wantEqual("served", h.askOnce(text), "v"+id)
	var told []int
	for _, l := range strings.Split(u.allRequests(), "\n") {
		var ms int
		fmt.Sscanf(l[strings.Index(l, "d=")+2:], "%d", &ms)
		told = append(told, ms)
	}
	if len(told) != 2 || told[0] > 60_000 || told[1] > told[0]-120 {
		t.Errorf("told %v", told)
	}
}
