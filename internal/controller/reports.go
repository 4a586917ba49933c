package controller

import (
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
)

// acceptReport records a router's report (a Digest on the wire) and returns lease.Accepted, or why the report is
// rejected. The gRPC server calls it from one goroutine per router; it does not block on disk or network I/O.
func (c *Controller) acceptReport(report *linkpb.Digest) lease.Reason {
	// A controller whose ticks are late skips the samples of some reports. That loses nothing, because reports are
	// cumulative, and a report whose samples are skipped still shows that its router is alive.
	useSamples := report.Seq%max(1, c.reportStride.Load()) == 0
	if !useSamples {
		c.reportsSkipped.Add(1)
		report.Tally = nil
	}
	evidence := evidenceOf(report)
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := c.leader.AcceptReport(c.now(), report.Major, report.Edge, report.Life, report.Seq, report.Following)
	if reason == lease.Superseded && !c.supersededLogged {
		c.supersededLogged = true
		c.log.Error("superseded by a newer controller; stopped voting and granting leases", "epoch", c.leader.Epoch(), "newer_epoch", c.leader.NewerEpoch())
	}
	if reason != lease.Accepted {
		return reason
	}
	if report.Terms != c.configHash && !c.mismatchLogged[report.Edge] {
		c.mismatchLogged[report.Edge] = true
		c.log.Error("router has other settings than the controller in :rules, :release or :op-types", "router", report.Edge)
	}
	c.reportsAccepted++
	if useSamples {
		c.balancer.ApplyReport(report.Edge, evidence)
	}
	status := configStatus(report)
	c.routerStatuses[report.Edge] = routerStatus{config: status, marksVersion: report.MarksNo}
	if c.configVersions != nil {
		c.configVersions.onReport(report.Edge, status)
	}
	return reason
}

// evidenceOf converts a report's tallies to policy.Evidence. The counts of a failure kind that a tally lacks stay zero.
func evidenceOf(report *linkpb.Digest) policy.Evidence {
	evidence := policy.Evidence{
		Build:             int(report.Build),
		RequestsPerSecond: report.Rate,
		Samples:           make([]policy.EndpointSample, len(report.Tally)),
	}
	for i, tally := range report.Tally {
		sample := &evidence.Samples[i]
		sample.Endpoint, sample.Build = tally.Unit, int(tally.Build)
		for kind := range sample.Outcomes {
			if kind < len(tally.N) && kind < len(tally.Bad) {
				sample.Outcomes[kind], sample.Failures[kind] = float64(tally.N[kind]), float64(tally.Bad[kind])
			}
		}
	}
	return evidence
}
