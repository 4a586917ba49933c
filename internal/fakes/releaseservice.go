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

// The phases of a release, verdicts and replies to votes, by the wire's words.
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
	// initialAgeSeconds is the age of the endpoints that a release service begins with: slow start is long over.
	initialAgeSeconds = 1000
	maxVoteBytes      = 1 << 16
	// pausedPollInterval is how often a vote looks whether the service still is paused.
	pausedPollInterval = 50 * time.Millisecond
	// slotRoundingTolerance keeps a stage's share from needing one endpoint more through rounding.
	slotRoundingTolerance = 1e-6
)

// ReleasePlan is how the release service moves a build through a fleet.
type ReleasePlan struct {
	StageShares             []float64 // share of the slots that run the canary, by rollout stage
	CanaryLimits            []float64 // share of a relay's requests, by rollout stage
	Slots                   int       // endpoints of the fleet
	StartSeconds            float64   // until a new process is ready
	DrainSeconds            float64   // that a replaced process is kept
	BakeSeconds             float64   // least time of a stage after its endpoints are ready
	PromoteVotes            int       // that a stage needs
	RollbackVotes           int       // that roll a build back
	VoteLifetimeSeconds     float64   // how long a vote counts
	PropagationDelaySeconds float64   // until a change reaches the relays
	PushIntervalSeconds     float64   // between two updates without a change
}

// ReleaseEvent is one thing that happened to a build.
type ReleaseEvent struct {
	At          float64 `json:"at"`
	Description string  `json:"what"`
}

// Fleet starts and stops endpoints for the release service. A slot is an endpoint's place in the fleet, from 0 on.
type Fleet interface {
	StartEndpoint(slot, build int) (*Endpoint, error)
	StopEndpoint(e *Endpoint)
}

// countedVote is the last vote of a relay.
type countedVote struct {
	releases.VoteMessage
	at float64
}

// pendingStart is the process that is being started for a slot. One with a higher sequence overtakes it.
type pendingStart struct{ sequence, build int }

// ReleaseService moves builds through a fleet slot by slot, stage by stage, by the relays' votes. It records what each relay was sent.
type ReleaseService struct {
	plan   ReleasePlan
	fleet  Fleet
	list   *EndpointList
	record *invariants.Record
	clock  func() float64

	mu             sync.Mutex
	paused         bool
	build          int // the newest that was offered and has begun
	stage          int
	phase          string
	phaseSince     float64
	readyAt        float64           // when the endpoints of the stage are all ready
	version        uint64            // of build, stage and phase
	sentVersion    map[string]uint64 // the newest, by relay
	slots          []*Endpoint
	pending        []pendingStart // by slot
	votes          map[string]countedVote
	queuedBuilds   []int // offered builds that have not begun
	releasedBuilds []int // before build, oldest first
	history        []ReleaseEvent
	subscribers    map[chan struct{}]struct{}
	startError     error
}

// NewReleaseService starts a fleet of the first build, whose slow start is over, and puts it on the list.
func NewReleaseService(plan ReleasePlan, first int, fleet Fleet, list *EndpointList, record *invariants.Record,
	clock func() float64) (*ReleaseService, error) {
	s := &ReleaseService{
		plan:        plan,
		fleet:       fleet,
		list:        list,
		record:      record,
		clock:       clock,
		build:       first,
		stage:       len(plan.StageShares) - 1,
		phase:       phaseReleased,
		phaseSince:  clock(),
		sentVersion: map[string]uint64{},
		pending:     make([]pendingStart, plan.Slots),
		votes:       map[string]countedVote{},
		subscribers: map[chan struct{}]struct{}{},
	}
	for slot := range plan.Slots {
		e, err := fleet.StartEndpoint(slot, first)
		if err != nil {
			return nil, err
		}
		e.StartedAt -= initialAgeSeconds
		record.Update(func(r *invariants.Record) { r.Endpoints[e.ID].StartedAt = e.StartedAt })
		s.slots = append(s.slots, e)
		s.pending[slot].build = first
		list.Put(listEntry(e, endpoints.StateReady))
	}
	return s, nil
}

func listEntry(e *Endpoint, state string) endpoints.Endpoint {
	return endpoints.Endpoint{ID: e.ID, Addr: e.Addr, State: state, Build: e.Build, StartedAt: e.StartedAt}
}

// Offer queues a build. It begins once the one before is released or withdrawn.
func (s *ReleaseService) Offer(build int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedBuilds = append(s.queuedBuilds, build)
}

// SetPaused makes the service neither move, send nor answer until it is called with false.
func (s *ReleaseService) SetPaused(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// History gives what happened to the builds, and the last error of starting an endpoint.
func (s *ReleaseService) History() ([]ReleaseEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history), s.startError
}

// Endpoints gives the endpoints by slot.
func (s *ReleaseService) Endpoints() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.slots)
}

// Restart replaces the endpoint of a slot by a new process of its build. With crash it gets no time to drain.
func (s *ReleaseService) Restart(slot int, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(slot, s.slots[slot].Build, crash)
}

// Tick moves the release on by votes and time. It must be called often.
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

// countVotes counts the votes on the present build that have not expired. A vote to promote counts in its stage only. Under the lock.
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

// promote enters the next stage, or releases the build after the last. Under the lock.
func (s *ReleaseService) promote() {
	if s.stage+1 == len(s.plan.StageShares) {
		s.logEvent("build %d is released", s.build)
		s.setPhase(phaseReleased, s.stage)
		return
	}
	s.setPhase(phaseCanary, s.stage+1)
	s.rollOut(s.build, s.plan.StageShares[s.stage])
}

// beginNext begins the build that was offered first. Under the lock.
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

// previousBuild is the build that a rollback goes to, -1 if there is none. Under the lock.
func (s *ReleaseService) previousBuild() int {
	if len(s.releasedBuilds) == 0 {
		return -1
	}
	return s.releasedBuilds[len(s.releasedBuilds)-1]
}

// setPhase enters a phase and stage: votes count anew, subscribers are woken. Under the lock.
func (s *ReleaseService) setPhase(phase string, stage int) {
	s.phase, s.stage, s.phaseSince = phase, stage, s.clock()
	s.version++
	clear(s.votes)
	for subscriber := range s.subscribers {
		select {
		case subscriber <- struct{}{}:
		default: // it is woken already
		}
	}
}

// rollOut brings a share of the slots to a build, all of them with a share of 0. Under the lock.
func (s *ReleaseService) rollOut(build int, share float64) {
	want := len(s.slots)
	if share > 0 {
		want = int(math.Ceil(share*float64(len(s.slots)) - slotRoundingTolerance))
	}
	have := 0
	for _, p := range s.pending {
		if p.build == build {
			have++
		}
	}
	for slot, e := range s.slots {
		switch p := &s.pending[slot]; {
		case p.build == build || have >= want:
			continue
		case e.Build == build: // it has not been replaced yet
			*p = pendingStart{p.sequence + 1, build}
		default:
			s.replace(slot, build, false)
		}
		have++
	}
	s.readyAt = s.clock() + s.plan.StartSeconds
}

// replace starts a new process for a slot. The one there drains once the new one is ready, or crashes at once. Under the lock.
func (s *ReleaseService) replace(slot, build int, crash bool) {
	old, pending := s.slots[slot], &s.pending[slot]
	*pending = pendingStart{pending.sequence + 1, build}
	sequence := pending.sequence
	if crash {
		s.fleet.StopEndpoint(old)
		s.list.Put(listEntry(old, endpoints.StateGone))
	}
	time.AfterFunc(seconds(s.plan.StartSeconds), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if pending.sequence != sequence {
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

// drain lets a replaced process finish its requests, and stops it.
func (s *ReleaseService) drain(old *Endpoint) {
	s.list.Put(listEntry(old, endpoints.StateDraining))
	time.AfterFunc(seconds(s.plan.DrainSeconds), func() {
		s.list.Put(listEntry(old, endpoints.StateGone))
		s.fleet.StopEndpoint(old)
	})
}

// update is what relays are sent. Under the lock.
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

// recordSent records what a relay was sent, unless a newer update overtook it on the way: relays drop it then.
func (s *ReleaseService) recordSent(relay string, update releases.Update) {
	now := s.clock()
	s.mu.Lock()
	overtaken := update.Version < s.sentVersion[relay]
	s.sentVersion[relay] = max(s.sentVersion[relay], update.Version)
	s.mu.Unlock()
	if overtaken {
		return
	}
	s.record.Update(func(r *invariants.Record) {
		r.ReleaseUpdates = append(r.ReleaseUpdates, invariants.ReleaseUpdate{
			At: now, RouterGroup: relay, Build: update.Build, Stage: update.Stage, Phase: update.Phase, CanaryLimit: update.CanaryLimit,
		})
	})
}

// ServeReleases streams updates to the relay that the path value "relay" names.
func (s *ReleaseService) ServeReleases(w http.ResponseWriter, r *http.Request) {
	relay := r.PathValue("relay")
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
			s.recordSent(relay, update)
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

// ServeVote takes a vote of the relay that the path value "relay" names. While the service is paused it waits.
func (s *ReleaseService) ServeVote(w http.ResponseWriter, r *http.Request) {
	relay := r.PathValue("relay")
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
		s.votes[relay] = countedVote{vote, s.clock()}
	}
	s.mu.Unlock()
	if !isMoot {
		s.recordSent(relay, reply)
	}
	writeResponse(w, jsonLine(reply))
}
