package scenario

import (
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"flintspread/internal/invariants"
)

// programs builds what the days are played with.
func programs(t *testing.T) string {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "flintspread/cmd/flintspread-router", "flintspread/cmd/flintspread-controller").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// A short day with real processes: all rules kept, though relays die, are rolled, and units fail in four ways; the bad
// build goes back. That the checker would see a breach is shown in package audit.
func TestShortDay(t *testing.T) {
	script, err := Read("short-day.edn")
	if err != nil {
		t.Fatal(err)
	}
	out, err := Play(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Broken > 0 {
			t.Errorf("rule %s: %d of %d broken: %s", r.Name, r.Broken, r.Checked, strings.Join(r.First, "; "))
		}
		if r.Checked == 0 {
			t.Errorf("rule %s was never put to the test", r.Name)
		}
	}
	history := ""
	for _, h := range out.History {
		history += h.What + "\n"
	}
	if !strings.Contains(history, "build 2 goes back") {
		t.Errorf("the bad build did not go back: %s", history)
	}
	if out.Answers["acked"] < out.Asked/2 {
		t.Errorf("%v of %d tries", out.Answers, out.Asked)
	}
}

// Planners and edges are killed and paused while a bad build is judged: no answer is lost, doubled or late, and the sum of
// each relay's edges keeps the rules.
func TestPlannerDay(t *testing.T) {
	script, err := Read(PlannerDay)
	if err != nil {
		t.Fatal(err)
	}
	script.Length, script.Platform.Slack = 12, 0.15
	script.Disturb(7)
	kills := 0
	for _, e := range script.Events {
		if e.Do == "planner-killed" || e.Do == "planner-stalled" {
			kills++
		}
	}
	out, err := Play(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Broken > 0 {
			t.Errorf("rule %s: %d of %d broken: %s", r.Name, r.Broken, r.Checked, strings.Join(r.First, "; "))
		}
	}
	if kills < 2 || out.SucceededWithoutController.N == 0 {
		t.Errorf("%d kills and pauses, %d commands without a planner", kills, out.SucceededWithoutController.N)
	}
	if out.Answers["acked"] < out.Asked*9/10 {
		t.Errorf("%v of %d tries", out.Answers, out.Asked)
	}
}

// Versions of the settings come faster than one can look, some of them bad, to planners and their edges: the bad ones are turned
// down, the good ones taken, and no rule is broken.
func TestConfigStorm(t *testing.T) {
	script, err := Read(PlannerDay)
	if err != nil {
		t.Fatal(err)
	}
	script.Length, script.Platform.Slack, script.Storm = 6, 0.15, &Storm{Every: 0.7}
	out, err := Play(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !out.Kept() {
		t.Errorf("%+v", out.Rules)
	}
	v, relays := out.Versions, script.Relays
	good := v.Sent - v.Bad
	// The last one may be on its way when the day ends.
	if v.Bad == 0 || v.Taken > relays*good || v.Taken < relays*(good-1) || v.TurnedDown > relays*v.Bad || v.TurnedDown < relays*(v.Bad-1) {
		t.Error(v)
	}
}

// The checker is not blind to real traffic: the same record, one delivery told twice, is a breach.
func TestCheckerSeesTraffic(t *testing.T) {
	script, err := Read("short-day.edn")
	if err != nil {
		t.Fatal(err)
	}
	script.Length, script.Events = 1.5, nil
	file := programs(t)
	var rec *invariants.Record
	watch = func(r *invariants.Record) { rec = r }
	defer func() { watch = func(*invariants.Record) {} }()
	if _, err := Play(script, file, t.TempDir(), io.Discard); err != nil {
		t.Fatal(err)
	}
	for _, d := range rec.Attempts {
		if c := rec.Commands[d.RequestID]; c.Idempotency == invariants.NonIdempotent {
			again := *d
			again.At += 0.001
			rec.Attempts = append(rec.Attempts, &again)
			break
		}
	}
	if rep := invariants.Check(rec, script.bounds()); rep.Kept() {
		t.Error("a second delivery went unseen")
	}
}

func TestReadScript(t *testing.T) {
	if _, err := Read(BadDay); err != nil {
		t.Error(err)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none.edn")); err == nil {
		t.Error("read nothing")
	}
}

// A scanned parcel from its client through the relay's decisions to a sort box and back, with all the rules, while the query servers
// lie, fall silent, disagree and fail in every other way; a box fails its probes and serves well, and a build answers fast but
// wrongly.
func TestHealthDay(t *testing.T) {
	script, err := Read(HealthDay)
	if err != nil {
		t.Fatal(err)
	}
	script.Length, script.Platform.Slack = 12, 0.15
	var rec *invariants.Record
	watch = func(r *invariants.Record) { rec = r }
	defer func() { watch = func(*invariants.Record) {} }()
	out, err := Play(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Broken > 0 {
			t.Errorf("rule %s: %d of %d broken: %s", r.Name, r.Broken, r.Checked, strings.Join(r.First, "; "))
		}
	}
	if _, back := out.BackAfter(2); !back {
		t.Errorf("the wrong build did not go back: %v", out.History)
	}
	// One parcel, followed by what the sockets saw alone: its command reached one box of the earlier build once, and the box's
	// answer, the right one, reached the client in time.
	followed := 0
	of := map[uint64][]*invariants.Attempt{}
	perUnit := map[uint32]int{}
	for _, d := range rec.Attempts {
		of[d.RequestID] = append(of[d.RequestID], d)
		perUnit[d.Endpoint]++
	}
	for id, c := range rec.Commands {
		list := of[id]
		if c.Class != "seal-gate" || len(c.Answers) != 1 || c.Answers[0].Kind != "acked" || len(list) != 1 {
			continue
		}
		d, a := list[0], c.Answers[0]
		if d.Endpoint != a.Endpoint || d.At < c.Asked || a.At < d.At || a.At > c.Deadline || rec.Endpoints[d.Endpoint] == nil {
			t.Errorf("command %d: asked %.3f, delivered %.3f to %d, answered %.3f by %d, due %.3f", id, c.Asked, d.At, d.Endpoint, a.At, a.Endpoint, c.Deadline)
		}
		followed++
	}
	if followed < 50 {
		t.Errorf("%d parcels followed", followed)
	}
	// The box that fails its probes, the last place's at the start, kept its part of the traffic.
	mean := 0
	for u := range uint32(script.Units.Places) {
		mean += perUnit[u+1]
	}
	mean /= script.Units.Places
	if n := perUnit[uint32(script.Units.Places)]; n < mean/2 {
		t.Errorf("the unit that fails its probes got %d deliveries, %d is the mean", n, mean)
	}
}

// A unit that answers fast but wrongly loses its traffic while the query servers see it, and keeps it where there are none.
func TestWrongUnitLosesTraffic(t *testing.T) {
	part := func(with bool) float64 {
		script, err := Read(WitnessDay)
		if err != nil {
			t.Fatal(err)
		}
		script.Length, script.Platform.Slack, script.Release.WrongAnswerReportShare = 6, 0.15, 0.01
		script.Events = []Event{{At: 0.5, Do: "answers-wrong", Part: 0.08, By: 0.6, For: 6}}
		if !with {
			script.Queries = nil
		}
		var rec *invariants.Record
		watch = func(r *invariants.Record) { rec = r }
		defer func() { watch = func(*invariants.Record) {} }()
		out, err := Play(script, programs(t), t.TempDir(), io.Discard)
		if err != nil || !out.Kept() {
			t.Fatal(err, out)
		}
		all, its, first := 0, 0, rec.Attempts[0].At
		for _, d := range rec.Attempts {
			if d.At < first+2.5 {
				continue
			}
			all++
			if d.Endpoint == uint32(script.Units.Places) {
				its++
			}
		}
		return float64(its) / float64(all)
	}
	with, without := part(true), part(false)
	t.Logf("part of the deliveries: %.3f with query servers, %.3f without", with, without)
	if with > without/2 {
		t.Errorf("part of the deliveries: %.3f with query servers, %.3f without", with, without)
	}
}
