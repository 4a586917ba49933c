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

// Events while answers are outstanding: shutdown, clients and endpoints that disconnect, slow readers. Their order is
// forced: an endpoint or a client holds its next byte until the other end is in the state that the test needs.

// allowLongRequests gives every class a timeout that no test reaches.
func allowLongRequests(t *policy.Config) {
	for i := range t.Classes {
		t.Classes[i].TimeoutSeconds, t.Classes[i].LatencyObjectiveSeconds, t.Classes[i].DedupWindowSeconds = 60, 60, 100
	}
}

// newLongCommand returns a command whose client waits for a minute.
func newLongCommand(c string) (text, id string) { return newCommandWithTimeout(c, 60_000) }

// answerIDWhenOpen answers attempts once gate is closed.
func answerIDWhenOpen(gate chan struct{}) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for w, ok := endpoint.readCommand(br); ok; w, ok = endpoint.readCommand(br) {
			<-gate
			writeText(c, valueReply(w[2]))
		}
	}
}

// unacceptingEndpoint is an endpoint whose accept queue is full, so that dials to it block until the test accepts
// connections.
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
	endpoint := &unacceptingEndpoint{scriptedEndpoint: &scriptedEndpoint{}, fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)}
	for { // until one more is not accepted
		c, err := net.DialTimeout("tcp", endpoint.addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		endpoint.fill = append(endpoint.fill, c)
	}
	t.Cleanup(func() {
		for _, c := range endpoint.fill {
			c.Close()
		}
		closeDescriptor(t, fd)
	})
	return endpoint
}

func closeDescriptor(t *testing.T, fd int) {
	if err := syscall.Close(fd); err != nil {
		t.Error(err)
	}
}

// acceptAndRead accepts connections until one that is not a filler of the accept queue, and returns the first bytes
// that it sent, or its error.
func (endpoint *unacceptingEndpoint) acceptAndRead(t *testing.T) (said string) {
	own := map[int]bool{}
	for _, c := range endpoint.fill {
		own[c.LocalAddr().(*net.TCPAddr).Port] = true
	}
	for {
		fd, from, err := syscall.Accept(endpoint.fd)
		if err != nil {
			t.Fatal(err)
		}
		if own[from.(*syscall.SockaddrInet4).Port] {
			closeDescriptor(t, fd)
			continue
		}
		var buf [512]byte
		n, err := syscall.Read(fd, buf[:])
		closeDescriptor(t, fd)
		if err != nil {
			return err.Error()
		}
		return string(buf[:max(0, n)])
	}
}

// Requests in flight are answered by the answer deadline, however long their clients would wait.
func TestAnswerDeadlineAtShutdown(t *testing.T) {
	for class, want := range map[string]string{"lookup": "-BUSY 1500", "order": "-BUSY 1500", "seal": "-ERR failed; it may have been done"} {
		h := newRESPHarnessWith(t, allowLongRequests, nil)
		gate := make(chan struct{})
		defer close(gate)
		h.addEndpoint(1, 1, answerIDWhenOpen(gate))
		text, _ := newLongCommand(class)
		c := h.dial()
		writeText(c, text)
		h.eventually("in flight", func() bool { return h.proxy.Stats().Attempts == 1 })
		h.proxy.SetAnswerDeadline(h.proxy.Now() + 0.2)
		h.wantEqual(class, c.readRESPAnswer(), want)
	}
}

// TestAnswerDeadlineMovesWhileAttemptsAreWritten guards against an attempt's deadline that is read without the lock while
// a shutdown lowers it; the race detector reports that.
func TestAnswerDeadlineMovesWhileAttemptsAreWritten(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, nil)
	h.addEndpoint(1, 1, answerID)
	served := make(chan struct{})
	moved := make(chan struct{})
	go func() {
		defer close(moved)
		for at := h.proxy.Now() + 50; ; at -= 1e-6 {
			select {
			case <-served:
				return
			default:
				h.proxy.SetAnswerDeadline(at)
			}
		}
	}()
	c := h.dial()
	for range 300 {
		text, id := newLongCommand("lookup")
		writeText(c, text)
		h.wantEqual("served", c.readRESPAnswer(), "v"+id)
	}
	close(served)
	<-moved
}

// A command that has partly arrived when the shutdown begins is served if the rest arrives, and answered with an error
// if not.
func TestPartialCommandAtShutdown(t *testing.T) {
	for _, whole := range []bool{true, false} {
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Clients.ReadTimeoutSeconds = 60 })
		h.addEndpoint(1, 1, answerID)
		c := h.dial()
		c.wantServed("lookup")
		text, id := newCommand("seal")
		writeText(c, text[:20])
		h.eventually("it has begun", func() bool { return h.anyClient(func(conn *clientConn) bool { return conn.reading }) })
		h.proxy.SetAnswerDeadline(h.proxy.Now() + 0.3)
		h.proxy.StopServing()
		if whole {
			writeText(c, text[20:])
			h.wantEqual("the whole", c.readRESPAnswer(), "v"+id)
		} else {
			h.wantEqual("the part", c.readRESPAnswer(), "-ERR the command did not come whole in time")
		}
		h.wantEqual("and then", c.readRESPAnswer(), "closed")
	}
}

// anyClient reports whether any client connection fulfils a condition.
func (h *harness) anyClient(is func(*clientConn) bool) bool {
	h.proxy.mu.Lock()
	defer h.proxy.mu.Unlock()
	for conn := range h.proxy.clients {
		if is(conn) {
			return true
		}
	}
	return false
}

// A connection opened during a shutdown is not closed before its first command: its client could not know of the
// shutdown.
func TestNewConnectionDuringShutdown(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerID)
	h.proxy.StopServing()
	c := h.dial()
	h.eventually("its reader waits", func() bool {
		return h.anyClient(func(conn *clientConn) bool {
			conn.waiter.mu.Lock()
			defer conn.waiter.mu.Unlock()
			return conn.waiter.waiting
		})
	})
	c.wantServed("seal")
	h.wantEqual("and then", c.readRESPAnswer(), "closed")
}

// A client's disconnect is noticed in every state of its connection: no further attempt of its commands is sent
// afterwards.
func TestClientClosesWhileAnswersPending(t *testing.T) {
	cases := []struct {
		name string
		edit func(*config.Router)
		play func(h *harness, c *testClient)
	}{
		{"while so much is outstanding that reading has stopped", nil, func(h *harness, c *testClient) {
			for range 100 {
				text, _ := newLongCommand("lookup")
				writeText(c, text)
			}
			h.eventually("reading has stopped", func() bool { return h.proxy.Stats().InFlight == 64 })
		}},
		{"after more than the idle time behind its command", func(s *config.Router) { s.Clients.IdleTimeoutSeconds = 0.05 }, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(c, text)
			h.eventually("in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
			time.Sleep(150 * time.Millisecond) // above the idle time, which must not end the wait
		}},
		{"behind something that can't be read", nil, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(c, text+"x\r\n")
			h.eventually("it was read", func() bool { return h.proxy.Stats().InvalidRequests == 1 })
		}},
		{"while the proxy stops", nil, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(c, text)
			h.eventually("in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
			h.proxy.StopServing()
		}},
		{"with half a command behind the first", nil, func(h *harness, c *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(c, text+text[:12])
			h.eventually("in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
		}},
	}
	for _, x := range cases {
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) {
			if x.edit != nil {
				x.edit(s)
			}
			s.Endpoints.MaxConnsPerEndpoint, s.Endpoints.MaxConns = 100, 100
		})
		gate := make(chan struct{})
		endpoint := h.addEndpoint(1, 1, answerIDWhenOpen(gate))
		c := h.dial()
		x.play(h, c)
		h.eventually(x.name+": one has begun", func() bool { return endpoint.count() > 0 })
		c.Close()
		h.eventually(x.name+": nothing is in flight", func() bool { return h.proxy.Stats().InFlight == 0 })
		begun := endpoint.count()
		close(gate)
		h.eventually("the endpoint's answers are in", func() bool { return h.proxy.Stats().EndpointConns == 0 })
		if endpoint.count() != begun {
			t.Errorf("%s: %d attempts, then %d", x.name, begun, endpoint.count())
		}
	}
}

// A client disconnects while the endpoint connection is being dialed: the endpoint receives nothing, even if cancelling
// is not allowed.
func TestClientClosesDuringDial(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		endpoint := newUnacceptingEndpoint(t)
		h := newRESPHarnessWith(t, func(t *policy.Config) { allowLongRequests(t); t.AllowCancel = cancel }, func(s *config.Router) { s.Endpoints.DialTimeoutSeconds = 30 })
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: endpoint.addr, State: "ready", Build: 1})
		text, _ := newLongCommand("lookup")
		c := h.dial()
		writeText(c, text)
		h.eventually("the dial", func() bool { return h.proxy.Stats().Dials == 1 })
		c.Close()
		h.eventually("nothing is in flight", func() bool { return h.proxy.Stats().InFlight == 0 })
		if said := endpoint.acceptAndRead(t); strings.Contains(said, "API") {
			t.Errorf("cancel %v: the endpoint got %q", cancel, said)
		}
	}
}

// An endpoint that drains, leaves the list or restarts while it is being dialed receives nothing on that connection.
func TestEndpointLeavesDuringDial(t *testing.T) {
	for _, how := range []endpoints.Endpoint{{State: "draining", Build: 1}, {State: "gone"}, {State: "ready", Build: 2}, {State: "ready", Build: 1, StartedAt: 7}} {
		endpoint := newUnacceptingEndpoint(t)
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Endpoints.DialTimeoutSeconds = 30 })
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: endpoint.addr, State: "ready", Build: 1})
		text, id := newLongCommand("seal")
		c := h.dial()
		writeText(c, text)
		h.eventually("the dial", func() bool { return h.proxy.Stats().Dials == 1 })
		if how.ID = 1; how.State != "gone" {
			how.Addr = endpoint.addr
		}
		h.updateEndpoints(false, how)
		two := h.addEndpoint(2, 1, answerID)
		if how.State == "ready" { // it leaves as well, so that the command has one endpoint left
			h.updateEndpoints(false, endpoints.Endpoint{ID: 1, State: "gone"})
		}
		if said := endpoint.acceptAndRead(t); strings.Contains(said, "API") {
			t.Errorf("%+v: the endpoint got %q", how, said)
		}
		h.wantEqual("served by the other", c.readRESPAnswer(), "v"+id)
		if two.count() != 1 {
			t.Errorf("%+v: the other got %d", how, two.count())
		}
	}
}

// An attempt whose connection breaks before its last byte is sent never ran: a non-idempotent command is retried.
func TestAttemptCutBeforeLastByteIsRetried(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, nil)
	var once sync.Once
	cutNow := make(chan struct{})
	h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		setReadBuffer(c, 1<<10)
		cut := false
		for w, ok := endpoint.readCommand(br); ok; w, ok = endpoint.readCommand(br) {
			writeText(c, valueReply(w[2]))
			once.Do(func() { cut = true })
			if !cut {
				continue
			}
			// Only a part of the next attempt is accepted before the connection is reset.
			var part [1000]byte
			if _, err := io.ReadFull(br, part[:]); err != nil {
				return
			}
			<-cutNow
			resetOnClose(c)
			return
		}
	})
	c := h.dial()
	c.wantServed("seal")
	h.proxy.mu.Lock()
	for conn := range h.proxy.endpointConns { // a buffer too small for a large command to be written at once
		if err := conn.socket.Load().Conn.(*net.TCPConn).SetWriteBuffer(1 << 10); err != nil {
			t.Error(err)
		}
	}
	h.proxy.mu.Unlock()
	body := strings.Repeat("x", 60_000)
	writeText(c, encodeCommand("API.WRITE", "7f3a", "big", "c=seal,d=60000", body))
	h.eventually("a part was written", func() bool {
		h.proxy.mu.Lock()
		defer h.proxy.mu.Unlock()
		for conn := range h.proxy.endpointConns {
			if conn.attempt != nil && conn.attempt.writeState.Load() == lastByteHeld {
				return true
			}
		}
		return false
	})
	close(cutNow)
	h.wantEqual("large", c.readRESPAnswer(), "vbig")
}

// CloseListener lets Serve accept the connections in the kernel's accept queue.
func TestCloseListenerServesAcceptQueue(t *testing.T) {
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
		writeText(nc, text)
		waiting, want = append(waiting, &testClient{nc, bufio.NewReader(nc), t}), append(want, "v"+id)
	}
	ended := make(chan struct{})
	go func() { CloseListener(l); close(ended) }()
	if err := h.proxy.Serve(l); err != nil { // until it is closed
		t.Error(err)
	}
	<-ended
	for i, c := range waiting {
		h.wantEqual("accepted", c.readRESPAnswer(), want[i])
	}
}

// A slow client gets its answers complete, whatever the read and idle timeouts.
func TestSlowReaderGetsWholeAnswers(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Clients.ReadTimeoutSeconds, s.Clients.IdleTimeoutSeconds = 0.05, 0.05 })
	big := strings.Repeat("x", 1_000_000)
	h.addEndpoint(1, 1, answerRESP("*3\r\n$1000000\r\n"+big+"\r\n$-1\r\n$-1\r\n"))
	c := h.dial()
	setReadBuffer(c.Conn, 64<<10)
	for range 8 { // far more than the kernels hold
		text, _ := newLongCommand("lookup")
		writeText(c, text)
	}
	h.eventually("the kernel is full", func() bool {
		return h.anyClient(func(conn *clientConn) bool {
			conn.answers.mu.Lock()
			defer conn.answers.mu.Unlock()
			return conn.answers.writing && len(conn.answers.pending) == 0
		})
	})
	time.Sleep(150 * time.Millisecond) // above the read and idle timeouts
	for range 8 {
		if got := c.readRESPAnswer(); got != big {
			t.Fatalf("%.60q of %d bytes", got, len(got))
		}
	}
}

// A connection that is established after the dial timeout is not used, and the attempt that waited for it never ran.
func TestDialTimeoutNeverRan(t *testing.T) {
	endpoint := newUnacceptingEndpoint(t)
	h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Endpoints.DialTimeoutSeconds = 0.05 })
	h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: endpoint.addr, State: "ready", Build: 1})
	text, _ := newLongCommand("seal")
	h.wantEqual("never ran", h.askOnce(text), "-BUSY 1500")
	done := make(chan string)
	go func() { done <- endpoint.acceptAndRead(t) }()
	select {
	case said := <-done:
		if said != "" {
			t.Errorf("the endpoint got %q", said)
		}
	case <-time.After(2 * time.Second): // no connection was made at all
		c, err := net.Dial("tcp", endpoint.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		<-done
	}
}

// Endpoints are sent the time that the client has left, also on a retry.
func TestRemainingTimeSentToEndpoints(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, nil)
	endpoint := h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		w, ok := endpoint.readCommand(br)
		if !ok {
			return
		}
		if endpoint.count() == 1 {
			time.Sleep(120 * time.Millisecond)
			return // the connection ends
		}
		writeText(c, valueReply(w[2]))
	})
	text, id := newLongCommand("lookup")
	h.wantEqual("served", h.askOnce(text), "v"+id)
	var told []int
	for _, l := range strings.Split(endpoint.allRequests(), "\n") {
		var ms int
		if _, err := fmt.Sscanf(l[strings.Index(l, "d=")+2:], "%d", &ms); err != nil {
			t.Errorf("%q: %v", l, err)
		}
		told = append(told, ms)
	}
	if len(told) != 2 || told[0] > 60_000 || told[1] > told[0]-120 {
		t.Errorf("sent %v ms", told)
	}
}
