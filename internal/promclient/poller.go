package promclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/metricsanalysis"
)

const (
	// pausedRecheckSeconds is the interval at which a paused poller checks whether it may resume.
	pausedRecheckSeconds = 0.2
	// maxWaitSeconds is the longest time between two checks of the schedule, unless the poller is woken up earlier.
	maxWaitSeconds = 10.0
	// labelledByAddress and labelledByID are the settings for what an endpoint label holds: the address or the ID.
	labelledByAddress = "address"
	labelledByID      = "id"
)

// Fleet is the set of endpoints and builds for which queries are generated and answers are interpreted.
type Fleet struct {
	Endpoints []FleetEndpoint
	Builds    []int // sorted
}

// FleetEndpoint is one endpoint of the endpoint list.
type FleetEndpoint struct {
	ID    uint32
	Addr  string
	Build int
}

// ApplyFunc applies an answer and counts its values. It is called from several goroutines and must not block.
type ApplyFunc func(*metricsanalysis.Answer) metricsanalysis.AnswerResult

// Poller periodically sends all configured queries to all servers. Its methods are safe for concurrent use.
type Poller struct {
	settings *config.Health
	log      *slog.Logger
	now      func() float64
	apply    ApplyFunc
	clients  []*Client // by server
	metrics  pollerMetrics

	paused atomic.Bool
	wake   chan struct{} // signals that the schedule has changed

	mu          sync.Mutex // guards the fields below
	scheduler   *metricsanalysis.Scheduler
	fleet       Fleet
	chunks      [][]queryChunk // by question
	idByAddress map[string]uint32
	buildByID   map[uint32]int
	refusals    map[target]Cause // causes of the last refused answers, so that only changes are logged
}

// target is a question at a server.
type target struct{ server, question int }

// queryChunk is the part of a question that covers some of the endpoints, as it is sent.
type queryChunk struct {
	query    string // for counters: the failures
	outcomes string // of counters; "" for others
}

// NewPoller returns a poller without a fleet, which passes each answer to apply. now returns seconds since 1970.
func NewPoller(settings *config.Health, log *slog.Logger, now func() float64, apply ApplyFunc) (*Poller, error) {
	p := &Poller{
		settings: settings, log: log, now: now, apply: apply, metrics: newPollerMetrics(settings.TimeoutSeconds),
		wake: make(chan struct{}, 1), scheduler: metricsanalysis.NewScheduler(settings.Bounds(), len(settings.Servers), now()),
		chunks: make([][]queryChunk, len(settings.Queries)), refusals: map[target]Cause{},
	}
	limits := Limits{TimeoutSeconds: settings.TimeoutSeconds, MaxBytes: settings.MaxAnswerBytes, MaxSeries: settings.MaxSeries}
	for _, server := range settings.Servers {
		client, err := NewClient(server.Name, server.URL, limits)
		if err != nil {
			return nil, fmt.Errorf(":health :servers %s: %w", server.Name, err)
		}
		p.clients = append(p.clients, client)
	}
	return p, nil
}

// SetFleet replaces the fleet and regenerates the queries. It does not block on I/O.
func (p *Poller) SetFleet(fleet Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = fleet
	p.idByAddress, p.buildByID = make(map[string]uint32, len(fleet.Endpoints)), make(map[uint32]int, len(fleet.Endpoints))
	ids, addresses := make([]string, 0, len(fleet.Endpoints)), make([]string, 0, len(fleet.Endpoints))
	for _, endpoint := range fleet.Endpoints {
		p.idByAddress[endpoint.Addr], p.buildByID[endpoint.ID] = endpoint.ID, endpoint.Build
		ids, addresses = append(ids, strconv.FormatUint(uint64(endpoint.ID), 10)), append(addresses, endpoint.Addr)
	}
	var jobs []metricsanalysis.Job
	for i := range p.settings.Queries {
		query := &p.settings.Queries[i]
		labels := ids
		if query.EndpointLabelKind == labelledByAddress {
			labels = addresses
		}
		p.chunks[i] = p.writeChunks(query, labels)
		jobs = append(jobs, p.jobsOf(i)...)
	}
	p.scheduler.SetJobs(p.now(), jobs)
	p.wakeUp()
}

// jobsOf returns the jobs of a question: each chunk at each server. The caller holds the lock.
func (p *Poller) jobsOf(question int) (jobs []metricsanalysis.Job) {
	query := &p.settings.Queries[question]
	queries := 1.0
	if query.Total != "" {
		queries = 2
	}
	for index := range p.chunks[question] {
		for server := range p.clients {
			jobs = append(jobs, metricsanalysis.Job{Server: server, Question: question, Chunk: index, PeriodSeconds: query.PeriodSeconds, Queries: queries})
		}
	}
	return jobs
}

// writeChunks generates a question's queries for the endpoints, or none if that fails. For counters, both templates
// must yield the same number of queries. The caller holds the lock.
func (p *Poller) writeChunks(query *config.Query, endpoints []string) (chunks []queryChunk) {
	template, total := query.Templates()
	queries, err := template.Queries(p.fleet.Builds, endpoints)
	var outcomes []string
	if err == nil && total != nil {
		outcomes, err = total.Queries(p.fleet.Builds, endpoints)
		if err == nil && len(outcomes) != len(queries) {
			err = fmt.Errorf("%d queries for failures, %d for all outcomes: both must name units and builds alike", len(queries), len(outcomes))
		}
	}
	if err != nil {
		p.log.Error("query not written", "query", query.Name, "error", err)
		return nil
	}
	for i := range queries {
		next := queryChunk{query: queries[i]}
		if total != nil {
			next.outcomes = outcomes[i]
		}
		chunks = append(chunks, next)
	}
	return chunks
}

// Pause pauses or resumes sending queries; a controller under load has no time for answers. It does not block.
func (p *Poller) Pause(paused bool) { p.paused.Store(paused) }

// wakeUp makes Run check the schedule again.
func (p *Poller) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run sends queries until ctx ends, waits for those in flight, and closes the clients' idle connections. Call it once.
func (p *Poller) Run(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer func() {
		inFlight.Wait()
		for _, client := range p.clients {
			client.Close()
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		waitSeconds := p.startJobs(ctx, &inFlight)
		timer.Reset(seconds(min(waitSeconds, maxWaitSeconds)))
	}
}

// startJobs starts the jobs that are due, and returns the time until more may be.
func (p *Poller) startJobs(ctx context.Context, inFlight *sync.WaitGroup) (waitSeconds float64) {
	for ctx.Err() == nil {
		if p.paused.Load() {
			return pausedRecheckSeconds
		}
		job, chunk, ok, waitSeconds := p.nextJob()
		if !ok {
			return waitSeconds
		}
		inFlight.Go(func() { p.runJob(ctx, job, chunk) })
	}
	return math.Inf(1)
}

// nextJob starts the next job of the schedule, if one is due, and returns the queries to send for it.
func (p *Poller) nextJob() (job metricsanalysis.StartedJob, chunk queryChunk, ok bool, waitSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job, ok, waitSeconds = p.scheduler.Next(p.now())
	p.metrics.latePeriods.Set(p.scheduler.LatePeriods())
	if ok {
		chunk = p.chunks[job.Question][job.Chunk]
	}
	return job, chunk, ok, waitSeconds
}

// runJob sends the queries of a job and applies the answer.
func (p *Poller) runJob(ctx context.Context, job metricsanalysis.StartedJob, chunk queryChunk) {
	query, server := &p.settings.Queries[job.Question], p.settings.Servers[job.Server].Name
	sentAt := p.now()
	rows, outcomes, err := p.send(ctx, job, chunk, sentAt)
	var refused *RefusedError
	errors.As(err, &refused)
	if refused != nil && ctx.Err() == nil {
		p.metrics.answersRefused.WithLabelValues(server, refused.Cause.String()).Inc()
	}
	answeredAt := p.now()
	p.metrics.querySeconds.WithLabelValues(server).Observe(answeredAt - sentAt)
	before, wasRefused := p.finishJob(answeredAt, job, refused)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		if !wasRefused || refused == nil || before != refused.Cause {
			p.log.Warn("health answer refused", "query", query.Name, "error", err)
		}
	default:
		if wasRefused {
			p.log.Info("health answers resumed", "server", server, "query", query.Name)
		}
		p.applyAnswer(job, chunk, rows, outcomes)
	}
	p.wakeUp()
}

// send sends a job's queries. The second query has the same evaluation time as the first, so that failures and outcomes
// match.
func (p *Poller) send(ctx context.Context, job metricsanalysis.StartedJob, chunk queryChunk, at float64) (rows, outcomes []Row, err error) {
	query, client := &p.settings.Queries[job.Question], p.clients[job.Server]
	request := Request{Query: chunk.query, Form: query.AnswerForm(), At: at, RangeSeconds: query.RangeSeconds, StepSeconds: query.StepSeconds}
	rows, err = client.Query(ctx, request)
	if err == nil && chunk.outcomes != "" {
		request.Query = chunk.outcomes
		outcomes, err = client.Query(ctx, request)
	}
	return rows, outcomes, err
}

// finishJob reports the end of a job to the scheduler and records why its answer was refused, if it was. It returns
// whether the previous answer to the question was refused, and why.
func (p *Poller) finishJob(now float64, job metricsanalysis.StartedJob, refused *RefusedError) (before Cause, wasRefused bool) {
	retryAfterSeconds, outcome := 0.0, metricsanalysis.JobSucceeded
	if refused != nil {
		retryAfterSeconds, outcome = refused.RetryAfterSeconds, refused.Cause.jobOutcome()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Done(now, job, outcome, retryAfterSeconds)
	server := p.settings.Servers[job.Server].Name
	p.metrics.backoffSeconds.WithLabelValues(server).Set(p.scheduler.BackoffSeconds(now, job.Server))
	asked := target{job.Server, job.Question}
	before, wasRefused = p.refusals[asked]
	if refused != nil {
		p.refusals[asked] = refused.Cause
	} else {
		delete(p.refusals, asked)
	}
	return before, wasRefused
}

// applyAnswer applies an answer and updates the metrics of its values.
func (p *Poller) applyAnswer(job metricsanalysis.StartedJob, chunk queryChunk, rows, outcomes []Row) {
	query, server := &p.settings.Queries[job.Question], p.settings.Servers[job.Server].Name
	answer := &metricsanalysis.Answer{Server: job.Server, Question: job.Question}
	unknown := 0
	if chunk.outcomes != "" {
		answer.Outcomes, unknown = p.seriesOf(query, outcomes)
		answer.Failures, _ = p.seriesOf(query, rows)
	} else {
		answer.Outcomes, unknown = p.seriesOf(query, rows)
	}
	result := p.apply(answer)
	result.RefusedValues[metricsanalysis.RefusedUnknownEndpoint] += unknown
	p.metrics.valuesAccepted.WithLabelValues(server).Add(float64(result.AcceptedValues))
	for reason, count := range result.RefusedValues {
		if count > 0 {
			p.metrics.valuesRefused.WithLabelValues(server, metricsanalysis.Refusal(reason).String()).Add(float64(count))
		}
	}
}
