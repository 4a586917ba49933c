package policy

import "testing"

// pickUntilEndpoint sends requests of a class until one is sent to the given endpoint, and returns it. The others succeed.
func (f *fleet) pickUntilEndpoint(t *testing.T, class int, endpointID uint32) *Request {
	t.Helper()
	for range 1000 {
		r, decision := f.request(class)
		switch {
		case decision.Action != Send:
			t.Fatalf("request was not sent: %v", decision)
		case decision.Endpoint == endpointID:
			return r
		}
		f.answer(r, Succeeded)
	}
	t.Fatalf("no request was sent to endpoint %d", endpointID)
	return nil
}

// tickFor ticks for the given seconds.
func (f *fleet) tickFor(seconds float64) {
	for end := f.now + seconds; f.now < end; {
		f.now += f.b.TickAndVote(f.now).NextTickSeconds
	}
}

// Guards against a crash: an attempt failed at an endpoint that left the list, a configuration version with a shorter time
// to remember endpoints came into force, and the endpoint was forgotten while the request still looked for another one.
func TestEndpointIsForgottenWhileRequestIsHeld(t *testing.T) {
	withForgetSeconds := func(seconds float64) *Config {
		f := newFleet(func(config *Config) {
			config.Classes[1].LatencyObjectiveSeconds, config.Classes[1].DedupScope, config.Classes[1].DedupWindowSeconds = 8, DedupCell, 12
			config.ForgetEndpointSeconds = seconds
		})
		return f.b.config
	}
	f := newFleet(nil)
	f.b.SetConfig(withForgetSeconds(600))
	f.list(true, endpointEntry{id: 1, build: 7}, endpointEntry{id: 2, build: 7}, endpointEntry{id: 4, build: 7}) // only 1 is in cell 1
	r := f.pickUntilEndpoint(t, 1, 1)
	r.Deadline = f.now + 10
	f.list(true, endpointEntry{id: 2, build: 7}, endpointEntry{id: 4, build: 7})
	f.b.SetConfig(withForgetSeconds(1))
	f.now += 0.1
	decision := f.answer(r, ServerError)
	for seconds := 0.0; decision.Action == Hold && seconds < 10; seconds += 0.1 {
		f.tickFor(0.1)
		decision = f.pick(r)
	}
	if len(f.b.endpoints) != 2 {
		t.Errorf("%d endpoints are remembered, want 2", len(f.b.endpoints))
	}
	if decision.Action != Fail || len(r.Attempts) != 1 {
		t.Errorf("decision %v after %d attempts, want fail after 1", decision, len(r.Attempts))
	}
}
