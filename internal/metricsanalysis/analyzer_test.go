package metricsanalysis

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"flintspread/internal/policy"
)

const wrongKind, failedKind, slowKind = 0, 1, 3

// driver feeds an analyzer of several servers and one question by hand.
type driver struct {
	analyzer *Analyzer
	now      float64
}

func newDriver(servers int, question Query) *driver {
	if question.StaleAfterSeconds == 0 {
		question.StaleAfterSeconds = 5
	}
	question.Weight, question.MaxClockSkewSeconds = 1, 1
	d := &driver{NewAnalyzer([]Query{question}, servers), 1000}
	d.analyzer.SetEndpoints([]Endpoint{{1, 7, 0}, {2, 7, 0}, {11, 8, 900}, {12, 8, 900}})
	d.analyzer.SetRelease(8)
	return d
}

// answer applies an answer on one endpoint. Each row is the time, outcomes and failures of a scrape.
func (d *driver) answer(server int, endpoint uint32, build int, rows ...[3]float64) ApplySummary {
	outcomes, failures := Series{Endpoint: endpoint, Build: build}, Series{Endpoint: endpoint, Build: build}
	for _, row := range rows {
		outcomes.Points = append(outcomes.Points, Point{row[0], row[1]})
		failures.Points = append(failures.Points, Point{row[0], row[2]})
	}
	return d.analyzer.ApplyResult(d.now, &QueryResult{Server: server, Values: []Series{outcomes}, Failures: []Series{failures}})
}

// show prints the current evidence and marks.
func (d *driver) show(name string) {
	var b strings.Builder
	for _, sample := range d.analyzer.Evidence(d.now).Samples {
		for kind := range sample.Outcomes {
			if sample.Outcomes[kind] > 0 {
				fmt.Fprintf(&b, " endpoint %d of build %d: %.0f of %.0f %s;", sample.Endpoint, sample.Build, sample.Failures[kind], sample.Outcomes[kind], policy.FailureKinds[kind])
			}
		}
	}
	for _, mark := range d.analyzer.HealthMarks(d.now) {
		fmt.Fprintf(&b, " mark on %d: wrong %.2f, degraded %.2f;", mark.Endpoint, mark.WrongShare, mark.DegradedShare)
	}
	if b.Len() == 0 {
		b.WriteString(" nothing")
	}
	fmt.Printf("%s:%s\n", name, b.String())
}

// Counters are tracked from value to value by the timestamps of the scrapes.
func Example_counters() {
	d := newDriver(1, Query{Name: "errors", FailureKind: failedKind})
	d.answer(0, 11, 8, [3]float64{998, 100, 50})
	d.show("first value: what came before is of no known time")
	d.answer(0, 11, 8, [3]float64{998, 100, 50}, [3]float64{999, 140, 52}, [3]float64{1000, 180, 52})
	d.show("two more scrapes, one seen before")
	result := d.answer(0, 11, 8, [3]float64{1000.5, 30, 1})
	d.show(fmt.Sprintf("runs backwards, %d reset: it began anew", result.CounterResets))
	result = d.answer(0, 11, 8, [3]float64{999, 500, 500})
	d.show(fmt.Sprintf("an older value, %d accepted", result.AcceptedValues))
	result = d.answer(0, 11, 8, [3]float64{1000.6, math.NaN(), 0}, [3]float64{1000.7, math.Inf(1), 0}, [3]float64{1000.8, 40, -1})
	d.show(fmt.Sprintf("no numbers, %d refused", result.RejectedValues[RejectedInvalidNumber]))
	result = d.answer(0, 11, 8, [3]float64{1000.9, 50, 60})
	d.show(fmt.Sprintf("more failures than outcomes, %d refused", result.RejectedValues[RejectedInconsistent]))
	result = d.answer(0, 11, 8, [3]float64{1500, 1e6, 1e6})
	d.show(fmt.Sprintf("of the future, %d refused", result.RejectedValues[RejectedFuture]))
	d.now = 1003
	d.answer(0, 11, 8, [3]float64{1003, 90, 3})
	d.show("after a gap in the scrapes")
	result = d.answer(0, 99, 8, [3]float64{1003, 90, 3})
	d.show(fmt.Sprintf("of an endpoint that is not listed, %d refused", result.RejectedValues[RejectedUnknownEndpoint]))
	result = d.answer(0, 1, 8, [3]float64{1003, 90, 3})
	d.show(fmt.Sprintf("of a build that the endpoint does not run, %d refused", result.RejectedValues[RejectedUnknownEndpoint]))
	d.now = 1009
	d.show("the server is silent for too long")
	result = d.answer(0, 11, 8, [3]float64{1003.5, 95, 90})
	d.show(fmt.Sprintf("and then answers as of long ago, %d refused", result.RejectedValues[RejectedStale]))
	d.answer(0, 11, 8, [3]float64{1009, 100, 3})
	d.show("and is back")
	d.analyzer.SetRelease(9)
	d.show("a build is offered: counts begin anew")
	// Output:
	// first value: what came before is of no known time: nothing
	// two more scrapes, one seen before: endpoint 11 of build 8: 2 of 80 failed;
	// runs backwards, 1 reset: it began anew: endpoint 11 of build 8: 3 of 110 failed;
	// an older value, 0 accepted: endpoint 11 of build 8: 3 of 110 failed;
	// no numbers, 3 refused: endpoint 11 of build 8: 3 of 110 failed;
	// more failures than outcomes, 1 refused: endpoint 11 of build 8: 3 of 110 failed;
	// of the future, 1 refused: endpoint 11 of build 8: 3 of 110 failed;
	// after a gap in the scrapes: endpoint 11 of build 8: 5 of 170 failed;
	// of an endpoint that is not listed, 1 refused: endpoint 11 of build 8: 5 of 170 failed;
	// of a build that the endpoint does not run, 1 refused: endpoint 11 of build 8: 5 of 170 failed;
	// the server is silent for too long: nothing
	// and then answers as of long ago, 1 refused: nothing
	// and is back: endpoint 11 of build 8: 5 of 180 failed;
	// a build is offered: counts begin anew: nothing
}

// A process that started while its server was being queried, one without a failure counter yet, and one that left the
// list.
func Example_processes() {
	d := newDriver(1, Query{Name: "wrong", FailureKind: wrongKind})
	d.answer(0, 1, 7, [3]float64{999, 10, 0})
	d.now = 1002
	d.analyzer.SetEndpoints([]Endpoint{{1, 7, 0}, {2, 7, 0}, {13, 8, 1001}})
	d.answer(0, 13, 8, [3]float64{1002, 40, 10})
	d.show("began after the server's first answer: all of it counts")
	d.answer(0, 1, 7, [3]float64{1002, 110, 0})
	answer := &QueryResult{Values: []Series{{13, 8, []Point{{1002.5, 60}}}, {1, 7, []Point{{1002.5, 130}}}}}
	d.now = 1002.5
	d.analyzer.ApplyResult(d.now, answer)
	d.show("no failures in the answer: none are new")
	answer.Values = append(answer.Values, answer.Values[0])
	result := d.analyzer.ApplyResult(d.now, answer)
	fmt.Println("an endpoint twice in one answer, refused:", result.RejectedValues[RejectedDuplicate])
	d.analyzer.SetEndpoints([]Endpoint{{2, 7, 0}, {14, 8, 1002}})
	d.show("both left the list: their counts stay")
	d.now = 1003
	d.answer(0, 14, 8, [3]float64{1003, 20, 6})
	d.show("another of the build comes")
	// Output:
	// began after the server's first answer: all of it counts: endpoint 13 of build 8: 10 of 40 wrong; mark on 13: wrong 0.24, degraded 0.00;
	// no failures in the answer: none are new: endpoint 1 of build 7: 0 of 120 wrong; endpoint 13 of build 8: 10 of 60 wrong; mark on 13: wrong 0.15, degraded 0.00;
	// an endpoint twice in one answer, refused: 1
	// both left the list: their counts stay: endpoint 0 of build 7: 0 of 120 wrong; endpoint 0 of build 8: 10 of 60 wrong;
	// another of the build comes: endpoint 0 of build 7: 0 of 120 wrong; endpoint 0 of build 8: 10 of 60 wrong; endpoint 14 of build 8: 6 of 20 wrong; mark on 14: wrong 0.27, degraded 0.00;
}

// Several servers: of two the milder reading counts, of three the middle one; a silent server is ignored.
func Example_servers() {
	run := func(name string, servers int, failures ...float64) *driver {
		d := newDriver(servers, Query{Name: "errors", FailureKind: failedKind})
		for server, count := range failures {
			if count >= 0 {
				d.answer(server, 11, 8, [3]float64{999, 0, 0}, [3]float64{1000, 100, count})
			}
		}
		d.show(name)
		fmt.Printf("  disputed: %d\n", d.analyzer.DisputedEndpoints("errors"))
		return d
	}
	run("a pair agrees", 2, 30, 31)
	run("one sees failures, one sees none", 2, 30, 0)
	run("one sees failures, one is silent", 2, 30, -1)
	run("one of three is wrong", 3, 90, 2, 1)
	run("two of three agree", 3, 30, 0, 28)
	d := run("a pair, both fresh", 2, 0, 50)
	d.now = 1004
	d.answer(1, 11, 8, [3]float64{1004, 200, 100})
	d.now = 1006 // the first server last answered at 1000
	d.show("the milder one is silent now")
	// Output:
	// a pair agrees: endpoint 11 of build 8: 30 of 100 failed; mark on 11: wrong 0.00, degraded 0.29;
	//   disputed: 0
	// one sees failures, one sees none: endpoint 11 of build 8: 0 of 100 failed;
	//   disputed: 1
	// one sees failures, one is silent: endpoint 11 of build 8: 30 of 100 failed; mark on 11: wrong 0.00, degraded 0.29;
	//   disputed: 0
	// one of three is wrong: endpoint 11 of build 8: 2 of 100 failed;
	//   disputed: 1
	// two of three agree: endpoint 11 of build 8: 28 of 100 failed; mark on 11: wrong 0.00, degraded 0.27;
	//   disputed: 1
	// a pair, both fresh: endpoint 11 of build 8: 0 of 100 failed;
	//   disputed: 1
	// the milder one is silent now: endpoint 11 of build 8: 100 of 200 failed; mark on 11: wrong 0.00, degraded 0.30;
}

// Marks from gauges, and their expiry.
func Example_gauges() {
	mark := func(name string, question Query, value, ageSeconds float64) {
		d := newDriver(1, question)
		d.now = 1000 - ageSeconds
		d.analyzer.ApplyResult(d.now, &QueryResult{Values: []Series{{1, 7, []Point{{d.now, value}}}}})
		d.now = 1000
		d.show(name)
	}
	quantile := Query{Name: "p99", Meaning: Quantile, Limit: 0.3}
	mark("in time", quantile, 0.29, 0)
	mark("twice the limit", quantile, 0.6, 0)
	mark("twice the limit, 4 s ago", quantile, 0.6, 4)
	mark("twice the limit, too long ago", quantile, 0.6, 6)
	mark("saturated", Query{Name: "busy", Meaning: Saturation, Limit: 0.8}, 1, 0)
	mark("probe passed", Query{Name: "up", Meaning: Probe}, 1, 0)
	mark("probe failed", Query{Name: "up", Meaning: Probe}, 0, 0)
	mark("not a number", Query{Name: "up", Meaning: Probe}, math.NaN(), 0)
	// Output:
	// in time: nothing
	// twice the limit: mark on 1: wrong 0.00, degraded 0.50;
	// twice the limit, 4 s ago: mark on 1: wrong 0.00, degraded 0.18;
	// twice the limit, too long ago: nothing
	// saturated: mark on 1: wrong 0.00, degraded 0.20;
	// probe passed: nothing
	// probe failed: mark on 1: wrong 0.00, degraded 1.00;
	// not a number: nothing
}

// Whatever the answers, their order and repetitions, nothing is counted that did not happen or counted twice, and
// everything that an endpoint did since it was first seen is counted once its last scrape has arrived.
func TestCountsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(1, Query{Name: "errors", FailureKind: failedKind, StaleAfterSeconds: 1e9})
		// One process after the other at endpoint 11, scraped once a second.
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
		for from := 0; from < len(scrapes); {
			to := min(len(scrapes), from+rapid.IntRange(1, 5).Draw(t, "span"))
			var rows [][3]float64
			for _, s := range scrapes[max(0, from-rapid.IntRange(0, 3).Draw(t, "again")):to] {
				rows = append(rows, [3]float64{s.at, s.outcomes, s.failures})
			}
			d.answer(0, 11, 8, rows...)
			from = to
		}
		got := policy.EndpointSample{}
		if list := d.analyzer.Evidence(d.now).Samples; len(list) > 0 {
			got = list[0]
		}
		// Unseen restarts may lose earlier counts, but must not add any.
		if got.Outcomes[failedKind] > outcomeSum || got.Failures[failedKind] > failureSum {
			t.Fatalf("counted %g of %g, happened %g of %g", got.Failures[failedKind], got.Outcomes[failedKind], failureSum, outcomeSum)
		}
		if !restarts && got.Outcomes[failedKind] != scrapes[len(scrapes)-1].outcomes-scrapes[0].outcomes {
			t.Fatalf("counted %g, happened %g", got.Outcomes[failedKind], scrapes[len(scrapes)-1].outcomes-scrapes[0].outcomes)
		}
	})
}
