package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"flintspread/internal/fakes"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// fakePlatform is a platform with scripted replies.
type fakePlatform struct {
	listener net.Listener
	mu       sync.Mutex
	received []string
}

func startPlatform(t *testing.T, reply func(c net.Conn, line string)) *fakePlatform {
	platform := &fakePlatform{}
	var err error
	platform.listener, err = fakes.ServeLines(func(c net.Conn, line string) {
		platform.mu.Lock()
		platform.received = append(platform.received, line)
		platform.mu.Unlock()
		reply(c, line)
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { platform.listener.Close() })
	return platform
}

func (p *fakePlatform) count(prefix string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.received {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

// startClient runs a client and returns it with a channel of its callbacks' calls, in order.
func startClient(t *testing.T, platform *fakePlatform) (*Client, chan string) {
	events := make(chan string, 1000)
	client := &Client{Stages: 2, VoteTimeout: 300 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnRelease: func(update *releases.Update) {
			events <- fmt.Sprintf("release %d %d %s", update.Build, update.Stage, update.Phase)
		},
		OnWrongAnswer: func(host string, age float64) { events <- fmt.Sprintf("wrong answer %s %g", host, age) },
		OnVoteReply:   func(_ releases.Vote, reply policy.VoteReply) { events <- fmt.Sprintf("vote %d", reply) }}
	client.Open(platform.listener.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return client, events
}

func next(t *testing.T, events chan string) string {
	t.Helper()
	select {
	case s := <-events:
		return s
	case <-time.After(5 * time.Second):
		t.Fatal("no callback within 5 s")
	}
	return ""
}

// send writes to a client, which may have closed the connection.
func send(conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		conn.Close()
	}
}

// stateFields is a release state, as it appears at the end of lines.
const stateFields = "42 1 trial 0.28 310\r\n"

// Each reply to a vote is interpreted correctly and the client continues, on a new connection if a line was malformed.
func TestVoteReplies(t *testing.T) {
	for _, c := range []struct {
		reply      string
		want       string
		reconnects bool // the connection can't be used further
	}{
		{"OK " + stateFields, "release 42 1 on-trial/vote 0", false},
		{"* progress " + stateFields + "OK " + stateFields, "release 42 1 on-trial/release 42 1 on-trial/vote 0", false},
		{"ERR ConditionFailed\r\n", "vote 1", false},
		{"ERR Throttling\r\n", "vote 2", false},
		{"ERR InternalFailure\r\n", "vote 2", false},
		{"OK 42 1 tri\r\n", "vote 3", true},
		{"%&/\r\n", "vote 3", true},
		{"OK 42 1 trial 0.28 310\n", "vote 3", true},
		{strings.Repeat("x", 9000), "vote 3", true},
		{"", "vote 3", false}, // no reply in time; a late one is not taken for the next vote's
	} {
		platform := startPlatform(t, func(conn net.Conn, line string) {
			if line == "follow" {
				send(conn, "OK\r\n* progress "+stateFields)
				return
			}
			send(conn, c.reply)
		})
		client, events := startClient(t, platform)
		if got := next(t, events); got != "release 42 1 on-trial" {
			t.Fatal(got)
		}
		client.Cast(releases.Vote{Build: 42, Stage: 1, Verdict: policy.VotePromote})
		for _, want := range strings.Split(c.want, "/") {
			if got := next(t, events); got != want {
				t.Errorf("%.40q: %s, want %s", c.reply, got, want)
			}
		}
		if c.reconnects {
			if got := next(t, events); got != "release 42 1 on-trial" || platform.count("follow") != 2 {
				t.Errorf("%.40q: %s on connection %d", c.reply, got, platform.count("follow"))
			}
		} else if platform.count("follow") != 1 {
			t.Errorf("%.40q: %d connections", c.reply, platform.count("follow"))
		}
		if platform.count("judge 42 1 PROCEED") != 1 {
			t.Errorf("%q", platform.received)
		}
	}
}

// A vote's late reply is not the next vote's; a vote without a connection is refused.
func TestLateReplyBelongsToItsVote(t *testing.T) {
	var mu sync.Mutex
	held := false
	platform := startPlatform(t, func(conn net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case line == "follow":
			send(conn, "OK\r\n* progress "+stateFields)
		case !held:
			held = true
		default:
			send(conn, "ERR Throttling\r\nERR ConditionFailed\r\n")
		}
	})
	client, events := startClient(t, platform)
	next(t, events)
	client.Cast(releases.Vote{Build: 42, Verdict: policy.VotePromote})
	if got := next(t, events); got != "vote 3" {
		t.Error(got)
	}
	client.Cast(releases.Vote{Build: 42, Verdict: policy.VoteRollback})
	if got := next(t, events); got != "vote 1" {
		t.Error("the second vote got the first one's reply:", got)
	}
	unconnected := &Client{VoteTimeout: time.Second, Log: client.Log, OnVoteReply: client.OnVoteReply}
	unconnected.Open("127.0.0.1:1")
	unconnected.Cast(releases.Vote{})
	if got := next(t, events); got != "vote 2" {
		t.Error(got)
	}
}

// At a change of address the new connection is established before the old one is closed, even if the address changes
// again immediately.
func TestAddressChange(t *testing.T) {
	follow := func(build int) func(net.Conn, string) {
		return func(conn net.Conn, line string) {
			fmt.Fprintf(conn, "OK\r\n* progress %d 0 trial 0.5 0\r\n", build)
		}
	}
	a, b, c := startPlatform(t, follow(1)), startPlatform(t, follow(2)), startPlatform(t, follow(3))
	client, events := startClient(t, a)
	if got := next(t, events); got != "release 1 0 on-trial" {
		t.Error(got)
	}
	client.SetAddress(b.listener.Addr().String())
	client.SetAddress(c.listener.Addr().String())
	for got := ""; got != "release 3 0 on-trial"; {
		got = next(t, events)
	}
	client.SetAddress(c.listener.Addr().String())
	client.SetAddress(a.listener.Addr().String())
	for got := ""; got != "release 1 0 on-trial"; { // "release 3" may arrive twice: either change connects to c
		if got = next(t, events); got == "release 2 0 on-trial" {
			t.Error("back at the second")
		}
	}
}

// The current connection is used until data arrives on the next one, which the client still waits for if the current
// one ends. A connection that goes silent is closed, and the client reconnects.
func TestAddressChangeToSilentPlatform(t *testing.T) {
	var mu sync.Mutex
	var present net.Conn
	a := startPlatform(t, func(conn net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		present = conn
		send(conn, "OK\r\n* progress 1 0 trial 0.5 0\r\n")
	})
	gate := make(chan struct{})
	silent := startPlatform(t, func(conn net.Conn, line string) {
		<-gate
		send(conn, "OK\r\n* progress 3 0 trial 0.5 0\r\n")
	})
	client, events := startClient(t, a)
	if got := next(t, events); got != "release 1 0 on-trial" {
		t.Error(got)
	}
	client.SetAddress(silent.listener.Addr().String())
	for silent.count("follow") == 0 {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	send(present, "* progress 2 0 trial 0.5 0\r\n")
	mu.Unlock()
	if got := next(t, events); got != "release 2 0 on-trial" {
		t.Error(got)
	}
	mu.Lock()
	present.Close()
	mu.Unlock()
	close(gate)
	if got := next(t, events); got != "release 3 0 on-trial" {
		t.Error(got)
	}
	// Nothing more arrives: the client closes the silent connection and reconnects.
	if got := next(t, events); got != "release 3 0 on-trial" || silent.count("follow") < 2 {
		t.Errorf("%s on connection %d", got, silent.count("follow"))
	}
}
