package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"flintspread/internal/boltstore"
	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// A child that saves votes without end, to be killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("FLINTPLAN_SAVE_IN"); dir != "" {
		s, st, _, err := OpenStateStore(dir)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		from := 0
		if st.Vote != nil {
			from = st.Vote.Build
		}
		for i := from + 1; ; i++ {
			list := &endpoints.List{}
			_, err := list.Apply(&endpoints.Update{Version: uint64(i), Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: i % 1000}}}, float64(i))
			if err := errors.Join(err, s.SaveEndpoints(list), s.SaveVote(SavedVote{Build: i, Sure: true})); err != nil {
				fmt.Println(err)
				os.Exit(1)
			}
			fmt.Println(i)
		}
	}
	os.Exit(m.Run())
}

// Killed at any moment, the state is whole, and no older than what was said to be saved.
func TestKilledWhileSaving(t *testing.T) {
	dir := t.TempDir()
	last := 0
	for kill := range 12 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "FLINTPLAN_SAVE_IN="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Duration(30+7*kill)*time.Millisecond, func() { cmd.Process.Kill() })
		text, _ := io.ReadAll(out)
		cmd.Wait()
		lines := strings.Fields(string(text))
		if n := len(lines); n > 0 {
			if _, err := fmt.Sscan(lines[n-1], &last); err != nil {
				t.Fatalf("%s", text)
			}
		}
		s, st, aside, err := OpenStateStore(dir)
		if err != nil || aside != "" {
			t.Fatal(aside, err)
		}
		if last > 0 && (st.Vote == nil || st.Vote.Build < last || st.Vote.Build > last+1 || st.List.Version < uint64(st.Vote.Build)) {
			t.Errorf("said %d, found %+v", last, st.Vote)
		}
		s.Close()
	}
	if last < 12 {
		t.Errorf("%d saved in all", last)
	}
}

// What the disk may give back: the state is set aside by name, and the planner starts empty.
func TestBrokenState(t *testing.T) {
	whole := func(dir string) []byte {
		s, _, _, err := OpenStateStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		line := &endpoints.Update{Version: 3, Full: true}
		for id := range uint32(2000) {
			line.Endpoints = append(line.Endpoints, endpoints.Endpoint{ID: id + 1, Addr: "127.0.0.1:1", State: "ready"})
		}
		list := &endpoints.List{}
		_, err = list.Apply(line, 1)
		if err := errors.Join(err, s.SaveEndpoints(list), s.SaveVote(SavedVote{Build: 2}), s.Close()); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(stateFile(dir))
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for name, spoil := range map[string]func([]byte) []byte{
		"empty words":   func([]byte) []byte { return []byte("not a store at all") },
		"cut short":     func(b []byte) []byte { return b[:len(b)/4] },
		"cut to a page": func(b []byte) []byte { return b[:4096] },
		"zeros inside":  func(b []byte) []byte { clear(b[2*4096:]); return b },
		"noise inside": func(b []byte) []byte {
			for i := 2 * 4096; i < len(b); i++ {
				b[i] = byte(i * 7)
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(stateFile(dir), spoil(whole(dir)), 0o600); err != nil {
				t.Fatal(err)
			}
			s, st, aside, err := OpenStateStore(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if aside == "" || st.Vote != nil || st.List != nil {
				t.Errorf("aside %q, %+v", aside, st)
			}
			if kept, _ := filepath.Glob(stateFile(dir) + ".bad-*"); len(kept) != 1 {
				t.Error(kept)
			}
		})
	}
	dir := t.TempDir()
	s, _, _, err := OpenStateStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, _, _, err := OpenStateStore(dir); !errors.Is(err, boltstore.ErrInUse) {
		t.Errorf("a second planner on the same state: %v", err)
	}
}

// hall is the services around a planner: a list, an installer that keeps what it was told, in a fixed state.
type hall struct {
	mu    sync.Mutex
	votes []releases.VoteMessage
	news  releases.Update
	hold  bool // votes are taken and not answered
}

func (h *hall) serve(t testing.TB) string {
	mux := http.NewServeMux()
	stream := func(w http.ResponseWriter, req *http.Request, line func() any) {
		for req.Context().Err() == nil {
			text, _ := json.Marshal(line())
			w.Write(append(text, '\n'))
			http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
	mux.HandleFunc("GET /list", func(w http.ResponseWriter, req *http.Request) {
		line := endpoints.Update{Version: 1, Full: true}
		for id := range uint32(4) {
			line.Endpoints = append(line.Endpoints, endpoints.Endpoint{ID: id + 1, Addr: "127.0.0.1:1", State: "ready", Build: 1 + int(id)/2, StartedAt: 1000})
		}
		stream(w, req, func() any { l := line; line = endpoints.Update{Version: 1}; return l })
	})
	mux.HandleFunc("GET /stage", func(w http.ResponseWriter, req *http.Request) {
		stream(w, req, func() any { h.mu.Lock(); defer h.mu.Unlock(); return h.news })
	})
	mux.HandleFunc("POST /vote", func(w http.ResponseWriter, req *http.Request) {
		var b releases.VoteMessage
		json.NewDecoder(req.Body).Decode(&b)
		h.mu.Lock()
		h.votes = append(h.votes, b)
		hold, news := h.hold, h.news
		h.mu.Unlock()
		if hold {
			<-req.Context().Done()
			return
		}
		news.Vote = "counted"
		text, _ := json.Marshal(news)
		w.Write(text)
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return srv.URL
}

func (h *hall) told() (verdicts []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.votes {
		verdicts = append(verdicts, fmt.Sprintf("%s on %d", v.Verdict, v.Build))
	}
	return verdicts
}

func exampleSet(t testing.TB, changes ...string) *config.Controller {
	text, err := os.ReadFile("../../deploy/plan.edn")
	if err != nil {
		t.Fatal(err)
	}
	set, err := config.ParseController("plan.edn", []byte(strings.NewReplacer(changes...).Replace(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func setOf(t *testing.T, dir, url string, backVotes int) *config.Controller {
	set := exampleSet(t, ":back-votes 1", fmt.Sprintf(":back-votes %d", backVotes))
	set.StateDir, set.Admin, set.Sources.List, set.Sources.Installer = dir, "127.0.0.1:0", url+"/list", url
	set.Link.Address = "unix:" + filepath.Join(dir, "s")
	return set
}

// bad is the digest of an edge that saw the trial build fail.
func bad(seq uint64) *linkpb.Digest {
	d := &linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: "e", Life: 1, Seq: seq, Build: 2, Rate: 100}
	for id := range uint32(4) {
		fails := float32(id/2) * 50
		d.Tally = append(d.Tally, &linkpb.Tally{Unit: id + 1, Build: 1 + int32(id)/2, N: []float32{100, 100, 100, 100}, Bad: []float32{0, fails, 0, 0}})
	}
	return d
}

// run runs a planner; the function that it gives stops it.
func run(t *testing.T, set *config.Controller) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, set, slog.New(slog.NewTextHandler(io.Discard, nil))) }()
	return func() error { cancel(); return <-done }
}

func soon(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 500 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("not within 5 s: %s", what)
}

// A vote that was out when the planner died may have counted: the next planner casts it again, or withdraws it, at once, and
// a vote that surely stands is left alone.
func TestVoteAtDeath(t *testing.T) {
	for _, c := range []struct {
		name  string
		votes int // needed to send a build back
		vote  SavedVote
		want  string
	}{
		{"unsure, one vote decides", 1, SavedVote{Build: 2, Verdict: policy.VoteRollback}, "back on 2"},
		{"sure, one vote decides", 1, SavedVote{Build: 2, Verdict: policy.VoteRollback, Sure: true}, ""},
		{"unsure, others are needed, no reason any more", 2, SavedVote{Build: 2, Verdict: policy.VoteRollback}, "none on 2"},
		{"unsure, of an earlier build", 2, SavedVote{Build: 1, Verdict: policy.VoteRollback}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &hall{news: releases.Update{Version: 4, Build: 2, Phase: "released", Cap: 1}}
			dir := t.TempDir()
			s, _, _, err := OpenStateStore(dir)
			if err != nil {
				t.Fatal(err)
			}
			c.vote.At = float64(time.Now().Unix())
			if err := errors.Join(s.SaveVote(c.vote), s.Close()); err != nil {
				t.Fatal(err)
			}
			stop := run(t, setOf(t, dir, h.serve(t), c.votes))
			if c.want != "" {
				soon(t, c.want, func() bool { return strings.Join(h.told(), ", ") == c.want })
			} else {
				time.Sleep(700 * time.Millisecond)
				if got := h.told(); got != nil {
					t.Error(got)
				}
			}
			if err := stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Evidence of an edge brings the vote back; killed before the reply, the vote is on disk as unsure.
func TestVoteIsNotedBeforeItLeaves(t *testing.T) {
	h := &hall{hold: true, news: releases.Update{Version: 4, Build: 2, Phase: "on-trial", Cap: 0.2}}
	dir := t.TempDir()
	set := setOf(t, dir, h.serve(t), 1)
	s, _, _, err := OpenStateStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	p := newPlanner(set, slog.New(slog.NewTextHandler(io.Discard, nil)), s)
	p.begin(1, SavedState{News: &h.news, At: p.now()})
	(&endpoints.Update{Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Build: 1, State: "ready"}, {ID: 2, Build: 1, State: "ready"},
		{ID: 3, Build: 2, State: "ready"}, {ID: 4, Build: 2, State: "ready"}}}).ApplyTo(p.b, p.now())
	p.box = &releases.VoteSender{Relay: "r1", URL: set.Sources.Installer, Timeout: 0.2, Client: http.DefaultClient, Log: p.log, OnSend: p.asked, OnReply: p.replied}
	p.box.Open()
	if r := p.digest(bad(1)); r != lease.Accepted {
		t.Fatal(r)
	}
	if r := p.digest(bad(1)); r != lease.StaleSequence {
		t.Error("the same digest twice:", r)
	}
	p.turn()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.box.Run(ctx); close(done) }()
	soon(t, "the vote leaves", func() bool { return strings.Join(h.told(), "") == "back on 2" })
	cancel()
	<-done
	s.Close()
	_, st, _, err := OpenStateStore(dir)
	if err != nil || st.Vote == nil || st.Vote.Sure || st.Vote.Verdict != policy.VoteRollback {
		t.Errorf("%+v %v", st.Vote, err)
	}
}

// Whole after one message: a planner that knows nothing gives a view that binds as soon as it has heard list and stage, and
// the list goes along only to those who lack it.
func TestNewbornPlanner(t *testing.T) {
	h := &hall{news: releases.Update{Version: 4, Build: 2, Stage: 1, Phase: "on-trial", Cap: 0.5, Age: 3}}
	set := setOf(t, t.TempDir(), h.serve(t), 1)
	s, _, _, err := OpenStateStore(set.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	p := newPlanner(set, slog.New(slog.NewTextHandler(io.Discard, nil)), s)
	p.begin(9, SavedState{})
	p.digest(bad(1))
	if v := p.view("e", 0); v.StageNo != 0 || v.HasList || v.Epoch != 9 || v.Echo != 1 || v.Share != 0 {
		t.Error(v)
	}
	if err := p.takeNews(&h.news); err != nil {
		t.Fatal(err)
	}
	if err := p.takeList(&endpoints.Update{Version: 7, Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Addr: "127.0.0.1:1", State: "ready"}}}); err != nil {
		t.Fatal(err)
	}
	if v := p.view("e", 0); v.StageNo != 4 || v.Cap != 0.5 || v.Stage != 1 || !v.HasList || len(v.Units) != 1 {
		t.Error(v)
	}
	if v := p.view("e", 7); v.HasList || v.ListNo != 7 {
		t.Error(v)
	}
	old := h.news
	old.Version, old.Cap = 3, 1
	if err := p.takeNews(&old); err != nil || p.view("e", 7).Cap != 0.5 {
		t.Error("old news widened the cap", err)
	}
	if err := p.takeNews(&releases.Update{Version: 9, Phase: "later"}); err == nil {
		t.Error("took news of an unknown phase")
	}
}

func TestAddressTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	set := setOf(t, t.TempDir(), "http://127.0.0.1:1", 1)
	set.Admin = l.Addr().String()
	if err := Run(context.Background(), set, slog.New(slog.NewTextHandler(io.Discard, nil))); err == nil || !strings.Contains(err.Error(), ":admin") {
		t.Error(err)
	}
}

// A version that the planner takes and an edge can not is turned down for all; one that all can take is in force at the planner
// and goes along to the edges; an edge that starts anew is led to it.
func TestVersionsThroughEdges(t *testing.T) {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	doc := "{" + string(text[strings.Index(string(text), ":schema"):])
	h := &hall{}
	set := setOf(t, t.TempDir(), h.serve(t), 1)
	set.Control = &config.Control{Patience: 0.5}
	s, _, _, err := OpenStateStore(set.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	p := newPlanner(set, slog.New(slog.NewTextHandler(io.Discard, nil)), s)
	p.begin(9, SavedState{})
	if p.vs, err = p.openVersions(); err != nil {
		t.Fatal(err)
	}
	seq := uint64(0)
	say := func(edge string, inForce, fits, refused uint64, reason string) *linkpb.View {
		seq++
		p.digest(&linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: edge, Life: 1, Seq: seq, ConfigNo: inForce, ConfigFits: fits,
			ConfigRefused: refused, ConfigReason: reason})
		return p.view(edge, 0)
	}
	var last *configstate.Version
	propose := func(no uint64, text string) {
		v, err := configstate.Read(no, []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		last = v
		if o, err := p.vs.propose(v); o != configstate.Waiting || err != nil {
			t.Fatal(o, err)
		}
	}
	look := func(want configstate.Outcome, why string) {
		t.Helper()
		o, err := p.vs.look(last)
		if o != want || (err == nil) != (why == "") || err != nil && !strings.Contains(err.Error(), why) {
			t.Errorf("%v %v, want %v %s", o, err, want, why)
		}
	}
	say("a", 0, 0, 0, "")
	say("b", 0, 0, 0, "")
	propose(4, doc)
	if v := say("a", 0, 0, 0, ""); v.ConfigNext != 4 || v.ConfigTextNo != 4 || string(v.ConfigText) != doc || v.ConfigNo != 0 {
		t.Error(v.ConfigNo, v.ConfigNext, v.ConfigTextNo)
	}
	look(configstate.Waiting, "")
	say("a", 0, 4, 0, "")
	say("b", 0, 0, 4, "commands in hand")
	look(configstate.Rejected, `edge "b": commands in hand`)
	if v := say("a", 0, 4, 0, ""); v.ConfigNext != 0 || v.ConfigNo != 0 {
		t.Error("a version that was turned down is still proposed")
	}
	propose(5, doc+" ")
	say("a", 0, 5, 0, "")
	look(configstate.Waiting, "")
	say("b", 0, 5, 0, "")
	look(configstate.Applied, "")
	if v := say("a", 0, 5, 0, ""); v.ConfigNo != 5 || v.ConfigTextNo != 0 {
		t.Error("a has the text, and is to put it in force", v.ConfigNo, v.ConfigTextNo)
	}
	if v := say("c", 0, 0, 0, ""); v.ConfigNo != 5 || v.ConfigTextNo != 5 {
		t.Error("one that starts lacks the text", v.ConfigNo, v.ConfigTextNo)
	}
	old, err := configstate.Read(4, []byte(doc))
	if err != nil {
		t.Fatal(err)
	}
	if o, err := p.vs.propose(old); o != configstate.Rejected || err == nil {
		t.Error("went back to 4", o, err)
	}
	propose(6, doc+"  ")
	time.Sleep(600 * time.Millisecond)
	look(configstate.Rejected, "no word in time from edges a, b, c")
	p.vs.store.Close()
	if p.vs, err = p.openVersions(); err != nil || p.vs.keeper.Current().Number != 5 {
		t.Error("after a restart", err)
	}
	p.vs.store.Close()
}
