package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// count fills a digest.
func (e *Router) count(d *linkpb.Digest) {
	c := e.relay.LocalEvidence()
	e.led.say(d)
	d.MarksNo = e.marksNo.Load()
	d.Build, d.Rate, d.ListAt = int32(c.Build), c.RequestsPerSecond, e.relay.EndpointsAt()
	d.Tally = make([]*linkpb.Tally, 0, len(c.Samples))
	for _, t := range c.Samples {
		x := &linkpb.Tally{Unit: t.Endpoint, Build: int32(t.Build), N: make([]float32, len(t.Outcomes)), Bad: make([]float32, len(t.Outcomes))}
		for i := range t.Outcomes {
			x.N[i], x.Bad[i] = float32(t.Outcomes[i]), float32(t.Failures[i])
		}
		d.Tally = append(d.Tally, x)
	}
}

// takeView enters a view that counts. It is called by the link's goroutine alone.
func (e *Router) takeView(v *linkpb.View, list, stage bool, until float64) {
	if list {
		if err := e.viewList(v); err != nil {
			e.log.Error("list in a view", "error", err)
		}
	}
	if stage {
		line := &releases.Update{Version: v.StageNo, Build: int(v.Build), Stage: int(v.Stage), Phase: v.Phase, Cap: v.Cap, Age: v.StageAge}
		if err := e.news(line); err != nil {
			e.log.Error("news in a view", "error", err)
		} else {
			e.remember(line)
		}
	}
	e.led.view(v)
	if v.HasMarks || v.MarksNo == 0 && e.marksNo.Load() > 0 { // none: the planner was started anew, or without a health source
		marks := make([]policy.HealthMark, 0, len(v.Marks))
		for _, m := range v.Marks {
			marks = append(marks, policy.HealthMark{Endpoint: m.Unit, WrongShare: float64(m.Wrong), DegradedShare: float64(m.Ailing)})
		}
		e.relay.SetHealthMarks(v.MarksAge, marks)
		e.marksNo.Store(v.MarksNo)
	}
	e.relay.ApplyAssignment(int(v.VerdictBuild), policy.Verdict(v.Verdict), v.Share, until)
}

// viewList takes a view's list, or that the one there is still holds.
func (e *Router) viewList(v *linkpb.View) error {
	line := &endpoints.Update{Version: v.ListNo, Full: v.HasList, Age: max(0, wall()-v.ListAt)}
	for _, u := range v.Units {
		line.Endpoints = append(line.Endpoints, endpoints.Endpoint{ID: u.Id, Addr: u.Addr, State: u.State, Build: int(u.Build), Zone: uint16(u.Zone),
			Cell: uint16(u.Cell), Weight: u.Heft, StartedAt: u.Start})
	}
	return e.takeList(line)
}

// remembered is the last news on disk: an edge that is started anew while its planner is away has no other.
type remembered struct {
	News releases.Update `json:"news"`
	At   float64         `json:"at"` // when it was confirmed, s since 1970
}

const confirmEvery = 1.0 // s between writings of the same news

func (e *Router) newsFile() string { return filepath.Join(e.set.StateDir, "news.json") }

// remember keeps news on disk. It is called by the link's goroutine alone.
func (e *Router) remember(line *releases.Update) {
	now := wall()
	if line.Version == e.kept.News.Version && now < e.kept.At+confirmEvery {
		return
	}
	e.kept = remembered{*line, now}
	text, err := json.Marshal(e.kept)
	if err == nil {
		err = endpoints.ReplaceFile(e.newsFile(), text)
	}
	if err != nil {
		e.log.Error("news not saved", "error", err)
	}
}

// recall gives the relay the news of the process before, which judges by its age whether it counts. A file that can't be read
// is no news.
func (e *Router) recall() {
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
	e.relay.RestoreRelease(k.News.Build, k.News.Stage, k.News.PolicyPhase(), k.News.Cap, k.News.Age, ago)
}
