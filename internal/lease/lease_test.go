package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"flintspread/internal/policy"
)

// The simulation's canary traffic limit and lease.
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
	followed    AssignmentHeader // of the last accepted assignment
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

// simulation models several routers with the real policy, a controller, and the messages between them.
type simulation struct {
	now              float64
	lastIncarnation  uint64
	epoch            uint64
	leader           *Leader
	latest           ContentVersions // at the services for endpoint lists and releases
	atController     ContentVersions // at the controller; outdated if it has restarted and read them from its disk
	routers          []*simRouter
	reports          []report     // all reports sent so far
	assignments      []assignment // all assignments sent so far
	receivedAt       []float64    // of the requests at all routers
	canaryAttemptsAt []float64    // of the attempts by all routers, including dead processes
}

// startRouter starts a new process of a router, in place of the previous one.
func (s *simulation) startRouter(i int) {
	s.lastIncarnation++
	config := policy.Config{RouterGroups: 1, RollbackVotes: 1, TimerResolutionSeconds: 0.001, MaxAttempts: 1, AllowCancel: true, MaxRetryAfterSeconds: 1, ConnIdleSeconds: 15, RequestsPerConn: 100,
		Classes:               []policy.RequestClass{{LatencyObjectiveSeconds: 0.5, TimeoutSeconds: 1, PriorityWeight: 1}},
		SlowStartInitialShare: 1, SlowStartOverloadFactor: 3, SlowStartOverloadSeconds: 2,
		CanaryWindowSeconds: canaryWindowSeconds, CanaryFreeAttempts: canaryFreeAttempts, CanaryLimits: []float64{canaryLimit, 1}, StageShares: []float64{0.1, 1},
		WrongAnswerPrice: 1, StaleBuildPrice: 1, WrongAnswerReportShare: 1, VoteLifetimeSeconds: 10, VoteTimeoutSeconds: 1, VotesPerSecond: 20, HasController: true}
	balancer := policy.New(config, s.lastIncarnation, s.now)
	balancer.BeginEndpointList(true)
	for id := range uint32(8) { // all endpoints but the first run the canary, so the routers use their whole allowance
		balancer.UpdateEndpoint(id+1, 0, 0, 1+min(1, int(id)), policy.Ready, 1, 0)
	}
	balancer.EndEndpointList(s.now)
	s.routers[i] = &simRouter{name: fmt.Sprint("e", i), incarnation: s.lastIncarnation, follower: NewFollower(s.lastIncarnation), balancer: balancer}
}

// startController starts the next controller process, whose content is outdatedSeconds old.
func (s *simulation) startController(outdatedSeconds float64) {
	s.epoch++
	s.leader = NewLeader(s.epoch, leaseSeconds, canaryWindowSeconds, 1, s.now)
	s.atController = ContentVersions{EndpointsAt: max(0, s.latest.EndpointsAt-outdatedSeconds), EndpointsVersion: s.latest.EndpointsVersion / 2, ReleaseVersion: s.latest.ReleaseVersion / 2}
}

// request sends one request through a router, and checks the canary traffic limit if the request goes to the canary.
func (s *simulation) request(t *rapid.T, router *simRouter) {
	router.requests++
	request := &policy.Request{ID: router.requests, ReceivedAt: s.now, Deadline: s.now + 1}
	s.receivedAt = append(s.receivedAt, s.now)
	decision := router.balancer.Pick(s.now, request)
	if decision.Action != policy.Send {
		return
	}
	request.Completed = true
	router.balancer.OnAttemptDone(s.now, request, 0, policy.Succeeded, 0.01)
	if decision.Endpoint == 1 {
		return
	}
	s.canaryAttemptsAt = append(s.canaryAttemptsAt, s.now)
	limit := canaryFreeAttempts + canaryLimit*s.inWindow(s.receivedAt)
	if attempts := s.inWindow(s.canaryAttemptsAt); attempts > limit+1e-9 {
		t.Fatalf("%.0f canary attempts of all routers in the window up to %.3f; the limit is %.1f", attempts, s.now, limit)
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

// deliver passes an assignment to its router, and checks that the router accepts nothing older than what it has.
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
		t.Fatalf("%s of incarnation %d accepted assignment %v, then %v", router.name, router.incarnation, last, a.header)
	}
	olderList := a.content.EndpointsVersion <= router.content.EndpointsVersion && a.content.EndpointsAt <= router.content.EndpointsAt
	if endpoints && olderList || release && a.content.ReleaseVersion < router.content.ReleaseVersion {
		t.Fatalf("%s had content %v and accepted %v", router.name, router.content, a.content)
	}
	router.followed = a.header
	if endpoints {
		router.content.EndpointsAt, router.content.EndpointsVersion = a.content.EndpointsAt, a.content.EndpointsVersion
	}
	if release {
		router.content.ReleaseVersion = a.content.ReleaseVersion
	}
	router.balancer.ApplyAssignment(0, policy.VoteNone, a.share, router.follower.LeaseEndsAt(a.leaseSeconds))
}

// heartbeats performs n rounds, 0.5 s apart, in which each of the given routers reports and receives an assignment.
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

// nextAssignment returns the assignment that the controller would send to a router now.
func (s *simulation) nextAssignment(router *simRouter) assignment {
	header, share, seconds := s.leader.NextAssignment(s.now, router.name)
	return assignment{router.name, header, s.atController, share, seconds}
}

// Under arbitrary loss, repetition, reordering and delay of messages, and restarts of routers and the controller:
//   - the canary attempts of all routers together, including their dead processes, never exceed
//     free attempts + limit x requests received;
//   - no router goes back to an earlier controller, or to an older assignment, endpoint list or release.
func TestCanaryLimitAndFencingHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{now: 100, routers: make([]*simRouter, 3), latest: ContentVersions{EndpointsAt: 100, EndpointsVersion: 1, ReleaseVersion: 1}}
		for i := range sim.routers {
			sim.startRouter(i)
		}
		sim.now -= 10
		sim.startController(0)
		sim.now += 10 // the controller has been running for long enough to grant leases
		anyRouter := func(t *rapid.T) *simRouter { return sim.routers[rapid.IntRange(0, 2).Draw(t, "router")] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) { sim.now += rapid.Float64Range(0, 1.5).Draw(t, "seconds") },
			"requests": func(t *rapid.T) { // enough to use the whole allowance
				router := anyRouter(t)
				for range rapid.IntRange(1, 12).Draw(t, "n") {
					sim.now += 0.001
					sim.request(t, router)
				}
			},
			"heartbeats": func(t *rapid.T) { sim.heartbeats(t, sim.routers, rapid.IntRange(1, 12).Draw(t, "n")) },
			"heartbeats of one router": func(t *rapid.T) { // the others are silent for long enough to be considered dead
				sim.heartbeats(t, []*simRouter{anyRouter(t)}, 12)
			},
			"report is sent": func(t *rapid.T) {
				router := anyRouter(t)
				incarnation, sequence, epoch := router.follower.NextReport(sim.now)
				sim.reports = append(sim.reports, report{router.name, incarnation, sequence, epoch})
			},
			"report arrives": func(t *rapid.T) { // any report sent so far, in any order and any number of times
				if len(sim.reports) > 0 {
					r := sim.reports[rapid.IntRange(0, len(sim.reports)-1).Draw(t, "which")]
					sim.leader.AcceptReport(sim.now, SchemaMajor, r.router, r.incarnation, r.sequence, r.epoch)
				}
			},
			"assignment is sent": func(t *rapid.T) {
				sim.assignments = append(sim.assignments, sim.nextAssignment(anyRouter(t)))
			},
			"assignment arrives": func(t *rapid.T) {
				if len(sim.assignments) > 0 {
					sim.deliver(t, sim.assignments[rapid.IntRange(0, len(sim.assignments)-1).Draw(t, "which")])
				}
			},
			"content changes": func(*rapid.T) {
				sim.latest = ContentVersions{sim.now, sim.latest.EndpointsVersion + 1, sim.latest.ReleaseVersion + 1}
				sim.atController = sim.latest
			},
			"router restarts":     func(t *rapid.T) { sim.startRouter(rapid.IntRange(0, 2).Draw(t, "router")) },
			"controller restarts": func(t *rapid.T) { sim.startController(rapid.Float64Range(0, 3600).Draw(t, "outdated seconds")) },
		})
	})
}

// Routers start, renew their leases and die.
func ExampleLedger() {
	ledger := NewLedger(1, 4, 0)
	show := func(now float64, holder string, alive int) {
		fmt.Printf("%4.1f s, %d alive: %s gets %.2f, outstanding %.2f\n", now, alive, holder, ledger.Grant(now, holder, alive), ledger.Outstanding(now))
	}
	show(4.9, "a", 1) // leases of an earlier controller may still be outstanding
	show(5.1, "a", 1)
	show(5.2, "b", 2) // a holds everything
	show(5.3, "a", 2) // renewed with a smaller share; the larger lease counts until it leaves the window
	show(10.0, "b", 2)
	show(10.2, "b", 2)
	show(10.3, "a", 2)
	show(15.2, "b", 1) // a is dead, its last lease still outstanding
	show(15.4, "b", 1)
	// Output:
	//  4.9 s, 1 alive: a gets 0.00, outstanding 0.00
	//  5.1 s, 1 alive: a gets 1.00, outstanding 1.00
	//  5.2 s, 2 alive: b gets 0.00, outstanding 1.00
	//  5.3 s, 2 alive: a gets 0.50, outstanding 1.00
	// 10.0 s, 2 alive: b gets 0.00, outstanding 1.00
	// 10.2 s, 2 alive: b gets 0.50, outstanding 1.00
	// 10.3 s, 2 alive: a gets 0.50, outstanding 1.00
	// 15.2 s, 1 alive: b gets 0.50, outstanding 1.00
	// 15.4 s, 1 alive: b gets 1.00, outstanding 1.00
}

// With a longer window, a lease that left the one before may count again.
func ExampleLedger_longerWindow() {
	ledger := NewLedger(1, 4, 0)
	show := func(now float64, holder string) {
		fmt.Printf("%4.1f s: %s gets %.2f, outstanding %.2f\n", now, holder, ledger.Grant(now, holder, 1), ledger.Outstanding(now))
	}
	show(5.1, "a")
	fmt.Println("10.2 s: outstanding", ledger.Outstanding(10.2)) // a is dead, and its lease ended at 6.1
	ledger.SetWindow(10.2, 8)
	show(10.3, "b")
	show(14.3, "b")
	ledger.SetWindow(15, 2)
	show(20, "c") // b is dead, and its lease ended at 15.3: routers may still count over 8 s
	show(23.4, "c")
	// Output:
	// 5.1 s: a gets 1.00, outstanding 1.00
	// 10.2 s: outstanding 0
	// 10.3 s: b gets 0.00, outstanding 0.00
	// 14.3 s: b gets 1.00, outstanding 1.00
	// 20.0 s: c gets 0.00, outstanding 1.00
	// 23.4 s: c gets 1.00, outstanding 1.00
}

// A follower accepts only assignments that are newer than the last one, and only the newer parts of their content.
func ExampleFollower_AcceptAssignment() {
	follower := NewFollower(7)
	follower.RestoreEndpoints(6, 50)
	incarnation, sequence, _ := follower.NextReport(100)
	accept := func(what string, header AssignmentHeader, content ContentVersions) {
		reason, endpoints, release := follower.AcceptAssignment(header, content)
		epoch, sequence := follower.Following()
		fmt.Printf("%s: %v, endpoints %t, release %t; follows %d/%d, lease until %.1f\n", what, reason, endpoints, release, epoch, sequence, follower.LeaseEndsAt(1))
	}
	header := AssignmentHeader{SchemaMajor, 3, 1, incarnation, sequence}
	accept("first", header, ContentVersions{60, 7, 4})
	accept("repeated", header, ContentVersions{60, 7, 4})
	header.Sequence = 2
	accept("with an outdated list and release", header, ContentVersions{40, 5, 3})
	header.Sequence, header.Incarnation = 3, 6
	accept("for an earlier router process", header, ContentVersions{70, 8, 5})
	header.Incarnation, header.AcknowledgedReport = 7, 9
	accept("acknowledges a report never sent", header, ContentVersions{70, 8, 5})
	header = AssignmentHeader{SchemaMajor, 2, 99, incarnation, sequence}
	accept("from an earlier controller", header, ContentVersions{80, 9, 6})
	header.Epoch, header.Sequence = 4, 1
	accept("from the next controller", header, ContentVersions{80, 9, 4})
	header.Major = 2
	accept("of another schema", header, ContentVersions{90, 10, 7})
	for range 100 {
		follower.NextReport(200)
	}
	accept("acknowledges an old report", AssignmentHeader{SchemaMajor, 4, 2, incarnation, sequence}, ContentVersions{90, 10, 7})
	fmt.Println("refused:", follower.Refused)
	// Output:
	// first: taken, endpoints true, release true; follows 3/1, lease until 101.0
	// repeated: old number, endpoints false, release false; follows 3/1, lease until 101.0
	// with an outdated list and release: taken, endpoints false, release false; follows 3/2, lease until 101.0
	// for an earlier router process: other life, endpoints false, release false; follows 3/2, lease until 101.0
	// acknowledges a report never sent: never sent, endpoints false, release false; follows 3/2, lease until 101.0
	// from an earlier controller: old epoch, endpoints false, release false; follows 3/2, lease until 101.0
	// from the next controller: taken, endpoints true, release true; follows 4/1, lease until 101.0
	// of another schema: other schema, endpoints false, release false; follows 4/1, lease until 101.0
	// acknowledges an old report: taken, endpoints true, release true; follows 4/2, lease until 0.0
	// refused: [0 1 1 1 1 1 0]
}

// Guards against a drain that a router never hears of: a list was dropped because its service stated a greater age with it than
// with the line before, which said that nothing had changed.
func ExampleFollower_listOrder() {
	follower := NewFollower(7)
	sequence := uint64(0)
	accept := func(what string, epoch uint64, content ContentVersions) {
		sequence++
		_, report, _ := follower.NextReport(100)
		header := AssignmentHeader{SchemaMajor, epoch, sequence, 7, report}
		_, endpoints, _ := follower.AcceptAssignment(header, content)
		fmt.Printf("%s: %t\n", what, endpoints)
	}
	accept("version 4", 3, ContentVersions{EndpointsAt: 60, EndpointsVersion: 4})
	accept("the same", 3, ContentVersions{EndpointsAt: 60, EndpointsVersion: 4})
	accept("the same, confirmed", 3, ContentVersions{EndpointsAt: 70, EndpointsVersion: 4})
	accept("version 5, 5 s old", 3, ContentVersions{EndpointsAt: 66, EndpointsVersion: 5})
	accept("version 4 again", 3, ContentVersions{EndpointsAt: 66, EndpointsVersion: 4})
	accept("version 0 of another controller, from its disk", 4, ContentVersions{EndpointsAt: 20})
	accept("version 1 of that controller, confirmed later", 4, ContentVersions{EndpointsAt: 80, EndpointsVersion: 1})
	accept("version 2 of a third, of unknown age", 5, ContentVersions{EndpointsVersion: 2})
	// Output:
	// version 4: true
	// the same: false
	// the same, confirmed: true
	// version 5, 5 s old: true
	// version 4 again: false
	// version 0 of another controller, from its disk: false
	// version 1 of that controller, confirmed later: true
	// version 2 of a third, of unknown age: true
}

// A leader accepts each router's reports in order, and stops leading once a router follows a newer epoch.
func ExampleLeader() {
	leader := NewLeader(5, 1, 4, 1, 0)
	report := func(now float64, major uint32, incarnation, sequence, epoch uint64) {
		fmt.Println(leader.AcceptReport(now, major, "e", incarnation, sequence, epoch), "routers", leader.RouterCount(), "leads", leader.IsLeader())
	}
	report(1, 1, 7, 1, 0)
	report(1.1, 1, 7, 1, 5)
	report(1.2, 1, 8, 1, 0)
	report(1.3, 1, 7, 2, 5)
	report(1.4, 2, 8, 2, 5)
	fmt.Println("dead", leader.ExpireRouters(2), leader.ExpireRouters(2.3))
	report(6, 1, 8, 3, 5)
	_, share, _ := leader.NextAssignment(6, "e")
	fmt.Println("share", share)
	report(6.1, 1, 8, 4, 6)
	_, share, _ = leader.NextAssignment(6.2, "e")
	fmt.Println("share", share, "newer", leader.NewerEpoch())
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
