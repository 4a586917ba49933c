package invariants

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Bounds holds the numbers behind the five rules, as the relays were told them. Slack is what two sockets' clocks may
// differ by through scheduling, s.
type Bounds struct {
	Slack      float64
	Grace      float64 // rules 3 and 5
	ColdFrom   float64
	WarmUp     float64
	FallFactor float64
	FallTime   float64
	Window     float64
	Free       float64
	Caps       []float64
	PerOp      bool
	Guarded    int
	OneWay     bool
}

// Rule is what became of one.
type Rule struct {
	Name    string   `json:"name"`
	Checked int      `json:"checked"` // cases in which it could have been broken
	Broken  int      `json:"broken"`
	First   []string `json:"first,omitempty"` // some of them
}

func (r *Rule) fail(format string, args ...any) {
	r.Broken++
	if len(r.First) < 5 {
		r.First = append(r.First, fmt.Sprintf(format, args...))
	}
}

// Report is what a record shows.
type Report struct {
	Rules    []Rule             `json:"rules"`
	Asked    int                `json:"asked"` // tries
	Answers  map[string]int     `json:"answers"`
	Service  float64            `json:"service"` // importance answered rightly within the target over importance asked
	ByOp     map[string]float64 `json:"service_by_op"`
	Wrong    int                `json:"wrong_answers"`
	PerBuild map[int]int        `json:"deliveries_by_build"`
	Alive    Times              `json:"acked_in_s"`                 // of tries whose relay was whole
	Alone    Times              `json:"acked_in_s_without_planner"` // of tries that came while the relay's planner was dead or stood still
}

// Times are quantiles of how long acked tries took, s.
type Times struct {
	N   int     `json:"n"`
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

func timesOf(all []float64) Times {
	if len(all) == 0 {
		return Times{}
	}
	sort.Float64s(all)
	at := func(q float64) float64 { return all[int(q*float64(len(all)-1))] }
	return Times{len(all), at(0.5), at(0.99)}
}

// Kept tells whether no rule was broken.
func (r *Report) Kept() bool {
	for _, x := range r.Rules {
		if x.Broken > 0 {
			return false
		}
	}
	return true
}

type checker struct {
	*Record
	Bounds
	of    map[uint64][]*Delivery // by command, in order
	whole map[string]*Life       // relays that are led
}

// Check reads a record that nobody writes any more.
func Check(rec *Record, b Bounds) *Report {
	c := &checker{rec, b, map[uint64][]*Delivery{}, map[string]*Life{}}
	for _, l := range rec.Lives {
		if c.led(l.Relay) && c.whole[l.Relay] == nil {
			c.whole[l.Relay] = &Life{Relay: l.Relay}
		}
	}
	sort.SliceStable(rec.Deliveries, func(i, j int) bool { return rec.Deliveries[i].At < rec.Deliveries[j].At })
	for _, d := range rec.Deliveries {
		c.of[d.Command] = append(c.of[d.Command], d)
	}
	rep := &Report{Rules: []Rule{c.answers(), c.effects(), c.drains(), c.cold(), c.exposure()}}
	c.service(rep)
	return rep
}

func (c *checker) commands() []*Command {
	list := make([]*Command, 0, len(c.Commands))
	for _, cmd := range c.Commands {
		list = append(list, cmd)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Asked < list[j].Asked })
	return list
}

// led tells whether a relay is edges that a planner leads. Their sum counts then, over all their processes: what a dead one
// spent is the relay's still.
func (c *checker) led(relay string) bool {
	return slices.ContainsFunc(c.Lives, func(l *Life) bool { return l.Planner && l.Relay == relay })
}

// life is the process at a time that answers for a relay's rules 3 and 5; of one that is led, the relay as a whole.
func (c *checker) life(relay string, at float64) *Life {
	if whole := c.whole[relay]; whole != nil {
		return whole
	}
	var found *Life
	for _, l := range c.Lives {
		if l.Relay == relay && l.From <= at && (l.To == 0 || at <= l.To) {
			found = l
		}
	}
	return found
}

// linkTime is how long a planner has to live on, running, after it was told something, for its edges to know it too, s.
const linkTime = 0.3

// learned gives when a relay is taken to have learned what it was told at a time, and whether that is sure: a planner
// that was killed at once may have told nobody, one that stood still knew nothing until it went on.
func (c *checker) learned(relay string, at float64) (float64, bool) {
	if c.whole[relay] == nil {
		return at, true
	}
	sure := false
	for _, l := range c.Lives {
		if !l.Planner || l.Relay != relay || l.From > at || l.To > 0 && l.To < at {
			continue
		}
		for moved := true; moved; {
			moved = false
			for _, s := range l.Stalls {
				if s[0] <= at+linkTime && at < s[1] {
					at, moved = s[1], true
				}
			}
		}
		sure = l.To == 0 || l.To > at+linkTime
	}
	return at, sure
}

// notRunning tells whether the process that had a command was killed, or stood still: then it owes no answer in time. Of a
// killed one the client saw the connection break just then.
func (c *checker) notRunning(cmd *Command) bool {
	for _, l := range c.Lives {
		if l.Relay != cmd.Relay || l.Planner {
			continue
		}
		// Written to an idle connection in the moment that a draining relay closed it, and met no unit: never accepted.
		if l.Stopping > 0 && cmd.Broken >= l.Stopping && cmd.Broken-cmd.Asked < c.Slack && len(c.of[cmd.ID]) == 0 {
			return true
		}
		if l.Killed && cmd.Broken > 0 && math.Abs(cmd.Broken-l.To) < 0.5 {
			return true
		}
		for _, s := range l.Stalls {
			if s[0] <= cmd.Due && s[1] >= cmd.Asked-c.Slack {
				return true
			}
		}
	}
	return false
}

// alone tells whether a command came while its relay's planner was dead or stood still.
func (c *checker) alone(cmd *Command) bool {
	if c.whole[cmd.Relay] == nil {
		return false
	}
	for _, l := range c.Lives {
		if !l.Planner || l.Relay != cmd.Relay || cmd.Asked < l.From || l.To > 0 && cmd.Asked > l.To {
			continue
		}
		return slices.ContainsFunc(l.Stalls, func(s [2]float64) bool { return s[0] <= cmd.Asked && cmd.Asked <= s[1] })
	}
	return true
}

// answers is rule 1.
func (c *checker) answers() Rule {
	r := Rule{Name: "1 final answer"}
	for _, cmd := range c.commands() {
		if cmd.Unreached {
			continue
		}
		r.Checked++
		final := math.Inf(1)
		switch n := len(cmd.Answers); {
		case n > 1:
			r.fail("command %d got %d answers", cmd.ID, n)
		case n == 0 && cmd.Left == 0 && !c.notRunning(cmd):
			r.fail("command %d to %s at %.3f got no answer until %.3f (connection closed at %.3f)",
				cmd.ID, cmd.Relay, cmd.Asked, cmd.Due, cmd.Broken)
		case n == 1:
			a := cmd.Answers[0]
			final = a.At
			if a.Kind == "" {
				r.fail("command %d got an answer of no kind", cmd.ID)
			}
			if a.At > cmd.Due+c.Slack && !c.notRunning(cmd) {
				r.fail("command %d was answered %.3f s after its client's time", cmd.ID, a.At-cmd.Due)
			}
		}
		for _, d := range c.of[cmd.ID] {
			if d.At > final+c.Slack {
				r.fail("command %d was delivered to unit %d %.3f s after its answer", cmd.ID, d.Unit, d.At-final)
			}
		}
	}
	for _, s := range c.Stray {
		r.fail("%s", s)
	}
	return r
}

// effects is rule 2.
func (c *checker) effects() Rule {
	r := Rule{Name: "2 effects"}
	for _, cmd := range c.commands() {
		if cmd.Effect == Redeliverable {
			continue
		}
		r.Checked++
		var ran *Delivery // the first that may have run
		for _, d := range c.of[cmd.ID] {
			if ran != nil && cmd.Effect == AtMostOnce {
				r.fail("at-most-once command %d went to unit %d, %.3f s after it may have run on unit %d",
					cmd.ID, d.Unit, d.At-ran.At, ran.Unit)
			}
			if ran != nil && cmd.Effect == Deduplicated {
				if d.At > ran.At+cmd.Window+c.Slack {
					r.fail("deduplicated command %d was repeated after %.3f s", cmd.ID, d.At-ran.At)
				}
				u, v := c.Units[ran.Unit], c.Units[d.Unit]
				if cmd.Group == "zone" && u.Zone != v.Zone || cmd.Group == "cell" && u.Cell != v.Cell {
					r.fail("deduplicated command %d was repeated outside its %s", cmd.ID, cmd.Group)
				}
			}
			if d.Never == 0 && ran == nil {
				ran = d
			}
		}
		nacked := len(cmd.Answers) == 1 && cmd.Answers[0].Kind == "nacked"
		if nacked && ran != nil && (cmd.Effect == AtMostOnce || cmd.Group != "all") {
			r.fail("%s command %d was nacked though it may have run on unit %d", cmd.Effect, cmd.ID, ran.Unit)
		}
	}
	return r
}

// drains is rule 3: by what this life of the relay was told.
func (c *checker) drains() Rule {
	r := Rule{Name: "3 drains"}
	type pair struct {
		relay string
		unit  uint32
	}
	told := map[pair][]Told{}
	for _, t := range c.Told {
		r.Checked += one(!t.Ready)
		learnedAt, sure := c.learned(t.Relay, t.At)
		if !sure && !t.Ready {
			continue
		}
		t.At = learnedAt
		told[pair{t.Relay, t.Unit}] = append(told[pair{t.Relay, t.Unit}], t)
	}
	for _, d := range c.Deliveries {
		cmd := c.Commands[d.Command]
		life := c.life(cmd.Relay, cmd.Asked)
		if life == nil {
			continue
		}
		since := 0.0
		for _, t := range told[pair{cmd.Relay, d.Unit}] {
			switch {
			case t.At > d.At || t.At < life.From:
			case t.Ready:
				since = 0
			case since == 0:
				since = t.At
			}
		}
		if since > 0 && d.At > since+c.Grace+c.Slack {
			r.fail("%s delivered to unit %d %.3f s after it was told that the unit drains or is gone", cmd.Relay, d.Unit, d.At-since)
		}
	}
	return r
}

func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// ramp is the least part of its capacity that a unit has at a time.
func (c *checker) ramp(u *Unit, at float64) float64 {
	if c.WarmUp <= 0 || at-u.Start >= c.WarmUp {
		return 1
	}
	return c.ColdFrom + (1-c.ColdFrom)*max(0, at-u.Start)/c.WarmUp
}

// cold is rule 4.
func (c *checker) cold() Rule {
	r := Rule{Name: "4 cold units"}
	by := map[uint32][]*Delivery{}
	for _, d := range c.Deliveries {
		by[d.Unit] = append(by[d.Unit], d)
	}
	for id, u := range c.Units {
		list, sum, from := by[id], 0.0, 0
		for i, d := range list {
			for sum += d.Work; list[from].At < d.At-c.FallTime; from++ {
				sum -= list[from].Work
			}
			if d.At-u.Start > c.WarmUp {
				break
			}
			r.Checked++
			if most := c.FallFactor * u.Capacity * c.ramp(u, d.At) * c.FallTime; i > 0 && sum > most {
				r.fail("unit %d, %.2f s old, was sent %.2f s of work within %.1f s; %.2f at most", id, d.At-u.Start, sum, c.FallTime, most)
			}
		}
		if u.Fell > 0 {
			r.fail("unit %d fell over %.2f s after its start", id, u.Fell-u.Start)
		}
	}
	return r
}

// term is what binds a life of a relay from a moment on.
type term struct {
	at           float64
	build, stage int
	phase        string
	cap          float64
	unsure       bool // it may not have reached the edges: what was told before may hold on
}

// exposure is rule 5: after each trial delivery the window that ends with it is counted.
func (c *checker) exposure() Rule {
	r := Rule{Name: "5 exposure"}
	type bucket struct {
		life *Life
		op   string
	}
	taken, tried := map[bucket][]float64{}, map[bucket][]float64{}
	in := func(l *Life, op string) bucket {
		if !c.PerOp {
			op = ""
		}
		return bucket{l, op}
	}
	for _, cmd := range c.commands() {
		if l := c.life(cmd.Relay, cmd.Asked); l != nil && !cmd.Unreached {
			b := in(l, cmd.Op)
			taken[b] = append(taken[b], cmd.Asked)
		}
	}
	oldest := math.MaxInt
	for _, u := range c.Units {
		oldest = min(oldest, u.Build)
	}
	acked := map[*Life]map[string]ackedBy{}
	for _, d := range c.Deliveries {
		cmd, u := c.Commands[d.Command], c.Units[d.Unit]
		life := c.life(cmd.Relay, cmd.Asked)
		if life == nil || d.At > cmd.Due+c.Slack {
			continue
		}
		now, loose, since := c.terms(life, u.Build, d.At, oldest)
		c.keys(&r, acked, life, cmd, u, d)
		if now == nil {
			continue
		}
		r.Checked++
		b := in(life, cmd.Op)
		tried[b] = append(tried[b], d.At)
		from := max(d.At-c.Window, since)
		n := len(tried[b]) - sort.SearchFloat64s(tried[b], from)
		came := len(taken[b]) - sort.SearchFloat64s(taken[b], d.At-c.Window-c.Slack)
		for i := len(taken[b]) - 1; i >= 0 && taken[b][i] > d.At; i-- {
			came--
		}
		if most := c.Free + loose.cap*float64(came); float64(n) > most+1e-9 {
			r.fail("%s sent build %d (stage %d, cap %.2f) %d deliveries in the window up to %.3f; %.1f at most of %d commands",
				cmd.Relay, u.Build, loose.stage, loose.cap, n, d.At, most, came)
		}
		if loose.cap == 0 {
			r.fail("%s delivered to build %d at cap 0", cmd.Relay, u.Build)
		}
		if loose.stage < c.Guarded && cmd.Effect != Redeliverable {
			r.fail("%s sent a %s command to build %d in guarded stage %d", cmd.Relay, cmd.Effect, u.Build, loose.stage)
		}
	}
	return r
}

// terms gives what binds a life for a build at a time: nil where the build is not on trial. loose is the loosest that
// held within the grace; since is when the last lower cap began to bind.
func (c *checker) terms(life *Life, build int, at float64, oldest int) (now, loose *term, since float64) {
	first := term{at: life.From, build: -1, stage: 0, cap: c.Caps[0]}
	list := []term{first}
	for _, n := range c.News {
		if n.Relay == life.Relay && n.At >= life.From && n.At <= at {
			t := term{n.At, n.Build, n.Stage, n.Phase, n.Cap, false}
			known, sure := c.learned(life.Relay, n.At)
			// What loosens may be used from when it was told, what tightens binds from when it is known for sure.
			t.unsure = !sure || known > at
			list = append(list, t)
		}
	}
	trial := func(t term) *term {
		switch {
		case t.build < 0 && build <= oldest, t.build >= 0 && build < t.build, build == t.build && t.phase == "released":
			return nil
		case build > t.build:
			return &term{t.at, build, 0, "on-trial", c.Caps[0], t.unsure}
		}
		return &t
	}
	now = trial(list[len(list)-1])
	if now == nil {
		return nil, nil, 0
	}
	loose = now
	// What held until the grace ago may still be in use.
	for i, t := range list {
		x := trial(t)
		ends := math.Inf(1)
		for _, next := range list[i+1:] {
			if !next.unsure {
				ends, _ = c.learned(life.Relay, next.at)
				break
			}
		}
		if ends+c.Grace+c.Slack < at {
			continue
		}
		if x == nil {
			return nil, nil, 0
		}
		if x.cap > loose.cap {
			loose = x
		}
	}
	for i := 1; i < len(list); i++ {
		a, b := trial(list[i-1]), trial(list[i])
		known, _ := c.learned(life.Relay, list[i].at)
		if b != nil && (a == nil || a.cap > b.cap) && !list[i].unsure && known+c.Grace <= at {
			since = known + c.Grace
		}
	}
	return now, loose, since
}

type ackedBy struct {
	build int
	at    float64
}

// keys is the one-way part of rule 5, of one life: what a killed relay remembered is gone.
func (c *checker) keys(r *Rule, acked map[*Life]map[string]ackedBy, life *Life, cmd *Command, u *Unit, d *Delivery) {
	if !c.OneWay || cmd.Key == "" {
		return
	}
	of := acked[life]
	if of == nil {
		of = map[string]ackedBy{}
		acked[life] = of
	}
	if b, ok := of[cmd.Key]; ok && u.Build < b.build && d.At > b.at+c.Slack && !c.wentBack(cmd.Relay, b.build, d.At) {
		r.fail("%s sent key %q to build %d after build %d had answered it", cmd.Relay, cmd.Key, u.Build, b.build)
	}
	if len(cmd.Answers) == 1 && cmd.Answers[0].Kind == "acked" && cmd.Answers[0].Unit == d.Unit && u.Build > of[cmd.Key].build {
		of[cmd.Key] = ackedBy{u.Build, cmd.Answers[0].At}
	}
}

func (c *checker) wentBack(relay string, build int, at float64) bool {
	for _, n := range c.News {
		if n.Relay == relay && n.At <= at && n.Build == build && (n.Phase == "going-back" || n.Phase == "withdrawn") {
			return true
		}
	}
	return false
}

// service counts what clients got: by the first asking of each command, over all its tries.
func (c *checker) service(rep *Report) {
	rep.Answers, rep.ByOp, rep.PerBuild = map[string]int{}, map[string]float64{}, map[int]int{}
	type sum struct{ asked, got float64 }
	var all sum
	ops := map[string]*sum{}
	var alive, alone []float64
	defer func() { rep.Alive, rep.Alone = timesOf(alive), timesOf(alone) }()
	for _, cmd := range c.Commands {
		rep.Asked++
		kind := "none"
		if cmd.Unreached {
			kind = "unreached"
		} else if cmd.Left > 0 {
			kind = "left"
		}
		good := false
		if len(cmd.Answers) > 0 {
			kind = cmd.Answers[0].Kind
			if took := cmd.Answers[0].At - cmd.Asked; kind == "acked" && c.alone(cmd) {
				alone = append(alone, took)
			} else if kind == "acked" {
				alive = append(alive, took)
			}
			good = kind == "acked" && !cmd.Wrong && cmd.Answers[0].At-cmd.First <= cmd.Target
		}
		rep.Answers[kind]++
		if cmd.Wrong {
			rep.Wrong++
		}
		o := ops[cmd.Op]
		if o == nil {
			o = &sum{}
			ops[cmd.Op] = o
		}
		for _, s := range []*sum{&all, o} {
			if cmd.FinalTry {
				s.asked += cmd.Importance
			}
			if good {
				s.got += cmd.Importance
			}
		}
	}
	rep.Service = all.got / max(all.asked, 1e-9)
	for name, o := range ops {
		rep.ByOp[name] = o.got / max(o.asked, 1e-9)
	}
	for _, d := range c.Deliveries {
		rep.PerBuild[c.Units[d.Unit].Build]++
	}
}
