package controller

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"flintspread/internal/lease"
)

// metric returns the descriptor of a controller metric. Metric names and labels cannot change, because operators use
// them; docs/glossary.md maps them to the terms of the code.
func metric(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("flintplan_"+name, help, labels, nil)
}

var (
	epochDesc             = metric("epoch", "Epoch of this controller process.")
	leaderDesc            = metric("leads", "1 if this controller knows of no newer one, otherwise 0.")
	routersDesc           = metric("edges", "Live routers.")
	leasedShareDesc       = metric("lent", "Sum of the leased shares that may be in use or still count in the canary window, at most 1.")
	reportsDesc           = metric("digests_total", "Reports accepted.")
	reportsRefusedDesc    = metric("digests_refused_total", "Reports rejected, by reason.", "reason")
	reportsSkippedDesc    = metric("digests_skipped_total", "Reports whose samples were skipped because this controller's ticks were late; the routers still count as alive.")
	assignmentsDesc       = metric("views_total", "Assignments built.")
	endpointListAgeDesc   = metric("list_age_seconds", "Age of the endpoint list.")
	endpointsDesc         = metric("units", "Endpoints in the endpoint list.")
	markedEndpointsDesc   = metric("health_units_marked", "Endpoints with a health mark.")
	freshEndpointsDesc    = metric("health_units_known", "Endpoints with fresh results of a query from a query server.", "server", "query")
	disputedEndpointsDesc = metric("health_units_disputed", "Endpoints on which the query servers' results of a query disagree.", "query")
	verdictDesc           = metric("verdict", "Vote in force: 0 none, 1 promote, 2 hold, 3 roll back.")
)

// metricsCollector collects a controller's metrics on each scrape, under the controller's lock.
type metricsCollector struct{ controller *Controller }

// gaugeFunc emits the value of a gauge.
type gaugeFunc func(desc *prometheus.Desc, value float64, labels ...string)

// Describe implements prometheus.Collector.
func (m metricsCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect implements prometheus.Collector.
func (m metricsCollector) Collect(ch chan<- prometheus.Metric) {
	c := m.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	total := func(desc *prometheus.Desc, value uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	gauge(epochDesc, float64(c.leader.Epoch()))
	isLeader := 0.0
	if c.leader.IsLeader() {
		isLeader = 1
	}
	gauge(leaderDesc, isLeader)
	gauge(routersDesc, float64(c.leader.RouterCount()))
	gauge(leasedShareDesc, c.leader.LeasedShare(now))
	total(reportsDesc, c.reportsAccepted)
	for reason := lease.Accepted + 1; int(reason) < lease.ReasonCount; reason++ {
		total(reportsRefusedDesc, c.leader.Refused[reason], reason.String())
	}
	total(assignmentsDesc, c.assignmentsMade)
	total(reportsSkippedDesc, c.reportsSkipped.Load())
	gauge(endpointListAgeDesc, now-c.endpointList.ConfirmedAt)
	gauge(endpointsDesc, float64(c.endpointList.Len()))
	_, verdict := c.balancer.CurrentVote()
	gauge(verdictDesc, float64(verdict))
	if c.metricsEvidence != nil {
		c.metricsEvidence.collect(now, gauge)
	}
}

// adminHandler returns a handler that serves the metrics of the controller and of its query server poller.
func (c *Controller) adminHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(metricsCollector{c})
	if c.metricsEvidence != nil {
		registry.MustRegister(c.metricsEvidence.poller.Collectors()...)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
