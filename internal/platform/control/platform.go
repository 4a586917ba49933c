// Package platform speaks the platform's line protocol: one connection that follows what it tells, and on which votes are cast.
package control

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
	"flintspread/internal/watch"
)

const (
	mostLine = 8 << 10 // bytes
	silence  = 3.0     // s without a sign of life; one is due every second
	dialTime = 1.0     // s
	least    = 0.05    // s of pause before coming back
	most     = 1.0
)

// phases holds the platform's words for those of a release's news.
var phases = map[string]string{"trial": "on-trial", "rolling_back": "going-back", "released": "released", "withdrawn": "withdrawn"}

var (
	verdicts = [...]string{"WITHDRAW", "PROCEED", "HOLD", "ROLLBACK"}
	replies  = map[string]policy.VoteReply{"Throttling": policy.VoteRefused, "ConditionFailed": policy.VoteMoot,
		"InternalFailure": policy.VoteRefused, "ValidationError": policy.VoteRefused}
)

// ParseNews reads a state as the configuration holds it; none is nil.
func ParseNews(text []byte, stages int) (*releases.Update, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	var s struct {
		Build, Stage int
		Phase        string
		Cap          float64
		AgeMS        float64 `json:"age_ms"`
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	return news(s.Build, s.Stage, s.Phase, s.Cap, s.AgeMS, stages)
}

func news(build, stage int, phase string, limit, ageMS float64, stages int) (*releases.Update, error) {
	word, ok := phases[phase]
	if !ok {
		return nil, fmt.Errorf("unknown phase %.32q", phase)
	}
	n := &releases.Update{Build: build, Stage: stage, Phase: word, Cap: limit, Age: ageMS / 1000}
	return n, n.Check(stages)
}

// parseState reads the five fields of a state.
func parseState(f []string, stages int) (*releases.Update, error) {
	if len(f) != 5 {
		return nil, fmt.Errorf("a state of %d fields", len(f))
	}
	var errs [4]error
	build, err := strconv.ParseUint(f[0], 10, 16)
	errs[0] = err
	stage, err := strconv.Atoi(f[1])
	errs[1] = err
	limit, err := strconv.ParseFloat(f[3], 64)
	errs[2] = err
	age, err := strconv.ParseFloat(f[4], 64)
	errs[3] = err
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	return news(int(build), stage, f[2], limit, age, stages)
}

// Message is one thing that the platform said.
type Message struct {
	Release       *releases.Update // of the newest build
	WrongEndpoint string           // a complaint: this unit gave a wrong answer
	AgeMS         float64
	Answer        bool // to the oldest call
	Reply         policy.VoteReply
	Following     bool // the answer to follow
}

// Parse reads one line. first: the oldest call is the one that asked to follow. An error says that the line was spoilt.
func Parse(line string, stages int, first bool) (t Message, err error) {
	f := strings.Split(line, " ")
	switch {
	case line == "*":
	case f[0] == "*" && len(f) == 7 && f[1] == "progress":
		t.Release, err = parseState(f[2:], stages)
	case f[0] == "*" && len(f) == 5 && f[1] == "complaint":
		t.WrongEndpoint = f[2]
		if t.AgeMS, err = strconv.ParseFloat(f[4], 64); err == nil && !(t.AgeMS >= 0) {
			err = fmt.Errorf("age %v", t.AgeMS)
		}
	case f[0] == "*" && len(f) == 8 && f[1] == "metrics": // the module counts for itself
		for _, n := range []string{f[2], f[4], f[5], f[6], f[7]} {
			if _, bad := strconv.ParseFloat(n, 64); bad != nil {
				err = bad
			}
		}
	case f[0] == "*":
		err = errors.New("told of an unknown kind")
	case f[0] == "ERR" && len(f) == 2:
		var ok bool
		if t.Reply, ok = replies[f[1]]; !ok {
			err = errors.New("unknown error")
		}
		t.Answer = true
	case first && line == "OK":
		t.Answer, t.Following = true, true
	case !first && f[0] == "OK":
		t.Answer, t.Reply = true, policy.VoteCounted
		t.Release, err = parseState(f[1:], stages)
	default:
		err = errors.New("no answer of the platform's")
	}
	return t, err
}

// Client is a relay's connection to the platform. Its functions are called one at a time, and must not wait.
type Client struct {
	Stages        int
	Timeout       float64 // s that the answer to a vote is waited for
	Log           *slog.Logger
	OnRelease     func(*releases.Update)
	OnWrongAnswer func(unit string, age float64)
	OnVoteReply   func(releases.Vote, policy.VoteReply)

	mu      sync.Mutex
	address string
	moved   chan struct{}
	conn    net.Conn
	up      bool    // it follows
	calls   []*call // that wait for answers, the oldest first
}

type call struct {
	vote   releases.Vote
	follow bool
	over   *time.Timer
	given  bool // up
}

// Open makes the line ready; it is to be called before all else.
func (l *Client) Open(address string) { l.address, l.moved = address, make(chan struct{}, 1) }

// SetAddress has the line go on at another address: what is there already is joined before the present connection is left.
func (l *Client) SetAddress(address string) {
	l.mu.Lock()
	same := l.address == address
	l.address = address
	l.mu.Unlock()
	if !same {
		select {
		case l.moved <- struct{}{}:
		default:
		}
	}
}

// Run follows until ctx ends.
func (l *Client) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		from := time.Now()
		err := l.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(from).Seconds() > 2*silence {
			n = 0
		}
		wait := watch.Backoff(n, least, most, rand.Float64())
		l.Log.Warn("platform", "error", err, "again_in", fmt.Sprintf("%.2fs", wait))
		select {
		case <-ctx.Done():
		case <-l.moved:
		case <-time.After(time.Duration(wait * float64(time.Second))):
		}
	}
}

func (l *Client) dial(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	d := net.Dialer{Timeout: time.Duration(dialTime * float64(time.Second))}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte("follow\r\n")); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// joined is a connection that asked to follow; spoke tells that something came on it, or that nothing did.
type joined struct {
	conn  net.Conn
	br    *bufio.Reader
	spoke chan error
}

func (l *Client) join(ctx context.Context) (*joined, error) {
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	j := &joined{conn, bufio.NewReaderSize(conn, mostLine), make(chan error, 1)}
	conn.SetReadDeadline(time.Now().Add(time.Duration(silence * float64(time.Second))))
	go func() {
		_, err := j.br.Peek(1)
		j.spoke <- err
	}()
	return j, nil
}

// once serves one connection to its end, and those that follow it where the address moves.
func (l *Client) once(ctx context.Context) error {
	now, err := l.join(ctx)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-now.spoke:
	}
	for err == nil {
		ended := make(chan error, 1)
		l.take(now.conn)
		go func() { ended <- l.read(now) }()
		var next *joined
		next, err = l.successor(ctx, ended)
		l.leave(now.conn)
		<-ended
		if next != nil {
			now = next
		}
	}
	now.conn.Close()
	return err
}

// successor gives the next connection once something comes on it: until then what the platform tells comes on the present one, whose
// end it is told of. An error says that there is none.
func (l *Client) successor(ctx context.Context, ended chan error) (*joined, error) {
	var next *joined
	var spoke chan error
	over := ended
	for {
		select {
		case <-ctx.Done():
			if next != nil {
				next.conn.Close()
			}
			return nil, ctx.Err()
		case err := <-over:
			ended <- err // also for who waits for it
			if over = nil; next == nil {
				return nil, err
			}
		case err := <-spoke:
			if err != nil {
				next.conn.Close()
				return nil, err
			}
			return next, nil
		case <-l.moved:
			if next != nil {
				next.conn.Close()
			}
			var err error
			if next, err = l.join(ctx); err != nil {
				return nil, err
			}
			spoke = next.spoke
		}
	}
}

func (l *Client) take(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.up, l.calls = conn, false, []*call{{follow: true}}
}

// leave ends a connection. What was asked on it and has no answer may have been carried out.
func (l *Client) leave(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	calls := l.calls
	if l.conn == conn {
		l.conn, l.calls = nil, nil
	}
	l.mu.Unlock()
	for _, c := range calls {
		l.answered(c, policy.VoteUnknown, "the connection ended")
	}
}

// answered tells what became of a vote, once.
func (l *Client) answered(c *call, reply policy.VoteReply, why string) {
	l.mu.Lock()
	over := c.given || c.follow
	c.given = true
	l.mu.Unlock()
	if over {
		return
	}
	c.over.Stop()
	l.Log.Info("vote", "build", c.vote.Build, "stage", c.vote.Stage, "verdict", verdicts[c.vote.Verdict], "reply", reply, "why", why)
	l.OnVoteReply(c.vote, reply)
}

// read takes what comes on a connection. A spoilt line ends it: what follows can't be told apart.
func (l *Client) read(j *joined) error {
	conn, br := j.conn, j.br
	for {
		conn.SetReadDeadline(time.Now().Add(time.Duration(silence * float64(time.Second))))
		text, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		line, ok := strings.CutSuffix(string(text), "\r\n")
		if !ok {
			return errors.New("a line that does not end in CRLF")
		}
		l.mu.Lock()
		var oldest *call
		if l.conn == conn && len(l.calls) > 0 {
			oldest = l.calls[0]
		}
		l.mu.Unlock()
		t, err := Parse(line, l.Stages, oldest != nil && oldest.follow)
		if err != nil {
			return fmt.Errorf("line %.60q: %w", line, err)
		}
		if t.Release != nil {
			l.OnRelease(t.Release)
		}
		if t.WrongEndpoint != "" {
			l.OnWrongAnswer(t.WrongEndpoint, t.AgeMS/1000)
		}
		if !t.Answer {
			continue
		}
		if oldest == nil || oldest.follow && !t.Following {
			return fmt.Errorf("line %.60q answers nothing", line)
		}
		l.mu.Lock()
		if l.conn == conn {
			l.calls = slices.Delete(l.calls, 0, 1)
			l.up = true
		}
		l.mu.Unlock()
		l.answered(oldest, t.Reply, line)
	}
}

// Cast casts a vote without waiting. Where no connection follows it is not cast: the module asks again.
func (l *Client) Cast(v releases.Vote) {
	c := &call{vote: v}
	c.over = time.AfterFunc(time.Duration(l.Timeout*float64(time.Second)), func() { l.answered(c, policy.VoteUnknown, "no answer in time") })
	l.mu.Lock()
	if conn := l.conn; conn != nil && l.up {
		l.calls = append(l.calls, c)
		// A few bytes on a connection that is read: the kernel takes them at once.
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := fmt.Fprintf(conn, "judge %d %d %s\r\n", v.Build, v.Stage, verdicts[v.Verdict])
		l.mu.Unlock()
		if err != nil {
			conn.Close() // its reader tells
		}
		return
	}
	l.mu.Unlock()
	go l.answered(c, policy.VoteRefused, "no connection")
}
