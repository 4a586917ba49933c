package router

import (
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc"
	"flintspread/internal/lease"
	"flintspread/internal/processstats"
	"flintspread/internal/proxy"
)

// numbers gives the relay's counts to Prometheus. They are read when asked for; nothing is counted twice.
type numbers struct {
	relay *proxy.Proxy
	end   *controlrpc.RouterClient // nil without a planner
}

func metric(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("flintedge_"+name, help, labels, nil)
}

var (
	commands   = metric("commands_total", "Commands by final answer; left: the client went first.", "answer")
	deliveries = metric("deliveries_total", "Deliveries by how they ended.", "result")
	refused    = metric("refused_total", "Requests and connections that never became commands.", "what")
	dials      = metric("unit_dials_total", "Connections to units begun.")
	late       = metric("unit_late_answers_total", "Unit answers after their delivery was given up.")
	wrong      = metric("wrong_reports_total", "Wrong answers that clients reported.")
	conns      = metric("connections", "Open connections.", "side")
	inHand     = metric("commands_in_hand", "Commands without their final answer.")
	units      = metric("units", "Units known.")
	listAge    = metric("list_age_seconds", "Time since what the list says was true.")
	policyTime = metric("policy_seconds_total", "Time spent deciding.")
	planEpoch  = metric("planner_epoch", "Number of the planner's process that is followed, 0: none yet.")
	viewAge    = metric("view_age_seconds", "Most that the last view of the planner may be old.")
	links      = metric("links_total", "Links to the planner made.")
	viewsBad   = metric("views_refused_total", "Views that did not count.", "reason")
	dropped    = metric("digests_dropped_total", "Digests that a newer one replaced before they were sent.")
	shedN      = metric("shed_total", "Commands nacked for this process's own load, among the nacked.")
	shedLevel  = metric("shed_level", "Share of what comes that is shed now.")
	ownLag     = metric("timer_late_seconds", "How late the edge's own timer came, at its last look.")
	ownQueue   = metric("processor_wait_seconds", "How long goroutines waited for a processor, 99th part of a hundred since the look before.")
	ownCPU     = metric("processor_share", "Share of its processors that the edge used.")
	ownGC      = metric("collecting_share", "Share of its processors' time that went to collecting.")
	memUsed    = metric("memory_bytes", "Bytes of connections and messages, counted to the budget.")
	memPeak    = metric("memory_peak_bytes", "The most that there was.")
	memPaused  = metric("reads_paused_total", "Readings from clients that waited for room in the budget.")
	memRefused = metric("connections_refused_for_room_total", "Connections refused for want of room.")
	overflows  = metric("host_accept_overflows_total", "Connections that the host's kernel dropped because an accept queue was full, anyone's.")
	policyCall = metric("policy_calls_total", "Decisions asked for.")
)

var resultNames = [...]string{"acked", "errored", "full", "timed_out", "unconnected", "broken", "cancelled", "unsent"}

func (n numbers) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(n, ch) }

func (n numbers) Collect(ch chan<- prometheus.Metric) {
	v := n.relay.Stats()
	total := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, x, labels...)
	}
	gauge := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x, labels...)
	}
	total(commands, float64(v.Succeeded), "acked")
	total(commands, float64(v.Rejected), "nacked")
	total(commands, float64(v.Failed), "failed")
	total(commands, float64(v.Abandoned), "left")
	for i, name := range resultNames {
		total(deliveries, float64(v.Outcomes[i]), name)
	}
	total(refused, float64(v.InvalidRequests), "requests")
	total(refused, float64(v.ClientsRefused), "connections")
	total(dials, float64(v.Dials))
	total(late, float64(v.LateAnswers))
	total(wrong, float64(v.WrongAnswers))
	total(policyTime, v.PolicySeconds)
	total(policyCall, float64(v.PolicyCalls))
	gauge(conns, float64(v.ClientConns), "clients")
	gauge(conns, float64(v.EndpointConns), "units")
	gauge(inHand, float64(v.InFlight))
	gauge(units, float64(v.Endpoints))
	gauge(listAge, v.EndpointListAgeSeconds)
	total(shedN, float64(v.Shed))
	gauge(shedLevel, v.ShedShare)
	gauge(ownLag, v.TimerDelaySeconds)
	gauge(ownQueue, v.Process.SchedulerDelaySeconds)
	gauge(ownCPU, v.Process.CPUShare)
	gauge(ownGC, v.Process.GCShare)
	gauge(memUsed, float64(v.MemoryBytes))
	gauge(memPeak, float64(v.MemoryPeakBytes))
	total(memPaused, float64(v.ReadsPaused))
	total(memRefused, float64(v.MemoryRefused))
	if drops, ok := processstats.AcceptQueueOverflows(); ok {
		total(overflows, float64(drops))
	}
	if n.end == nil {
		return
	}
	l := n.end.Stats()
	gauge(planEpoch, float64(l.Epoch))
	gauge(viewAge, l.AssignmentAgeSeconds)
	total(links, float64(l.Connects))
	total(dropped, float64(l.ReportsDropped))
	for r := lease.Accepted + 1; int(r) < lease.ReasonCount; r++ {
		total(viewsBad, float64(l.Refused[r]), r.String())
	}
}

// bounds gives a histogram's buckets so that every service target and command timeout is a bound: what was in time is read
// off, not interpolated.
func bounds(ops []config.RequestClass) (at []float64) {
	for _, op := range ops {
		for _, part := range []float64{0.125, 0.25, 0.5, 0.75, 1} {
			at = append(at, part*op.Target)
		}
		at = append(at, op.Timeout)
	}
	slices.Sort(at)
	return slices.Compact(at)
}

// timed makes the histogram of answers, and has the relay fill it.
func (e *Router) timed() *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "flintedge_answer_seconds",
		Help: "Time from a command's coming to its final answer.", Buckets: bounds(e.set.Classes)}, []string{"op", "answer"})
	e.relay.OnFinalAnswer = func(op, kind string, secs float64) { h.WithLabelValues(op, kind).Observe(secs) }
	return h
}

// admin serves the numbers.
func (e *Router) admin(answers *prometheus.HistogramVec) http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(numbers{e.relay, e.end}, answers)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return mux
}
