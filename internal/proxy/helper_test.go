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

// hall is a relay between scripted units and clients of a test.
type hall struct {
	t    testing.TB
	r    *Proxy
	l    net.Listener
	unit map[uint32]*unitScript
	done chan error
}

// unitScript is a unit that does on each connection what the test says.
type unitScript struct {
	id   uint32
	l    net.Listener
	mu   sync.Mutex
	seen []string // request lines
}

// newHall starts a relay; edit changes the example settings.
func newHall(t testing.TB, edit func(*config.Router)) *hall {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	set, err := config.ParseRouter("edge.edn", text)
	if err != nil {
		t.Fatal(err)
	}
	set.Overload = nil // a busy machine is no part of most tests
	if edit != nil {
		edit(set)
		if err := set.Check(); err != nil {
			t.Fatal(err)
		}
	}
	return startHall(t, NewHTTP(set, 1, quiet(), func(releases.Vote) {}))
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startHall has a relay listen until the test ends.
func startHall(t testing.TB, r *Proxy) *hall {
	h := &hall{t: t, r: r, unit: map[uint32]*unitScript{}, done: make(chan error, 1)}
	var err error
	if h.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() { h.done <- h.r.Serve(h.l) }()
	t.Cleanup(func() {
		h.l.Close()
		for _, u := range h.unit {
			u.l.Close()
		}
		h.r.Close()
	})
	return h
}

// serve makes a unit that runs play for each connection, and lists all units there are as ready.
func (h *hall) serve(id uint32, build int, play func(u *unitScript, c net.Conn, br *bufio.Reader)) *unitScript {
	u := &unitScript{id: id}
	l, err := fakes.Serve(func(c net.Conn) { play(u, c, bufio.NewReader(c)) })
	if err != nil {
		h.t.Fatal(err)
	}
	u.l = l
	h.unit[id] = u
	h.list(false, endpoints.Endpoint{ID: id, Addr: l.Addr().String(), State: "ready", Build: build})
	return u
}

func (h *hall) list(full bool, units ...endpoints.Endpoint) {
	h.r.ApplyEndpoints(&endpoints.Update{Full: full, Endpoints: units})
}

// read takes one request and notes it.
func (u *unitScript) read(br *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	io.Copy(io.Discard, req.Body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = append(u.seen, req.Method+" "+req.RequestURI)
	return req, true
}

func (u *unitScript) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

func (u *unitScript) all() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.seen, "\n")
}

// good answers everything with the path.
func good(u *unitScript, c net.Conn, br *bufio.Reader) {
	for {
		req, ok := u.read(br)
		if !ok {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
	}
}

// silent reads and never answers.
func silent(u *unitScript, _ net.Conn, br *bufio.Reader) {
	for {
		if _, ok := u.read(br); !ok {
			return
		}
	}
}

func always(text string) func(*unitScript, net.Conn, *bufio.Reader) {
	return func(u *unitScript, c net.Conn, br *bufio.Reader) {
		for {
			if _, ok := u.read(br); !ok {
				return
			}
			io.WriteString(c, text)
		}
	}
}

// talk is a client's connection.
type talk struct {
	net.Conn
	br *bufio.Reader
	t  testing.TB
}

func (h *hall) dial() *talk {
	c, err := net.Dial("tcp", h.l.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	return &talk{c, bufio.NewReader(c), h.t}
}

// Requests of each effect by the example's routes.
const (
	lookup = "GET /chute/7 HTTP/1.1\r\nHost: x\r\n"
	divert = "POST /divert/7 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: m1\r\nContent-Length: 2\r\n"
	seal   = "POST /seal/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
)

func (c *talk) send(head string) {
	body := ""
	if strings.HasPrefix(head, "POST") {
		body = "ok"
	}
	io.WriteString(c, head+"\r\n"+body)
}

// answer reads one answer: status, kind and body.
func (c *talk) answer() string {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprint(resp.StatusCode)
	if k := resp.Header.Get(headAnswer); k != "" {
		text += " " + k
	}
	return text + ": " + strings.TrimSpace(string(body))
}

func (h *hall) ask(head string) string {
	c := h.dial()
	c.send(head)
	return c.answer()
}

// soon waits for something to become true.
func (h *hall) soon(what string, is func() bool) {
	h.t.Helper()
	for range 500 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Errorf("not within 5 s: %s", what)
}

func (h *hall) want(what, got, want string) {
	h.t.Helper()
	if got != want {
		h.t.Errorf("%s: %q, want %q", what, got, want)
	}
}
