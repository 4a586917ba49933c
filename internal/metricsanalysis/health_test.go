package metricsanalysis

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"flintspread/internal/policy"
)

const wrongKind, failedKind, slowKind = 0, 1, 3

// play is a source of some servers on one question, driven by hand.
type play struct {
	s   *Source
	now float64
}

func newPlay(servers int, q Question) *play {
	if q.Stale == 0 {
		q.Stale = 5
	}
	q.Weight, q.Skew = 1, 1
	p := &play{New([]Question{q}, servers), 1000}
	p.s.Units([]Unit{{1, 7, 0}, {2, 7, 0}, {11, 8, 900}, {12, 8, 900}})
	p.s.Release(8)
	return p
}

func (p *play) say(server int, unit uint32, build int, rows ...[3]float64) Taken {
	a := &Answer{Server: server}
	all, bad := Series{Unit: unit, Build: build}, Series{Unit: unit, Build: build}
	for _, r := range rows {
		all.Points = append(all.Points, Point{r[0], r[1]})
		bad.Points = append(bad.Points, Point{r[0], r[2]})
	}
	a.All, a.Bad = []Series{all}, []Series{bad}
	return p.s.Take(p.now, a)
}

func (p *play) show(name string) {
	var b strings.Builder
	for _, t := range p.s.Counted(p.now).Samples {
		for k := range t.Outcomes {
			if t.Outcomes[k] > 0 {
				fmt.Fprintf(&b, " unit %d of build %d: %.0f of %.0f %s;", t.Endpoint, t.Build, t.Failures[k], t.Outcomes[k], policy.FailureKinds[k])
			}
		}
	}
	for _, m := range p.s.Marks(p.now) {
		fmt.Fprintf(&b, " mark on %d: wrong %.2f, ailing %.2f;", m.Endpoint, m.WrongShare, m.DegradedShare)
	}
	if b.Len() == 0 {
		b.WriteString(" nothing")
	}
	fmt.Printf("%s:%s\n", name, b.String())
}

// Counters are followed from value to value, by the times that the scrapes bear.
func Example_counters() {
	q := Question{Name: "errors", Kind: failedKind}
	p := newPlay(1, q)
	p.say(0, 11, 8, [3]float64{998, 100, 50})
	p.show("first sight: what came before is of no known time")
	p.say(0, 11, 8, [3]float64{998, 100, 50}, [3]float64{999, 140, 52}, [3]float64{1000, 180, 52})
	p.show("two more scrapes, one seen before")
	t := p.say(0, 11, 8, [3]float64{1000.5, 30, 1})
	p.show(fmt.Sprintf("runs backwards, %d reset: it began anew", t.Resets))
	t = p.say(0, 11, 8, [3]float64{999, 500, 500})
	p.show(fmt.Sprintf("an older value, %d taken", t.Values))
	t = p.say(0, 11, 8, [3]float64{1000.6, math.NaN(), 0}, [3]float64{1000.7, math.Inf(1), 0}, [3]float64{1000.8, 40, -1})
	p.show(fmt.Sprintf("no numbers, %d refused", t.Refused[NoNumber]))
	t = p.say(0, 11, 8, [3]float64{1000.9, 50, 60})
	p.show(fmt.Sprintf("more failures than outcomes, %d refused", t.Refused[Nonsense]))
	t = p.say(0, 11, 8, [3]float64{1500, 1e6, 1e6})
	p.show(fmt.Sprintf("of a time to come, %d refused", t.Refused[Ahead]))
	p.now = 1003
	p.say(0, 11, 8, [3]float64{1003, 90, 3})
	p.show("after a gap in the scrapes")
	t = p.say(0, 99, 8, [3]float64{1003, 90, 3})
	p.show(fmt.Sprintf("of a unit that is not listed, %d refused", t.Refused[NoUnit]))
	t = p.say(0, 1, 8, [3]float64{1003, 90, 3})
	p.show(fmt.Sprintf("of a build that the unit does not run, %d refused", t.Refused[NoUnit]))
	p.now = 1009
	p.show("the source is silent for more than is allowed")
	t = p.say(0, 11, 8, [3]float64{1003.5, 95, 90})
	p.show(fmt.Sprintf("and then answers as of long ago, %d refused", t.Refused[Stale]))
	p.say(0, 11, 8, [3]float64{1009, 100, 3})
	p.show("and is back")
	p.s.Release(9)
	p.show("a build is offered: counts begin anew")
	// Output:
	// first sight: what came before is of no known time: nothing
	// two more scrapes, one seen before: unit 11 of build 8: 2 of 80 failed;
	// runs backwards, 1 reset: it began anew: unit 11 of build 8: 3 of 110 failed;
	// an older value, 0 taken: unit 11 of build 8: 3 of 110 failed;
	// no numbers, 3 refused: unit 11 of build 8: 3 of 110 failed;
	// more failures than outcomes, 1 refused: unit 11 of build 8: 3 of 110 failed;
	// of a time to come, 1 refused: unit 11 of build 8: 3 of 110 failed;
	// after a gap in the scrapes: unit 11 of build 8: 5 of 170 failed;
	// of a unit that is not listed, 1 refused: unit 11 of build 8: 5 of 170 failed;
	// of a build that the unit does not run, 1 refused: unit 11 of build 8: 5 of 170 failed;
	// the source is silent for more than is allowed: nothing
	// and then answers as of long ago, 1 refused: nothing
	// and is back: unit 11 of build 8: 5 of 180 failed;
	// a build is offered: counts begin anew: nothing
}

// A process that began under these eyes, one without a counter of failures yet, and one that is gone.
func Example_processes() {
	p := newPlay(1, Question{Name: "wrong", Kind: wrongKind})
	p.say(0, 1, 7, [3]float64{999, 10, 0})
	p.now = 1002
	p.s.Units([]Unit{{1, 7, 0}, {2, 7, 0}, {13, 8, 1001}})
	p.say(0, 13, 8, [3]float64{1002, 40, 10})
	p.show("began after the source was first heard: all of it counts")
	p.say(0, 1, 7, [3]float64{1002, 110, 0})
	a := &Answer{All: []Series{{13, 8, []Point{{1002.5, 60}}}, {1, 7, []Point{{1002.5, 130}}}}}
	p.now = 1002.5
	p.s.Take(p.now, a)
	p.show("the answer on failures names nobody: none are new")
	a.All = append(a.All, a.All[0])
	t := p.s.Take(p.now, a)
	fmt.Println("a unit twice in one answer, refused:", t.Refused[Doubled])
	p.s.Units([]Unit{{2, 7, 0}, {14, 8, 1002}})
	p.show("both left the list: what they did, they did")
	p.now = 1003
	p.say(0, 14, 8, [3]float64{1003, 20, 6})
	p.show("another of the build comes")
	// Output:
	// began after the source was first heard: all of it counts: unit 13 of build 8: 10 of 40 wrong; mark on 13: wrong 0.24, ailing 0.00;
	// the answer on failures names nobody: none are new: unit 1 of build 7: 0 of 120 wrong; unit 13 of build 8: 10 of 60 wrong; mark on 13: wrong 0.15, ailing 0.00;
	// a unit twice in one answer, refused: 1
	// both left the list: what they did, they did: unit 0 of build 7: 0 of 120 wrong; unit 0 of build 8: 10 of 60 wrong;
	// another of the build comes: unit 0 of build 7: 0 of 120 wrong; unit 0 of build 8: 10 of 60 wrong; unit 14 of build 8: 6 of 20 wrong; mark on 14: wrong 0.27, ailing 0.00;
}

// Several servers: of two the milder counts, of three the middle; a silent one says nothing.
func Example_servers() {
	run := func(name string, servers int, bad ...float64) *play {
		p := newPlay(servers, Question{Name: "errors", Kind: failedKind})
		for s, b := range bad {
			if b >= 0 {
				p.say(s, 11, 8, [3]float64{999, 0, 0}, [3]float64{1000, 100, b})
			}
		}
		p.show(name)
		fmt.Printf("  disputed: %d\n", p.s.Differ("errors"))
		return p
	}
	run("a pair agrees", 2, 30, 31)
	run("one says bad, one says well", 2, 30, 0)
	run("one says bad, one is silent", 2, 30, -1)
	run("one of three lies", 3, 90, 2, 1)
	run("two of three see it", 3, 30, 0, 28)
	p := run("a pair, both heard", 2, 0, 50)
	p.now = 1004
	p.say(1, 11, 8, [3]float64{1004, 200, 100})
	p.now = 1006 // the first was heard at 1000 last
	p.show("the mild one is silent now")
	// Output:
	// a pair agrees: unit 11 of build 8: 30 of 100 failed; mark on 11: wrong 0.00, ailing 0.29;
	//   disputed: 0
	// one says bad, one says well: unit 11 of build 8: 0 of 100 failed;
	//   disputed: 1
	// one says bad, one is silent: unit 11 of build 8: 30 of 100 failed; mark on 11: wrong 0.00, ailing 0.29;
	//   disputed: 0
	// one of three lies: unit 11 of build 8: 2 of 100 failed;
	//   disputed: 1
	// two of three see it: unit 11 of build 8: 28 of 100 failed; mark on 11: wrong 0.00, ailing 0.27;
	//   disputed: 1
	// a pair, both heard: unit 11 of build 8: 0 of 100 failed;
	//   disputed: 1
	// the mild one is silent now: unit 11 of build 8: 100 of 200 failed; mark on 11: wrong 0.00, ailing 0.30;
}

// Marks from what is no counter, and their end.
func Example_gauges() {
	mark := func(name string, q Question, v, age float64) {
		p := newPlay(1, q)
		p.now = 1000 - age
		p.s.Take(p.now, &Answer{All: []Series{{1, 7, []Point{{p.now, v}}}}})
		p.now = 1000
		p.show(name)
	}
	quantile := Question{Name: "p99", Meaning: Quantile, Limit: 0.3}
	mark("in time", quantile, 0.29, 0)
	mark("twice the limit", quantile, 0.6, 0)
	mark("twice the limit, 4 s ago", quantile, 0.6, 4)
	mark("twice the limit, too long ago", quantile, 0.6, 6)
	mark("saturated", Question{Name: "busy", Meaning: Saturation, Limit: 0.8}, 1, 0)
	mark("probe passed", Question{Name: "up", Meaning: Probe}, 1, 0)
	mark("probe failed", Question{Name: "up", Meaning: Probe}, 0, 0)
	mark("not a number", Question{Name: "up", Meaning: Probe}, math.NaN(), 0)
	// Output:
	// in time: nothing
	// twice the limit: mark on 1: wrong 0.00, ailing 0.50;
	// twice the limit, 4 s ago: mark on 1: wrong 0.00, ailing 0.18;
	// twice the limit, too long ago: nothing
	// saturated: mark on 1: wrong 0.00, ailing 0.20;
	// probe passed: nothing
	// probe failed: mark on 1: wrong 0.00, ailing 1.00;
	// not a number: nothing
}

// Whatever is answered, in whatever order and however often, nothing is counted that did not happen, nothing twice, and what
// each unit did since it was first seen is counted once its last scrape came.
func TestCountsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(1, Question{Name: "errors", Kind: failedKind, Stale: 1e9})
		// One process after the other at unit 11; a scrape each second.
		type scrape struct{ at, all, bad float64 }
		var all []scrape
		n, bad, sum, sumBad, restarts := 0.0, 0.0, 0.0, 0.0, false
		for i := range rapid.IntRange(2, 30).Draw(t, "scrapes") {
			if i > 0 && rapid.IntRange(0, 6).Draw(t, "restart") == 0 {
				n, bad, restarts = 0, 0, true
			}
			dn := float64(rapid.IntRange(0, 20).Draw(t, "outcomes"))
			db := min(dn, float64(rapid.IntRange(0, 5).Draw(t, "failures")))
			n, bad = n+dn, bad+db
			if i > 0 {
				sum, sumBad = sum+dn, sumBad+db
			}
			all = append(all, scrape{900 + float64(i), n, bad})
		}
		for from := 0; from < len(all); {
			to := min(len(all), from+rapid.IntRange(1, 5).Draw(t, "span"))
			var rows [][3]float64
			for _, s := range all[max(0, from-rapid.IntRange(0, 3).Draw(t, "again")):to] {
				rows = append(rows, [3]float64{s.at, s.all, s.bad})
			}
			p.say(0, 11, 8, rows...)
			from = to
		}
		got := policy.EndpointSample{}
		if list := p.s.Counted(p.now).Samples; len(list) > 0 {
			got = list[0]
		}
		// Unseen restarts may lose what came before them; nothing may be added.
		if got.Outcomes[failedKind] > sum || got.Failures[failedKind] > sumBad {
			t.Fatalf("counted %g of %g, happened %g of %g", got.Failures[failedKind], got.Outcomes[failedKind], sumBad, sum)
		}
		if !restarts && got.Outcomes[failedKind] != all[len(all)-1].all-all[0].all {
			t.Fatalf("counted %g, happened %g", got.Outcomes[failedKind], all[len(all)-1].all-all[0].all)
		}
	})
}

// A machine of servers that are quick, slow, sick and come back: the budget and the bounds hold at every moment, no job is
// out twice, and every job of a server that answers comes again.
func TestPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 4).Draw(t, "servers")
		b := Bounds{ASecond: rapid.Float64Range(1, 50).Draw(t, "budget"), AtOnce: rapid.IntRange(1, 8).Draw(t, "at once"), BackMost: 5}
		p := NewPace(b, servers, 0)
		var jobs []Job
		for q := range rapid.IntRange(1, 6).Draw(t, "questions") {
			for s := range servers {
				jobs = append(jobs, Job{Server: s, Question: q, Period: 1, Cost: float64(1 + q%2)})
			}
		}
		p.Jobs(0, jobs)
		took := make([]float64, servers)
		sick := make([]bool, servers)
		for s := range servers {
			took[s] = rapid.Float64Range(0.001, 2).Draw(t, "took")
			sick[s] = rapid.IntRange(0, 3).Draw(t, "sick") == 0
		}
		type out struct {
			a    Asking
			ends float64
		}
		var outs []out
		asked := map[Job]int{}
		spent, now := 0.0, 0.0
		last := map[int]float64{}
		for now < 60 {
			next := now + 1
			a, ok, wait := p.Next(now)
			if ok {
				spent += a.Cost
				if most := max(2, burst*b.ASecond) + b.ASecond*now; spent > most+1e-6 {
					t.Fatalf("at %g s %g queries, %g allowed", now, spent, most)
				}
				per := 0
				for _, o := range outs {
					if o.a.Job == a.Job {
						t.Fatalf("%+v is out twice", a.Job)
					}
					if o.a.Server == a.Server {
						per++
					}
				}
				if len(outs)+1 > b.AtOnce || per+1 > max(1, (b.AtOnce+1)/2) {
					t.Fatalf("%d out, %d at one server", len(outs)+1, per+1)
				}
				asked[a.Job]++
				last[a.Server] = now
				outs = append(outs, out{a, now + took[a.Server]})
				continue
			}
			if wait < next-now {
				next = now + wait + 1e-9
			}
			for _, o := range outs {
				next = min(next, max(now, o.ends))
			}
			now = max(next, now)
			kept := outs[:0]
			for _, o := range outs {
				if o.ends > now {
					kept = append(kept, o)
					continue
				}
				how := Answered
				if sick[o.a.Server] {
					how = Sick
				}
				p.Done(now, o.a, how, 0)
			}
			outs = kept
		}
		cost := 0.0
		for _, j := range jobs {
			cost += j.Cost
		}
		for _, j := range jobs {
			n := asked[j]
			if sick[j.Server] {
				continue
			}
			// Its fair part of the budget, its server's time and its period bound how often it came; half of that is asked for.
			least := 60 / max(1, cost/b.ASecond, slowPace*took[j.Server], float64(len(jobs))*2/float64(b.AtOnce)) / 4
			if float64(n) < math.Floor(least) {
				t.Fatalf("%+v came %d times in 60 s, %g expected at least; took %v, sick %v, %+v", j, n, least, took, sick, b)
			}
			if n > 61 || float64(n) > 2+60/(slowPace*took[j.Server]) && took[j.Server] > 0.25 {
				t.Fatalf("%+v came %d times in 60 s at %g s each", j, n, took[j.Server])
			}
		}
		for s := range servers {
			if sick[s] && len(outs) == 0 && last[s] < 60-3*(b.BackMost+took[s])-cost/b.ASecond*2 && b.ASecond > 10 {
				t.Fatalf("server %d, sick, was last asked at %g", s, last[s])
			}
		}
	})
}

// One question of a server fails, the others do not: only that one rests.
func TestOneQuestionRests(t *testing.T) {
	p := NewPace(Bounds{ASecond: 100, AtOnce: 4, BackMost: 8}, 1, 0)
	p.Jobs(0, []Job{{Question: 0, Period: 0.5, Cost: 1}, {Question: 1, Period: 0.5, Cost: 1}})
	n := [2]int{}
	for now := 0.0; now < 20; now += 0.01 {
		if a, ok, _ := p.Next(now); ok {
			n[a.Question]++
			how := Answered
			if a.Question == 1 {
				how = Declined
			}
			p.Done(now+0.001, a, how, 0)
		}
	}
	if n[0] < 35 || n[1] > 8 || n[1] < 4 {
		t.Errorf("asked %v times", n)
	}
}
