package policy

import "testing"

// Guards against a second effect by a client's retry: a rejection promised that a retry is harmless, and told the client to wait
// until after endpoints had forgotten the key.
func TestRejectionOfKeyedRequestEndsWithinItsWindow(t *testing.T) {
	const sentAt, window = 100.0, 1.5
	for _, test := range []struct {
		name        string
		class       RequestClass
		mayHaveRun  bool
		answerAfter float64
		want        Decision
	}{
		{"early", RequestClass{Idempotency: IdempotentWithKey, DedupWindowSeconds: window}, true, 0.3, Decision{Action: Reject, RetryAfterSeconds: 0.6, RetryBySeconds: 1.2}},
		{"late", RequestClass{Idempotency: IdempotentWithKey, DedupWindowSeconds: window}, true, 1.3, Decision{Action: Reject, RetryAfterSeconds: 0.1, RetryBySeconds: 0.2}},
		{"after the window", RequestClass{Idempotency: IdempotentWithKey, DedupWindowSeconds: window}, true, 1.6, Decision{Action: Fail}},
		{"never ran", RequestClass{Idempotency: IdempotentWithKey, DedupWindowSeconds: window}, false, 1.6, Decision{Action: Reject, RetryAfterSeconds: 1}},
		{"needs no key", RequestClass{Idempotency: Idempotent, DedupWindowSeconds: window}, true, 1.6, Decision{Action: Reject, RetryAfterSeconds: 1}},
	} {
		f := newFleet(nil)
		r := &Request{Config: &Config{MaxRetryAfterSeconds: 1, TimerResolutionSeconds: 0.005, Classes: []RequestClass{test.class}},
			Attempts: []Attempt{{StartedAt: sentAt, MayHaveRun: test.mayHaveRun}}}
		got := f.b.finalAnswer(sentAt+test.answerAfter, r)
		near := func(a, b float64) bool { return a-b < timeToleranceSeconds && b-a < timeToleranceSeconds }
		if got.Action != test.want.Action || !near(got.RetryAfterSeconds, test.want.RetryAfterSeconds) || !near(got.RetryBySeconds, test.want.RetryBySeconds) {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// Guards against a second effect by a client's second retry: each retry is a new request, and its rejection counted the window
// from its own attempts, though endpoints remember the key from the first run.
func TestSecondRejectionOfAKey(t *testing.T) {
	f := newFleet(func(config *Config) {
		config.Classes[1].DedupWindowSeconds, config.Classes[1].LatencyObjectiveSeconds = 1.5, 0.3
	})
	firstSentAt := f.now
	reject := func() Decision {
		r := &Request{Class: 1, IdempotencyKey: 7, ReceivedAt: f.now, Deadline: f.now + 0.75}
		if decision := f.pick(r); decision.Action != Send {
			return decision
		}
		f.now += 0.5 // later than the objective
		return f.answer(r, ConnectionLost)
	}
	first := reject()
	if first.Action != Reject || first.RetryBySeconds != 1 {
		t.Fatalf("first: %+v, want a rejection for 1 s", first)
	}
	f.now += first.RetryAfterSeconds
	second := reject()
	if left := firstSentAt + 1.5 - f.now; second.Action != Fail && second.RetryBySeconds > left {
		t.Errorf("second: %+v, want no more than the %.2f s that are left of the window", second, left)
	}
	f.now = firstSentAt + 1.495 // so near to its end that an attempt might come after it
	if third := reject(); third.Action != Fail {
		t.Errorf("third: %+v, want fail", third)
	}
	if f.now = firstSentAt + 2; len(f.b.rejectedKeys.oldest) != 1 || f.b.rejectedKeys.until(f.now, 7) != 0 {
		t.Errorf("after the window: %d keys are remembered, recognised until %g", len(f.b.rejectedKeys.oldest), f.b.rejectedKeys.until(f.now, 7))
	}
	for key := range uint64(2 * maxRejectedKeys) {
		f.b.rejectedKeys.add(f.now, key+1, f.now+1)
	}
	if n := len(f.b.rejectedKeys.recognisedUntil); n != maxRejectedKeys || len(f.b.rejectedKeys.oldest) != n {
		t.Errorf("%d keys are remembered, want %d", n, maxRejectedKeys)
	}
}
