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
	settings    *config.Router
	log    *slog.Logger
	protocol protocol
	castVote   func(releases.Vote) // called without the lock; must not wait. nil: a planner judges, and leads

	// Answered, where set, is told of each final answer: op type, answer, s since the command came. It must not wait.
	OnFinalAnswer func(op, kind string, secs float64)

	connReuseDelaySeconds  float64   // s after an answer in which its connection gets no further delivery
	clockBase  time.Time // on the clock that only goes forward, wall tells when that was
	clockBaseSeconds  float64
	currentConfig   atomic.Pointer[configstate.Version] // in force; readers take no lock
	stop  chan struct{}
	timerWake  chan struct{} // the timer is to look again
	goroutines sync.WaitGroup

	shedding atomic.Bool   // something is shed now
	overloaded   atomic.Bool   // this process is late, or something is shed
	maxQueuedMillis   atomic.Uint32 // ms that a command lay in the kernel, the most since the last look

	mu       sync.Mutex // orders the policy's calls; all below is under it
	balancer        *policy.Balancer
	shedder     *loadshed.Shedder // nil: nothing is shed
	sampler    *processstats.Sampler
	processSample     processstats.Sample
	timerDelaySeconds      float64 // s that the timer came late, as of the last look
	delayTracker     loadshed.DelayTracker
	shedAnswer     answer // to what is shed
	shedAnswerConfig  *configstate.Version
	configState   *configstate.State
	inFlightByClass     []int // commands in hand, by the place of their op type
	deadlines     deadlineQueue
	timerAt  float64 // what the timer waits for
	policyTickAt   float64
	idleSweepAt  float64
	lastRequestID   uint32
	inFlight    int // commands in hand
	pools    map[uint32]*endpointPool
	requestIDs      map[string]struct{} // of commands in hand, where the protocol names them
	endpointConns    map[*endpointConn]struct{}
	clients  map[*clientConn]struct{}
	draining bool
	ready    bool     // it says so to who asks
	awaitingReady    []func() // answers to those who asked before
	answerDeadline float64  // when all is to be answered, 0: no such time
	endpointListVersion   uint64
	endpointListAt   float64 // when what the list says was true
	stats    Stats

	memory memoryBudget
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

// request is one in hand, with what the policy does not need to know.
type request struct {
	policy.Request
	conn *clientConn
	message    *message
	config  *configstate.Version // it is served by from start to end
	attempts   []*attempt          // as long as Sent
	pickAgainAt  float64              // earliest time to ask the policy again, 0: not
	nextCheckAt   float64              // earliest of again and the deliveries' ends
	heapIndex  int
	answer   *pendingAnswer // its place among its client's answers, where several are owed
}

// NewHTTP makes a relay that speaks HTTP; cast takes the votes.
func NewHTTP(set *config.Router, seed uint64, log *slog.Logger, cast func(releases.Vote)) *Proxy {
	return newProxy(set, http1{}, seed, log, cast)
}

// NewRESP makes one that speaks the platform's protocol.
func NewRESP(set *config.Router, seed uint64, log *slog.Logger, cast func(releases.Vote)) *Proxy {
	return newProxy(set, resp2{}, seed, log, cast)
}

func newProxy(set *config.Router, speech protocol, seed uint64, log *slog.Logger, cast func(releases.Vote)) *Proxy {
	now := time.Now()
	p := &Proxy{settings: set, log: log, protocol: speech, castVote: cast, connReuseDelaySeconds: speech.connReuseDelaySeconds(), clockBase: now, clockBaseSeconds: float64(now.UnixNano()) / 1e9,
		stop: make(chan struct{}), timerWake: make(chan struct{}, 1),
		pools: map[uint32]*endpointPool{}, requestIDs: map[string]struct{}{}, endpointConns: map[*endpointConn]struct{}{}, clients: map[*clientConn]struct{}{}}
	p.configState = configstate.NewState(&set.Document, nil, 0, set.ConfigWaitSeconds())
	p.currentConfig.Store(p.configState.Current())
	p.balancer = policy.New(*p.configState.Current().Policy, seed, p.clockBaseSeconds)
	p.inFlightByClass = make([]int, len(p.configState.Current().Policy.Classes))
	p.policyTickAt, p.endpointListAt = p.clockBaseSeconds, p.clockBaseSeconds
	p.sampler = processstats.New()
	if o := set.Overload; o != nil {
		p.memory.limitBytes = o.Memory
		if o.Shed {
			p.shedder = loadshed.New(shedderClasses(p.configState.Current().Policy), seed, p.clockBaseSeconds)
		}
	}
	p.goroutines.Add(1)
	go p.runTimer()
	return p
}

// Now is the relay's clock: s since 1970 as of its start, going forward steadily from there.
func (p *Proxy) Now() float64 { return p.clockBaseSeconds + time.Since(p.clockBase).Seconds() }

// ApplyEndpoints enters a checked line of the unit list.
func (p *Proxy) ApplyEndpoints(line *endpoints.Update) {
	var effects effects
	defer p.runEffects(&effects)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	p.endpointListAt, p.endpointListVersion = now-line.Age, line.Version
	line.ApplyTo(p.balancer, now)
	if line.Full {
		for _, pool := range p.pools {
			pool.usable = false
		}
	}
	for _, u := range line.Endpoints {
		p.updatePool(u, &effects)
	}
	p.removeUnusedPools()
}

// ConfirmEndpoints enters that the list still holds.
func (p *Proxy) ConfirmEndpoints() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpointListAt = p.Now()
}

// ApplyRelease enters news of the newest build.
func (p *Proxy) ApplyRelease(build, stage int, phase policy.Phase, limit, age float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyRelease(p.Now(), build, stage, phase, limit, age)
}

// ApplyAssignment enters what a planner's view says of this edge's part.
func (p *Proxy) ApplyAssignment(build int, v policy.Verdict, share, until float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyAssignment(build, v, share, until)
}

// SetHealthMarks enters what a planner's health source says of units, age ago.
func (p *Proxy) SetHealthMarks(age float64, marks []policy.HealthMark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetHealthMarks(p.Now(), age, marks)
}

// LocalEvidence gives what the policy counted of the present build, for a planner.
func (p *Proxy) LocalEvidence() policy.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.LocalEvidence(p.Now())
}

// EndpointsAt is when what the list says was true.
func (p *Proxy) EndpointsAt() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpointListAt
}

// RestoreRelease enters news that the process before had, confirmed some time ago.
func (p *Proxy) RestoreRelease(build, stage int, phase policy.Phase, limit, age, ago float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.RestoreRelease(p.Now(), build, stage, phase, limit, age, ago)
}

// ReportWrongAnswer enters that a unit gave a wrong answer to a delivery of age ago.
func (p *Proxy) ReportWrongAnswer(unit uint32, age float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.WrongAnswers++
	p.balancer.ReportWrongAnswer(p.Now(), unit, age)
}

// OnVoteReply enters what became of the vote last cast.
func (p *Proxy) OnVoteReply(reply policy.VoteReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.OnVoteReply(p.Now(), reply)
}

// Stats gives the counts as of now.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.stats
	n.InFlight, n.ClientConns, n.EndpointListAgeSeconds = p.inFlight, len(p.clients), p.Now()-p.endpointListAt
	n.EndpointConns, n.Endpoints = len(p.endpointConns), len(p.pools)
	n.Process, n.TimerDelaySeconds, n.MemoryBytes, n.MemoryPeakBytes, n.ReadsPaused = p.processSample, p.timerDelaySeconds, p.memory.usedBytes.Load(), p.memory.peakBytes.Load(), p.memory.readsPaused.Load()
	if p.shedder != nil {
		n.ShedShare = p.shedder.ShedShare()
	}
	return n
}

// effects is what is left to do once the lock is given back: connections to close, then messages to write. A connection
// is closed before the answer that makes it needless goes out, so that nothing of a command follows its answer.
type effects struct {
	connsToClose []*endpointConn
	attemptsToWrite  []*attempt
	answer answer
	answeredRequest     *request // that it answers
}

// accept takes a command and does the first of what follows. nil: one with its id is in hand. The path of an ordinary command is: accept, Pick, send,
// serveUnit, arrived, After, the answer.
func (p *Proxy) accept(conn *clientConn, message *message, v *configstate.Version, class int, pending *pendingAnswer) *request {
	p.mu.Lock()
	if _, twice := p.requestIDs[message.id]; twice && message.id != "" {
		p.mu.Unlock()
		return nil
	}
	now := p.Now()
	p.lastRequestID++
	request := &request{conn: conn, message: message, config: v, heapIndex: -1, answer: pending, Request: policy.Request{ID: p.lastRequestID, Class: class, Config: v.Policy,
		Key: message.keyHash, ReceivedAt: now, Deadline: now + v.Policy.Classes[class].TimeoutSeconds, Work: message.workSeconds, ClientRetry: message.clientRetry}}
	if message.timeoutSeconds > 0 {
		request.Deadline = min(request.Deadline, now+message.timeoutSeconds)
	}
	request.Deadline -= message.queuedSeconds
	if p.answerDeadline > 0 {
		request.Deadline = min(request.Deadline, p.answerDeadline)
	}
	if message.id != "" {
		p.requestIDs[message.id] = struct{}{}
	}
	conn.reading, conn.hasSentRequest = false, true
	conn.inFlight++
	p.stats.Received++
	p.inFlight++
	p.inFlightByClass[class]++
	var effects effects
	if p.shed(now, request) {
		p.stats.Rejected++
		p.finishRequest(request, p.shedAnswerFor(request.config), &effects)
	} else {
		p.applyDecision(now, request, p.pick(now, request), &effects)
	}
	p.mu.Unlock()
	p.runEffects(&effects)
	return request
}

// pick asks the policy, and counts the time that takes.
func (p *Proxy) pick(now float64, request *request) policy.Decision {
	from := time.Now()
	s := p.balancer.Pick(now, &request.Request)
	p.countPolicyCall(from)
	return s
}

func (p *Proxy) countPolicyCall(from time.Time) {
	p.stats.PolicyCalls++
	p.stats.PolicySeconds += time.Since(from).Seconds()
}

// applyDecision carries out a step, and what the policy says to what comes of that at once.
func (p *Proxy) applyDecision(now float64, request *request, s policy.Decision, effects *effects) {
	if s.PickAgainAt > 0 && s.PickAgainAt < request.Deadline && (request.pickAgainAt == 0 || s.PickAgainAt < request.pickAgainAt) {
		request.pickAgainAt = s.PickAgainAt
	}
	switch s.Action {
	case policy.Send:
		p.stats.Attempts++
		attempt := &attempt{request: request, index: len(request.Attempts), endpoint: s.Endpoint, startedAt: now, deadline: s.AttemptDeadline}
		request.Attempts = append(request.Attempts, policy.Attempt{Endpoint: s.Endpoint, StartedAt: now, InFlight: true})
		request.attempts = append(request.attempts, attempt)
		if !p.assignConn(attempt, effects) {
			p.endAttempt(now, attempt, policy.NotSent, effects)
			return
		}
	case policy.Reject:
		p.stats.Rejected++
		p.finishRequest(request, p.protocol.rejectedAnswer(request.config, s.RetryAfterSeconds), effects)
	case policy.Fail:
		p.stats.Failed++
		n := len(request.attempts)
		p.finishRequest(request, p.protocol.failedAnswer(request.config, n > 0 && request.attempts[n-1].outcome == policy.TimedOut), effects)
	}
	if s.CancelInFlight {
		for _, attempt := range request.attempts {
			if request.Attempts[attempt.index].InFlight {
				p.stats.Cancels++
				p.endAttempt(now, attempt, policy.Cancelled, effects)
			}
		}
	}
	p.scheduleCheck(request)
}

// endAttempt enters how a delivery ended. What can be proved never to have left is told so, whatever ended it.
func (p *Proxy) endAttempt(now float64, attempt *attempt, result policy.Outcome, effects *effects) {
	request := attempt.request
	if !request.Attempts[attempt.index].InFlight {
		return
	}
	answered := result == policy.Succeeded || result == policy.ServerError || result == policy.Overloaded
	part := attempt.writeState.Load() == lastByteHeld
	if !answered && attempt.drop() && result != policy.NotConnected {
		result = policy.NotSent
		if attempt.conn != nil && (attempt.conn.dialing || part) && !request.Completed {
			result = policy.NotConnected // there was time, and no connection that takes a command came of it
		}
	}
	attempt.outcome = result
	p.stats.Outcomes[result]++
	sent := &request.Attempts[attempt.index]
	sent.InFlight = false
	sent.MayHaveRun = result != policy.NotSent && result != policy.NotConnected && result != policy.Overloaded
	if conn := attempt.conn; conn != nil {
		attempt.conn = nil
		if conn.attempt == attempt {
			conn.attempt = nil
			p.removeConn(conn, effects) // something of the command may still be on it
		}
	}
	from := time.Now()
	s := p.balancer.OnAttemptDone(now, &request.Request, attempt.endpoint, result, now-attempt.startedAt)
	p.countPolicyCall(from)
	p.applyDecision(now, request, s, effects)
}

// finishRequest ends a command with its final answer.
func (p *Proxy) finishRequest(request *request, ans answer, effects *effects) {
	p.removeRequest(request)
	effects.answer, effects.answeredRequest = ans, request
	if p.draining {
		request.conn.closeAfterAnswer = true
	}
	if p.OnFinalAnswer != nil {
		p.OnFinalAnswer(p.configState.ClassName(request.Class), ans.kind, p.Now()-request.ReceivedAt)
	}
}

// removeRequest takes a command out of hand.
func (p *Proxy) removeRequest(request *request) {
	request.Completed = true
	p.inFlight--
	p.inFlightByClass[request.Class]--
	request.conn.inFlight--
	request.conn.idleSince = p.Now()
	delete(p.requestIDs, request.message.id)
}

// scheduleCheck puts a command where its next due time belongs.
func (p *Proxy) scheduleCheck(request *request) {
	next := 0.0
	if !request.Completed {
		next = request.pickAgainAt
	}
	for _, attempt := range request.attempts { // also what nobody waits for any more: a unit that never answers must not hold its connection for ever
		if request.Attempts[attempt.index].InFlight && (next == 0 || attempt.deadline < next) {
			next = attempt.deadline
		}
	}
	p.deadlines.update(request, next)
	if next > 0 && next < p.timerAt {
		select {
		case p.timerWake <- struct{}{}:
		default:
		}
	}
}

// runEffects carries out what needs no lock.
func (p *Proxy) runEffects(effects *effects) {
	for _, conn := range effects.connsToClose {
		conn.close()
	}
	for _, attempt := range effects.attemptsToWrite {
		p.writeAttempt(attempt)
	}
	if effects.answeredRequest != nil {
		p.protocol.deliverAnswer(effects.answeredRequest, effects.answer)
	}
}

// runTimer is the one timer: the policy's periodic work and every command's due times.
func (p *Proxy) runTimer() {
	defer p.goroutines.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-timer.C:
		case <-p.timerWake:
		}
		timer.Reset(p.tick())
	}
}

// tick does all that is due and gives the time until the next.
func (p *Proxy) tick() time.Duration {
	const batch = 64 // commands served before the lock is offered to others
	for {
		p.mu.Lock()
		now := p.Now()
		var batchEffects []effects
		for len(p.deadlines) > 0 && p.deadlines[0].nextCheckAt <= now && len(batchEffects) < batch {
			request := heap.Pop(&p.deadlines).(*request)
			var effects effects
			p.onDeadline(now, request, &effects)
			batchEffects = append(batchEffects, effects)
		}
		more := len(batchEffects) == batch
		var vote *releases.Vote
		if p.policyTickAt <= now {
			p.sampleLoad(now)
			from := time.Now()
			p.balancer.SetEndpointListAge(now - p.endpointListAt)
			var t policy.TickResult
			if p.castVote != nil {
				t = p.balancer.TickController(now)
			} else {
				t = p.balancer.TickRouter(now)
			}
			p.countPolicyCall(from)
			p.policyTickAt = now + t.NextTickSeconds
			if t.CastVote {
				vote = &releases.Vote{Build: t.Build, Stage: t.Stage, Verdict: t.Verdict}
			}
		}
		var sweepEffects effects
		if p.idleSweepAt <= now {
			p.idleSweepAt = now + min(1, p.currentConfig.Load().Document.Endpoints.IdleTime/4)
			p.closeIdleConns(now, &sweepEffects)
		}
		next := min(p.policyTickAt, p.idleSweepAt)
		if len(p.deadlines) > 0 {
			next = min(next, p.deadlines[0].nextCheckAt)
		}
		p.timerAt = next
		p.mu.Unlock()
		for i := range batchEffects {
			p.runEffects(&batchEffects[i])
		}
		p.runEffects(&sweepEffects)
		if vote != nil {
			p.castVote(*vote)
		}
		if !more {
			return max(0, time.Duration((next-p.Now())*float64(time.Second)))
		}
	}
}

// onDeadline looks at a command whose due time has come: deliveries past their end first, then the policy's wish to be
// asked.
func (p *Proxy) onDeadline(now float64, request *request, effects *effects) {
	again := request.pickAgainAt
	if again <= now {
		request.pickAgainAt = 0
	}
	for _, attempt := range request.attempts {
		if request.Attempts[attempt.index].InFlight && attempt.deadline <= now {
			p.endAttempt(now, attempt, policy.TimedOut, effects)
			return // that asked the policy
		}
	}
	if again > 0 && again <= now && !request.Completed {
		p.applyDecision(now, request, p.pick(now, request), effects)
		return
	}
	p.scheduleCheck(request)
}

// abandonRequest is told when a client went away. It tells whether its command was still in hand, and so gets no answer.
func (p *Proxy) abandonRequest(request *request) bool {
	p.mu.Lock()
	if request.Completed {
		p.mu.Unlock()
		return false
	}
	now := p.Now()
	p.stats.Abandoned++
	p.removeRequest(request)
	var effects effects
	for _, attempt := range request.attempts {
		if request.Attempts[attempt.index].InFlight && attempt.writeState.Load() == notWritten { // nobody waits for what has not left yet
			p.endAttempt(now, attempt, policy.Cancelled, &effects)
		}
	}
	p.applyDecision(now, request, p.pick(now, request), &effects)
	p.mu.Unlock()
	p.runEffects(&effects)
	return true
}

// reportWrongAnswerByReceipt enters a client's report of a wrong answer, by the receipt that came with the answer.
func (p *Proxy) reportWrongAnswerByReceipt(receipt string) error {
	var unit uint32
	var at float64
	if _, err := fmt.Sscanf(receipt, "%d-%f", &unit, &at); err != nil {
		return fmt.Errorf("%s: %q is no receipt", headerReceipt, receipt)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	age := p.Now() - at
	if !(age >= 0 && age < p.currentConfig.Load().Document.Rules.UnitsForget) {
		return fmt.Errorf("%s: %q is not of the last %.0f s", headerReceipt, receipt, p.currentConfig.Load().Document.Rules.UnitsForget)
	}
	p.stats.WrongAnswers++
	p.balancer.ReportWrongAnswer(p.Now(), unit, age)
	return nil
}
