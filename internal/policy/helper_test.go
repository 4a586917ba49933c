package policy

import (
	"fmt"
	"math"
	"sort"
)

// fleet drives one Balancer by hand: a clock, a list, commands and their outcomes.
type fleet struct {
	b   *Balancer
	now float64
	id  uint32
}

type machine struct {
	id    uint32
	build int
	state State
	since float64
}

// newFleet gives three op types, one of each effect, and machines 1 to 4 of build 7, warm for long.
func newFleet(edit func(*Terms)) *fleet {
	t := Terms{
		Balancers: 2, Round: 0.005, Parallel: false, Cancel: true, MaxPause: 1, Deliveries: 4, ConnIdle: 15, Streams: 100,
		Ops: []OpType{
			{Target: 0.3, Importance: 2, Effect: Redeliverable, Window: 1},
			{Target: 0.3, Importance: 2, Effect: Deduplicated, Window: 1},
			{Target: 0.3, Importance: 5, Effect: AtMostOnce},
		},
		ColdFrom: 0.4, WarmUp: 4, FallFactor: 3, FallTime: 2, Window: 4, Free: 2,
		Caps: []float64{0.1, 0.5, 1}, Stages: []float64{0.1, 0.5, 1}, HarmPrice: 3, StalePrice: 0.5, Reported: 0.2,
		VoteLife: 10, VoteTimeout: 1, VoteRate: 20,
	}
	if edit != nil {
		edit(&t)
	}
	f := &fleet{b: New(t, 42, 100), now: 100}
	f.list(true, machine{id: 1, build: 7}, machine{id: 2, build: 7}, machine{id: 3, build: 7}, machine{id: 4, build: 7})
	f.b.Stage(f.now, 7, 2, Released, 1, 50)
	return f
}

func (f *fleet) list(full bool, machines ...machine) {
	f.b.ListStart(full)
	for _, m := range machines {
		f.b.Listed(m.id, 0, uint16(m.id%2), m.build, m.state, 1, m.since)
	}
	f.b.ListEnd(f.now)
}

// command makes a command, asks where it goes and enters the delivery.
func (f *fleet) command(op int) (*Command, Step) {
	f.id++
	c := &Command{ID: f.id, Op: op, Came: f.now, Due: f.now + 0.8}
	return c, f.pick(c)
}

func (f *fleet) pick(c *Command) Step { return f.did(c, f.b.Pick(f.now, c)) }

func (f *fleet) did(c *Command, s Step) Step {
	switch s.Do {
	case Send:
		c.Sent = append(c.Sent, Delivery{Unit: s.Unit, At: f.now, Out: true})
	case Nack, Fail:
		c.Ended = true
	}
	return s
}

// answer ends the last delivery of a command.
func (f *fleet) answer(c *Command, r Result) Step {
	d := &c.Sent[len(c.Sent)-1]
	d.Out, d.Maybe = false, r != Full && r != Unconnected && r != Unsent
	c.Ended = c.Ended || r == Acked
	return f.did(c, f.b.After(f.now, c, d.Unit, r, f.now-d.At))
}

// run plays n redeliverable commands over so many seconds; outcome says how each delivery ends and after how long.
// It returns the deliveries by build.
func (f *fleet) run(n int, secs float64, outcome func(u uint32, build int) (Result, float64)) map[int]int {
	sent := map[int]int{}
	type end struct {
		at float64
		c  *Command
		r  Result
	}
	var out []end
	finish := func(until float64) {
		for len(out) > 0 && out[0].at <= until {
			f.now = max(f.now, out[0].at)
			f.answer(out[0].c, out[0].r)
			out = out[1:]
		}
	}
	for i, start := 0, f.now; i < n; i++ {
		at := start + secs*float64(i)/float64(n)
		finish(at)
		f.now = at
		if c, s := f.command(0); s.Do == Send {
			u := f.b.byID[s.Unit]
			sent[u.build]++
			r, took := outcome(u.id, u.build)
			out = append(out, end{f.now + took, c, r})
			sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
		}
	}
	finish(math.Inf(1))
	return sent
}

func fine(uint32, int) (Result, float64) { return Acked, 0.05 }

// vote asks for the periodic work until a vote comes or the time is up, and prints it.
func (f *fleet) vote(secs float64, reply VoteReply) {
	for end := f.now + secs; f.now < end; {
		t := f.b.Wait(f.now)
		if t.Vote {
			names := [...]string{"none", "on", "hold", "back"}
			fmt.Printf("vote %s on build %d stage %d\n", names[t.Verdict], t.Build, t.Stage)
			f.now += t.In
			f.b.VoteAnswered(f.now, reply)
			return
		}
		f.now += t.In
	}
	fmt.Println("no vote")
}

func (s Step) String() string {
	if s.Do == Nothing && s.Recall {
		return "recall"
	}
	return [...]string{"nothing", "send", "hold", fmt.Sprintf("nack, back in %.1f s", s.Pause), "fail"}[s.Do]
}
