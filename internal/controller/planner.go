// Package plan puts a planner together: its state, the list, the news of releases, the edges' digests, its votes and the
// views it leads its edges by.
package controller

import (
	"context"

	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
	"flintspread/internal/router"
	"flintspread/internal/watch"
)

// Controller is a running planner.
type Controller struct {
	set   *config.Controller
	log   *slog.Logger
	store *StateStore
	box   *releases.VoteSender
	end   *controlrpc.ControllerServer
	base  time.Time
	wall  float64
	terms uint64
	saves chan struct{} // the list is to be saved

	mu     sync.Mutex // orders the policy's calls; all below is under it
	b      *policy.Balancer
	leader *lease.Leader
	list   endpoints.List
	news   releases.Update // Version 0: none yet; Age as of newsAt
	newsAt float64
	told   struct { // by the last views, to see that there is something to tell
		build   int
		verdict policy.Verdict
	}
	vs        *versions
	witness   *witness        // nil without query servers
	said      map[string]said // by edges, of versions
	odd       map[string]bool // edges whose terms differ, told once
	superTold bool
	turnAt    float64       // when the next turn is due
	every     atomic.Uint64 // of an edge's digests one in so many is read
	skipped   atomic.Uint64
	digests   uint64
	views     uint64
}

// Run plans until ctx ends. An error before anything was served is a reason not to start.
func Run(ctx context.Context, set *config.Controller, log *slog.Logger) error {
	store, st, aside, err := OpenStateStore(set.StateDir)
	if err != nil {
		return err
	}
	defer store.Close()
	if aside != "" {
		log.Error("state set aside; starting empty", "file", aside)
	}
	p := newPlanner(set, log, store)
	epoch, err := store.BeginEpoch(st.Epoch, p.now())
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if set.Health != nil {
		if p.witness, err = p.newWitness(); err != nil {
			return err
		}
	}
	p.begin(epoch, st)
	if p.vs, err = p.openVersions(); err != nil {
		return err
	}
	defer p.vs.store.Close()
	listener, err := controlrpc.Listen(&set.Link)
	if err != nil {
		return fmt.Errorf(":link :address: %w", err)
	}
	admin, err := net.Listen("tcp", set.Admin)
	if err != nil {
		listener.Close()
		return fmt.Errorf(":admin: %w", err)
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	p.box = &releases.VoteSender{Relay: set.Relay, URL: set.Sources.Installer, Timeout: set.Release.VoteTimeout, Client: client, Log: log,
		OnSend: p.asked, OnReply: p.replied}
	p.box.Open()
	source := func(url string) watch.Source {
		s := set.Sources
		return watch.Source{URL: url, SilenceSeconds: s.Silence, BackoffMinSeconds: s.BackLeast, BackoffMaxSeconds: s.BackMost, Log: log, Client: client}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	failed := make(chan error, 2)
	if set.Control == nil {
		running.Go(func() { watch.Follow(ctx, source(set.Sources.List), p.takeList, func() {}) })
	} else {
		running.Go(func() {
			if err := p.vs.follow(ctx); err != nil {
				failed <- err
			}
		})
	}
	running.Go(func() { watch.Follow(ctx, source(set.Sources.Installer+"/stage"), p.takeNews, func() {}) })
	running.Go(func() { p.box.Run(ctx) })
	running.Go(func() { p.save(ctx) })
	if p.witness != nil {
		running.Go(func() { p.witness.run(ctx) })
	}
	running.Go(func() { p.turns(ctx) })
	running.Go(func() { failed <- p.end.Serve(ctx, listener) })
	ops := &http.Server{Handler: p.admin(), ReadHeaderTimeout: 5 * time.Second}
	running.Go(func() { ops.Serve(admin) })
	log.Info("planning", "relay", set.Relay, "epoch", epoch, "link", set.Link.Address, "admin", admin.Addr().String())
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	ops.Close()
	running.Wait()
	log.Info("stopped", "relay", set.Relay)
	return err
}

func newPlanner(set *config.Controller, log *slog.Logger, store *StateStore) *Controller {
	now := time.Now()
	p := &Controller{set: set, log: log, store: store, base: now, wall: float64(now.UnixNano()) / 1e9,
		terms: router.ConfigHash(set.Policy()), saves: make(chan struct{}, 1), odd: map[string]bool{}, said: map[string]said{}}
	seed := set.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p.b = policy.New(set.Policy(), seed, p.wall)
	p.end = &controlrpc.ControllerServer{Config: &set.Link, Log: log, Relay: set.Relay, AcceptReport: p.digest, NextAssignment: p.view}
	return p
}

func (p *Controller) now() float64 { return p.wall + time.Since(p.base).Seconds() }

// begin takes up what the process before left.
func (p *Controller) begin(epoch uint64, st SavedState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	l := p.set.Link
	p.leader = lease.NewLeader(epoch, l.Lease, p.set.Rules.Window, l.Silence, now)
	if st.List != nil {
		p.list = *st.List
		p.list.FullUpdate(now).ApplyTo(p.b, now)
		p.listed()
		p.log.Info("last list", "units", p.list.Len(), "version", p.list.Version, "age", fmt.Sprintf("%.1fs", now-p.list.At))
	}
	if n := st.News; n != nil && n.Check(len(p.set.Release.Stages)) == nil {
		p.enter(*n, st.At)
	}
	if v := st.Vote; v != nil {
		p.b.RestoreVote(now, v.Build, v.Stage, v.Verdict, max(0, now-v.At), v.Sure)
	}
}

// listed passes on a list that changed. Under the lock.
func (p *Controller) listed() {
	if p.witness != nil {
		p.witness.know()
	}
}

// enter takes news whose age was told at a time.
func (p *Controller) enter(n releases.Update, at float64) {
	p.news, p.newsAt = n, at
	p.b.ApplyRelease(p.now(), n.Build, n.Stage, n.PolicyPhase(), n.Cap, n.Age+max(0, p.now()-at))
	if p.witness != nil {
		p.witness.release(n.Build)
	}
}

func (p *Controller) takeList(line *endpoints.Update) error {
	if err := line.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	now := p.now()
	changes, err := p.list.Apply(line, now)
	if err == nil {
		changes.ApplyTo(p.b, now)
	}
	if err == nil && len(changes.Endpoints) > 0 {
		p.listed()
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	p.end.NotifyAll()
	if len(changes.Endpoints) > 0 {
		select {
		case p.saves <- struct{}{}:
		default:
		}
	}
	return nil
}

// save keeps the last list on disk. Changes that come while one is written are written together.
func (p *Controller) save(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.saves:
		}
		p.mu.Lock()
		list := p.list.Clone()
		p.mu.Unlock()
		if err := p.store.SaveEndpoints(list); err != nil {
			p.log.Error("list not saved", "error", err)
		}
	}
}

func (p *Controller) takeNews(line *releases.Update) error {
	if line.Heartbeat {
		return nil
	}
	if err := line.Check(len(p.set.Release.Stages)); err != nil {
		return err
	}
	p.mu.Lock()
	if line.Version < p.news.Version {
		p.mu.Unlock()
		p.log.Info("old news of a release dropped", "version", line.Version)
		return nil
	}
	changed := line.Version != p.news.Version
	at := p.now()
	p.enter(*line, at)
	p.mu.Unlock()
	p.end.NotifyAll() // drains and lower caps bind from when the relay was told: the edges come first, the disk after
	if changed {
		if err := p.store.SaveRelease(*line, at); err != nil {
			p.log.Error("news not saved", "error", err)
		}
	}
	return nil
}

// digest enters what an edge counted.
func (p *Controller) digest(d *linkpb.Digest) lease.Reason {
	// What this planner is too late to read, the next digest says again; that its edge lives is entered all the same.
	read := d.Seq%max(1, p.every.Load()) == 0
	if !read {
		p.skipped.Add(1)
		d.Tally = nil
	}
	e := policy.Evidence{Build: int(d.Build), RequestsPerSecond: d.Rate, Samples: make([]policy.EndpointSample, len(d.Tally))}
	for i, t := range d.Tally {
		x := &e.Samples[i]
		x.Endpoint, x.Build = t.Unit, int(t.Build)
		for k := range x.Outcomes {
			if k < len(t.N) && k < len(t.Bad) {
				x.Outcomes[k], x.Failures[k] = float64(t.N[k]), float64(t.Bad[k])
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.leader.AcceptReport(p.now(), d.Major, d.Edge, d.Life, d.Seq, d.Following)
	if r == lease.Superseded && !p.superTold {
		p.superTold = true
		p.log.Error("a newer planner leads; this one votes and lends no more", "epoch", p.leader.Epoch(), "newer", p.leader.NewerEpoch())
	}
	if r != lease.Accepted {
		return r
	}
	if d.Terms != p.terms && !p.odd[d.Edge] {
		p.odd[d.Edge] = true
		p.log.Error("settings differ between planner and edge: :rules, :release or :op-types", "edge", d.Edge)
	}
	p.digests++
	if read {
		p.b.ApplyReport(d.Edge, e)
	}
	p.said[d.Edge] = said{d.ConfigNo, d.ConfigFits, d.MarksNo}
	if p.vs != nil {
		p.vs.heard(d)
	}
	return r
}

// view makes the next view for an edge.
func (p *Controller) view(name string, listNo uint64) *linkpb.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	h, share, life := p.leader.NextAssignment(now, name)
	build, verdict := p.b.CurrentVote()
	v := &linkpb.View{Major: h.Major, Minor: lease.SchemaMinor, Epoch: h.Epoch, Number: h.Sequence, Life: h.Incarnation, Echo: h.AckedReport,
		ListAt: p.list.At, ListNo: p.list.Version, VerdictBuild: int32(build), Verdict: int32(verdict), Share: share, Lease: life}
	if n := p.news; n.Phase != "" {
		v.StageNo, v.Build, v.Stage, v.Phase, v.Cap = n.Version, int32(n.Build), int32(n.Stage), n.Phase, n.Cap
		v.StageAge = n.Age + max(0, now-p.newsAt)
	}
	if listNo != p.list.Version {
		v.HasList = true
		for u := range p.list.All() {
			v.Units = append(v.Units, &linkpb.Unit{Id: u.ID, Addr: u.Addr, State: u.State, Build: int32(u.Build), Zone: uint32(u.Zone),
				Cell: uint32(u.Cell), Heft: u.Weight, Start: u.StartedAt})
		}
	}
	if p.vs != nil {
		p.vs.tell(v, p.said[name])
	}
	if p.witness != nil {
		p.witness.tell(v, now, p.said[name].marks)
	}
	p.views++
	return v
}

// turns does the periodic work on the one timer.
func (p *Controller) turns(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(p.turn())
	}
}

func (p *Controller) turn() time.Duration {
	p.mu.Lock()
	now := p.now()
	for _, name := range p.leader.ExpireRouters(now) {
		p.b.DropReport(name)
		delete(p.odd, name)
		delete(p.said, name)
		p.log.Info("edge silent", "edge", name)
	}
	p.b.SetEndpointListAge(now - p.list.At)
	p.duties(now)
	tell := p.witness != nil && p.witness.turn(now)
	var t policy.TickResult
	if p.leader.IsLeader() {
		t = p.b.TickController(now)
	} else {
		t = p.b.TickRouter(now)
	}
	p.turnAt = now + t.NextTickSeconds
	p.mu.Unlock()
	if t.CastVote {
		p.box.Cast(releases.Vote{Build: t.Build, Stage: t.Stage, Verdict: t.Verdict})
	}
	if tell {
		p.end.NotifyAll()
	}
	p.tellVerdict()
	return time.Duration(t.NextTickSeconds * float64(time.Second))
}

// duties leaves out what can wait while this planner is late: queries first, then digests. Under the lock.
func (p *Controller) duties(now float64) {
	late := 0.0
	if p.turnAt > 0 {
		late = max(0, now-p.turnAt)
	}
	every, queries := loadshed.ControllerLoadShedding(late, p.set.Link.Beat)
	p.every.Store(uint64(every))
	if p.witness != nil {
		p.witness.poller.Rest(!queries)
	}
}

// tellVerdict tells the edges when another vote stands.
func (p *Controller) tellVerdict() {
	p.mu.Lock()
	build, verdict := p.b.CurrentVote()
	news := build != p.told.build || verdict != p.told.verdict
	p.told.build, p.told.verdict = build, verdict
	p.mu.Unlock()
	if news {
		p.end.NotifyAll()
	}
}

// asked notes a vote before it leaves: should this process die now, the next knows that it may have counted.
func (p *Controller) asked(v releases.Vote) {
	p.keep(v, false)
}

func (p *Controller) keep(v releases.Vote, sure bool) {
	if err := p.store.SaveVote(SavedVote{Build: v.Build, Stage: v.Stage, Verdict: v.Verdict, At: p.now(), Sure: sure}); err != nil {
		p.log.Error("vote not saved", "error", err)
	}
}

func (p *Controller) replied(v releases.Vote, reply policy.VoteReply, line *releases.Update) {
	if line != nil {
		if err := p.takeNews(line); err != nil {
			p.log.Warn("reply to a vote", "error", err)
		}
	}
	p.mu.Lock()
	p.b.OnVoteReply(p.now(), reply)
	build, verdict := p.b.CurrentVote()
	p.mu.Unlock()
	if reply == policy.VoteCounted {
		p.keep(v, true)
	} else if reply != policy.VoteUnknown && build >= 0 {
		p.keep(releases.Vote{Build: build, Stage: v.Stage, Verdict: verdict}, true) // what stood before stands
	}
	p.tellVerdict()
}
