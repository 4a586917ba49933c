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

func stood(n *releases.Update) string {
	return fmt.Sprint(n.Build, n.Stage, " ", n.Phase, " ", n.Cap, n.Age)
}

func TestParse(t *testing.T) {
	for _, c := range []struct {
		line  string
		first bool
		want  string
	}{
		{"* progress 42 1 trial 0.28 310", false, "state 42 1 on-trial 0.28 0.31"},
		{"*", false, "quiet"},
		{"* metrics 42 lookup 57 2 18.5 900", false, "quiet"},
		{"* complaint s-5be2a07c lookup 1200", false, "s-5be2a07c 1200"},
		{"OK", true, "following"},
		{"OK 42 1 released 1.0 0", false, "counted state 42 1 released 1 0"},
		{"ERR Throttling", false, "refused"},
		{"ERR ConditionFailed", false, "moot"},
		{"ERR InternalFailure", false, "refused"},
		{"ERR ValidationError", false, "refused"},
	} {
		got := ""
		told, err := Parse(c.line, 2, c.first)
		switch {
		case err != nil:
			got = err.Error()
		case told.Following:
			got = "following"
		case told.WrongEndpoint != "":
			got = fmt.Sprint(told.WrongEndpoint, " ", told.AgeMS)
		case told.Answer:
			got = [...]string{"counted", "moot", "refused", "unknown"}[told.Reply]
			if told.Release != nil {
				got += " state " + stood(told.Release)
			}
		case told.Release != nil:
			got = "state " + stood(told.Release)
		default:
			got = "quiet"
		}
		if got != c.want {
			t.Errorf("%q: %s, want %s", c.line, got, c.want)
		}
	}
	for _, spoilt := range []string{"", "OK", "OK 42", "OK 42 1 trial 0.28", "OK 42 1 trial 0.28 310 7", "OK 42 2 trial 0.28 310", "OK -1 0 trial 0.28 310",
		"OK 42 1 trail 0.28 310", "OK 42 1 trial 1.28 310", "OK 42 1 trial NaN 310", "OK 42 1 trial 0.28 -1", "ERR", "ERR Throttled", "ok 42 1 trial 0.28 310",
		"* progress 42 1 trial 0.28", "* progress 42 1 trial 0.28 x", "* complaint s1 lookup", "* complaint s1 lookup x", "* gossip", "* metrics a b c d e f", "\x00\xff"} {
		if got, err := Parse(spoilt, 2, false); err == nil {
			t.Errorf("%q was read as %+v", spoilt, got)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"* progress 42 1 trial 0.28 310", "OK 42 1 trial 0.28 310", "* complaint s lookup 1200", "ERR Throttling", "*", "OK"} {
		f.Add(s, false)
	}
	f.Fuzz(func(t *testing.T, line string, first bool) {
		told, err := Parse(line, 3, first)
		if err == nil && told.Release != nil && told.Release.Check(3) != nil {
			t.Fatalf("%q gave %+v", line, told.Release)
		}
	})
}

// desk is a platform that answers votes as a test says.
type desk struct {
	l     net.Listener
	mu    sync.Mutex
	asked []string
}

func startDesk(t *testing.T, reply func(c net.Conn, line string)) *desk {
	d := &desk{}
	var err error
	d.l, err = fakes.Desk(func(c net.Conn, line string) {
		d.mu.Lock()
		d.asked = append(d.asked, line)
		d.mu.Unlock()
		reply(c, line)
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.l.Close() })
	return d
}

func (d *desk) count(what string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.asked {
		if strings.HasPrefix(a, what) {
			n++
		}
	}
	return n
}

// open follows a desk and gives what the line tells, in order.
func open(t *testing.T, d *desk) (*Client, chan string) {
	told := make(chan string, 1000)
	l := &Client{Stages: 2, Timeout: 0.3, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnRelease:     func(n *releases.Update) { told <- fmt.Sprintf("news %d %d %s", n.Build, n.Stage, n.Phase) },
		OnWrongAnswer: func(unit string, age float64) { told <- fmt.Sprintf("blamed %s %g", unit, age) },
		OnVoteReply:   func(v releases.Vote, r policy.VoteReply) { told <- fmt.Sprintf("vote %d", r) }}
	l.Open(d.l.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return l, told
}

func next(t *testing.T, told chan string) string {
	t.Helper()
	select {
	case s := <-told:
		return s
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was told within 5 s")
	}
	return ""
}

const state = "42 1 trial 0.28 310\r\n"

// What each answer to a vote means, and that the line goes on, on a new connection where the old one was spoilt.
func TestVotes(t *testing.T) {
	for _, c := range []struct {
		reply string
		want  string
		fresh bool // the connection is of no further use
	}{
		{"OK " + state, "news 42 1 on-trial/vote 0", false},
		{"* progress " + state + "OK " + state, "news 42 1 on-trial/news 42 1 on-trial/vote 0", false},
		{"ERR ConditionFailed\r\n", "vote 1", false},
		{"ERR Throttling\r\n", "vote 2", false},
		{"ERR InternalFailure\r\n", "vote 2", false},
		{"OK 42 1 tri\r\n", "vote 3", true},
		{"%&/\r\n", "vote 3", true},
		{"OK 42 1 trial 0.28 310\n", "vote 3", true},
		{strings.Repeat("x", 9000), "vote 3", true},
		{"", "vote 3", false}, // no answer in time; a late one is not taken for the next one's
	} {
		d := startDesk(t, func(conn net.Conn, line string) {
			if line == "follow" {
				io.WriteString(conn, "OK\r\n* progress "+state)
				return
			}
			io.WriteString(conn, c.reply)
		})
		l, told := open(t, d)
		if got := next(t, told); got != "news 42 1 on-trial" {
			t.Fatal(got)
		}
		l.Cast(releases.Vote{Build: 42, Stage: 1, Verdict: policy.VotePromote})
		for _, want := range strings.Split(c.want, "/") {
			if got := next(t, told); got != want {
				t.Errorf("%.40q: %s, want %s", c.reply, got, want)
			}
		}
		if c.fresh {
			if got := next(t, told); got != "news 42 1 on-trial" || d.count("follow") != 2 {
				t.Errorf("%.40q: %s on connection %d", c.reply, got, d.count("follow"))
			}
		} else if d.count("follow") != 1 {
			t.Errorf("%.40q: %d connections", c.reply, d.count("follow"))
		}
		if d.count("judge 42 1 PROCEED") != 1 {
			t.Errorf("%q", d.asked)
		}
	}
}

// A vote's late answer is not the next vote's; a vote without a connection was not cast.
func TestLateAnswer(t *testing.T) {
	var mu sync.Mutex
	held := false
	d := startDesk(t, func(conn net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case line == "follow":
			io.WriteString(conn, "OK\r\n* progress "+state)
		case !held:
			held = true
		default:
			io.WriteString(conn, "ERR Throttling\r\nERR ConditionFailed\r\n")
		}
	})
	l, told := open(t, d)
	next(t, told)
	l.Cast(releases.Vote{Build: 42, Verdict: policy.VotePromote})
	if got := next(t, told); got != "vote 3" {
		t.Error(got)
	}
	l.Cast(releases.Vote{Build: 42, Verdict: policy.VoteRollback})
	if got := next(t, told); got != "vote 1" {
		t.Error("the second vote got the first one's answer:", got)
	}
	gone := &Client{Timeout: 1, Log: l.Log, OnVoteReply: l.OnVoteReply}
	gone.Open("127.0.0.1:1")
	gone.Cast(releases.Vote{})
	if got := next(t, told); got != "vote 2" {
		t.Error(got)
	}
}

// A move joins the new address before it leaves the old one, also when it moves again at once.
func TestMove(t *testing.T) {
	follow := func(n int) func(net.Conn, string) {
		return func(conn net.Conn, line string) { fmt.Fprintf(conn, "OK\r\n* progress %d 0 trial 0.5 0\r\n", n) }
	}
	a, b, c := startDesk(t, follow(1)), startDesk(t, follow(2)), startDesk(t, follow(3))
	l, told := open(t, a)
	if got := next(t, told); got != "news 1 0 on-trial" {
		t.Error(got)
	}
	l.SetAddress(b.l.Addr().String())
	l.SetAddress(c.l.Addr().String())
	for got := ""; got != "news 3 0 on-trial"; {
		got = next(t, told)
	}
	l.SetAddress(c.l.Addr().String())
	l.SetAddress(a.l.Addr().String())
	for got := ""; got != "news 1 0 on-trial"; { // that of the third may come twice: it was joined for either move
		if got = next(t, told); got == "news 2 0 on-trial" {
			t.Error("back at the second")
		}
	}
}

// What is told on the present connection counts until the next one speaks; where it does not, or the present one ends meanwhile, the
// line comes back. A connection that has gone silent is left as well.
func TestMoveToSilence(t *testing.T) {
	var mu sync.Mutex
	var old net.Conn
	a := startDesk(t, func(conn net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		old = conn
		io.WriteString(conn, "OK\r\n* progress 1 0 trial 0.5 0\r\n")
	})
	gate := make(chan struct{})
	silent := startDesk(t, func(conn net.Conn, line string) {
		<-gate
		io.WriteString(conn, "OK\r\n* progress 3 0 trial 0.5 0\r\n")
	})
	l, told := open(t, a)
	if got := next(t, told); got != "news 1 0 on-trial" {
		t.Error(got)
	}
	l.SetAddress(silent.l.Addr().String())
	for silent.count("follow") == 0 {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	io.WriteString(old, "* progress 2 0 trial 0.5 0\r\n")
	mu.Unlock()
	if got := next(t, told); got != "news 2 0 on-trial" {
		t.Error(got)
	}
	mu.Lock()
	old.Close()
	mu.Unlock()
	close(gate)
	if got := next(t, told); got != "news 3 0 on-trial" {
		t.Error(got)
	}
	// Nothing more comes: without a sign of life the connection is left and asked for anew.
	if got := next(t, told); got != "news 3 0 on-trial" || silent.count("follow") < 2 {
		t.Errorf("%s on connection %d", got, silent.count("follow"))
	}
}
