// The module's decisions, all of them. A caller makes one Balancer for each instance (New), tells it what it
// hears (ListStart, Listed, ListEnd, ListAge, ListFailed, Stage, VoteAnswered, Flagged) and asks three things: where
// to send a command (Pick), what to do after an outcome (After), how long to wait and what to vote meanwhile
// (Wait). Split in two programs, the edge asks Pick, After and Tend, and hears what its planner says (Follow); the
// planner asks Wait, and hears what its edges counted (Heard). The plain values that pass in and out are defined in api.go; wire/ is one caller. Nothing here
// reads a clock, starts a goroutine or knows a name; equal calls give equal answers.

package policy

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sort"
)

const (
	check      = 0.1  // s between two looks at the counts and votes
	steerIn    = 0.25 // s between two changes of the open limit
	voteAgain  = 0.5  // s until a vote that did not count is cast again
	backNats   = 3.0  // MaxSPRT-AB's threshold before ln(balancers)
	holdAt     = 0.75 // part of the line from which the clock is held
	leastSeen  = 20.0 // trial outcomes before a back vote
	leastPart  = 4.0  // a machine's outcomes, before it is one of several
	leastBad   = 3.0  // failures among them, of all the voters needed
	settle     = 2.0  // s after a start that go uncounted
	onWait     = 3.7  // s after the newest trial start, with leastSeen outcomes
	onWaitFew  = 5.0  // s with fewer
	onBlind    = 9.0  // s of a stage after which a list that does not show it is no reason to wait
	slowMark   = 2.0  // an answer is slow above this many times the earlier build's median
	medianStep = 0.02
	slack      = 1.5  // a trial answer above slack times that: a build a little slower is still good
	lagFade    = 0.97 // what is kept of the slow answers' counts at each steering: load changes with time
	repeatIn   = 0.02 // s after a failed answer within which a like command is taken for its repeat
	leastUsed  = 8.0  // units that a balancer uses at least
	inIdle     = 0.08 // of the time after which an idle connection is closed, until a unit is used again
	failFade   = 4.0  // s in which a unit's failures are forgotten to 1/e
	rare       = 0.1  // refused among new connections that are nothing unusual
	failStep   = 0.25 // weight of an outcome in them
	failCost   = 12.0 // how much a unit that fails all looks more loaded
	quick      = 0.1  // weight of a new sample in moving means
	retryRate  = 0.15 // further deliveries earned by a command
	retryMost  = 20.0
	patience   = 3.0  // a delivery is waited for this many usual answer times before another may go
	hopeful    = 0.45 // usual answer time over service target that the open limit steers for
	coldPart   = 0.6  // part of the cold budget that is used, were all warm units full
	hopeless   = 3.0  // times the usual work, from which a command's chances are looked at by its work
	holdStep   = 0.02 // s until a held command asks again
)

// The kinds of failure that are counted apart, each against outcomes of its own.
const (
	wrong  = iota // flagged answers
	failed        // errors
	lost          // broken and failed connections, time-outs
	slow          // answers far later than usual, and no room, of warm machines
	kinds
)

func New(t Config, seed uint64, now float64) *Balancer {
	b := &Balancer{seed: seed, hash: fnv.New64a(), byID: map[uint32]*unit{}, answered: map[uint64]int{}}
	b.SetConfig(&t)
	b.tokens, b.limit, b.watchAt = retryMost/2, math.Inf(1), math.Inf(-1)
	b.share = float64(one(!t.HasController))
	return b
}

// SetConfig takes terms for what comes from now on; nobody changes them any more. Op types keep their places, and more may
// follow. A command goes to its end by the terms it came under, but for what is about all commands together: caps, windows,
// drains and cold units go by the present terms at once, which is sooner than the grace would have it.
func (b *Balancer) SetConfig(t *Config) {
	b.t, b.worth = t, 0
	for i, op := range t.Classes {
		if i == len(b.usual) {
			b.taken, b.tried = append(b.taken, nil), append(b.tried, nil)
			b.usual, b.plain = append(b.usual, 0), append(b.plain, 0)
			b.missed, b.given = append(b.missed, math.Inf(-1)), append(b.given, majority{})
		}
		b.worth = max(b.worth, op.PriorityWeight)
	}
}

// Pick says where to send a command, or not yet, or never. It is asked when a command comes, when a step's
// Again is reached, and by After.
func (b *Balancer) Pick(now float64, c *Request) Decision {
	b.wake(now)
	if c.Config == nil {
		c.Config = b.t
	}
	t := c.Config
	op := &t.Classes[c.Class]
	if c.Completed || c.Streaming {
		return Decision{CancelInFlight: c.Completed && t.AllowCancel} // nobody waits for what is still out
	}
	if len(c.Attempts) == 0 && now <= c.ReceivedAt {
		b.take(now, c)
	}
	outs := c.outs()
	if outs > 0 && !b.silent(now, c) {
		return Decision{PickAgainAt: now + b.patience(c)}
	}
	further := len(c.Attempts) > 0
	// Half a round early: a hair before the end a held command would be asked about for ever.
	// Under load nothing goes to a client that asks again after its first try's target has passed.
	over := now >= c.Deadline-2.5*t.MinTickSeconds || now-c.ReceivedAt >= op.LatencyObjectiveSeconds ||
		b.ratio > hopeful && !further && now-c.FirstSeenAt >= op.LatencyObjectiveSeconds
	if over || !b.mayRepeat(now, c) || further && b.tokens < 1 && !c.NotConnected {
		return b.end(now, c, outs)
	}
	if outs > 0 && !t.AllowHedging {
		return Decision{CancelInFlight: t.AllowCancel}
	}
	// What is said to be too heavy to be answered in time would only take its unit from others.
	if c.Work > hopeless && b.usual[c.Class]*(1+c.Work)/2 > c.FirstSeenAt+op.LatencyObjectiveSeconds-now {
		return b.end(now, c, outs)
	}
	hold := Decision{Action: Hold, PickAgainAt: min(now+holdStep, c.Deadline-2*t.MinTickSeconds)}
	// Overload: what is open is bounded; the less important waits, then is nacked.
	if !further && float64(b.open) >= b.limit*(0.6+0.4*op.PriorityWeight/b.worth) {
		if now-c.FirstSeenAt+2*b.usual[c.Class] > op.LatencyObjectiveSeconds {
			return b.end(now, c, outs)
		}
		return hold
	}
	u := b.choose(now, c)
	if u == nil && outs > 0 {
		return Decision{}
	} else if u == nil {
		return hold
	}
	// The ordinary end: the delivery is on its way, with the time to look again if it stays silent.
	if further && !c.NotConnected { // a delivery that met no unit has cost none any work
		b.tokens--
	}
	if u.open == 0 {
		u.heard = now
	}
	u.open++
	u.work += c.Work
	b.open++
	b.peak = max(b.peak, b.open)
	if b.onTrial(u.build) {
		i := b.bucket(c.Class)
		b.tried[i] = append(b.tried[i], now)
	}
	u.credit -= c.Work
	s := Decision{Action: Send, Endpoint: u.id, AttemptDeadline: c.Deadline - 2*t.MinTickSeconds}
	if look := now + b.patience(c); op.Idempotency != NonIdempotent && look < c.FirstSeenAt+op.LatencyObjectiveSeconds {
		s.PickAgainAt = look
	}
	return s
}

// wake notes that this balancer has stood still itself, since it missed its periodic work: what it finds then
// came meanwhile, and how late that is says nothing of any unit.
func (b *Balancer) wake(now float64) {
	if now-b.seen > 3*check {
		b.woke = now
	}
	b.seen = now
}

// patience is how long a delivery is left alone: some usual answer times, by the work it is said to need.
func (b *Balancer) patience(c *Request) float64 {
	if b.usual[c.Class] == 0 {
		return math.Inf(1)
	}
	return patience*b.usual[c.Class]*max(1, c.Work) + b.lag
}

// silent tells whether what is out has met units that have answered nothing since.
func (b *Balancer) silent(now float64, c *Request) bool {
	for _, d := range c.Attempts {
		// A unit that has nothing else out has been given no other chance to be heard: it gets more time.
		u := b.byID[d.Endpoint]
		if d.InFlight && (u.heard > d.StartedAt || now < max(d.StartedAt, b.woke)+b.patience(c)*(1+1/float64(u.open))-1e-6) {
			return false
		}
	}
	return true
}

// take notes a command that came.
func (b *Balancer) take(now float64, c *Request) {
	i := b.bucket(c.Class)
	b.taken[i] = append(b.taken[i], now)
	b.tokens = min(b.tokens+retryRate, retryMost)

	if c.Work > 0 {
		mean(&b.hint, c.Work)
		c.Work /= b.hint
	} else {
		c.Work = 1
	}
	// Most tries are given one time. What is given another, and enough, is a later try: its client gives up a
	// command timeout after it first asked.
	op, given := &c.Config.Classes[c.Class], c.Deadline-c.ReceivedAt
	if c.FirstSeenAt = now; !b.given[c.Class].most(given) && given > op.LatencyObjectiveSeconds {
		c.FirstSeenAt = c.Deadline - op.TimeoutSeconds
	}
	// One caller's instant repeats are one failure, not many.
	c.ClientRetry = c.ClientRetry || now-b.missed[c.Class] <= repeatIn
}

// mayRepeat is rule 2: whether another delivery can do no harm.
func (b *Balancer) mayRepeat(now float64, c *Request) bool {
	op := &c.Config.Classes[c.Class]
	if len(c.Attempts) >= c.Config.MaxAttempts {
		return false
	}
	for _, d := range c.Attempts {
		if !d.MayHaveRun && !d.InFlight || op.Idempotency == Idempotent {
			continue
		}
		if op.Idempotency == NonIdempotent || now+2*c.Config.MinTickSeconds >= d.StartedAt+op.DedupWindowSeconds {
			return false
		}
	}
	return true
}

// end gives a command its final answer at once, a nack where a retry is harmless, unless a delivery is out.
func (b *Balancer) end(now float64, c *Request, outs int) Decision {
	if outs > 0 {
		return Decision{}
	}
	op := &c.Config.Classes[c.Class]
	b.missed[c.Class] = now
	for _, d := range c.Attempts {
		if d.MayHaveRun && (op.Idempotency == NonIdempotent || op.Idempotency == IdempotentWithKey && op.DedupScope != DedupAll) {
			return Decision{Action: Fail}
		}
	}
	return Decision{Action: Reject, RetryAfterSeconds: c.Config.MaxRetryAfterSeconds}
}

// onTrial tells whether a build is on trial for this balancer. Before any news only the oldest build is not.
func (b *Balancer) onTrial(build int) bool {
	return !b.told && build > b.oldest || b.told && (build > b.build || build == b.build && b.phase != PhaseReleased)
}

// room is rule 5: how many more trial deliveries the window holds.
func (b *Balancer) room(now float64, c *Request, build int) float64 {
	capNow, stage := b.cap, b.stage
	if !b.told || build > b.build {
		capNow, stage = b.t.CanaryLimits[0], 0
	}
	if capNow <= 0 || stage < b.t.IdempotentOnlyStages && c.Config.Classes[c.Class].Idempotency != Idempotent {
		return 0
	}
	i := b.bucket(c.Class)
	b.taken[i] = after(b.taken[i], now-b.t.CanaryWindowSeconds+b.t.MinTickSeconds)
	b.tried[i] = after(b.tried[i], now-b.t.CanaryWindowSeconds-b.t.MinTickSeconds)
	free := b.t.CanaryFreeAttempts * b.share
	if b.t.HasController && now >= b.lent {
		free = 0 // the lease is over: the planner may have lent this part to another edge
	}
	return free + capNow*float64(len(b.taken[i])) - float64(len(b.tried[i]))
}

// arrange keeps what is asked for each command and vote, so that none walks the fleet: the units of either
// side, how the traffic parts between them, and whether both builds run side by side.
func (b *Balancer) arrange(now float64) {
	b.oldest, b.ready, b.earlier, b.newer, b.newest = math.MaxInt, 0, 0, 0, 0
	old := false // a machine that a stale list only names answers nothing: it is no company
	for _, u := range b.units {
		switch {
		case !u.ready:
			continue
		case u.build == b.build:
			b.newer++
			b.newest = max(b.newest, u.since)
		case u.build < b.build:
			b.earlier++
			old = old || u.fail.level(now, failFade) <= 0.5
		}
		b.ready++
		b.oldest = min(b.oldest, u.build)
	}
	// Where connections are refused, the few open ones decide who is late, and did before it was seen.
	refused := b.refusal(now) > rare
	b.paired = b.newer > 0 && old && !refused
	for i := 0; refused && i < len(b.samples); i++ {
		b.samples[i].of[lost], b.samples[i].of[slow] = count{}, count{}
	}
	// A balancer uses as many units, each balancer others, as its traffic keeps connections open to and shows it
	// something of: more cost a handshake for each command.
	part := min(1, max(leastUsed, b.rate(now)*b.t.ConnIdleSeconds*inIdle)/float64(max(1, b.ready)))
	for i := range b.sides {
		b.sides[i], b.heft[i] = b.sides[i][:0], 0
	}
	for _, u := range b.units {
		if i := one(b.onTrial(u.build)); u.ready {
			b.sides[i] = append(b.sides[i], u)
			b.heft[i] += u.heft * b.ramp(now, u) * (1 - b.failing(now, u)/2)
		}
	}
	for i, side := range b.sides {
		b.sides[i] = side[:int(math.Ceil(part*float64(len(side))))]
	}
}

// choose takes the build by its share of the list, unless this balancer's vote alone sends it back, and the
// better of two random choices within it; the other build where none can take the command.
func (b *Balancer) choose(now float64, c *Request) *unit {
	first, second := b.sides[1], b.sides[0]
	if b.t.RollbackVotes <= 1 && b.standing.verdict == VoteRollback && b.standing.build == b.build ||
		b.chance() >= b.heft[1]/(b.heft[0]+b.heft[1]) {
		first, second = second, first
	}
	if u := b.twoChoices(now, c, first); u != nil {
		return u
	}
	return b.twoChoices(now, c, second)
}

// mayTake tells whether a unit may have the command at all, whatever its load.
func (b *Balancer) mayTake(now float64, c *Request, u *unit) bool {
	op := &c.Config.Classes[c.Class]
	for _, d := range c.Attempts {
		v := b.byID[d.Endpoint]
		if v == u && (d.InFlight || !c.Config.AllowHedging && len(b.units) > 1 && d.MayHaveRun && len(c.Attempts) == 1) {
			return false // not where it is, nor where it just failed
		}
		if op.Idempotency == IdempotentWithKey && (d.InFlight || d.MayHaveRun) && (op.DedupScope == DedupZone && v.zone != u.zone ||
			op.DedupScope == DedupCell && v.cell != u.cell) {
			return false
		}
	}
	return u.ready && b.keyFits(c, u) && (!b.onTrial(u.build) || b.room(now, c, u.build) >= 1)
}

// keyFits keeps keys one-way: none goes to a build before the one that answered it. What can't be remembered any
// more must not be answered by a build on trial either.
func (b *Balancer) keyFits(c *Request, u *unit) bool {
	if !b.t.OneWayKeys || c.Key == 0 {
		return true
	}
	at, known := b.answered[c.Key]
	return u.build >= max(at, b.floor) && (known || b.t.MaxRememberedKeys == 0 || len(b.answered) < b.t.MaxRememberedKeys || !b.onTrial(u.build))
}

// remember notes which build answered a key. A balancer lives for months: where a released build's keys fill the
// room for them, all keys are taken for its own, which is what they are about to be.
func (b *Balancer) remember(key uint64, build int) {
	if build <= b.floor {
		return
	}
	b.answered[key] = max(b.answered[key], build)
	if b.t.MaxRememberedKeys > 0 && len(b.answered) >= b.t.MaxRememberedKeys && b.told && b.phase == PhaseReleased {
		b.floor = b.build
		clear(b.answered)
	}
}

// forget drops what only a long life gathers: keys whose build has none before it left (one that comes back gets no
// keys), and units that left the list long ago. Their counts go on together, as of one machine.
func (b *Balancer) forget(now float64) {
	if b.t.MaxRememberedKeys > 0 && b.ready > 0 && b.oldest > b.floor {
		b.floor = b.oldest
		maps.DeleteFunc(b.answered, func(_ uint64, build int) bool { return build <= b.floor })
	}
	gone := func(u *unit) bool {
		return b.t.ForgetEndpointSeconds > 0 && !u.ready && u.open == 0 && now-u.left > b.t.ForgetEndpointSeconds
	}
	if !slices.ContainsFunc(b.units, gone) {
		return
	}
	old := b.samples
	b.samples = nil
	for _, s := range old {
		to := s.unit
		if u := b.byID[s.unit]; u == nil || gone(u) {
			to = 0
		}
		of := &b.sampleOf(to, s.build).of
		for i := range of {
			of[i] = of[i].with(s.of[i], 1)
		}
	}
	b.units = slices.DeleteFunc(b.units, func(u *unit) bool {
		if gone(u) {
			delete(b.byID, u.id)
		}
		return gone(u)
	})
}

func (b *Balancer) twoChoices(now float64, c *Request, group []*unit) *unit {
	if len(group) == 0 || b.onTrial(group[0].build) && b.room(now, c, group[0].build) < 1 {
		return nil
	}
	var best *unit
	var least float64
	// Where both fail about every other delivery, two more are drawn: half of a stale list may be gone. Not
	// among trial machines, which must be seen to fail. Where connections are refused, the best of more open
	// ones is taken: they lead to few units, which others crowd as well.
	tries, few := 4, b.refusal(now) > rare
	if few {
		tries = 8
	}
	again := func() bool { return best == nil || few || !b.onTrial(best.build) && b.failing(now, best) > 0.5 }
	for try := 0; try < tries && (try < 2 || again()); try++ {
		at := int(b.chance() * float64(len(group)))
		u := group[at]
		for i := range group {
			if v := group[(at+i)%len(group)]; b.mayTake(now, c, v) {
				if u = v; !few || try == 1 && !c.NotConnected || b.linked(now, v) {
					break
				}
			}
		}
		if !b.mayTake(now, c, u) || !b.warmEnough(now, u) {
			continue
		}
		if cost := b.cost(now, u, c.Work); best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best
}

// cost is how loaded a unit looks from here: own work out and to come, how slowly it answers, how long it has
// been silent and how often it failed lately, whatever the cause. It forgets, so that each is tried again.
func (b *Balancer) cost(now float64, u *unit, work float64) float64 {
	if !b.linked(now, u) {
		work *= 1 + failCost*b.refusal(now)
	}
	slow := max(u.slow, 0.2)
	if u.slow == 0 {
		slow = 1
	}
	if u.open > 0 && b.longest > 0 {
		slow = max(slow, (now-u.heard)/(2*b.longest))
	}
	return (u.work + work) * slow * (1 + failCost*b.failing(now, u)) / (u.heft * b.ramp(now, u))
}

// failing is how often a unit fails, as seen here or said by a health source. What own deliveries would show, the source
// only lifts where one of them failed lately; that answers are wrong, they do not show.
func (b *Balancer) failing(now float64, u *unit) float64 {
	fail := u.fail.level(now, failFade)
	if u.wrong.share == 0 && u.ailing.share == 0 {
		return fail
	}
	return max(fail, u.wrong.level(now, failFade), min(u.ailing.level(now, failFade), fail/failStep))
}

// ramp is the least share of its capacity that a unit has by now, by the rule's own figures.
func (b *Balancer) ramp(now float64, u *unit) float64 {
	if u.since <= 0 || now-u.since >= b.t.SlowStartSeconds {
		return 1
	}
	return b.t.SlowStartInitialShare + (1-b.t.SlowStartInitialShare)*max(0, now-u.since)/b.t.SlowStartSeconds
}

// warmEnough is rule 4: this balancer's part of what a cold unit may be sent, by what a warm one is sent from
// here. With many balancers that is less than one command: each starts at a chance part of one, and none has
// a smallest allowance, which would add up.
func (b *Balancer) warmEnough(now float64, u *unit) bool {
	r := b.ramp(now, u)
	if r >= 1 {
		return true
	}
	used := float64(len(b.sides[0]) + len(b.sides[1])) // others use other units
	part := coldPart * b.t.SlowStartOverloadFactor * r * b.rate(now) / used
	u.credit = min(u.credit+part*(now-u.creditAt), max(1, part*b.t.SlowStartOverloadSeconds))
	u.creditAt = now
	return u.credit >= 1
}

// OnAttemptDone says what to do with a command after one of its deliveries, sent to id, ended.
func (b *Balancer) OnAttemptDone(now float64, c *Request, id uint32, r Outcome, took float64) Decision {
	b.wake(now)
	u := b.byID[id]
	b.link(now, u, r)
	c.NotConnected = r == NotConnected || r == NotSent
	u.open--
	u.work -= c.Work
	b.open--
	if r != NotSent && (r != Cancelled || !c.Completed) {
		b.judge(now, c, u, r, took)
	}
	if r == Succeeded && b.t.OneWayKeys && c.Key != 0 {
		b.remember(c.Key, u.build)
	}
	if c.Completed {
		return Decision{CancelInFlight: b.t.AllowCancel}
	}
	return b.Pick(now, c)
}

// link notes whether a connection is open, and how often a new one could not be had lately: on trial machines
// that is a matter of the build.
func (b *Balancer) link(now float64, u *unit, r Outcome) {
	met := r == Succeeded || r == ServerError || r == Overloaded
	if !b.onTrial(u.build) && (r == NotConnected || met && !b.linked(now, u)) {
		b.refused.add(now, failFade, quick, r == NotConnected)
	}
	if r == NotConnected {
		u.links = 0
	} else if met {
		u.links, u.linkAt = (u.open+b.t.RequestsPerConn-1)/b.t.RequestsPerConn, now
	}
}

func (b *Balancer) refusal(now float64) float64 { return b.refused.level(now, failFade) }

// linked tells whether a unit has an open connection with room.
func (b *Balancer) linked(now float64, u *unit) bool {
	return u.open < u.links*b.t.RequestsPerConn && now-u.linkAt < b.t.ConnIdleSeconds
}

// judge enters an outcome into the unit's health, the usual times and MaxSPRT-AB's counts.
func (b *Balancer) judge(now float64, c *Request, u *unit, r Outcome, took float64) {
	op := c.Class
	if r == Cancelled && !c.Completed {
		r = TimedOut // called off for its unit's silence
	}
	if r == TimedOut && took < b.patience(c) || now == b.woke && r != ServerError {
		return // its client had little time left, or nobody was here: no unit's silence, no build's lateness
	}
	bad := r == ServerError || r == TimedOut || r == ConnectionLost || r == NotConnected
	if r != TimedOut {
		u.heard = now
	}
	u.fail.add(now, failFade, failStep, bad || r == Overloaded)
	sent := now - took
	same := sent >= u.since // it went to this process, not to an earlier one of the id
	// Warm, and rid of what queued while it was cold: longer in a full fleet, and where few votes decide.
	warm := same && sent-u.since >= b.t.SlowStartSeconds*(1+min(1, b.ratio/hopeful)/float64(max(1, b.t.RollbackVotes)))
	size := (1 + c.Work) / 2 // a part of an answer's time goes with the work, a part is waiting
	if r == Succeeded || r == TimedOut {
		if b.usual[op] > 0 {
			mean(&u.slow, took/b.usual[op]/size)
		}
		mean(&b.usual[op], min(took/size, c.Config.Classes[op].LatencyObjectiveSeconds)) // a few silent units are no overload
	}
	if c.ClientRetry || len(c.Attempts) > 1 || !same || now-u.since < settle || u.build > b.build || !b.told {
		return
	}
	of := &b.sampleOf(u.id, u.build).of
	if r == Succeeded {
		of[wrong].add(false)
	}
	if r == Succeeded || r == ServerError {
		of[failed].add(bad)
	}
	// Without earlier machines beside it, a burst, a slow fleet or vanished machines meet the trial build
	// alone: its lateness is no comparison. Nor is that of cold machines that start together.
	if !b.paired {
		return
	}
	if r != Overloaded && (r != TimedOut || warm) {
		of[lost].add(bad && r != ServerError)
	}
	if !warm || r != Succeeded && r != TimedOut && r != Overloaded {
		return
	}
	mark := slowMark * slack
	if u.build < b.build {
		mark = slowMark
		median(&b.plain[op], took, medianStep) // slow machines of the earlier build don't move it
	}
	if b.plain[op] > 0 {
		of[slow].add(r == Overloaded || took > mark*b.plain[op])
	}
}

// ReportWrongAnswer enters a wrong answer that a client found, sent age ago.
func (b *Balancer) ReportWrongAnswer(now float64, id uint32, age float64) {
	u := b.byID[id]
	if u == nil {
		return
	}
	build := u.build
	if now-age < u.since {
		build = u.before
	}
	if of := &b.sampleOf(id, build).of[wrong]; of.n > of.bad {
		of.bad++
	}
}

// nats is MaxSPRT-AB's L, signed: positive where the trial build fails more often.
func nats(a, b count) float64 {
	ll := func(c count) float64 {
		if c.bad <= 0 || c.bad >= c.n {
			return 0
		}
		return c.bad*math.Log(c.bad/c.n) + (c.n-c.bad)*math.Log(1-c.bad/c.n)
	}
	l := ll(a) + ll(b) - ll(a.with(b, 1))
	if b.bad*a.n < a.bad*b.n {
		return -l
	}
	return l
}

// excess is L over both builds' samples. A build is bad on all its machines: the quarter of a side with the
// most failures above the usual (at most half; for errors two, where others remain) is left out; of wrong
// answers, which are rare, only a machine that gives more than half of them; for slowness, which neighbours
// and queues cause on many machines, half the trial side. A lone trial machine's lateness is no proof at all.
func (b *Balancer) excess(kind int, list []*sample, reported float64) float64 {
	var side [2][]count
	var sum, few [2]count
	for _, s := range list {
		i := one(s.build == b.build)
		// Machines met too seldom to be told from the rest count together.
		if c := s.of[kind]; c.n < leastPart {
			few[i] = few[i].with(c, 1)
		} else {
			side[i], sum[i] = append(side[i], c), sum[i].with(c, 1)
		}
	}
	if kind >= lost && len(side[1]) < 2 && few[1].n < leastPart {
		return 0
	}
	whole := [2]count{sum[0].with(few[0], 1), sum[1].with(few[1], 1)}
	usual := whole[0].bad / max(1, whole[0].n)
	for i, list := range side {
		over := func(j int) float64 { return list[j].bad - list[j].n*usual }
		sort.SliceStable(list, func(j, k int) bool { return over(j) > over(k) })
		skip := min(len(list)/2, (len(list)+3)/4)
		if kind == failed {
			skip = min(max(0, len(list)-1), max(2, skip))
		} else if kind == wrong {
			skip = one(i == 1 && len(list) > 1 && 2*list[0].bad > sum[i].bad)
		} else if i == 1 && kind == slow {
			skip = len(list) / 2
		}
		sum[i] = whole[i]
		for _, c := range list[:skip] {
			sum[i] = sum[i].with(c, -1)
		}
		side[i] = list[skip:]
	}
	differ := spread(side[0], sum[0])
	// Errors are the build's where the rest fails about as much: then all count. Else they are machines' own.
	own := kind == failed && 4*sum[1].bad*whole[1].n < whole[1].bad*sum[1].n
	if kind == failed {
		sum = whole
	}
	// The voters needed may bring three flags among them.
	voters, least := float64(max(1, b.t.RollbackVotes)), leastBad
	if kind == wrong {
		least /= voters
	}
	if own || sum[0].n == 0 || sum[1].n*voters < leastSeen || sum[1].bad < least {
		return 0
	}
	l := nats(sum[0], sum[1]) / differ
	// Right answers are flagged too: the less the harm costs against a good build sent back, the surer the vote.
	if more := sum[1].bad/sum[1].n - sum[0].bad/sum[0].n; kind == wrong && more > 0 {
		l -= max(0, math.Log(b.t.StaleBuildPrice/(b.t.WrongAnswerPrice*more/reported)))
	}
	return l
}

// lifted is L of a kind with what a health source adds to it. The source's rates are put to the own sample: where that is
// less likely under them than without, the source is contradicted and counts for nothing; else it adds to what they
// explain, at most what a clean sample of this size would speak against it, and half the line.
func (b *Balancer) lifted(kind int, line float64, list, outside []*sample) float64 {
	own := b.excess(kind, list, b.t.WrongAnswerReportShare)
	said := b.excess(kind, outside, 1)
	if said <= 0 {
		return own
	}
	seen := 1.0
	if kind == wrong {
		seen = b.t.WrongAnswerReportShare
	}
	if seen == 0 { // nobody here could contradict it, and all who hear it are one voice
		return max(own, said*line/(backNats+math.Log(float64(b.t.Routers))))
	}
	told, met := sides(outside, kind, b.build), sides(list, kind, b.build)
	a, c := met[0], met[1]
	p := (a.bad + 0.5) / (a.n + 1)
	q := min(p+seen*(told[1].bad/told[1].n-told[0].bad/told[0].n), (1+p)/2)
	bad, good := math.Log(q/p), math.Log((1-q)/(1-p))
	explained := c.bad*bad + (c.n-c.bad)*good
	if !(q > p) || explained < 0 || a.n == 0 || c.n*float64(max(1, b.t.RollbackVotes)) < leastSeen {
		return own
	}
	return max(own, explained+min(said, -c.n*(p*bad+(1-p)*good), line/2))
}

// spread learns the threshold from A/A comparisons, as the paper's Algorithm 1: how far the earlier machines
// differ among themselves against what chance gives (Pearson's statistic over its degrees of freedom).
func spread(list []count, sum count) float64 {
	p, x2 := sum.bad/max(1, sum.n), 0.0
	for _, c := range list {
		x2 += (c.bad - c.n*p) * (c.bad - c.n*p) / (c.n * p * (1 - p))
	}
	if p <= 0 || p >= 1 || len(list) < 2 {
		return 1
	}
	return max(1, x2/float64(len(list)-1))
}

// ApplyRelease is news of the newest build.
func (b *Balancer) ApplyRelease(now float64, build, stage int, phase Phase, limit, age float64) {
	if !b.told || build != b.build {
		b.samples = nil
	}
	if phase == PhaseRollingBack || phase == PhaseWithdrawn {
		clear(b.answered)
		b.floor = 0
	}
	b.told, b.build, b.stage, b.phase, b.cap, b.stageAt = true, build, stage, phase, limit, now-age
	b.mergeDue = true
	b.arrange(now)
}

// ApplyAssignment enters what the planner says of an edge's part: the vote that stands, on which build, and which share of what
// all edges may spend is lent to this one, until when. It has no view for ever: what was told of drains and caps stays
// binding, what is unannounced is in its first stage, and what was lent is spent no more once the lease is over.
func (b *Balancer) ApplyAssignment(build int, v Verdict, share, until float64) {
	b.standing = vote{build: build, verdict: v}
	b.share, b.lent = share, until
}

// RestoreRelease enters, at an edge's start, the news that the process before it had, confirmed some time ago. While its planner is
// away nobody else tells it, and a fleet that is all of one build on trial would be held to the first stage's cap. Such news
// holds for as long as a vote does without word from who cast it.
func (b *Balancer) RestoreRelease(now float64, build, stage int, phase Phase, limit, age, ago float64) {
	if ago < b.t.VoteLifetimeSeconds {
		b.ApplyRelease(now, build, stage, phase, limit, age+ago)
	}
}

// RestoreVote enters, at a start, the vote that was cast age ago by the process before. An unsure one may have counted or not: it
// is renewed, or withdrawn, at once.
func (b *Balancer) RestoreVote(now float64, build, stage int, v Verdict, age float64, sure bool) {
	if !sure {
		age = max(age, b.t.VoteLifetimeSeconds/2)
	}
	b.standing, b.votedAt = vote{build, stage, v}, now-age
}

// OnVoteReply is what became of the vote last cast.
func (b *Balancer) OnVoteReply(now float64, r VoteReply) {
	if !b.calling {
		return
	}
	b.calling = false
	if r == VoteCounted {
		b.standing, b.votedAt = b.asked, b.callAt
	} else {
		b.mute = now + voteAgain
	}
}

// verdict is the vote that the counts call for.
func (b *Balancer) verdict(now float64) Verdict {
	if !b.told || b.phase == PhaseRollingBack || b.phase == PhaseWithdrawn {
		return VoteNone
	}
	// ln(balancers) guards against the one of many that crosses by chance; where k votes are needed, any k of n
	// have to: the line is where that is as unlikely. Clients find wrong answers each for themselves; what fails
	// or is late troubles many balancers at once, so there they only share the guard.
	n, k := float64(b.t.Routers), float64(max(1, b.t.RollbackVotes))
	l, line := 0.0, (backNats+lnChoose(n, k))/k
	list := b.evidence()
	outside := b.outside(list)
	for kind := range kinds {
		l = max(l, b.lifted(kind, line, list, outside)/line)
		line = backNats + math.Log(n/k)
	}
	kept := b.standing.verdict == VoteRollback && b.standing.build == b.build
	switch {
	case l >= 1 || kept && (k == 1 && !b.t.AutomaticStages || l > 0.5):
		return VoteRollback
	case b.t.AutomaticStages && l > holdAt && b.phase != PhaseReleased:
		return VoteHold
	case b.t.AutomaticStages || l > 0.5 || b.phase == PhaseReleased || b.listAge > onBlind:
		return VoteNone // the clock moves the stage, or there is doubt
	}
	seen, places := 0.0, float64(b.earlier)
	if b.t.ReplaceInPlace {
		places = float64(b.earlier + b.newer)
	}
	for _, s := range list {
		if s.build == b.build {
			seen += s.of[lost].n
		}
	}
	share := b.t.StageShares[min(b.stage, len(b.t.StageShares)-1)]
	// More time is taken where it would bring the outcomes lacking; who sees little would wait in vain.
	wait := onWaitFew
	if more := (b.rate(now) + b.others) * b.heft[1] / (b.heft[0] + b.heft[1]) * (onWaitFew - onWait); seen >= leastSeen ||
		seen+more < leastSeen {
		wait = onWait
	}
	if b.newer == 0 || now-max(b.newest, b.stageAt) < wait ||
		float64(b.newer) < math.Ceil(places*share-1e-6) && now-b.stageAt < onBlind {
		return VoteNone
	}
	return VotePromote
}

// TickRouter does an edge's periodic work, which casts no vote: it steers the open limit.
func (b *Balancer) TickRouter(now float64) TickResult {
	b.wake(now)
	if now-b.steeredAt >= steerIn-b.t.MinTickSeconds {
		b.steeredAt = now
		b.steer()
		b.forget(now)
		b.arrange(now)
		for _, s := range b.samples {
			s.of[slow].n, s.of[slow].bad = s.of[slow].n*lagFade, s.of[slow].bad*lagFade
		}
	}
	return TickResult{NextTickSeconds: check}
}

// TickController does the periodic work where this balancer judges too: it looks at the counts, its own and those of its edges, and
// casts or renews its vote.
func (b *Balancer) TickController(now float64) TickResult {
	t := b.TickRouter(now)
	if b.t.SubscribeToEndpoints && !b.watching && now-b.watchAt >= 1 {
		t.SubscribeToEndpoints, b.watchAt = true, now
	}
	if b.calling && now-b.callAt > b.t.VoteTimeoutSeconds+2*voteAgain {
		b.calling = false
	}
	want := vote{b.build, b.stage, b.verdict(now)}
	if want.verdict == VoteRollback {
		want.stage = 0
	}
	over := b.phase == PhaseRollingBack || b.phase == PhaseWithdrawn
	stands := b.standing.verdict != VoteNone && now-b.votedAt < b.t.VoteLifetimeSeconds
	fresh := stands && now-b.votedAt < b.t.VoteLifetimeSeconds/2
	if want.verdict == VoteNone && (!stands || b.standing.build != b.build || b.standing.verdict == VotePromote) ||
		want == b.standing && fresh || over || b.calling || now < b.mute ||
		want.verdict != VoteRollback && now-b.callAt < float64(b.t.Routers)/b.t.VotesPerSecond {
		return t
	}
	b.asked, b.callAt, b.calling = want, now, true
	t.CastVote, t.Build, t.Stage, t.Verdict = true, b.build, b.stage, want.verdict
	return t
}

// steer bounds what is open by how quickly answers come, against overload, bursts and slow fleets alike; not
// below this balancer's even part of two deliveries a unit, where a fleet idles.
func (b *Balancer) steer() {
	least := 2 + 2*b.share*float64(b.ready)/float64(b.t.Routers)
	b.ratio, b.longest = 0, slices.Max(b.usual)
	for i, op := range b.t.Classes {
		b.ratio = max(b.ratio, b.usual[i]/op.LatencyObjectiveSeconds)
	}
	switch {
	case b.ratio > hopeful:
		b.limit = max(least, min(b.limit, float64(b.peak))*0.9)
	case float64(b.peak) > 0.7*b.limit:
		b.limit += 1 + 0.05*b.limit
	}
	b.peak = b.open
}

// SetEndpointListAge tells how long ago what is known of the list was true: on a list that long has shown nothing new, a machine
// of the trial build may be gone as well as ready, and no on rests on it.
func (b *Balancer) SetEndpointListAge(age float64) { b.listAge = age }

// EndEndpointList closes a list: what a full one does not name is gone.
func (b *Balancer) EndEndpointList(now float64) {
	for _, u := range b.units {
		if u.ready = u.ready && u.known; u.ready {
			u.left = 0
		} else if u.left == 0 {
			u.left = now
		}
	}
	b.arrange(now)
}
