package releases

import "flintspread/internal/policy"

// phases are the protocol's words for the phases of a release.
var phases = map[string]policy.Phase{
	"on-trial":   policy.PhaseCanary,
	"going-back": policy.PhaseRollingBack,
	"released":   policy.PhaseReleased,
	"withdrawn":  policy.PhaseWithdrawn,
}

// verdicts are its words for verdicts.
var verdicts = [...]string{
	policy.VoteNone:     "none",
	policy.VotePromote:  "on",
	policy.VoteHold:     "hold",
	policy.VoteRollback: "back",
}

// replies are its words for what became of a vote.
var replies = map[string]policy.VoteReply{
	"counted": policy.VoteCounted,
	"moot":    policy.VoteMoot,
	"refused": policy.VoteRefused,
}

// replyNames name in logs what became of a vote.
var replyNames = [...]string{
	policy.VoteCounted: "counted",
	policy.VoteMoot:    "moot",
	policy.VoteRefused: "refused",
	policy.VoteUnknown: "unknown",
}
