package metricsanalysis

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// With fast, slow and failing servers, the scheduler keeps its budget and bounds, never has a job in flight twice, and
// keeps starting the jobs of all servers, including the failing ones.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 4).Draw(t, "servers")
		bounds := Bounds{QueriesPerSecond: rapid.Float64Range(1, 50).Draw(t, "budget"), MaxInFlight: rapid.IntRange(1, 8).Draw(t, "max in flight"), MaxBackoffSeconds: 5}
		scheduler := NewScheduler(bounds, servers, 0)
		var jobs []Job
		for q := range rapid.IntRange(1, 6).Draw(t, "queries") {
			for s := range servers {
				jobs = append(jobs, Job{Server: s, Query: q, PeriodSeconds: 1, Cost: float64(1 + q%2)})
			}
		}
		scheduler.SetJobs(0, jobs)
		responseSeconds := make([]float64, servers)
		failing := make([]bool, servers)
		for s := range servers {
			responseSeconds[s] = rapid.Float64Range(0.001, 2).Draw(t, "response seconds")
			failing[s] = rapid.IntRange(0, 3).Draw(t, "failing") == 0
		}
		type inFlightJob struct {
			job    StartedJob
			endsAt float64
		}
		var inFlight []inFlightJob
		starts := map[Job]int{}
		spent, now := 0.0, 0.0
		lastStartAt := map[int]float64{}
		for now < 60 {
			next := now + 1
			started, ok, wait := scheduler.Next(now)
			if ok {
				spent += started.Cost
				if allowed := max(2, budgetBurstSeconds*bounds.QueriesPerSecond) + bounds.QueriesPerSecond*now; spent > allowed+1e-6 {
					t.Fatalf("at %g s %g queries were sent; at most %g are allowed", now, spent, allowed)
				}
				atServer := 0
				for _, f := range inFlight {
					if f.job.Job == started.Job {
						t.Fatalf("%+v was started while in flight", started.Job)
					}
					if f.job.Server == started.Server {
						atServer++
					}
				}
				if len(inFlight)+1 > bounds.MaxInFlight || atServer+1 > max(1, (bounds.MaxInFlight+1)/2) {
					t.Fatalf("%d jobs are in flight, %d of them at one server; limits: %d and %d", len(inFlight)+1, atServer+1, bounds.MaxInFlight, max(1, (bounds.MaxInFlight+1)/2))
				}
				starts[started.Job]++
				lastStartAt[started.Server] = now
				inFlight = append(inFlight, inFlightJob{started, now + responseSeconds[started.Server]})
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
		totalCost := 0.0
		for _, j := range jobs {
			totalCost += j.Cost
		}
		for _, j := range jobs {
			n := starts[j] // number of starts
			if failing[j.Server] {
				continue
			}
			// The period, the fair share of the budget, the server's response time and the limit on jobs in flight bound
			// how often a job runs. At least a quarter of that is required.
			minStarts := 60 / max(1, totalCost/bounds.QueriesPerSecond, minIntervalFactor*responseSeconds[j.Server], float64(len(jobs))*2/float64(bounds.MaxInFlight)) / 4
			if float64(n) < math.Floor(minStarts) {
				t.Fatalf("%+v started %d times in 60 s, want at least %g; response seconds %v, failing %v, %+v", j, n, minStarts, responseSeconds, failing, bounds)
			}
			if n > 61 || float64(n) > 2+60/(minIntervalFactor*responseSeconds[j.Server]) && responseSeconds[j.Server] > 0.25 {
				t.Fatalf("%+v started %d times in 60 s, too often for a response time of %g s", j, n, responseSeconds[j.Server])
			}
		}
		// A failing server is queried again after its backoff. Three backoffs and twice the time that the budget needs for
		// all jobs are allowed.
		for s := range servers {
			if failing[s] && len(inFlight) == 0 && lastStartAt[s] < 60-3*(bounds.MaxBackoffSeconds+responseSeconds[s])-totalCost/bounds.QueriesPerSecond*2 && bounds.QueriesPerSecond > 10 {
				t.Fatalf("failing server %d was last queried at %g s of 60 s", s, lastStartAt[s])
			}
		}
	})
}

// A query that fails at an available server backs off. The other queries to that server do not.
func TestOnlyFailingQueryBacksOff(t *testing.T) {
	scheduler := NewScheduler(Bounds{QueriesPerSecond: 100, MaxInFlight: 4, MaxBackoffSeconds: 8}, 1, 0)
	scheduler.SetJobs(0, []Job{{Query: 0, PeriodSeconds: 0.5, Cost: 1}, {Query: 1, PeriodSeconds: 0.5, Cost: 1}})
	starts := [2]int{}
	for now := 0.0; now < 20; now += 0.01 {
		if started, ok, _ := scheduler.Next(now); ok {
			starts[started.Query]++
			outcome := JobSucceeded
			if started.Query == 1 {
				outcome = JobFailed
			}
			scheduler.Done(now+0.001, started, outcome, 0)
		}
	}
	if starts[0] < 35 || starts[1] > 8 || starts[1] < 4 {
		t.Errorf("the succeeding and the failing query were started %v times; want at least 35, and 4 to 8", starts)
	}
}
