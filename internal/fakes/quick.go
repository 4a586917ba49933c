package fakes

import (
	"bufio"
	"bytes"
	"encoding/json"
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

// FastEndpoint is a unit that answers at once, for loads that a full stand-in could not take. It can pause.
type FastEndpoint struct {
	Addr   string
	l      net.Listener
	until  atomic.Int64 // ns since 1970 until which it answers nothing
	size   atomic.Int64 // bytes of an answer
	wait   atomic.Int64 // ns of work
	Served atomic.Int64
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// StartFastEndpoint listens on a loopback port of its own.
func StartFastEndpoint() (*FastEndpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	q := &FastEndpoint{Addr: l.Addr().String(), l: l, conns: map[net.Conn]struct{}{}}
	q.size.Store(7)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			q.mu.Lock()
			q.conns[c] = struct{}{}
			q.mu.Unlock()
			go q.serve(c)
		}
	}()
	return q, nil
}

// Pause makes it answer nothing for a while; what comes waits.
func (q *FastEndpoint) Pause(d time.Duration) { q.until.Store(time.Now().Add(d).UnixNano()) }

// Answers sets how many bytes an answer has and how long the work takes.
func (q *FastEndpoint) Answers(bytes int, work time.Duration) {
	q.size.Store(int64(bytes))
	q.wait.Store(int64(work))
}

// Stop ends it.
func (q *FastEndpoint) Stop() {
	q.l.Close()
	q.mu.Lock()
	defer q.mu.Unlock()
	for c := range q.conns {
		c.Close()
	}
}

func (q *FastEndpoint) serve(c net.Conn) {
	defer func() {
		c.Close()
		q.mu.Lock()
		delete(q.conns, c)
		q.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, 4096)
	var out []byte
	for {
		length := 0
		for first := true; ; first = false {
			line, err := br.ReadSlice('\n')
			if err != nil {
				return
			}
			if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 && !first {
				break
			}
			if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
				length, _ = strconv.Atoi(string(v))
			}
		}
		if _, err := br.Discard(length); err != nil {
			return
		}
		if work := q.wait.Load(); work > 0 {
			time.Sleep(time.Duration(work))
		}
		for wait := q.until.Load() - time.Now().UnixNano(); wait > 0; wait = q.until.Load() - time.Now().UnixNano() {
			time.Sleep(time.Duration(wait))
		}
		size := int(q.size.Load())
		out = append(out[:0], "HTTP/1.1 200 OK\r\nContent-Length: "...)
		out = strconv.AppendInt(out, int64(size), 10)
		out = append(out, "\r\n\r\n"...)
		for range size {
			out = append(out, 'x')
		}
		if _, err := c.Write(out); err != nil {
			return
		}
		q.Served.Add(1)
	}
}

// Still serves a list that does not change and an installer that offers nothing, at an address of its own.
func Still(units []*FastEndpoint) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	line := endpoints.Update{Version: 1, Full: true}
	for i, u := range units {
		line.Endpoints = append(line.Endpoints, endpoints.Endpoint{ID: uint32(i + 1), Addr: u.Addr, State: "ready", Build: 1})
	}
	news := releases.Update{Version: 1, Build: 1, Phase: "released", Cap: 1, Age: 1000}
	again := func(x any) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			for {
				text, _ := json.Marshal(x)
				if _, err := w.Write(append(text, '\n')); err != nil || http.NewResponseController(w).Flush() != nil {
					return
				}
				select {
				case <-req.Context().Done():
					return
				case <-time.After(time.Second):
				}
			}
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /list", again(line))
	mux.HandleFunc("GET /stage", again(news))
	mux.HandleFunc("POST /vote", func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		news := news
		news.Vote = "moot"
		text, _ := json.Marshal(news)
		writeResponse(w, append(text, '\n'))
	})
	srv := &http.Server{Handler: mux}
	go serveUntilClosed(srv, l)
	return l.Addr().String(), func() { srv.Close() }, nil
}
