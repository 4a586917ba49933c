package controller

import (
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
)

// nextAssignment builds the next assignment (a View on the wire) for a router that has version listVersion of the
// endpoint list. An assignment contains the complete state that the router must apply, except that large parts which the
// router already has are omitted. The gRPC server calls it when it can send; it does not block on disk or network I/O.
func (c *Controller) nextAssignment(router string, listVersion uint64) *linkpb.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	header, share, leaseSeconds := c.leader.NextAssignment(now, router)
	build, verdict := c.balancer.CurrentVote()
	assignment := &linkpb.View{
		Major: header.Major, Minor: lease.SchemaMinor,
		Epoch: header.Epoch, Number: header.Sequence, Life: header.Incarnation, Echo: header.AcknowledgedReport,
		ListAt: c.endpointList.ConfirmedAt, ListNo: c.endpointList.Version,
		VerdictBuild: int32(build), Verdict: int32(verdict),
		Share: share, Lease: leaseSeconds,
	}
	c.addRelease(assignment, now)
	if listVersion != c.endpointList.Version {
		c.addEndpoints(assignment)
	}
	if c.configVersions != nil {
		c.configVersions.addConfig(assignment, c.routerStatuses[router])
	}
	if c.metricsEvidence != nil {
		c.metricsEvidence.addMarks(assignment, now, c.routerStatuses[router].marksVersion)
	}
	c.assignmentsMade++
	return assignment
}

// addRelease adds the release in force, if one is known. The caller holds the controller's lock.
func (c *Controller) addRelease(assignment *linkpb.View, now float64) {
	release := c.release
	if release.Phase == "" {
		return
	}
	assignment.StageNo, assignment.Build, assignment.Stage = release.Version, int32(release.Build), int32(release.Stage)
	assignment.Phase, assignment.Cap = release.Phase, release.CanaryLimit
	assignment.StageAge = release.AgeSeconds + max(0, now-c.releaseReceivedAt)
}

// addEndpoints adds the full endpoint list. The caller holds the controller's lock.
func (c *Controller) addEndpoints(assignment *linkpb.View) {
	assignment.HasList = true
	for endpoint := range c.endpointList.All() {
		assignment.Units = append(assignment.Units, &linkpb.Unit{
			Id: endpoint.ID, Addr: endpoint.Addr, State: endpoint.State, Build: int32(endpoint.Build),
			Zone: uint32(endpoint.Zone), Cell: uint32(endpoint.Cell), Heft: endpoint.Weight, Start: endpoint.StartedAt,
		})
	}
}
