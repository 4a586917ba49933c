package proxy

import (
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
)

// The methods in this file pass external input (endpoint list, release, controller, clients' reports) to the balancer,
// under the lock that serializes its calls.

// ApplyEndpoints applies changes returned by endpoints.List.Apply or FullUpdate to the balancer and the pools. Apply sets
// Full only while its list is still empty. All decisions made after ApplyEndpoints returns use the changed list.
func (p *Proxy) ApplyEndpoints(changes *endpoints.Update) {
	var effects effects
	defer p.runEffects(&effects) // runs after the unlock
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	p.endpointListConfirmedAt, p.endpointListVersion = now-changes.AgeSeconds, changes.Version
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

// ConfirmEndpoints records that the endpoint list is still current.
func (p *Proxy) ConfirmEndpoints() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpointListConfirmedAt = p.Now()
}

// EndpointListConfirmedAt returns the instant, on the clock of Now, at which the endpoint list was last known to be current.
func (p *Proxy) EndpointListConfirmedAt() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpointListConfirmedAt
}

// ApplyRelease applies an update of the newest build's release; see policy.Balancer.ApplyRelease.
func (p *Proxy) ApplyRelease(build, stage int, phase policy.Phase, limit, ageSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyRelease(p.Now(), build, stage, phase, limit, ageSeconds)
}

// RestoreRelease applies the release state that the previous process saved; it was last confirmed confirmedAgeSeconds
// ago.
func (p *Proxy) RestoreRelease(build, stage int, phase policy.Phase, limit, ageSeconds, confirmedAgeSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.RestoreRelease(p.Now(), build, stage, phase, limit, ageSeconds, confirmedAgeSeconds)
}

// ApplyAssignment applies a controller's assignment: its verdict on a build, and the share leased until leaseEndsAt.
func (p *Proxy) ApplyAssignment(build int, verdict policy.Verdict, share, leaseEndsAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyAssignment(build, verdict, share, leaseEndsAt)
}

// SetHealthMarks replaces the controller's health marks on endpoints; they are ageSeconds old.
func (p *Proxy) SetHealthMarks(ageSeconds float64, marks []policy.HealthMark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetHealthMarks(p.Now(), ageSeconds, marks)
}

// LocalEvidence returns the balancer's own counts for the current build, for the report to a controller.
func (p *Proxy) LocalEvidence() policy.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.LocalEvidence(p.Now())
}

// ReportWrongAnswer records that an endpoint gave a wrong answer to an attempt made ageSeconds ago.
func (p *Proxy) ReportWrongAnswer(endpointID uint32, ageSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countWrongAnswer(endpointID, ageSeconds)
}

// countWrongAnswer counts a reported wrong answer and passes it to the balancer. The caller holds p.mu.
func (p *Proxy) countWrongAnswer(endpointID uint32, ageSeconds float64) {
	p.stats.WrongAnswers++
	p.balancer.ReportWrongAnswer(p.Now(), endpointID, ageSeconds)
}

// OnVoteReply passes the reply to the last cast vote to the balancer.
func (p *Proxy) OnVoteReply(reply policy.VoteReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.OnVoteReply(p.Now(), reply)
}
