package promclient

import "github.com/prometheus/client_golang/prometheus"

// pollerMetrics are the poller's metrics. Names and labels are fixed; docs/glossary.md maps them to the code's terms.
type pollerMetrics struct {
	querySeconds   *prometheus.HistogramVec
	queriesFailed  *prometheus.CounterVec
	valuesAccepted *prometheus.CounterVec
	valuesRejected *prometheus.CounterVec
	backoffSeconds *prometheus.GaugeVec
	latePeriods    prometheus.Gauge
}

// queryBuckets is the number of histogram buckets between a thousandth of the query timeout and the timeout.
const queryBuckets = 13

// newPollerMetrics creates the metrics for queries with the given timeout.
func newPollerMetrics(timeoutSeconds float64) pollerMetrics {
	return pollerMetrics{
		querySeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "flintplan_health_query_seconds", Help: "Time that a query took.",
			Buckets: prometheus.ExponentialBucketsRange(timeoutSeconds/1000, timeoutSeconds, queryBuckets)}, []string{"server"}),
		queriesFailed:  counter("health_refused_total", "Answers refused whole.", "server", "cause"),
		valuesAccepted: counter("health_values_total", "Values that counted.", "server"),
		valuesRejected: counter("health_values_refused_total", "Values refused.", "server", "cause"),
		backoffSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "flintplan_health_resting_seconds",
			Help: "How much longer a failing server is left alone."}, []string{"server"}),
		latePeriods: prometheus.NewGauge(prometheus.GaugeOpts{Name: "flintplan_health_late_periods",
			Help: "How late queries are sent, in their periods: above 1 the budget is too small for them."}),
	}
}

// counter creates a counter with the controller's prefix, because the poller is part of the controller.
func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "flintplan_" + name, Help: help}, labels)
}

// Collectors returns the poller's metrics, to be registered once.
func (p *Poller) Collectors() []prometheus.Collector {
	m := &p.metrics
	return []prometheus.Collector{m.querySeconds, m.queriesFailed, m.valuesAccepted, m.valuesRejected, m.backoffSeconds, m.latePeriods}
}
