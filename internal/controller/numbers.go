package controller

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"flintspread/internal/lease"
)

type numbers struct{ p *Controller }

func metric(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("flintplan_"+name, help, labels, nil)
}

var (
	epochNo  = metric("epoch", "Number of this planner's process.")
	leads    = metric("leads", "1 while no newer planner is known.")
	edges    = metric("edges", "Edges alive.")
	lent     = metric("lent", "Sum of the parts lent that may be in use or count still, at most 1.")
	digested = metric("digests_total", "Digests taken.")
	refusedD = metric("digests_refused_total", "Digests that did not count.", "reason")
	skipped  = metric("digests_skipped_total", "Digests that were not read because this planner was late; their edges live all the same.")
	viewed   = metric("views_total", "Views made.")
	listAge  = metric("list_age_seconds", "Time since what the list says was true.")
	units    = metric("units", "Units known.")
	marked   = metric("health_units_marked", "Units that a health source marks.")
	known    = metric("health_units_known", "Units of which a server's answers are not stale.", "server", "query")
	differ   = metric("health_units_disputed", "Units on which query servers disagree.", "query")
	stands   = metric("verdict", "The vote that stands: 0 none, 1 on, 2 hold, 3 back.")
)

func (n numbers) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(n, ch) }

func (n numbers) Collect(ch chan<- prometheus.Metric) {
	p := n.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	gauge := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x, labels...)
	}
	total := func(d *prometheus.Desc, x uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(x), labels...)
	}
	gauge(epochNo, float64(p.leader.Epoch()))
	lead := 0.0
	if p.leader.IsLeader() {
		lead = 1
	}
	gauge(leads, lead)
	gauge(edges, float64(p.leader.RouterCount()))
	gauge(lent, p.leader.LeasedShare(now))
	total(digested, p.digests)
	for r := lease.Accepted + 1; int(r) < lease.ReasonCount; r++ {
		total(refusedD, p.leader.Refused[r], r.String())
	}
	total(viewed, p.views)
	total(skipped, p.skipped.Load())
	gauge(listAge, now-p.list.At)
	gauge(units, float64(p.list.Len()))
	_, v := p.b.CurrentVote()
	gauge(stands, float64(v))
	if w := p.witness; w != nil {
		w.numbers(now, gauge)
	}
}

func (p *Controller) admin() http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(numbers{p})
	if p.witness != nil {
		reg.MustRegister(p.witness.poller.Collectors()...)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return mux
}
