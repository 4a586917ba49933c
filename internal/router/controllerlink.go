package router

import (
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// fillReport fills in a report to the controller. It is called once per report interval and does not block.
func (r *Router) fillReport(report *linkpb.Digest) {
	evidence := r.proxy.LocalEvidence()
	r.controllerConfig.fillReport(report)
	report.MarksNo = r.healthMarkSequence.Load()
	report.Build, report.Rate = int32(evidence.Build), evidence.RequestsPerSecond
	report.ListAt = r.proxy.EndpointListConfirmedAt()
	report.Tally = make([]*linkpb.Tally, 0, len(evidence.Samples))
	for _, sample := range evidence.Samples {
		tally := &linkpb.Tally{
			Unit:  sample.Endpoint,
			Build: int32(sample.Build),
			N:     make([]float32, len(sample.Outcomes)),
			Bad:   make([]float32, len(sample.Outcomes)),
		}
		for kind := range sample.Outcomes {
			tally.N[kind], tally.Bad[kind] = float32(sample.Outcomes[kind]), float32(sample.Failures[kind])
		}
		report.Tally = append(report.Tally, tally)
	}
}

// applyAssignment applies an assignment that the controller client accepted. newEndpoints and newRelease report which
// parts changed; the lease ends at leaseEndsAt, on the proxy's clock. It is called only from the controller client's
// goroutine, and blocks on a disk write for each part that is saved.
func (r *Router) applyAssignment(assignment *linkpb.View, newEndpoints, newRelease bool, leaseEndsAt float64) {
	if newEndpoints {
		if err := r.applyEndpointUpdate(endpointUpdate(assignment)); err != nil {
			r.log.Error("rejected the endpoint list in an assignment", "error", err)
		}
	}
	if newRelease {
		update := releaseUpdate(assignment)
		if err := r.applyRelease(update); err != nil {
			r.log.Error("rejected the release update in an assignment", "error", err)
		} else {
			r.saveRelease(update)
		}
	}
	r.controllerConfig.apply(assignment)
	if r.changesHealthMarks(assignment) {
		r.proxy.SetHealthMarks(assignment.MarksAge, healthMarks(assignment))
		r.healthMarkSequence.Store(assignment.MarksNo)
	}
	r.proxy.ApplyAssignment(int(assignment.VerdictBuild), policy.Verdict(assignment.Verdict), assignment.Share, leaseEndsAt)
}

// changesHealthMarks reports whether an assignment contains health marks, or clears those in force. A controller sends
// none if it has restarted or has no evidence from metrics.
func (r *Router) changesHealthMarks(assignment *linkpb.View) bool {
	return assignment.HasMarks || assignment.MarksNo == 0 && r.healthMarkSequence.Load() > 0
}

func healthMarks(assignment *linkpb.View) []policy.HealthMark {
	marks := make([]policy.HealthMark, 0, len(assignment.Marks))
	for _, mark := range assignment.Marks {
		marks = append(marks, policy.HealthMark{
			Endpoint:      mark.Unit,
			WrongShare:    float64(mark.Wrong),
			DegradedShare: float64(mark.Ailing),
		})
	}
	return marks
}

func releaseUpdate(assignment *linkpb.View) *releases.Update {
	return &releases.Update{
		Version:     assignment.StageNo,
		Build:       int(assignment.Build),
		Stage:       int(assignment.Stage),
		Phase:       assignment.Phase,
		CanaryLimit: assignment.Cap,
		AgeSeconds:  assignment.StageAge,
	}
}

// endpointUpdate returns an assignment's endpoint list. An assignment without a list confirms the list in force.
func endpointUpdate(assignment *linkpb.View) *endpoints.Update {
	update := &endpoints.Update{
		Version:    assignment.ListNo,
		Full:       assignment.HasList,
		AgeSeconds: max(0, wallClock()-assignment.ListAt),
	}
	for _, endpoint := range assignment.Units {
		update.Endpoints = append(update.Endpoints, endpoints.Endpoint{
			ID:        endpoint.Id,
			Addr:      endpoint.Addr,
			State:     endpoint.State,
			Build:     int(endpoint.Build),
			Zone:      uint16(endpoint.Zone),
			Cell:      uint16(endpoint.Cell),
			Weight:    endpoint.Heft,
			StartedAt: endpoint.Start,
		})
	}
	return update
}
