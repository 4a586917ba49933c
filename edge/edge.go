// Package edge puts one edge together: the relay, its list and its news of releases, its votes, its numbers.
package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"flintspread/policy"
	"flintspread/relay"
	"flintspread/roster"
	"flintspread/settings"
	"flintspread/stream"
)

// StageLine is one line of the installer's stream, and its reply to a vote.
type StageLine struct {
	Version uint64  `json:"version"` // grows with every change, also over the installer's restarts
	Build   int     `json:"build"`
	Stage   int     `json:"stage"`
	Phase   string  `json:"phase"` // on-trial, going-back, released or withdrawn
	Cap     float64 `json:"cap"`
	Age     float64 `json:"age"`             // s that this has lasted
	Vote    string  `json:"vote,omitempty"`  // in a reply: counted, moot or refused
	Quiet   bool    `json:"quiet,omitempty"` // nothing new; only shows that the stream lives
}

// Ballot is a vote as the installer gets it.
type Ballot struct {
	Relay   string `json:"relay"`
	Build   int    `json:"build"`
	Stage   int    `json:"stage"`
	Verdict string `json:"verdict"` // none, on, hold or back
}

var phases = map[string]policy.Phase{
	"on-trial": policy.OnTrial, "going-back": policy.GoingBack, "released": policy.Released, "withdrawn": policy.Withdrawn,
}

var verdicts = [...]string{"none", "on", "hold", "back"}

var replyNames = [...]string{"counted", "moot", "refused", "unknown"}

var replies = map[string]policy.VoteReply{"counted": policy.Counted, "moot": policy.Moot, "refused": policy.Refused}

func (l *StageLine) check(stages int) error {
	if _, ok := phases[l.Phase]; !ok {
		return fmt.Errorf("unknown phase %q", l.Phase)
	}
	if l.Build < 0 || l.Stage < 0 || l.Stage >= stages || !(l.Cap >= 0 && l.Cap <= 1) || !(l.Age >= 0) {
		return fmt.Errorf("build %d stage %d cap %v age %v: stages are 0 to %d, a cap 0 to 1, none is below 0",
			l.Build, l.Stage, l.Cap, l.Age, stages-1)
	}
	return nil
}

// Edge is a running edge.
type Edge struct {
	set   *settings.Edge
	log   *slog.Logger
	relay *relay.Relay
	list  roster.List
	file  string
	http  *http.Client
	votes chan relay.Vote

	newsMu sync.Mutex
	news   uint64 // version of the newest that was taken
}

// Run serves until ctx ends, then answers what is in hand and returns. An error before anything was served is a reason
// not to start.
func Run(ctx context.Context, set *settings.Edge, log *slog.Logger) error {
	if err := os.MkdirAll(set.StateDir, 0o755); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return fmt.Errorf(":listen: %w", err)
	}
	defer listener.Close()
	admin, err := net.Listen("tcp", set.Admin)
	if err != nil {
		return fmt.Errorf(":admin: %w", err)
	}
	defer admin.Close()
	seed := set.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	e := &Edge{set: set, log: log, file: filepath.Join(set.StateDir, "units.json"), votes: make(chan relay.Vote, 1),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	e.relay = relay.New(set, seed, log, e.cast)
	e.fromDisk()

	feeds, stopFeeds := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { stream.Follow(feeds, e.source(set.Sources.List), e.takeList, func() {}) })
	running.Go(func() {
		stream.Follow(feeds, e.source(set.Sources.Installer+"/stage"), e.takeStage, func() {})
	})
	running.Go(func() { e.post(feeds) })
	ops := &http.Server{Handler: e.admin(), ReadHeaderTimeout: 5 * time.Second}
	running.Go(func() { ops.Serve(admin) })
	failed := make(chan error, 1)
	running.Go(func() { failed <- e.relay.Serve(listener) })
	log.Info("serving", "relay", set.Relay, "listen", listener.Addr().String(), "admin", admin.Addr().String())

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	log.Info("draining", "relay", set.Relay)
	listener.Close()
	// The list goes on while there is something in hand: drains still bind.
	until, cancel := context.WithTimeout(context.Background(), time.Duration(set.Clients.DrainTime*float64(time.Second)))
	defer cancel()
	if late := e.relay.Drain(until); late != nil {
		log.Error("drain", "error", late)
		err = errors.Join(err, late)
	}
	stopFeeds()
	ops.Close()
	e.relay.Close()
	running.Wait()
	log.Info("stopped", "relay", set.Relay)
	return err
}

func (e *Edge) source(url string) stream.Source {
	s := e.set.Sources
	return stream.Source{URL: url, Silence: s.Silence, Least: s.BackLeast, Most: s.BackMost, Log: e.log, Client: e.http}
}

// fromDisk starts on the last list there was.
func (e *Edge) fromDisk() {
	list, err := roster.Load(e.file)
	if err != nil {
		e.log.Error("last list", "error", err)
	}
	e.list = *list
	if len(list.Units) > 0 {
		line := list.Full(wall())
		e.log.Info("last list", "units", len(list.Units), "version", list.Version, "age", fmt.Sprintf("%.1fs", line.Age))
		e.relay.List(line)
	}
}

func wall() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// takeList is called by the list's stream alone.
func (e *Edge) takeList(line *roster.Line) error {
	if err := line.Check(); err != nil {
		return err
	}
	if err := e.list.Take(line, wall()); err != nil {
		return err
	}
	e.relay.List(line)
	if line.Full || len(line.Units) > 0 {
		if err := e.list.Save(e.file); err != nil { // it serves on without
			e.log.Error("list not saved", "error", err)
		}
	}
	return nil
}

func (e *Edge) takeStage(line *StageLine) error {
	if line.Quiet {
		return nil
	}
	return e.stage(line)
}

// stage takes news that came as a line or as a reply to a vote. What one overtook on the way is old.
func (e *Edge) stage(line *StageLine) error {
	if err := line.check(len(e.set.Release.Stages)); err != nil {
		return err
	}
	e.newsMu.Lock()
	defer e.newsMu.Unlock()
	if line.Version < e.news {
		e.log.Info("old news of a release dropped", "version", line.Version, "newest", e.news)
		return nil
	}
	e.news = line.Version
	e.relay.Stage(line.Build, line.Stage, phases[line.Phase], line.Cap, line.Age)
	return nil
}

// cast hands a vote on. The policy has one vote out at a time, so that there is room but for one it gave up waiting for.
func (e *Edge) cast(v relay.Vote) {
	select {
	case e.votes <- v:
	default:
		e.log.Warn("vote not cast: the last is still out")
	}
}

// post casts the votes, one after the other.
func (e *Edge) post(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-e.votes:
			reply, err := e.vote(ctx, v)
			e.log.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", verdicts[v.Verdict], "reply", replyNames[reply], "error", err)
			e.relay.VoteAnswered(reply)
		}
	}
}

// vote casts one. No reply in time, or one cut off, may have counted.
func (e *Edge) vote(ctx context.Context, v relay.Vote) (policy.VoteReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.set.Release.VoteTimeout*float64(time.Second)))
	defer cancel()
	text, _ := json.Marshal(Ballot{e.set.Relay, v.Build, v.Stage, verdicts[v.Verdict]})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.set.Sources.Installer+"/vote", bytes.NewReader(text))
	if err != nil {
		return policy.Refused, err
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return policy.Unknown, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return policy.Refused, errors.New(resp.Status)
	}
	text, err = io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return policy.Unknown, err
	}
	var line StageLine
	if err := json.Unmarshal(text, &line); err != nil {
		return policy.Unknown, err
	}
	reply, ok := replies[line.Vote]
	if !ok {
		return policy.Unknown, fmt.Errorf("unknown reply %q", line.Vote)
	}
	if reply == policy.Counted && line.Phase != "" {
		err = e.stage(&line)
	}
	return reply, err
}
