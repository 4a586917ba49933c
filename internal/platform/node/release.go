package node

import (
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

func (n *Node) applyRelease(update *releases.Update) {
	n.proxy.ApplyRelease(update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds)
}

// reportWrongAnswer reports to the proxy that an endpoint gave a wrong answer ageSeconds ago. It ignores unknown hosts.
func (n *Node) reportWrongAnswer(host string, ageSeconds float64) {
	n.mu.Lock()
	id := n.registry.EndpointID(host)
	n.mu.Unlock()
	if id > 0 {
		n.proxy.ReportWrongAnswer(id, ageSeconds)
	}
}

// castVote sends a vote of the policy to the platform without waiting for the reply.
func (n *Node) castVote(vote releases.Vote) {
	if vote.Verdict == policy.VoteRollback {
		n.logEvidence(vote.Build)
	}
	n.platform.Cast(vote)
}

// buildEvidence sums up the samples of one build. The arrays are indexed by failure kind.
type buildEvidence struct {
	failingEndpoints [len(policy.FailureKindNames)]float64 // number of endpoints with at least one failure
	outcomes         [len(policy.FailureKindNames)]float64
	failures         [len(policy.FailureKindNames)]float64
}

// logEvidence logs the evidence for a rollback vote: the sums of the samples of the canary and of each other build.
func (n *Node) logEvidence(canary int) {
	byBuild := map[int]*buildEvidence{}
	for _, sample := range n.proxy.LocalEvidence().Samples {
		evidence := byBuild[sample.Build]
		if evidence == nil {
			evidence = &buildEvidence{}
			byBuild[sample.Build] = evidence
		}
		for kind := range sample.Outcomes {
			evidence.outcomes[kind] += sample.Outcomes[kind]
			evidence.failures[kind] += sample.Failures[kind]
			if sample.Failures[kind] > 0 {
				evidence.failingEndpoints[kind]++
			}
		}
	}
	for build, evidence := range byBuild {
		n.log.Info("rollback evidence", "canary", canary, "build", build, "kinds", policy.FailureKindNames,
			"outcomes", evidence.outcomes, "failures", evidence.failures, "failing_endpoints", evidence.failingEndpoints)
	}
}
