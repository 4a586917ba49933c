package promclient

import "github.com/prometheus/client_golang/prometheus"

// pollerMetrics holds the poller's metrics. Their names and labels are stable; docs/glossary.md maps them to the terms of
// the code.
type pollerMetrics struct {
	querySeconds   *prometheus.HistogramVec
	queriesFailed  *prometheus.CounterVec
	valuesAccepted *prometheus.CounterVec
	valuesRejected *prometheus.CounterVec
	backoffSeconds *prometheus.GaugeVec
	latePeriods    prometheus.Gauge
}

// queryBuckets is the number of histogram buckets, which range from a thousandth of the query timeout to the timeout.
const queryBuckets = 13

// newPollerMetrics creates the metrics for queries with the given timeout.
func newPollerMetrics(timeoutSeconds float64) pollerMetrics {
	return pollerMetrics{
		querySeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "flintplan_health_query_seconds", Help: "Duration of queries in seconds.",
			Buckets: prometheus.ExponentialBucketsRange(timeoutSeconds/1000, timeoutSeconds, queryBuckets)}, []string{"server"}),
		queriesFailed:  counter("health_refused_total", "Queries that failed or whose result was rejected, by cause.", "server", "cause"),
		valuesAccepted: counter("health_values_total", "Values accepted from query results.", "server"),
		valuesRejected: counter("health_values_refused_total", "Values rejected, by cause.", "server", "cause"),
		backoffSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "flintplan_health_resting_seconds",
			Help: "Backoff of a failing query server in seconds, 0 if it is not failing."}, []string{"server"}),
		latePeriods: prometheus.NewGauge(prometheus.GaugeOpts{Name: "flintplan_health_late_periods",
			Help: "Moving average of the delay of queries beyond their due time, in query periods. Above 1, the query budget is too small."}),
	}
}

// counter creates a counter. Its name gets the controller's prefix, because the poller is part of the controller.
func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "flintplan_" + name, Help: help}, labels)
}

// Collectors returns the poller's metrics. Register them once.
func (p *Poller) Collectors() []prometheus.Collector {
	m := &p.metrics
	return []prometheus.Collector{m.querySeconds, m.queriesFailed, m.valuesAccepted, m.valuesRejected, m.backoffSeconds, m.latePeriods}
}
