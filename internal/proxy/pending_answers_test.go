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

// These tests cover events while answers are outstanding: shutdown, clients and endpoints that disconnect, and slow
// clients. The order of events is forced: an endpoint or a client does not send its next byte until the other side is
// in the state that the test needs.

// allowLongRequests gives every class a timeout that no test reaches.
func allowLongRequests(policyConfig *policy.Config) {
	for i := range policyConfig.Classes {
		policyConfig.Classes[i].TimeoutSeconds, policyConfig.Classes[i].LatencyObjectiveSeconds, policyConfig.Classes[i].DedupWindowSeconds = 60, 60, 100
	}
}

// newLongCommand returns a command of a class whose client waits for a minute.
func newLongCommand(class string) (text, id string) { return newCommandWithTimeout(class, 60_000) }

// answerIDWhenOpen answers every attempt with its id once the channel gate is closed.
func answerIDWhenOpen(gate chan struct{}) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for words, ok := endpoint.readCommand(br); ok; words, ok = endpoint.readCommand(br) {
			<-gate
			writeText(c, valueReply(words[2]))
		}
	}
}

// unacceptingEndpoint is an endpoint whose accept queue is full, so that dials to it block until the test accepts
// connections.
type unacceptingEndpoint struct {
	*scriptedEndpoint
	fd      int
	addr    string
	fillers []net.Conn // connections that fill the accept queue
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
	sockAddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &unacceptingEndpoint{scriptedEndpoint: &scriptedEndpoint{}, fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", sockAddr.(*syscall.SockaddrInet4).Port)}
	for { // until the accept queue is full
		c, err := net.DialTimeout("tcp", endpoint.addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		endpoint.fillers = append(endpoint.fillers, c)
	}
	t.Cleanup(func() {
		for _, c := range endpoint.fillers {
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
func (endpoint *unacceptingEndpoint) acceptAndRead(t *testing.T) (received string) {
	fillerPorts := map[int]bool{}
	for _, c := range endpoint.fillers {
		fillerPorts[c.LocalAddr().(*net.TCPAddr).Port] = true
	}
	for {
		fd, from, err := syscall.Accept(endpoint.fd)
		if err != nil {
			t.Fatal(err)
		}
		if fillerPorts[from.(*syscall.SockaddrInet4).Port] {
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

// At shutdown, requests in flight are answered by the answer deadline, however long their clients would wait.
func TestAnswerDeadlineAtShutdown(t *testing.T) {
	for class, want := range map[string]string{"lookup": "-BUSY 1500", "order": "-BUSY 1500", "seal": "-ERR failed; it may have been done"} {
		h := newRESPHarnessWith(t, allowLongRequests, nil)
		gate := make(chan struct{})
		defer close(gate)
		h.addEndpoint(1, 1, answerIDWhenOpen(gate))
		text, _ := newLongCommand(class)
		client := h.dial()
		writeText(client, text)
		h.eventually("in flight", func() bool { return h.proxy.Stats().Attempts == 1 })
		h.proxy.SetAnswerDeadline(h.proxy.Now() + 0.2)
		h.wantEqual(class, client.readRESPAnswer(), want)
	}
}

// The writer of an attempt must not read its deadline without the lock, since a shutdown may lower the deadline at the
// same time. The race detector reports such a read.
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
	client := h.dial()
	for range 300 {
		text, id := newLongCommand("lookup")
		writeText(client, text)
		h.wantEqual("served", client.readRESPAnswer(), "v"+id)
	}
	close(served)
	<-moved
}

// A command that has partly arrived when the shutdown begins is served if the rest arrives before the answer deadline,
// and answered with an error if not.
func TestPartialCommandAtShutdown(t *testing.T) {
	for _, complete := range []bool{true, false} {
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Clients.ReadTimeoutSeconds = 60 })
		h.addEndpoint(1, 1, answerID)
		client := h.dial()
		client.wantServed("lookup")
		text, id := newCommand("seal")
		writeText(client, text[:20])
		h.eventually("the command is being read", func() bool { return h.anyClient(func(conn *clientConn) bool { return conn.reading }) })
		h.proxy.SetAnswerDeadline(h.proxy.Now() + 0.3)
		h.proxy.StopServing()
		if complete {
			writeText(client, text[20:])
			h.wantEqual("answer to the complete command", client.readRESPAnswer(), "v"+id)
		} else {
			h.wantEqual("answer to the partial command", client.readRESPAnswer(), "-ERR the command did not come whole in time")
		}
		h.wantEqual("end of the connection", client.readRESPAnswer(), "closed")
	}
}

// anyClient reports whether a condition is true for any client connection.
func (h *harness) anyClient(condition func(*clientConn) bool) bool {
	h.proxy.mu.Lock()
	defer h.proxy.mu.Unlock()
	for conn := range h.proxy.clients {
		if condition(conn) {
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
	client := h.dial()
	h.eventually("the connection's reader waits", func() bool {
		return h.anyClient(func(conn *clientConn) bool {
			conn.waiter.mu.Lock()
			defer conn.waiter.mu.Unlock()
			return conn.waiter.waiting
		})
	})
	client.wantServed("seal")
	h.wantEqual("end of the connection", client.readRESPAnswer(), "closed")
}

// The proxy detects in every state of a client connection that the client disconnects, and sends no further attempt of
// its commands.
func TestClientClosesWhileAnswersPending(t *testing.T) {
	cases := []struct {
		name  string
		edit  func(*config.Router)
		setUp func(h *harness, client *testClient)
	}{
		{"so many requests in flight that reading has stopped", nil, func(h *harness, client *testClient) {
			for range 100 {
				text, _ := newLongCommand("lookup")
				writeText(client, text)
			}
			h.eventually("reading has stopped", func() bool { return h.proxy.Stats().InFlight == 64 })
		}},
		{"more than the idle timeout after its command", func(s *config.Router) { s.Clients.IdleTimeoutSeconds = 0.05 }, func(h *harness, client *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(client, text)
			h.eventually("in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
			time.Sleep(150 * time.Millisecond) // longer than the idle timeout, which must not end the wait for an answer
		}},
		{"after bytes that are not a command", nil, func(h *harness, client *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(client, text+"x\r\n")
			h.eventually("the invalid bytes were read", func() bool { return h.proxy.Stats().InvalidRequests == 1 })
		}},
		{"during a shutdown", nil, func(h *harness, client *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(client, text)
			h.eventually("in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
			h.proxy.StopServing()
		}},
		{"after a part of a second command", nil, func(h *harness, client *testClient) {
			text, _ := newLongCommand("lookup")
			writeText(client, text+text[:12])
			h.eventually("in flight", func() bool { return h.proxy.Stats().InFlight == 1 })
		}},
	}
	for _, test := range cases {
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) {
			if test.edit != nil {
				test.edit(s)
			}
			s.Endpoints.MaxConnsPerEndpoint, s.Endpoints.MaxConns = 100, 100
		})
		gate := make(chan struct{})
		endpoint := h.addEndpoint(1, 1, answerIDWhenOpen(gate))
		client := h.dial()
		test.setUp(h, client)
		h.eventually(test.name+": an attempt has reached the endpoint", func() bool { return endpoint.count() > 0 })
		client.Close()
		h.eventually(test.name+": no request is in flight", func() bool { return h.proxy.Stats().InFlight == 0 })
		before := endpoint.count()
		close(gate)
		h.eventually(test.name+": the endpoint's answers have been read", func() bool { return h.proxy.Stats().EndpointConns == 0 })
		if endpoint.count() != before {
			t.Errorf("%s: %d attempts sent before the client disconnected, %d at the end", test.name, before, endpoint.count())
		}
	}
}

// If a client disconnects while the endpoint connection is being dialed, the endpoint receives nothing, even where the
// policy does not allow attempts to be cancelled.
func TestClientClosesDuringDial(t *testing.T) {
	for _, allowCancel := range []bool{true, false} {
		endpoint := newUnacceptingEndpoint(t)
		h := newRESPHarnessWith(t, func(policyConfig *policy.Config) {
			allowLongRequests(policyConfig)
			policyConfig.AllowCancel = allowCancel
		}, func(s *config.Router) { s.Endpoints.DialTimeoutSeconds = 30 })
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: endpoint.addr, State: "ready", Build: 1})
		text, _ := newLongCommand("lookup")
		client := h.dial()
		writeText(client, text)
		h.eventually("the proxy dials the endpoint", func() bool { return h.proxy.Stats().Dials == 1 })
		client.Close()
		h.eventually("nothing is in flight", func() bool { return h.proxy.Stats().InFlight == 0 })
		if received := endpoint.acceptAndRead(t); strings.Contains(received, "API") {
			t.Errorf("AllowCancel %v: the endpoint received %q", allowCancel, received)
		}
	}
}

// An endpoint that drains, leaves the list or restarts while it is being dialed receives nothing on that connection.
func TestEndpointLeavesDuringDial(t *testing.T) {
	for _, change := range []endpoints.Endpoint{{State: "draining", Build: 1}, {State: "gone"}, {State: "ready", Build: 2}, {State: "ready", Build: 1, StartedAt: 7}} {
		endpoint := newUnacceptingEndpoint(t)
		h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Endpoints.DialTimeoutSeconds = 30 })
		h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: endpoint.addr, State: "ready", Build: 1})
		text, id := newLongCommand("seal")
		client := h.dial()
		writeText(client, text)
		h.eventually("the proxy dials the endpoint", func() bool { return h.proxy.Stats().Dials == 1 })
		if change.ID = 1; change.State != "gone" {
			change.Addr = endpoint.addr
		}
		h.updateEndpoints(false, change)
		other := h.addEndpoint(2, 1, answerID)
		if change.State == "ready" { // the new process leaves as well, so that only endpoint 2 can serve the command
			h.updateEndpoints(false, endpoints.Endpoint{ID: 1, State: "gone"})
		}
		if received := endpoint.acceptAndRead(t); strings.Contains(received, "API") {
			t.Errorf("%+v: the endpoint received %q", change, received)
		}
		h.wantEqual("answer of endpoint 2", client.readRESPAnswer(), "v"+id)
		if other.count() != 1 {
			t.Errorf("%+v: endpoint 2 received %d attempts, want 1", change, other.count())
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
		for words, ok := endpoint.readCommand(br); ok; words, ok = endpoint.readCommand(br) {
			writeText(c, valueReply(words[2]))
			once.Do(func() { cut = true })
			if !cut {
				continue
			}
			// Only a part of the next attempt is read before the connection is reset.
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
	for conn := range h.proxy.endpointConns { // the send buffer is too small for a large command to be written at once
		if err := conn.socket.Load().Conn.(*net.TCPConn).SetWriteBuffer(1 << 10); err != nil {
			t.Error(err)
		}
	}
	h.proxy.mu.Unlock()
	body := strings.Repeat("x", 60_000)
	writeText(c, encodeCommand("API.WRITE", "7f3a", "big", "c=seal,d=60000", body))
	h.eventually("a part of the attempt was written", func() bool {
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
	h.wantEqual("answer to the large command", c.readRESPAnswer(), "vbig")
}

// CloseListener closes the listener only after Serve has accepted the connections in the kernel's accept queue.
func TestCloseListenerServesAcceptQueue(t *testing.T) {
	h := newRESPHarness(t, nil)
	h.addEndpoint(1, 1, answerID)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var waiting []*testClient
	var want []string
	for range 5 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		text, id := newCommand("seal")
		writeText(conn, text)
		waiting, want = append(waiting, &testClient{conn, bufio.NewReader(conn), t}), append(want, "v"+id)
	}
	closed := make(chan struct{})
	go func() { CloseListener(listener); close(closed) }()
	if err := h.proxy.Serve(listener); err != nil { // returns once the listener is closed
		t.Error(err)
	}
	<-closed
	for i, c := range waiting {
		h.wantEqual("answer on a queued connection", c.readRESPAnswer(), want[i])
	}
}

// A slow client gets complete answers even if reading them takes longer than the read and idle timeouts.
func TestSlowReaderGetsWholeAnswers(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Clients.ReadTimeoutSeconds, s.Clients.IdleTimeoutSeconds = 0.05, 0.05 })
	value := strings.Repeat("x", 1_000_000)
	h.addEndpoint(1, 1, answerRESP("*3\r\n$1000000\r\n"+value+"\r\n$-1\r\n$-1\r\n"))
	client := h.dial()
	setReadBuffer(client.Conn, 64<<10)
	for range 8 { // far more bytes than the kernel buffers
		text, _ := newLongCommand("lookup")
		writeText(client, text)
	}
	h.eventually("all answers are complete and the kernel's buffers are full", func() bool {
		return h.anyClient(func(conn *clientConn) bool {
			conn.answers.mu.Lock()
			defer conn.answers.mu.Unlock()
			return conn.answers.writing && len(conn.answers.pending) == 0
		})
	})
	time.Sleep(150 * time.Millisecond) // longer than the read and idle timeouts
	for range 8 {
		if got := client.readRESPAnswer(); got != value {
			t.Fatalf("got %.60q of %d bytes, want %d bytes", got, len(got), len(value))
		}
	}
}

// A connection that is established after the dial timeout is not used, and the attempt that waited for it never ran.
func TestDialTimeoutNeverRan(t *testing.T) {
	endpoint := newUnacceptingEndpoint(t)
	h := newRESPHarnessWith(t, allowLongRequests, func(s *config.Router) { s.Endpoints.DialTimeoutSeconds = 0.05 })
	h.updateEndpoints(false, endpoints.Endpoint{ID: 1, Addr: endpoint.addr, State: "ready", Build: 1})
	text, _ := newLongCommand("seal")
	h.wantEqual("answer after the dial timeout", h.askOnce(text), "-BUSY 1500")
	done := make(chan string)
	go func() { done <- endpoint.acceptAndRead(t) }()
	select {
	case received := <-done:
		if received != "" {
			t.Errorf("the endpoint received %q", received)
		}
	case <-time.After(2 * time.Second): // the proxy's connection was not established; unblock acceptAndRead with another one
		c, err := net.Dial("tcp", endpoint.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		<-done
	}
}

// Each attempt, also a retry, is sent with the time that remains until the client's deadline.
func TestRemainingTimeSentToEndpoints(t *testing.T) {
	h := newRESPHarnessWith(t, allowLongRequests, nil)
	endpoint := h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		words, ok := endpoint.readCommand(br)
		if !ok {
			return
		}
		if endpoint.count() == 1 {
			time.Sleep(120 * time.Millisecond)
			return // closes the connection
		}
		writeText(c, valueReply(words[2]))
	})
	text, id := newLongCommand("lookup")
	h.wantEqual("served", h.askOnce(text), "v"+id)
	var sentMillis []int
	for _, line := range strings.Split(endpoint.allRequests(), "\n") {
		var millis int
		if _, err := fmt.Sscanf(line[strings.Index(line, "d=")+2:], "%d", &millis); err != nil {
			t.Errorf("%q: %v", line, err)
		}
		sentMillis = append(sentMillis, millis)
	}
	if len(sentMillis) != 2 || sentMillis[0] > 60_000 || sentMillis[1] > sentMillis[0]-120 {
		t.Errorf("remaining times sent: %v ms; want 2 of at most 60000 ms, the second at least 120 ms shorter", sentMillis)
	}
}
