package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// TermsHash names the terms that an edge and its planner must share. What only one of them reads is left out.
func TermsHash(t policy.Terms) uint64 {
	t.ConnIdle, t.Led = 0, false
	return xxhash.Sum64String(fmt.Sprintf("%+v", t))
}

// count fills a digest.
func (e *Edge) count(d *linkpb.Digest) {
	c := e.relay.Counted()
	e.led.say(d)
	d.MarksNo = e.marksNo.Load()
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
		line := &releases.News{Version: v.StageNo, Build: int(v.Build), Stage: int(v.Stage), Phase: v.Phase, Cap: v.Cap, Age: v.StageAge}
		if err := e.news(line); err != nil {
			e.log.Error("news in a view", "error", err)
		} else {
			e.remember(line)
		}
	}
	e.led.view(v)
	if v.HasMarks || v.MarksNo == 0 && e.marksNo.Load() > 0 { // none: the planner was started anew, or without a health source
		marks := make([]policy.Mark, 0, len(v.Marks))
		for _, m := range v.Marks {
			marks = append(marks, policy.Mark{Unit: m.Unit, Wrong: float64(m.Wrong), Ailing: float64(m.Ailing)})
		}
		e.relay.Marked(v.MarksAge, marks)
		e.marksNo.Store(v.MarksNo)
	}
	e.relay.Follow(int(v.VerdictBuild), policy.Verdict(v.Verdict), v.Share, until)
}

// viewList takes a view's list, or that the one there is still holds.
func (e *Edge) viewList(v *linkpb.View) error {
	line := &endpoints.Line{Version: v.ListNo, Full: v.HasList, Age: max(0, wall()-v.ListAt)}
	for _, u := range v.Units {
		line.Units = append(line.Units, endpoints.Unit{ID: u.Id, Addr: u.Addr, State: u.State, Build: int(u.Build), Zone: uint16(u.Zone),
			Cell: uint16(u.Cell), Heft: u.Heft, Start: u.Start})
	}
	return e.takeList(line)
}

// remembered is the last news on disk: an edge that is started anew while its planner is away has no other.
type remembered struct {
	News releases.News `json:"news"`
	At   float64       `json:"at"` // when it was confirmed, s since 1970
}

const confirmEvery = 1.0 // s between writings of the same news

func (e *Edge) newsFile() string { return filepath.Join(e.set.StateDir, "news.json") }

// remember keeps news on disk. It is called by the link's goroutine alone.
func (e *Edge) remember(line *releases.News) {
	now := wall()
	if line.Version == e.kept.News.Version && now < e.kept.At+confirmEvery {
		return
	}
	e.kept = remembered{*line, now}
	text, err := json.Marshal(e.kept)
	if err == nil {
		err = endpoints.Replace(e.newsFile(), text)
	}
	if err != nil {
		e.log.Error("news not saved", "error", err)
	}
}

// recall gives the relay the news of the process before, which judges by its age whether it counts. A file that can't be read
// is no news.
func (e *Edge) recall() {
	text, err := os.ReadFile(e.newsFile())
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var k remembered
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err == nil {
		err = k.News.Check(len(e.set.Release.Stages))
	}
	if err != nil {
		e.log.Error("last news", "error", err)
		return
	}
	ago := max(0, wall()-k.At)
	e.log.Info("last news", "build", k.News.Build, "stage", k.News.Stage, "phase", k.News.Phase, "confirmed", fmt.Sprintf("%.1fs ago", ago))
	e.newest = k.News.Version
	e.relay.Recall(k.News.Build, k.News.Stage, k.News.PhaseOf(), k.News.Cap, k.News.Age, ago)
}
