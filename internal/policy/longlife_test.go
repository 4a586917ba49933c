package policy

import "fmt"

// Over a long lifetime, endpoints come and go and keys never repeat: memory stays bounded, and no key goes back.
func Example_longLife() {
	f := newFleet(func(t *Config) {
		t.OneWayKeys, t.MaxRememberedKeys, t.ForgetEndpointSeconds, t.CanaryLimits = true, 50, 10, []float64{0.5, 0.5, 1}
	})
	f.list(false, endpointEntry{5, 8, Ready, 50}, endpointEntry{6, 8, Ready, 50})
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
		f.b.TickAndVote(f.now)
	}
	fmt.Println("as canary: kept", len(f.b.buildByKey), "keys, canary attempts above 0:", trial > 0)
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
		f.list(true, endpointEntry{100 + day, 8, Ready, 0}, endpointEntry{101 + day, 8, Ready, 0})
		for i := range uint64(100) {
			ask(uint64(day)*1000 + i)
		}
		f.b.TickAndVote(f.now)
	}
	fmt.Println("after 100 changes: endpoints", len(f.b.endpoints), len(f.b.endpointByID), "samples", len(f.b.localCounts), "went back", back)
	f.b.ApplyRelease(f.now, 8, 2, PhaseRollingBack, 0, 0)
	fmt.Println("rolled back: floor", f.b.keyFloorBuild)
	// Output:
	// as canary: kept 50 keys, canary attempts above 0: true
	// asked again: kept 50 went back 0
	// released: room left: true every key at build 8
	// after 100 changes: endpoints 4 4 samples 6 went back 0
	// rolled back: floor 0
}

// A stale endpoint list prevents promotions but not a vote to roll back.
func Example_staleEndpointList() {
	f := newFleet(nil)
	f.list(false, endpointEntry{5, 8, Ready, f.now}, endpointEntry{6, 8, Ready, f.now})
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
	// vote promote on build 8 stage 0
	// vote rollback on build 8 stage 2
}

// Routers count and follow assignments, while the controller merges reports and votes. A router casts no vote, and its
// share of the free attempts ends with its lease.
func Example_controllerAndRouters() {
	names := [...]string{"none", "promote", "hold", "rollback"}
	controller := newFleet(nil)
	routers := []*fleet{newFleet(func(t *Config) { t.HasController = true }), newFleet(func(t *Config) { t.HasController = true })}
	for _, f := range append(routers, controller) {
		f.list(false, endpointEntry{1, 7, Gone, 0}, endpointEntry{5, 8, Ready, 50}, endpointEntry{6, 8, Ready, 50})
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
	fmt.Println("without a lease, of 100 requests at most 10:", trial(routers[0]) <= 10)
	routers[1].b.ApplyAssignment(0, VoteNone, 1, routers[1].now+1)
	fmt.Println("leased all free attempts, 10 and 2 more:", trial(routers[1]) <= 12)
	for range 6 {
		for _, f := range routers {
			f.now += 4
			f.b.Tick(f.now)
			trial(f)
		}
	}
	fmt.Println("a router's vote:", names[routers[0].b.currentVote.verdict])
	for i, f := range routers {
		controller.b.ApplyReport([]string{"a", "b"}[i], f.b.LocalEvidence(f.now))
	}
	controller.vote(1, VoteCounted)
	build, v := controller.b.CurrentVote()
	routers[0].b.ApplyAssignment(build, v, 0.5, routers[0].now+1)
	fmt.Println("the router with that assignment sends the build nothing more:", trial(routers[0]))
	controller.b.DropReport("a")
	controller.b.DropReport("b")
	fmt.Println("no reports any more:", len(controller.b.analysisCounts()))
	// Output:
	// without a lease, of 100 requests at most 10: true
	// leased all free attempts, 10 and 2 more: true
	// a router's vote: none
	// vote rollback on build 8 stage 0
	// the router with that assignment sends the build nothing more: 0
	// no reports any more: 0
}

// A router that restarts while its controller is away continues with its restored release, unless that is too old.
func Example_restoredRelease() {
	for _, ago := range []float64{2, 60} {
		f := newFleet(func(t *Config) { t.HasController = true })
		f.b = New(*f.b.config, 1, f.now)
		f.list(true, endpointEntry{4, 7, Ready, 0}, endpointEntry{5, 8, Ready, 50}, endpointEntry{6, 8, Ready, 50}, endpointEntry{7, 8, Ready, 50})
		f.b.RestoreRelease(f.now, 8, 2, PhaseCanary, 1, 5, ago)
		fmt.Println("release confirmed", ago, "s ago; most go to the canary:", f.run(100, 4, fine)[8] > 50)
	}
	// Output:
	// release confirmed 2 s ago; most go to the canary: true
	// release confirmed 60 s ago; most go to the canary: false
}
