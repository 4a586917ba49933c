package controller

import (
	"testing"

	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// A controller whose ticks are late uses the samples of only one report in several, but still votes and counts the
// routers as alive.
func TestLateControllerSkipsReports(t *testing.T) {
	controller := newController(exampleSettings(t), discardLog(), nil)
	controller.restore(1, SavedState{})
	controller.voteSender = &releases.VoteSender{RouterGroup: "r1", URL: "http://127.0.0.1:1", Log: controller.log}
	controller.voteSender.Open()
	controller.mu.Lock()
	(&endpoints.Update{Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Build: 1, State: "ready"}, {ID: 2, Build: 1, State: "ready"},
		{ID: 3, Build: 2, State: "ready"}, {ID: 4, Build: 2, State: "ready"}}}).ApplyTo(controller.balancer, controller.now())
	controller.applyRelease(releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}, controller.now())
	controller.nextTickAt = controller.now() - 2 // the next tick is two seconds late
	controller.shedLoad(controller.now())
	controller.mu.Unlock()
	if controller.reportStride.Load() < 2 {
		t.Fatalf("the samples of one report in %d are used, want fewer", controller.reportStride.Load())
	}
	// The controller is late enough to skip the samples of all but every eighth report.
	for sequence := uint64(1); sequence < 8; sequence++ {
		if reason := controller.acceptReport(canaryFailureReport(sequence)); reason != lease.Accepted {
			t.Fatal(reason)
		}
	}
	if controller.reportsSkipped.Load() != 7 || controller.leader.RouterCount() != 1 {
		t.Errorf("%d reports skipped, want 7; %d routers alive, want 1", controller.reportsSkipped.Load(), controller.leader.RouterCount())
	}
	controller.acceptReport(canaryFailureReport(8))
	controller.mu.Lock()
	verdict := controller.balancer.TickAndVote(controller.now()).Verdict
	controller.mu.Unlock()
	if verdict != policy.VoteRollback {
		t.Error("no rollback vote after the report whose samples were used; verdict", verdict)
	}
	controller.tick() // still late; sets the time of the next tick
	controller.tick() // not late
	if controller.reportStride.Load() != 1 {
		t.Errorf("the samples of only one report in %d are used although the ticks are no longer late", controller.reportStride.Load())
	}
}
