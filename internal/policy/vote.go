package policy

import "math"

// When a vote is cast, and which. The reasons are in docs/design.md, exceptions 0, 8 and 11.
const (
	voteRetrySeconds         = 0.5  // until a vote that did not count is cast again
	holdThreshold            = 0.75 // part of the rollback threshold from which the clock is held
	doubtThreshold           = 0.5  // part of it above which nothing is promoted and a vote to roll back is kept
	promoteWaitSeconds       = 3.7  // after the start of the newest canary endpoint and of the stage, with enough outcomes
	promoteWaitFewSeconds    = 5.0  // with fewer, where that may bring them
	promoteUnseenWaitSeconds = 9.0  // of a stage after which a list that does not show it is no reason to wait; age of a list in doubt
)

// Verdict is a vote on a release. The numbers are those of the platform's and the controller's protocols.
type Verdict uint8

// The votes.
const (
	VoteNone Verdict = iota
	VotePromote
	VoteHold // automatic stages only: don't advance
	VoteRollback
)

// VoteReply is what became of a vote.
type VoteReply uint8

// The replies to a vote.
const (
	VoteCounted VoteReply = iota
	VoteMoot              // it was too late to matter
	VoteRefused           // too many votes, or an error
	VoteUnknown           // no reply in time; it may count
)

type vote struct {
	build, stage int
	verdict      Verdict
}

// CurrentVote gives the vote that stands.
func (b *Balancer) CurrentVote() (build int, verdict Verdict) {
	return b.currentVote.build, b.currentVote.verdict
}

// RestoreVote enters, at a start, the vote that the process before cast age seconds ago. One that may or may not have counted (not
// sure) is taken to be half through its life, so that it is renewed or withdrawn at once.
func (b *Balancer) RestoreVote(now float64, build, stage int, verdict Verdict, age float64, sure bool) {
	if !sure {
		age = max(age, b.config.VoteLifetimeSeconds/2)
	}
	b.currentVote, b.voteCastAt = vote{build, stage, verdict}, now-age
}

// OnVoteReply enters what became of the vote that was cast last.
func (b *Balancer) OnVoteReply(now float64, reply VoteReply) {
	if !b.votePending {
		return
	}
	b.votePending = false
	if reply == VoteCounted {
		b.currentVote, b.voteCastAt = b.pendingVote, b.voteSentAt
	} else {
		b.noVoteBefore = now + voteRetrySeconds
	}
}

// rollbackVotes is how many votes send a release back.
func (b *Balancer) rollbackVotes() int { return max(1, b.config.RollbackVotes) }

// votedRollback tells whether this balancer's vote to roll the present release back stands.
func (b *Balancer) votedRollback() bool {
	return b.currentVote.verdict == VoteRollback && b.currentVote.build == b.release.build
}

// rollsBackAlone tells whether this balancer's vote, which stands, is enough to send the release back.
func (b *Balancer) rollsBackAlone() bool { return b.config.RollbackVotes <= 1 && b.votedRollback() }

// voteDue gives the vote that the evidence calls for, and tells whether it is to be cast now.
func (b *Balancer) voteDue(now float64) (wanted vote, due bool) {
	if b.votePending && now-b.voteSentAt > b.config.VoteTimeoutSeconds+2*voteRetrySeconds {
		b.votePending = false
	}
	wanted = vote{b.release.build, b.release.stage, b.verdict(now)}
	if wanted.verdict == VoteRollback {
		wanted.stage = 0
	}
	if b.release.over() || b.votePending || now < b.noVoteBefore || !b.changesVote(now, wanted) {
		return wanted, false
	}
	tooSoon := now-b.voteSentAt < float64(b.config.Routers)/b.config.VotesPerSecond
	return wanted, wanted.verdict == VoteRollback || !tooSoon
}

// changesVote tells whether a vote has to be cast: it is not the one that stands, or that one needs renewal. No vote is cast to withdraw
// one that has run out, is on another build, or promotes.
func (b *Balancer) changesVote(now float64, wanted vote) bool {
	stands := b.currentVote.verdict != VoteNone && now-b.voteCastAt < b.config.VoteLifetimeSeconds
	fresh := stands && now-b.voteCastAt < b.config.VoteLifetimeSeconds/2
	if wanted.verdict == VoteNone {
		nothingToWithdraw := !stands || b.currentVote.build != b.release.build || b.currentVote.verdict == VotePromote
		if nothingToWithdraw {
			return false
		}
	}
	return wanted != b.currentVote || !fresh
}

// verdict is the vote that the evidence calls for.
func (b *Balancer) verdict(now float64) Verdict {
	if !b.release.known || b.release.over() {
		return VoteNone
	}
	counts := b.counts()
	evidence := b.evidenceOverThreshold(counts)
	keepsRollback := b.votedRollback() && (b.rollbackVotes() == 1 && !b.config.AutomaticStages || evidence > doubtThreshold)
	switch {
	case evidence >= 1 || keepsRollback:
		return VoteRollback
	case b.config.AutomaticStages && evidence > holdThreshold && b.release.phase != PhaseReleased:
		return VoteHold
	case b.config.AutomaticStages || b.release.phase == PhaseReleased:
		return VoteNone // there is nothing to promote, or it needs no vote
	case evidence > doubtThreshold || b.endpointListAge > promoteUnseenWaitSeconds:
		return VoteNone // in doubt nothing is promoted
	case b.mayPromote(now, counts):
		return VotePromote
	}
	return VoteNone
}

// evidenceOverThreshold is the strongest evidence against the canary, over the threshold of its kind.
func (b *Balancer) evidenceOverThreshold(counts []*endpointCounts) (strongest float64) {
	metrics := b.metricsCounts(counts)
	for kind := range failureKinds {
		threshold := b.thresholdFor(kind)
		strongest = max(strongest, b.combinedEvidence(kind, threshold, counts, metrics)/threshold)
	}
	return strongest
}

// thresholdFor is the log-likelihood ratio, in nats, from which a kind of failure calls for a rollback. ln(routers) guards against the
// one of many that crosses by chance. Where k votes are needed, any k of n have to: the threshold is where that is as unlikely.
// Wrong answers are found by each client for itself; what fails or is late troubles many routers at once, so that there they
// only share the guard.
func (b *Balancer) thresholdFor(kind int) float64 {
	n, k := float64(b.config.Routers), float64(b.rollbackVotes())
	if kind == wrongAnswer {
		return (rollbackThreshold + logBinomial(n, k)) / k
	}
	return rollbackThreshold + math.Log(n/k)
}

// mayPromote tells whether the list shows the stage, and the newest canary endpoint and the stage have been watched for long enough.
func (b *Balancer) mayPromote(now float64, counts []*endpointCounts) bool {
	wait := b.promoteWait(now, counts)
	if b.canaryReady == 0 || now-max(b.newestCanary, b.release.stageStartedAt) < wait {
		return false
	}
	return b.stageIsShown() || now-b.release.stageStartedAt >= promoteUnseenWaitSeconds
}

// stageIsShown tells whether the list shows as many canary endpoints as the stage has, in whole endpoints.
func (b *Balancer) stageIsShown() bool {
	places := float64(b.baselineReady)
	if b.config.ReplaceInPlace {
		places = float64(b.baselineReady + b.canaryReady)
	}
	share := b.config.StageShares[min(b.release.stage, len(b.config.StageShares)-1)]
	return float64(b.canaryReady) >= math.Ceil(places*share-1e-6)
}

// promoteWait is how long the canary is watched before it is promoted. More time is taken where it would bring the outcomes that are lacking; a
// router with little traffic would wait in vain.
func (b *Balancer) promoteWait(now float64, counts []*endpointCounts) float64 {
	outcomes := 0.0
	for _, c := range counts {
		if c.build == b.release.build {
			outcomes += c.byKind[attemptLost].total
		}
	}
	rate := b.requestRate(now) + b.reportedRate
	more := rate * b.readyCapacity[canary] / (b.readyCapacity[baseline] + b.readyCapacity[canary]) * (promoteWaitFewSeconds - promoteWaitSeconds)
	if outcomes >= minCanaryOutcomes || outcomes+more < minCanaryOutcomes {
		return promoteWaitSeconds
	}
	return promoteWaitFewSeconds
}
