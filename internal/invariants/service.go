package invariants

import "sort"

// LatencyQuantiles are quantiles of the time in which requests succeeded, in seconds.
type LatencyQuantiles struct {
	N   int     `json:"n"`
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// latencyQuantiles sorts the latencies.
func latencyQuantiles(latencies []float64) LatencyQuantiles {
	if len(latencies) == 0 {
		return LatencyQuantiles{}
	}
	sort.Float64s(latencies)
	at := func(q float64) float64 { return latencies[int(q*float64(len(latencies)-1))] }
	return LatencyQuantiles{len(latencies), at(0.5), at(0.99)}
}

// minWeight keeps the service of a record without requests from being a division by zero.
const minWeight = 1e-9

// weights are sums of priority weights.
type weights struct{ offered, earned float64 }

func (w *weights) service() float64 { return w.earned / max(w.offered, minWeight) }

// measureService fills what clients got. All tries of a client count as one request: its last one offers the weight, and an answer
// earns it if it came within the objective from the first try on.
func (c *checker) measureService(report *Report) {
	report.Answers, report.ServiceByClass, report.AttemptsByBuild = map[string]int{}, map[string]float64{}, map[int]int{}
	var total weights
	byClass := map[string]*weights{}
	var withController, withoutController []float64
	for _, request := range c.Requests {
		report.Requests++
		report.Answers[request.outcome()]++
		if request.WrongAnswer {
			report.WrongAnswers++
		}
		if len(request.Answers) > 0 && request.Answers[0].Kind == kindSucceeded {
			latency := request.Answers[0].At - request.SentAt
			if c.isWithoutController(request) {
				withoutController = append(withoutController, latency)
			} else {
				withController = append(withController, latency)
			}
		}
		class := byClass[request.Class]
		if class == nil {
			class = &weights{}
			byClass[request.Class] = class
		}
		for _, sum := range []*weights{&total, class} {
			if request.FinalTry {
				sum.offered += request.PriorityWeight
			}
			if request.isGood() {
				sum.earned += request.PriorityWeight
			}
		}
	}
	report.Service = total.service()
	for name, class := range byClass {
		report.ServiceByClass[name] = class.service()
	}
	for _, attempt := range c.Attempts {
		report.AttemptsByBuild[c.Endpoints[attempt.Endpoint].Build]++
	}
	report.SucceededWithController = latencyQuantiles(withController)
	report.SucceededWithoutController = latencyQuantiles(withoutController)
}

// outcome is the kind of the first answer, or of what took its place.
func (r *Request) outcome() string {
	switch {
	case len(r.Answers) > 0:
		return r.Answers[0].Kind
	case r.NotConnected:
		return kindNotConnected
	case r.AbandonedAt > 0:
		return kindAbandoned
	}
	return kindNone
}

// isGood reports whether the first answer is a right one within the objective.
func (r *Request) isGood() bool {
	return len(r.Answers) > 0 && r.Answers[0].Kind == kindSucceeded && !r.WrongAnswer &&
		r.Answers[0].At-r.FirstSentAt <= r.LatencyObjectiveSeconds
}

// isWithoutController reports whether a request was sent while its relay's controller was dead or paused.
func (c *checker) isWithoutController(request *Request) bool {
	if c.controlled[request.RouterGroup] == nil {
		return false
	}
	for _, life := range c.Incarnations {
		if life.IsController && life.RouterGroup == request.RouterGroup && life.covers(request.SentAt) {
			return life.isPaused(request.SentAt)
		}
	}
	return true
}

// isPaused reports whether the process was paused at an instant.
func (l *Incarnation) isPaused(at float64) bool {
	for _, pause := range l.Pauses {
		if pause[0] <= at && at <= pause[1] {
			return true
		}
	}
	return false
}
