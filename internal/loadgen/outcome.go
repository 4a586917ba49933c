package loadgen

import (
	"fmt"
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// requestResult is the final result of a request.
type requestResult int

const (
	succeeded requestResult = iota
	rejected
	failed
	gaveUp           // the client's timeout expired
	connectionClosed // before a complete response
	notConnected     // the connection could not be opened
)

// resultNames are the keys of ClassOutcome.Ends, indexed by requestResult.
var resultNames = [...]string{"acked", "nacked", "failed", "gave up", "broken", "unreached"}

// Quantiles summarizes a distribution of times, in seconds.
type Quantiles struct {
	N    int64   `json:"n"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"most"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e6}
}

// ClassOutcome holds the results of the requests of one class.
type ClassOutcome struct {
	Name        string         `json:"name"`
	Offered     int            `json:"offered"`
	InObjective int            `json:"in_target"` // succeeded within the latency objective
	Ends        map[string]int `json:"ends"`      // number of requests by result
	Service     float64        `json:"service"`   // InObjective as a share of Offered
	Latency     Quantiles      `json:"latency"`   // of successful requests, measured from their scheduled time
}

// unanswered counts the requests without a response in time.
func (c *ClassOutcome) unanswered() int {
	return c.Ends[resultNames[gaveUp]] + c.Ends[resultNames[connectionClosed]] + c.Ends[resultNames[notConnected]]
}

// Second holds the results of the requests that were scheduled within one second of a run.
type Second struct {
	Offered     int     `json:"offered"`
	InObjective int     `json:"in_target"`
	Rejected    int     `json:"nacked"`  // rejected or failed
	Unanswered  int     `json:"gave_up"` // without a response in time
	P99         float64 `json:"p99"`     // latency of successful requests, in seconds
	latencies   *hdrhistogram.Histogram
}

// Outcome is the result of a run.
type Outcome struct {
	LengthSeconds  float64        `json:"length"`
	Offered        int            `json:"offered"`
	Retries        int            `json:"retried"`
	Goodput        float64        `json:"goodput"` // requests per second that succeeded within their latency objective
	Service        float64        `json:"service"` // share of Offered that succeeded within the latency objective
	Latency        Quantiles      `json:"latency"`
	Classes        []ClassOutcome `json:"ops"`
	Seconds        []*Second      `json:"seconds"`
	OwnLag         Quantiles      `json:"own_lag"` // delay between due and actual sending; excludes requests that waited for a connection
	Valid          bool           `json:"valid"`   // OwnLag was within the plan's limit
	InvalidBecause string         `json:"why,omitempty"`

	latencies        *hdrhistogram.Histogram
	lags             *hdrhistogram.Histogram
	latenciesByClass []*hdrhistogram.Histogram
	objectives       []float64 // in seconds, by class
	finished         int
}

const (
	maxRecordedMicros     = 120_000_000 // longer times are recorded as this value
	runHistogramDigits    = 3           // significant digits of the histograms of a run
	secondHistogramDigits = 2           // significant digits of the histogram of a second
	microsPerSecond       = 1e6
)

func newOutcome(p *Plan) *Outcome {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicros, runHistogramDigits) }
	o := &Outcome{latencies: histogram(), lags: histogram()}
	for _, class := range p.Classes {
		o.Classes = append(o.Classes, ClassOutcome{Name: class.Name, Ends: map[string]int{}})
		o.latenciesByClass = append(o.latenciesByClass, histogram())
		o.objectives = append(o.objectives, class.LatencyObjectiveSeconds)
	}
	return o
}

// record adds a time in seconds to a histogram of microseconds.
func record(h *hdrhistogram.Histogram, s float64) {
	micros := max(1, min(maxRecordedMicros, int64(math.Round(s*microsPerSecond))))
	if err := h.RecordValue(micros); err != nil {
		panic(err) // the value is within the histogram's range
	}
}

// recordLag adds the delay, in seconds, between the due and the actual time of sending a request.
func (o *Outcome) recordLag(s float64) { record(o.lags, s) }

func (o *Outcome) second(at float64) *Second {
	for len(o.Seconds) <= int(at) {
		o.Seconds = append(o.Seconds, &Second{latencies: hdrhistogram.New(1, maxRecordedMicros, secondHistogramDigits)})
	}
	return o.Seconds[int(at)]
}

// recordArrival counts a request that is due, before its first attempt.
func (o *Outcome) recordArrival(req *request) {
	o.Offered++
	o.Classes[req.class].Offered++
	o.second(req.firstDueAt).Offered++
}

// recordResult counts the final result of a request.
func (o *Outcome) recordResult(req *request, now float64, result requestResult) {
	o.finished++
	class, second := &o.Classes[req.class], o.second(req.firstDueAt)
	class.Ends[resultNames[result]]++
	switch result {
	case succeeded:
		latency := now - req.firstDueAt
		record(o.latencies, latency)
		record(o.latenciesByClass[req.class], latency)
		record(second.latencies, latency)
		if latency <= o.objectives[req.class] {
			class.InObjective++
			second.InObjective++
		}
	case rejected, failed:
		second.Rejected++
	default:
		second.Unanswered++
	}
}

// unfinished returns the number of requests without a final result.
func (o *Outcome) unfinished() int { return o.Offered - o.finished }

// finish computes the derived fields. It must be called after all requests have a final result.
func (o *Outcome) finish(p *Plan) {
	inObjective := 0
	for i := range o.Classes {
		class := &o.Classes[i]
		class.Latency = quantiles(o.latenciesByClass[i])
		class.Service = float64(class.InObjective) / float64(max(1, class.Offered))
		inObjective += class.InObjective
	}
	o.Goodput = float64(inObjective) / p.Shape.arrivalSpanSeconds()
	o.Service = float64(inObjective) / float64(max(1, o.Offered))
	o.Latency, o.OwnLag = quantiles(o.latencies), quantiles(o.lags)
	for _, second := range o.Seconds {
		second.P99 = quantiles(second.latencies).P99
	}
	o.Valid = p.MaxLagSeconds <= 0 || o.OwnLag.P99 <= p.MaxLagSeconds
	if !o.Valid {
		o.InvalidBecause = fmt.Sprintf("the load generator was too slow: its p99 lag was %.4f s, the limit is %.4f s",
			o.OwnLag.P99, p.MaxLagSeconds)
	}
}

// Print writes a table of the results by class, and a summary.
func (o *Outcome) Print(w io.Writer) {
	fmt.Fprintf(w, "%-16s %9s %8s %8s %8s %8s %8s %9s %9s %9s\n",
		"op type", "offered", "service", "acked", "nacked", "failed", "gave up", "p50 ms", "p99 ms", "most ms")
	for _, class := range o.Classes {
		fmt.Fprintf(w, "%-16s %9d %8.4f %8d %8d %8d %8d %9.2f %9.2f %9.2f\n", class.Name, class.Offered, class.Service,
			class.Ends[resultNames[succeeded]], class.Ends[resultNames[rejected]], class.Ends[resultNames[failed]], class.unanswered(),
			1e3*class.Latency.P50, 1e3*class.Latency.P99, 1e3*class.Latency.Max)
	}
	fmt.Fprintf(w, "offered %d requests in %.1f s, %d retries; goodput %.0f requests/s; generator lag p99 %.2f ms\n",
		o.Offered, o.LengthSeconds, o.Retries, o.Goodput, 1e3*o.OwnLag.P99)
	if !o.Valid {
		fmt.Fprintln(w, "INVALID:", o.InvalidBecause)
	}
}
