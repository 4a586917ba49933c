package policy

import "math"

// When a vote is cast, and which. docs/design.md, "Changed", gives the reasons (0, 8 and 11).
const (
	voteRetrySeconds           = 0.5  // time until a vote that did not count is cast again
	holdThreshold              = 0.75 // fraction of the rollback threshold above which automatic stages are held
	doubtThreshold             = 0.5  // fraction of it above which nothing is promoted and a vote to roll back is kept
	promoteWaitSeconds         = 3.7  // time since the newest canary endpoint and the stage started, with enough outcomes
	promoteWaitFewSeconds      = 5.0  // the same with fewer outcomes, if waiting can provide them
	promoteUnlistedWaitSeconds = 9.0  // stage age from which the list need not show the stage
	maxPromoteListAgeSeconds   = 9.0  // list age above which nothing is promoted
)

// Verdict is a vote on a release. The numbers are those of the platform's and the controller's protocols.
type Verdict uint8

// The verdicts.
const (
	VoteNone Verdict = iota
	VotePromote
	VoteHold // automatic stages only: don't advance
	VoteRollback
)

// VoteReply is the outcome of casting a vote.
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

// CurrentVote returns the vote in force and the build it is on.
func (b *Balancer) CurrentVote() (build int, verdict Verdict) {
	return b.currentVote.build, b.currentVote.verdict
}

// RestoreVote restores, at a start, the vote that the previous process cast age seconds ago. If it is not sure that the
// vote counted, it is treated as at least half through its lifetime, so that it is renewed or withdrawn at once.
func (b *Balancer) RestoreVote(now float64, build, stage int, verdict Verdict, age float64, sure bool) {
	if !sure {
		age = max(age, b.config.VoteLifetimeSeconds/2)
	}
	b.currentVote, b.voteCastAt = vote{build, stage, verdict}, now-age
}

// OnVoteReply records the reply to the vote that was cast last.
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

// rollbackVotes returns the number of votes needed to roll a release back.
func (b *Balancer) rollbackVotes() int { return max(1, b.config.RollbackVotes) }

// votedRollback reports whether this balancer's current vote is to roll the present release back.
func (b *Balancer) votedRollback() bool {
	return b.currentVote.verdict == VoteRollback && b.currentVote.build == b.release.build
}

// rollsBackAlone reports whether this balancer's current vote suffices to roll the release back.
func (b *Balancer) rollsBackAlone() bool { return b.config.RollbackVotes <= 1 && b.votedRollback() }

// voteDue returns the vote that the evidence calls for, and whether to cast it now.
func (b *Balancer) voteDue(now float64) (wanted vote, due bool) {
	if b.votePending && now-b.voteSentAt > b.config.VoteTimeoutSeconds+2*voteRetrySeconds {
		b.votePending = false
	}
	wanted = vote{b.release.build, b.release.stage, b.verdict(now)}
	if wanted.verdict == VoteRollback {
		wanted.stage = 0
	}
	if b.release.aborted() || b.votePending || now < b.noVoteBefore || !b.changesVote(now, wanted) {
		return wanted, false
	}
	// All routers share the rate of votes that the release service accepts; a rollback does not wait.
	tooSoon := now-b.voteSentAt < float64(b.config.RouterGroups)/b.config.VotesPerSecond
	return wanted, wanted.verdict == VoteRollback || !tooSoon
}

// changesVote reports whether a vote must be cast because it differs from the current one or that one needs renewal. A
// vote that has expired, is on another build, or promotes is never withdrawn.
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

// verdict returns the verdict that the evidence calls for.
func (b *Balancer) verdict(now float64) Verdict {
	if !b.release.known || b.release.aborted() {
		return VoteNone
	}
	counts := b.analysisCounts()
	evidence := b.evidenceOverThreshold(counts)
	keepsRollback := b.votedRollback() && (b.rollbackVotes() == 1 && !b.config.AutomaticStages || evidence > doubtThreshold)
	switch {
	case evidence >= 1 || keepsRollback:
		return VoteRollback
	case b.config.AutomaticStages && evidence > holdThreshold && b.release.phase != PhaseReleased:
		return VoteHold
	case b.config.AutomaticStages || b.release.phase == PhaseReleased:
		return VoteNone // nothing to promote, or promotion needs no vote
	case evidence > doubtThreshold || b.endpointListAge > maxPromoteListAgeSeconds:
		return VoteNone // nothing is promoted while in doubt
	case b.mayPromote(now, counts):
		return VotePromote
	}
	return VoteNone
}

// evidenceOverThreshold returns the strongest evidence against the canary, relative to the threshold of its kind.
func (b *Balancer) evidenceOverThreshold(counts []*endpointCounts) (strongest float64) {
	metrics := b.metricsCounts(counts)
	for kind := range failureKindCount {
		threshold := b.thresholdFor(kind)
		strongest = max(strongest, b.combinedEvidence(kind, threshold, counts, metrics)/threshold)
	}
	return strongest
}

// thresholdFor returns the log-likelihood ratio, in nats, from which a kind of failure calls for a rollback. The term
// ln(routers) guards against the one router of many that crosses by chance. Where k votes are needed, any k of n
// routers must cross: the threshold is set so that this is as unlikely. Wrong answers are observed by each router
// independently; errors and lateness affect many routers at once, so that k routers only share the guard.
func (b *Balancer) thresholdFor(kind int) float64 {
	n, k := float64(b.config.RouterGroups), float64(b.rollbackVotes())
	if kind == wrongAnswer {
		return (rollbackThreshold + logBinomial(n, k)) / k
	}
	return rollbackThreshold + math.Log(n/k)
}

// mayPromote reports whether the endpoint list shows the stage, and both the newest canary endpoint and
// the stage have been observed for long enough.
func (b *Balancer) mayPromote(now float64, counts []*endpointCounts) bool {
	wait := b.promoteWait(now, counts)
	if b.canaryReady == 0 || now-max(b.newestCanary, b.release.stageStartedAt) < wait {
		return false
	}
	return b.listShowsStage() || now-b.release.stageStartedAt >= promoteUnlistedWaitSeconds
}

// listShowsStage reports whether the endpoint list shows as many canary endpoints as the stage calls for, rounded up.
func (b *Balancer) listShowsStage() bool {
	places := float64(b.baselineReady)
	if b.config.ReplaceInPlace {
		places = float64(b.baselineReady + b.canaryReady)
	}
	share := b.config.StageShares[min(b.release.stage, len(b.config.StageShares)-1)]
	return float64(b.canaryReady) >= math.Ceil(places*share-1e-6)
}

// promoteWait returns how long to observe the canary before promoting it. It is longer if that would provide the
// missing outcomes; a router with little traffic would wait in vain.
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
