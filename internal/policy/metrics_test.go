package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// evidenceFromMetrics returns evidence from metrics with the given outcomes and failures of one kind for each endpoint.
func evidenceFromMetrics(kind int, n, earlier, trial float64) MetricsEvidence {
	s := MetricsEvidence{Evidence: Evidence{Build: 8}}
	for _, u := range []uint32{1, 2, 3, 4, 11, 12} {
		t := EndpointSample{Endpoint: u, Build: 7}
		t.Outcomes[kind], t.Failures[kind] = n, n*earlier
		if u > 10 {
			t.Build, t.Failures[kind] = 8, n*trial
		}
		s.Samples = append(s.Samples, t)
	}
	return s
}

// Metrics strengthen an own sample that shows too little, and are not believed against it.
func Example_metricsEvidence() {
	play := func(name string, reported float64, own int, reports int, s MetricsEvidence) {
		f := newFleet(func(t *Config) { t.AutomaticStages, t.WrongAnswerReportShare = true, reported })
		f.startCanary(2, 10)
		if own > 0 {
			f.run(own, 3, succeed)
		}
		for i := range reports {
			f.b.ReportWrongAnswer(f.now, uint32(11+i%2), 1)
		}
		f.b.SetMetricsEvidence(s)
		fmt.Print(name, ": ")
		f.vote(1, VoteCounted)
	}
	bad, good := evidenceFromMetrics(wrongAnswer, 400, 0.01, 0.3), evidenceFromMetrics(wrongAnswer, 400, 0.01, 0.01)
	play("two reports", 0.3, 120, 2, MetricsEvidence{})
	play("two reports, and the metrics say so", 0.3, 120, 2, bad)
	play("two reports, and the metrics say all is well", 0.3, 120, 2, good)
	play("eight reports, and the metrics say all is well", 0.3, 120, 8, good)
	play("no report, and the metrics say so", 0.3, 120, 0, bad)
	play("nothing seen, and the metrics say so", 0.3, 0, 0, bad)
	play("nothing can be seen, and the metrics say so", 0, 120, 0, bad)
	play("answers come, and the metrics say they fail", 0.3, 120, 0, evidenceFromMetrics(serverError, 400, 0, 0.5))
	few := evidenceFromMetrics(wrongAnswer, 12, 0, 0.3)
	play("two reports, the metrics know little more than what came from here", 0.3, 120, 2, few)
	few.Independent[wrongAnswer] = true
	play("the same, and it is of others' requests", 0.3, 120, 2, few)
	old := bad
	old.Build = 7
	play("two reports, and the metrics speak of an earlier build", 0.3, 120, 2, old)
	// Output:
	// two reports: no vote
	// two reports, and the metrics say so: vote rollback on build 8 stage 1
	// two reports, and the metrics say all is well: no vote
	// eight reports, and the metrics say all is well: vote rollback on build 8 stage 1
	// no report, and the metrics say so: no vote
	// nothing seen, and the metrics say so: no vote
	// nothing can be seen, and the metrics say so: vote rollback on build 8 stage 1
	// answers come, and the metrics say they fail: no vote
	// two reports, the metrics know little more than what came from here: no vote
	// the same, and it is of others' requests: vote rollback on build 8 stage 1
	// two reports, and the metrics speak of an earlier build: no vote
}

// TestMetricsCountsLeaveOutOwnOutcomes guards against counting own failures twice: metrics are reduced by them, and by
// the share of the own outcomes whose failure would have been seen.
func TestMetricsCountsLeaveOutOwnOutcomes(t *testing.T) {
	tests := []struct {
		name        string
		kind        int
		independent bool
		want        outcomeCount
	}{
		{"errors are all seen", serverError, false, outcomeCount{total: 8, failures: 2}},
		{"wrong answers are seen where they are reported", wrongAnswer, false, outcomeCount{total: 9.5, failures: 2}},
		{"of others' requests", wrongAnswer, true, outcomeCount{total: 10, failures: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(func(c *Config) { c.WrongAnswerReportShare = 0.25 })
			own := &endpointCounts{endpoint: 1, build: 7}
			own.byKind[test.kind] = outcomeCount{total: 2, failures: 1}
			sample := EndpointSample{Endpoint: 1, Build: 7}
			sample.Outcomes[test.kind], sample.Failures[test.kind] = 10, 3
			metrics := MetricsEvidence{Evidence: Evidence{Build: 7, Samples: []EndpointSample{sample}}}
			metrics.Independent[test.kind] = test.independent
			f.b.SetMetricsEvidence(metrics)
			if got := f.b.metricsCounts([]*endpointCounts{own})[0].byKind[test.kind]; got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}

// Degraded marks count only where attempts confirm them, marks for wrong answers always; both decay.
func Example_healthMarks() {
	share := func(name string, m HealthMark, age float64) {
		f := newFleet(nil)
		f.run(100, 1, succeed)
		count := 0
		f.b.SetHealthMarks(f.now, age, []HealthMark{m})
		f.run(400, 4, func(u uint32, _ int) (Outcome, float64) {
			f.b.SetHealthMarks(f.now, age, []HealthMark{m})
			if u == 1 {
				count++
			}
			return Succeeded, 0.05
		})
		fmt.Printf("%s: about its share %t, less than a third of it %t\n", name, count > 70 && count < 130, count < 33)
	}
	share("no mark", HealthMark{Endpoint: 2}, 0)
	share("probes fail, serves well", HealthMark{Endpoint: 1, DegradedShare: 1}, 0)
	share("answers fast but wrongly", HealthMark{Endpoint: 1, WrongShare: 0.5}, 0)
	share("said long ago", HealthMark{Endpoint: 1, WrongShare: 0.5}, 30)
	// A fifth of the attempts at endpoint 1 fail: they confirm the mark, which costs the endpoint more traffic.
	part := func(m ...HealthMark) (n int) {
		f := newFleet(nil)
		f.run(100, 1, succeed)
		attempts := 0
		f.run(2000, 20, func(u uint32, _ int) (Outcome, float64) {
			f.b.SetHealthMarks(f.now, 0, m)
			if u != 1 {
				return Succeeded, 0.05
			}
			n++
			if attempts++; attempts%5 == 0 {
				return ServerError, 0.05
			}
			return Succeeded, 0.05
		})
		return n
	}
	fmt.Println("fails at times, with a mark against without, less than half:", part(HealthMark{Endpoint: 1, DegradedShare: 1}) < part()/2)
	// Output:
	// no mark: about its share true, less than a third of it false
	// probes fail, serves well: about its share true, less than a third of it false
	// answers fast but wrongly: about its share false, less than a third of it true
	// said long ago: about its share true, less than a third of it false
	// fails at times, with a mark against without, less than half: true
}

// Whatever metrics show about a good build, the own sample guards it: the worst of false metrics
// cross the threshold with a probability of at most exp(-threshold/2). 400 good builds with some
// failures, each misreported in one of four ways.
func TestWrongMetricsEvidence(t *testing.T) {
	for _, rate := range []float64{0, 0.02, 0.1} {
		back := 0
		for seed := range uint64(400) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			f := newFleet(func(t *Config) { t.AutomaticStages = true })
			f.startCanary(2, 10)
			lie := []float64{rate + 0.02, rate + 0.1, 0.5, 1}[seed%4]
			for range 10 {
				f.run(60, 0.5, func(uint32, int) (Outcome, float64) {
					if rnd.Float64() < rate {
						return ServerError, 0.02
					}
					return Succeeded, 0.05
				})
				s := evidenceFromMetrics(serverError, 1000, rate, lie)
				s.Independent[serverError] = true
				f.b.SetMetricsEvidence(s)
				if f.b.verdict(f.now) == VoteRollback {
					back++
					break
				}
			}
		}
		if back > 400/20 {
			t.Errorf("failures %g: %d of 400 good builds sent back", rate, back)
		}
		t.Logf("failures %g: %d of 400", rate, back)
	}
}
