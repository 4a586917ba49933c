package fakes

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/invariants"
	"flintspread/internal/releases"
)

// Plan is how the installer moves a build through a fleet.
type Plan struct {
	Stages, Caps []float64
	Places       int
	StartTime    float64 // s until a new process is ready
	DrainTime    float64 // s that a replaced one is kept
	Bake         float64 // least s of a stage after its units are ready
	OnVotes      int
	BackVotes    int
	VoteLife     float64
	Delay        float64 // s until news reach the relays
	Push         float64 // s between news unasked
}

// Moment is one thing that became of a build.
type Moment struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

// Fleet starts and stops units for the installer.
type Fleet interface {
	StartUnit(place, build int) (*Endpoint, error)
	StopUnit(u *Endpoint)
}

type ballot struct {
	releases.VoteMessage
	at float64
}

// pending is the process that is being started for a place; a later one overtakes it.
type pending struct{ number, build int }

// Installer replaces units place by place, stage by stage, by the relays' votes.
type Installer struct {
	plan  Plan
	fleet Fleet
	list  *List
	rec   *invariants.Record
	clock func() float64

	mu      sync.Mutex
	still   bool
	build   int // newest offered
	stage   int
	phase   string
	since   float64 // of this state
	readyAt float64 // when the stage's units are all there
	version uint64
	sent    map[string]uint64 // by relay: the newest it was sent
	places  []*Endpoint
	pending []pending
	votes   map[string]ballot
	offers  []int
	good    []int // builds released before the newest
	history []Moment
	subs    map[chan struct{}]struct{}
	err     error
}

// NewInstaller starts a fleet of the first build, long warm.
func NewInstaller(plan Plan, first int, fleet Fleet, list *List, rec *invariants.Record, clock func() float64) (*Installer, error) {
	in := &Installer{plan: plan, fleet: fleet, list: list, rec: rec, clock: clock, build: first, phase: "released",
		stage: len(plan.Stages) - 1, since: clock(), votes: map[string]ballot{}, sent: map[string]uint64{}, pending: make([]pending, plan.Places), subs: map[chan struct{}]struct{}{}}
	for place := range plan.Places {
		u, err := fleet.StartUnit(place, first)
		if err != nil {
			return nil, err
		}
		u.Start -= 1000
		rec.Enter(func(r *invariants.Record) { r.Endpoints[u.ID].StartedAt = u.Start })
		in.places, in.pending[place].build = append(in.places, u), first
		list.Put(entry(u, "ready"))
	}
	return in, nil
}

func entry(u *Endpoint, state string) endpoints.Endpoint {
	return endpoints.Endpoint{ID: u.ID, Addr: u.Addr, State: state, Build: u.Build, StartedAt: u.Start}
}

// Offer queues a build; it starts once the one before is released or withdrawn.
func (in *Installer) Offer(build int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.offers = append(in.offers, build)
}

// Still makes the installer do, say and hear nothing while set.
func (in *Installer) Still(yes bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.still = yes
}

// History tells what became of the builds.
func (in *Installer) History() ([]Moment, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.history), in.err
}

// Units are those in the places now.
func (in *Installer) Units() []*Endpoint {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]*Endpoint(nil), in.places...)
}

// Restart replaces the unit of a place by a new process of its build; crash: without a drain.
func (in *Installer) Restart(place int, crash bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.replace(place, in.places[place].Build, crash)
}

// Tick moves what is due; it is to be called often.
func (in *Installer) Tick() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.still {
		return
	}
	now := in.clock()
	stands := map[string]int{}
	for _, b := range in.votes {
		if b.Build == in.build && now-b.at < in.plan.VoteLife && (b.Verdict != "on" || b.Stage == in.stage) {
			stands[b.Verdict]++
		}
	}
	switch {
	case (in.phase == "on-trial" || in.phase == "released" && in.old() >= 0) && stands["back"] >= in.plan.BackVotes:
		in.note("build %d goes back from stage %d", in.build, in.stage)
		in.enter("going-back", in.stage)
		in.fill(in.old(), 0)
	case in.phase == "going-back" && now >= in.readyAt:
		in.enter("withdrawn", in.stage)
	case in.phase == "on-trial" && stands["on"] >= in.plan.OnVotes && now >= in.readyAt+in.plan.Bake:
		if in.stage+1 == len(in.plan.Stages) {
			in.note("build %d is released", in.build)
			in.enter("released", in.stage)
			return
		}
		in.enter("on-trial", in.stage+1)
		in.fill(in.build, in.plan.Stages[in.stage])
	case (in.phase == "released" || in.phase == "withdrawn") && len(in.offers) > 0:
		if in.phase == "released" {
			in.keepOld()
		}
		in.build, in.offers = in.offers[0], in.offers[1:]
		in.note("build %d is offered", in.build)
		in.enter("on-trial", 0)
		in.fill(in.build, in.plan.Stages[0])
	}
}

func (in *Installer) note(format string, args ...any) {
	in.history = append(in.history, Moment{in.clock(), fmt.Sprintf(format, args...)})
}

// old is the build that a fall back goes to, -1 where there is none.
func (in *Installer) old() int {
	if len(in.good) == 0 {
		return -1
	}
	return in.good[len(in.good)-1]
}

func (in *Installer) keepOld() { in.good = append(in.good, in.build) }

func (in *Installer) enter(phase string, stage int) {
	in.phase, in.stage, in.since = phase, stage, in.clock()
	in.version++
	clear(in.votes)
	for s := range in.subs {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}

// fill brings a share of the places to a build; with share 0 all that run another.
func (in *Installer) fill(build int, share float64) {
	want := len(in.places)
	if share > 0 {
		want = int(math.Ceil(share*float64(len(in.places)) - 1e-6))
	}
	have := 0
	for _, p := range in.pending {
		if p.build == build {
			have++
		}
	}
	for place, u := range in.places {
		switch p := &in.pending[place]; {
		case p.build == build || have >= want:
			continue
		case u.Build == build: // it has not been replaced yet
			*p = pending{p.number + 1, build}
		default:
			in.replace(place, build, false)
		}
		have++
	}
	in.readyAt = in.clock() + in.plan.StartTime
}

// replace starts a new process for a place; the one there drains once it is ready.
func (in *Installer) replace(place, build int, crash bool) {
	old, mine := in.places[place], &in.pending[place]
	*mine = pending{mine.number + 1, build}
	number := mine.number
	if crash {
		in.fleet.StopUnit(old)
		in.list.Put(entry(old, "gone"))
	}
	time.AfterFunc(time.Duration(in.plan.StartTime*float64(time.Second)), func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		if mine.number != number {
			return
		}
		u, err := in.fleet.StartUnit(place, build)
		if err != nil {
			in.err = err
			return
		}
		in.list.Put(entry(u, "ready"))
		if in.places[place] = u; crash {
			return
		}
		in.list.Put(entry(old, "draining"))
		time.AfterFunc(time.Duration(in.plan.DrainTime*float64(time.Second)), func() {
			in.list.Put(entry(old, "gone"))
			in.fleet.StopUnit(old)
		})
	})
}

func (in *Installer) line() releases.Update {
	limit := in.plan.Caps[in.stage]
	switch in.phase {
	case "going-back", "withdrawn":
		limit = 0
	case "released":
		limit = 1
	}
	return releases.Update{Version: in.version, Build: in.build, Stage: in.stage, Phase: in.phase, Cap: limit, Age: in.clock() - in.since}
}

func (in *Installer) told(relay string, l releases.Update) {
	now := in.clock()
	in.mu.Lock()
	old := l.Version < in.sent[relay] // overtaken on the way; relays drop it
	in.sent[relay] = max(in.sent[relay], l.Version)
	in.mu.Unlock()
	if old {
		return
	}
	in.rec.Enter(func(r *invariants.Record) {
		r.ReleaseUpdates = append(r.ReleaseUpdates, invariants.ReleaseUpdate{At: now, Relay: relay, Build: l.Build, Stage: l.Stage, Phase: l.Phase, CanaryLimit: l.Cap})
	})
}

// Stage streams the news to a relay, named by the path's first part.
func (in *Installer) Stage(w http.ResponseWriter, req *http.Request) {
	relay := req.PathValue("relay")
	changed := make(chan struct{}, 1)
	in.mu.Lock()
	in.subs[changed] = struct{}{}
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		delete(in.subs, changed)
		in.mu.Unlock()
	}()
	push := time.NewTicker(time.Duration(in.plan.Push * float64(time.Second)))
	defer push.Stop()
	for {
		in.mu.Lock()
		still, line := in.still, in.line()
		in.mu.Unlock()
		if !still {
			text, _ := json.Marshal(line)
			if _, err := w.Write(append(text, '\n')); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			in.told(relay, line)
		}
		select {
		case <-req.Context().Done():
			return
		case <-changed:
			time.Sleep(time.Duration(in.plan.Delay * float64(time.Second)))
		case <-push.C:
		}
	}
}

// Vote takes a relay's vote.
func (in *Installer) Vote(w http.ResponseWriter, req *http.Request) {
	relay := req.PathValue("relay")
	var b releases.VoteMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<16)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.mu.Lock()
	for in.still {
		in.mu.Unlock()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
		in.mu.Lock()
	}
	line := in.line()
	if b.Build != in.build || b.Verdict == "on" && b.Stage != in.stage {
		line.Vote = "moot"
	} else {
		line.Vote = "counted"
		in.votes[relay] = ballot{b, in.clock()}
	}
	in.mu.Unlock()
	if line.Vote == "counted" {
		in.told(relay, line)
	}
	text, _ := json.Marshal(line)
	writeResponse(w, append(text, '\n'))
}
