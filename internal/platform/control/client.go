// Package control is the client of the platform's control service. It speaks a line protocol on one connection, on
// which the platform pushes release states and wrong answers, and on which votes are cast. Client.Run owns the
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
	maxLineBytes = 8 << 10
	silenceLimit = 3 * time.Second // maximum time without a line; the platform sends one every second
	dialTimeout  = time.Second

	// Backoff between connections, in seconds.
	backoffMinSeconds = 0.05
	backoffMaxSeconds = 1.0
	// A connection that lasted longer than this was a working one, so the backoff starts again from its minimum.
	backoffResetAfter = 2 * silenceLimit
)

// Client is a router's connection to the platform. Its exported fields must be set before Run or Cast. The callbacks
// must not block. They are called from several goroutines, since a vote's timeout has its own.
type Client struct {
	Stages        int           // number of rollout stages
	VoteTimeout   time.Duration // maximum wait for the reply to a vote
	Log           *slog.Logger
	OnRelease     func(*releases.Update)
	OnWrongAnswer func(host string, ageSeconds float64) // an endpoint gave a wrong answer ageSeconds ago
	OnVoteReply   func(releases.Vote, policy.VoteReply) // called exactly once per vote

	mu             sync.Mutex
	address        string
	addressChanged chan struct{}
	conn           *connection // the one in use; nil: none
	following      bool        // the platform accepted the follow call on conn
	calls          []*call     // awaiting replies on conn, oldest first
}

// Open sets the platform's address. It must be called once, before any other method.
func (c *Client) Open(address string) {
	c.address, c.addressChanged = address, make(chan struct{}, 1)
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
	case c.addressChanged <- struct{}{}:
	default: // a change is already pending and will use this address
	}
}

// Run follows the platform until ctx ends, reconnecting with backoff. It must be called once.
func (c *Client) Run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		startedAt := time.Now()
		err := c.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(startedAt) > backoffResetAfter {
			attempt = 0
		}
		pause := watch.Backoff(attempt, backoffMinSeconds, backoffMaxSeconds, rand.Float64())
		c.Log.Warn("platform connection ended", "error", err, "retry_in_seconds", pause)
		select {
		case <-ctx.Done():
		case <-c.addressChanged:
		case <-time.After(time.Duration(pause * float64(time.Second))):
		}
	}
}

// connection is a connection on which the client has sent the follow call.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	firstByte chan error    // receives nil once data arrived, or the error
	ended     chan struct{} // closed when reading has ended
	err       error         // why reading ended; set before ended is closed
}

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
	conn.SetReadDeadline(time.Now().Add(silenceLimit))
	go func() { // ends with the connection or at the read deadline
		_, err := opened.reader.Peek(1)
		opened.firstByte <- err
	}()
	return opened, nil
}

// serve follows the platform on one connection, and on those that replace it after a change of address, until one ends.
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
		c.use(current)
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

// replacement blocks until the address changes, and returns a connection to the new address once data arrived on it.
// The current connection is read until then, so that no push is lost. It returns an error if the current connection
// ends without a replacement, if connecting to the new address fails, or if ctx ends.
func (c *Client) replacement(ctx context.Context, current *connection) (*connection, error) {
	var next *connection
	var firstByte chan error // of next; nil blocks forever
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
			ended = nil // still wait for next
		case err := <-firstByte:
			if err != nil {
				next.Close()
				return nil, err
			}
			return next, nil
		case <-c.addressChanged:
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

// use makes a connection the current one. Votes are cast on it once its follow call is accepted.
func (c *Client) use(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.following, c.calls = conn, false, []*call{{follow: true}}
}

// abandon closes a connection. Votes on it without a reply are reported as VoteUnknown, since they may have been
// counted.
func (c *Client) abandon(conn *connection) {
	conn.Close()
	c.mu.Lock()
	unanswered := c.calls
	if c.conn == conn {
		c.conn, c.calls = nil, nil
	}
	c.mu.Unlock()
	for _, call := range unanswered {
		c.finish(call, policy.VoteUnknown, "the connection ended")
	}
}

// read handles a connection's lines until it ends. A malformed line ends it, since later replies could be matched to
// the wrong calls.
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

func readLine(conn *connection) (string, error) {
	conn.SetReadDeadline(time.Now().Add(silenceLimit))
	text, err := conn.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	line, ok := strings.CutSuffix(string(text), "\r\n")
	if !ok {
		return "", errors.New("a line that does not end in CRLF")
	}
	return line, nil
}

// handle parses a line and calls the callbacks for what it contains.
func (c *Client) handle(conn *connection, line string) error {
	oldest := c.oldestCall(conn)
	message, err := Parse(line, c.Stages, oldest != nil && oldest.follow)
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
	if oldest == nil || oldest.follow && !message.FollowAccepted {
		return errors.New("answers nothing")
	}
	c.removeOldestCall(conn)
	c.finish(oldest, message.VoteReply, line)
	return nil
}
