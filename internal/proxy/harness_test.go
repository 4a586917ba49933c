package proxy

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
	"flintspread/internal/releases"
)

// harness runs a proxy between the clients and the scripted endpoints of a test.
type harness struct {
	t         testing.TB
	proxy     *Proxy
	listener  net.Listener
	endpoints map[uint32]*scriptedEndpoint
	done      chan error // receives the result of Serve
}

// scriptedEndpoint is an endpoint that runs a script on each connection and records the requests that it reads.
type scriptedEndpoint struct {
	id       uint32
	listener net.Listener
	mu       sync.Mutex
	requests []string // request lines
}

// newHarness starts an HTTP proxy with the example settings, which edit may change.
func newHarness(t testing.TB, edit func(*config.Router)) *harness {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.ParseRouter("edge.edn", text)
	if err != nil {
		t.Fatal(err)
	}
	settings.Overload = nil // the load of the test machine must not affect results
	if edit != nil {
		edit(settings)
		if err := settings.Check(); err != nil {
			t.Fatal(err)
		}
	}
	return startHarness(t, NewHTTP(settings, 1, discardLogger(), func(releases.Vote) {}))
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startHarness serves a proxy on a listener until the test ends.
func startHarness(t testing.TB, proxy *Proxy) *harness {
	h := &harness{t: t, proxy: proxy, endpoints: map[uint32]*scriptedEndpoint{}, done: make(chan error, 1)}
	var err error
	if h.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() { h.done <- h.proxy.Serve(h.listener) }()
	t.Cleanup(func() {
		h.listener.Close()
		for _, endpoint := range h.endpoints {
			endpoint.listener.Close()
		}
		h.proxy.Close()
	})
	return h
}

// addEndpoint starts an endpoint that runs script for each connection, and adds it to the endpoint list as ready.
func (h *harness) addEndpoint(id uint32, build int, script func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader)) *scriptedEndpoint {
	endpoint := &scriptedEndpoint{id: id}
	listener, err := fakes.ServeConns(func(c net.Conn) { script(endpoint, c, bufio.NewReader(c)) })
	if err != nil {
		h.t.Fatal(err)
	}
	endpoint.listener = listener
	h.endpoints[id] = endpoint
	h.updateEndpoints(false, endpoints.Endpoint{ID: id, Addr: listener.Addr().String(), State: "ready", Build: build})
	return endpoint
}

func (h *harness) updateEndpoints(full bool, list ...endpoints.Endpoint) {
	h.proxy.ApplyEndpoints(&endpoints.Update{Full: full, Endpoints: list})
}

// readRequest reads one request and records it.
func (endpoint *scriptedEndpoint) readRequest(br *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, req.Body) // a request with a truncated body is recorded, too
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.requests = append(endpoint.requests, req.Method+" "+req.RequestURI)
	return req, err == nil
}

func (endpoint *scriptedEndpoint) count() int {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return len(endpoint.requests)
}

func (endpoint *scriptedEndpoint) allRequests() string {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return strings.Join(endpoint.requests, "\n")
}

// answerPath answers every request with its path.
func answerPath(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
	for {
		req, ok := endpoint.readRequest(br)
		if !ok {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
	}
}

// answerHTTP answers every request with a fixed text.
func answerHTTP(text string) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for {
			if _, ok := endpoint.readRequest(br); !ok {
				return
			}
			writeText(c, text)
		}
	}
}

// writeText writes to a peer that may have closed the connection, and ignores errors: tests check what the peer
// received.
func writeText(w io.Writer, text string) {
	if _, err := io.WriteString(w, text); err != nil {
		return
	}
}

// resetOnClose makes a connection's Close send a reset.
func resetOnClose(c net.Conn) {
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		panic(err)
	}
}

// setReadBuffer bounds the bytes that the kernel buffers for a connection that is not read.
func setReadBuffer(c net.Conn, bytes int) {
	if err := c.(*net.TCPConn).SetReadBuffer(bytes); err != nil {
		panic(err)
	}
}

// testClient is a test's client connection.
type testClient struct {
	net.Conn
	br *bufio.Reader
	t  testing.TB
}

func (h *harness) dial() *testClient {
	c, err := net.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	return &testClient{c, bufio.NewReader(c), h.t}
}

// Heads of requests of each idempotency, as routed by the example settings.
const (
	idempotentRequest    = "GET /chute/7 HTTP/1.1\r\nHost: x\r\n"
	keyedRequest         = "POST /divert/7 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: m1\r\nContent-Length: 2\r\n"
	nonIdempotentRequest = "POST /seal/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
)

// send sends a request with the given head, and a two-byte body if it is a POST.
func (c *testClient) send(head string) {
	body := ""
	if strings.HasPrefix(head, "POST") {
		body = "ok"
	}
	writeText(c, head+"\r\n"+body)
}

// readAnswer reads one answer and returns its status, kind and body, or the text of the error.
func (c *testClient) readAnswer() string {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprint(resp.StatusCode)
	if kind := resp.Header.Get(headerAnswer); kind != "" {
		text += " " + kind
	}
	return text + ": " + strings.TrimSpace(string(body))
}

// roundTrip sends a request on a new connection and returns its answer.
func (h *harness) roundTrip(head string) string {
	c := h.dial()
	c.send(head)
	return c.readAnswer()
}

// eventually waits up to 5 s for a condition to become true.
func (h *harness) eventually(what string, condition func() bool) {
	h.t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Errorf("condition not met within 5 s: %s", what)
}

func (h *harness) wantEqual(what, got, want string) {
	h.t.Helper()
	if got != want {
		h.t.Errorf("%s: got %q, want %q", what, got, want)
	}
}
