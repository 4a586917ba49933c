package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"flintspread/internal/config"
)

// answerBeforeBody answers each request once it has read its head. It reads no body, and closes a connection with one once the
// channel done is closed.
func answerBeforeBody(done chan struct{}) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		setReadBuffer(c, 4096)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			endpoint.mu.Lock()
			endpoint.requests = append(endpoint.requests, req.Method+" "+req.RequestURI)
			endpoint.mu.Unlock()
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if req.ContentLength > 0 {
				<-done
				return
			}
		}
	}
}

// Guards against a router that stops: an endpoint answered before it had read the body and then read no further. Its
// connection counted as idle, and the next attempt on it waited for the goroutine that still wrote the body; where the timer
// sent that attempt, no deadline and no held request was handled any more.
func TestConnectionIsNotReusedBeforeItsBodyIsSent(t *testing.T) {
	const bodyBytes = 16 << 20 // more than the kernel buffers
	h := newHarness(t, func(settings *config.Router) { settings.Clients.BodyBytes = bodyBytes })
	done := make(chan struct{})
	defer close(done)
	endpoint := h.addEndpoint(1, 1, answerBeforeBody(done))
	client := h.dial()
	go func() {
		writeText(client, fmt.Sprintf("POST /batch/1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodyBytes)+strings.Repeat("x", bodyBytes))
	}()
	h.wantEqual("the answer before the body was read", client.readAnswer(), "200 acked: ")
	for range 3 {
		h.wantEqual("the next request", h.roundTrip(idempotentRequest), "200 acked: ")
	}
	if got := endpoint.allRequests(); got != "POST /batch/1"+strings.Repeat("\nGET /chute/7", 3) {
		t.Errorf("the endpoint got\n%s", got)
	}
	h.eventually("the unsent body's connection is closed, the other is kept", func() bool {
		h.proxy.mu.Lock()
		defer h.proxy.mu.Unlock()
		return len(h.proxy.endpointConns) == 1 && len(h.proxy.pools[1].idle) == 1
	})
}

// An attempt whose answer is read before its first write has returned frees its connection when that returns: as idle if all was
// sent, and not at all otherwise.
func TestAnswerDuringFirstWrite(t *testing.T) {
	for _, complete := range []bool{true, false} {
		h := newHarness(t, nil)
		pool := &endpointPool{usable: true, connCount: 1}
		conn := &endpointConn{pool: pool}
		attempt := &attempt{request: &request{conn: &clientConn{}}, assignedConn: conn}
		attempt.sendProgress.Store(answeredWhileSending)
		if h.proxy.endFirstWrite(attempt, complete) {
			t.Error("the answer was read before, but the write goes on")
		}
		if kept := len(pool.idle) == 1 && !conn.removed; kept != complete {
			t.Errorf("complete %v: the connection is kept %v", complete, kept)
		}
	}
}
