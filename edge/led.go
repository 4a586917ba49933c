package edge

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"flintspread/link/linkpb"
	"flintspread/policy"
	"flintspread/release"
	"flintspread/roster"
)

// TermsHash names the terms that an edge and its planner must share. What only one of them reads is left out.
func TermsHash(t policy.Terms) uint64 {
	t.ConnIdle, t.Led = 0, false
	return xxhash.Sum64String(fmt.Sprintf("%+v", t))
}

// count fills a digest.
func (e *Edge) count(d *linkpb.Digest) {
	c := e.relay.Counted()
	d.Build, d.Rate, d.ListAt = int32(c.Build), c.Rate, e.relay.ListAt()
	d.Tally = make([]*linkpb.Tally, 0, len(c.Tally))
	for _, t := range c.Tally {
		x := &linkpb.Tally{Unit: t.Unit, Build: int32(t.Build), N: make([]float32, len(t.N)), Bad: make([]float32, len(t.N))}
		for i := range t.N {
			x.N[i], x.Bad[i] = float32(t.N[i]), float32(t.Bad[i])
		}
		d.Tally = append(d.Tally, x)
	}
}

// takeView enters a view that counts. It is called by the link's goroutine alone.
func (e *Edge) takeView(v *linkpb.View, list, stage bool, until float64) {
	if list {
		if err := e.viewList(v); err != nil {
			e.log.Error("list in a view", "error", err)
		}
	}
	if stage {
		line := &release.News{Version: v.StageNo, Build: int(v.Build), Stage: int(v.Stage), Phase: v.Phase, Cap: v.Cap, Age: v.StageAge}
		if err := e.news(line); err != nil {
			e.log.Error("news in a view", "error", err)
		}
	}
	e.relay.Follow(int(v.VerdictBuild), policy.Verdict(v.Verdict), v.Share, until)
}

// viewList takes a view's list, or that the one there is still holds.
func (e *Edge) viewList(v *linkpb.View) error {
	line := &roster.Line{Version: v.ListNo, Full: v.HasList, Age: max(0, wall()-v.ListAt)}
	for _, u := range v.Units {
		line.Units = append(line.Units, roster.Unit{ID: u.Id, Addr: u.Addr, State: u.State, Build: int(u.Build), Zone: uint16(u.Zone),
			Cell: uint16(u.Cell), Heft: u.Heft, Start: u.Start})
	}
	return e.takeList(line)
}
