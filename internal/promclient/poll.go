package promclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/model"

	"flintspread/internal/config"
	"flintspread/internal/metricsanalysis"
)

// Fleet is what queries are written about and answers are read by.
type Fleet struct {
	Units  []FleetUnit
	Builds []int // in order
}

// FleetUnit is one listed unit.
type FleetUnit struct {
	ID    uint32
	Addr  string
	Build int
}

// Poller asks all servers all queries, each in its time.
type Poller struct {
	set     *config.Health
	log     *slog.Logger
	now     func() float64
	take    func(*metricsanalysis.Answer) metricsanalysis.Taken
	clients []*Client

	rests atomic.Bool // nothing is asked for now

	mu      sync.Mutex
	pace    *metricsanalysis.Pace
	fleet   Fleet
	parts   [][]query // by question
	byAddr  map[string]uint32
	builds  map[uint32]int
	trouble map[[2]int]Cause // what a server's last answer to a question was refused for, to say it once
	wake    chan struct{}

	took    *prometheus.HistogramVec
	refused *prometheus.CounterVec
	values  *prometheus.CounterVec
	odd     *prometheus.CounterVec
	resting *prometheus.GaugeVec
	late    prometheus.Gauge
}

// query is one part of a question as it is sent.
type query struct{ bad, all string }

// NewPoller makes a poller. take gets each answer; it must not wait. now is s since 1970.
func NewPoller(set *config.Health, log *slog.Logger, now func() float64, take func(*metricsanalysis.Answer) metricsanalysis.Taken) (*Poller, error) {
	p := &Poller{set: set, log: log, now: now, take: take, pace: metricsanalysis.NewPace(set.Bounds(), len(set.Servers), now()),
		trouble: map[[2]int]Cause{}, wake: make(chan struct{}, 1), parts: make([][]query, len(set.Queries)),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "flintplan_health_query_seconds", Help: "Time that asking took.",
			Buckets: prometheus.ExponentialBucketsRange(set.Timeout/1000, set.Timeout, 13)}, []string{"server"}),
		refused: counter("health_refused_total", "Answers refused whole.", "server", "cause"),
		values:  counter("health_values_total", "Values that counted.", "server"),
		odd:     counter("health_values_refused_total", "Values refused.", "server", "cause"),
		resting: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "flintplan_health_resting_seconds", Help: "How much longer a failing server is left alone."}, []string{"server"}),
		late:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "flintplan_health_late_periods", Help: "How late queries are asked, in their periods: above 1 the budget is too small for them."})}
	for _, s := range set.Servers {
		c, err := NewClient(s.Name, s.URL, Limits{set.Timeout, set.AnswerBytes, set.Series})
		if err != nil {
			return nil, fmt.Errorf(":health :servers %s: %w", s.Name, err)
		}
		p.clients = append(p.clients, c)
	}
	return p, nil
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "flintplan_" + name, Help: help}, labels)
}

// Collectors gives the poller's numbers.
func (p *Poller) Collectors() []prometheus.Collector {
	return []prometheus.Collector{p.took, p.refused, p.values, p.odd, p.resting, p.late}
}

// Know replaces what is known of the fleet.
func (p *Poller) Know(f Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
	p.byAddr, p.builds = make(map[string]uint32, len(f.Units)), make(map[uint32]int, len(f.Units))
	ids, addrs := make([]string, 0, len(f.Units)), make([]string, 0, len(f.Units))
	for _, u := range f.Units {
		p.byAddr[u.Addr], p.builds[u.ID] = u.ID, u.Build
		ids, addrs = append(ids, strconv.FormatUint(uint64(u.ID), 10)), append(addrs, u.Addr)
	}
	var jobs []metricsanalysis.Job
	for i := range p.set.Queries {
		q := &p.set.Queries[i]
		units := ids
		if q.UnitBy == "address" {
			units = addrs
		}
		p.parts[i] = p.write(q, units)
		cost := 1.0
		if q.Total != "" {
			cost = 2
		}
		for part := range p.parts[i] {
			for s := range p.clients {
				jobs = append(jobs, metricsanalysis.Job{Server: s, Question: i, Part: part, Period: q.Period, Cost: cost})
			}
		}
	}
	p.pace.Jobs(p.now(), jobs)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// write makes the queries of a question; both templates of one that counts must part alike.
func (p *Poller) write(q *config.Query, units []string) (parts []query) {
	asked, total := q.Templates()
	bad, err := asked.Queries(p.fleet.Builds, units)
	var all []string
	if err == nil && total != nil {
		if all, err = total.Queries(p.fleet.Builds, units); err == nil && len(all) != len(bad) {
			err = fmt.Errorf("%d queries for failures, %d for all outcomes: both must name units and builds alike", len(bad), len(all))
		}
	}
	if err != nil {
		p.log.Error("query not written", "query", q.Name, "error", err)
		return nil
	}
	for i := range bad {
		x := query{bad: bad[i]}
		if total != nil {
			x.all = all[i]
		}
		parts = append(parts, x)
	}
	return parts
}

// Rest stops the asking, or lets it go on: the planner has no time for answers.
func (p *Poller) Rest(yes bool) { p.rests.Store(yes) }

// Run asks until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	var out sync.WaitGroup
	defer func() {
		out.Wait()
		for _, c := range p.clients {
			c.Close()
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
		wait := math.Inf(1)
		for ctx.Err() == nil {
			if p.rests.Load() {
				wait = 0.2
				break
			}
			p.mu.Lock()
			a, ok, w := p.pace.Next(p.now())
			p.late.Set(p.pace.Late())
			var x query
			if ok {
				x = p.parts[a.Question][a.Part]
			}
			p.mu.Unlock()
			if !ok {
				wait = w
				break
			}
			out.Go(func() { p.once(ctx, a, x) })
		}
		timer.Reset(secs(min(wait, 10)))
	}
}

// once asks one part of a question and enters the answer.
func (p *Poller) once(ctx context.Context, a metricsanalysis.Asking, x query) {
	q, c := &p.set.Queries[a.Question], p.clients[a.Server]
	name := p.set.Servers[a.Server].Name
	from := p.now()
	// Failures are asked for first and outcomes as of the same time: what comes between is in neither.
	rows, err := c.Ask(ctx, x.bad, q.FormOf(), from, q.Span, q.Step)
	var all []Row
	if err == nil && x.all != "" {
		all, err = c.Ask(ctx, x.all, q.FormOf(), from, q.Span, q.Step)
	}
	now := p.now()
	var no *Refused
	if errors.As(err, &no) && ctx.Err() == nil {
		p.refused.WithLabelValues(name, no.Cause.String()).Inc()
	}
	p.took.WithLabelValues(name).Observe(now - from)
	after, how := 0.0, metricsanalysis.Answered
	if no != nil {
		after, how = no.After, no.Cause.ended()
	}
	p.mu.Lock()
	p.pace.Done(now, a, how, after)
	p.resting.WithLabelValues(name).Set(p.pace.Resting(now, a.Server))
	at := [2]int{a.Server, a.Question}
	before, bad := p.trouble[at]
	if no != nil {
		p.trouble[at] = no.Cause
	} else {
		delete(p.trouble, at)
	}
	p.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		if !bad || before != no.Cause {
			p.log.Warn("health answer refused", "query", q.Name, "error", err)
		}
	default:
		if bad {
			p.log.Info("health answers again", "server", name, "query", q.Name)
		}
		answer := &metricsanalysis.Answer{Server: a.Server, Question: a.Question}
		strange := 0
		if x.all != "" {
			answer.All, strange = p.series(q, all)
			answer.Bad, _ = p.series(q, rows)
		} else {
			answer.All, strange = p.series(q, rows)
		}
		t := p.take(answer)
		t.Refused[metricsanalysis.NoUnit] += strange
		p.values.WithLabelValues(name).Add(float64(t.Values))
		for i, n := range t.Refused {
			if n > 0 {
				p.odd.WithLabelValues(name, metricsanalysis.Refusal(i).String()).Add(float64(n))
			}
		}
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// series reads units and builds off the labels, and tells how many rows bear none that is known.
func (p *Poller) series(q *config.Query, rows []Row) (list []metricsanalysis.Series, strange int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range rows {
		text := string(r.Labels[model.LabelName(q.UnitLabel)])
		id, known := p.byAddr[text]
		if q.UnitBy == "id" {
			n, err := strconv.ParseUint(text, 10, 32)
			id, known = uint32(n), err == nil
		}
		build, listed := p.builds[id]
		if q.BuildLabel != "" {
			n, err := strconv.Atoi(string(r.Labels[model.LabelName(q.BuildLabel)]))
			build, known = n, known && err == nil
		}
		if !known || !listed {
			strange++
			continue
		}
		list = append(list, metricsanalysis.Series{Unit: id, Build: build, Points: r.Points})
	}
	return slices.Clip(list), strange
}
