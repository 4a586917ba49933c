package metricsanalysis

import "math"

const (
	minIntervalFactor  = 4.0  // minimum time between the starts of a job, in answer times of its server
	averageGain        = 0.25 // weight of a new value in the moving averages of answer time and lateness
	budgetBurstSeconds = 0.25 // of budget that can accumulate for a burst
	maxBackoffFailures = 30   // failures after which a pause is no longer doubled
)

// Bounds limits the cost of queries over all servers together.
type Bounds struct {
	QueriesPerSecond  float64 // budget; bursts are limited to budgetBurstSeconds of it
	MaxInFlight       int     // jobs in flight
	MaxBackoffSeconds float64 // longest pause of a failing server or question
}

// Job is a query, or a pair of queries, that is sent periodically.
type Job struct {
	Server, Query, Chunk int     // indexes; long queries are sent in chunks of endpoints
	PeriodSeconds        float64 // minimum time between two starts
	Cost                 float64 // cost, in queries of the budget
}

// JobOutcome is the outcome of a started job.
type JobOutcome uint8

// The outcomes of a job.
const (
	JobSucceeded JobOutcome = iota
	JobFailed               // the server is up but refused this question
	ServerFailed            // the server does not answer
)

// Scheduler decides which job to start when. All jobs share one budget; if it is too small for them, all run less often
// in proportion to their periods. A slow server is queried less often. A failing one is queried after exponentially
// growing pauses, one job at a time.
type Scheduler struct {
	bounds      Bounds
	servers     []scheduledServer
	jobs        []*scheduledJob
	budget      float64 // queries that may be sent now
	budgetAt    float64 // when the budget was computed
	inFlight    int
	latePeriods float64 // moving average
}

// scheduledServer is the scheduling state of one server.
type scheduledServer struct {
	inFlight        int
	failures        int     // consecutive
	responseSeconds float64 // moving average; 0: none yet
	pausedUntil     float64
}

// scheduledJob is a job with its scheduling state.
type scheduledJob struct {
	Job
	dueAt    float64
	inFlight bool
	failures int // consecutive, of this job while the server is up
}

// StartedJob is a job in flight. It must be passed to Done exactly once.
type StartedJob struct {
	Job
	scheduled *scheduledJob
	sentAt    float64
}

// NewScheduler returns a scheduler for a number of servers, without jobs.
func NewScheduler(bounds Bounds, servers int, now float64) *Scheduler {
	return &Scheduler{bounds: bounds, servers: make([]scheduledServer, servers), budgetAt: now}
}

// SetJobs replaces the jobs. Existing jobs keep their schedule; new ones are spread over their period.
func (s *Scheduler) SetJobs(now float64, jobs []Job) {
	type key struct{ server, question, chunk int }
	known := map[key]*scheduledJob{}
	for _, job := range s.jobs {
		known[key{job.Server, job.Query, job.Chunk}] = job
	}
	s.jobs = nil
	for i, job := range jobs {
		scheduled := known[key{job.Server, job.Query, job.Chunk}]
		if scheduled == nil {
			scheduled = &scheduledJob{dueAt: now + job.PeriodSeconds*float64(i)/float64(len(jobs))}
		}
		scheduled.Job = job
		s.jobs = append(s.jobs, scheduled)
	}
}

// Next starts the next job that is due. If ok is false, waitSeconds is the time after which to call again; it is
// infinite if only Done can make another job startable.
func (s *Scheduler) Next(now float64) (started StartedJob, ok bool, waitSeconds float64) {
	s.refillBudget(now)
	if s.inFlight >= s.bounds.MaxInFlight {
		return started, false, math.Inf(1)
	}
	job, latePeriods, waitSeconds := s.mostOverdue(now)
	if job == nil {
		return started, false, waitSeconds
	}
	if s.budget < job.Cost {
		return started, false, (job.Cost - s.budget) / s.bounds.QueriesPerSecond
	}
	s.budget -= job.Cost
	server := &s.servers[job.Server]
	server.inFlight++
	s.inFlight++
	job.inFlight = true
	s.latePeriods += averageGain * (max(0, latePeriods) - s.latePeriods)
	job.dueAt = now + max(job.PeriodSeconds, minIntervalFactor*server.responseSeconds)
	return StartedJob{job.Job, job, now}, true, 0
}

// refillBudget adds the budget for the time since the last call.
func (s *Scheduler) refillBudget(now float64) {
	s.budget = min(s.budget+(now-s.budgetAt)*s.bounds.QueriesPerSecond, max(2, budgetBurstSeconds*s.bounds.QueriesPerSecond))
	s.budgetAt = now
}

// mostOverdue returns the due job that is late by the most of its periods, or nil if none is due. waitSeconds is then the
// time until one will be.
func (s *Scheduler) mostOverdue(now float64) (latest *scheduledJob, latePeriods, waitSeconds float64) {
	waitSeconds = math.Inf(1)
	for _, job := range s.jobs {
		server := &s.servers[job.Server]
		if job.inFlight || server.inFlight >= s.serverLimit(server) {
			continue
		}
		startAt := max(job.dueAt, server.pausedUntil)
		if startAt > now {
			waitSeconds = min(waitSeconds, startAt-now)
		} else if late := (now - job.dueAt) / job.PeriodSeconds; latest == nil || late > latePeriods {
			latest, latePeriods = job, late
		}
	}
	return latest, latePeriods, waitSeconds
}

// serverLimit returns the maximum number of jobs in flight at one server: half of the total, so that no server occupies
// all slots, and one while it is failing.
func (s *Scheduler) serverLimit(server *scheduledServer) int {
	if server.failures > 0 {
		return 1
	}
	return max(1, (s.bounds.MaxInFlight+1)/2)
}

// Done records the end of a started job. retryAfterSeconds is the pause that the server asked for, 0 if none.
func (s *Scheduler) Done(now float64, started StartedJob, outcome JobOutcome, retryAfterSeconds float64) {
	server, job := &s.servers[started.Server], started.scheduled
	server.inFlight--
	s.inFlight--
	job.inFlight = false
	answerSeconds := now - started.sentAt
	if outcome == ServerFailed {
		server.failures++
		server.pausedUntil = now + s.pauseSeconds(started.PeriodSeconds, server.failures, retryAfterSeconds)
		server.responseSeconds = max(server.responseSeconds, answerSeconds)
		return
	}
	server.failures, server.pausedUntil = 0, 0
	if server.responseSeconds == 0 {
		server.responseSeconds = answerSeconds
	}
	server.responseSeconds += averageGain * (answerSeconds - server.responseSeconds)
	job.dueAt = max(job.dueAt, started.sentAt+minIntervalFactor*server.responseSeconds)
	if outcome == JobSucceeded {
		job.failures = 0
		return
	}
	job.failures++
	job.dueAt = max(job.dueAt, now+s.pauseSeconds(started.PeriodSeconds, job.failures, retryAfterSeconds))
}

// pauseSeconds returns the pause after a number of consecutive failures: the period, doubled with each further failure,
// or the pause that the server asked for if that is longer; at most MaxBackoffSeconds.
func (s *Scheduler) pauseSeconds(periodSeconds float64, failures int, retryAfterSeconds float64) float64 {
	backoff := periodSeconds * math.Pow(2, float64(min(failures, maxBackoffFailures)-1))
	return max(min(s.bounds.MaxBackoffSeconds, backoff), min(retryAfterSeconds, s.bounds.MaxBackoffSeconds))
}

// LatePeriods returns the recent average lateness of jobs, in their periods, caused by a small budget or slow servers.
func (s *Scheduler) LatePeriods() float64 { return s.latePeriods }

// BackoffSeconds returns the remaining pause of a failing server, or 0.
func (s *Scheduler) BackoffSeconds(now float64, server int) float64 {
	return max(0, s.servers[server].pausedUntil-now)
}
