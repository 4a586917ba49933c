package policy

import "fmt"

// Rule 1: a request that can't be sent is held, then answered before the client's timeout.
func Example_finalAnswer() {
	f := newFleet(nil)
	f.list(true)
	c, s := f.request(0)
	start := f.now
	for s.Action == Hold {
		f.now += 2 * (s.PickAgainAt - f.now)
		s = f.pick(c)
	}
	fmt.Println(s, "ahead of the time-out:", f.now < c.Deadline, "not before the objective:", f.now-start >= 0.3)
	fmt.Println("then:", f.pick(c))
	// Just before the end the request is not picked again at the same instant.
	fmt.Println(f.pick(&Request{ID: 99, ReceivedAt: f.now - 0.1, Deadline: f.now + 2*f.b.config.TimerResolutionSeconds + 1e-10}))
	// Output:
	// reject, retry after 1.0 s ahead of the time-out: true not before the objective: true
	// then: cancel
	// reject, retry after 1.0 s
}

// Rule 2: what may follow each outcome, by idempotency.
func Example_retrySafety() {
	names := []string{"idempotent", "idempotent with a key", "non-idempotent"}
	results := []struct {
		name string
		r    Outcome
	}{{"error", ServerError}, {"full", Overloaded}, {"no connection", NotConnected}, {"broken", ConnectionLost}}
	for op, name := range names {
		fmt.Print(name)
		for _, r := range results {
			f := newFleet(nil)
			c, _ := f.request(op)
			f.now += 0.02
			fmt.Printf(", %s: %v", r.name, f.answer(c, r.r))
		}
		fmt.Println()
	}
	// After the deduplication window, and outside the deduplication scope, nothing more is sent.
	f := newFleet(func(t *Config) { t.Classes[1].DedupWindowSeconds = 0.1; t.Classes[1].DedupScope = DedupCell })
	c, _ := f.request(1)
	f.now += 0.02
	s := f.answer(c, ServerError)
	fmt.Println("same cell:", c.Attempts[0].Endpoint%2 == c.Attempts[1].Endpoint%2, s)
	f.now += 0.1
	fmt.Println("window over:", f.answer(c, ServerError))
	// Output:
	// idempotent, error: send, full: send, no connection: send, broken: send
	// idempotent with a key, error: send, full: send, no connection: send, broken: send
	// non-idempotent, error: fail, full: send, no connection: send, broken: fail
	// same cell: true send
	// window over: fail
}

// Rule 3: nothing is sent to an endpoint once the list says that it is draining or gone.
func Example_drain() {
	f := newFleet(nil)
	f.list(false, endpointEntry{id: 1, build: 7, state: Draining}, endpointEntry{id: 2, build: 7, state: Gone})
	f.list(true, endpointEntry{id: 1, build: 7, state: Draining}, endpointEntry{id: 4, build: 7}) // 3 left unnamed
	met := map[uint32]int{}
	f.run(40, 2, func(u uint32, _ int) (Outcome, float64) { met[u]++; return Succeeded, 0.05 })
	fmt.Println(met)
	// Output: map[4:40]
}

// Rule 5: canary attempts in a window stay within free attempts + limit x requests received.
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

	f = newFleet(func(t *Config) {
		t.IdempotentOnlyStages, t.CanaryLimitPerClass, t.CanaryFreeAttempts, t.CanaryLimits[0] = 1, true, 1, 0.04
	})
	f.list(true, all...)
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.04, 0)
	trial := [3]int{}
	for i := 0; i < 300; i++ {
		c, s := f.request(i % 3)
		if f.b.endpointByID[s.Endpoint].build == 8 {
			trial[c.Class]++
		}
		f.answer(c, Succeeded)
		f.now += 0.01
	}
	fmt.Println("idempotent requests only, by class:", trial[0] > 0 && trial[0] <= 5, trial[1:])

	f = newFleet(func(t *Config) { t.OneWayKeys = true })
	f.list(true, all...)
	f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
	f.b.buildByKey[99] = 8
	for i := 0; i < 10; i++ {
		c := &Request{ID: 1000, Key: 99, ReceivedAt: f.now, Deadline: f.now + 0.8}
		fmt.Print(f.b.endpointByID[f.pick(c).Endpoint].build, " ")
	}
	fmt.Println("one-way key")
	// Output:
	// unannounced: true, half allowed: true, rolling back: 0, released: true
	// idempotent requests only, by class: true [0 0]
	// 8 8 8 8 8 8 8 8 8 8 one-way key
}

// After a restart with only a cached endpoint list and no release known, a newer build counts as in its first stage.
func Example_restart() {
	f := newFleet(nil)
	f.b = New(*f.b.config, 43, f.now)
	f.list(true, endpointEntry{id: 1, build: 7}, endpointEntry{id: 5, build: 8}, endpointEntry{id: 6, build: 8}, endpointEntry{id: 7, build: 8})
	fmt.Println("within the first stage:", f.run(100, 2, succeed)[8] <= 12)
	f.vote(1, VoteCounted)
	// Output:
	// within the first stage: true
	// no vote
}

// An attempt at a silent endpoint is cancelled, or hedged where that is allowed; at an
// endpoint that answers it continues.
func Example_unresponsiveEndpoint() {
	for _, parallel := range []bool{false, true} {
		f := newFleet(func(t *Config) { t.AllowHedging = parallel })
		f.run(40, 2, succeed)
		c, s := f.request(0)
		f.now += 2 * (s.PickAgainAt - f.now)
		fmt.Print("silent: ", f.pick(c))
		c, s = f.request(0)
		f.now += 2 * (s.PickAgainAt - f.now)
		f.b.endpointByID[s.Endpoint].lastAnswerAt = f.now - 0.01
		fmt.Println(", answering:", f.pick(c))
	}
	// Output:
	// silent: cancel, answering: nothing
	// silent: send, answering: nothing
}

// A failing endpoint receives little traffic, whichever way it fails, and is tried again later.
func Example_failingEndpoint() {
	for _, r := range []Outcome{ServerError, Overloaded, NotConnected, ConnectionLost} {
		f := newFleet(nil)
		f.run(40, 2, succeed)
		met := 0
		f.run(200, 4, func(u uint32, _ int) (Outcome, float64) {
			if u == 2 {
				met++
				return r, 0.001
			}
			return Succeeded, 0.05
		})
		fmt.Print("little but not none: ", met > 0 && met < 25, " ")
	}
	// Output:
	// little but not none: true little but not none: true little but not none: true little but not none: true
}

// Overload: while answers are slow, fewer attempts are in flight, and low priority yields first.
func Example_concurrencyLimit() {
	f := newFleet(nil)
	f.run(300, 3, func(uint32, int) (Outcome, float64) { return Succeeded, 0.25 })
	for i := 0; i < 20; i++ {
		f.b.TickAndVote(f.now)
		f.now += 0.25
	}
	for _, op := range []int{0, 2} {
		_, s := f.request(op)
		for s.Action == Send {
			_, s = f.request(op)
		}
		fmt.Printf("priority %v: %v with %d in flight\n", f.b.config.Classes[op].PriorityWeight, s, f.b.inFlight)
	}
	// Output:
	// priority 2: reject, retry after 1.0 s with 5 in flight
	// priority 5: hold with 6 in flight
}

// Endpoints accept few connections: open ones are preferred; refusals cost no token and count against no build.
func Example_refusedConnections() {
	f := newFleet(nil)
	for i := uint32(0); i < 60; i++ {
		f.list(false, endpointEntry{id: 100 + i, build: 7}, endpointEntry{id: 200 + i, build: 8})
	}
	f.b.ApplyRelease(f.now, 8, 1, PhaseCanary, 0.5, 20)
	for _, open := range []uint32{1000, 6, 6, 6} { // one in this many endpoints accepts connections
		met := map[Outcome]int{}
		f.run(200, 4, func(u uint32, _ int) (Outcome, float64) {
			r := Succeeded
			if open < 1000 && u%open != 0 {
				r = NotConnected
			}
			met[r]++
			return r, 0.02
		})
		fmt.Printf("%d succeeded, %d not connected, ", met[Succeeded], met[NotConnected])
		f.vote(0.3, VoteCounted)
	}
	// Output:
	// 200 succeeded, 0 not connected, vote promote on build 8 stage 1
	// 179 succeeded, 21 not connected, no vote
	// 165 succeeded, 35 not connected, vote promote on build 8 stage 1
	// 126 succeeded, 74 not connected, no vote
}

// A router that was stalled finds late answers and timeouts all at once: they count against no endpoint.
func Example_processPause() {
	f := newFleet(nil)
	f.run(40, 2, succeed)
	f.b.TickAndVote(f.now)
	for _, pause := range []float64{0.2, 1.2} {
		c, s := f.request(0)
		u := f.b.endpointByID[s.Endpoint]
		f.b.TickAndVote(f.now + 0.09)
		f.now += 0.1 + pause
		f.answer(c, TimedOut)
		fmt.Printf("after %.1f s: failing %v\n", pause, f.b.outlierScore(f.now, u) > 0)
	}
	// Output:
	// after 0.2 s: failing true
	// after 1.2 s: failing false
}

// Rule 4: many routers together send an endpoint in slow start no more than a single router with all the traffic would.
func Example_slowStartAmongManyRouters() {
	for _, n := range []int{1, 100} {
		sum := 0
		for i := 0; i < n; i++ {
			f := newFleet(func(t *Config) { t.RouterGroups = n })
			f.b.random.seed = uint64(i)
			f.run(400/n, 4, succeed)
			f.list(false, endpointEntry{id: 4, build: 7, startedAt: f.now})
			f.run(200/n, 2, func(u uint32, _ int) (Outcome, float64) {
				sum += boolToInt(u == 4)
				return [...]Outcome{Overloaded, Succeeded}[boolToInt(u == 4)], 0.01 // slow start looks far better
			})
		}
		fmt.Println(n, "routers:", sum)
	}
	// Output:
	// 1 routers: 45
	// 100 routers: 5
}

// Under load a request is rejected if its remaining time shows that its client first asked
// longer ago than the objective.
func Example_laterTriesUnderLoad() {
	f := newFleet(func(t *Config) { t.Classes[0].TimeoutSeconds = 1 })
	f.run(40, 2, succeed) // first attempts are given 0.8 s
	for _, ratio := range []float64{0.1, 0.9} {
		fmt.Print("latency over objective ", ratio)
		for _, given := range []float64{0.8, 0.75, 0.6, 0.1} {
			f.b.latencyRatio, f.id = ratio, f.id+1
			c := &Request{ID: f.id, ReceivedAt: f.now, Deadline: f.now + given}
			s := f.pick(c)
			fmt.Printf(", given %.2f s: %v", given, s)
			if s.Action == Send {
				f.answer(c, Succeeded)
			}
		}
		fmt.Println()
	}
	// Output:
	// latency over objective 0.1, given 0.80 s: send, given 0.75 s: send, given 0.60 s: send, given 0.10 s: send
	// latency over objective 0.9, given 0.80 s: send, given 0.75 s: send, given 0.60 s: reject, retry after 1.0 s, given 0.10 s: send
}
