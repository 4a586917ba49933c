package controller

import (
	"testing"

	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// A controller whose ticks are late reads only one report in several, but still votes and counts the routers as alive.
func TestLateControllerSkipsReports(t *testing.T) {
	c := newController(exampleSettings(t), discardLog(), nil)
	c.restore(1, SavedState{})
	c.voteSender = &releases.VoteSender{Router: "r1", URL: "http://127.0.0.1:1", Log: c.log}
	c.voteSender.Open()
	c.mu.Lock()
	(&endpoints.Update{Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Build: 1, State: "ready"}, {ID: 2, Build: 1, State: "ready"},
		{ID: 3, Build: 2, State: "ready"}, {ID: 4, Build: 2, State: "ready"}}}).ApplyTo(c.balancer, c.now())
	c.applyRelease(releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}, c.now())
	c.nextTickAt = c.now() - 2 // the next tick is two seconds late
	c.shedLoad(c.now())
	c.mu.Unlock()
	if c.reportStride.Load() < 2 {
		t.Fatal("no reports are skipped: stride ", c.reportStride.Load())
	}
	for sequence := uint64(1); sequence < 8; sequence++ {
		if reason := c.acceptReport(canaryFailureReport(sequence)); reason != lease.Accepted {
			t.Fatal(reason)
		}
	}
	if c.reportsSkipped.Load() != 7 || c.leader.RouterCount() != 1 {
		t.Errorf("%d reports skipped, want 7; %d routers alive, want 1", c.reportsSkipped.Load(), c.leader.RouterCount())
	}
	c.acceptReport(canaryFailureReport(8))
	c.mu.Lock()
	verdict := c.balancer.TickAndVote(c.now()).Verdict
	c.mu.Unlock()
	if verdict != policy.VoteRollback {
		t.Error("no rollback vote after the report that was read; verdict", verdict)
	}
	c.tick()
	c.tick()
	if c.reportStride.Load() != 1 {
		t.Errorf("reads only one in %d reports although its ticks are in time again", c.reportStride.Load())
	}
}
