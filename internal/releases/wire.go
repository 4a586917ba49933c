package releases

import "flintspread/internal/policy"

// phases maps the protocol's values to the phases of a release.
var phases = map[string]policy.Phase{
	"on-trial":   policy.PhaseCanary,
	"going-back": policy.PhaseRollingBack,
	"released":   policy.PhaseReleased,
	"withdrawn":  policy.PhaseWithdrawn,
}

// verdicts holds the protocol's values for verdicts.
var verdicts = [...]string{
	policy.VoteNone:     "none",
	policy.VotePromote:  "on",
	policy.VoteHold:     "hold",
	policy.VoteRollback: "back",
}

// replies maps the protocol's values to the replies to a vote.
var replies = map[string]policy.VoteReply{
	"counted": policy.VoteCounted,
	"moot":    policy.VoteMoot,
	"refused": policy.VoteRefused,
}

// replyNames holds the names of replies in logs.
var replyNames = [...]string{
	policy.VoteCounted: "counted",
	policy.VoteMoot:    "moot",
	policy.VoteRefused: "refused",
	policy.VoteUnknown: "unknown",
}
