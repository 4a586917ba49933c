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
	followed Head
	parts    Parts
}

type mDigest struct {
	edge                 string
	life, seq, following uint64
}

type mView struct {
	edge  string
	head  Head
	parts Parts
	share float64
	life  float64
}

type machine struct {
	now     float64
	lives   uint64
	epoch   uint64
	leader  *Leader
	truth   Parts // of the list service and the installer
	planner Parts // what the planner has of it; from its disk it may be old
	edges   []*mEdge
	digests []mDigest
	views   []mView
	taken   []float64
	tried   []float64
}

func (m *machine) startEdge(i int) {
	m.lives++
	t := policy.Terms{Balancers: 1, BackVotes: 1, Round: 0.001, Deliveries: 1, Cancel: true, MaxPause: 1, ConnIdle: 15, Streams: 100,
		Ops:      []policy.OpType{{Target: 0.5, Timeout: 1, Importance: 1}},
		ColdFrom: 1, FallFactor: 3, FallTime: 2, Window: mWindow, Free: mFree, Caps: []float64{mCap, 1}, Stages: []float64{0.1, 1},
		HarmPrice: 1, StalePrice: 1, Reported: 1, VoteLife: 10, VoteTimeout: 1, VoteRate: 20, Led: true}
	b := policy.New(t, m.lives, m.now)
	b.ListStart(true)
	for id := range uint32(8) { // nearly all run the trial build: all is sent there that may be
		b.Listed(id+1, 0, 0, 1+min(1, int(id)), policy.Ready, 1, 0)
	}
	b.ListEnd(m.now)
	m.edges[i] = &mEdge{name: fmt.Sprint("e", i), life: m.lives, f: NewFollower(m.lives), b: b}
}

func (m *machine) startPlanner(behind float64) {
	m.epoch++
	m.leader = NewLeader(m.epoch, mLife, mWindow, 1, m.now)
	m.planner = Parts{ListAt: max(0, m.truth.ListAt-behind), StageNo: m.truth.StageNo / 2}
}

// command is one that comes to an edge; where it goes to the trial build, that counts.
func (m *machine) command(t *rapid.T, e *mEdge) {
	e.cmds++
	c := &policy.Command{ID: e.cmds, Came: m.now, Due: m.now + 1}
	m.taken = append(m.taken, m.now)
	s := e.b.Pick(m.now, c)
	if s.Do != policy.Send {
		return
	}
	c.Sent = append(c.Sent, policy.Delivery{Unit: s.Unit, At: m.now, Maybe: true})
	c.Ended = true
	e.b.After(m.now, c, s.Unit, policy.Acked, 0.01)
	if s.Unit == 1 {
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
	r, list, stage := e.f.Accept(v.head, v.parts)
	if r != Taken {
		return
	}
	if h := e.followed; v.head.Life != e.life || v.head.Epoch < h.Epoch || v.head.Epoch == h.Epoch && v.head.Number <= h.Number {
		t.Fatalf("%s of life %d followed %v, then %v", e.name, e.life, h, v.head)
	}
	if list && v.parts.ListAt <= e.parts.ListAt || stage && v.parts.StageNo < e.parts.StageNo {
		t.Fatalf("%s had %v and took %v", e.name, e.parts, v.parts)
	}
	e.followed = v.head
	if list {
		e.parts.ListAt = v.parts.ListAt
	}
	if stage {
		e.parts.StageNo = v.parts.StageNo
	}
	e.b.Follow(0, policy.VoteNone, v.share, e.f.Until(v.life))
}

// beats is whole round trips of some edges, as on an ordinary day.
func (m *machine) beats(t *rapid.T, edges []*mEdge, n int) {
	for range n {
		m.now += 0.5
		for _, e := range edges {
			life, seq, following := e.f.Digest(m.now)
			if m.leader.Digest(m.now, SchemaMajor, e.name, life, seq, following) == Taken {
				h, share, lease := m.leader.View(m.now, e.name)
				m.take(t, mView{e.name, h, m.planner, share, lease})
			}
		}
		m.leader.Dead(m.now)
		if out := m.leader.Lent(m.now); out > 1+1e-9 {
			t.Fatalf("parts out sum to %v", out)
		}
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: 100, edges: make([]*mEdge, 3), truth: Parts{ListAt: 100, StageNo: 1}}
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
				life, seq, following := e.f.Digest(m.now)
				m.digests = append(m.digests, mDigest{e.name, life, seq, following})
			},
			"digest arrives": func(t *rapid.T) { // any of those ever sent, as often as may be
				if len(m.digests) > 0 {
					d := m.digests[rapid.IntRange(0, len(m.digests)-1).Draw(t, "which")]
					m.leader.Digest(m.now, SchemaMajor, d.edge, d.life, d.seq, d.following)
				}
			},
			"view": func(t *rapid.T) {
				e := edge(t)
				h, share, lease := m.leader.View(m.now, e.name)
				m.views = append(m.views, mView{e.name, h, m.planner, share, lease})
			},
			"view arrives": func(t *rapid.T) {
				if len(m.views) > 0 {
					m.take(t, m.views[rapid.IntRange(0, len(m.views)-1).Draw(t, "which")])
				}
			},
			"news":    func(*rapid.T) { m.truth = Parts{m.now, m.truth.StageNo + 1}; m.planner = m.truth },
			"edge":    func(t *rapid.T) { m.startEdge(rapid.IntRange(0, 2).Draw(t, "edge")) },
			"planner": func(t *rapid.T) { m.startPlanner(rapid.Float64Range(0, 3600).Draw(t, "behind")) },
		})
	})
}

// A link as it is on an ordinary day, and at its turns.
func Example_ledger() {
	l := NewLedger(1, 4, 0)
	show := func(now float64, who string, alive int) {
		fmt.Printf("%4.1f s, %d alive: %s gets %.2f, out %.2f\n", now, alive, who, l.Lend(now, who, alive), l.Out(now))
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
	f.Have(50)
	life, seq, _ := f.Digest(100)
	accept := func(what string, h Head, p Parts) {
		r, list, stage := f.Accept(h, p)
		epoch, number := f.Follows()
		fmt.Printf("%s: %v, list %t, stage %t; follows %d/%d, lease until %.1f\n", what, r, list, stage, epoch, number, f.Until(1))
	}
	h := Head{SchemaMajor, 3, 1, life, seq}
	accept("first", h, Parts{60, 4})
	accept("again", h, Parts{60, 4})
	h.Number = 2
	accept("its list is from its disk", h, Parts{40, 3})
	h.Number, h.Life = 3, 6
	accept("for the process before", h, Parts{70, 5})
	h.Life, h.Echo = 7, 9
	accept("answers what was never sent", h, Parts{70, 5})
	h = Head{SchemaMajor, 2, 99, life, seq}
	accept("an earlier planner, late", h, Parts{80, 6})
	h.Epoch, h.Number = 4, 1
	accept("the next planner", h, Parts{80, 4})
	h.Major = 2
	accept("another schema", h, Parts{90, 7})
	for range 100 {
		f.Digest(200)
	}
	accept("answers too old a digest", Head{SchemaMajor, 4, 2, life, seq}, Parts{90, 7})
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
		fmt.Println(l.Digest(now, major, "e", life, seq, following), "edges", l.Edges(), "leads", l.Leads())
	}
	say(1, 1, 7, 1, 0)
	say(1.1, 1, 7, 1, 5)
	say(1.2, 1, 8, 1, 0)
	say(1.3, 1, 7, 2, 5)
	say(1.4, 2, 8, 2, 5)
	fmt.Println("dead", l.Dead(2), l.Dead(2.3))
	say(6, 1, 8, 3, 5)
	_, share, _ := l.View(6, "e")
	fmt.Println("share", share)
	say(6.1, 1, 8, 4, 6)
	_, share, _ = l.View(6.2, "e")
	fmt.Println("share", share, "newer", l.Newer())
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
