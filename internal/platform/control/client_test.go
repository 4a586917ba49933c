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

// fakePlatform is a fake control service that records the lines it receives.
type fakePlatform struct {
	listener net.Listener
	mu       sync.Mutex
	received []string
}

// startPlatform starts a fake platform that passes each received line to reply.
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

// count returns the number of received lines that start with prefix.
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

// startClient runs a client with 2 rollout stages, and returns it with a channel that receives a text for each callback
// that the client calls, in order.
func startClient(t *testing.T, platform *fakePlatform) (*Client, chan string) {
	events := make(chan string, 1000)
	client := &Client{StageCount: 2, VoteTimeout: 300 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnRelease: func(update *releases.Update) {
			events <- fmt.Sprintf("release %d %d %s", update.Build, update.Stage, update.Phase)
		},
		OnWrongAnswer: func(host string, age float64) { events <- fmt.Sprintf("wrong answer %s %g", host, age) },
		OnVoteReply:   func(_ releases.Vote, reply policy.VoteReply) { events <- "vote " + replyNames[reply] }}
	client.Init(platform.listener.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return client, events
}

// next returns the text of the next callback.
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

// expect fails the test unless the next callback's text is want.
func expect(t *testing.T, events chan string, want string) {
	t.Helper()
	if got := next(t, events); got != want {
		t.Errorf("callback %q, want %q", got, want)
	}
}

// send writes to a client, and closes the connection if the client has already closed it.
func send(conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		conn.Close()
	}
}

// stateFields holds the fields of a release state, followed by the end of the line.
const stateFields = "42 1 trial 0.28 310\r\n"

// OnVoteReply receives the result of each kind of reply to a vote. The client reconnects only after a malformed line.
func TestVoteReplies(t *testing.T) {
	for _, c := range []struct {
		reply      string
		want       string // texts of the callbacks, separated by slashes
		reconnects bool
	}{
		{"OK " + stateFields, "release 42 1 on-trial/vote counted", false},
		{"* progress " + stateFields + "OK " + stateFields, "release 42 1 on-trial/release 42 1 on-trial/vote counted", false},
		{"ERR ConditionFailed\r\n", "vote moot", false},
		{"ERR Throttling\r\n", "vote refused", false},
		{"ERR InternalFailure\r\n", "vote refused", false},
		{"OK 42 1 tri\r\n", "vote unknown", true},
		{"%&/\r\n", "vote unknown", true},
		{"OK 42 1 trial 0.28 310\n", "vote unknown", true},
		{strings.Repeat("x", 9000), "vote unknown", true},
		{"", "vote unknown", false}, // no reply before the timeout
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
			t.Fatalf("callback %q after the follow call", got)
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
			t.Errorf("%.40q: %d connections, want 1", c.reply, platform.count("follow"))
		}
		if platform.count("judge 42 1 PROCEED") != 1 {
			t.Errorf("the platform received %q, want one vote", platform.received)
		}
	}
}

// A reply that arrives after its vote's timeout is not matched to the next vote. A vote without a connection is refused.
func TestLateReplyAndMissingConnection(t *testing.T) {
	var mu sync.Mutex
	firstVoteReceived := false // its reply is delayed until the second vote
	platform := startPlatform(t, func(conn net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case line == "follow":
			send(conn, "OK\r\n* progress "+stateFields)
		case !firstVoteReceived:
			firstVoteReceived = true
		default:
			send(conn, "ERR Throttling\r\nERR ConditionFailed\r\n")
		}
	})
	client, events := startClient(t, platform)
	next(t, events)
	client.Cast(releases.Vote{Build: 42, Verdict: policy.VotePromote})
	expect(t, events, "vote unknown")
	client.Cast(releases.Vote{Build: 42, Verdict: policy.VoteRollback})
	if got := next(t, events); got != "vote moot" {
		t.Errorf("the second vote got %q, want its own reply", got)
	}
	unconnected := &Client{VoteTimeout: time.Second, Log: client.Log, OnVoteReply: client.OnVoteReply}
	unconnected.Init("127.0.0.1:1")
	unconnected.Cast(releases.Vote{})
	expect(t, events, "vote refused")
}

// After a change of address, the client follows the platform at the new address. If the address changes twice in quick
// succession, it follows the last one.
func TestAddressChange(t *testing.T) {
	follow := func(build int) func(net.Conn, string) {
		return func(conn net.Conn, line string) {
			fmt.Fprintf(conn, "OK\r\n* progress %d 0 trial 0.5 0\r\n", build)
		}
	}
	first, second, third := startPlatform(t, follow(1)), startPlatform(t, follow(2)), startPlatform(t, follow(3))
	client, events := startClient(t, first)
	expect(t, events, "release 1 0 on-trial")
	client.SetAddress(second.listener.Addr().String())
	client.SetAddress(third.listener.Addr().String())
	for got := ""; got != "release 3 0 on-trial"; {
		got = next(t, events)
	}
	client.SetAddress(third.listener.Addr().String())
	client.SetAddress(first.listener.Addr().String())
	for got := ""; got != "release 1 0 on-trial"; { // "release 3" may arrive twice, since either change may connect to third
		if got = next(t, events); got == "release 2 0 on-trial" {
			t.Error("the client connected to the second address again")
		}
	}
}

// The client uses the current connection until data arrives on the next one, and waits for that data even if the current
// connection ends. It closes a connection that stays silent, and reconnects.
func TestAddressChangeToSilentPlatform(t *testing.T) {
	var mu sync.Mutex
	var current net.Conn
	first := startPlatform(t, func(conn net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		current = conn
		send(conn, "OK\r\n* progress 1 0 trial 0.5 0\r\n")
	})
	gate := make(chan struct{}) // closed to let the silent platform reply
	silent := startPlatform(t, func(conn net.Conn, line string) {
		<-gate
		send(conn, "OK\r\n* progress 3 0 trial 0.5 0\r\n")
	})
	client, events := startClient(t, first)
	expect(t, events, "release 1 0 on-trial")
	client.SetAddress(silent.listener.Addr().String())
	for silent.count("follow") == 0 {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	send(current, "* progress 2 0 trial 0.5 0\r\n")
	mu.Unlock()
	expect(t, events, "release 2 0 on-trial")
	mu.Lock()
	current.Close()
	mu.Unlock()
	close(gate)
	expect(t, events, "release 3 0 on-trial")
	// Nothing more arrives: the client closes the silent connection and reconnects.
	if got := next(t, events); got != "release 3 0 on-trial" || silent.count("follow") < 2 {
		t.Errorf("%s on connection %d", got, silent.count("follow"))
	}
}
