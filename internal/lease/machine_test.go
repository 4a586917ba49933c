package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"flintspread/internal/policy"
)

// The machine plays edges with the real policy, a planner and the messages between them through any history of losses,
// repeats, reorderings, delays, deaths and restarts. After every step it holds that
//   - the trial deliveries of all edges together, of their dead processes too, stay within free + cap x commands taken;
//   - an edge never turns from a planner to an earlier one, nor from a view, a list or news to older ones.
const (
	mWindow = 4.0
	mLife   = 1.0
	mFree   = 3.0
	mCap    = 0.1
)

type mEdge struct {
	name     string
	life     uint64
	f        *Follower
	b        *policy.Balancer
	cmds     uint32
	followed AssignmentHeader
	parts    ContentVersions
}

type mDigest struct {
	edge                 string
	life, seq, following uint64
}

type mView struct {
	edge  string
	head  AssignmentHeader
	parts ContentVersions
	share float64
	life  float64
}

type machine struct {
	now     float64
	lives   uint64
	epoch   uint64
	leader  *Leader
	truth   ContentVersions // of the list service and the installer
	planner ContentVersions // what the planner has of it; from its disk it may be old
	edges   []*mEdge
	digests []mDigest
	views   []mView
	taken   []float64
	tried   []float64
}

func (m *machine) startEdge(i int) {
	m.lives++
	t := policy.Config{Routers: 1, RollbackVotes: 1, MinTickSeconds: 0.001, MaxAttempts: 1, AllowCancel: true, MaxRetryAfterSeconds: 1, ConnIdleSeconds: 15, RequestsPerConn: 100,
		Classes:               []policy.RequestClass{{LatencyObjectiveSeconds: 0.5, TimeoutSeconds: 1, PriorityWeight: 1}},
		SlowStartInitialShare: 1, SlowStartOverloadFactor: 3, SlowStartOverloadSeconds: 2, CanaryWindowSeconds: mWindow, CanaryFreeAttempts: mFree, CanaryLimits: []float64{mCap, 1}, StageShares: []float64{0.1, 1},
		WrongAnswerPrice: 1, StaleBuildPrice: 1, WrongAnswerReportShare: 1, VoteLifetimeSeconds: 10, VoteTimeoutSeconds: 1, VotesPerSecond: 20, HasController: true}
	b := policy.New(t, m.lives, m.now)
	b.BeginEndpointList(true)
	for id := range uint32(8) { // nearly all run the trial build: all is sent there that may be
		b.UpdateEndpoint(id+1, 0, 0, 1+min(1, int(id)), policy.Ready, 1, 0)
	}
	b.EndEndpointList(m.now)
	m.edges[i] = &mEdge{name: fmt.Sprint("e", i), life: m.lives, f: NewFollower(m.lives), b: b}
}

func (m *machine) startPlanner(behind float64) {
	m.epoch++
	m.leader = NewLeader(m.epoch, mLife, mWindow, 1, m.now)
	m.planner = ContentVersions{EndpointsAt: max(0, m.truth.EndpointsAt-behind), ReleaseVersion: m.truth.ReleaseVersion / 2}
}

// command is one that comes to an edge; where it goes to the trial build, that counts.
func (m *machine) command(t *rapid.T, e *mEdge) {
	e.cmds++
	c := &policy.Request{ID: e.cmds, ReceivedAt: m.now, Deadline: m.now + 1}
	m.taken = append(m.taken, m.now)
	s := e.b.Pick(m.now, c)
	if s.Action != policy.Send {
		return
	}
	c.Attempts = append(c.Attempts, policy.Attempt{Endpoint: s.Endpoint, StartedAt: m.now, MayHaveRun: true})
	c.Completed = true
	e.b.OnAttemptDone(m.now, c, s.Endpoint, policy.Succeeded, 0.01)
	if s.Endpoint == 1 {
		return
	}
	m.tried = append(m.tried, m.now)
	in := func(times []float64) (n float64) {
		for _, at := range times {
			if at > m.now-mWindow {
				n++
			}
		}
		return n
	}
	if most := mFree + mCap*in(m.taken); in(m.tried) > most+1e-9 {
		t.Fatalf("%.0f trial deliveries of all edges in the window up to %.3f; %.1f at most", in(m.tried), m.now, most)
	}
}

func (m *machine) take(t *rapid.T, v mView) {
	var e *mEdge
	for _, x := range m.edges {
		if x.name == v.edge {
			e = x
		}
	}
	r, list, stage := e.f.AcceptAssignment(v.head, v.parts)
	if r != Accepted {
		return
	}
	if h := e.followed; v.head.Incarnation != e.life || v.head.Epoch < h.Epoch || v.head.Epoch == h.Epoch && v.head.Sequence <= h.Sequence {
		t.Fatalf("%s of life %d followed %v, then %v", e.name, e.life, h, v.head)
	}
	if list && v.parts.EndpointsAt <= e.parts.EndpointsAt || stage && v.parts.ReleaseVersion < e.parts.ReleaseVersion {
		t.Fatalf("%s had %v and took %v", e.name, e.parts, v.parts)
	}
	e.followed = v.head
	if list {
		e.parts.EndpointsAt = v.parts.EndpointsAt
	}
	if stage {
		e.parts.ReleaseVersion = v.parts.ReleaseVersion
	}
	e.b.ApplyAssignment(0, policy.VoteNone, v.share, e.f.LeaseEnd(v.life))
}

// beats is whole round trips of some edges, as on an ordinary day.
func (m *machine) beats(t *rapid.T, edges []*mEdge, n int) {
	for range n {
		m.now += 0.5
		for _, e := range edges {
			life, seq, following := e.f.NextReport(m.now)
			if m.leader.AcceptReport(m.now, SchemaMajor, e.name, life, seq, following) == Accepted {
				h, share, lease := m.leader.NextAssignment(m.now, e.name)
				m.take(t, mView{e.name, h, m.planner, share, lease})
			}
		}
		m.leader.ExpireRouters(m.now)
		if out := m.leader.LeasedShare(m.now); out > 1+1e-9 {
			t.Fatalf("parts out sum to %v", out)
		}
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: 100, edges: make([]*mEdge, 3), truth: ContentVersions{EndpointsAt: 100, ReleaseVersion: 1}}
		for i := range m.edges {
			m.startEdge(i)
		}
		m.now -= 10
		m.startPlanner(0)
		m.now += 10 // it has been there for long, and lends
		edge := func(t *rapid.T) *mEdge { return m.edges[rapid.IntRange(0, 2).Draw(t, "edge")] }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { m.now += rapid.Float64Range(0, 1.5).Draw(t, "secs") },
			"commands": func(t *rapid.T) { // enough to spend what there is
				e := edge(t)
				for range rapid.IntRange(1, 12).Draw(t, "n") {
					m.now += 0.001
					m.command(t, e)
				}
			},
			"beats": func(t *rapid.T) { m.beats(t, m.edges, rapid.IntRange(1, 12).Draw(t, "n")) },
			"beats of one": func(t *rapid.T) { // the others are cut off, long enough to be taken for dead
				m.beats(t, []*mEdge{edge(t)}, 12)
			},
			"digest": func(t *rapid.T) {
				e := edge(t)
				life, seq, following := e.f.NextReport(m.now)
				m.digests = append(m.digests, mDigest{e.name, life, seq, following})
			},
			"digest arrives": func(t *rapid.T) { // any of those ever sent, as often as may be
				if len(m.digests) > 0 {
					d := m.digests[rapid.IntRange(0, len(m.digests)-1).Draw(t, "which")]
					m.leader.AcceptReport(m.now, SchemaMajor, d.edge, d.life, d.seq, d.following)
				}
			},
			"view": func(t *rapid.T) {
				e := edge(t)
				h, share, lease := m.leader.NextAssignment(m.now, e.name)
				m.views = append(m.views, mView{e.name, h, m.planner, share, lease})
			},
			"view arrives": func(t *rapid.T) {
				if len(m.views) > 0 {
					m.take(t, m.views[rapid.IntRange(0, len(m.views)-1).Draw(t, "which")])
				}
			},
			"news":    func(*rapid.T) { m.truth = ContentVersions{m.now, m.truth.ReleaseVersion + 1}; m.planner = m.truth },
			"edge":    func(t *rapid.T) { m.startEdge(rapid.IntRange(0, 2).Draw(t, "edge")) },
			"planner": func(t *rapid.T) { m.startPlanner(rapid.Float64Range(0, 3600).Draw(t, "behind")) },
		})
	})
}

// A link as it is on an ordinary day, and at its turns.
func Example_ledger() {
	l := NewLedger(1, 4, 0)
	show := func(now float64, who string, alive int) {
		fmt.Printf("%4.1f s, %d alive: %s gets %.2f, out %.2f\n", now, alive, who, l.Grant(now, who, alive), l.Outstanding(now))
	}
	show(4.9, "a", 1) // what the planner before lent may count still
	show(5.1, "a", 1)
	show(5.2, "b", 2) // all is out to a
	show(5.3, "a", 2) // renewed for less; what was lent before counts until its window is over
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

func Example_fencing() {
	f := NewFollower(7)
	f.RestoreEndpointsAt(50)
	life, seq, _ := f.NextReport(100)
	accept := func(what string, h AssignmentHeader, p ContentVersions) {
		r, list, stage := f.AcceptAssignment(h, p)
		epoch, number := f.Following()
		fmt.Printf("%s: %v, list %t, stage %t; follows %d/%d, lease until %.1f\n", what, r, list, stage, epoch, number, f.LeaseEnd(1))
	}
	h := AssignmentHeader{SchemaMajor, 3, 1, life, seq}
	accept("first", h, ContentVersions{60, 4})
	accept("again", h, ContentVersions{60, 4})
	h.Sequence = 2
	accept("its list is from its disk", h, ContentVersions{40, 3})
	h.Sequence, h.Incarnation = 3, 6
	accept("for the process before", h, ContentVersions{70, 5})
	h.Incarnation, h.AckedReport = 7, 9
	accept("answers what was never sent", h, ContentVersions{70, 5})
	h = AssignmentHeader{SchemaMajor, 2, 99, life, seq}
	accept("an earlier planner, late", h, ContentVersions{80, 6})
	h.Epoch, h.Sequence = 4, 1
	accept("the next planner", h, ContentVersions{80, 4})
	h.Major = 2
	accept("another schema", h, ContentVersions{90, 7})
	for range 100 {
		f.NextReport(200)
	}
	accept("answers too old a digest", AssignmentHeader{SchemaMajor, 4, 2, life, seq}, ContentVersions{90, 7})
	fmt.Println("refused:", f.Refused)
	// Output:
	// first: taken, list true, stage true; follows 3/1, lease until 101.0
	// again: old number, list false, stage false; follows 3/1, lease until 101.0
	// its list is from its disk: taken, list false, stage false; follows 3/2, lease until 101.0
	// for the process before: other life, list false, stage false; follows 3/2, lease until 101.0
	// answers what was never sent: never sent, list false, stage false; follows 3/2, lease until 101.0
	// an earlier planner, late: old epoch, list false, stage false; follows 3/2, lease until 101.0
	// the next planner: taken, list true, stage true; follows 4/1, lease until 101.0
	// another schema: other schema, list false, stage false; follows 4/1, lease until 101.0
	// answers too old a digest: taken, list true, stage true; follows 4/2, lease until 0.0
	// refused: [0 1 1 1 1 1 0]
}

func Example_leader() {
	l := NewLeader(5, 1, 4, 1, 0)
	say := func(now float64, major uint32, life, seq, following uint64) {
		fmt.Println(l.AcceptReport(now, major, "e", life, seq, following), "edges", l.RouterCount(), "leads", l.IsLeader())
	}
	say(1, 1, 7, 1, 0)
	say(1.1, 1, 7, 1, 5)
	say(1.2, 1, 8, 1, 0)
	say(1.3, 1, 7, 2, 5)
	say(1.4, 2, 8, 2, 5)
	fmt.Println("dead", l.ExpireRouters(2), l.ExpireRouters(2.3))
	say(6, 1, 8, 3, 5)
	_, share, _ := l.NextAssignment(6, "e")
	fmt.Println("share", share)
	say(6.1, 1, 8, 4, 6)
	_, share, _ = l.NextAssignment(6.2, "e")
	fmt.Println("share", share, "newer", l.NewerEpoch())
	// Output:
	// taken edges 1 leads true
	// old number edges 1 leads true
	// taken edges 1 leads true
	// other life edges 1 leads true
	// other schema edges 1 leads true
	// dead [] [e]
	// taken edges 1 leads true
	// share 1
	// superseded edges 1 leads false
	// share 0 newer 6
}
