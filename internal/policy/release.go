package policy

// Phase is the phase of a release. The values are those of the simulator's protocol.
type Phase uint8

// The phases of a release.
const (
	PhaseCanary Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// release is the last known state of the newest build.
type release struct {
	known          bool // false until the first ApplyRelease
	build          int
	stage          int
	phase          Phase
	canaryLimit    float64 // upper limit of canary attempts, as a share of the requests received
	stageStartedAt float64
}

// aborted reports whether the release is being rolled back or has been withdrawn.
func (r *release) aborted() bool { return r.phase == PhaseRollingBack || r.phase == PhaseWithdrawn }

// isCanary reports whether this balancer treats a build as a canary. While no release is known, these are all builds but
// the oldest.
func (b *Balancer) isCanary(build int) bool {
	if !b.release.known {
		return build > b.oldestBuild
	}
	return build > b.release.build || build == b.release.build && b.release.phase != PhaseReleased
}

// ApplyRelease records the state of the newest build: its stage, its phase, its canary traffic limit as a share of the
// requests received, and the age of that state in seconds.
func (b *Balancer) ApplyRelease(now float64, build, stage int, phase Phase, limit, age float64) {
	if !b.release.known || build != b.release.build {
		b.localCounts = nil
	}
	b.release = release{known: true, build: build, stage: stage, phase: phase, canaryLimit: limit, stageStartedAt: now - age}
	if b.release.aborted() {
		clear(b.buildByKey)
		b.keyFloorBuild = 0
	}
	b.mergeNeeded = true
	b.regroupEndpoints(now)
}

// RestoreRelease applies the release state that a router's previous process saved and that was last confirmed
// confirmedAgo seconds ago. While the controller is unavailable, a restarted router has no other source. Without this
// state it would apply the first stage's canary traffic limit, even if the fleet runs only the canary. State that was
// last confirmed longer ago than a vote's lifetime is ignored.
func (b *Balancer) RestoreRelease(now float64, build, stage int, phase Phase, limit, age, confirmedAgo float64) {
	if confirmedAgo < b.config.VoteLifetimeSeconds {
		b.ApplyRelease(now, build, stage, phase, limit, age+confirmedAgo)
	}
}

// ApplyAssignment records a controller's decisions for its router: the vote in force, the build that it is on, and the
// router's share of the free canary attempts, which is leased until leaseEndsAt. While the controller is unavailable no
// limit is relaxed: the vote does not expire, draining endpoints receive no attempts, canary traffic limits stay in force,
// a build that was not announced is treated as in its first stage, and the leased share counts as zero once the lease
// has ended.
func (b *Balancer) ApplyAssignment(build int, verdict Verdict, share, leaseEndsAt float64) {
	b.currentVote = vote{build: build, verdict: verdict}
	b.leasedShare, b.leaseEndsAt = share, leaseEndsAt
}
