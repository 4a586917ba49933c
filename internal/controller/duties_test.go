package controller

import (
	"io"
	"log/slog"
	"testing"

	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// A planner that is late reads one digest in some and asks no queries, and still knows which edges live, and votes.
func TestLatePlanner(t *testing.T) {
	p := newPlanner(exampleSet(t), slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	p.begin(1, SavedState{})
	p.box = &releases.VoteSender{Relay: "r1", URL: "http://127.0.0.1:1", Log: p.log}
	p.box.Open()
	p.mu.Lock()
	(&endpoints.Update{Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Build: 1, State: "ready"}, {ID: 2, Build: 1, State: "ready"},
		{ID: 3, Build: 2, State: "ready"}, {ID: 4, Build: 2, State: "ready"}}}).ApplyTo(p.b, p.now())
	p.enter(releases.Update{Version: 4, Build: 2, Phase: "on-trial", Cap: 0.2}, p.now())
	p.turnAt = p.now() - 2 // as after two seconds of standing still
	p.duties(p.now())
	p.mu.Unlock()
	if p.every.Load() < 2 {
		t.Fatal(p.every.Load())
	}
	for seq := uint64(1); seq < 8; seq++ {
		if r := p.digest(bad(seq)); r != lease.Accepted {
			t.Fatal(r)
		}
	}
	if p.skipped.Load() != 7 || p.leader.RouterCount() != 1 {
		t.Errorf("%d skipped, %d edges", p.skipped.Load(), p.leader.RouterCount())
	}
	p.digest(bad(8))
	p.mu.Lock()
	v := p.b.TickController(p.now()).Verdict
	p.mu.Unlock()
	if v != policy.VoteRollback {
		t.Error("no vote on the digest that was read")
	}
	p.turn()
	p.turn()
	if p.every.Load() != 1 {
		t.Errorf("reads one in %d at ease", p.every.Load())
	}
}
