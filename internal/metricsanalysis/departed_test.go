package metricsanalysis

import (
	"testing"

	"pgregory.net/rapid"
)

// totalOutcomes returns the outcomes in evidence, over all endpoints, and the failures among them.
func (d *driver) totalOutcomes() (total counts) {
	for _, sample := range d.analyzer.Evidence(d.now).Samples {
		total = total.plus(counts{sample.Outcomes[failedKind], sample.Failures[failedKind]})
	}
	return total
}

// Guards against evidence that counts twice: an endpoint that left the list for a moment was taken for one that had just
// started when it was listed again, and all that its process had ever counted was counted once more. It may also return to a
// list whose endpoints serve a newer build, or so late that its last values are forgotten.
func TestEndpointThatLeavesAndReturnsIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(1, Query{Name: "errors", FailureKind: failedKind, StaleAfterSeconds: 1e9})
		others := []Endpoint{{1, 7, 0}}
		process := Endpoint{13, 8, 1001}
		listed := append([]Endpoint{process}, others...)
		d.apply(0, 1, 7, [3]float64{1000, 0, 0}) // the process starts after the first result
		var total, last counts
		for range rapid.IntRange(1, 20).Draw(t, "scrapes") {
			d.now += 1 + 700*float64(rapid.IntRange(0, 1).Draw(t, "long away"))
			for range rapid.IntRange(0, 2).Draw(t, "times away") {
				d.analyzer.SetEndpoints(others)
				if rapid.Bool().Draw(t, "another endpoint departs, which forgets old values") {
					d.analyzer.SetEndpoints([]Endpoint{{2, 7, 0}})
				}
				d.analyzer.SetEndpoints(listed)
			}
			total.outcomes += 10
			total.failures += float64(rapid.IntRange(0, 10).Draw(t, "failures"))
			d.apply(0, 13, 8, [3]float64{d.now, total.outcomes, total.failures})
			d.apply(0, 1, 7, [3]float64{d.now, 0, 0})
			counted := d.totalOutcomes()
			if counted.outcomes > total.outcomes || counted.failures > total.failures || counted.outcomes < last.outcomes {
				t.Fatalf("%+v counted after %+v; the process counts %+v", counted, last, total)
			}
			last = counted
		}
	})
}

// An endpoint that was away for a short time is counted in full; one that returns under a newer build only from then on.
func TestCountersOfReturningEndpoint(t *testing.T) {
	d := newDriver(1, Query{Name: "errors", FailureKind: failedKind, StaleAfterSeconds: 1e9})
	d.apply(0, 1, 7, [3]float64{1000, 0, 0})
	listed := []Endpoint{{1, 7, 0}, {13, 8, 1001}}
	leaveAndReturn := func(between func()) {
		d.analyzer.SetEndpoints(listed[:1])
		between()
		d.analyzer.SetEndpoints(listed)
	}
	check := func(what string, want counts) {
		t.Helper()
		if got := d.totalOutcomes(); got != want {
			t.Errorf("%s: counted %+v, want %+v", what, got, want)
		}
	}
	d.analyzer.SetEndpoints(listed)
	d.now = 1002
	d.apply(0, 13, 8, [3]float64{1002, 40, 10})
	check("started after the first result", counts{40, 10})
	leaveAndReturn(func() {})
	d.now = 1003
	d.apply(0, 13, 8, [3]float64{1003, 50, 11})
	check("listed again", counts{50, 11})
	leaveAndReturn(func() { d.analyzer.SetRelease(9) })
	d.now = 1004
	d.apply(0, 13, 8, [3]float64{1004, 60, 12})
	check("listed again, with a newer build", counts{0, 0})
	d.now = 1005
	d.apply(0, 13, 8, [3]float64{1005, 65, 13})
	check("next value", counts{5, 1})
}
