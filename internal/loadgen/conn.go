package loadgen

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"time"
)

const (
	readBufferBytes = 4096
	// timerSlackSeconds is how long before a request's deadline an I/O error already counts as the client's timeout.
	timerSlackSeconds = 0.001
)

// conn is a client's connection. It is opened when a request needs it; one goroutine sends its requests and reads the
// responses.
type conn struct {
	requests     chan *request // holds at most one; closed when the run ends
	localAddress string        // HOST:0; empty: any local address
	nc           net.Conn      // nil while the connection is closed
	br           *bufio.Reader
	buf          bytes.Buffer
}

func (c *conn) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// open connects to an address. If localAddress does not resolve, which happens for client numbers too large for a
// loopback address, the connection uses any local address.
func (c *conn) open(address string, deadline time.Time) error {
	dialer := net.Dialer{Deadline: deadline}
	if c.localAddress != "" {
		if local, err := net.ResolveTCPAddr("tcp", c.localAddress); err == nil {
			dialer.LocalAddr = local
		}
	}
	nc, err := dialer.Dial("tcp", address)
	if err != nil {
		return err
	}
	c.nc, c.br = nc, bufio.NewReaderSize(nc, readBufferBytes)
	return nil
}

// attempt sends a request and waits for the response until the client's timeout.
func (r *runner) attempt(c *conn, req *request) (result requestResult, retryAfterSeconds float64) {
	due := r.deadline(req)
	remainingSeconds := due - r.now()
	if remainingSeconds <= 0 {
		return gaveUp, 0
	}
	deadline := r.startedAt.Add(seconds(due))
	if c.nc == nil {
		if err := c.open(r.plan.Address, deadline); err != nil {
			return r.resultOfError(due, notConnected), 0
		}
	}
	resp, err := c.exchange(req, &r.plan.Classes[req.class], remainingSeconds, deadline)
	if err != nil {
		c.close()
		return r.resultOfError(due, connectionClosed), 0
	}
	if resp.close {
		c.close()
	}
	return resp.result, resp.retryAfterSeconds
}

// resultOfError returns gaveUp if an error was caused by the client's timeout, which is at due, and the fallback for
// other errors.
func (r *runner) resultOfError(due float64, fallback requestResult) requestResult {
	if r.now() >= due-timerSlackSeconds {
		return gaveUp
	}
	return fallback
}

// exchange writes a request and reads the response. A header of the request carries the seconds until the client's
// timeout.
func (c *conn) exchange(req *request, class *RequestClass, remainingSeconds float64, deadline time.Time) (response, error) {
	c.buf.Reset()
	fmt.Fprintf(&c.buf, "%s %s%d HTTP/1.1\r\nHost: load\r\nFlint-Time: %.4f\r\nFlint-Key: %d\r\nIdempotency-Key: %d-%d\r\n",
		class.Method, class.Path, req.key, remainingSeconds, req.key, req.key, int64(req.firstDueAt*1e6))
	if req.retries > 0 {
		c.buf.WriteString("Flint-Repeat: 1\r\n")
	}
	if class.BodyBytes > 0 {
		fmt.Fprintf(&c.buf, "Content-Length: %d\r\n", class.BodyBytes)
	}
	c.buf.WriteString("\r\n")
	c.buf.Write(make([]byte, class.BodyBytes))
	c.nc.SetDeadline(deadline)
	if _, err := c.nc.Write(c.buf.Bytes()); err != nil {
		return response{}, err
	}
	return readResponse(c.br)
}

// response holds the parts of an HTTP response that the load generator uses.
type response struct {
	result            requestResult // succeeded, rejected or failed
	retryAfterSeconds float64       // seconds
	close             bool          // the server will close the connection
}

// statusClassOffset is the offset of the first digit of the status code in a status line, after "HTTP/1.1 ".
const statusClassOffset = 9

// readResponse reads one response and discards its body. Header values that are not numbers count as 0.
func readResponse(br *bufio.Reader) (resp response, err error) {
	status, err := br.ReadSlice('\n')
	if err != nil {
		return resp, err
	}
	if status = bytes.TrimRight(status, "\r\n"); len(status) < statusClassOffset+3 {
		return resp, fmt.Errorf("status line %q has no status code", status)
	}
	resp.result = failed
	if status[statusClassOffset] == '2' {
		resp.result = succeeded
	}
	length := 0
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return resp, err
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(": "))
		switch string(name) {
		case "Content-Length":
			length, _ = strconv.Atoi(string(value))
		case "Flint-Answer":
			resp.result = resultOfHeader(string(value))
		case "Flint-Pause":
			resp.retryAfterSeconds, _ = strconv.ParseFloat(string(value), 64)
		case "Connection":
			resp.close = string(value) == "close"
		}
	}
	_, err = br.Discard(length)
	return resp, err
}

// resultOfHeader maps the value of the header Flint-Answer to a result.
func resultOfHeader(value string) requestResult {
	switch value {
	case "acked":
		return succeeded
	case "nacked":
		return rejected
	}
	return failed
}
