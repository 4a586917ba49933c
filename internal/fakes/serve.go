package fakes

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// lineIdleInterval is how long a line protocol waits for a line before it calls idle.
const lineIdleInterval = 500 * time.Millisecond

// ServeConns calls play with each connection to a loopback port of its own, and closes the connection after it, until the listener is
// closed.
func ServeConns(play func(net.Conn)) (net.Listener, error) {
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

// ServeLines serves a line protocol: take is called with each line, idle, if it is not nil, when none came for half a second.
func ServeLines(take func(c net.Conn, line string), idle func(c net.Conn)) (net.Listener, error) {
	return ServeConns(func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			if idle != nil {
				c.SetReadDeadline(time.Now().Add(lineIdleInterval))
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

// serveUntilClosed runs an HTTP server until it is closed. Any other end would leave a test waiting for answers that never come: it
// panics.
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

// jsonLine marshals a value as one line.
func jsonLine(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // of a value made here
	}
	return append(text, '\n')
}

// writeLine writes and flushes a value as one line of a streamed response. It reports whether the client is still there.
func writeLine(w http.ResponseWriter, value any) bool {
	if _, err := w.Write(jsonLine(value)); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// writeText writes text to a connection. That fails only once the other end has gone: the connection is closed then, so that whoever reads
// from it ends.
func writeText(c net.Conn, text string) {
	if _, err := c.Write([]byte(text)); err != nil {
		c.Close()
	}
}

// resetOnClose makes the close of a TCP connection send a reset instead of an end of stream.
func resetOnClose(c net.Conn) {
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		slog.Warn("fake: connection will not be reset", "error", err)
	}
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
