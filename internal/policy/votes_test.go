package policy

import (
	"fmt"
	"slices"
)

// startCanary adds endpoints of build 8 to the list, started age seconds ago, and announces the second rollout stage.
func (f *fleet) startCanary(endpoints int, age float64) {
	for i := 0; i < endpoints; i++ {
		f.list(false, endpointEntry{id: uint32(11 + i), build: 8, startedAt: f.now - age})
	}
	f.b.ApplyRelease(f.now, 8, 1, PhaseCanary, 0.5, age)
}

// Errors on all canary endpoints lead to a rollback vote, which is renewed while it is needed.
func Example_rollback() {
	f := newFleet(nil)
	f.startCanary(2, 10)
	f.run(600, 4, func(_ uint32, build int) (Outcome, float64) {
		if build == 8 {
			return ServerError, 0.01
		}
		return Succeeded, 0.05
	})
	f.vote(1, VoteRefused)
	f.vote(2, VoteCounted) // cast again after the refusal
	f.vote(4, VoteCounted) // in force, so not cast again
	f.vote(4, VoteCounted) // renewed before it expires
	f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
	f.vote(6, VoteCounted) // renewed after the build was released, too
	f.b.ApplyRelease(f.now, 8, 1, PhaseRollingBack, 0, 0)
	f.vote(6, VoteCounted)
	// Output:
	// vote rollback on build 8 stage 1
	// vote rollback on build 8 stage 1
	// no vote
	// vote rollback on build 8 stage 1
	// vote rollback on build 8 stage 2
	// no vote
}

// Failures of a few canary endpoints, or of both builds alike, cause no rollback vote. Failures of the whole canary do,
// except for load-sensitive ones of a single canary endpoint or of endpoints in slow start.
func Example_failuresWithOtherCauses() {
	show := func(name string, endpoints int, age, seconds float64, outcome Outcome, latency float64, failing ...uint32) {
		f := newFleet(func(c *Config) { c.AutomaticStages = true })
		f.startCanary(endpoints, age)
		f.run(1200, seconds, func(endpoint uint32, _ int) (Outcome, float64) {
			if slices.Contains(failing, endpoint) {
				return outcome, latency
			}
			return Succeeded, 0.05
		})
		fmt.Print(name, ": ")
		f.vote(1, VoteCounted)
	}
	show("one canary endpoint fails", 2, 10, 8, ServerError, 0.01, 11)
	show("two of twelve canary endpoints fail", 12, 10, 8, ServerError, 0.01, 11, 12)
	show("all endpoints of both builds fail", 2, 10, 8, ServerError, 0.01, 1, 2, 3, 4, 11, 12)
	show("a lone canary endpoint times out", 1, 10, 8, TimedOut, 0.6, 11)
	show("a lone canary endpoint fails", 1, 10, 8, ServerError, 0.01, 11)
	show("all canary endpoints time out in slow start", 2, 0, 3.5, TimedOut, 0.6, 11, 12)
	show("all canary endpoints time out", 2, 10, 8, TimedOut, 0.6, 11, 12)
	show("all canary endpoints are slow", 2, 10, 8, Succeeded, 0.2, 11, 12)
	// Output:
	// one canary endpoint fails: no vote
	// two of twelve canary endpoints fail: no vote
	// all endpoints of both builds fail: no vote
	// a lone canary endpoint times out: no vote
	// a lone canary endpoint fails: vote rollback on build 8 stage 1
	// all canary endpoints time out in slow start: no vote
	// all canary endpoints time out: vote rollback on build 8 stage 1
	// all canary endpoints are slow: vote rollback on build 8 stage 1
}

// After a release, without baseline endpoints, only errors and wrong answers count against a build. Timeouts and failed
// connections may be caused by a burst, and there is no baseline to compare them with.
func Example_afterRelease() {
	for _, outcome := range []Outcome{TimedOut, NotConnected, ServerError} {
		f := newFleet(nil)
		f.startCanary(4, 10)
		f.run(200, 2, succeed)
		f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
		f.list(false, endpointEntry{1, 7, Gone, 0}, endpointEntry{2, 7, Gone, 0}, endpointEntry{3, 7, Gone, 0}, endpointEntry{4, 7, Gone, 0})
		f.run(200, 2, func(uint32, int) (Outcome, float64) { return outcome, 0.1 })
		f.vote(1, VoteCounted)
	}
	// Output:
	// no vote
	// no vote
	// vote rollback on build 8 stage 2
}

// Wrong answers are known only from clients' reports, which cover a part of them and arrive late. Reports on baseline
// endpoints cause no rollback vote; reports on canary endpoints do.
func Example_wrongAnswers() {
	f := newFleet(nil)
	f.startCanary(2, 10)
	f.run(200, 2, succeed)
	for i := 0; i < 2; i++ {
		f.b.ReportWrongAnswer(f.now, 1, 1)
	}
	f.vote(0.1, VoteCounted)
	for i := 0; i < 8; i++ {
		f.b.ReportWrongAnswer(f.now, uint32(11+i%2), 1)
	}
	f.vote(0.5, VoteCounted)
	// Output:
	// vote promote on build 8 stage 1
	// vote rollback on build 8 stage 1
}

// A stage is promoted once the list contains its share of endpoints and promoteWaitSeconds have passed since the start
// of the newest canary endpoint, or promoteWaitFewSeconds if the longer wait can provide missing outcomes. There is no
// such vote with automatic stages.
func Example_promote() {
	f := newFleet(nil)
	f.startCanary(1, 0)
	f.vote(8, VoteCounted) // no vote: the stage requires two endpoints
	f.list(false, endpointEntry{id: 12, build: 8, startedAt: f.now})
	start := f.now
	f.vote(8, VoteCounted)
	fmt.Println("few outcomes and no traffic, waited 3 s:", f.now-start >= 3 && f.now-start < 4.5)

	f = newFleet(nil)
	f.startCanary(2, 0)
	start = f.now
	f.run(600, 2.9, succeed)
	f.vote(0.1, VoteCounted)
	f.vote(8, VoteCounted)
	fmt.Println("enough outcomes, waited 3 s:", f.now-start >= 3 && f.now-start < 4.5)

	f = newFleet(func(c *Config) { c.AutomaticStages = true })
	f.startCanary(2, 0)
	f.run(200, 2.9, succeed)
	f.vote(8, VoteCounted)
	// Output:
	// no vote
	// vote promote on build 8 stage 1
	// few outcomes and no traffic, waited 3 s: true
	// no vote
	// vote promote on build 8 stage 1
	// enough outcomes, waited 3 s: true
	// no vote
}

// With automatic stages, evidence above holdThreshold causes a hold vote, and a rollback vote is withdrawn when its
// evidence has become weak.
func Example_hold() {
	f := newFleet(func(c *Config) { c.AutomaticStages = true })
	f.startCanary(2, 10)
	for _, canaryErrors := range []outcomeCount{{60, 2}, {60, 8}, {200, 8}, {900, 8}, {9000, 8}} {
		for id := uint32(1); id <= 4; id++ {
			f.b.countsOf(id, 7).byKind[serverError] = outcomeCount{40, 0}
		}
		f.b.countsOf(11, 8).byKind[serverError], f.b.countsOf(12, 8).byKind[serverError] = canaryErrors, canaryErrors
		fmt.Print(canaryErrors, " ")
		f.vote(1, VoteCounted)
	}
	// Output:
	// {60 2} vote hold on build 8 stage 1
	// {60 8} vote rollback on build 8 stage 1
	// {200 8} no vote
	// {900 8} vote none on build 8 stage 1
	// {9000 8} no vote
}

// A request that its client retries immediately counts as one failure, however often it is retried.
func Example_immediateClientRetries() {
	f := newFleet(nil)
	f.startCanary(2, 10)
	f.run(60, 1, succeed)
	before := f.b.countsOf(11, 8).byKind[serverError].total + f.b.countsOf(12, 8).byKind[serverError].total
	for i := 0; i < 60; i++ {
		request, decision := f.request(2)
		if decision.Action == Send {
			f.answer(request, ServerError)
		}
		f.now += 0.001
	}
	fmt.Println("60 immediate retries, fewer than 5 counted:", f.b.countsOf(11, 8).byKind[serverError].total+f.b.countsOf(12, 8).byKind[serverError].total-before < 5)
	// Output: 60 immediate retries, fewer than 5 counted: true
}

// With many routers and endpoints, a router's sample has one or two outcomes per endpoint, and a rollback needs many
// votes.
func Example_manyEndpoints() {
	for _, outcome := range []Outcome{Succeeded, ServerError, TimedOut} {
		f := newFleet(func(c *Config) { c.RouterGroups, c.RollbackVotes = 300, 45 })
		for i := uint32(0); i < 100; i++ {
			f.list(false, endpointEntry{id: 100 + i, build: 7}, endpointEntry{id: 300 + i, build: 8, startedAt: 80})
		}
		f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 10)
		attempts := f.run(60, 4, func(_ uint32, build int) (Outcome, float64) {
			if build == 8 {
				return outcome, map[Outcome]float64{TimedOut: 0.6}[outcome] + 0.05 // timeouts take longer
			}
			return Succeeded, 0.05
		})
		fmt.Print(attempts[8], " outcomes of 100 canary endpoints: ")
		f.vote(1, VoteCounted)
	}
	// Output:
	// 29 outcomes of 100 canary endpoints: vote promote on build 8 stage 2
	// 27 outcomes of 100 canary endpoints: vote rollback on build 8 stage 2
	// 29 outcomes of 100 canary endpoints: vote rollback on build 8 stage 2
}
