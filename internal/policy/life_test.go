package policy

import "fmt"

// A long life: units come and go, keys are never met twice. What is kept stays bounded and no key goes back.
func Example_longLife() {
	f := newFleet(func(t *Config) {
		t.OneWayKeys, t.MaxRememberedKeys, t.ForgetEndpointSeconds, t.CanaryLimits = true, 50, 10, []float64{0.5, 0.5, 1}
	})
	f.list(false, machine{5, 8, Ready, 50}, machine{6, 8, Ready, 50})
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.5, 0)
	builds := map[uint64]int{}
	back, trial := 0, 0
	ask := func(key uint64) {
		f.id++
		c := &Request{ID: f.id, Key: key, ReceivedAt: f.now, Deadline: f.now + 0.8}
		if s := f.pick(c); s.Action == Send {
			build := f.b.endpointByID[s.Endpoint].build
			if build < builds[key] {
				back++
			}
			builds[key] = max(builds[key], build)
			trial += boolToInt(build == 8)
			f.answer(c, Succeeded)
		}
		f.now += 0.05
	}
	for i := range uint64(400) {
		ask(i + 1)
		f.b.TickController(f.now)
	}
	fmt.Println("on trial: kept", len(f.b.buildByKey), "keys, trial deliveries above 0:", trial > 0)
	for i := range uint64(400) {
		ask(i + 1)
	}
	fmt.Println("asked again: kept", len(f.b.buildByKey), "went back", back)
	f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
	for i := range uint64(400) {
		ask(1000 + i)
	}
	fmt.Println("released: room left:", len(f.b.buildByKey) < 50, "every key at build", f.b.keyFloorBuild)
	for day := range uint32(100) {
		f.list(true, machine{100 + day, 8, Ready, 0}, machine{101 + day, 8, Ready, 0})
		for i := range uint64(100) {
			ask(uint64(day)*1000 + i)
		}
		f.b.TickController(f.now)
	}
	fmt.Println("after 100 changes: units", len(f.b.endpoints), len(f.b.endpointByID), "samples", len(f.b.localCounts), "went back", back)
	f.b.ApplyRelease(f.now, 8, 2, PhaseRollingBack, 0, 0)
	fmt.Println("gone back: floor", f.b.keyFloorBuild)
	// Output:
	// on trial: kept 50 keys, trial deliveries above 0: true
	// asked again: kept 50 went back 0
	// released: room left: true every key at build 8
	// after 100 changes: units 4 4 samples 6 went back 0
	// gone back: floor 0
}

// No on rests on a list that has shown nothing for long; a back vote does not wait for one.
func Example_oldList() {
	f := newFleet(nil)
	f.list(false, machine{5, 8, Ready, f.now}, machine{6, 8, Ready, f.now})
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.1, 0)
	f.b.SetEndpointListAge(60)
	f.run(400, 6, fine)
	f.vote(2, VoteCounted)
	f.b.SetEndpointListAge(0.5)
	f.vote(2, VoteCounted)
	f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
	f.b.SetEndpointListAge(60)
	f.run(600, 6, func(_ uint32, build int) (Outcome, float64) {
		if build == 8 {
			return ServerError, 0.01
		}
		return Succeeded, 0.05
	})
	f.vote(2, VoteCounted)
	// Output:
	// no vote
	// vote on on build 8 stage 0
	// vote back on build 8 stage 2
}

// The two seats: edges count and follow, the planner hears and votes. No vote comes of an edge, and what it spends of the
// free part ends with its lease.
func Example_seats() {
	names := [...]string{"none", "on", "hold", "back"}
	planner := newFleet(nil)
	edges := []*fleet{newFleet(func(t *Config) { t.HasController = true }), newFleet(func(t *Config) { t.HasController = true })}
	for _, f := range append(edges, planner) {
		f.list(false, machine{1, 7, Gone, 0}, machine{5, 8, Ready, 50}, machine{6, 8, Ready, 50})
		f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.1, 0)
	}
	trial := func(f *fleet) int {
		return f.run(100, 4, func(_ uint32, build int) (Outcome, float64) {
			if build == 8 {
				return ServerError, 0.01
			}
			return Succeeded, 0.05
		})[8]
	}
	fmt.Println("without a lease, of 100 commands at most 10:", trial(edges[0]) <= 10)
	edges[1].b.ApplyAssignment(0, VoteNone, 1, edges[1].now+1)
	fmt.Println("lent the whole free part, 10 and 2 more:", trial(edges[1]) <= 12)
	for range 6 {
		for _, f := range edges {
			f.now += 4
			f.b.TickRouter(f.now)
			trial(f)
		}
	}
	fmt.Println("an edge's vote:", names[edges[0].b.currentVote.verdict])
	for i, f := range edges {
		planner.b.ApplyReport([]string{"a", "b"}[i], f.b.LocalEvidence(f.now))
	}
	planner.vote(1, VoteCounted)
	build, v := planner.b.CurrentVote()
	edges[0].b.ApplyAssignment(build, v, 0.5, edges[0].now+1)
	fmt.Println("the edge that follows sends the build nothing more:", trial(edges[0]))
	planner.b.DropReport("a")
	planner.b.DropReport("b")
	fmt.Println("nothing heard any more:", len(planner.b.counts()))
	// Output:
	// without a lease, of 100 commands at most 10: true
	// lent the whole free part, 10 and 2 more: true
	// an edge's vote: none
	// vote back on build 8 stage 0
	// the edge that follows sends the build nothing more: 0
	// nothing heard any more: 0
}

// An edge that starts anew while its planner is away goes on by the news that it had, but not by old news.
func Example_recall() {
	for _, ago := range []float64{2, 60} {
		f := newFleet(func(t *Config) { t.HasController = true })
		f.b = New(*f.b.config, 1, f.now)
		f.list(true, machine{4, 7, Ready, 0}, machine{5, 8, Ready, 50}, machine{6, 8, Ready, 50}, machine{7, 8, Ready, 50})
		f.b.RestoreRelease(f.now, 8, 2, PhaseCanary, 1, 5, ago)
		fmt.Println("news confirmed", ago, "s ago; most go to the trial build:", f.run(100, 4, fine)[8] > 50)
	}
	// Output:
	// news confirmed 2 s ago; most go to the trial build: true
	// news confirmed 60 s ago; most go to the trial build: false
}
