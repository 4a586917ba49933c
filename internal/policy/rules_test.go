package policy

import "fmt"

// Rule 1 of package invariants: a request that can't be sent is held, then answered before the client's timeout.
func Example_finalAnswer() {
	f := newFleet(nil)
	f.list(true)
	r, decision := f.request(0)
	start := f.now
	for decision.Action == Hold {
		f.now += 2 * (decision.PickAgainAt - f.now)
		decision = f.pick(r)
	}
	fmt.Println(decision, "before the timeout:", f.now < r.Deadline, "not before the objective:", f.now-start >= 0.3)
	fmt.Println("then:", f.pick(r))
	// A request whose attempts must end now, but for a rounding error, is answered: holding it could repeat endlessly.
	fmt.Println(f.pick(&Request{ID: 99, ReceivedAt: f.now - 0.1, Deadline: f.now + 2*f.b.config.TimerResolutionSeconds + 1e-10}))
	// Output:
	// reject, retry after 1.0 s before the timeout: true not before the objective: true
	// then: cancel
	// reject, retry after 1.0 s
}

// Rule 2 of package invariants: what may follow each outcome, by idempotency.
func Example_retrySafety() {
	names := []string{"idempotent", "idempotent with a key", "non-idempotent"}
	outcomes := []struct {
		name    string
		outcome Outcome
	}{{"error", ServerError}, {"overloaded", Overloaded}, {"not connected", NotConnected}, {"connection lost", ConnectionLost}}
	for class, name := range names {
		fmt.Print(name)
		for _, ended := range outcomes {
			f := newFleet(nil)
			r, _ := f.request(class)
			f.now += 0.02
			fmt.Printf(", %s: %v", ended.name, f.answer(r, ended.outcome))
		}
		fmt.Println()
	}
	// After the deduplication window, and outside the deduplication scope, nothing more is sent.
	f := newFleet(func(config *Config) {
		config.Classes[1].DedupWindowSeconds, config.Classes[1].DedupScope = 0.1, DedupCell
	})
	r, _ := f.request(1)
	f.now += 0.02
	decision := f.answer(r, ServerError)
	fmt.Println("same cell:", r.Attempts[0].Endpoint%2 == r.Attempts[1].Endpoint%2, decision)
	f.now += 0.1
	fmt.Println("window over:", f.answer(r, ServerError))
	// Output:
	// idempotent, error: send, overloaded: send, not connected: send, connection lost: send
	// idempotent with a key, error: send, overloaded: send, not connected: send, connection lost: send
	// non-idempotent, error: fail, overloaded: send, not connected: send, connection lost: fail
	// same cell: true send
	// window over: fail
}

// Rule 3 of package invariants: no attempt goes to an endpoint that the list shows as draining or gone, or that a full
// update does not name.
func Example_drain() {
	f := newFleet(nil)
	f.list(false, endpointEntry{id: 1, build: 7, state: Draining}, endpointEntry{id: 2, build: 7, state: Gone})
	f.list(true, endpointEntry{id: 1, build: 7, state: Draining}, endpointEntry{id: 4, build: 7}) // without endpoint 3
	attemptsByEndpoint := map[uint32]int{}
	f.run(40, 2, func(endpointID uint32, _ int) (Outcome, float64) {
		attemptsByEndpoint[endpointID]++
		return Succeeded, 0.05
	})
	fmt.Println(attemptsByEndpoint)
	// Output: map[4:40]
}

// Rule 5 of package invariants: canary attempts in a window stay within free attempts + limit * requests received.
func Example_canaryTrafficLimit() {
	all := []endpointEntry{{1, 7, Gone, 0}, {2, 7, Gone, 0}, {3, 7, Gone, 0}, {4, 7, Ready, 0}, {5, 8, Ready, 90}, {6, 8, Ready, 90}}
	f := newFleet(nil)
	f.list(true, all...)
	fmt.Print("unannounced: ", f.run(200, 4, succeed)[8] <= 22)
	f.b.ApplyRelease(f.now, 8, 1, PhaseCanary, 0.5, 0)
	fmt.Print(", half allowed: ", f.run(200, 4, succeed)[8] <= 102)
	f.b.ApplyRelease(f.now, 8, 1, PhaseRollingBack, 0, 0)
	fmt.Print(", rolling back: ", f.run(200, 4, succeed)[8])
	f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
	fmt.Println(", released:", f.run(200, 4, succeed)[8] > 100)

	f = newFleet(func(config *Config) {
		config.IdempotentOnlyStages, config.CanaryLimitPerClass = 1, true
		config.CanaryFreeAttempts, config.CanaryLimits[0] = 1, 0.04
	})
	f.list(true, all...)
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.04, 0)
	canaryAttempts := [3]int{} // by class
	for i := 0; i < 300; i++ {
		r, decision := f.request(i % 3)
		if f.b.endpointByID[decision.Endpoint].build == 8 {
			canaryAttempts[r.Class]++
		}
		f.answer(r, Succeeded)
		f.now += 0.01
	}
	fmt.Println("idempotent requests only, by class:", canaryAttempts[0] > 0 && canaryAttempts[0] <= 5, canaryAttempts[1:])

	f = newFleet(func(config *Config) { config.OneWayKeys = true })
	f.list(true, all...)
	f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
	f.b.buildByKey[99] = 8
	for i := 0; i < 10; i++ {
		r := &Request{ID: 1000, Key: 99, ReceivedAt: f.now, Deadline: f.now + 0.8}
		fmt.Print(f.b.endpointByID[f.pick(r).Endpoint].build, " ")
	}
	fmt.Println("are the builds that received the one-way key")
	// Output:
	// unannounced: true, half allowed: true, rolling back: 0, released: true
	// idempotent requests only, by class: true [0 0]
	// 8 8 8 8 8 8 8 8 8 8 are the builds that received the one-way key
}

// After a restart with only a cached endpoint list and no release known, a newer build counts as in its first stage.
func Example_restart() {
	f := newFleet(nil)
	f.b = New(*f.b.config, 43, f.now)
	f.list(true, endpointEntry{id: 1, build: 7}, endpointEntry{id: 5, build: 8}, endpointEntry{id: 6, build: 8}, endpointEntry{id: 7, build: 8})
	fmt.Println("within the first stage's limit:", f.run(100, 2, succeed)[8] <= 12)
	f.vote(1, VoteCounted)
	// Output:
	// within the first stage's limit: true
	// no vote
}

// An attempt at an endpoint that answers nothing is cancelled, or hedged where hedging is allowed. At an endpoint that
// answers other requests, the attempt continues.
func Example_unresponsiveEndpoint() {
	for _, hedging := range []bool{false, true} {
		f := newFleet(func(config *Config) { config.AllowHedging = hedging })
		f.run(40, 2, succeed)
		r, decision := f.request(0)
		f.now += 2 * (decision.PickAgainAt - f.now)
		fmt.Print("silent: ", f.pick(r))
		r, decision = f.request(0)
		f.now += 2 * (decision.PickAgainAt - f.now)
		f.b.endpointByID[decision.Endpoint].lastAnswerAt = f.now - 0.01
		fmt.Println(", answering:", f.pick(r))
	}
	// Output:
	// silent: cancel, answering: nothing
	// silent: send, answering: nothing
}

// A failing endpoint receives little traffic, whichever way it fails, and is tried again later.
func Example_failingEndpoint() {
	for _, failure := range []Outcome{ServerError, Overloaded, NotConnected, ConnectionLost} {
		f := newFleet(nil)
		f.run(40, 2, succeed)
		failures := 0
		f.run(200, 4, func(endpointID uint32, _ int) (Outcome, float64) {
			if endpointID == 2 {
				failures++
				return failure, 0.001
			}
			return Succeeded, 0.05
		})
		fmt.Print("1 to 24 of 200: ", failures > 0 && failures < 25, " ")
	}
	// Output:
	// 1 to 24 of 200: true 1 to 24 of 200: true 1 to 24 of 200: true 1 to 24 of 200: true
}

// Overload: while answers are slow, fewer attempts may be in flight, and requests of low priority are limited first.
func Example_concurrencyLimit() {
	f := newFleet(nil)
	f.run(300, 3, func(uint32, int) (Outcome, float64) { return Succeeded, 0.25 })
	for i := 0; i < 20; i++ {
		f.b.TickAndVote(f.now)
		f.now += 0.25
	}
	for _, class := range []int{0, 2} {
		_, decision := f.request(class)
		for decision.Action == Send {
			_, decision = f.request(class)
		}
		fmt.Printf("priority %v: %v with %d in flight\n", f.b.config.Classes[class].PriorityWeight, decision, f.b.inFlight)
	}
	// Output:
	// priority 2: reject, retry after 1.0 s with 5 in flight
	// priority 5: hold with 6 in flight
}

// While endpoints refuse most connections, open connections are preferred; refused connections cost no retry token and
// count against no build.
func Example_refusedConnections() {
	f := newFleet(nil)
	for i := uint32(0); i < 60; i++ {
		f.list(false, endpointEntry{id: 100 + i, build: 7}, endpointEntry{id: 200 + i, build: 8})
	}
	f.b.ApplyRelease(f.now, 8, 1, PhaseCanary, 0.5, 20)
	for _, acceptEvery := range []uint32{1, 6, 6, 6} { // one in this many endpoints accepts connections
		attempts := map[Outcome]int{}
		f.run(200, 4, func(endpointID uint32, _ int) (Outcome, float64) {
			outcome := Succeeded
			if endpointID%acceptEvery != 0 {
				outcome = NotConnected
			}
			attempts[outcome]++
			return outcome, 0.02
		})
		fmt.Printf("%d succeeded, %d not connected, ", attempts[Succeeded], attempts[NotConnected])
		f.vote(0.3, VoteCounted)
	}
	// Output:
	// 200 succeeded, 0 not connected, vote promote on build 8 stage 1
	// 179 succeeded, 21 not connected, no vote
	// 165 succeeded, 35 not connected, vote promote on build 8 stage 1
	// 126 succeeded, 74 not connected, no vote
}

// After a stall, a router processes late answers and timeouts all at once: they count against no endpoint.
func Example_processPause() {
	f := newFleet(nil)
	f.run(40, 2, succeed)
	f.b.TickAndVote(f.now)
	for _, stallSeconds := range []float64{0.2, 1.2} {
		r, decision := f.request(0)
		e := f.b.endpointByID[decision.Endpoint]
		f.b.TickAndVote(f.now + 0.09)
		f.now += 0.1 + stallSeconds
		f.answer(r, TimedOut)
		fmt.Printf("after %.1f s: failing %v\n", stallSeconds, f.b.outlierScore(f.now, e) > 0)
	}
	// Output:
	// after 0.2 s: failing true
	// after 1.2 s: failing false
}

// Rule 4 of package invariants: many routers together send an endpoint in slow start no more than a single router with
// all the traffic would.
func Example_slowStartAmongManyRouters() {
	for _, n := range []int{1, 100} {
		slowStartAttempts := 0
		for i := 0; i < n; i++ {
			f := newFleet(func(config *Config) { config.RouterGroups = n })
			f.b.random.seed = uint64(i)
			f.run(400/n, 4, succeed)
			f.list(false, endpointEntry{id: 4, build: 7, startedAt: f.now})
			f.run(200/n, 2, func(endpointID uint32, _ int) (Outcome, float64) {
				slowStartAttempts += boolToInt(endpointID == 4)
				// Only the endpoint in slow start succeeds, so that its cost is far lower than that of the others.
				return [...]Outcome{Overloaded, Succeeded}[boolToInt(endpointID == 4)], 0.01
			})
		}
		fmt.Println(n, "routers:", slowStartAttempts)
	}
	// Output:
	// 1 routers: 45
	// 100 routers: 5
}

// Under load, a request is rejected if its timeout shows that its client first sent it longer ago than the latency
// objective.
func Example_laterTriesUnderLoad() {
	f := newFleet(func(config *Config) { config.Classes[0].TimeoutSeconds = 1 })
	f.run(40, 2, succeed) // the common timeout is 0.8 s
	for _, ratio := range []float64{0.1, 0.9} {
		fmt.Print("latency over objective ", ratio)
		for _, timeout := range []float64{0.8, 0.75, 0.6, 0.1} {
			f.b.latencyRatio, f.lastRequestID = ratio, f.lastRequestID+1
			r := &Request{ID: f.lastRequestID, ReceivedAt: f.now, Deadline: f.now + timeout}
			decision := f.pick(r)
			fmt.Printf(", timeout %.2f s: %v", timeout, decision)
			if decision.Action == Send {
				f.answer(r, Succeeded)
			}
		}
		fmt.Println()
	}
	// Output:
	// latency over objective 0.1, timeout 0.80 s: send, timeout 0.75 s: send, timeout 0.60 s: send, timeout 0.10 s: send
	// latency over objective 0.9, timeout 0.80 s: send, timeout 0.75 s: send, timeout 0.60 s: reject, retry after 1.0 s, timeout 0.10 s: send
}
