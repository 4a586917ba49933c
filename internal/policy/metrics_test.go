package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// evidenceFromMetrics returns evidence from metrics on six endpoints. Each has the given number of outcomes of one kind,
// and fails at the rate of its build.
func evidenceFromMetrics(kind int, outcomes, baselineRate, canaryRate float64) MetricsEvidence {
	evidence := MetricsEvidence{Evidence: Evidence{Build: 8}}
	for _, id := range []uint32{1, 2, 3, 4, 11, 12} {
		sample := EndpointSample{Endpoint: id, Build: 7}
		sample.Outcomes[kind], sample.Failures[kind] = outcomes, outcomes*baselineRate
		if id > 10 {
			sample.Build, sample.Failures[kind] = 8, outcomes*canaryRate
		}
		evidence.Samples = append(evidence.Samples, sample)
	}
	return evidence
}

// Metrics strengthen an own sample that is too weak for a rollback, and are ignored if it contradicts them.
func Example_metricsEvidence() {
	show := func(name string, reportShare float64, requests, reports int, evidence MetricsEvidence) {
		f := newFleet(func(c *Config) { c.AutomaticStages, c.WrongAnswerReportShare = true, reportShare })
		f.startCanary(2, 10)
		if requests > 0 {
			f.run(requests, 3, succeed)
		}
		for i := range reports {
			f.b.ReportWrongAnswer(f.now, uint32(11+i%2), 1)
		}
		f.b.SetMetricsEvidence(evidence)
		fmt.Print(name, ": ")
		f.vote(1, VoteCounted)
	}
	bad, good := evidenceFromMetrics(wrongAnswer, 400, 0.01, 0.3), evidenceFromMetrics(wrongAnswer, 400, 0.01, 0.01)
	show("2 wrong answers reported, no metrics", 0.3, 120, 2, MetricsEvidence{})
	show("2 wrong answers reported, metrics agree", 0.3, 120, 2, bad)
	show("2 wrong answers reported, metrics show none", 0.3, 120, 2, good)
	show("8 wrong answers reported, metrics show none", 0.3, 120, 8, good)
	show("no wrong answer reported, metrics show many", 0.3, 120, 0, bad)
	show("no requests, metrics show wrong answers", 0.3, 0, 0, bad)
	show("clients report none, metrics show wrong answers", 0, 120, 0, bad)
	show("all answers good, metrics show errors", 0.3, 120, 0, evidenceFromMetrics(serverError, 400, 0, 0.5))
	few := evidenceFromMetrics(wrongAnswer, 12, 0, 0.3)
	show("2 wrong answers reported, metrics add few outcomes to the own sample", 0.3, 120, 2, few)
	few.Independent[wrongAnswer] = true
	show("2 wrong answers reported, as few outcomes in metrics, but of other requests", 0.3, 120, 2, few)
	old := bad
	old.Build = 7
	show("2 wrong answers reported, metrics are on an earlier release", 0.3, 120, 2, old)
	// Output:
	// 2 wrong answers reported, no metrics: no vote
	// 2 wrong answers reported, metrics agree: vote rollback on build 8 stage 1
	// 2 wrong answers reported, metrics show none: no vote
	// 8 wrong answers reported, metrics show none: vote rollback on build 8 stage 1
	// no wrong answer reported, metrics show many: no vote
	// no requests, metrics show wrong answers: no vote
	// clients report none, metrics show wrong answers: vote rollback on build 8 stage 1
	// all answers good, metrics show errors: no vote
	// 2 wrong answers reported, metrics add few outcomes to the own sample: no vote
	// 2 wrong answers reported, as few outcomes in metrics, but of other requests: vote rollback on build 8 stage 1
	// 2 wrong answers reported, metrics are on an earlier release: no vote
}

// TestMetricsCountsExcludeOwnOutcomes guards against counting an own outcome twice: own failures and own outcomes are
// subtracted from the metrics. Of the outcomes counted for wrong answers, only the share that clients report is.
func TestMetricsCountsExcludeOwnOutcomes(t *testing.T) {
	tests := []struct {
		name        string
		kind        int
		independent bool
		want        outcomeCount
	}{
		{"every error is visible", serverError, false, outcomeCount{total: 8, failures: 2}},
		{"a wrong answer is visible only if reported", wrongAnswer, false, outcomeCount{total: 9.5, failures: 2}},
		{"metrics of other requests", wrongAnswer, true, outcomeCount{total: 10, failures: 3}},
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
				t.Errorf("counts from metrics: got %+v, want %+v", got, test.want)
			}
		})
	}
}

// A degraded mark takes effect only if attempts confirm it, a mark for wrong answers always. Both decay.
func Example_healthMarks() {
	showShare := func(name string, mark HealthMark, age float64) {
		f := newFleet(nil)
		f.run(100, 1, succeed)
		attempts := 0
		f.b.SetHealthMarks(f.now, age, []HealthMark{mark})
		f.run(400, 4, func(endpoint uint32, _ int) (Outcome, float64) {
			f.b.SetHealthMarks(f.now, age, []HealthMark{mark})
			if endpoint == 1 {
				attempts++
			}
			return Succeeded, 0.05
		})
		fmt.Printf("%s: about an even share %t, less than a third of it %t\n", name, attempts > 70 && attempts < 130, attempts < 33)
	}
	showShare("no mark", HealthMark{Endpoint: 2}, 0)
	showShare("fails its probes, serves well", HealthMark{Endpoint: 1, DegradedShare: 1}, 0)
	showShare("answers fast but wrongly", HealthMark{Endpoint: 1, WrongShare: 0.5}, 0)
	showShare("mark is 30 s old", HealthMark{Endpoint: 1, WrongShare: 0.5}, 30)
	// A fifth of the attempts at endpoint 1 fail. They confirm the mark, which reduces the endpoint's traffic further.
	attemptsWith := func(marks ...HealthMark) (attempts int) {
		f := newFleet(nil)
		f.run(100, 1, succeed)
		f.run(2000, 20, func(endpoint uint32, _ int) (Outcome, float64) {
			f.b.SetHealthMarks(f.now, 0, marks)
			if endpoint != 1 {
				return Succeeded, 0.05
			}
			if attempts++; attempts%5 == 0 {
				return ServerError, 0.05
			}
			return Succeeded, 0.05
		})
		return attempts
	}
	fmt.Println("fails a fifth of attempts; a mark more than halves its attempts:", attemptsWith(HealthMark{Endpoint: 1, DegradedShare: 1}) < attemptsWith()/2)
	// Output:
	// no mark: about an even share true, less than a third of it false
	// fails its probes, serves well: about an even share true, less than a third of it false
	// answers fast but wrongly: about an even share false, less than a third of it true
	// mark is 30 s old: about an even share true, less than a third of it false
	// fails a fifth of attempts; a mark more than halves its attempts: true
}

// The own sample protects a good build from false metrics: whatever they show, they reach the threshold with a probability
// of at most exp(-threshold/2). The test runs 400 good builds at three failure rates, each misreported in one of four ways.
func TestFalseMetricsEvidence(t *testing.T) {
	const builds, maxRollbacks = 400, 400 / 20
	for _, rate := range []float64{0, 0.02, 0.1} {
		rollbacks := 0
		for seed := range uint64(builds) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			f := newFleet(func(c *Config) { c.AutomaticStages = true })
			f.startCanary(2, 10)
			claimedRate := []float64{rate + 0.02, rate + 0.1, 0.5, 1}[seed%4]
			for range 10 {
				f.run(60, 0.5, func(uint32, int) (Outcome, float64) {
					if rnd.Float64() < rate {
						return ServerError, 0.02
					}
					return Succeeded, 0.05
				})
				evidence := evidenceFromMetrics(serverError, 1000, rate, claimedRate)
				evidence.Independent[serverError] = true
				f.b.SetMetricsEvidence(evidence)
				if f.b.verdict(f.now) == VoteRollback {
					rollbacks++
					break
				}
			}
		}
		if rollbacks > maxRollbacks {
			t.Errorf("failure rate %g: %d of %d good builds rolled back, want at most %d", rate, rollbacks, builds, maxRollbacks)
		}
		t.Logf("failure rate %g: %d of %d good builds rolled back", rate, rollbacks, builds)
	}
}
