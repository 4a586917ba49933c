package policy

// Phase is how far a release has come. The numbers are those of the simulator's protocol.
type Phase uint8

// The phases of a release.
const (
	PhaseCanary Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// release is what is known of the newest build.
type release struct {
	known          bool // anything was told at all
	build          int
	stage          int
	phase          Phase
	canaryLimit    float64 // canary attempts as a share of the requests received
	stageStartedAt float64
}

// over tells whether the release is rolling back or was withdrawn.
func (r *release) over() bool { return r.phase == PhaseRollingBack || r.phase == PhaseWithdrawn }

// isCanary tells whether a build is on trial for this balancer. Before any news only the oldest build is not.
func (b *Balancer) isCanary(build int) bool {
	if !b.release.known {
		return build > b.oldestBuild
	}
	return build > b.release.build || build == b.release.build && b.release.phase != PhaseReleased
}

// ApplyRelease enters news of the newest build: its stage, its phase, its canary traffic limit, and how long that has lasted.
func (b *Balancer) ApplyRelease(now float64, build, stage int, phase Phase, limit, age float64) {
	if !b.release.known || build != b.release.build {
		b.localCounts = nil
	}
	b.release = release{known: true, build: build, stage: stage, phase: phase, canaryLimit: limit, stageStartedAt: now - age}
	if b.release.over() {
		clear(b.buildByKey)
		b.keyFloorBuild = 0
	}
	b.mergeNeeded = true
	b.regroupEndpoints(now)
}

// RestoreRelease enters, at the start of a router, the news that the process before it had, confirmed so long ago. While its controller
// is away nobody else tells it, and a fleet that runs the canary alone would be held to the first stage's limit. Such news holds
// for as long as a vote does.
func (b *Balancer) RestoreRelease(now float64, build, stage int, phase Phase, limit, age, confirmedAgo float64) {
	if confirmedAgo < b.config.VoteLifetimeSeconds {
		b.ApplyRelease(now, build, stage, phase, limit, age+confirmedAgo)
	}
}

// ApplyAssignment enters what a controller tells its router: the vote that stands, on which build, and the router's share of the free
// canary attempts until the lease ends. An assignment has no end of its own: without a controller nothing is loosened. Drains and limits
// that were told stay binding, an unannounced build is in its first stage, and the leased share is zero once the lease is over.
func (b *Balancer) ApplyAssignment(build int, verdict Verdict, share, leaseEndsAt float64) {
	b.currentVote = vote{build: build, verdict: verdict}
	b.leasedShare, b.leaseEndsAt = share, leaseEndsAt
}
