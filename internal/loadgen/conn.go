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
	// timerSlackSeconds is how long before a deadline an error is taken for the deadline's.
	timerSlackSeconds = 0.001
)

// conn is one connection of a client, which is opened when a request needs it. Its goroutine sends and reads.
type conn struct {
	requests     chan *request // holds at most one; closed when the run ends
	localAddress string        // HOST:0; empty: any
	nc           net.Conn      // nil: it is not open
	br           *bufio.Reader
	buf          bytes.Buffer
}

func (c *conn) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// open connects to an address. A client whose number gives no loopback address connects from any.
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

// try sends a request and waits for its answer until the client gives up.
func (r *runner) try(c *conn, q *request) (end ending, retryAfter float64) {
	due := r.deadline(q)
	left := due - r.now()
	if left <= 0 {
		return gaveUp, 0
	}
	deadline := r.startedAt.Add(seconds(due))
	if c.nc == nil {
		if err := c.open(r.plan.Address, deadline); err != nil {
			return r.endingOfError(due, notConnected), 0
		}
	}
	answer, err := c.exchange(q, &r.plan.Classes[q.class], left, deadline)
	if err != nil {
		c.close()
		return r.endingOfError(due, connectionClosed), 0
	}
	if answer.close {
		c.close()
	}
	return answer.ending, answer.retryAfter
}

// endingOfError tells an error of the client's deadline from others.
func (r *runner) endingOfError(due float64, otherwise ending) ending {
	if r.now() >= due-timerSlackSeconds {
		return gaveUp
	}
	return otherwise
}

// exchange writes a request, with the seconds that its client has left, and reads the answer.
func (c *conn) exchange(q *request, class *RequestClass, left float64, deadline time.Time) (answer, error) {
	c.buf.Reset()
	fmt.Fprintf(&c.buf, "%s %s%d HTTP/1.1\r\nHost: load\r\nFlint-Time: %.4f\r\nFlint-Key: %d\r\nIdempotency-Key: %d-%d\r\n",
		class.Method, class.Path, q.key, left, q.key, q.key, int64(q.first*1e6))
	if q.retries > 0 {
		c.buf.WriteString("Flint-Repeat: 1\r\n")
	}
	if class.BodyBytes > 0 {
		fmt.Fprintf(&c.buf, "Content-Length: %d\r\n", class.BodyBytes)
	}
	c.buf.WriteString("\r\n")
	c.buf.Write(make([]byte, class.BodyBytes))
	c.nc.SetDeadline(deadline)
	if _, err := c.nc.Write(c.buf.Bytes()); err != nil {
		return answer{}, err
	}
	return readAnswer(c.br)
}

// answer is what a request got.
type answer struct {
	ending     ending  // succeeded, rejected or failed
	retryAfter float64 // seconds
	close      bool    // the other end closes the connection
}

// statusClassAt is the place of a status line's first digit of the status, after "HTTP/1.1 ".
const statusClassAt = 9

// readAnswer reads one answer and discards its body. Numbers that can't be read count as 0.
func readAnswer(br *bufio.Reader) (a answer, err error) {
	status, err := br.ReadSlice('\n')
	if err != nil {
		return a, err
	}
	if status = bytes.TrimRight(status, "\r\n"); len(status) < statusClassAt+3 {
		return a, fmt.Errorf("no status in %q", status)
	}
	a.ending = failed
	if status[statusClassAt] == '2' {
		a.ending = succeeded
	}
	length := 0
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return a, err
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(": "))
		switch string(name) {
		case "Content-Length":
			length, _ = strconv.Atoi(string(value))
		case "Flint-Answer":
			a.ending = endingOfAnswer(string(value))
		case "Flint-Pause":
			a.retryAfter, _ = strconv.ParseFloat(string(value), 64)
		case "Connection":
			a.close = string(value) == "close"
		}
	}
	_, err = br.Discard(length)
	return a, err
}

// endingOfAnswer maps the wire's word.
func endingOfAnswer(word string) ending {
	switch word {
	case "acked":
		return succeeded
	case "nacked":
		return rejected
	}
	return failed
}
