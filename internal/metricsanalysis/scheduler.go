package metricsanalysis

import "math"

const (
	minIntervalFactor  = 4.0  // minimum time between two starts of a job, as a multiple of its server's response time
	averageGain        = 0.25 // weight of a new value in the moving averages of response time and lateness
	budgetBurstSeconds = 0.25 // unused budget accumulates up to the amount for this duration
	maxBackoffFailures = 30   // consecutive failures above which a pause is no longer doubled
)

// Bounds limits the cost of the queries to all servers together.
type Bounds struct {
	QueriesPerSecond  float64 // budget; unused budget accumulates for at most budgetBurstSeconds
	MaxInFlight       int     // maximum number of jobs in flight
	MaxBackoffSeconds float64 // longest pause of a failing server or query
}

// Job is a query, or a pair of queries, that is sent to a server periodically.
type Job struct {
	Server, Query, Chunk int     // indexes; a query for many endpoints is sent in chunks
	PeriodSeconds        float64 // minimum time between two starts
	Cost                 float64 // number of queries that count towards the budget
}

// JobOutcome is the outcome of a started job.
type JobOutcome uint8

// The outcomes of a job.
const (
	JobSucceeded JobOutcome = iota
	JobFailed               // the server is available, but the query failed or its result was rejected
	ServerFailed            // the server is unavailable
)

// Scheduler decides when to start which job. All jobs share one budget of queries per second; if it is too small, all
// jobs run less often, in proportion to their periods. A slow server is queried less often. A failing server is queried
// with exponential backoff, one job at a time.
type Scheduler struct {
	bounds      Bounds
	servers     []scheduledServer
	jobs        []*scheduledJob
	budget      float64 // queries that may be sent now
	budgetAt    float64 // time of the last refill of the budget
	inFlight    int
	latePeriods float64 // moving average of the delay of starts beyond the due time, in periods of the job
}

// scheduledServer is the scheduling state of one server.
type scheduledServer struct {
	inFlight        int
	failures        int     // number of consecutive ServerFailed outcomes
	responseSeconds float64 // moving average of the response time; 0: no response yet
	pausedUntil     float64
}

// scheduledJob is a job with its scheduling state.
type scheduledJob struct {
	Job
	dueAt    float64
	inFlight bool
	failures int // number of JobFailed outcomes since the last success
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

// SetJobs replaces the jobs. Jobs that exist already keep their schedule. The first starts of new ones are spread over
// their period.
func (s *Scheduler) SetJobs(now float64, jobs []Job) {
	type key struct{ server, query, chunk int }
	existing := map[key]*scheduledJob{}
	for _, job := range s.jobs {
		existing[key{job.Server, job.Query, job.Chunk}] = job
	}
	s.jobs = nil
	for i, job := range jobs {
		scheduled := existing[key{job.Server, job.Query, job.Chunk}]
		if scheduled == nil {
			scheduled = &scheduledJob{dueAt: now + job.PeriodSeconds*float64(i)/float64(len(jobs))}
		}
		scheduled.Job = job
		s.jobs = append(s.jobs, scheduled)
	}
}

// Next starts the most overdue job. If none can be started, ok is false and waitSeconds is the time after which to call
// Next again, which is infinite if no job can start before a call of Done.
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

// refillBudget adds the budget for the time since the last refill. However low the rate is, the budget can accumulate to
// the cost of a pair of queries, 2.
func (s *Scheduler) refillBudget(now float64) {
	s.budget = min(s.budget+(now-s.budgetAt)*s.bounds.QueriesPerSecond, max(2, budgetBurstSeconds*s.bounds.QueriesPerSecond))
	s.budgetAt = now
}

// mostOverdue returns the startable job with the longest delay beyond its due time, measured in its periods. If no job
// is startable, it returns nil and in waitSeconds the time until the next one is.
func (s *Scheduler) mostOverdue(now float64) (overdue *scheduledJob, latePeriods, waitSeconds float64) {
	waitSeconds = math.Inf(1)
	for _, job := range s.jobs {
		server := &s.servers[job.Server]
		if job.inFlight || server.inFlight >= s.serverLimit(server) {
			continue
		}
		startAt := max(job.dueAt, server.pausedUntil)
		if startAt > now {
			waitSeconds = min(waitSeconds, startAt-now)
		} else if late := (now - job.dueAt) / job.PeriodSeconds; overdue == nil || late > latePeriods {
			overdue, latePeriods = job, late
		}
	}
	return overdue, latePeriods, waitSeconds
}

// serverLimit returns the maximum number of jobs in flight at one server: half of Bounds.MaxInFlight, rounded up,
// so that no server can occupy all slots, or one while the server is failing.
func (s *Scheduler) serverLimit(server *scheduledServer) int {
	if server.failures > 0 {
		return 1
	}
	return max(1, (s.bounds.MaxInFlight+1)/2)
}

// Done records the outcome of a started job. retryAfterSeconds is the pause that the server requested, or 0.
func (s *Scheduler) Done(now float64, started StartedJob, outcome JobOutcome, retryAfterSeconds float64) {
	server, job := &s.servers[started.Server], started.scheduled
	server.inFlight--
	s.inFlight--
	job.inFlight = false
	elapsedSeconds := now - started.sentAt
	if outcome == ServerFailed {
		server.failures++
		server.pausedUntil = now + s.pauseSeconds(started.PeriodSeconds, server.failures, retryAfterSeconds)
		server.responseSeconds = max(server.responseSeconds, elapsedSeconds)
		return
	}
	server.failures, server.pausedUntil = 0, 0
	if server.responseSeconds == 0 {
		server.responseSeconds = elapsedSeconds
	}
	server.responseSeconds += averageGain * (elapsedSeconds - server.responseSeconds)
	job.dueAt = max(job.dueAt, started.sentAt+minIntervalFactor*server.responseSeconds)
	if outcome == JobSucceeded {
		job.failures = 0
		return
	}
	job.failures++
	job.dueAt = max(job.dueAt, now+s.pauseSeconds(started.PeriodSeconds, job.failures, retryAfterSeconds))
}

// pauseSeconds returns the pause after a number of consecutive failures: the period, doubled for each failure after the
// first, or the pause that the server requested if that is longer. The pause is at most MaxBackoffSeconds.
func (s *Scheduler) pauseSeconds(periodSeconds float64, failures int, retryAfterSeconds float64) float64 {
	backoff := periodSeconds * math.Pow(2, float64(min(failures, maxBackoffFailures)-1))
	return max(min(s.bounds.MaxBackoffSeconds, backoff), min(retryAfterSeconds, s.bounds.MaxBackoffSeconds))
}

// LatePeriods returns the moving average of the delay of starts beyond the due time, in periods of the job. Starts
// are late if the budget is too small or servers are slow.
func (s *Scheduler) LatePeriods() float64 { return s.latePeriods }

// BackoffSeconds returns the remaining pause of a failing server, or 0 if it is not paused.
func (s *Scheduler) BackoffSeconds(now float64, server int) float64 {
	return max(0, s.servers[server].pausedUntil-now)
}
