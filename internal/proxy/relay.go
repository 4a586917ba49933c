// Package relay forwards commands from client connections to unit connections and does what the policy decides. It
// decides nothing itself: it tells the policy what happened, carries out the answer, and keeps the time.
//
// One goroutine serves each connection, on either side, and reads from it; whoever learns what comes next for a
// command writes for it, without waiting. All calls into the policy, and all that hangs on them, are ordered by one
// lock (docs/design/relay.md says why it is not an owner goroutine).
package proxy

import (
	"container/heap"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/endpoints"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
	"flintspread/internal/processstats"
	"flintspread/internal/releases"
)

// Proxy is one instance: a policy and the connections it decides about.
type Proxy struct {
	set    *config.Router
	log    *slog.Logger
	speech speech
	cast   func(releases.Vote) // called without the lock; must not wait. nil: a planner judges, and leads

	// Answered, where set, is told of each final answer: op type, answer, s since the command came. It must not wait.
	OnFinalAnswer func(op, kind string, secs float64)

	rest  float64   // s after an answer in which its connection gets no further delivery
	base  time.Time // on the clock that only goes forward, wall tells when that was
	wall  float64
	now   atomic.Pointer[configstate.Version] // in force; readers take no lock
	stop  chan struct{}
	wake  chan struct{} // the timer is to look again
	conns sync.WaitGroup

	shedding atomic.Bool   // something is shed now
	behind   atomic.Bool   // this process is late, or something is shed
	oldest   atomic.Uint32 // ms that a command lay in the kernel, the most since the last look

	mu       sync.Mutex // orders the policy's calls; all below is under it
	b        *policy.Balancer
	gate     *loadshed.Shedder // nil: nothing is shed
	watch    *processstats.Sampler
	self     processstats.Sample
	lag      float64 // s that the timer came late, as of the last look
	late     loadshed.DelayTracker
	away     answer // to what is shed
	awayFor  *configstate.Version
	keeper   *configstate.State
	byOp     []int // commands in hand, by the place of their op type
	dues     dues
	timerAt  float64 // what the timer waits for
	turnAt   float64
	sweepAt  float64
	lastID   uint32
	hands    int // commands in hand
	pools    map[uint32]*pool
	ids      map[string]struct{} // of commands in hand, where the protocol names them
	units    map[*unitConn]struct{}
	clients  map[*client]struct{}
	draining bool
	ready    bool     // it says so to who asks
	pings    []func() // answers to those who asked before
	answerBy float64  // when all is to be answered, 0: no such time
	listNo   uint64
	listAt   float64 // when what the list says was true
	count    Stats

	mem memory
}

// Stats counts what a relay did since its start.
type Stats struct {
	Received, Succeeded, Rejected, Failed, Abandoned    uint64 // commands; Left: the client went first
	InvalidRequests, ClientsAccepted, ClientsRefused    uint64 // requests that were no commands; connections
	Attempts, Dials, Cancels, LateAnswers, WrongAnswers uint64 // Late: answers to deliveries that had been given up
	Outcomes                                            [8]uint64
	InFlight, ClientConns, EndpointConns, Endpoints     int
	Shed                                                uint64  // of the nacked: by this process's own load
	ShedShare                                           float64 // share of what comes that is shed now
	TimerDelaySeconds                                   float64 // s
	Process                                             processstats.Sample
	MemoryBytes, MemoryPeakBytes                        int64   // bytes counted to the budget
	ReadsPaused                                         uint64  // readings that waited for room
	MemoryRefused                                       uint64  // connections refused for want of room
	EndpointListAgeSeconds                              float64 // s
	PolicyCalls                                         uint64
	PolicySeconds                                       float64 // s spent in the policy
}

// command is one in hand, with what the policy does not need to know.
type command struct {
	policy.Request
	client *client
	req    *request
	under  *configstate.Version // it is served by from start to end
	outs   []*delivery          // as long as Sent
	again  float64              // earliest time to ask the policy again, 0: not
	next   float64              // earliest of again and the deliveries' ends
	place  int
	owed   *owed // its place among its client's answers, where several are owed
}

// NewHTTP makes a relay that speaks HTTP; cast takes the votes.
func NewHTTP(set *config.Router, seed uint64, log *slog.Logger, cast func(releases.Vote)) *Proxy {
	return newRelay(set, web{}, seed, log, cast)
}

// NewRESP makes one that speaks the platform's protocol.
func NewRESP(set *config.Router, seed uint64, log *slog.Logger, cast func(releases.Vote)) *Proxy {
	return newRelay(set, plat{}, seed, log, cast)
}

func newRelay(set *config.Router, speech speech, seed uint64, log *slog.Logger, cast func(releases.Vote)) *Proxy {
	now := time.Now()
	r := &Proxy{set: set, log: log, speech: speech, cast: cast, rest: speech.rest(), base: now, wall: float64(now.UnixNano()) / 1e9,
		stop: make(chan struct{}), wake: make(chan struct{}, 1),
		pools: map[uint32]*pool{}, ids: map[string]struct{}{}, units: map[*unitConn]struct{}{}, clients: map[*client]struct{}{}}
	r.keeper = configstate.NewState(&set.Document, nil, 0, set.ConfigWaitSeconds())
	r.now.Store(r.keeper.Current())
	r.b = policy.New(*r.keeper.Current().Policy, seed, r.wall)
	r.byOp = make([]int, len(r.keeper.Current().Policy.Classes))
	r.turnAt, r.listAt = r.wall, r.wall
	r.watch = processstats.New()
	if o := set.Overload; o != nil {
		r.mem.budget = o.Memory
		if o.Shed {
			r.gate = loadshed.New(worths(r.keeper.Current().Policy), seed, r.wall)
		}
	}
	r.conns.Add(1)
	go r.keepTime()
	return r
}

// Now is the relay's clock: s since 1970 as of its start, going forward steadily from there.
func (r *Proxy) Now() float64 { return r.wall + time.Since(r.base).Seconds() }

// ApplyEndpoints enters a checked line of the unit list.
func (r *Proxy) ApplyEndpoints(line *endpoints.Update) {
	var a acts
	defer r.do(&a)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.listAt, r.listNo = now-line.Age, line.Version
	line.ApplyTo(r.b, now)
	if line.Full {
		for _, p := range r.pools {
			p.listed = false
		}
	}
	for _, u := range line.Endpoints {
		r.listed(u, &a)
	}
	r.dropPools()
}

// ConfirmEndpoints enters that the list still holds.
func (r *Proxy) ConfirmEndpoints() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listAt = r.Now()
}

// ApplyRelease enters news of the newest build.
func (r *Proxy) ApplyRelease(build, stage int, phase policy.Phase, limit, age float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.ApplyRelease(r.Now(), build, stage, phase, limit, age)
}

// ApplyAssignment enters what a planner's view says of this edge's part.
func (r *Proxy) ApplyAssignment(build int, v policy.Verdict, share, until float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.ApplyAssignment(build, v, share, until)
}

// SetHealthMarks enters what a planner's health source says of units, age ago.
func (r *Proxy) SetHealthMarks(age float64, marks []policy.HealthMark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.SetHealthMarks(r.Now(), age, marks)
}

// LocalEvidence gives what the policy counted of the present build, for a planner.
func (r *Proxy) LocalEvidence() policy.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.LocalEvidence(r.Now())
}

// EndpointsAt is when what the list says was true.
func (r *Proxy) EndpointsAt() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listAt
}

// RestoreRelease enters news that the process before had, confirmed some time ago.
func (r *Proxy) RestoreRelease(build, stage int, phase policy.Phase, limit, age, ago float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.RestoreRelease(r.Now(), build, stage, phase, limit, age, ago)
}

// ReportWrongAnswer enters that a unit gave a wrong answer to a delivery of age ago.
func (r *Proxy) ReportWrongAnswer(unit uint32, age float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count.WrongAnswers++
	r.b.ReportWrongAnswer(r.Now(), unit, age)
}

// OnVoteReply enters what became of the vote last cast.
func (r *Proxy) OnVoteReply(reply policy.VoteReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.OnVoteReply(r.Now(), reply)
}

// Stats gives the counts as of now.
func (r *Proxy) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.count
	n.InFlight, n.ClientConns, n.EndpointListAgeSeconds = r.hands, len(r.clients), r.Now()-r.listAt
	n.EndpointConns, n.Endpoints = len(r.units), len(r.pools)
	n.Process, n.TimerDelaySeconds, n.MemoryBytes, n.MemoryPeakBytes, n.ReadsPaused = r.self, r.lag, r.mem.used.Load(), r.mem.peak.Load(), r.mem.paused.Load()
	if r.gate != nil {
		n.ShedShare = r.gate.ShedShare()
	}
	return n
}

// acts is what is left to do once the lock is given back: connections to close, then messages to write. A connection
// is closed before the answer that makes it needless goes out, so that nothing of a command follows its answer.
type acts struct {
	closes []*unitConn
	sends  []*delivery
	answer answer
	to     *command // that it answers
}

// accept takes a command and does the first of what follows. nil: one with its id is in hand. The path of an ordinary command is: accept, Pick, send,
// serveUnit, arrived, After, the answer.
func (r *Proxy) accept(cl *client, req *request, v *configstate.Version, op int, x *owed) *command {
	r.mu.Lock()
	if _, twice := r.ids[req.id]; twice && req.id != "" {
		r.mu.Unlock()
		return nil
	}
	now := r.Now()
	r.lastID++
	c := &command{client: cl, req: req, under: v, place: -1, owed: x, Request: policy.Request{ID: r.lastID, Class: op, Config: v.Policy,
		Key: req.key, ReceivedAt: now, Deadline: now + v.Policy.Classes[op].TimeoutSeconds, Work: req.work, ClientRetry: req.repeat}}
	if req.due > 0 {
		c.Deadline = min(c.Deadline, now+req.due)
	}
	c.Deadline -= req.waited
	if r.answerBy > 0 {
		c.Deadline = min(c.Deadline, r.answerBy)
	}
	if req.id != "" {
		r.ids[req.id] = struct{}{}
	}
	cl.reading, cl.spoke = false, true
	cl.open++
	r.count.Received++
	r.hands++
	r.byOp[op]++
	var a acts
	if r.shed(now, c) {
		r.count.Rejected++
		r.finish(c, r.turnedAway(c.under), &a)
	} else {
		r.apply(now, c, r.pick(now, c), &a)
	}
	r.mu.Unlock()
	r.do(&a)
	return c
}

// pick asks the policy, and counts the time that takes.
func (r *Proxy) pick(now float64, c *command) policy.Decision {
	from := time.Now()
	s := r.b.Pick(now, &c.Request)
	r.spent(from)
	return s
}

func (r *Proxy) spent(from time.Time) {
	r.count.PolicyCalls++
	r.count.PolicySeconds += time.Since(from).Seconds()
}

// apply carries out a step, and what the policy says to what comes of that at once.
func (r *Proxy) apply(now float64, c *command, s policy.Decision, a *acts) {
	if s.PickAgainAt > 0 && s.PickAgainAt < c.Deadline && (c.again == 0 || s.PickAgainAt < c.again) {
		c.again = s.PickAgainAt
	}
	switch s.Action {
	case policy.Send:
		r.count.Attempts++
		d := &delivery{cmd: c, try: len(c.Attempts), unit: s.Endpoint, at: now, until: s.AttemptDeadline}
		c.Attempts = append(c.Attempts, policy.Attempt{Endpoint: s.Endpoint, StartedAt: now, InFlight: true})
		c.outs = append(c.outs, d)
		if !r.carry(d, a) {
			r.ended(now, d, policy.NotSent, a)
			return
		}
	case policy.Reject:
		r.count.Rejected++
		r.finish(c, r.speech.nacked(c.under, s.RetryAfterSeconds), a)
	case policy.Fail:
		r.count.Failed++
		n := len(c.outs)
		r.finish(c, r.speech.failed(c.under, n > 0 && c.outs[n-1].result == policy.TimedOut), a)
	}
	if s.CancelInFlight {
		for _, d := range c.outs {
			if c.Attempts[d.try].InFlight {
				r.count.Cancels++
				r.ended(now, d, policy.Cancelled, a)
			}
		}
	}
	r.due(c)
}

// ended enters how a delivery ended. What can be proved never to have left is told so, whatever ended it.
func (r *Proxy) ended(now float64, d *delivery, result policy.Outcome, a *acts) {
	c := d.cmd
	if !c.Attempts[d.try].InFlight {
		return
	}
	answered := result == policy.Succeeded || result == policy.ServerError || result == policy.Overloaded
	part := d.fate.Load() == held
	if !answered && d.drop() && result != policy.NotConnected {
		result = policy.NotSent
		if d.conn != nil && (d.conn.dialing || part) && !c.Completed {
			result = policy.NotConnected // there was time, and no connection that takes a command came of it
		}
	}
	d.result = result
	r.count.Outcomes[result]++
	sent := &c.Attempts[d.try]
	sent.InFlight = false
	sent.MayHaveRun = result != policy.NotSent && result != policy.NotConnected && result != policy.Overloaded
	if uc := d.conn; uc != nil {
		d.conn = nil
		if uc.cur == d {
			uc.cur = nil
			r.drop(uc, a) // something of the command may still be on it
		}
	}
	from := time.Now()
	s := r.b.OnAttemptDone(now, &c.Request, d.unit, result, now-d.at)
	r.spent(from)
	r.apply(now, c, s, a)
}

// finish ends a command with its final answer.
func (r *Proxy) finish(c *command, ans answer, a *acts) {
	r.close(c)
	a.answer, a.to = ans, c
	if r.draining {
		c.client.last = true
	}
	if r.OnFinalAnswer != nil {
		r.OnFinalAnswer(r.keeper.ClassName(c.Class), ans.kind, r.Now()-c.ReceivedAt)
	}
}

// close takes a command out of hand.
func (r *Proxy) close(c *command) {
	c.Completed = true
	r.hands--
	r.byOp[c.Class]--
	c.client.open--
	c.client.since = r.Now()
	delete(r.ids, c.req.id)
}

// due puts a command where its next due time belongs.
func (r *Proxy) due(c *command) {
	next := 0.0
	if !c.Completed {
		next = c.again
	}
	for _, d := range c.outs { // also what nobody waits for any more: a unit that never answers must not hold its connection for ever
		if c.Attempts[d.try].InFlight && (next == 0 || d.until < next) {
			next = d.until
		}
	}
	r.dues.set(c, next)
	if next > 0 && next < r.timerAt {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// do carries out what needs no lock.
func (r *Proxy) do(a *acts) {
	for _, uc := range a.closes {
		uc.close()
	}
	for _, d := range a.sends {
		r.send(d)
	}
	if a.to != nil {
		r.speech.reply(a.to, a.answer)
	}
}

// keepTime is the one timer: the policy's periodic work and every command's due times.
func (r *Proxy) keepTime() {
	defer r.conns.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-timer.C:
		case <-r.wake:
		}
		timer.Reset(r.tick())
	}
}

// tick does all that is due and gives the time until the next.
func (r *Proxy) tick() time.Duration {
	const batch = 64 // commands served before the lock is offered to others
	for {
		r.mu.Lock()
		now := r.Now()
		var all []acts
		for len(r.dues) > 0 && r.dues[0].next <= now && len(all) < batch {
			c := heap.Pop(&r.dues).(*command)
			var a acts
			r.overdue(now, c, &a)
			all = append(all, a)
		}
		more := len(all) == batch
		var vote *releases.Vote
		if r.turnAt <= now {
			r.look(now)
			from := time.Now()
			r.b.SetEndpointListAge(now - r.listAt)
			var t policy.TickResult
			if r.cast != nil {
				t = r.b.TickController(now)
			} else {
				t = r.b.TickRouter(now)
			}
			r.spent(from)
			r.turnAt = now + t.NextTickSeconds
			if t.CastVote {
				vote = &releases.Vote{Build: t.Build, Stage: t.Stage, Verdict: t.Verdict}
			}
		}
		var idle acts
		if r.sweepAt <= now {
			r.sweepAt = now + min(1, r.now.Load().Document.Endpoints.IdleTime/4)
			r.sweep(now, &idle)
		}
		next := min(r.turnAt, r.sweepAt)
		if len(r.dues) > 0 {
			next = min(next, r.dues[0].next)
		}
		r.timerAt = next
		r.mu.Unlock()
		for i := range all {
			r.do(&all[i])
		}
		r.do(&idle)
		if vote != nil {
			r.cast(*vote)
		}
		if !more {
			return max(0, time.Duration((next-r.Now())*float64(time.Second)))
		}
	}
}

// overdue looks at a command whose due time has come: deliveries past their end first, then the policy's wish to be
// asked.
func (r *Proxy) overdue(now float64, c *command, a *acts) {
	again := c.again
	if again <= now {
		c.again = 0
	}
	for _, d := range c.outs {
		if c.Attempts[d.try].InFlight && d.until <= now {
			r.ended(now, d, policy.TimedOut, a)
			return // that asked the policy
		}
	}
	if again > 0 && again <= now && !c.Completed {
		r.apply(now, c, r.pick(now, c), a)
		return
	}
	r.due(c)
}

// left is told when a client went away. It tells whether its command was still in hand, and so gets no answer.
func (r *Proxy) left(c *command) bool {
	r.mu.Lock()
	if c.Completed {
		r.mu.Unlock()
		return false
	}
	now := r.Now()
	r.count.Abandoned++
	r.close(c)
	var a acts
	for _, d := range c.outs {
		if c.Attempts[d.try].InFlight && d.fate.Load() == fresh { // nobody waits for what has not left yet
			r.ended(now, d, policy.Cancelled, &a)
		}
	}
	r.apply(now, c, r.pick(now, c), &a)
	r.mu.Unlock()
	r.do(&a)
	return true
}

// wrong enters a client's report of a wrong answer, by the receipt that came with the answer.
func (r *Proxy) wrong(receipt string) error {
	var unit uint32
	var at float64
	if _, err := fmt.Sscanf(receipt, "%d-%f", &unit, &at); err != nil {
		return fmt.Errorf("%s: %q is no receipt", headReceipt, receipt)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.Now() - at
	if !(age >= 0 && age < r.now.Load().Document.Rules.UnitsForget) {
		return fmt.Errorf("%s: %q is not of the last %.0f s", headReceipt, receipt, r.now.Load().Document.Rules.UnitsForget)
	}
	r.count.WrongAnswers++
	r.b.ReportWrongAnswer(r.Now(), unit, age)
	return nil
}
