package releases

import (
	"fmt"

	"flintspread/internal/policy"
)

// Update is one message of the release service's stream, or the service's reply to a vote.
type Update struct {
	Version     uint64  `json:"version"` // increases with every change, even across restarts of the service
	Build       int     `json:"build"`
	Stage       int     `json:"stage"`           // rollout stage, from 0
	Phase       string  `json:"phase"`           // a key of phases
	CanaryLimit float64 `json:"cap"`             // maximum share of requests that the canary receives in this stage, 0 to 1
	AgeSeconds  float64 `json:"age"`             // seconds since build, stage or phase last changed
	Vote        string  `json:"vote,omitempty"`  // in a reply: a key of replies
	Heartbeat   bool    `json:"quiet,omitempty"` // nothing has changed; the message only keeps the stream alive
}

// PolicyPhase returns the policy's value for the phase of a checked update.
func (u *Update) PolicyPhase() policy.Phase { return phases[u.Phase] }

// Check returns an error if an update is invalid for a rollout with the given number of stages. A rollback is valid in any
// stage, since it only takes traffic away: the service may know of more stages than the configuration in force.
func (u *Update) Check(stages int) error {
	if _, known := phases[u.Phase]; !known {
		return fmt.Errorf("unknown phase %q", u.Phase)
	}
	rollback := u.PolicyPhase() == policy.PhaseRollingBack || u.PolicyPhase() == policy.PhaseWithdrawn
	validStage := u.Stage >= 0 && (u.Stage < stages || rollback)
	validLimit := u.CanaryLimit >= 0 && u.CanaryLimit <= 1                 // false for NaN
	if u.Build < 0 || !validStage || !validLimit || !(u.AgeSeconds >= 0) { // the last condition also rejects NaN
		return fmt.Errorf("build %d, stage %d, cap %v, age %v: want build and age at least 0, stage from 0 to %d, cap from 0 to 1",
			u.Build, u.Stage, u.CanaryLimit, u.AgeSeconds, stages-1)
	}
	return nil
}
