package controller

import (
	"testing"

	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// A controller that runs late reads only one report in several and sends no queries, but still tracks live routers and
// votes.
func TestLateControllerSkipsReportsAndQueries(t *testing.T) {
	c := newController(exampleSettings(t), discardLog(), nil)
	c.restore(1, SavedState{})
	c.voteSender = &releases.VoteSender{Router: "r1", URL: "http://127.0.0.1:1", Log: c.log}
	c.voteSender.Open()
	c.mu.Lock()
	(&endpoints.Update{Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Build: 1, State: "ready"}, {ID: 2, Build: 1, State: "ready"},
		{ID: 3, Build: 2, State: "ready"}, {ID: 4, Build: 2, State: "ready"}}}).ApplyTo(c.balancer, c.now())
	c.applyRelease(releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}, c.now())
	c.nextTickAt = c.now() - 2 // as after a pause of two seconds
	c.shedLoad(c.now())
	c.mu.Unlock()
	if c.reportStride.Load() < 2 {
		t.Fatal(c.reportStride.Load())
	}
	for seq := uint64(1); seq < 8; seq++ {
		if reason := c.acceptReport(canaryFailureReport(seq)); reason != lease.Accepted {
			t.Fatal(reason)
		}
	}
	if c.reportsSkipped.Load() != 7 || c.leader.RouterCount() != 1 {
		t.Errorf("%d skipped, %d routers", c.reportsSkipped.Load(), c.leader.RouterCount())
	}
	c.acceptReport(canaryFailureReport(8))
	c.mu.Lock()
	verdict := c.balancer.TickAndVote(c.now()).Verdict
	c.mu.Unlock()
	if verdict != policy.VoteRollback {
		t.Error("no vote on the report that was read")
	}
	c.tick()
	c.tick()
	if c.reportStride.Load() != 1 {
		t.Errorf("reads one in %d once it is in time again", c.reportStride.Load())
	}
}
