package policy

// Phase is the phase of a release. The numbers are those of the simulator's protocol.
type Phase uint8

// The phases of a release.
const (
	PhaseCanary Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// release is what is known about the newest build.
type release struct {
	known          bool // false until the first ApplyRelease
	build          int
	stage          int
	phase          Phase
	canaryLimit    float64 // upper limit of canary attempts, as a share of the requests received
	stageStartedAt float64
}

// aborted reports whether the release is rolling back or was withdrawn.
func (r *release) aborted() bool { return r.phase == PhaseRollingBack || r.phase == PhaseWithdrawn }

// isCanary reports whether a build is a canary for this balancer. While no release is
// known, every build but the oldest is.
func (b *Balancer) isCanary(build int) bool {
	if !b.release.known {
		return build > b.oldestBuild
	}
	return build > b.release.build || build == b.release.build && b.release.phase != PhaseReleased
}

// ApplyRelease records the state of the newest build: its stage, its phase, its canary traffic limit as a share of the
// requests received, and its age, the seconds since that state began.
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

// RestoreRelease applies, at the start of a router, the release state that its previous process had, last confirmed
// confirmedAgo seconds ago. While the controller is away there is no other source, and a fleet that runs only the
// canary would be held to the first stage's limit. State older than a vote's lifetime is ignored.
func (b *Balancer) RestoreRelease(now float64, build, stage int, phase Phase, limit, age, confirmedAgo float64) {
	if confirmedAgo < b.config.VoteLifetimeSeconds {
		b.ApplyRelease(now, build, stage, phase, limit, age+confirmedAgo)
	}
}

// ApplyAssignment records a controller's decisions for its router: the current vote, the build it is on, and the
// router's share of the free canary attempts until the lease ends. The vote does not expire: while the controller is
// away nothing is relaxed. Drains and limits stay binding, an unannounced build is in its first stage, and the
// leased share is zero once the lease has ended.
func (b *Balancer) ApplyAssignment(build int, verdict Verdict, share, leaseEndsAt float64) {
	b.currentVote = vote{build: build, verdict: verdict}
	b.leasedShare, b.leaseEndsAt = share, leaseEndsAt
}
