package metricsanalysis

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"flintspread/internal/policy"
)

// wrongKind and failedKind are indexes into policy.FailureKindNames.
const wrongKind, failedKind = 0, 1

// driver feeds query results to an analyzer of several servers and one query.
type driver struct {
	analyzer *Analyzer
	now      float64
}

// newDriver returns a driver at time 1000, with endpoints 1 and 2 of build 7, and 11 and 12 of build 8, the newest.
func newDriver(servers int, query Query) *driver {
	if query.StaleAfterSeconds == 0 {
		query.StaleAfterSeconds = 5
	}
	query.Weight, query.MaxClockSkewSeconds = 1, 1
	d := &driver{NewAnalyzer([]Query{query}, servers), 1000}
	d.analyzer.SetEndpoints([]Endpoint{{1, 7, 0}, {2, 7, 0}, {11, 8, 900}, {12, 8, 900}})
	d.analyzer.SetRelease(8)
	return d
}

// apply applies a result for one endpoint. Each scrape holds its timestamp, outcomes and failures.
func (d *driver) apply(server int, endpoint uint32, build int, scrapes ...[3]float64) ApplySummary {
	outcomes, failures := Series{Endpoint: endpoint, Build: build}, Series{Endpoint: endpoint, Build: build}
	for _, scrape := range scrapes {
		outcomes.Points = append(outcomes.Points, Point{scrape[0], scrape[1]})
		failures.Points = append(failures.Points, Point{scrape[0], scrape[2]})
	}
	return d.analyzer.ApplyResult(d.now, &QueryResult{Server: server, Values: []Series{outcomes}, Failures: []Series{failures}})
}

// show prints the current evidence and marks after a label.
func (d *driver) show(label string) {
	var b strings.Builder
	for _, sample := range d.analyzer.Evidence(d.now).Samples {
		for kind := range sample.Outcomes {
			if sample.Outcomes[kind] > 0 {
				fmt.Fprintf(&b, " endpoint %d of build %d: %.0f of %.0f %s;", sample.Endpoint, sample.Build, sample.Failures[kind], sample.Outcomes[kind], policy.FailureKindNames[kind])
			}
		}
	}
	for _, mark := range d.analyzer.HealthMarks(d.now) {
		fmt.Fprintf(&b, " mark on %d: wrong %.2f, degraded %.2f;", mark.Endpoint, mark.WrongShare, mark.DegradedShare)
	}
	if b.Len() == 0 {
		b.WriteString(" nothing")
	}
	fmt.Printf("%s:%s\n", label, b.String())
}

// Counts are the increases of counters between scrapes, which are ordered by their timestamps. Values that are stale, of
// the future, inconsistent or not numbers do not count.
func Example_counters() {
	d := newDriver(1, Query{Name: "errors", FailureKind: failedKind})
	d.apply(0, 11, 8, [3]float64{998, 100, 50})
	d.show("first value: unknown when its outcomes were counted")
	d.apply(0, 11, 8, [3]float64{998, 100, 50}, [3]float64{999, 140, 52}, [3]float64{1000, 180, 52})
	d.show("a known scrape and two new ones")
	result := d.apply(0, 11, 8, [3]float64{1000.5, 30, 1})
	d.show(fmt.Sprintf("counter decreased: %d reset by a restart", result.CounterResets))
	result = d.apply(0, 11, 8, [3]float64{999, 500, 500})
	d.show(fmt.Sprintf("value with an older timestamp, %d accepted", result.AcceptedValues))
	result = d.apply(0, 11, 8, [3]float64{1000.6, math.NaN(), 0}, [3]float64{1000.7, math.Inf(1), 0}, [3]float64{1000.8, 40, -1})
	d.show(fmt.Sprintf("NaN, infinite and negative values, %d rejected", result.RejectedValues[RejectedInvalidNumber]))
	result = d.apply(0, 11, 8, [3]float64{1000.9, 50, 60})
	d.show(fmt.Sprintf("more failures than outcomes, %d rejected", result.RejectedValues[RejectedInconsistent]))
	result = d.apply(0, 11, 8, [3]float64{1500, 1e6, 1e6})
	d.show(fmt.Sprintf("timestamp in the future, %d rejected", result.RejectedValues[RejectedFuture]))
	d.now = 1003
	d.apply(0, 11, 8, [3]float64{1003, 90, 3})
	d.show("after a gap in the scrapes")
	result = d.apply(0, 99, 8, [3]float64{1003, 90, 3})
	d.show(fmt.Sprintf("endpoint that is not listed, %d rejected", result.RejectedValues[RejectedUnknownEndpoint]))
	result = d.apply(0, 1, 8, [3]float64{1003, 90, 3})
	d.show(fmt.Sprintf("build that the endpoint does not run, %d rejected", result.RejectedValues[RejectedUnknownEndpoint]))
	d.now = 1009
	d.show("no result for longer than StaleAfterSeconds")
	result = d.apply(0, 11, 8, [3]float64{1003.5, 95, 90})
	d.show(fmt.Sprintf("result with a stale value, %d rejected", result.RejectedValues[RejectedStale]))
	d.apply(0, 11, 8, [3]float64{1009, 100, 3})
	d.show("result with a fresh value")
	d.analyzer.SetRelease(9)
	d.show("newer build: counts are reset")
	// Output:
	// first value: unknown when its outcomes were counted: nothing
	// a known scrape and two new ones: endpoint 11 of build 8: 2 of 80 failed;
	// counter decreased: 1 reset by a restart: endpoint 11 of build 8: 3 of 110 failed;
	// value with an older timestamp, 0 accepted: endpoint 11 of build 8: 3 of 110 failed;
	// NaN, infinite and negative values, 3 rejected: endpoint 11 of build 8: 3 of 110 failed;
	// more failures than outcomes, 1 rejected: endpoint 11 of build 8: 3 of 110 failed;
	// timestamp in the future, 1 rejected: endpoint 11 of build 8: 3 of 110 failed;
	// after a gap in the scrapes: endpoint 11 of build 8: 5 of 170 failed;
	// endpoint that is not listed, 1 rejected: endpoint 11 of build 8: 5 of 170 failed;
	// build that the endpoint does not run, 1 rejected: endpoint 11 of build 8: 5 of 170 failed;
	// no result for longer than StaleAfterSeconds: nothing
	// result with a stale value, 1 rejected: nothing
	// result with a fresh value: endpoint 11 of build 8: 5 of 180 failed;
	// newer build: counts are reset: nothing
}

// Processes that started after the server's first result, have no failure counter yet, or left the endpoint list.
func Example_processes() {
	d := newDriver(1, Query{Name: "wrong", FailureKind: wrongKind})
	d.apply(0, 1, 7, [3]float64{999, 10, 0})
	d.now = 1002
	d.analyzer.SetEndpoints([]Endpoint{{1, 7, 0}, {2, 7, 0}, {13, 8, 1001}})
	d.apply(0, 13, 8, [3]float64{1002, 40, 10})
	d.show("started after the server's first result: all outcomes count")
	d.apply(0, 1, 7, [3]float64{1002, 110, 0})
	queryResult := &QueryResult{Values: []Series{{13, 8, []Point{{1002.5, 60}}}, {1, 7, []Point{{1002.5, 130}}}}}
	d.now = 1002.5
	d.analyzer.ApplyResult(d.now, queryResult)
	d.show("result without failure counters: no new failures")
	queryResult.Values = append(queryResult.Values, queryResult.Values[0])
	result := d.analyzer.ApplyResult(d.now, queryResult)
	fmt.Println("two series of one endpoint in a result, rejected:", result.RejectedValues[RejectedDuplicate])
	d.analyzer.SetEndpoints([]Endpoint{{2, 7, 0}, {14, 8, 1002}})
	d.show("both endpoints left the list: their counts are kept")
	d.now = 1003
	d.apply(0, 14, 8, [3]float64{1003, 20, 6})
	d.show("new endpoint of the same build")
	// Output:
	// started after the server's first result: all outcomes count: endpoint 13 of build 8: 10 of 40 wrong; mark on 13: wrong 0.24, degraded 0.00;
	// result without failure counters: no new failures: endpoint 1 of build 7: 0 of 120 wrong; endpoint 13 of build 8: 10 of 60 wrong; mark on 13: wrong 0.15, degraded 0.00;
	// two series of one endpoint in a result, rejected: 1
	// both endpoints left the list: their counts are kept: endpoint 0 of build 7: 0 of 120 wrong; endpoint 0 of build 8: 10 of 60 wrong;
	// new endpoint of the same build: endpoint 0 of build 7: 0 of 120 wrong; endpoint 0 of build 8: 10 of 60 wrong; endpoint 14 of build 8: 6 of 20 wrong; mark on 14: wrong 0.27, degraded 0.00;
}

// With two servers, the reading with the lower share of failures counts, with three, the middle one. Servers without
// fresh values are ignored.
func Example_servers() {
	run := func(label string, servers int, failures ...float64) *driver {
		d := newDriver(servers, Query{Name: "errors", FailureKind: failedKind})
		for server, count := range failures {
			if count >= 0 {
				d.apply(server, 11, 8, [3]float64{999, 0, 0}, [3]float64{1000, 100, count})
			}
		}
		d.show(label)
		fmt.Printf("  disputed: %d\n", d.analyzer.DisputedEndpoints("errors"))
		return d
	}
	run("two servers agree", 2, 30, 31)
	run("one of two sees failures", 2, 30, 0)
	run("one of two sees failures, the other returned no result", 2, 30, -1)
	run("one of three is far off", 3, 90, 2, 1)
	run("two of three agree", 3, 30, 0, 28)
	d := run("one of two sees failures, both are fresh", 2, 0, 50)
	d.now = 1004
	d.apply(1, 11, 8, [3]float64{1004, 200, 100})
	d.now = 1006 // the first server's last value has timestamp 1000
	d.show("the server without failures is stale")
	// Output:
	// two servers agree: endpoint 11 of build 8: 30 of 100 failed; mark on 11: wrong 0.00, degraded 0.29;
	//   disputed: 0
	// one of two sees failures: endpoint 11 of build 8: 0 of 100 failed;
	//   disputed: 1
	// one of two sees failures, the other returned no result: endpoint 11 of build 8: 30 of 100 failed; mark on 11: wrong 0.00, degraded 0.29;
	//   disputed: 0
	// one of three is far off: endpoint 11 of build 8: 2 of 100 failed;
	//   disputed: 1
	// two of three agree: endpoint 11 of build 8: 28 of 100 failed; mark on 11: wrong 0.00, degraded 0.27;
	//   disputed: 1
	// one of two sees failures, both are fresh: endpoint 11 of build 8: 0 of 100 failed;
	//   disputed: 1
	// the server without failures is stale: endpoint 11 of build 8: 100 of 200 failed; mark on 11: wrong 0.00, degraded 0.30;
}

// Gauges above their limit lead to marks, which decay and expire.
func Example_gauges() {
	mark := func(label string, query Query, value, ageSeconds float64) {
		d := newDriver(1, query)
		d.now = 1000 - ageSeconds
		d.analyzer.ApplyResult(d.now, &QueryResult{Values: []Series{{1, 7, []Point{{d.now, value}}}}})
		d.now = 1000
		d.show(label)
	}
	quantile := Query{Name: "p99", Meaning: Quantile, Limit: 0.3}
	mark("below the limit", quantile, 0.29, 0)
	mark("twice the limit", quantile, 0.6, 0)
	mark("twice the limit, 4 s old", quantile, 0.6, 4)
	mark("twice the limit, stale", quantile, 0.6, 6)
	mark("saturated", Query{Name: "busy", Meaning: Saturation, Limit: 0.8}, 1, 0)
	mark("probe passed", Query{Name: "up", Meaning: Probe}, 1, 0)
	mark("probe failed", Query{Name: "up", Meaning: Probe}, 0, 0)
	mark("not a number", Query{Name: "up", Meaning: Probe}, math.NaN(), 0)
	// Output:
	// below the limit: nothing
	// twice the limit: mark on 1: wrong 0.00, degraded 0.50;
	// twice the limit, 4 s old: mark on 1: wrong 0.00, degraded 0.18;
	// twice the limit, stale: nothing
	// saturated: mark on 1: wrong 0.00, degraded 0.20;
	// probe passed: nothing
	// probe failed: mark on 1: wrong 0.00, degraded 1.00;
	// not a number: nothing
}

// Overlapping results never count an outcome twice or one that did not happen. Without restarts, all outcomes between the
// first and the last scrape are counted.
func TestCountsMatchScrapes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(1, Query{Name: "errors", FailureKind: failedKind, StaleAfterSeconds: 1e9})
		// Endpoint 11 is scraped once a second. Its process may restart between two scrapes, which resets its counters.
		type scrape struct{ at, outcomes, failures float64 }
		var scrapes []scrape
		outcomes, failures, outcomeSum, failureSum, restarts := 0.0, 0.0, 0.0, 0.0, false
		for i := range rapid.IntRange(2, 30).Draw(t, "scrapes") {
			if i > 0 && rapid.IntRange(0, 6).Draw(t, "restart") == 0 {
				outcomes, failures, restarts = 0, 0, true
			}
			newOutcomes := float64(rapid.IntRange(0, 20).Draw(t, "outcomes"))
			newFailures := min(newOutcomes, float64(rapid.IntRange(0, 5).Draw(t, "failures")))
			outcomes, failures = outcomes+newOutcomes, failures+newFailures
			if i > 0 {
				outcomeSum, failureSum = outcomeSum+newOutcomes, failureSum+newFailures
			}
			scrapes = append(scrapes, scrape{900 + float64(i), outcomes, failures})
		}
		// Each result holds the next scrapes, and may repeat earlier ones.
		for from := 0; from < len(scrapes); {
			to := min(len(scrapes), from+rapid.IntRange(1, 5).Draw(t, "new scrapes"))
			var values [][3]float64
			for _, s := range scrapes[max(0, from-rapid.IntRange(0, 3).Draw(t, "repeated scrapes")):to] {
				values = append(values, [3]float64{s.at, s.outcomes, s.failures})
			}
			d.apply(0, 11, 8, values...)
			from = to
		}
		got := policy.EndpointSample{}
		if list := d.analyzer.Evidence(d.now).Samples; len(list) > 0 {
			got = list[0]
		}
		// A restart is not detected if the counters have passed their previous values by the next scrape. The counts
		// are too low then, but must never be too high.
		if got.Outcomes[failedKind] > outcomeSum || got.Failures[failedKind] > failureSum {
			t.Fatalf("counted %g failures of %g outcomes; scraped %g of %g", got.Failures[failedKind], got.Outcomes[failedKind], failureSum, outcomeSum)
		}
		if !restarts && got.Outcomes[failedKind] != scrapes[len(scrapes)-1].outcomes-scrapes[0].outcomes {
			t.Fatalf("counted %g outcomes, scraped %g", got.Outcomes[failedKind], scrapes[len(scrapes)-1].outcomes-scrapes[0].outcomes)
		}
	})
}
