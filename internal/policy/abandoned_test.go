package policy

import (
	"fmt"
	"testing"
)

// An abandoned request is remembered if an attempt may have run or is in flight and a second run could have a second
// effect, for a bounded time and up to a bounded number.
func TestAbandonedRequests(t *testing.T) {
	config := &Config{Classes: []RequestClass{{Idempotency: NonIdempotent}, {Idempotency: Idempotent},
		{Idempotency: IdempotentWithKey, DedupScope: DedupAll}, {Idempotency: IdempotentWithKey, DedupScope: DedupZone}}}
	mayHaveRun, inFlight, neverRan := Attempt{MayHaveRun: true}, Attempt{InFlight: true}, Attempt{}
	for i, test := range []struct {
		class    int
		attempts []Attempt
		want     bool
	}{
		{0, nil, false},
		{0, []Attempt{neverRan}, false},
		{0, []Attempt{neverRan, mayHaveRun}, true},
		{0, []Attempt{inFlight}, true},
		{1, []Attempt{mayHaveRun}, false},
		{2, []Attempt{inFlight}, false},
		{3, []Attempt{inFlight}, true},
	} {
		var abandoned AbandonedRequests
		abandoned.Add(1, "a", &Request{Class: test.class, Config: config, Attempts: test.attempts})
		if got := abandoned.MayHaveRun(1+abandonedMemorySeconds, "a"); got != test.want {
			t.Errorf("case %d: %v, want %v", i, got, test.want)
		}
		if abandoned.MayHaveRun(2+abandonedMemorySeconds, "a") {
			t.Errorf("case %d: still remembered after %g s", i, 1+abandonedMemorySeconds)
		}
	}
	var abandoned AbandonedRequests
	for i := range 3 * maxAbandonedIDs {
		abandoned.Add(1, fmt.Sprint(i), &Request{Config: config, Attempts: []Attempt{mayHaveRun}})
	}
	if len(abandoned.recent.ids) != maxAbandonedIDs || !abandoned.MayHaveRun(1, fmt.Sprint(3*maxAbandonedIDs-1)) || abandoned.MayHaveRun(1, "0") {
		t.Errorf("%d ids are remembered, want the newest %d", len(abandoned.recent.ids), maxAbandonedIDs)
	}
}
