package policy

import "fmt"

// Over a long lifetime, endpoints come and go and keys never repeat: memory stays bounded, and no key goes back to an
// earlier build.
func Example_longLife() {
	f := newFleet(func(config *Config) {
		config.OneWayKeys, config.MaxRememberedKeys, config.ForgetEndpointSeconds = true, 50, 10
		config.CanaryLimits = []float64{0.5, 0.5, 1}
	})
	f.list(false, endpointEntry{5, 8, Ready, 50}, endpointEntry{6, 8, Ready, 50})
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.5, 0)
	newestBuildOf := map[uint64]int{} // by key
	sentBack, canaryAttempts := 0, 0
	send := func(key uint64) {
		f.lastRequestID++
		r := &Request{ID: f.lastRequestID, Key: key, ReceivedAt: f.now, Deadline: f.now + 0.8}
		if decision := f.pick(r); decision.Action == Send {
			build := f.b.endpointByID[decision.Endpoint].build
			if build < newestBuildOf[key] {
				sentBack++
			}
			newestBuildOf[key] = max(newestBuildOf[key], build)
			canaryAttempts += boolToInt(build == 8)
			f.answer(r, Succeeded)
		}
		f.now += 0.05
	}
	for i := range uint64(400) {
		send(i + 1)
		f.b.TickAndVote(f.now)
	}
	fmt.Println("canary: remembered keys", len(f.b.buildByKey), "canary attempts above 0:", canaryAttempts > 0)
	for i := range uint64(400) {
		send(i + 1)
	}
	fmt.Println("same keys again: remembered keys", len(f.b.buildByKey), "sent to an earlier build", sentBack)
	f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
	for i := range uint64(400) {
		send(1000 + i)
	}
	fmt.Println("released: fewer than 50 keys remembered:", len(f.b.buildByKey) < 50, "minimum build of every key", f.b.keyFloorBuild)
	for change := range uint32(100) {
		f.list(true, endpointEntry{100 + change, 8, Ready, 0}, endpointEntry{101 + change, 8, Ready, 0})
		for i := range uint64(100) {
			send(uint64(change)*1000 + i)
		}
		f.b.TickAndVote(f.now)
	}
	fmt.Println("after 100 list changes: endpoints", len(f.b.endpoints), len(f.b.endpointByID), "samples", len(f.b.localCounts), "sent to an earlier build", sentBack)
	f.b.ApplyRelease(f.now, 8, 2, PhaseRollingBack, 0, 0)
	fmt.Println("rolling back: minimum build of every key", f.b.keyFloorBuild)
	// Output:
	// canary: remembered keys 50 canary attempts above 0: true
	// same keys again: remembered keys 50 sent to an earlier build 0
	// released: fewer than 50 keys remembered: true minimum build of every key 8
	// after 100 list changes: endpoints 4 4 samples 6 sent to an earlier build 0
	// rolling back: minimum build of every key 0
}

// A stale endpoint list prevents promotions but not a vote to roll back.
func Example_staleEndpointList() {
	f := newFleet(nil)
	f.list(false, endpointEntry{5, 8, Ready, f.now}, endpointEntry{6, 8, Ready, f.now})
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.1, 0)
	f.b.SetEndpointListAge(60)
	f.run(400, 6, succeed)
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

// Routers count outcomes and follow assignments, while the controller merges their reports and votes. A router casts no
// vote, and its share of the free attempts ends with its lease.
func Example_controllerAndRouters() {
	names := [...]string{"none", "promote", "hold", "rollback"}
	controller := newFleet(nil)
	withController := func(config *Config) { config.HasController = true }
	routers := []*fleet{newFleet(withController), newFleet(withController)}
	for _, f := range append(routers, controller) {
		f.list(false, endpointEntry{1, 7, Gone, 0}, endpointEntry{5, 8, Ready, 50}, endpointEntry{6, 8, Ready, 50})
		f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.1, 0)
	}
	canaryAttempts := func(f *fleet) int { // of 100 requests; the canary answers with errors
		return f.run(100, 4, func(_ uint32, build int) (Outcome, float64) {
			if build == 8 {
				return ServerError, 0.01
			}
			return Succeeded, 0.05
		})[8]
	}
	fmt.Println("without a lease, at most 10 of 100 requests:", canaryAttempts(routers[0]) <= 10)
	routers[1].b.ApplyAssignment(0, VoteNone, 1, routers[1].now+1)
	fmt.Println("all free attempts leased, at most 10 + 2:", canaryAttempts(routers[1]) <= 12)
	for range 6 {
		for _, f := range routers {
			f.now += 4
			f.b.Tick(f.now)
			canaryAttempts(f)
		}
	}
	fmt.Println("a router's vote:", names[routers[0].b.currentVote.verdict])
	for i, f := range routers {
		controller.b.ApplyReport([]string{"a", "b"}[i], f.b.LocalEvidence(f.now))
	}
	controller.vote(1, VoteCounted)
	build, verdict := controller.b.CurrentVote()
	routers[0].b.ApplyAssignment(build, verdict, 0.5, routers[0].now+1)
	fmt.Println("attempts at the build after this assignment:", canaryAttempts(routers[0]))
	controller.b.DropReport("a")
	controller.b.DropReport("b")
	fmt.Println("counts after the reports are dropped:", len(controller.b.analysisCounts()))
	// Output:
	// without a lease, at most 10 of 100 requests: true
	// all free attempts leased, at most 10 + 2: true
	// a router's vote: none
	// vote rollback on build 8 stage 0
	// attempts at the build after this assignment: 0
	// counts after the reports are dropped: 0
}

// A router that restarts while its controller is unreachable continues with the restored release state, unless that
// state is too old.
func Example_restoredRelease() {
	for _, confirmedAgo := range []float64{2, 60} {
		f := newFleet(func(config *Config) { config.HasController = true })
		f.b = New(*f.b.config, 1, f.now)
		f.list(true, endpointEntry{4, 7, Ready, 0}, endpointEntry{5, 8, Ready, 50}, endpointEntry{6, 8, Ready, 50}, endpointEntry{7, 8, Ready, 50})
		f.b.RestoreRelease(f.now, 8, 2, PhaseCanary, 1, 5, confirmedAgo)
		fmt.Println("release confirmed", confirmedAgo, "s ago; most attempts go to the canary:", f.run(100, 4, succeed)[8] > 50)
	}
	// Output:
	// release confirmed 2 s ago; most attempts go to the canary: true
	// release confirmed 60 s ago; most attempts go to the canary: false
}
