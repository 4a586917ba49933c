package invariants

import "sort"

// LatencyQuantiles holds quantiles of the latency of successful requests, in seconds.
type LatencyQuantiles struct {
	N   int     `json:"n"` // number of requests
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// latencyQuantiles computes the quantiles of the latencies, which it sorts in place.
func latencyQuantiles(latencies []float64) LatencyQuantiles {
	if len(latencies) == 0 {
		return LatencyQuantiles{}
	}
	sort.Float64s(latencies)
	at := func(q float64) float64 { return latencies[int(q*float64(len(latencies)-1))] }
	return LatencyQuantiles{len(latencies), at(0.5), at(0.99)}
}

// minWeight prevents a division by zero in the service of a record without requests.
const minWeight = 1e-9

// weightSums holds the total priority weight of the requests that were sent, and of those that met their objective.
type weightSums struct{ offered, earned float64 }

func (w *weightSums) service() float64 { return w.earned / max(w.offered, minWeight) }

// measureService fills in the report's figures on the service that clients got. A request and its retries count once:
// the last of them adds the weight to the offered sum, and an answer adds it to the earned sum if it arrived within the
// latency objective, counted from the first send.
func (c *checker) measureService(report *Report) {
	report.Answers, report.ServiceByClass, report.AttemptsByBuild = map[string]int{}, map[string]float64{}, map[int]int{}
	var total weightSums
	byClass := map[string]*weightSums{}
	var withController, withoutController []float64
	for _, request := range c.Requests {
		report.Requests++
		report.Answers[request.outcome()]++
		if request.WrongAnswer {
			report.WrongAnswers++
		}
		if len(request.Answers) > 0 && request.Answers[0].Kind == kindSucceeded {
			latency := request.Answers[0].At - request.SentAt
			if c.sentWithoutController(request) {
				withoutController = append(withoutController, latency)
			} else {
				withController = append(withController, latency)
			}
		}
		class := byClass[request.Class]
		if class == nil {
			class = &weightSums{}
			byClass[request.Class] = class
		}
		for _, sum := range []*weightSums{&total, class} {
			if request.IsFinal {
				sum.offered += request.PriorityWeight
			}
			if request.meetsObjective() {
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

// outcome returns the kind of the first answer, or the reason why there is none.
func (r *Request) outcome() string {
	switch {
	case len(r.Answers) > 0:
		return r.Answers[0].Kind
	case r.NotConnected:
		return kindNotConnected
	case r.AbandonedAt > 0:
		return kindAbandoned
	}
	return kindNoAnswer
}

// meetsObjective reports whether the first answer is correct and arrived within the latency objective.
func (r *Request) meetsObjective() bool {
	return len(r.Answers) > 0 && r.Answers[0].Kind == kindSucceeded && !r.WrongAnswer &&
		r.Answers[0].At-r.FirstSentAt <= r.LatencyObjectiveSeconds
}

// sentWithoutController reports whether a request was sent while the controller of its router group was down or paused.
func (c *checker) sentWithoutController(request *Request) bool {
	if c.controlledGroups[request.RouterGroup] == nil {
		return false
	}
	for _, process := range c.Incarnations {
		if process.IsController && process.RouterGroup == request.RouterGroup && process.covers(request.SentAt) {
			return process.isPaused(request.SentAt)
		}
	}
	return true
}

// isPaused reports whether the process was paused at the given time.
func (p *Incarnation) isPaused(at float64) bool {
	for _, pause := range p.Pauses {
		if pause[0] <= at && at <= pause[1] {
			return true
		}
	}
	return false
}
