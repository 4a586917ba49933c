package policy

import "fmt"

// Rule 1: a command that can go nowhere is held, then answered before the client's time is up.
func Example_finalAnswer() {
	f := newFleet(nil)
	f.list(true)
	c, s := f.command(0)
	start := f.now
	for s.Action == Hold {
		f.now += 2 * (s.PickAgainAt - f.now)
		s = f.pick(c)
	}
	fmt.Println(s, "ahead of the time-out:", f.now < c.Deadline, "not before the target:", f.now-start >= 0.3)
	fmt.Println("then:", f.pick(c))
	// A hair before the end there is no asking again at the same moment.
	fmt.Println(f.pick(&Request{ID: 99, ReceivedAt: f.now - 0.1, Deadline: f.now + 2*f.b.config.MinTickSeconds + 1e-10}))
	// Output:
	// nack, back in 1.0 s ahead of the time-out: true not before the target: true
	// then: recall
	// nack, back in 1.0 s
}

// Rule 2: what may follow each outcome, by effect.
func Example_effects() {
	names := []string{"redeliverable", "deduplicated", "at-most-once"}
	results := []struct {
		name string
		r    Outcome
	}{{"error", ServerError}, {"full", Overloaded}, {"no connection", NotConnected}, {"broken", ConnectionLost}}
	for op, name := range names {
		fmt.Print(name)
		for _, r := range results {
			f := newFleet(nil)
			c, _ := f.command(op)
			f.now += 0.02
			fmt.Printf(", %s: %v", r.name, f.answer(c, r.r))
		}
		fmt.Println()
	}
	// Past the window in which repeats are dropped, and outside the group, nothing more is sent.
	f := newFleet(func(t *Config) { t.Classes[1].DedupWindowSeconds = 0.1; t.Classes[1].DedupScope = DedupCell })
	c, _ := f.command(1)
	f.now += 0.02
	s := f.answer(c, ServerError)
	fmt.Println("same cell:", c.Attempts[0].Endpoint%2 == c.Attempts[1].Endpoint%2, s)
	f.now += 0.1
	fmt.Println("window over:", f.answer(c, ServerError))
	// Output:
	// redeliverable, error: send, full: send, no connection: send, broken: send
	// deduplicated, error: send, full: send, no connection: send, broken: send
	// at-most-once, error: fail, full: send, no connection: send, broken: fail
	// same cell: true send
	// window over: fail
}

// Rule 3: nothing goes to a unit from the moment the list says it drains or is gone.
func Example_drain() {
	f := newFleet(nil)
	f.list(false, machine{id: 1, build: 7, state: Draining}, machine{id: 2, build: 7, state: Gone})
	f.list(true, machine{id: 1, build: 7, state: Draining}, machine{id: 4, build: 7}) // 3 left unnamed
	met := map[uint32]int{}
	f.run(40, 2, func(u uint32, _ int) (Outcome, float64) { met[u]++; return Succeeded, 0.05 })
	fmt.Println(met)
	// Output: map[4:40]
}

// Rule 5: trial deliveries in a window stay within free + cap x commands taken.
func Example_exposure() {
	all := []machine{{1, 7, Gone, 0}, {2, 7, Gone, 0}, {3, 7, Gone, 0}, {4, 7, Ready, 0}, {5, 8, Ready, 90}, {6, 8, Ready, 90}}
	f := newFleet(nil)
	f.list(true, all...)
	fmt.Print("unannounced: ", f.run(200, 4, fine)[8] <= 22)
	f.b.ApplyRelease(f.now, 8, 1, PhaseCanary, 0.5, 0)
	fmt.Print(", half allowed: ", f.run(200, 4, fine)[8] <= 102)
	f.b.ApplyRelease(f.now, 8, 1, PhaseRollingBack, 0, 0)
	fmt.Print(", going back: ", f.run(200, 4, fine)[8])
	f.b.ApplyRelease(f.now, 8, 2, PhaseReleased, 1, 0)
	fmt.Println(", released:", f.run(200, 4, fine)[8] > 100)

	f = newFleet(func(t *Config) {
		t.IdempotentOnlyStages, t.CanaryLimitPerClass, t.CanaryFreeAttempts, t.CanaryLimits[0] = 1, true, 1, 0.04
	})
	f.list(true, all...)
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.04, 0)
	trial := [3]int{}
	for i := 0; i < 300; i++ {
		c, s := f.command(i % 3)
		if f.b.endpointByID[s.Endpoint].build == 8 {
			trial[c.Class]++
		}
		f.answer(c, Succeeded)
		f.now += 0.01
	}
	fmt.Println("guarded stage, by op type:", trial[0] > 0 && trial[0] <= 5, trial[1:])

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
	// unannounced: true, half allowed: true, going back: 0, released: true
	// guarded stage, by op type: true [0 0]
	// 8 8 8 8 8 8 8 8 8 8 one-way key
}

// After a restart, with only a cached list and no news, a newer build counts as in its first stage.
func Example_restart() {
	f := newFleet(nil)
	f.b = New(*f.b.config, 43, f.now)
	f.list(true, machine{id: 1, build: 7}, machine{id: 5, build: 8}, machine{id: 6, build: 8}, machine{id: 7, build: 8})
	fmt.Println("within the first stage:", f.run(100, 2, fine)[8] <= 12)
	f.vote(1, VoteCounted)
	// Output:
	// within the first stage: true
	// no vote
}

// What is out at a silent unit is called off, or doubled where two may be out; at a unit that answers it is left.
func Example_silence() {
	for _, parallel := range []bool{false, true} {
		f := newFleet(func(t *Config) { t.AllowHedging = parallel })
		f.run(40, 2, fine)
		c, s := f.command(0)
		f.now += 2 * (s.PickAgainAt - f.now)
		fmt.Print("silent: ", f.pick(c))
		c, s = f.command(0)
		f.now += 2 * (s.PickAgainAt - f.now)
		f.b.endpointByID[s.Endpoint].lastAnswerAt = f.now - 0.01
		fmt.Println(", heard:", f.pick(c))
	}
	// Output:
	// silent: recall, heard: nothing
	// silent: send, heard: nothing
}

// A failing unit gets little, whatever way it fails, and is tried again later.
func Example_failingUnit() {
	for _, r := range []Outcome{ServerError, Overloaded, NotConnected, ConnectionLost} {
		f := newFleet(nil)
		f.run(40, 2, fine)
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

// Overload: with answers slow, less is held open, and the less important gives way first.
func Example_overload() {
	f := newFleet(nil)
	f.run(300, 3, func(uint32, int) (Outcome, float64) { return Succeeded, 0.25 })
	for i := 0; i < 20; i++ {
		f.b.TickController(f.now)
		f.now += 0.25
	}
	for _, op := range []int{0, 2} {
		_, s := f.command(op)
		for s.Action == Send {
			_, s = f.command(op)
		}
		fmt.Printf("importance %v: %v with %d open\n", f.b.config.Classes[op].PriorityWeight, s, f.b.inFlight)
	}
	// Output:
	// importance 2: nack, back in 1.0 s with 5 open
	// importance 5: hold with 6 open
}

// Units take few connections: those that are open are kept to; refusals cost no token, are nobody's failure.
func Example_refusedConnections() {
	f := newFleet(nil)
	for i := uint32(0); i < 60; i++ {
		f.list(false, machine{id: 100 + i, build: 7}, machine{id: 200 + i, build: 8})
	}
	f.b.ApplyRelease(f.now, 8, 1, PhaseCanary, 0.5, 20)
	for _, open := range []uint32{1000, 6, 6, 6} { // every so many units take a connection
		met := map[Outcome]int{}
		f.run(200, 4, func(u uint32, _ int) (Outcome, float64) {
			r := Succeeded
			if open < 1000 && u%open != 0 {
				r = NotConnected
			}
			met[r]++
			return r, 0.02
		})
		fmt.Printf("%d acked, %d met nobody, ", met[Succeeded], met[NotConnected])
		f.vote(0.3, VoteCounted)
	}
	// Output:
	// 200 acked, 0 met nobody, vote on on build 8 stage 1
	// 179 acked, 21 met nobody, no vote
	// 165 acked, 35 met nobody, vote on on build 8 stage 1
	// 126 acked, 74 met nobody, no vote
}

// A balancer that stood still itself finds late answers and time-outs at once: they are nobody's failure.
func Example_ownPause() {
	f := newFleet(nil)
	f.run(40, 2, fine)
	f.b.TickController(f.now)
	for _, pause := range []float64{0.2, 1.2} {
		c, s := f.command(0)
		u := f.b.endpointByID[s.Endpoint]
		f.b.TickController(f.now + 0.09)
		f.now += 0.1 + pause
		f.answer(c, TimedOut)
		fmt.Printf("after %.1f s: failing %v\n", pause, f.b.outlierScore(f.now, u) > 0)
	}
	// Output:
	// after 0.2 s: failing true
	// after 1.2 s: failing false
}

// Rule 4: many balancers together send a cold unit no more than one that sees all the traffic.
func Example_coldAmongMany() {
	for _, n := range []int{1, 100} {
		sum := 0
		for i := 0; i < n; i++ {
			f := newFleet(func(t *Config) { t.Routers = n })
			f.b.random.seed = uint64(i)
			f.run(400/n, 4, fine)
			f.list(false, machine{id: 4, build: 7, since: f.now})
			f.run(200/n, 2, func(u uint32, _ int) (Outcome, float64) {
				sum += boolToInt(u == 4)
				return [...]Outcome{Overloaded, Succeeded}[boolToInt(u == 4)], 0.01 // the cold one looks far better than the others
			})
		}
		fmt.Println(n, "balancers:", sum)
	}
	// Output:
	// 1 balancers: 45
	// 100 balancers: 5
}

// Under load a command whose client, by the time it is given, first asked longer ago than the target is nacked.
func Example_laterTries() {
	f := newFleet(func(t *Config) { t.Classes[0].TimeoutSeconds = 1 })
	f.run(40, 2, fine) // first tries are given 0.8 s
	for _, ratio := range []float64{0.1, 0.9} {
		fmt.Print("time over target ", ratio)
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
	// time over target 0.1, given 0.80 s: send, given 0.75 s: send, given 0.60 s: send, given 0.10 s: send
	// time over target 0.9, given 0.80 s: send, given 0.75 s: send, given 0.60 s: nack, back in 1.0 s, given 0.10 s: send
}
