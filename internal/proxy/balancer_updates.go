package proxy

import (
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
)

// What the router learns from outside (endpoint list, release, controller, clients' reports) goes into the balancer here,
// under the lock that orders its calls.

// ApplyEndpoints applies what endpoints.List.Apply says has changed to the balancer and the pools. Only the first changes of a list are
// Full. They hold for every decision made from its return on.
func (p *Proxy) ApplyEndpoints(changes *endpoints.Update) {
	var effects effects
	defer p.runEffects(&effects) // after the lock is given back
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	p.endpointListAt, p.endpointListVersion = now-changes.AgeSeconds, changes.Version
	changes.ApplyTo(p.balancer, now)
	if changes.Full {
		for _, pool := range p.pools {
			pool.usable = false
		}
	}
	for _, endpoint := range changes.Endpoints {
		p.updatePool(endpoint, &effects)
	}
	p.removeUnusedPools()
}

// ConfirmEndpoints notes that the endpoint list still holds.
func (p *Proxy) ConfirmEndpoints() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpointListAt = p.Now()
}

// EndpointsAt is when what the endpoint list says was true, on the clock of Now.
func (p *Proxy) EndpointsAt() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpointListAt
}

// ApplyRelease applies an update on the newest build's release; see policy.Balancer.ApplyRelease.
func (p *Proxy) ApplyRelease(build, stage int, phase policy.Phase, limit, ageSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyRelease(p.Now(), build, stage, phase, limit, ageSeconds)
}

// RestoreRelease applies what the process before this one knew of the release, last confirmed agoSeconds ago.
func (p *Proxy) RestoreRelease(build, stage int, phase policy.Phase, limit, ageSeconds, agoSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.RestoreRelease(p.Now(), build, stage, phase, limit, ageSeconds, agoSeconds)
}

// ApplyAssignment applies a controller's assignment: its verdict on the build, and the leased share until it ends.
func (p *Proxy) ApplyAssignment(build int, verdict policy.Verdict, share, leaseEndsAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyAssignment(build, verdict, share, leaseEndsAt)
}

// SetHealthMarks replaces the controller's health marks on endpoints, which were true ageSeconds ago.
func (p *Proxy) SetHealthMarks(ageSeconds float64, marks []policy.HealthMark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetHealthMarks(p.Now(), ageSeconds, marks)
}

// LocalEvidence gives what the balancer counted of the present build, for the report to a controller.
func (p *Proxy) LocalEvidence() policy.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.LocalEvidence(p.Now())
}

// ReportWrongAnswer enters that an endpoint answered wrongly to an attempt of ageSeconds ago.
func (p *Proxy) ReportWrongAnswer(endpointID uint32, ageSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countWrongAnswer(endpointID, ageSeconds)
}

// countWrongAnswer counts a reported wrong answer and tells the balancer. The caller holds p.mu.
func (p *Proxy) countWrongAnswer(endpointID uint32, ageSeconds float64) {
	p.stats.WrongAnswers++
	p.balancer.ReportWrongAnswer(p.Now(), endpointID, ageSeconds)
}

// OnVoteReply enters what became of the vote last cast.
func (p *Proxy) OnVoteReply(reply policy.VoteReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.OnVoteReply(p.Now(), reply)
}
