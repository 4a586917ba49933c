package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Serve plays on each connection to a loopback port of its own, and closes it behind that, until the listener is closed.
func Serve(play func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				play(c)
			}()
		}
	}()
	return l, nil
}

// Desk serves a line protocol: take gets each line, idle, where it is not nil, is called when none came for half a second.
func Desk(take func(c net.Conn, line string), idle func(c net.Conn)) (net.Listener, error) {
	return Serve(func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			if idle != nil {
				c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			}
			line, err := br.ReadString('\n')
			switch {
			case err == nil:
				take(c, strings.TrimSpace(line))
			case os.IsTimeout(err):
				idle(c)
			default:
				return
			}
		}
	})
}

// serveUntilClosed runs an HTTP server until it is closed. Any other end would leave a test waiting for answers that never
// come: it panics.
func serveUntilClosed(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Errorf("fake HTTP server: %w", err))
	}
}

// writeResponse writes the rest of a response. That fails only once the client has gone: the handler is aborted then.
func writeResponse(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// resetOnClose makes the close of a TCP connection send a reset instead of an end of stream.
func resetOnClose(c net.Conn) {
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		slog.Warn("fake: connection will not be reset", "error", err)
	}
}
