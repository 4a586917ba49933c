package node

import (
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

func (n *Node) applyRelease(update *releases.Update) {
	n.proxy.ApplyRelease(update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds)
}

// reportWrongAnswer reports to the proxy that an endpoint gave a wrong answer ageSeconds ago. An unknown host is
// ignored.
func (n *Node) reportWrongAnswer(host string, ageSeconds float64) {
	n.mu.Lock()
	id := n.registry.EndpointID(host)
	n.mu.Unlock()
	if id > 0 {
		n.proxy.ReportWrongAnswer(id, ageSeconds)
	}
}

// castVote casts a vote of the policy. It does not wait for the reply.
func (n *Node) castVote(vote releases.Vote) {
	if vote.Verdict == policy.VoteRollback {
		n.logEvidence(vote.Build)
	}
	n.platform.Cast(vote)
}

// buildEvidence is the sum of one build's samples, by failure kind.
type buildEvidence struct {
	failingEndpoints, outcomes, failures [len(policy.FailureKindNames)]float64
}

// logEvidence logs the evidence for a vote to roll back: the samples of the canary and of the other builds.
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
