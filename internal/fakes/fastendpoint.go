package fakes

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/releases"
)

const (
	defaultAnswerBytes = 7
	fixedListInterval  = time.Second // between two lines of the streams of ServeFixedEndpoints
)

// FastEndpoint answers every request immediately, for loads that are too high for an Endpoint. It can be paused.
type FastEndpoint struct {
	Addr        string
	Served      atomic.Int64 // requests
	listener    net.Listener
	pausedUntil atomic.Int64 // Unix nanoseconds
	answerBytes atomic.Int64
	workNanos   atomic.Int64 // delay before each answer

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// StartFastEndpoint starts an endpoint on a free loopback port.
func StartFastEndpoint() (*FastEndpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &FastEndpoint{Addr: l.Addr().String(), listener: l, conns: map[net.Conn]struct{}{}}
	e.answerBytes.Store(defaultAnswerBytes)
	go e.accept()
	return e, nil
}

func (e *FastEndpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go e.serve(c)
	}
}

// Pause makes requests wait for their answers until d has passed.
func (e *FastEndpoint) Pause(d time.Duration) { e.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

// SetAnswers sets the body length of the answers and the delay before each answer.
func (e *FastEndpoint) SetAnswers(bytes int, work time.Duration) {
	e.answerBytes.Store(int64(bytes))
	e.workNanos.Store(int64(work))
}

// ResetAnswers undoes SetAnswers.
func (e *FastEndpoint) ResetAnswers() { e.SetAnswers(defaultAnswerBytes, 0) }

// Stop closes the listener and all connections.
func (e *FastEndpoint) Stop() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// serve answers the requests on one connection until the connection is closed.
func (e *FastEndpoint) serve(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, 4096)
	var answer []byte
	for {
		if err := discardRequest(br); err != nil {
			return
		}
		if work := e.workNanos.Load(); work > 0 {
			time.Sleep(time.Duration(work))
		}
		e.waitForPause()
		answer = appendAnswer(answer[:0], int(e.answerBytes.Load()))
		if _, err := c.Write(answer); err != nil {
			return
		}
		e.Served.Add(1)
	}
}

// waitForPause returns when the endpoint is not paused.
func (e *FastEndpoint) waitForPause() {
	for {
		wait := e.pausedUntil.Load() - time.Now().UnixNano()
		if wait <= 0 {
			return
		}
		time.Sleep(time.Duration(wait))
	}
}

// discardRequest reads one request. A malformed Content-Length counts as 0.
func discardRequest(br *bufio.Reader) error {
	length := 0
	for first := true; ; first = false {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 && !first {
			break
		}
		if value, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			length, _ = strconv.Atoi(string(value))
		}
	}
	_, err := br.Discard(length)
	return err
}

func appendAnswer(buf []byte, size int) []byte {
	buf = append(buf, "HTTP/1.1 200 OK\r\nContent-Length: "...)
	buf = strconv.AppendInt(buf, int64(size), 10)
	buf = append(buf, "\r\n\r\n"...)
	for range size {
		buf = append(buf, 'x')
	}
	return buf
}

// ServeFixedEndpoints serves an endpoint list that does not change, and a release service without a canary, on a free
// loopback port.
func ServeFixedEndpoints(list []*FastEndpoint) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	full := endpoints.Update{Version: 1, Full: true}
	for i, e := range list {
		full.Endpoints = append(full.Endpoints, endpoints.Endpoint{ID: uint32(i + 1), Addr: e.Addr, State: endpoints.StateReady, Build: 1})
	}
	release := releases.Update{Version: 1, Build: 1, Phase: phaseReleased, CanaryLimit: 1, AgeSeconds: 1000}
	moot := release
	moot.Vote = voteMoot
	mux := http.NewServeMux()
	mux.HandleFunc("GET /list", repeatLine(full))
	mux.HandleFunc("GET /stage", repeatLine(release))
	mux.HandleFunc("POST /vote", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		writeResponse(w, jsonLine(moot))
	})
	server := &http.Server{Handler: mux}
	go serveUntilClosed(server, l)
	return l.Addr().String(), func() { server.Close() }, nil
}

// repeatLine returns a handler that streams value as a line every fixedListInterval.
func repeatLine(value any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for writeLine(w, value) {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(fixedListInterval):
			}
		}
	}
}
