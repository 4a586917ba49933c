// Package control is the client of the platform's control service. It uses a line protocol on one connection, on which
// the platform pushes release states and reports of wrong answers, and the client casts votes. Client.Run owns the
// connection and reconnects; Client.Cast may be called from any goroutine.
package control

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
	"flintspread/internal/watch"
)

const (
	maxLineBytes   = 8 << 10         // maximum length of a line from the platform, including its CRLF
	silenceTimeout = 3 * time.Second // maximum time without a line; the platform sends a line every second
	dialTimeout    = time.Second

	// Limits of the backoff before reconnecting.
	backoffMinSeconds = 0.05
	backoffMaxSeconds = 1.0
	// backoffResetAfter is the lifetime of a connection above which the backoff restarts from its minimum. Such a
	// connection must have received data, since one without data ends after dialTimeout and silenceTimeout at the
	// latest.
	backoffResetAfter = 2 * silenceTimeout
)

// Client is a router's connection to the platform. Its exported fields must be set before Run or Cast. The callbacks
// must not block. Several goroutines call them, since each vote's timeout runs on a goroutine of its own.
type Client struct {
	StageCount    int           // number of rollout stages
	VoteTimeout   time.Duration // maximum time to wait for the reply to a vote
	Log           *slog.Logger
	OnRelease     func(*releases.Update)                // the platform sent a release state
	OnWrongAnswer func(host string, ageSeconds float64) // an endpoint gave a wrong answer ageSeconds ago
	OnVoteReply   func(releases.Vote, policy.VoteReply) // called exactly once per vote

	mu             sync.Mutex
	address        string
	addressChanges chan struct{}
	conn           *connection // current connection; nil if there is none
	followAccepted bool        // whether the platform accepted the follow call on conn
	pendingCalls   []*call     // calls on conn without a reply, oldest first
}

// Init sets the platform's address. It must be called once, before any other method.
func (c *Client) Init(address string) {
	c.address, c.addressChanges = address, make(chan struct{}, 1)
}

// SetAddress moves the client to another address: the new connection is established before the current one is closed.
// It does not block.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	same := c.address == address
	c.address = address
	c.mu.Unlock()
	if same {
		return
	}
	select {
	case c.addressChanges <- struct{}{}:
	default: // a pending change will use this address
	}
}

// Run follows the platform until ctx ends, reconnecting with backoff. It must be called once.
func (c *Client) Run(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		startedAt := time.Now()
		err := c.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(startedAt) > backoffResetAfter {
			try = 0
		}
		pause := watch.Backoff(try, backoffMinSeconds, backoffMaxSeconds, rand.Float64())
		c.Log.Warn("no connection to the platform; retrying", "error", err, "retry_in_seconds", pause)
		select {
		case <-ctx.Done():
		case <-c.addressChanges:
		case <-time.After(time.Duration(pause * float64(time.Second))):
		}
	}
}

// connection is a connection on which the client has sent the follow call.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	firstByte chan error    // receives nil when the first byte arrives, or the error of waiting for it
	ended     chan struct{} // closed when read has returned
	err       error         // result of read; set before ended is closed
}

// connect connects to the current address and sends the follow call.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte("follow\r\n")); err != nil {
		conn.Close()
		return nil, err
	}
	opened := &connection{
		Conn:      conn,
		reader:    bufio.NewReaderSize(conn, maxLineBytes),
		firstByte: make(chan error, 1),
		ended:     make(chan struct{}),
	}
	conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	go func() { // ends when data arrives, when the connection is closed or at the read deadline
		_, err := opened.reader.Peek(1)
		opened.firstByte <- err
	}()
	return opened, nil
}

// serve follows the platform on one connection, and on those that replace it after changes of the address. It returns
// an error when a connection ends without a replacement, when connecting fails, or when ctx ends.
func (c *Client) serve(ctx context.Context) error {
	current, err := c.connect(ctx)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-current.firstByte:
	}
	for err == nil {
		c.activate(current)
		go func(conn *connection) {
			conn.err = c.read(conn)
			close(conn.ended)
		}(current)
		var next *connection
		next, err = c.replacement(ctx, current)
		c.abandon(current)
		<-current.ended
		if next != nil {
			current = next
		}
	}
	current.Close()
	return err
}

// replacement blocks until the address changes, and returns a connection to the new address once data has arrived on
// it. The current connection is read until then, so that no push is lost. It returns an error if the current connection
// ends before the address changes, if connecting to the new address or waiting for its data fails, or if ctx ends.
func (c *Client) replacement(ctx context.Context, current *connection) (*connection, error) {
	var next *connection
	var firstByte chan error // that of next; while nil, receiving from it blocks
	ended := current.ended
	for {
		select {
		case <-ctx.Done():
			if next != nil {
				next.Close()
			}
			return nil, ctx.Err()
		case <-ended:
			if next == nil {
				return nil, current.err
			}
			ended = nil // wait only for next from now on
		case err := <-firstByte:
			if err != nil {
				next.Close()
				return nil, err
			}
			return next, nil
		case <-c.addressChanges:
			if next != nil {
				next.Close()
			}
			var err error
			if next, err = c.connect(ctx); err != nil {
				return nil, err
			}
			firstByte = next.firstByte
		}
	}
}

// activate makes conn the current connection. Votes can be cast on it once the platform has accepted its follow call.
func (c *Client) activate(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.followAccepted, c.pendingCalls = conn, false, []*call{{isFollow: true}}
}

// abandon closes conn. The result of its votes without a reply is VoteUnknown, since the platform may have counted them.
func (c *Client) abandon(conn *connection) {
	conn.Close()
	c.mu.Lock()
	unanswered := c.pendingCalls
	if c.conn == conn {
		c.conn, c.pendingCalls = nil, nil
	}
	c.mu.Unlock()
	for _, call := range unanswered {
		c.finish(call, policy.VoteUnknown, "the connection ended")
	}
}

// read handles the lines on conn until the connection ends. A malformed line is an error, since later replies could be
// matched to the wrong calls.
func (c *Client) read(conn *connection) error {
	for {
		line, err := readLine(conn)
		if err != nil {
			return err
		}
		if err := c.handle(conn, line); err != nil {
			return fmt.Errorf("line %.60q: %w", line, err)
		}
	}
}

// readLine returns the next line without its CRLF.
func readLine(conn *connection) (string, error) {
	conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	text, err := conn.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	line, ok := strings.CutSuffix(string(text), "\r\n")
	if !ok {
		return "", errors.New("line does not end in CRLF")
	}
	return line, nil
}

// handle parses a line, calls the callbacks for its contents, and finishes the call that it replies to.
func (c *Client) handle(conn *connection, line string) error {
	oldest := c.oldestCall(conn)
	message, err := ParseLine(line, c.StageCount, oldest != nil && oldest.isFollow)
	if err != nil {
		return err
	}
	if message.Release != nil {
		c.OnRelease(message.Release)
	}
	if message.WrongAnswerHost != "" {
		c.OnWrongAnswer(message.WrongAnswerHost, message.WrongAnswerAgeMilliseconds/1000)
	}
	if !message.IsReply {
		return nil
	}
	if oldest == nil || oldest.isFollow && !message.FollowAccepted {
		return errors.New("unexpected reply: no call is pending, or the platform rejected the follow call")
	}
	c.removeOldestCall(conn)
	c.finish(oldest, message.VoteReply, line)
	return nil
}
