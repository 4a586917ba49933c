package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"flintspread/internal/policy"
)

// The simulation's canary limit and lease.
const (
	canaryWindowSeconds = 4.0
	leaseSeconds        = 1.0
	canaryFreeAttempts  = 3.0
	canaryLimit         = 0.1
)

type simRouter struct {
	name        string
	incarnation uint64
	follower    *Follower
	balancer    *policy.Balancer
	requests    uint32
	followed    AssignmentHeader // of the last assignment accepted
	content     ContentVersions
}

type report struct {
	router                       string
	incarnation, sequence, epoch uint64
}

type assignment struct {
	router       string
	header       AssignmentHeader
	content      ContentVersions
	share        float64
	leaseSeconds float64
}

// simulation runs routers with the real policy, a controller, and the messages between them.
type simulation struct {
	now              float64
	lastIncarnation  uint64
	epoch            uint64
	leader           *Leader
	latest           ContentVersions // at the list service and the release service
	atController     ContentVersions // at the controller; old if read from its disk
	routers          []*simRouter
	reports          []report     // all that were sent
	assignments      []assignment // all that were sent
	receivedAt       []float64    // requests received by all routers
	canaryAttemptsAt []float64    // by all routers, including dead processes
}

func (s *simulation) startRouter(i int) {
	s.lastIncarnation++
	config := policy.Config{RouterGroups: 1, RollbackVotes: 1, TimerResolutionSeconds: 0.001, MaxAttempts: 1, AllowCancel: true, MaxRetryAfterSeconds: 1, ConnIdleSeconds: 15, RequestsPerConn: 100,
		Classes:               []policy.RequestClass{{LatencyObjectiveSeconds: 0.5, TimeoutSeconds: 1, PriorityWeight: 1}},
		SlowStartInitialShare: 1, SlowStartOverloadFactor: 3, SlowStartOverloadSeconds: 2,
		CanaryWindowSeconds: canaryWindowSeconds, CanaryFreeAttempts: canaryFreeAttempts, CanaryLimits: []float64{canaryLimit, 1}, StageShares: []float64{0.1, 1},
		WrongAnswerPrice: 1, StaleBuildPrice: 1, WrongAnswerReportShare: 1, VoteLifetimeSeconds: 10, VoteTimeoutSeconds: 1, VotesPerSecond: 20, HasController: true}
	balancer := policy.New(config, s.lastIncarnation, s.now)
	balancer.BeginEndpointList(true)
	for id := range uint32(8) { // nearly all run the canary: as much is sent there as is allowed
		balancer.UpdateEndpoint(id+1, 0, 0, 1+min(1, int(id)), policy.Ready, 1, 0)
	}
	balancer.EndEndpointList(s.now)
	s.routers[i] = &simRouter{name: fmt.Sprint("e", i), incarnation: s.lastIncarnation, follower: NewFollower(s.lastIncarnation), balancer: balancer}
}

func (s *simulation) startController(behind float64) {
	s.epoch++
	s.leader = NewLeader(s.epoch, leaseSeconds, canaryWindowSeconds, 1, s.now)
	s.atController = ContentVersions{EndpointsAt: max(0, s.latest.EndpointsAt-behind), ReleaseVersion: s.latest.ReleaseVersion / 2}
}

// request lets a router serve one request, and checks the canary limit if it is sent to the canary.
func (s *simulation) request(t *rapid.T, router *simRouter) {
	router.requests++
	request := &policy.Request{ID: router.requests, ReceivedAt: s.now, Deadline: s.now + 1}
	s.receivedAt = append(s.receivedAt, s.now)
	decision := router.balancer.Pick(s.now, request)
	if decision.Action != policy.Send {
		return
	}
	request.Attempts = append(request.Attempts, policy.Attempt{Endpoint: decision.Endpoint, StartedAt: s.now, MayHaveRun: true})
	request.Completed = true
	router.balancer.OnAttemptDone(s.now, request, decision.Endpoint, policy.Succeeded, 0.01)
	if decision.Endpoint == 1 {
		return
	}
	s.canaryAttemptsAt = append(s.canaryAttemptsAt, s.now)
	limit := canaryFreeAttempts + canaryLimit*s.inWindow(s.receivedAt)
	if attempts := s.inWindow(s.canaryAttemptsAt); attempts > limit+1e-9 {
		t.Fatalf("%.0f canary attempts of all routers in the window up to %.3f; %.1f at most", attempts, s.now, limit)
	}
}

// inWindow counts the instants within the canary window that ends now.
func (s *simulation) inWindow(times []float64) (n float64) {
	for _, at := range times {
		if at > s.now-canaryWindowSeconds {
			n++
		}
	}
	return n
}

// deliver passes an assignment to its router, and checks that nothing accepted is older than what the router has.
func (s *simulation) deliver(t *rapid.T, a assignment) {
	var router *simRouter
	for _, r := range s.routers {
		if r.name == a.router {
			router = r
		}
	}
	reason, endpoints, release := router.follower.AcceptAssignment(a.header, a.content)
	if reason != Accepted {
		return
	}
	if last := router.followed; a.header.Incarnation != router.incarnation || a.header.Epoch < last.Epoch || a.header.Epoch == last.Epoch && a.header.Sequence <= last.Sequence {
		t.Fatalf("%s of incarnation %d followed %v, then %v", router.name, router.incarnation, last, a.header)
	}
	if endpoints && a.content.EndpointsAt <= router.content.EndpointsAt || release && a.content.ReleaseVersion < router.content.ReleaseVersion {
		t.Fatalf("%s had %v and took %v", router.name, router.content, a.content)
	}
	router.followed = a.header
	if endpoints {
		router.content.EndpointsAt = a.content.EndpointsAt
	}
	if release {
		router.content.ReleaseVersion = a.content.ReleaseVersion
	}
	router.balancer.ApplyAssignment(0, policy.VoteNone, a.share, router.follower.LeaseEndsAt(a.leaseSeconds))
}

// heartbeats performs full round trips for some routers, as without faults.
func (s *simulation) heartbeats(t *rapid.T, routers []*simRouter, n int) {
	for range n {
		s.now += 0.5
		for _, router := range routers {
			incarnation, sequence, epoch := router.follower.NextReport(s.now)
			if s.leader.AcceptReport(s.now, SchemaMajor, router.name, incarnation, sequence, epoch) == Accepted {
				s.deliver(t, s.nextAssignment(router))
			}
		}
		s.leader.ExpireRouters(s.now)
		if leased := s.leader.LeasedShare(s.now); leased > 1+1e-9 {
			t.Fatalf("leased shares sum to %v", leased)
		}
	}
}

func (s *simulation) nextAssignment(router *simRouter) assignment {
	header, share, seconds := s.leader.NextAssignment(s.now, router.name)
	return assignment{router.name, header, s.atController, share, seconds}
}

// The simulation explores arbitrary histories of losses, repeats, reorderings, delays,
// deaths and restarts. After every step
//   - the canary attempts of all routers together, including their dead processes, stay within free + limit x requests
//     received;
//   - no router has returned from a controller to an earlier one, nor from an assignment, an endpoint list or a release
//     to an older one.
func TestCanaryLimitAndFencingHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: 100, routers: make([]*simRouter, 3), latest: ContentVersions{EndpointsAt: 100, ReleaseVersion: 1}}
		for i := range s.routers {
			s.startRouter(i)
		}
		s.now -= 10
		s.startController(0)
		s.now += 10 // it has been running for long, and grants leases
		anyRouter := func(t *rapid.T) *simRouter { return s.routers[rapid.IntRange(0, 2).Draw(t, "router")] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) { s.now += rapid.Float64Range(0, 1.5).Draw(t, "seconds") },
			"requests": func(t *rapid.T) { // enough to spend the whole allowance
				router := anyRouter(t)
				for range rapid.IntRange(1, 12).Draw(t, "n") {
					s.now += 0.001
					s.request(t, router)
				}
			},
			"heartbeats": func(t *rapid.T) { s.heartbeats(t, s.routers, rapid.IntRange(1, 12).Draw(t, "n")) },
			"heartbeats of one": func(t *rapid.T) { // the others are cut off for long enough to be considered dead
				s.heartbeats(t, []*simRouter{anyRouter(t)}, 12)
			},
			"report is sent": func(t *rapid.T) {
				router := anyRouter(t)
				incarnation, sequence, epoch := router.follower.NextReport(s.now)
				s.reports = append(s.reports, report{router.name, incarnation, sequence, epoch})
			},
			"report arrives": func(t *rapid.T) { // any report ever sent, any number of times
				if len(s.reports) > 0 {
					r := s.reports[rapid.IntRange(0, len(s.reports)-1).Draw(t, "which")]
					s.leader.AcceptReport(s.now, SchemaMajor, r.router, r.incarnation, r.sequence, r.epoch)
				}
			},
			"assignment is sent": func(t *rapid.T) {
				s.assignments = append(s.assignments, s.nextAssignment(anyRouter(t)))
			},
			"assignment arrives": func(t *rapid.T) {
				if len(s.assignments) > 0 {
					s.deliver(t, s.assignments[rapid.IntRange(0, len(s.assignments)-1).Draw(t, "which")])
				}
			},
			"content changes": func(*rapid.T) {
				s.latest = ContentVersions{s.now, s.latest.ReleaseVersion + 1}
				s.atController = s.latest
			},
			"router restarts":     func(t *rapid.T) { s.startRouter(rapid.IntRange(0, 2).Draw(t, "router")) },
			"controller restarts": func(t *rapid.T) { s.startController(rapid.Float64Range(0, 3600).Draw(t, "behind")) },
		})
	})
}

// Leases of routers that start, renew and die.
func ExampleLedger() {
	l := NewLedger(1, 4, 0)
	show := func(now float64, holder string, alive int) {
		fmt.Printf("%4.1f s, %d alive: %s gets %.2f, out %.2f\n", now, alive, holder, l.Grant(now, holder, alive), l.Outstanding(now))
	}
	show(4.9, "a", 1) // leases of an earlier controller may still count
	show(5.1, "a", 1)
	show(5.2, "b", 2) // everything is leased to a
	show(5.3, "a", 2) // renewed with a smaller share; the larger lease counts until it leaves the window
	show(10.0, "b", 2)
	show(10.2, "b", 2)
	show(10.3, "a", 2)
	show(15.2, "b", 1) // a is dead
	show(15.4, "b", 1)
	// Output:
	//  4.9 s, 1 alive: a gets 0.00, out 0.00
	//  5.1 s, 1 alive: a gets 1.00, out 1.00
	//  5.2 s, 2 alive: b gets 0.00, out 1.00
	//  5.3 s, 2 alive: a gets 0.50, out 1.00
	// 10.0 s, 2 alive: b gets 0.00, out 1.00
	// 10.2 s, 2 alive: b gets 0.50, out 1.00
	// 10.3 s, 2 alive: a gets 0.50, out 1.00
	// 15.2 s, 1 alive: b gets 0.50, out 1.00
	// 15.4 s, 1 alive: b gets 1.00, out 1.00
}

// A follower accepts only what is newer than what it has.
func ExampleFollower_AcceptAssignment() {
	f := NewFollower(7)
	f.RestoreEndpointsAt(50)
	incarnation, sequence, _ := f.NextReport(100)
	accept := func(what string, h AssignmentHeader, content ContentVersions) {
		reason, endpoints, release := f.AcceptAssignment(h, content)
		epoch, sequence := f.Following()
		fmt.Printf("%s: %v, endpoints %t, release %t; follows %d/%d, lease until %.1f\n", what, reason, endpoints, release, epoch, sequence, f.LeaseEndsAt(1))
	}
	h := AssignmentHeader{SchemaMajor, 3, 1, incarnation, sequence}
	accept("first", h, ContentVersions{60, 4})
	accept("again", h, ContentVersions{60, 4})
	h.Sequence = 2
	accept("with a list from its disk", h, ContentVersions{40, 3})
	h.Sequence, h.Incarnation = 3, 6
	accept("for an earlier process", h, ContentVersions{70, 5})
	h.Incarnation, h.AcknowledgedReport = 7, 9
	accept("acknowledges what was never sent", h, ContentVersions{70, 5})
	h = AssignmentHeader{SchemaMajor, 2, 99, incarnation, sequence}
	accept("an earlier controller, late", h, ContentVersions{80, 6})
	h.Epoch, h.Sequence = 4, 1
	accept("the next controller", h, ContentVersions{80, 4})
	h.Major = 2
	accept("another schema", h, ContentVersions{90, 7})
	for range 100 {
		f.NextReport(200)
	}
	accept("acknowledges too old a report", AssignmentHeader{SchemaMajor, 4, 2, incarnation, sequence}, ContentVersions{90, 7})
	fmt.Println("refused:", f.Refused)
	// Output:
	// first: taken, endpoints true, release true; follows 3/1, lease until 101.0
	// again: old number, endpoints false, release false; follows 3/1, lease until 101.0
	// with a list from its disk: taken, endpoints false, release false; follows 3/2, lease until 101.0
	// for an earlier process: other life, endpoints false, release false; follows 3/2, lease until 101.0
	// acknowledges what was never sent: never sent, endpoints false, release false; follows 3/2, lease until 101.0
	// an earlier controller, late: old epoch, endpoints false, release false; follows 3/2, lease until 101.0
	// the next controller: taken, endpoints true, release true; follows 4/1, lease until 101.0
	// another schema: other schema, endpoints false, release false; follows 4/1, lease until 101.0
	// acknowledges too old a report: taken, endpoints true, release true; follows 4/2, lease until 0.0
	// refused: [0 1 1 1 1 1 0]
}

// A leader accepts reports in order, and stops leading once a router follows a newer epoch.
func ExampleLeader() {
	l := NewLeader(5, 1, 4, 1, 0)
	report := func(now float64, major uint32, incarnation, sequence, epoch uint64) {
		fmt.Println(l.AcceptReport(now, major, "e", incarnation, sequence, epoch), "routers", l.RouterCount(), "leads", l.IsLeader())
	}
	report(1, 1, 7, 1, 0)
	report(1.1, 1, 7, 1, 5)
	report(1.2, 1, 8, 1, 0)
	report(1.3, 1, 7, 2, 5)
	report(1.4, 2, 8, 2, 5)
	fmt.Println("dead", l.ExpireRouters(2), l.ExpireRouters(2.3))
	report(6, 1, 8, 3, 5)
	_, share, _ := l.NextAssignment(6, "e")
	fmt.Println("share", share)
	report(6.1, 1, 8, 4, 6)
	_, share, _ = l.NextAssignment(6.2, "e")
	fmt.Println("share", share, "newer", l.NewerEpoch())
	// Output:
	// taken routers 1 leads true
	// old number routers 1 leads true
	// taken routers 1 leads true
	// other life routers 1 leads true
	// other schema routers 1 leads true
	// dead [] [e]
	// taken routers 1 leads true
	// share 1
	// superseded routers 1 leads false
	// share 0 newer 6
}
