package loadshed

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// testClasses holds the latency objective in seconds and the priority weight of each class.
var testClasses = []RequestClass{{0.3, 2}, {0.6, 3}, {0.3, 1}}

// capacity is the work per second that a simulated router can do.
const capacity = 1000.0

// simRouter is a simulated router. Requests wait in a queue, as in a kernel's buffers, and are served in order. The age
// of the oldest waiting request, up to 0.25 s, is the delay that the process measures.
type simRouter struct {
	shedder      *Shedder
	now          float64
	waiting      []waitingRequest
	spareWork    float64 // unused work capacity so far, at most 2
	nextSampleAt float64
	doneWork     float64   // work done since the last sample
	shed         [3]int    // requests shed, by class
	received     [3]int    // requests received, by class
	shedShares   []float64 // shed share at each sample
}

type waitingRequest struct {
	request   Request
	arrivedAt float64
}

func newSimRouter() *simRouter {
	return &simRouter{shedder: New(testClasses, 7, 0)}
}

func (r *simRouter) oldestAge() float64 {
	if len(r.waiting) == 0 {
		return 0
	}
	return r.now - r.waiting[0].arrivedAt
}

// offer adds one request to the queue, one arrival interval after the previous one, and serves waiting requests with the
// work capacity of that interval. done is called with the result of each request served or shed.
func (r *simRouter) offer(rate float64, request Request, done func(request Request, admitted bool)) {
	r.now += 1 / rate
	r.waiting = append(r.waiting, waitingRequest{request, r.now})
	r.spareWork = min(r.spareWork+capacity/rate, 2)
	for len(r.waiting) > 0 && r.spareWork > 0 {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		next.request.RemainingSeconds -= r.now - next.arrivedAt
		admitted := r.shedder.Admit(r.now, next.request)
		if done(next.request, admitted); admitted {
			r.spareWork--
			r.doneWork++
			r.shedder.OnSuccess(next.request.Class, r.now-next.arrivedAt, 100)
		} else {
			r.spareWork -= 0.1 // cost of shedding a request
			r.doneWork += 0.1
		}
	}
	if r.now >= r.nextSampleAt {
		r.sample()
	}
}

func (r *simRouter) sample() {
	busy := min(1, r.doneWork/capacity/(r.now-r.nextSampleAt+0.1))
	r.nextSampleAt, r.doneWork = r.now+0.1, 0
	delay := min(r.oldestAge(), 0.25)
	r.shedder.Observe(r.now, LoadSample{TimerDelaySeconds: delay, SchedulerDelaySeconds: delay / 2, CPUShare: busy})
	r.shedShares = append(r.shedShares, r.shedder.ShedShare())
}

// run offers requests of the three classes in turn, at rate requests per second, for the given seconds.
func (r *simRouter) run(rate, seconds float64, client func(i int) (id uint64, retry bool)) {
	r.shed, r.received, r.shedShares = [3]int{}, [3]int{}, nil
	for i, end := 0, r.now+seconds; r.now < end; i++ {
		id, retry := client(i)
		request := Request{Class: i % 3, Client: id, Retry: retry, RemainingSeconds: 1}
		r.offer(rate, request, func(request Request, admitted bool) {
			r.received[request.Class]++
			r.shed[request.Class] += asInt(!admitted)
		})
	}
}

func twentyClients(i int) (id uint64, retry bool) { return uint64(i % 20), false }

// The limit settles near the capacity, requests of the lowest priority are shed first, and shedding ends when the load
// falls.
func Example_overload() {
	r := newSimRouter()
	show := func(name string) {
		fmt.Printf("%s: shed %.0f%% of priority 2, %.0f%% of 3, %.0f%% of 1; delay at the end %.2f s\n", name,
			percent(r.shed[0], r.received[0]), percent(r.shed[1], r.received[1]), percent(r.shed[2], r.received[2]),
			r.oldestAge())
	}
	r.run(800, 10, twentyClients)
	show("below capacity")
	r.run(2000, 3, twentyClients)
	r.run(2000, 20, twentyClients)
	show("at twice the capacity")
	r.run(800, 2, twentyClients)
	r.run(800, 5, twentyClients)
	show("below capacity again")
	// Output:
	// below capacity: shed 0% of priority 2, 0% of 3, 0% of 1; delay at the end 0.00 s
	// at twice the capacity: shed 72% of priority 2, 0% of 3, 100% of 1; delay at the end 0.05 s
	// below capacity again: shed 0% of priority 2, 0% of 3, 0% of 1; delay at the end 0.00 s
}

func percent(n, of int) float64 { return math.Round(100 * float64(n) / float64(max(1, of))) }

// A client that sends nine tenths of the load is shed before the others, retries are shed before first requests, and
// while the process sheds, requests whose answer would be too late are shed.
func Example_fairness() {
	r := newSimRouter()
	var shed, received [2]int
	// count overloads the router, and then counts 20000 further requests, received and shed, by group.
	count := func(fromHotClient func(int) bool, retry func(int) bool) {
		r.run(2000, 3, twentyClients)
		shed, received = [2]int{}, [2]int{}
		for i := range 20000 {
			id := uint64(1 + i%19)
			if fromHotClient(i) {
				id = 0
			}
			request := Request{Client: id, Retry: retry(i), RemainingSeconds: 1}
			r.offer(2000, request, func(request Request, admitted bool) {
				group := asInt(request.Client == 0 || request.Retry) // 1: from the hot client, or a retry
				received[group]++
				shed[group] += asInt(!admitted)
			})
		}
	}
	never := func(int) bool { return false }
	count(func(i int) bool { return i%10 != 0 }, never)
	fmt.Printf("hot client: half or more of its requests shed: %t, under 15%% of the others' shed: %t\n",
		percent(shed[1], received[1]) >= 50, percent(shed[0], received[0]) < 15)
	r = newSimRouter()
	count(never, func(i int) bool { return i%2 == 0 })
	fmt.Printf("half are retries: 90%% or more of the retries shed: %t, less than half that share of first requests shed: %t\n",
		percent(shed[1], received[1]) >= 90, 2*percent(shed[0], received[0]) < percent(shed[1], received[1]))
	s := New(testClasses, 1, 0)
	for i := range 1000 {
		s.Admit(float64(i)/1000, Request{Class: i % 3, Client: uint64(i), RemainingSeconds: 1})
	}
	s.OnSuccess(0, 0.2, 100)
	fmt.Println("answer too late, not shedding: admitted", s.Admit(1, Request{Class: 0, RemainingSeconds: 0.1}))
	s.Observe(1, LoadSample{TimerDelaySeconds: 0.06})
	fmt.Println("answer too late, shedding: admitted", s.Admit(1, Request{Class: 0, RemainingSeconds: 0.1}))
	// Output:
	// hot client: half or more of its requests shed: true, under 15% of the others' shed: true
	// half are retries: 90% or more of the retries shed: true, less than half that share of first requests shed: true
	// answer too late, not shedding: admitted true
	// answer too late, shedding: admitted false
}

// Under constant load the shed share stays within a band of 0.35 over the last half of the run, and most of the capacity
// is used.
func TestShedShareDoesNotOscillate(t *testing.T) {
	for _, loadFactor := range []float64{1.2, 1.5, 2, 3, 4} {
		r := newSimRouter()
		r.run(1000*loadFactor, 60, twentyClients)
		lastHalf := r.shedShares[len(r.shedShares)/2:]
		low, high := math.Inf(1), 0.0
		for _, share := range lastHalf {
			low, high = min(low, share), max(high, share)
		}
		if high-low > 0.35 {
			t.Errorf("at %g times the capacity, the shed share ranges from %.2f to %.2f, want a range of at most 0.35",
				loadFactor, low, high)
		}
		admitted := 0
		for i := range r.received {
			admitted += r.received[i] - r.shed[i]
		}
		// At full use, (1-0.1*loadFactor)/0.9 of the capacity serves requests: shedding takes a tenth of serving's work.
		if got, minUse := float64(admitted)/60/1000, 0.7*(1-0.1*loadFactor)/0.9; got < minUse {
			t.Errorf("at %g times the capacity, %.2f of it is used, want at least %.2f", loadFactor, got, minUse)
		}
	}
}

// No group is shed while a group with a lower score is admitted, a higher load never reduces the shed share, and from
// the same state a longer delay never leads to a higher limit.
func TestLowestScoreIsShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := make([]RequestClass, rapid.IntRange(1, 6).Draw(t, "classes"))
		for i := range classes {
			weight := float64(rapid.IntRange(1, 4).Draw(t, "priority"))
			classes[i] = RequestClass{LatencyObjectiveSeconds: 0.3, PriorityWeight: weight}
		}
		offered := make([]int, len(classes))
		sizes := make([]int, len(classes))
		for i := range offered {
			offered[i] = rapid.IntRange(0, 40).Draw(t, "offered")
			sizes[i] = rapid.SampledFrom([]int{0, 8192, 16384}).Draw(t, "bytes")
		}
		limit := rapid.Float64Range(1, 200).Draw(t, "limit")
		newLoadedShedder := func(loadFactor int) *Shedder {
			s := New(classes, 3, 0)
			s.limit = limit
			for class, n := range offered {
				s.OnSuccess(class, 0.01, sizes[class])
				for i := range n * loadFactor {
					s.Admit(0.1, Request{Class: class, Client: uint64(i), Retry: i%5 == 0, RemainingSeconds: 1})
				}
			}
			s.Observe(1, LoadSample{})
			return s
		}
		s := newLoadedShedder(1)
		for high, highShare := range s.shedShareByGroup {
			for low, lowShare := range s.shedShareByGroup {
				if s.score(high) > s.score(low) && highShare > 0 && lowShare < 1 {
					t.Fatalf("share %g of group %+v with score %g is shed, but only %g of group %+v with score %g",
						highShare, high, s.score(high), lowShare, low, s.score(low))
				}
			}
		}
		if doubled := newLoadedShedder(2); doubled.ShedShare() < s.ShedShare() {
			t.Fatalf("the shed share is %g, but %g at twice the load", s.ShedShare(), doubled.ShedShare())
		}
		delay := rapid.Float64Range(0, 1).Draw(t, "delay")
		moreDelay := delay + rapid.Float64Range(0, 1).Draw(t, "more delay")
		lessDelayed, moreDelayed := newLoadedShedder(1), newLoadedShedder(1)
		for _, s := range []*Shedder{lessDelayed, moreDelayed} {
			for i := range 30 {
				s.Admit(1.1, Request{Client: uint64(i), RemainingSeconds: 1e9})
			}
		}
		lessDelayed.Observe(1.2, LoadSample{TimerDelaySeconds: delay})
		moreDelayed.Observe(1.2, LoadSample{TimerDelaySeconds: moreDelay})
		if moreDelayed.Limit() > lessDelayed.Limit() {
			t.Fatalf("the limit is %g at a delay of %g s, but %g at %g s",
				lessDelayed.Limit(), delay, moreDelayed.Limit(), moreDelay)
		}
	})
}
