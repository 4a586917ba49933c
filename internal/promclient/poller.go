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
	// maxWaitSeconds is the maximum time between two checks of the schedule.
	maxWaitSeconds = 10.0
	// labelKindAddress and labelKindID are the values of config.Query.EndpointLabelKind.
	labelKindAddress = "address"
	labelKindID      = "id"
)

// Fleet is the set of endpoints and builds that the queries cover.
type Fleet struct {
	Endpoints []FleetEndpoint
	Builds    []int // sorted
}

// FleetEndpoint is an entry of the endpoint list.
type FleetEndpoint struct {
	ID    uint32
	Addr  string
	Build int
}

// ApplyFunc applies a query result and counts its values. It is called from several goroutines and must not block.
type ApplyFunc func(*metricsanalysis.QueryResult) metricsanalysis.ApplySummary

// Poller periodically sends all configured queries to all servers. Its methods are safe for concurrent use.
type Poller struct {
	settings *config.Health
	log      *slog.Logger
	now      func() float64 // seconds since 1970
	apply    ApplyFunc
	clients  []*Client // by server
	metrics  pollerMetrics

	paused atomic.Bool
	wake   chan struct{} // signals Run to check the schedule again

	mu          sync.Mutex // guards the fields below
	scheduler   *metricsanalysis.Scheduler
	fleet       Fleet
	chunks      [][]queryChunk // by query
	idByAddress map[string]uint32
	buildByID   map[uint32]int
	lastCauses  map[serverQuery]Cause // causes of the queries that failed last time, so that only changes are logged
}

// serverQuery identifies a query to a server, by indexes.
type serverQuery struct{ server, query int }

// queryChunk is the PromQL text of a query for some of the endpoints.
type queryChunk struct {
	query      string // for counts, selects the counters of failures
	totalQuery string // for counts, selects the counters of all outcomes; otherwise empty
}

// NewPoller returns a poller, which passes each query result to apply. It sends no queries before SetFleet is called. now
// returns seconds since 1970.
func NewPoller(settings *config.Health, log *slog.Logger, now func() float64, apply ApplyFunc) (*Poller, error) {
	p := &Poller{
		settings: settings, log: log, now: now, apply: apply, metrics: newPollerMetrics(settings.TimeoutSeconds),
		wake: make(chan struct{}, 1), scheduler: metricsanalysis.NewScheduler(settings.Bounds(), len(settings.Servers), now()),
		chunks: make([][]queryChunk, len(settings.Queries)), lastCauses: map[serverQuery]Cause{},
	}
	limits := Limits{TimeoutSeconds: settings.TimeoutSeconds, MaxBytes: settings.MaxResponseBytes, MaxSeries: settings.MaxSeries}
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
		if query.EndpointLabelKind == labelKindAddress {
			labels = addresses
		}
		p.chunks[i] = p.generateChunks(query, labels)
		jobs = append(jobs, p.jobsOf(i)...)
	}
	p.scheduler.SetJobs(p.now(), jobs)
	p.wakeUp()
}

// jobsOf returns the jobs of a query: one for each chunk and server. The caller holds the lock.
func (p *Poller) jobsOf(queryIndex int) (jobs []metricsanalysis.Job) {
	query := &p.settings.Queries[queryIndex]
	cost := 1.0
	if query.Total != "" {
		cost = 2
	}
	for chunk := range p.chunks[queryIndex] {
		for server := range p.clients {
			jobs = append(jobs, metricsanalysis.Job{Server: server, Query: queryIndex, Chunk: chunk, PeriodSeconds: query.PeriodSeconds, Cost: cost})
		}
	}
	return jobs
}

// generateChunks generates a query's chunks for the endpoints, which are given by their label values. If that fails, it
// logs the error and returns no chunks. For counts, both templates must yield the same number of chunks. The caller holds
// the lock.
func (p *Poller) generateChunks(query *config.Query, endpointLabels []string) (chunks []queryChunk) {
	template, total := query.Templates()
	queries, err := template.Queries(p.fleet.Builds, endpointLabels)
	var totalQueries []string
	if err == nil && total != nil {
		totalQueries, err = total.Queries(p.fleet.Builds, endpointLabels)
		if err == nil && len(totalQueries) != len(queries) {
			err = fmt.Errorf(":query yields %d queries and :total %d: both must use the same placeholders", len(queries), len(totalQueries))
		}
	}
	if err != nil {
		p.log.Error("failed to generate the PromQL of a query", "query", query.Name, "error", err)
		return nil
	}
	for i := range queries {
		chunk := queryChunk{query: queries[i]}
		if total != nil {
			chunk.totalQuery = totalQueries[i]
		}
		chunks = append(chunks, chunk)
	}
	return chunks
}

// Pause pauses or resumes the sending of queries, so that an overloaded controller has no results to process. It does not
// block.
func (p *Poller) Pause(paused bool) { p.paused.Store(paused) }

// wakeUp makes Run check the schedule again.
func (p *Poller) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run sends queries until ctx ends. It then waits for those in flight and closes the clients' idle connections. Call it
// once.
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
		timer.Reset(toDuration(min(waitSeconds, maxWaitSeconds)))
	}
}

// startJobs starts the jobs that are due, and returns the time until the next check of the schedule.
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

// nextJob starts the next due job, if there is one, and returns its chunk. Otherwise ok is false and waitSeconds is the
// time until the next check.
func (p *Poller) nextJob() (job metricsanalysis.StartedJob, chunk queryChunk, ok bool, waitSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job, ok, waitSeconds = p.scheduler.Next(p.now())
	p.metrics.latePeriods.Set(p.scheduler.LatePeriods())
	if ok {
		chunk = p.chunks[job.Query][job.Chunk]
	}
	return job, chunk, ok, waitSeconds
}

// runJob sends the queries of a job and applies the result.
func (p *Poller) runJob(ctx context.Context, job metricsanalysis.StartedJob, chunk queryChunk) {
	query, server := &p.settings.Queries[job.Query], p.settings.Servers[job.Server].Name
	sentAt := p.now()
	series, totals, err := p.send(ctx, job, chunk, sentAt)
	var queryErr *QueryError
	errors.As(err, &queryErr)
	if queryErr != nil && ctx.Err() == nil {
		p.metrics.queriesFailed.WithLabelValues(server, queryErr.Cause.String()).Inc()
	}
	endedAt := p.now()
	p.metrics.querySeconds.WithLabelValues(server).Observe(endedAt - sentAt)
	lastCause, wasFailing := p.finishJob(endedAt, job, queryErr)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		if !wasFailing || queryErr == nil || lastCause != queryErr.Cause {
			p.log.Warn("query failed or its result was rejected", "query", query.Name, "error", err)
		}
	default:
		if wasFailing {
			p.log.Info("query succeeds again", "server", server, "query", query.Name)
		}
		p.applyResult(job, chunk, series, totals)
	}
	p.wakeUp()
}

// send sends the query of a job's chunk, and its total query if there is one. Both have the same evaluation time, so that
// failures and outcomes match.
func (p *Poller) send(ctx context.Context, job metricsanalysis.StartedJob, chunk queryChunk, at float64) (series, totals []LabeledSeries, err error) {
	query, client := &p.settings.Queries[job.Query], p.clients[job.Server]
	request := Request{Query: chunk.query, Form: query.ResultForm(), At: at, RangeSeconds: query.RangeSeconds, StepSeconds: query.StepSeconds}
	series, err = client.Query(ctx, request)
	if err == nil && chunk.totalQuery != "" {
		request.Query = chunk.totalQuery
		totals, err = client.Query(ctx, request)
	}
	return series, totals, err
}

// finishJob reports the outcome of a job to the scheduler. queryErr is its error, or nil. It returns whether the same
// query to the same server failed last time, and with which cause.
func (p *Poller) finishJob(now float64, job metricsanalysis.StartedJob, queryErr *QueryError) (lastCause Cause, wasFailing bool) {
	retryAfterSeconds, outcome := 0.0, metricsanalysis.JobSucceeded
	if queryErr != nil {
		retryAfterSeconds, outcome = queryErr.RetryAfterSeconds, queryErr.Cause.jobOutcome()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Done(now, job, outcome, retryAfterSeconds)
	server := p.settings.Servers[job.Server].Name
	p.metrics.backoffSeconds.WithLabelValues(server).Set(p.scheduler.BackoffSeconds(now, job.Server))
	key := serverQuery{job.Server, job.Query}
	lastCause, wasFailing = p.lastCauses[key]
	if queryErr != nil {
		p.lastCauses[key] = queryErr.Cause
	} else {
		delete(p.lastCauses, key)
	}
	return lastCause, wasFailing
}

// applyResult applies the result of a job and counts its values in the metrics.
func (p *Poller) applyResult(job metricsanalysis.StartedJob, chunk queryChunk, series, totals []LabeledSeries) {
	query, server := &p.settings.Queries[job.Query], p.settings.Servers[job.Server].Name
	result := &metricsanalysis.QueryResult{Server: job.Server, Query: job.Query}
	unknown := 0
	if chunk.totalQuery != "" {
		result.Values, unknown = p.seriesOf(query, totals)
		result.Failures, _ = p.seriesOf(query, series)
	} else {
		result.Values, unknown = p.seriesOf(query, series)
	}
	summary := p.apply(result)
	summary.RejectedValues[metricsanalysis.RejectedUnknownEndpoint] += unknown
	p.metrics.valuesAccepted.WithLabelValues(server).Add(float64(summary.AcceptedValues))
	for reason, count := range summary.RejectedValues {
		if count > 0 {
			p.metrics.valuesRejected.WithLabelValues(server, metricsanalysis.RejectReason(reason).String()).Add(float64(count))
		}
	}
}
