package releases

import "flintspread/internal/policy"

// phases maps the protocol's phases to those of the policy.
var phases = map[string]policy.Phase{
	"on-trial":   policy.PhaseCanary,
	"going-back": policy.PhaseRollingBack,
	"released":   policy.PhaseReleased,
	"withdrawn":  policy.PhaseWithdrawn,
}

// verdicts holds the protocol's value for each verdict of the policy.
var verdicts = [...]string{
	policy.VoteNone:     "none",
	policy.VotePromote:  "on",
	policy.VoteHold:     "hold",
	policy.VoteRollback: "back",
}

// replies maps the protocol's replies to a vote to those of the policy.
var replies = map[string]policy.VoteReply{
	"counted": policy.VoteCounted,
	"moot":    policy.VoteMoot,
	"refused": policy.VoteRefused,
}

// replyNames holds the name of each reply in log messages.
var replyNames = [...]string{
	policy.VoteCounted: "counted",
	policy.VoteMoot:    "moot",
	policy.VoteRefused: "refused",
	policy.VoteUnknown: "unknown",
}
