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

// remove removes endpoints with an update as it results from a full list that no longer names them: the entries hold
// nothing but the id.
func (f *fleet) remove(ids ...uint32) {
	f.b.BeginEndpointList(false)
	for _, id := range ids {
		f.b.UpdateEndpoint(id, 0, 0, 0, Gone, 0, 0)
	}
	f.b.EndEndpointList(f.now)
}

// Guards against a second effect: the entry of an endpoint that left the list holds no cell, and a retry was sent to the
// endpoints of cell 0, which do not recognise the key.
func TestRetryStaysInCellOfEndpointThatLeft(t *testing.T) {
	f := newFleet(func(config *Config) { config.Classes[1].DedupScope = DedupCell })
	f.list(true, endpointEntry{id: 1, build: 7}, endpointEntry{id: 2, build: 7}, endpointEntry{id: 4, build: 7}) // only 1 is in cell 1
	r := f.pickUntilEndpoint(t, 1, 1)
	f.remove(1)
	f.now += 0.02
	if decision := f.answer(r, ServerError); decision.Action != Hold {
		t.Errorf("decision %v, endpoint %d; want the request to be held", decision, decision.Endpoint)
	}
}

// Guards against a key that goes back to an earlier build: the answer of a canary that had left the list meanwhile was
// remembered as that of build 0, the build of its last entry.
func TestKeyAnsweredByEndpointThatLeft(t *testing.T) {
	f := newFleet(func(config *Config) { config.OneWayKeys, config.CanaryLimits = true, []float64{1, 1, 1} })
	f.list(true, endpointEntry{id: 5, build: 8})
	f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
	const key = 99
	send := func() (*Request, Decision) {
		r := &Request{Key: key, ReceivedAt: f.now, Deadline: f.now + 0.8}
		return r, f.pick(r)
	}
	r, _ := send()
	f.list(false, endpointEntry{id: 1, build: 7})
	f.remove(5)
	f.now += 0.02
	f.answer(r, Succeeded)
	if _, decision := send(); decision.Action != Hold {
		t.Errorf("decision %v, endpoint %d; want the request to be held, since only build 7 is left", decision, decision.Endpoint)
	}
}

// Guards against evidence on the wrong build: the errors of a canary that had left the list meanwhile were counted as those
// of build 0, and so of the baseline.
func TestOutcomeOfEndpointThatLeftCountsForItsBuild(t *testing.T) {
	f := newFleet(nil)
	f.list(true, endpointEntry{id: 5, build: 8})
	f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
	r, _ := f.request(0)
	f.remove(5)
	f.now += 0.02
	f.answer(r, ServerError)
	samples := f.b.LocalEvidence(f.now).Samples
	if len(samples) != 1 || samples[0].Endpoint != 5 || samples[0].Build != 8 || samples[0].Failures[serverError] != 1 {
		t.Errorf("samples %+v, want one error of endpoint 5 with build 8", samples)
	}
}

// place lists one endpoint as ready, in a cell.
func (f *fleet) place(id uint32, cell uint16, build int, startedAt float64) {
	f.b.BeginEndpointList(false)
	f.b.UpdateEndpoint(id, 0, cell, build, Ready, 1, startedAt)
	f.b.EndEndpointList(f.now)
}

// Guards against a second effect: an endpoint was listed in another cell after an attempt that may have run there, and the
// retry went to that cell. Where the list is late, the attempt may have run in either cell.
func TestRetryAfterEndpointWasListedInAnotherCell(t *testing.T) {
	const sentAt, failedAt = 100.1, 100.2
	for _, test := range []struct {
		name      string
		build     int
		startedAt float64
		want      uint32 // endpoint of the retry; 0: none
	}{
		{"moved", 7, 50, 0},
		{"restarted before the attempt, the list was late", 7, sentAt - 0.05, 0},
		{"restarted during the attempt", 7, sentAt + 0.05, 0},
		{"replaced by another build at an unknown time", 8, 0, 0},
		{"restarted after the attempt", 7, failedAt + 0.05, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(func(config *Config) {
				config.Classes[1].DedupScope, config.Classes[1].DedupWindowSeconds = DedupCell, 10
			})
			f.list(true)
			f.place(1, 1, 7, 50)
			f.now = sentAt
			r, _ := f.request(1)
			f.place(4, 3, 7, 50)
			f.now = failedAt
			decision := f.answer(r, ServerError) // no other endpoint is in the cell
			f.now += 0.1
			f.place(1, 2, test.build, test.startedAt)
			f.place(2, 1, 7, 50)
			f.place(3, 2, 7, 50)
			if decision.Action == Hold {
				decision = f.pick(r)
			}
			if decision.Endpoint != test.want {
				t.Errorf("decision %v, endpoint %d, want endpoint %d", decision, decision.Endpoint, test.want)
			}
		})
	}
}

// Guards against a key that goes back to an earlier build: the answer of a canary that had been replaced in place meanwhile
// was remembered as that of its successor.
func TestKeyAnsweredByProcessThatWasReplaced(t *testing.T) {
	f := newFleet(func(config *Config) { config.OneWayKeys = true })
	f.list(true, endpointEntry{id: 5, build: 8, startedAt: 50})
	f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
	r := &Request{Key: 99, ReceivedAt: f.now, Deadline: f.now + 0.8}
	f.pick(r)
	f.list(false, endpointEntry{id: 5, build: 7, startedAt: f.now})
	f.now += 0.02
	f.answer(r, Succeeded)
	if build := f.b.buildByKey[99]; build != 8 {
		t.Errorf("the key is remembered as answered by build %d, want 8", build)
	}
}

// Guards against judging a restarted endpoint by its previous process: attempts that were lost when the endpoint was restarted
// counted as failures of the new process, for its health and for its build.
func TestOutcomeOfReplacedProcess(t *testing.T) {
	for _, startedAt := range []float64{0, 102} { // 0: the list does not say when
		f := newFleet(nil)
		f.list(true, endpointEntry{id: 5, build: 7, startedAt: 50})
		f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
		f.now = 101
		r, _ := f.request(0)
		f.tickFor(9)
		f.list(false, endpointEntry{id: 5, build: 8, startedAt: startedAt})
		f.answer(r, ConnectionLost)
		if score := f.b.outlierScore(f.now, f.b.endpointByID[5]); score != 0 {
			t.Errorf("start %g: the new process has outlier score %g, want 0", startedAt, score)
		}
		if samples := f.b.LocalEvidence(f.now).Samples; len(samples) != 0 {
			t.Errorf("start %g: samples %+v, want none", startedAt, samples)
		}
	}
}

// An outcome counts for the process that a late list names, if that had started before the attempt was sent.
func TestOutcomeUnderLateList(t *testing.T) {
	f := newFleet(nil)
	f.list(true, endpointEntry{id: 5, build: 7, startedAt: 50})
	f.b.ApplyRelease(f.now, 8, 2, PhaseCanary, 1, 0)
	f.now = 103
	r, _ := f.request(0)
	f.now = 104
	f.list(false, endpointEntry{id: 5, build: 8, startedAt: 101})
	f.answer(r, ServerError)
	if score := f.b.outlierScore(f.now, f.b.endpointByID[5]); score != failureWeight {
		t.Errorf("outlier score %g, want %g", score, failureWeight)
	}
	samples := f.b.LocalEvidence(f.now).Samples
	if len(samples) != 1 || samples[0].Build != 8 || samples[0].Failures[serverError] != 1 {
		t.Errorf("samples %+v, want one error of build 8", samples)
	}
}

// Guards against a request that waits for a process which no longer exists: answers of its successor counted as a sign that
// the attempt was still being worked on.
func TestAttemptAtReplacedProcessIsUnresponsive(t *testing.T) {
	f := newFleet(func(config *Config) { config.Classes[0].LatencyObjectiveSeconds = 0.6 })
	f.run(40, 2, succeed)
	f.list(true, endpointEntry{id: 1, build: 7, startedAt: 50})
	r, decision := f.request(0)
	f.now += 0.01
	f.list(true, endpointEntry{id: 1, build: 7, startedAt: f.now}, endpointEntry{id: 2, build: 7})
	f.tickFor(2 * (decision.PickAgainAt - f.now))
	f.b.endpointByID[1].lastAnswerAt = f.now - 0.01
	if decision := f.pick(r); !decision.CancelInFlight {
		t.Errorf("decision %v, want cancel", decision)
	}
}

// Guards against a second effect: an endpoint left the list, was forgotten while a request that it may have run was held, and
// came back in another cell as an endpoint that nothing was known of.
func TestEndpointIsForgottenAndListedInAnotherCell(t *testing.T) {
	f := newFleet(func(config *Config) {
		config.Classes[1].LatencyObjectiveSeconds, config.Classes[1].DedupScope, config.Classes[1].DedupWindowSeconds = 8, DedupCell, 12
		config.ForgetEndpointSeconds = 1
	})
	f.list(true)
	f.place(1, 1, 7, 50)
	r := &Request{Class: 1, ReceivedAt: f.now, Deadline: f.now + 10}
	f.pick(r)
	f.remove(1)
	f.now += 0.1
	f.answer(r, ServerError)
	f.tickFor(3)
	f.place(1, 2, 7, 50)
	f.place(2, 1, 7, 50)
	f.place(3, 2, 7, 50)
	if decision := f.pick(r); decision.Action != Hold {
		t.Errorf("decision %v, endpoint %d; want the request to be held, since it may have run in either cell", decision, decision.Endpoint)
	}
}

// Guards against a second effect: endpoints that are in no cell counted as being in the same one, and a retry was sent from one
// to another, which does not recognise the key. The endpoint itself does.
func TestRetryBetweenEndpointsInNoCell(t *testing.T) {
	for _, other := range []bool{true, false} {
		f := newFleet(func(config *Config) { config.Classes[1].DedupScope, config.AllowHedging = DedupCell, true })
		f.list(true)
		f.place(1, noGroup, 7, 50)
		r, _ := f.request(1)
		if other {
			f.remove(1)
			f.place(2, noGroup, 7, 50)
		}
		f.now += 0.02
		want := map[bool]Action{true: Hold, false: Send}[other]
		if decision := f.answer(r, ServerError); decision.Action != want {
			t.Errorf("another endpoint %v: decision %v, endpoint %d, want action %d", other, decision, decision.Endpoint, want)
		}
	}
}

// Guards against requests that fail though a retry is possible: endpoints that had left the list counted as alternatives to the
// only one that is left, until they were forgotten.
func TestRetryAtTheOnlyEndpointLeft(t *testing.T) {
	f := newFleet(nil)
	f.remove(2, 3, 4)
	r, _ := f.request(0)
	f.now += 0.02
	if decision := f.answer(r, ServerError); decision.Action != Send || decision.Endpoint != 1 {
		t.Errorf("decision %v, endpoint %d, want send to endpoint 1", decision, decision.Endpoint)
	}
}
