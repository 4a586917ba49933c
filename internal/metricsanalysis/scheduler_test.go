package metricsanalysis

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// With fast, slow and failing servers, the budget and the bounds always hold, no job is in flight twice, and every job
// of a responding server is started again.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 4).Draw(t, "servers")
		bounds := Bounds{QueriesPerSecond: rapid.Float64Range(1, 50).Draw(t, "budget"), MaxInFlight: rapid.IntRange(1, 8).Draw(t, "at once"), MaxBackoffSeconds: 5}
		scheduler := NewScheduler(bounds, servers, 0)
		var jobs []Job
		for q := range rapid.IntRange(1, 6).Draw(t, "questions") {
			for s := range servers {
				jobs = append(jobs, Job{Server: s, Query: q, PeriodSeconds: 1, Cost: float64(1 + q%2)})
			}
		}
		scheduler.SetJobs(0, jobs)
		answerSeconds := make([]float64, servers)
		failing := make([]bool, servers)
		for s := range servers {
			answerSeconds[s] = rapid.Float64Range(0.001, 2).Draw(t, "took")
			failing[s] = rapid.IntRange(0, 3).Draw(t, "sick") == 0
		}
		type flight struct {
			job    StartedJob
			endsAt float64
		}
		var inFlight []flight
		starts := map[Job]int{}
		spent, now := 0.0, 0.0
		lastStartAt := map[int]float64{}
		for now < 60 {
			next := now + 1
			started, ok, wait := scheduler.Next(now)
			if ok {
				spent += started.Cost
				if allowed := max(2, budgetBurstSeconds*bounds.QueriesPerSecond) + bounds.QueriesPerSecond*now; spent > allowed+1e-6 {
					t.Fatalf("at %g s %g queries, %g allowed", now, spent, allowed)
				}
				sameServer := 0
				for _, f := range inFlight {
					if f.job.Job == started.Job {
						t.Fatalf("%+v is in flight twice", started.Job)
					}
					if f.job.Server == started.Server {
						sameServer++
					}
				}
				if len(inFlight)+1 > bounds.MaxInFlight || sameServer+1 > max(1, (bounds.MaxInFlight+1)/2) {
					t.Fatalf("%d in flight, %d at one server", len(inFlight)+1, sameServer+1)
				}
				starts[started.Job]++
				lastStartAt[started.Server] = now
				inFlight = append(inFlight, flight{started, now + answerSeconds[started.Server]})
				continue
			}
			if wait < next-now {
				next = now + wait + 1e-9
			}
			for _, f := range inFlight {
				next = min(next, max(now, f.endsAt))
			}
			now = max(next, now)
			kept := inFlight[:0]
			for _, f := range inFlight {
				if f.endsAt > now {
					kept = append(kept, f)
					continue
				}
				outcome := JobSucceeded
				if failing[f.job.Server] {
					outcome = ServerFailed
				}
				scheduler.Done(now, f.job, outcome, 0)
			}
			inFlight = kept
		}
		queries := 0.0
		for _, j := range jobs {
			queries += j.Cost
		}
		for _, j := range jobs {
			n := starts[j]
			if failing[j.Server] {
				continue
			}
			// Its fair share of the budget, its server's answer time and its period bound how often it ran; a quarter
			// of that is expected.
			least := 60 / max(1, queries/bounds.QueriesPerSecond, minIntervalFactor*answerSeconds[j.Server], float64(len(jobs))*2/float64(bounds.MaxInFlight)) / 4
			if float64(n) < math.Floor(least) {
				t.Fatalf("%+v came %d times in 60 s, %g expected at least; answer times %v, failing %v, %+v", j, n, least, answerSeconds, failing, bounds)
			}
			if n > 61 || float64(n) > 2+60/(minIntervalFactor*answerSeconds[j.Server]) && answerSeconds[j.Server] > 0.25 {
				t.Fatalf("%+v came %d times in 60 s at %g s each", j, n, answerSeconds[j.Server])
			}
		}
		for s := range servers {
			if failing[s] && len(inFlight) == 0 && lastStartAt[s] < 60-3*(bounds.MaxBackoffSeconds+answerSeconds[s])-queries/bounds.QueriesPerSecond*2 && bounds.QueriesPerSecond > 10 {
				t.Fatalf("failing server %d was last queried at %g", s, lastStartAt[s])
			}
		}
	})
}

// If only one question fails at a server, only that question backs off.
func TestOnlyFailingQuestionBacksOff(t *testing.T) {
	scheduler := NewScheduler(Bounds{QueriesPerSecond: 100, MaxInFlight: 4, MaxBackoffSeconds: 8}, 1, 0)
	scheduler.SetJobs(0, []Job{{Query: 0, PeriodSeconds: 0.5, Cost: 1}, {Query: 1, PeriodSeconds: 0.5, Cost: 1}})
	queries := [2]int{}
	for now := 0.0; now < 20; now += 0.01 {
		if started, ok, _ := scheduler.Next(now); ok {
			queries[started.Query]++
			outcome := JobSucceeded
			if started.Query == 1 {
				outcome = JobFailed
			}
			scheduler.Done(now+0.001, started, outcome, 0)
		}
	}
	if queries[0] < 35 || queries[1] > 8 || queries[1] < 4 {
		t.Errorf("queried %v times", queries)
	}
}
