package loadgen

import (
	"fmt"
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ending is what became of a request.
type ending int

const (
	succeeded ending = iota
	rejected
	failed
	gaveUp           // the client's timeout came first
	connectionClosed // before an answer
	notConnected
)

// endingNames are the keys of ClassOutcome.Ends.
var endingNames = [...]string{"acked", "nacked", "failed", "gave up", "broken", "unreached"}

// Quantiles are quantiles of a time in seconds.
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

// ClassOutcome is what became of the requests of one class.
type ClassOutcome struct {
	Name        string         `json:"name"`
	Offered     int            `json:"offered"`
	InObjective int            `json:"in_target"` // succeeded within the latency objective
	Ends        map[string]int `json:"ends"`      // requests by what became of them
	Service     float64        `json:"service"`   // InObjective as a share of Offered
	Latency     Quantiles      `json:"latency"`   // of those that succeeded, from when they were meant to be sent
}

// unanswered counts the requests that got no answer in time.
func (c *ClassOutcome) unanswered() int {
	return c.Ends[endingNames[gaveUp]] + c.Ends[endingNames[connectionClosed]] + c.Ends[endingNames[notConnected]]
}

// Second is one second of a run, by the instants at which requests were meant to be sent.
type Second struct {
	Offered     int     `json:"offered"`
	InObjective int     `json:"in_target"`
	Rejected    int     `json:"nacked"`  // or failed
	Unanswered  int     `json:"gave_up"` // in time
	P99         float64 `json:"p99"`     // of those that succeeded, seconds
	latencies   *hdrhistogram.Histogram
}

// Outcome is what a run showed.
type Outcome struct {
	LengthSeconds  float64        `json:"length"`
	Offered        int            `json:"offered"`
	Retries        int            `json:"retried"`
	Goodput        float64        `json:"goodput"` // requests that succeeded within their objective, a second
	Service        float64        `json:"service"` // the same as a share of Offered
	Latency        Quantiles      `json:"latency"`
	Classes        []ClassOutcome `json:"ops"`
	Seconds        []*Second      `json:"seconds"`
	OwnLag         Quantiles      `json:"own_lag"` // from when a request was meant to be sent to when it was, of those that had a connection
	Valid          bool           `json:"valid"`   // the generator itself was not too late
	InvalidBecause string         `json:"why,omitempty"`

	latencies        *hdrhistogram.Histogram
	lags             *hdrhistogram.Histogram
	latenciesByClass []*hdrhistogram.Histogram
	objectives       []float64 // seconds, by class
	endings          int
}

const (
	longestMicros   = 120_000_000 // times above it count as it
	outcomeDigits   = 3           // significant, of the histograms of a run
	secondDigits    = 2           // significant, of the histogram of a second
	microsPerSecond = 1e6
)

func newOutcome(p *Plan) *Outcome {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, outcomeDigits) }
	o := &Outcome{latencies: histogram(), lags: histogram()}
	for _, class := range p.Classes {
		o.Classes = append(o.Classes, ClassOutcome{Name: class.Name, Ends: map[string]int{}})
		o.latenciesByClass = append(o.latenciesByClass, histogram())
		o.objectives = append(o.objectives, class.LatencyObjectiveSeconds)
	}
	return o
}

// record enters a time in seconds into a histogram of microseconds.
func record(h *hdrhistogram.Histogram, s float64) {
	micros := max(1, min(longestMicros, int64(math.Round(s*microsPerSecond))))
	if err := h.RecordValue(micros); err != nil {
		panic(err) // the value is within the histogram's range
	}
}

// lagged enters by how much a request was sent late.
func (o *Outcome) lagged(s float64) { record(o.lags, s) }

func (o *Outcome) second(at float64) *Second {
	for len(o.Seconds) <= int(at) {
		o.Seconds = append(o.Seconds, &Second{latencies: hdrhistogram.New(1, longestMicros, secondDigits)})
	}
	return o.Seconds[int(at)]
}

// began enters a request that is due.
func (o *Outcome) began(q *request) {
	o.Offered++
	o.Classes[q.class].Offered++
	o.second(q.first).Offered++
}

// ended enters what became of a request.
func (o *Outcome) ended(q *request, now float64, end ending) {
	o.endings++
	class, second := &o.Classes[q.class], o.second(q.first)
	class.Ends[endingNames[end]]++
	switch end {
	case succeeded:
		latency := now - q.first
		record(o.latencies, latency)
		record(o.latenciesByClass[q.class], latency)
		record(second.latencies, latency)
		if latency <= o.objectives[q.class] {
			class.InObjective++
			second.InObjective++
		}
	case rejected, failed:
		second.Rejected++
	default:
		second.Unanswered++
	}
}

// open counts the requests that have not ended.
func (o *Outcome) open() int { return o.Offered - o.endings }

// finish fills what is computed from the rest, once all requests have ended.
func (o *Outcome) finish(p *Plan) {
	inObjective := 0
	for i := range o.Classes {
		class := &o.Classes[i]
		class.Latency = quantiles(o.latenciesByClass[i])
		class.Service = float64(class.InObjective) / float64(max(1, class.Offered))
		inObjective += class.InObjective
	}
	o.Goodput = float64(inObjective) / p.Shape.arrivalsSeconds()
	o.Service = float64(inObjective) / float64(max(1, o.Offered))
	o.Latency, o.OwnLag = quantiles(o.latencies), quantiles(o.lags)
	for _, second := range o.Seconds {
		second.P99 = quantiles(second.latencies).P99
	}
	o.Valid = p.MaxLagSeconds <= 0 || o.OwnLag.P99 <= p.MaxLagSeconds
	if !o.Valid {
		o.InvalidBecause = fmt.Sprintf("the generator itself was late: %.4f s at the 99th part of a hundred, %.4f s allowed",
			o.OwnLag.P99, p.MaxLagSeconds)
	}
}

// Print writes a table.
func (o *Outcome) Print(w io.Writer) {
	fmt.Fprintf(w, "%-16s %9s %8s %8s %8s %8s %8s %9s %9s %9s\n",
		"op type", "offered", "service", "acked", "nacked", "failed", "gave up", "p50 ms", "p99 ms", "most ms")
	for _, class := range o.Classes {
		fmt.Fprintf(w, "%-16s %9d %8.4f %8d %8d %8d %8d %9.2f %9.2f %9.2f\n", class.Name, class.Offered, class.Service,
			class.Ends[endingNames[succeeded]], class.Ends[endingNames[rejected]], class.Ends[endingNames[failed]], class.unanswered(),
			1e3*class.Latency.P50, 1e3*class.Latency.P99, 1e3*class.Latency.Max)
	}
	fmt.Fprintf(w, "offered %d in %.1f s, %d tries again; goodput %.0f a second; own lag p99 %.2f ms\n",
		o.Offered, o.LengthSeconds, o.Retries, o.Goodput, 1e3*o.OwnLag.P99)
	if !o.Valid {
		fmt.Fprintln(w, "INVALID:", o.InvalidBecause)
	}
}
