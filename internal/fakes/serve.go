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

// lineIdleInterval is how long ServeLines waits for a line before it calls onIdle.
const lineIdleInterval = 500 * time.Millisecond

// ServeConns listens on a free loopback port and calls handle in a new goroutine for each connection, which it closes
// afterwards. It accepts connections until the returned listener is closed.
func ServeConns(handle func(net.Conn)) (net.Listener, error) {
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
				handle(c)
			}()
		}
	}()
	return l, nil
}

// ServeLines serves a line protocol. It calls handleLine with each line and, if onIdle is not nil, calls onIdle
// whenever a connection has received no line for lineIdleInterval.
func ServeLines(handleLine func(c net.Conn, line string), onIdle func(c net.Conn)) (net.Listener, error) {
	return ServeConns(func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			if onIdle != nil {
				c.SetReadDeadline(time.Now().Add(lineIdleInterval))
			}
			line, err := br.ReadString('\n')
			switch {
			case err == nil:
				handleLine(c, strings.TrimSpace(line))
			case os.IsTimeout(err):
				onIdle(c)
			default:
				return
			}
		}
	})
}

// serveUntilClosed runs an HTTP server until it is closed. If the server ends for any other reason, it panics, because
// the test would otherwise wait for answers that never come.
func serveUntilClosed(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Errorf("fake HTTP server: %w", err))
	}
}

// writeResponse writes the rest of a response. A write fails only if the client has disconnected; the handler is then
// aborted.
func writeResponse(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// jsonLine marshals a value as one line.
func jsonLine(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values come from this package and can always be marshalled
	}
	return append(text, '\n')
}

// writeLine writes and flushes a value as one line of a streamed response. It reports whether the client is still
// connected.
func writeLine(w http.ResponseWriter, value any) bool {
	if _, err := w.Write(jsonLine(value)); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// writeText writes text to a connection. A write fails only if the peer has disconnected; the connection is then
// closed, so that its reader ends.
func writeText(c net.Conn, text string) {
	if _, err := c.Write([]byte(text)); err != nil {
		c.Close()
	}
}

// resetOnClose makes closing a TCP connection send RST instead of FIN.
func resetOnClose(c net.Conn) {
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		slog.Warn("fake: failed to set SO_LINGER; the connection will be closed without a reset", "error", err)
	}
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
