package metricsanalysis

import "math"

const (
	minPauseFactor     = 4.0  // a server is queried again no sooner than so many times its answer time after a query was sent
	answerTimeGain     = 0.25 // weight of a new value in a server's answer time, and in the lateness of jobs
	budgetBurstSeconds = 0.25 // of the query budget that may be spent at once
	maxBackoffDoubling = 30   // failures after which a pause is not doubled any more
)

// Bounds limits the cost of queries, all servers together.
type Bounds struct {
	QueriesPerSecond  float64 // queries a second
	MaxInFlight       int     // jobs in flight
	MaxBackoffSeconds float64 // seconds, the longest pause of a server or a question that fails
}

// Job is one query, or two that go together, that is sent again and again.
type Job struct {
	Server, Question, Chunk int     // indexes; long queries are sent in chunks of endpoints
	PeriodSeconds           float64 // between two times, at the best
	Queries                 float64 // that it costs of the budget
}

// JobOutcome is how a started job ended.
type JobOutcome uint8

// The outcomes of a job.
const (
	JobSucceeded JobOutcome = iota
	JobRefused              // the server answers, but not this
	ServerFailed            // the server does not answer
)

// Scheduler decides which job is started when. The budget holds for all jobs together: where there are more than it pays for,
// all come less often alike. A slow server is queried less often. One that fails is left alone for longer and longer pauses,
// and then gets one job at a time.
type Scheduler struct {
	bounds      Bounds
	servers     []scheduledServer
	jobs        []*scheduledJob
	budget      float64 // queries that may be sent now
	budgetAt    float64 // when the budget was computed
	inFlight    int
	latePeriods float64 // moving average
}

// scheduledServer is one server's part.
type scheduledServer struct {
	inFlight      int
	failures      int     // in a row
	answerSeconds float64 // moving average, 0: none yet
	pausedUntil   float64
}

// scheduledJob is a job and when it comes next.
type scheduledJob struct {
	Job
	dueAt    float64
	inFlight bool
	failures int // in a row, of the question alone
}

// StartedJob is a job in flight, to be given to Done once.
type StartedJob struct {
	Job
	scheduled *scheduledJob
	sentAt    float64
}

// NewScheduler makes a scheduler without jobs for a number of servers.
func NewScheduler(bounds Bounds, servers int, now float64) *Scheduler {
	return &Scheduler{bounds: bounds, servers: make([]scheduledServer, servers), budgetAt: now}
}

// SetJobs replaces the jobs. Those that stay keep their time; new ones are spread over their period.
func (s *Scheduler) SetJobs(now float64, jobs []Job) {
	type key struct{ server, question, chunk int }
	known := map[key]*scheduledJob{}
	for _, job := range s.jobs {
		known[key{job.Server, job.Question, job.Chunk}] = job
	}
	s.jobs = nil
	for i, job := range jobs {
		scheduled := known[key{job.Server, job.Question, job.Chunk}]
		if scheduled == nil {
			scheduled = &scheduledJob{dueAt: now + job.PeriodSeconds*float64(i)/float64(len(jobs))}
		}
		scheduled.Job = job
		s.jobs = append(s.jobs, scheduled)
	}
}

// Next starts the job that is to be sent now. Without one it gives the time after which to call again; that is infinite where
// only the end of a job in flight can change it.
func (s *Scheduler) Next(now float64) (started StartedJob, ok bool, waitSeconds float64) {
	s.refillBudget(now)
	if s.inFlight >= s.bounds.MaxInFlight {
		return started, false, math.Inf(1)
	}
	job, latePeriods, waitSeconds := s.latest(now)
	if job == nil {
		return started, false, waitSeconds
	}
	if s.budget < job.Queries {
		return started, false, (job.Queries - s.budget) / s.bounds.QueriesPerSecond
	}
	s.budget -= job.Queries
	server := &s.servers[job.Server]
	server.inFlight++
	s.inFlight++
	job.inFlight = true
	s.latePeriods += answerTimeGain * (max(0, latePeriods) - s.latePeriods)
	job.dueAt = now + max(job.PeriodSeconds, minPauseFactor*server.answerSeconds)
	return StartedJob{job.Job, job, now}, true, 0
}

// refillBudget adds what the time since the last call pays for.
func (s *Scheduler) refillBudget(now float64) {
	s.budget = min(s.budget+(now-s.budgetAt)*s.bounds.QueriesPerSecond, max(2, budgetBurstSeconds*s.bounds.QueriesPerSecond))
	s.budgetAt = now
}

// latest gives the job that is late by the most of its periods, nil where none is due; then waitSeconds is until one will be.
func (s *Scheduler) latest(now float64) (latest *scheduledJob, latePeriods, waitSeconds float64) {
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

// serverLimit gives how many jobs one server may have in flight: half of all, so that none takes up everything, and one where
// it fails.
func (s *Scheduler) serverLimit(server *scheduledServer) int {
	if server.failures > 0 {
		return 1
	}
	return max(1, (s.bounds.MaxInFlight+1)/2)
}

// Done enters how a job ended. retryAfterSeconds is how long the server wants to be left alone, 0: it does not say.
func (s *Scheduler) Done(now float64, started StartedJob, outcome JobOutcome, retryAfterSeconds float64) {
	server, job := &s.servers[started.Server], started.scheduled
	server.inFlight--
	s.inFlight--
	job.inFlight = false
	answerSeconds := now - started.sentAt
	if outcome == ServerFailed {
		server.failures++
		server.pausedUntil = now + s.pauseSeconds(started.PeriodSeconds, server.failures, retryAfterSeconds)
		server.answerSeconds = max(server.answerSeconds, answerSeconds)
		return
	}
	server.failures, server.pausedUntil = 0, 0
	if server.answerSeconds == 0 {
		server.answerSeconds = answerSeconds
	}
	server.answerSeconds += answerTimeGain * (answerSeconds - server.answerSeconds)
	job.dueAt = max(job.dueAt, started.sentAt+minPauseFactor*server.answerSeconds)
	if outcome == JobSucceeded {
		job.failures = 0
		return
	}
	job.failures++
	job.dueAt = max(job.dueAt, now+s.pauseSeconds(started.PeriodSeconds, job.failures, retryAfterSeconds))
}

// pauseSeconds gives the pause after so many failures in a row: the period, doubled with each, or what the server wants if that
// is longer; never above the bound.
func (s *Scheduler) pauseSeconds(periodSeconds float64, failures int, retryAfterSeconds float64) float64 {
	backoff := periodSeconds * math.Pow(2, float64(min(failures, maxBackoffDoubling)-1))
	return max(min(s.bounds.MaxBackoffSeconds, backoff), min(retryAfterSeconds, s.bounds.MaxBackoffSeconds))
}

// LatePeriods tells how many periods late jobs have come lately: what the budget and slow servers cost.
func (s *Scheduler) LatePeriods() float64 { return s.latePeriods }

// BackoffSeconds tells how much longer a server is left alone, 0: it is not.
func (s *Scheduler) BackoffSeconds(now float64, server int) float64 {
	return max(0, s.servers[server].pausedUntil-now)
}
