//go:build review

package main

import (
	"net"
	"net/http"
	"strings"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// server is a unit that answers over net/http. handle gets the time at which it read the request's head.
type server struct {
	id, build int
	addr      string
}

// startServer starts a unit on a free port.
func startServer(id, build int, handle func(w http.ResponseWriter, r *http.Request, arrived time.Time)) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(w, r, time.Now()) })}
	go func() { _ = httpServer.Serve(listener) }()
	return &server{id: id, build: build, addr: listener.Addr().String()}, nil
}

// entry is the unit's entry in the list.
func (s *server) entry() unit {
	return unit{ID: s.id, Addr: s.addr, State: "ready", Build: s.build}
}

// ok answers a request.
func ok(w http.ResponseWriter) { _, _ = w.Write([]byte("ok\n")) }

func isBatch(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/batch/") }

// plainCredentials are those of a control service on the same host.
func plainCredentials() credentials.TransportCredentials { return insecure.NewCredentials() }
