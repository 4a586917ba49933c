package loadshed

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

var ops = []RequestClass{{0.3, 2}, {0.6, 3}, {0.3, 1}}

// plant is a relay of so much capacity: what comes waits in front of it, as in a kernel's buffers, and is met in turn. How
// long it waits is the process's delay, as far as a process can see that.
type plant struct {
	g        *Shedder
	now      float64
	capacity float64 // work a second
	waits    []waiting
	spare    float64 // work that could be done by now
	next     float64
	did      float64 // work since the last look
	shed     [3]int
	came     [3]int
	levels   []float64
}

type waiting struct {
	c  Request
	at float64
}

func newPlant(capacity float64) *plant {
	return &plant{g: New(ops, 7, 0), capacity: capacity}
}

func (p *plant) age() float64 {
	if len(p.waits) == 0 {
		return 0
	}
	return p.now - p.waits[0].at
}

// offer lets one command come, and does the work that there is time for until the next; each is told what became of one.
func (p *plant) offer(rate float64, c Request, each func(Request, bool)) {
	p.now += 1 / rate
	p.waits = append(p.waits, waiting{c, p.now})
	p.spare = min(p.spare+p.capacity/rate, 2)
	for len(p.waits) > 0 && p.spare > 0 {
		w := p.waits[0]
		p.waits = p.waits[1:]
		w.c.RemainingSeconds -= p.now - w.at
		taken := p.g.Admit(p.now, w.c)
		if each(w.c, taken); taken {
			p.spare--
			p.did++
			p.g.OnSuccess(w.c.Class, p.now-w.at, 100)
		} else {
			p.spare -= 0.1 // what it costs to turn one away
			p.did += 0.1
		}
	}
	if p.now >= p.next {
		busy := min(1, p.did/p.capacity/(p.now-p.next+0.1))
		p.next, p.did = p.now+0.1, 0
		lag := min(p.age(), 0.25)
		p.g.Observe(p.now, LoadSample{TimerDelaySeconds: lag, SchedulerDelaySeconds: lag / 2, CPUShare: busy})
		p.levels = append(p.levels, p.g.ShedShare())
	}
}

// run offers so many commands a second in turn of the op types, for some seconds.
func (p *plant) run(rate, secs float64, client func(i int) (uint64, bool)) {
	p.shed, p.came, p.levels = [3]int{}, [3]int{}, nil
	for i, end := 0, p.now+secs; p.now < end; i++ {
		id, retry := client(i)
		p.offer(rate, Request{Class: i % 3, Client: id, Retry: retry, RemainingSeconds: 1}, func(c Request, taken bool) {
			p.came[c.Class]++
			p.shed[c.Class] += one(!taken)
		})
	}
}

func alike(i int) (uint64, bool) { return uint64(i % 20), false }

// The bound finds the capacity, sheds the least worth first, and is gone with the load.
func Example_overload() {
	p := newPlant(1000)
	show := func(name string) {
		fmt.Printf("%s: shed %.0f%% of worth 2, %.0f%% of 3, %.0f%% of 1; delay at the end %.2f s\n", name, pct(p.shed[0], p.came[0]), pct(p.shed[1], p.came[1]),
			pct(p.shed[2], p.came[2]), p.age())
	}
	p.run(800, 10, alike)
	show("below capacity")
	p.run(2000, 3, alike)
	p.run(2000, 20, alike)
	show("at twice the capacity")
	p.run(800, 2, alike)
	p.run(800, 5, alike)
	show("below it again")
	// Output:
	// below capacity: shed 0% of worth 2, 0% of 3, 0% of 1; delay at the end 0.00 s
	// at twice the capacity: shed 72% of worth 2, 0% of 3, 100% of 1; delay at the end 0.05 s
	// below it again: shed 0% of worth 2, 0% of 3, 0% of 1; delay at the end 0.00 s
}

func pct(n, of int) float64 { return math.Round(100 * float64(n) / float64(max(1, of))) }

// One client asks for nine tenths of all; the others keep what they ask for. Retries go behind first tries.
func Example_fair() {
	p := newPlant(1000)
	var shed, came [2]int
	count := func(hot func(int) bool, retry func(int) bool) {
		p.run(2000, 3, alike)
		shed, came = [2]int{}, [2]int{}
		for i := range 20000 {
			id := uint64(1 + i%19)
			if hot(i) {
				id = 0
			}
			p.offer(2000, Request{Client: id, Retry: retry(i), RemainingSeconds: 1}, func(c Request, taken bool) {
				k := one(c.Client == 0 || c.Retry)
				came[k]++
				shed[k] += one(!taken)
			})
		}
	}
	never := func(int) bool { return false }
	count(func(i int) bool { return i%10 != 0 }, never)
	fmt.Printf("a hot client: %t that it loses half or more, %t that the others lose under 15%%\n", pct(shed[1], came[1]) >= 50, pct(shed[0], came[0]) < 15)
	p = newPlant(1000)
	count(never, func(i int) bool { return i%2 == 0 })
	fmt.Printf("half are retries: %t that they lose 90%% or more, %t that first tries lose less than half of that\n", pct(shed[1], came[1]) >= 90, 2*pct(shed[0], came[0]) < pct(shed[1], came[1]))
	g := New(ops, 1, 0)
	for i := range 1000 {
		g.Admit(float64(i)/1000, Request{Class: i % 3, Client: uint64(i), RemainingSeconds: 1})
	}
	g.OnSuccess(0, 0.2, 100)
	fmt.Println("no time left, at ease:", g.Admit(1, Request{Class: 0, RemainingSeconds: 0.1}))
	g.Observe(1, LoadSample{TimerDelaySeconds: 0.06})
	fmt.Println("no time left, behind:", g.Admit(1, Request{Class: 0, RemainingSeconds: 0.1}))
	// Output:
	// a hot client: true that it loses half or more, true that the others lose under 15%
	// half are retries: true that they lose 90% or more, true that first tries lose less than half of that
	// no time left, at ease: true
	// no time left, behind: false
}

// Under constant load what is shed settles: over the last half of it the level stays within a band of 0.35.
func TestNoOscillation(t *testing.T) {
	for _, times := range []float64{1.2, 1.5, 2, 3, 4} {
		p := newPlant(1000)
		p.run(1000*times, 60, alike)
		half := p.levels[len(p.levels)/2:]
		low, high := math.Inf(1), 0.0
		for _, l := range half {
			low, high = min(low, l), max(high, l)
		}
		if high-low > 0.35 {
			t.Errorf("at %g times the capacity the level goes from %.2f to %.2f", times, low, high)
		}
		taken := 0
		for i := range p.came {
			taken += p.came[i] - p.shed[i]
		}
		if got := float64(taken) / 60 / 1000; got < 0.7*(1-0.1*times)/0.9 {
			t.Errorf("at %g times the capacity %.2f of it is used", times, got)
		}
	}
}

// At every look: nothing of higher worth by cost is shed while something of lower worth passes, and a higher load never
// means that less is shed.
func TestWorth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		many := make([]RequestClass, rapid.IntRange(1, 6).Draw(t, "ops"))
		for i := range many {
			many[i] = RequestClass{LatencyObjectiveSeconds: 0.3, PriorityWeight: float64(rapid.IntRange(1, 4).Draw(t, "importance"))}
		}
		offer := make([]int, len(many))
		sizes := make([]int, len(many))
		for i := range offer {
			offer[i] = rapid.IntRange(0, 40).Draw(t, "offered")
			sizes[i] = rapid.SampledFrom([]int{0, 8192, 16384}).Draw(t, "bytes")
		}
		bound := rapid.Float64Range(1, 200).Draw(t, "bound")
		after := func(times int) *Shedder {
			g := New(many, 3, 0)
			g.bound = bound
			for op, n := range offer {
				g.OnSuccess(op, 0.01, sizes[op])
				for i := range n * times {
					g.Admit(0.1, Request{Class: op, Client: uint64(i), Retry: i%5 == 0, RemainingSeconds: 1})
				}
			}
			g.Observe(1, LoadSample{})
			return g
		}
		g := after(1)
		for k, s := range g.shares {
			for j, r := range g.shares {
				if g.score(k) > g.score(j) && s > 0 && r < 1 {
					t.Fatalf("%+v, worth %g, loses %g; %+v, worth %g, loses %g", k, g.score(k), s, j, g.score(j), r)
				}
			}
		}
		if more := after(2); more.ShedShare() < g.ShedShare() {
			t.Fatalf("level %g, with twice the load %g", g.ShedShare(), more.ShedShare())
		}
		// From the same state, more pressure never leaves a higher bound.
		x := rapid.Float64Range(0, 1).Draw(t, "lag")
		y := x + rapid.Float64Range(0, 1).Draw(t, "more lag")
		calm, hard := after(1), after(1)
		for _, h := range []*Shedder{calm, hard} {
			for i := range 30 {
				h.Admit(1.1, Request{Client: uint64(i), RemainingSeconds: 1e9})
			}
		}
		calm.Observe(1.2, LoadSample{TimerDelaySeconds: x})
		hard.Observe(1.2, LoadSample{TimerDelaySeconds: y})
		if hard.Limit() > calm.Limit() {
			t.Fatalf("bound %g at a lag of %g, %g at %g", calm.Limit(), x, hard.Limit(), y)
		}
	})
}
