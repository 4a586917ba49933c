package scenario

import (
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"flintspread/internal/invariants"
)

// programs builds the programs that scenarios are played with, and gives their folder.
func programs(t *testing.T) string {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "flintspread/cmd/flintspread-router", "flintspread/cmd/flintspread-controller").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// A short scenario with real processes: all rules are kept, though relays die and are restarted, and endpoints fail in four ways; the
// bad build is rolled back. That the checker would see a breach is shown in package invariants.
func TestShortDay(t *testing.T) {
	script, err := Read("short-day.edn")
	if err != nil {
		t.Fatal(err)
	}
	out, err := Run(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Violations > 0 {
			t.Errorf("rule %s: %d of %d broken: %s", r.Name, r.Violations, r.Checked, strings.Join(r.FirstViolations, "; "))
		}
		if r.Checked == 0 {
			t.Errorf("rule %s was never put to the test", r.Name)
		}
	}
	history := ""
	for _, h := range out.History {
		history += h.Description + "\n"
	}
	if !strings.Contains(history, "build 2 goes back") {
		t.Errorf("the bad build was not rolled back: %s", history)
	}
	if out.Answers["acked"] < out.Requests/2 {
		t.Errorf("%v of %d tries", out.Answers, out.Requests)
	}
}

// Controllers and routers are killed and paused while a bad build is judged: no answer is lost, doubled or late, and the sum of each
// relay's routers keeps the rules.
func TestPlannerDay(t *testing.T) {
	script, err := Read(PlannerDay)
	if err != nil {
		t.Fatal(err)
	}
	script.LengthSeconds, script.Platform.SlackSeconds = 12, 0.15
	script.AddProcessFaults(7)
	kills := 0
	for _, e := range script.Events {
		if e.Kind == "planner-killed" || e.Kind == "planner-stalled" {
			kills++
		}
	}
	out, err := Run(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Violations > 0 {
			t.Errorf("rule %s: %d of %d broken: %s", r.Name, r.Violations, r.Checked, strings.Join(r.FirstViolations, "; "))
		}
	}
	if kills < 2 || out.SucceededWithoutController.N == 0 {
		t.Errorf("%d kills and pauses, %d requests without a controller", kills, out.SucceededWithoutController.N)
	}
	if out.Answers["acked"] < out.Requests*9/10 {
		t.Errorf("%v of %d tries", out.Answers, out.Requests)
	}
}

// Configuration versions come quickly, some of them bad, to controllers and their routers: the bad ones are rejected, the good ones
// accepted, and no rule is broken.
func TestConfigStorm(t *testing.T) {
	script, err := Read(PlannerDay)
	if err != nil {
		t.Fatal(err)
	}
	script.LengthSeconds, script.Platform.SlackSeconds, script.ConfigStorm = 6, 0.15, &ConfigStorm{IntervalSeconds: 0.7}
	out, err := Run(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !out.Passed() {
		t.Errorf("%+v", out.Rules)
	}
	v, relays := out.Versions, script.Relays
	good := v.Sent - v.Bad
	// The last one may be on its way when the scenario ends.
	if v.Bad == 0 || v.Accepted > relays*good || v.Accepted < relays*(good-1) || v.Rejected > relays*v.Bad || v.Rejected < relays*(v.Bad-1) {
		t.Error(v)
	}
}

// The checker is not blind to real traffic: the same record with one attempt entered twice is a breach.
func TestCheckerSeesTraffic(t *testing.T) {
	script, err := Read("short-day.edn")
	if err != nil {
		t.Fatal(err)
	}
	script.LengthSeconds, script.Events = 1.5, nil
	file := programs(t)
	var rec *invariants.Record
	inspectRecord = func(r *invariants.Record) { rec = r }
	defer func() { inspectRecord = func(*invariants.Record) {} }()
	if _, err := Run(script, file, t.TempDir(), io.Discard); err != nil {
		t.Fatal(err)
	}
	for _, d := range rec.Attempts {
		if c := rec.Requests[d.RequestID]; c.Idempotency == invariants.NonIdempotent {
			again := *d
			again.At += 0.001
			rec.Attempts = append(rec.Attempts, &again)
			break
		}
	}
	if rep := invariants.Check(rec, script.bounds()); rep.Passed() {
		t.Error("a second attempt went unseen")
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

// A request from its client through a router's decisions to an endpoint and back, with all the rules, while the query servers lie, stop
// answering, disagree and fail in every other way; an endpoint fails its probes and serves well, and a build answers fast but wrongly.
func TestHealthDay(t *testing.T) {
	script, err := Read(HealthDay)
	if err != nil {
		t.Fatal(err)
	}
	script.LengthSeconds, script.Platform.SlackSeconds = 12, 0.15
	var rec *invariants.Record
	inspectRecord = func(r *invariants.Record) { rec = r }
	defer func() { inspectRecord = func(*invariants.Record) {} }()
	out, err := Run(script, programs(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Violations > 0 {
			t.Errorf("rule %s: %d of %d broken: %s", r.Name, r.Violations, r.Checked, strings.Join(r.FirstViolations, "; "))
		}
	}
	if _, back := out.RollbackAfter(2); !back {
		t.Errorf("the wrong build was not rolled back: %v", out.History)
	}
	// One request, followed by what the sockets saw alone: it reached one endpoint once, and the endpoint's answer reached the client in
	// time.
	followed := 0
	of := map[uint64][]*invariants.Attempt{}
	perEndpoint := map[uint32]int{}
	for _, d := range rec.Attempts {
		of[d.RequestID] = append(of[d.RequestID], d)
		perEndpoint[d.Endpoint]++
	}
	for id, c := range rec.Requests {
		list := of[id]
		if c.Class != "seal-gate" || len(c.Answers) != 1 || c.Answers[0].Kind != "acked" || len(list) != 1 {
			continue
		}
		d, a := list[0], c.Answers[0]
		if d.Endpoint != a.Endpoint || d.At < c.SentAt || a.At < d.At || a.At > c.Deadline || rec.Endpoints[d.Endpoint] == nil {
			t.Errorf("command %d: asked %.3f, delivered %.3f to %d, answered %.3f by %d, due %.3f", id, c.SentAt, d.At, d.Endpoint, a.At, a.Endpoint, c.Deadline)
		}
		followed++
	}
	if followed < 50 {
		t.Errorf("%d requests followed", followed)
	}
	// The endpoint that fails its probes, the last slot's at the start, kept its share of the traffic.
	mean := 0
	for u := range uint32(script.Fleet.Slots) {
		mean += perEndpoint[u+1]
	}
	mean /= script.Fleet.Slots
	if n := perEndpoint[uint32(script.Fleet.Slots)]; n < mean/2 {
		t.Errorf("the endpoint that fails its probes got %d attempts, %d is the mean", n, mean)
	}
}

// An endpoint that answers fast but wrongly loses its traffic while the query servers see it, and keeps it where there are none.
func TestWrongUnitLosesTraffic(t *testing.T) {
	share := func(with bool) float64 {
		script, err := Read(HealthComparisonDay)
		if err != nil {
			t.Fatal(err)
		}
		script.LengthSeconds, script.Platform.SlackSeconds, script.Release.WrongAnswerReportShare = 6, 0.15, 0.01
		script.Events = []Event{{At: 0.5, Kind: "answers-wrong", Share: 0.08, Amount: 0.6, Seconds: 6}}
		if !with {
			script.QueryServers = nil
		}
		var rec *invariants.Record
		inspectRecord = func(r *invariants.Record) { rec = r }
		defer func() { inspectRecord = func(*invariants.Record) {} }()
		out, err := Run(script, programs(t), t.TempDir(), io.Discard)
		if err != nil || !out.Passed() {
			t.Fatal(err, out)
		}
		all, its, first := 0, 0, rec.Attempts[0].At
		for _, d := range rec.Attempts {
			if d.At < first+2.5 {
				continue
			}
			all++
			if d.Endpoint == uint32(script.Fleet.Slots) {
				its++
			}
		}
		return float64(its) / float64(all)
	}
	with, without := share(true), share(false)
	t.Logf("share of the attempts: %.3f with query servers, %.3f without", with, without)
	if with > without/2 {
		t.Errorf("share of the attempts: %.3f with query servers, %.3f without", with, without)
	}
}
