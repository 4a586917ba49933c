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

// The phases of a release, the verdicts of votes and the replies to votes, as on the wire.
const (
	phaseCanary      = "on-trial"
	phaseRollingBack = "going-back"
	phaseReleased    = "released"
	phaseWithdrawn   = "withdrawn"

	votePromote  = "on"
	voteRollback = "back"

	voteCounted = "counted"
	voteMoot    = "moot"
)

const (
	// initialAgeSeconds is the age of the first endpoints of a release service; their slow start is over.
	initialAgeSeconds = 1000
	maxVoteBytes      = 1 << 16
	// pausedPollInterval is how often ServeVote checks whether the service is still paused.
	pausedPollInterval = 50 * time.Millisecond
	// slotRoundingTolerance prevents floating-point rounding from adding an endpoint to a stage.
	slotRoundingTolerance = 1e-6
)

// ReleasePlan describes how the release service rolls out a build.
type ReleasePlan struct {
	StageShares             []float64 // share of the slots that run the canary, by rollout stage
	CanaryLimits            []float64 // share of a router group's requests that may go to the canary, by rollout stage
	Slots                   int       // number of endpoints in the fleet
	StartSeconds            float64   // time until a new process is ready
	DrainSeconds            float64   // time for which a replaced process drains
	BakeSeconds             float64   // minimum duration of a stage once its endpoints are ready
	PromoteVotes            int       // number of votes that complete a stage
	RollbackVotes           int       // number of votes that roll a build back
	VoteLifetimeSeconds     float64   // time for which a vote counts
	PropagationDelaySeconds float64   // delay until a change is sent
	PushIntervalSeconds     float64   // interval between updates without a change
}

// ReleaseEvent is an event in the rollout of a build.
type ReleaseEvent struct {
	At          float64 `json:"at"`
	Description string  `json:"what"`
}

// Fleet starts and stops endpoints for the release service. A slot is the index of an endpoint in the fleet, from 0.
type Fleet interface {
	StartEndpoint(slot, build int) (*Endpoint, error)
	StopEndpoint(e *Endpoint)
}

// countedVote is the last counted vote of a router group.
type countedVote struct {
	releases.VoteMessage
	at float64
}

// slotTarget is the build that a slot runs or is about to run. The sequence increases with each change, so that an
// earlier start that is still pending is dropped.
type slotTarget struct{ sequence, build int }

// ReleaseService is a fake release service. It rolls builds out to a fleet stage by stage, as the votes of the router
// groups decide, and records the updates that each router group was sent.
type ReleaseService struct {
	plan   ReleasePlan
	fleet  Fleet
	list   *EndpointList
	record *invariants.Record
	clock  func() float64

	mu             sync.Mutex
	paused         bool
	stopped        bool // no further process is started or stopped
	build          int  // the build whose rollout began last
	stage          int
	phase          string
	phaseSince     float64
	readyAt        float64           // when all endpoints of the stage are ready
	version        uint64            // of the combination of build, stage and phase
	sentVersion    map[string]uint64 // newest version sent, by router group
	slots          []*Endpoint
	targets        []slotTarget           // by slot
	votes          map[string]countedVote // by router group
	queuedBuilds   []int                  // offered builds whose rollout has not begun
	releasedBuilds []int                  // builds released before the present one, oldest first
	history        []ReleaseEvent
	subscribers    map[chan struct{}]struct{}
	startError     error
}

// NewReleaseService starts a fleet that runs the first build, with its slow start over, and puts its endpoints on the
// list.
func NewReleaseService(plan ReleasePlan, firstBuild int, fleet Fleet, list *EndpointList, record *invariants.Record,
	clock func() float64) (*ReleaseService, error) {
	s := &ReleaseService{
		plan:        plan,
		fleet:       fleet,
		list:        list,
		record:      record,
		clock:       clock,
		build:       firstBuild,
		stage:       len(plan.StageShares) - 1,
		phase:       phaseReleased,
		phaseSince:  clock(),
		sentVersion: map[string]uint64{},
		targets:     make([]slotTarget, plan.Slots),
		votes:       map[string]countedVote{},
		subscribers: map[chan struct{}]struct{}{},
	}
	for slot := range plan.Slots {
		e, err := fleet.StartEndpoint(slot, firstBuild)
		if err != nil {
			return nil, err
		}
		e.StartedAt -= initialAgeSeconds
		record.Update(func(r *invariants.Record) { r.Endpoints[e.ID].StartedAt = e.StartedAt })
		s.slots = append(s.slots, e)
		s.targets[slot].build = firstBuild
		list.Put(listEntry(e, endpoints.StateReady))
	}
	return s, nil
}

func listEntry(e *Endpoint, state string) endpoints.Endpoint {
	return endpoints.Endpoint{ID: e.ID, Addr: e.Addr, State: state, Build: e.Build, StartedAt: e.StartedAt}
}

// Offer queues a build. Its rollout begins once the build before it is released or withdrawn.
func (s *ReleaseService) Offer(build int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedBuilds = append(s.queuedBuilds, build)
}

// SetPaused sets whether the service is paused. While paused, it stops the rollout, the updates and the replies to
// votes.
func (s *ReleaseService) SetPaused(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// Stop ends the rollout: processes that are still to start or to drain are left as they are. After Stop, the service no
// longer changes the record.
func (s *ReleaseService) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// after calls f with s.mu held after some seconds, unless the service has been stopped by then.
func (s *ReleaseService) after(delaySeconds float64, f func()) {
	time.AfterFunc(seconds(delaySeconds), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped {
			f()
		}
	})
}

// History returns the events so far and the last error of starting an endpoint.
func (s *ReleaseService) History() ([]ReleaseEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history), s.startError
}

// Endpoints returns the endpoints by slot.
func (s *ReleaseService) Endpoints() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.slots)
}

// Restart replaces the endpoint of a slot by a new process of the same build. With crash, the old process is stopped
// immediately instead of draining.
func (s *ReleaseService) Restart(slot int, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(slot, s.slots[slot].Build, crash)
}

// Tick advances the rollout according to the votes and the time. It must be called at short intervals.
func (s *ReleaseService) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused {
		return
	}
	now := s.clock()
	promote, rollback := s.countVotes(now)
	isCanary, isReleased := s.phase == phaseCanary, s.phase == phaseReleased
	canRollBack := isCanary || isReleased && s.previousBuild() >= 0
	isBaked := now >= s.readyAt+s.plan.BakeSeconds
	switch {
	case canRollBack && rollback >= s.plan.RollbackVotes:
		s.logEvent("build %d goes back from stage %d", s.build, s.stage)
		s.setPhase(phaseRollingBack, s.stage)
		s.rollOut(s.previousBuild(), 0)
	case s.phase == phaseRollingBack && now >= s.readyAt:
		s.setPhase(phaseWithdrawn, s.stage)
	case isCanary && promote >= s.plan.PromoteVotes && isBaked:
		s.promote()
	case (isReleased || s.phase == phaseWithdrawn) && len(s.queuedBuilds) > 0:
		s.beginNext()
	}
}

// countVotes counts the votes on the present build that have not expired. A vote to promote counts in its own stage
// only. s.mu must be held.
func (s *ReleaseService) countVotes(now float64) (promote, rollback int) {
	for _, vote := range s.votes {
		if vote.Build != s.build || now-vote.at >= s.plan.VoteLifetimeSeconds {
			continue
		}
		switch {
		case vote.Verdict == votePromote && vote.Stage == s.stage:
			promote++
		case vote.Verdict == voteRollback:
			rollback++
		}
	}
	return promote, rollback
}

// promote enters the next stage, or releases the build after the last stage. s.mu must be held.
func (s *ReleaseService) promote() {
	if s.stage+1 == len(s.plan.StageShares) {
		s.logEvent("build %d is released", s.build)
		s.setPhase(phaseReleased, s.stage)
		return
	}
	s.setPhase(phaseCanary, s.stage+1)
	s.rollOut(s.build, s.plan.StageShares[s.stage])
}

// beginNext begins the rollout of the first queued build. s.mu must be held.
func (s *ReleaseService) beginNext() {
	if s.phase == phaseReleased {
		s.releasedBuilds = append(s.releasedBuilds, s.build)
	}
	s.build, s.queuedBuilds = s.queuedBuilds[0], s.queuedBuilds[1:]
	s.logEvent("build %d is offered", s.build)
	s.setPhase(phaseCanary, 0)
	s.rollOut(s.build, s.plan.StageShares[0])
}

func (s *ReleaseService) logEvent(format string, args ...any) {
	s.history = append(s.history, ReleaseEvent{s.clock(), fmt.Sprintf(format, args...)})
}

// previousBuild returns the build that a rollback returns to, or -1 if there is none. s.mu must be held.
func (s *ReleaseService) previousBuild() int {
	if len(s.releasedBuilds) == 0 {
		return -1
	}
	return s.releasedBuilds[len(s.releasedBuilds)-1]
}

// setPhase enters a phase and stage, discards all votes and wakes the subscribers. s.mu must be held.
func (s *ReleaseService) setPhase(phase string, stage int) {
	s.phase, s.stage, s.phaseSince = phase, stage, s.clock()
	s.version++
	clear(s.votes)
	for subscriber := range s.subscribers {
		select {
		case subscriber <- struct{}{}:
		default: // a wake-up is pending already
		}
	}
}

// rollOut replaces endpoints until the given share of the slots runs a build. A share of 0 means all slots. s.mu must
// be held.
func (s *ReleaseService) rollOut(build int, share float64) {
	wanted := len(s.slots)
	if share > 0 {
		wanted = int(math.Ceil(share*float64(len(s.slots)) - slotRoundingTolerance))
	}
	count := 0
	for _, target := range s.targets {
		if target.build == build {
			count++
		}
	}
	for slot, e := range s.slots {
		switch target := &s.targets[slot]; {
		case target.build == build || count >= wanted:
			continue
		case e.Build == build: // the endpoint has not been replaced yet: cancel its replacement
			*target = slotTarget{target.sequence + 1, build}
		default:
			s.replace(slot, build, false)
		}
		count++
	}
	s.readyAt = s.clock() + s.plan.StartSeconds
}

// replace starts a new process for a slot. The old process drains once the new one is ready or, with crash, is stopped
// immediately. s.mu must be held.
func (s *ReleaseService) replace(slot, build int, crash bool) {
	old, target := s.slots[slot], &s.targets[slot]
	*target = slotTarget{target.sequence + 1, build}
	sequence := target.sequence
	if crash {
		s.fleet.StopEndpoint(old)
		s.list.Put(listEntry(old, endpoints.StateGone))
	}
	s.after(s.plan.StartSeconds, func() {
		if target.sequence != sequence {
			return
		}
		e, err := s.fleet.StartEndpoint(slot, build)
		if err != nil {
			s.startError = err
			return
		}
		s.list.Put(listEntry(e, endpoints.StateReady))
		s.slots[slot] = e
		if !crash {
			s.drain(old)
		}
	})
}

// drain lists a replaced process as draining, and stops it after the plan's DrainSeconds.
func (s *ReleaseService) drain(old *Endpoint) {
	s.list.Put(listEntry(old, endpoints.StateDraining))
	s.after(s.plan.DrainSeconds, func() {
		s.list.Put(listEntry(old, endpoints.StateGone))
		s.fleet.StopEndpoint(old)
	})
}

// update returns the update that describes the present state. s.mu must be held.
func (s *ReleaseService) update() releases.Update {
	limit := s.plan.CanaryLimits[s.stage]
	switch s.phase {
	case phaseRollingBack, phaseWithdrawn:
		limit = 0
	case phaseReleased:
		limit = 1
	}
	return releases.Update{Version: s.version, Build: s.build, Stage: s.stage, Phase: s.phase, CanaryLimit: limit, AgeSeconds: s.clock() - s.phaseSince}
}

// recordSent records an update that a router group was sent. An update that was overtaken by a newer one is not
// recorded, because routers discard it.
func (s *ReleaseService) recordSent(routerGroup string, update releases.Update) {
	now := s.clock()
	s.mu.Lock()
	overtaken := update.Version < s.sentVersion[routerGroup]
	s.sentVersion[routerGroup] = max(s.sentVersion[routerGroup], update.Version)
	s.mu.Unlock()
	if overtaken {
		return
	}
	s.record.Update(func(r *invariants.Record) {
		r.ReleaseUpdates = append(r.ReleaseUpdates, invariants.ReleaseUpdate{
			At: now, RouterGroup: routerGroup, Build: update.Build, Stage: update.Stage, Phase: update.Phase, CanaryLimit: update.CanaryLimit,
		})
	})
}

// ServeReleases streams updates to the router group in the path value "relay".
func (s *ReleaseService) ServeReleases(w http.ResponseWriter, r *http.Request) {
	routerGroup := r.PathValue("relay")
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.subscribers[changed] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.subscribers, changed)
		s.mu.Unlock()
	}()
	push := time.NewTicker(seconds(s.plan.PushIntervalSeconds))
	defer push.Stop()
	for {
		s.mu.Lock()
		paused, update := s.paused, s.update()
		s.mu.Unlock()
		if !paused {
			if !writeLine(w, update) {
				return
			}
			s.recordSent(routerGroup, update)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			time.Sleep(seconds(s.plan.PropagationDelaySeconds))
		case <-push.C:
		}
	}
}

// ServeVote accepts a vote of the router group in the path value "relay". While the service is paused, the vote waits.
func (s *ReleaseService) ServeVote(w http.ResponseWriter, r *http.Request) {
	routerGroup := r.PathValue("relay")
	var vote releases.VoteMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxVoteBytes)).Decode(&vote); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for s.paused {
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pausedPollInterval):
		}
		s.mu.Lock()
	}
	reply := s.update()
	isMoot := vote.Build != s.build || vote.Verdict == votePromote && vote.Stage != s.stage
	if isMoot {
		reply.Vote = voteMoot
	} else {
		reply.Vote = voteCounted
		s.votes[routerGroup] = countedVote{vote, s.clock()}
	}
	s.mu.Unlock()
	if !isMoot {
		s.recordSent(routerGroup, reply)
	}
	writeResponse(w, jsonLine(reply))
}
