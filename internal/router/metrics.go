package router

import (
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/processstats"
	"flintspread/internal/proxy"
)

// metricPrefix starts every metric's name. Names and labels keep the words of the first version, since dashboards and
// alerts depend on them.
const metricPrefix = "flintedge_"

// metric describes a metric of the router. The test of the alerting rules, internal/controller/metrics_evidence_test.go,
// finds the exposed metrics by searching the sources for calls of this name.
func metric(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+name, help, labels, nil)
}

var (
	requestsTotal          = metric("commands_total", "Requests by final answer; left: the client disconnected before the answer.", "answer")
	attemptsTotal          = metric("deliveries_total", "Attempts by outcome.", "result")
	refusedTotal           = metric("refused_total", "Malformed requests, and client connections refused above the limit.", "what")
	dialsTotal             = metric("unit_dials_total", "Connections dialed to endpoints.")
	lateAnswersTotal       = metric("unit_late_answers_total", "Answers of endpoints to attempts that had already ended.")
	wrongAnswersTotal      = metric("wrong_reports_total", "Wrong answers that clients reported.")
	openConnections        = metric("connections", "Open connections.", "side")
	requestsInFlight       = metric("commands_in_hand", "Requests in flight.")
	knownEndpoints         = metric("units", "Endpoints known.")
	endpointListAge        = metric("list_age_seconds", "Age of the endpoint list.")
	policySecondsTotal     = metric("policy_seconds_total", "Time spent in calls of the balancing policy.")
	policyCallsTotal       = metric("policy_calls_total", "Calls of the balancing policy.")
	controllerEpoch        = metric("planner_epoch", "Epoch of the controller whose assignments are applied; 0: none yet.")
	assignmentAge          = metric("view_age_seconds", "Upper bound of the age of the controller's last assignment.")
	controllerConnects     = metric("links_total", "Connections to the controller on which an assignment arrived.")
	assignmentsRefused     = metric("views_refused_total", "Assignments of the controller refused, by reason.", "reason")
	reportsDropped         = metric("digests_dropped_total", "Reports to the controller replaced by a newer one before they were sent.")
	shedTotal              = metric("shed_total", "Requests rejected because this process is overloaded; they also count as rejected requests.")
	shedShare              = metric("shed_level", "Share of the offered work that is being shed.")
	timerDelay             = metric("timer_late_seconds", "Delay of the router's own timer at the last sample.")
	schedulerDelay         = metric("processor_wait_seconds", "99th percentile of the time that goroutines waited for a processor, since the previous sample.")
	cpuShare               = metric("processor_share", "Share of its processors' time that the router used.")
	gcShare                = metric("collecting_share", "Share of its processors' time spent collecting garbage.")
	memoryUsed             = metric("memory_bytes", "Bytes held by connections and messages, as counted against the memory budget.")
	memoryPeak             = metric("memory_peak_bytes", "Peak of memory_bytes.")
	readsPausedTotal       = metric("reads_paused_total", "Reads from clients that waited for the memory budget.")
	memoryRefusedTotal     = metric("connections_refused_for_room_total", "Connections refused because the memory budget was used up.")
	acceptOverflowsTotal   = metric("host_accept_overflows_total", "Connections that the host's kernel dropped because an accept queue, of any process, was full.")
	answerSecondsHistogram = prometheus.HistogramOpts{
		Name: "flintedge_answer_seconds", // spelled out, so that a search for the metric finds it
		Help: "Time from the receipt of a request to its final answer.",
	}
)

// outcomeLabels are the values of the label "result".
var outcomeLabels = [policy.OutcomeCount]string{
	policy.Succeeded:      "acked",
	policy.ServerError:    "errored",
	policy.Overloaded:     "full",
	policy.TimedOut:       "timed_out",
	policy.NotConnected:   "unconnected",
	policy.ConnectionLost: "broken",
	policy.Cancelled:      "cancelled",
	policy.NotSent:        "unsent",
}

// collector exports the counters of the proxy and of the controller client to Prometheus. It reads them at each scrape
// and stores none itself.
type collector struct {
	proxy      *proxy.Proxy
	controller *controlrpc.RouterClient // nil without a controller
}

// Describe implements prometheus.Collector.
func (c collector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	out := metricWriter(metrics)
	stats := c.proxy.Stats()
	out.writeRequests(stats)
	out.writeConnections(stats)
	out.writeProcess(stats)
	if c.controller != nil {
		out.writeController(c.controller.Stats())
	}
}

// metricWriter writes the values of one scrape.
type metricWriter chan<- prometheus.Metric

func (w metricWriter) counter(desc *prometheus.Desc, value float64, labels ...string) {
	w <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, labels...)
}

func (w metricWriter) gauge(desc *prometheus.Desc, value float64, labels ...string) {
	w <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

// writeRequests writes the outcomes of requests and attempts, and the state of the balancer.
func (w metricWriter) writeRequests(stats proxy.Stats) {
	w.counter(requestsTotal, float64(stats.Succeeded), "acked")
	w.counter(requestsTotal, float64(stats.Rejected), "nacked")
	w.counter(requestsTotal, float64(stats.Failed), "failed")
	w.counter(requestsTotal, float64(stats.Abandoned), "left")
	for outcome, label := range outcomeLabels {
		w.counter(attemptsTotal, float64(stats.Outcomes[outcome]), label)
	}
	w.counter(lateAnswersTotal, float64(stats.LateAnswers))
	w.counter(wrongAnswersTotal, float64(stats.WrongAnswers))
	w.counter(policySecondsTotal, stats.PolicySeconds)
	w.counter(policyCallsTotal, float64(stats.PolicyCalls))
	w.gauge(requestsInFlight, float64(stats.InFlight))
	w.gauge(knownEndpoints, float64(stats.Endpoints))
	w.gauge(endpointListAge, stats.EndpointListAgeSeconds)
}

// writeConnections writes the counts of client and endpoint connections, of refused requests and connections, and of
// delayed reads.
func (w metricWriter) writeConnections(stats proxy.Stats) {
	w.counter(refusedTotal, float64(stats.InvalidRequests), "requests")
	w.counter(refusedTotal, float64(stats.ClientsRefused), "connections")
	w.counter(dialsTotal, float64(stats.Dials))
	w.gauge(openConnections, float64(stats.ClientConns), "clients")
	w.gauge(openConnections, float64(stats.EndpointConns), "units")
	w.counter(readsPausedTotal, float64(stats.ReadsPaused))
	w.counter(memoryRefusedTotal, float64(stats.MemoryRefused))
	if overflows, ok := processstats.AcceptQueueOverflows(); ok {
		w.counter(acceptOverflowsTotal, float64(overflows))
	}
}

// writeProcess writes the load of the process and the load that it sheds.
func (w metricWriter) writeProcess(stats proxy.Stats) {
	w.counter(shedTotal, float64(stats.Shed))
	w.gauge(shedShare, stats.ShedShare)
	w.gauge(timerDelay, stats.TimerDelaySeconds)
	w.gauge(schedulerDelay, stats.Process.SchedulerDelaySeconds)
	w.gauge(cpuShare, stats.Process.CPUShare)
	w.gauge(gcShare, stats.Process.GCShare)
	w.gauge(memoryUsed, float64(stats.MemoryBytes))
	w.gauge(memoryPeak, float64(stats.MemoryPeakBytes))
}

// writeController writes the state and counts of the link to the controller.
func (w metricWriter) writeController(stats controlrpc.Stats) {
	w.gauge(controllerEpoch, float64(stats.Epoch))
	w.gauge(assignmentAge, stats.AssignmentAgeSeconds)
	w.counter(controllerConnects, float64(stats.Connects))
	w.counter(reportsDropped, float64(stats.ReportsDropped))
	for reason := lease.Accepted + 1; int(reason) < lease.ReasonCount; reason++ {
		w.counter(assignmentsRefused, float64(stats.Refused[reason]), reason.String())
	}
}

// answerBuckets returns histogram bounds that include every latency objective and every request timeout, so that the
// share of answers in time is exact, not interpolated.
func answerBuckets(classes []config.RequestClass) (bounds []float64) {
	for _, class := range classes {
		for _, share := range []float64{0.125, 0.25, 0.5, 0.75, 1} {
			bounds = append(bounds, share*class.LatencyObjectiveSeconds)
		}
		bounds = append(bounds, class.TimeoutSeconds)
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// observeAnswers creates the histogram of answer times and registers it with the proxy. It must be called before the
// proxy serves.
func (r *Router) observeAnswers() *prometheus.HistogramVec {
	options := answerSecondsHistogram
	options.Buckets = answerBuckets(r.config.Classes)
	histogram := prometheus.NewHistogramVec(options, []string{"op", "answer"})
	r.proxy.OnFinalAnswer = func(class, answer string, seconds float64) {
		histogram.WithLabelValues(class, answer).Observe(seconds)
	}
	return histogram
}

// metricsHandler returns the handler of the metrics address.
func (r *Router) metricsHandler(answers *prometheus.HistogramVec) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{proxy: r.proxy, controller: r.controller}, answers)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
