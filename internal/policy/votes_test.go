package policy

import (
	"fmt"
	"slices"
)

// startCanary lists n endpoints of build 8, started age seconds ago, and announces the second stage.
func (f *fleet) startCanary(n int, age float64) {
	for i := 0; i < n; i++ {
		f.list(false, endpointEntry{id: uint32(11 + i), build: 8, startedAt: f.now - age})
	}
	f.b.ApplyRelease(f.now, 8, 1, PhaseCanary, 0.5, age)
}

// Errors on all canary endpoints call for a rollback.
func Example_rollback() {
	f := newFleet(nil)
	f.startCanary(2, 10)
	f.run(600, 4, func(u uint32, build int) (Outcome, float64) {
		if build == 8 {
			return ServerError, 0.01
		}
		return Succeeded, 0.05
	})
	f.vote(1, VoteRefused) // cast again after it was refused
	f.vote(2, VoteCounted)
	f.vote(4, VoteCounted) // it is in force and not repeated
	f.vote(4, VoteCounted) // renewed before it expires
	f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
	f.vote(6, VoteCounted) // also once the build is released
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

// Failures of single endpoints among others, on either side, or of all alike call for no rollback. Those of a whole
// canary do, except for lateness while it is a single endpoint or in slow start.
func Example_faultsOfOtherCauses() {
	play := func(name string, n int, age, secs float64, r Outcome, took float64, ids ...uint32) {
		f := newFleet(func(t *Config) { t.AutomaticStages = true })
		f.startCanary(n, age)
		f.run(1200, secs, func(u uint32, _ int) (Outcome, float64) {
			if slices.Contains(ids, u) {
				return r, took
			}
			return Succeeded, 0.05
		})
		fmt.Print(name, ": ")
		f.vote(1, VoteCounted)
	}
	play("one canary endpoint fails", 2, 10, 8, ServerError, 0.01, 11)
	play("two of twelve canary endpoints fail", 12, 10, 8, ServerError, 0.01, 11, 12)
	play("all fail", 2, 10, 8, ServerError, 0.01, 1, 2, 3, 4, 11, 12)
	play("a lone canary endpoint times out", 1, 10, 8, TimedOut, 0.6, 11)
	play("a lone canary endpoint fails", 1, 10, 8, ServerError, 0.01, 11)
	play("canary endpoints in slow start time out", 2, 0, 3.5, TimedOut, 0.6, 11, 12)
	play("canary endpoints time out", 2, 10, 8, TimedOut, 0.6, 11, 12)
	play("canary endpoints are slow", 2, 10, 8, Succeeded, 0.2, 11, 12)
	// Output:
	// one canary endpoint fails: no vote
	// two of twelve canary endpoints fail: no vote
	// all fail: no vote
	// a lone canary endpoint times out: no vote
	// a lone canary endpoint fails: vote rollback on build 8 stage 1
	// canary endpoints in slow start time out: no vote
	// canary endpoints time out: vote rollback on build 8 stage 1
	// canary endpoints are slow: vote rollback on build 8 stage 1
}

// After the release only errors and wrong answers count against a build: a burst finds no baseline to compare with.
func Example_afterRelease() {
	for _, r := range []Outcome{TimedOut, NotConnected, ServerError} {
		f := newFleet(nil)
		f.startCanary(4, 10)
		f.run(200, 2, succeed)
		f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
		f.list(false, endpointEntry{1, 7, Gone, 0}, endpointEntry{2, 7, Gone, 0}, endpointEntry{3, 7, Gone, 0}, endpointEntry{4, 7, Gone, 0})
		f.run(200, 2, func(uint32, int) (Outcome, float64) { return r, 0.1 })
		f.vote(1, VoteCounted)
	}
	// Output:
	// no vote
	// no vote
	// vote rollback on build 8 stage 2
}

// Wrong answers are visible only through clients' reports, partially and late; reports on an endpoint's
// previous process do not count against the canary.
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

// A stage is promoted once its share is listed and promoteWaitSeconds have passed since the newest start, or
// promoteWaitFewSeconds if the longer wait can bring missing outcomes; never where stages advance automatically.
func Example_promote() {
	f := newFleet(nil)
	f.startCanary(1, 0)
	f.vote(8, VoteCounted) // the stage calls for two endpoints
	f.list(false, endpointEntry{id: 12, build: 8, startedAt: f.now})
	start := f.now
	f.vote(8, VoteCounted)
	fmt.Println("few outcomes and none to come, waited 3 s:", f.now-start >= 3 && f.now-start < 4.5)

	f = newFleet(nil)
	f.startCanary(2, 0)
	start = f.now
	f.run(600, 2.9, succeed)
	f.vote(0.1, VoteCounted)
	f.vote(8, VoteCounted)
	fmt.Println("enough outcomes, waited 3 s:", f.now-start >= 3 && f.now-start < 4.5)

	f = newFleet(func(t *Config) { t.AutomaticStages = true })
	f.startCanary(2, 0)
	f.run(200, 2.9, succeed)
	f.vote(8, VoteCounted)
	// Output:
	// no vote
	// vote promote on build 8 stage 1
	// few outcomes and none to come, waited 3 s: true
	// no vote
	// vote promote on build 8 stage 1
	// enough outcomes, waited 3 s: true
	// no vote
}

// With automatic stages, doubt holds the stage, and a vote to roll back is withdrawn when its evidence fades.
func Example_hold() {
	f := newFleet(func(t *Config) { t.AutomaticStages = true })
	f.startCanary(2, 10)
	for _, trial := range []outcomeCount{{60, 2}, {60, 8}, {200, 8}, {900, 8}, {9000, 8}} {
		for id := uint32(1); id <= 4; id++ {
			f.b.countsOf(id, 7).byKind[serverError] = outcomeCount{40, 0}
		}
		f.b.countsOf(11, 8).byKind[serverError], f.b.countsOf(12, 8).byKind[serverError] = trial, trial
		fmt.Print(trial, " ")
		f.vote(1, VoteCounted)
	}
	// Output:
	// {60 2} vote hold on build 8 stage 1
	// {60 8} vote rollback on build 8 stage 1
	// {200 8} no vote
	// {900 8} vote none on build 8 stage 1
	// {9000 8} no vote
}

// A request that a client retries at once is one failure, not many.
func Example_clientRepeats() {
	f := newFleet(nil)
	f.startCanary(2, 10)
	f.run(60, 1, succeed)
	before := f.b.countsOf(11, 8).byKind[serverError].total + f.b.countsOf(12, 8).byKind[serverError].total
	for i := 0; i < 60; i++ {
		c, s := f.request(2)
		if s.Action == Send {
			f.answer(c, ServerError)
		}
		f.now += 0.001
	}
	fmt.Println("counted:", f.b.countsOf(11, 8).byKind[serverError].total+f.b.countsOf(12, 8).byKind[serverError].total-before < 5)
	// Output: counted: true
}

// With many routers and endpoints, each endpoint is met once or twice, and a rollback takes many votes.
func Example_manyEndpoints() {
	for _, r := range []Outcome{Succeeded, ServerError, TimedOut} {
		f := newFleet(func(t *Config) { t.RouterGroups, t.RollbackVotes = 300, 45 })
		for i := uint32(0); i < 100; i++ {
			f.list(false, endpointEntry{id: 100 + i, build: 7}, endpointEntry{id: 300 + i, build: 8, startedAt: 80})
		}
		f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 10)
		met := f.run(60, 4, func(_ uint32, build int) (Outcome, float64) {
			if build == 8 {
				return r, map[Outcome]float64{TimedOut: 0.6}[r] + 0.05
			}
			return Succeeded, 0.05
		})
		fmt.Print(met[8], " outcomes of 100 canary endpoints: ")
		f.vote(1, VoteCounted)
	}
	// Output:
	// 29 outcomes of 100 canary endpoints: vote promote on build 8 stage 2
	// 27 outcomes of 100 canary endpoints: vote rollback on build 8 stage 2
	// 29 outcomes of 100 canary endpoints: vote rollback on build 8 stage 2
}
