package policy

import "math"

// When a vote is cast, and which one. The reasons are in docs/design.md, "Changed, and when each exception applies", under
// "Open values", "Several votes share the threshold" and "No promotion in doubt".
const (
	voteRetrySeconds           = 0.5  // time after which a vote that did not count is cast again
	holdThreshold              = 0.75 // fraction of the rollback threshold above which automatic stages are held
	doubtThreshold             = 0.5  // fraction of it above which no stage is promoted and no rollback vote withdrawn
	promoteWaitSeconds         = 3.7  // wait before a promotion, since the stage and the newest canary endpoint started
	promoteWaitFewSeconds      = 5.0  // longer wait, used if it can provide missing outcomes
	promoteUnlistedWaitSeconds = 9.0  // stage age from which listShowsStage is no longer required
	maxPromoteListAgeSeconds   = 9.0  // age of the endpoint list above which no stage is promoted
)

// Verdict is a vote on a release. The values are those of the platform's and the controller's protocols.
type Verdict uint8

// The verdicts.
const (
	VoteNone Verdict = iota
	VotePromote
	VoteHold // with automatic stages only: do not advance to the next stage
	VoteRollback
)

// VoteReply is the release service's reply to a vote, or the lack of one.
type VoteReply uint8

// The replies to a vote.
const (
	VoteCounted VoteReply = iota
	VoteMoot              // too late to take effect: the release has changed
	VoteRefused           // too many votes, or an error
	VoteUnknown           // no reply in time; the vote may count
)

type vote struct {
	build, stage int
	verdict      Verdict
}

// CurrentVote returns the vote in force and the build it is on.
func (b *Balancer) CurrentVote() (build int, verdict Verdict) {
	return b.currentVote.build, b.currentVote.verdict
}

// RestoreVote restores the vote that the previous process cast age seconds ago. outcomeKnown says whether the release
// service replied to it. If it did not, the vote is treated as having passed at least half of its lifetime, so that it
// is renewed or withdrawn at once.
func (b *Balancer) RestoreVote(now float64, build, stage int, verdict Verdict, age float64, outcomeKnown bool) {
	if !outcomeKnown {
		age = max(age, b.config.VoteLifetimeSeconds/2)
	}
	b.currentVote, b.voteCastAt = vote{build, stage, verdict}, now-age
}

// OnVoteReply records the reply to the last vote cast.
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

// votedRollback reports whether this balancer's current vote is to roll the current release back.
func (b *Balancer) votedRollback() bool {
	return b.currentVote.verdict == VoteRollback && b.currentVote.build == b.release.build
}

// rollsBackAlone reports whether this balancer's current vote alone suffices to roll the release back.
func (b *Balancer) rollsBackAlone() bool { return b.config.RollbackVotes <= 1 && b.votedRollback() }

// voteDue returns the vote that the evidence calls for, and whether to cast it now.
func (b *Balancer) voteDue(now float64) (wanted vote, due bool) {
	if b.votePending && now-b.voteSentAt > b.config.VoteTimeoutSeconds+2*voteRetrySeconds {
		b.votePending = false
	}
	wanted = vote{b.release.build, b.release.stage, b.verdict(now)}
	if wanted.verdict == VoteRollback {
		wanted.stage = 0 // a rollback vote is the same in every stage
	}
	if b.release.aborted() || b.votePending || now < b.noVoteBefore || !b.changesVote(now, wanted) {
		return wanted, false
	}
	// All routers share the rate of votes that the release service accepts. A rollback vote does not wait for its turn.
	tooSoon := now-b.voteSentAt < float64(b.config.RouterGroups)/b.config.VotesPerSecond
	return wanted, wanted.verdict == VoteRollback || !tooSoon
}

// changesVote reports whether a vote must be cast, because it differs from the current vote or because the current one
// has passed half of its lifetime and needs renewal. A vote is never withdrawn if it has expired, is on another build, or
// is to promote.
func (b *Balancer) changesVote(now float64, wanted vote) bool {
	inForce := b.currentVote.verdict != VoteNone && now-b.voteCastAt < b.config.VoteLifetimeSeconds
	recentlyCast := inForce && now-b.voteCastAt < b.config.VoteLifetimeSeconds/2
	if wanted.verdict == VoteNone {
		nothingToWithdraw := !inForce || b.currentVote.build != b.release.build || b.currentVote.verdict == VotePromote
		if nothingToWithdraw {
			return false
		}
	}
	return wanted != b.currentVote || !recentlyCast
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
		return VoteNone // no promotion while the evidence is unclear or the endpoint list is old
	case b.mayPromote(now, counts):
		return VotePromote
	}
	return VoteNone
}

// evidenceOverThreshold returns the strongest evidence against the canary among all kinds of failure, as a fraction of
// the rollback threshold of its kind.
func (b *Balancer) evidenceOverThreshold(counts []*endpointCounts) (strongest float64) {
	metrics := b.metricsCounts(counts)
	for kind := range failureKindCount {
		threshold := b.thresholdFor(kind)
		strongest = max(strongest, b.combinedEvidence(kind, threshold, counts, metrics)/threshold)
	}
	return strongest
}

// thresholdFor returns the rollback threshold of a kind of failure: the log-likelihood ratio, in nats, from which it calls
// for a rollback. With n routers and one vote needed, the term ln(n) compensates for the chance that any one of them
// exceeds the threshold by accident. With k votes needed, the threshold is set so that the chance that any k of n
// routers exceed it by accident is no greater than with one vote. Each router observes wrong answers independently, so
// k of them must err together. Errors and load-sensitive failures affect many routers at once, so the k votes only
// reduce the term to ln(n/k).
func (b *Balancer) thresholdFor(kind int) float64 {
	n, k := float64(b.config.RouterGroups), float64(b.rollbackVotes())
	if kind == wrongAnswer {
		return (rollbackThreshold + logBinomial(n, k)) / k
	}
	return rollbackThreshold + math.Log(n/k)
}

// mayPromote reports whether the stage and the newest canary endpoint have been observed for long enough, and whether the
// endpoint list shows the stage. A stage older than promoteUnlistedWaitSeconds need not be shown.
func (b *Balancer) mayPromote(now float64, counts []*endpointCounts) bool {
	wait := b.promoteWait(now, counts)
	if b.canaryReady == 0 || now-max(b.newestCanaryStartedAt, b.release.stageStartedAt) < wait {
		return false
	}
	return b.listShowsStage() || now-b.release.stageStartedAt >= promoteUnlistedWaitSeconds
}

// listShowsStage reports whether the endpoint list contains as many ready canary endpoints as the stage requires, rounded
// up.
func (b *Balancer) listShowsStage() bool {
	fleetSize := float64(b.baselineReady)
	if b.config.ReplaceInPlace {
		fleetSize = float64(b.baselineReady + b.canaryReady)
	}
	share := b.config.StageShares[min(b.release.stage, len(b.config.StageShares)-1)]
	return float64(b.canaryReady) >= math.Ceil(fleetSize*share-1e-6)
}

// promoteWait returns how many seconds to observe the canary before promoting it. It returns the longer time only if
// outcomes are missing and the expected traffic would provide them in that time.
func (b *Balancer) promoteWait(now float64, counts []*endpointCounts) float64 {
	outcomes := 0.0
	for _, c := range counts {
		if c.build == b.release.build {
			outcomes += c.byKind[attemptLost].total
		}
	}
	rate := b.requestRate(now) + b.reportedRate
	expected := rate * b.readyCapacity[canary] / (b.readyCapacity[baseline] + b.readyCapacity[canary]) * (promoteWaitFewSeconds - promoteWaitSeconds)
	if outcomes >= minCanaryOutcomes || outcomes+expected < minCanaryOutcomes {
		return promoteWaitSeconds
	}
	return promoteWaitFewSeconds
}
