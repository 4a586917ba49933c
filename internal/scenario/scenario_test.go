package scenario

import (
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"flintspread/internal/invariants"
)

// buildPrograms builds the router and the controller, and returns their folder.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "flintspread/cmd/flintspread-router", "flintspread/cmd/flintspread-controller")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("failed to build the programs: %v: %s", err, out)
	}
	return dir
}

// TestShortScenario runs a short scenario with real processes: relays are killed and restarted, and endpoints fail in
// four ways. All rules must be kept and the bad build must be rolled back. The tests of package invariants show that
// the check detects violations.
func TestShortScenario(t *testing.T) {
	script, err := Read("short-day.edn")
	if err != nil {
		t.Fatal(err)
	}
	out, err := Run(script, buildPrograms(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Violations > 0 {
			t.Errorf("rule %s: %d violations in %d checks: %s", r.Name, r.Violations, r.Checked, strings.Join(r.FirstViolations, "; "))
		}
		if r.Checked == 0 {
			t.Errorf("rule %s was never checked", r.Name)
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
		t.Errorf("too few successful attempts: answers %v in %d attempts", out.Answers, out.Requests)
	}
}

// TestControllerAndRouterFaults kills and pauses controllers and routers during the analysis of a bad build. No answer
// may be lost, duplicated or late, and the routers of each relay must keep the rules together.
func TestControllerAndRouterFaults(t *testing.T) {
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
	out, err := Run(script, buildPrograms(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Violations > 0 {
			t.Errorf("rule %s: %d violations in %d checks: %s", r.Name, r.Violations, r.Checked, strings.Join(r.FirstViolations, "; "))
		}
	}
	if kills < 2 || out.SucceededWithoutController.N == 0 {
		t.Errorf("%d controller kills and pauses, want at least 2; %d successful requests without a controller, want some", kills, out.SucceededWithoutController.N)
	}
	if out.Answers["acked"] < out.Requests*9/10 {
		t.Errorf("too few successful attempts: answers %v in %d attempts", out.Answers, out.Requests)
	}
}

// TestConfigStorm sends valid and invalid configuration versions at short intervals to controllers. Relays must reject
// the invalid versions, accept the valid ones and keep all rules.
func TestConfigStorm(t *testing.T) {
	script, err := Read(PlannerDay)
	if err != nil {
		t.Fatal(err)
	}
	script.LengthSeconds, script.Platform.SlackSeconds, script.ConfigStorm = 6, 0.15, &ConfigStorm{IntervalSeconds: 0.7}
	out, err := Run(script, buildPrograms(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !out.Passed() {
		t.Errorf("rules were broken: %+v", out.Rules)
	}
	versions, relays := out.Versions, script.Relays
	good := versions.Sent - versions.Bad
	// A relay may not have answered the last version when the scenario ends.
	if versions.Bad == 0 || versions.Accepted > relays*good || versions.Accepted < relays*(good-1) || versions.Rejected > relays*versions.Bad || versions.Rejected < relays*(versions.Bad-1) {
		t.Errorf("wrong counts of versions on %d relays: %v", relays, versions)
	}
}

// TestCheckerDetectsDuplicateAttempt duplicates one attempt of a non-idempotent request in the record of a real run,
// and expects the check to report a violation.
func TestCheckerDetectsDuplicateAttempt(t *testing.T) {
	script, err := Read("short-day.edn")
	if err != nil {
		t.Fatal(err)
	}
	script.LengthSeconds, script.Events = 1.5, nil
	bin := buildPrograms(t)
	var rec *invariants.Record
	inspectRecord = func(r *invariants.Record) { rec = r }
	defer func() { inspectRecord = func(*invariants.Record) {} }()
	if _, err := Run(script, bin, t.TempDir(), io.Discard); err != nil {
		t.Fatal(err)
	}
	for _, attempt := range rec.Attempts {
		if request := rec.Requests[attempt.RequestID]; request.Idempotency == invariants.NonIdempotent {
			duplicate := *attempt
			duplicate.At += 0.001
			rec.Attempts = append(rec.Attempts, &duplicate)
			break
		}
	}
	if rep := invariants.Check(rec, script.bounds()); rep.Passed() {
		t.Error("a second attempt of a non-idempotent request was not reported")
	}
}

func TestReadScript(t *testing.T) {
	if _, err := Read(BadDay); err != nil {
		t.Error(err)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none.edn")); err == nil {
		t.Error("read a script from a file that does not exist")
	}
}

// TestQueryServerFaults runs a scenario in which the query servers return false data, hang, disagree and fail in other
// ways. An endpoint fails its probes but serves correctly, and a build answers fast but wrongly. All rules must be
// kept, the wrong build must be rolled back and the endpoint must keep its traffic. Single requests are traced from
// client to endpoint and back.
func TestQueryServerFaults(t *testing.T) {
	script, err := Read(HealthDay)
	if err != nil {
		t.Fatal(err)
	}
	script.LengthSeconds, script.Platform.SlackSeconds = 12, 0.15
	var rec *invariants.Record
	inspectRecord = func(r *invariants.Record) { rec = r }
	defer func() { inspectRecord = func(*invariants.Record) {} }()
	out, err := Run(script, buildPrograms(t), t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out.Rules {
		if r.Violations > 0 {
			t.Errorf("rule %s: %d violations in %d checks: %s", r.Name, r.Violations, r.Checked, strings.Join(r.FirstViolations, "; "))
		}
	}
	if _, back := out.RollbackAfter(2); !back {
		t.Errorf("the wrong build was not rolled back: %v", out.History)
	}
	// Trace requests using only the traffic recorded on the sockets: each reached one endpoint once, and the answer
	// reached the client before the deadline.
	traced := 0
	attemptsByRequest := map[uint64][]*invariants.Attempt{}
	perEndpoint := map[uint32]int{}
	for _, attempt := range rec.Attempts {
		attemptsByRequest[attempt.RequestID] = append(attemptsByRequest[attempt.RequestID], attempt)
		perEndpoint[attempt.Endpoint]++
	}
	for id, request := range rec.Requests {
		list := attemptsByRequest[id]
		if request.Class != "seal-gate" || len(request.Answers) != 1 || request.Answers[0].Kind != "acked" || len(list) != 1 {
			continue
		}
		attempt, answer := list[0], request.Answers[0]
		if attempt.Endpoint != answer.Endpoint || attempt.At < request.SentAt || answer.At < attempt.At || answer.At > request.Deadline || rec.Endpoints[attempt.Endpoint] == nil {
			t.Errorf("request %d: sent %.3f, received %.3f by endpoint %d, answered %.3f by endpoint %d, deadline %.3f", id, request.SentAt, attempt.At, attempt.Endpoint, answer.At, answer.Endpoint, request.Deadline)
		}
		traced++
	}
	if traced < 50 {
		t.Errorf("%d requests traced, want at least 50", traced)
	}
	// The endpoint that fails its probes (the one that starts in the last slot) kept its share of the traffic.
	mean := 0
	for slot := range uint32(script.Fleet.Slots) {
		mean += perEndpoint[slot+1]
	}
	mean /= script.Fleet.Slots
	if n := perEndpoint[uint32(script.Fleet.Slots)]; n < mean/2 {
		t.Errorf("the endpoint that fails its probes got %d attempts, less than half the mean of %d", n, mean)
	}
}

// TestWrongEndpointLosesTraffic has one endpoint answer fast but wrongly. With query servers it must get at most half
// the share of attempts that it gets without them.
func TestWrongEndpointLosesTraffic(t *testing.T) {
	share := func(withQueryServers bool) float64 {
		script, err := Read(HealthComparisonDay)
		if err != nil {
			t.Fatal(err)
		}
		script.LengthSeconds, script.Platform.SlackSeconds, script.Release.WrongAnswerReportShare = 6, 0.15, 0.01
		script.Events = []Event{{At: 0.5, Kind: "answers-wrong", Share: 0.08, Amount: 0.6, Seconds: 6}}
		if !withQueryServers {
			script.QueryServers = nil
		}
		var rec *invariants.Record
		inspectRecord = func(r *invariants.Record) { rec = r }
		defer func() { inspectRecord = func(*invariants.Record) {} }()
		out, err := Run(script, buildPrograms(t), t.TempDir(), io.Discard)
		if err != nil || !out.Passed() {
			t.Fatalf("run failed or broke a rule: error %v, outcome %+v", err, out)
		}
		all, ofWrongEndpoint, first := 0, 0, rec.Attempts[0].At
		for _, attempt := range rec.Attempts {
			if attempt.At < first+2.5 {
				continue
			}
			all++
			if attempt.Endpoint == uint32(script.Fleet.Slots) {
				ofWrongEndpoint++
			}
		}
		return float64(ofWrongEndpoint) / float64(all)
	}
	with, without := share(true), share(false)
	t.Logf("the wrong endpoint's share of the attempts: %.3f with query servers, %.3f without", with, without)
	if with > without/2 {
		t.Errorf("the wrong endpoint's share of the attempts: %.3f with query servers, want at most half of %.3f without", with, without)
	}
}
