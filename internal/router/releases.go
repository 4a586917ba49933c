package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// onReleaseMessage handles a message of the release service's stream.
func (r *Router) onReleaseMessage(update *releases.Update) error {
	if update.Heartbeat {
		return nil
	}
	return r.applyRelease(update)
}

// onVoteReply handles the reply to a vote, which may contain a release update.
func (r *Router) onVoteReply(_ releases.Vote, reply policy.VoteReply, update *releases.Update) {
	if update != nil {
		if err := r.applyRelease(update); err != nil {
			r.log.Warn("rejected the release update in a vote reply", "error", err)
		}
	}
	r.proxy.OnVoteReply(reply)
}

// stageCount returns the number of rollout stages of the configuration version in force.
func (r *Router) stageCount() int { return len(r.proxy.ConfigVersion().Policy.StageShares) }

// applyRelease applies a release update. Updates arrive on the stream and in replies to votes, so an update may arrive
// after a newer one; such an update is dropped.
func (r *Router) applyRelease(update *releases.Update) error {
	if err := update.Check(r.stageCount()); err != nil {
		return err
	}
	r.releaseMu.Lock()
	defer r.releaseMu.Unlock()
	if update.Version < r.releaseVersion {
		r.log.Info("ignored an outdated release update", "version", update.Version, "applied_version", r.releaseVersion)
		return nil
	}
	r.releaseVersion = update.Version
	r.proxy.ApplyRelease(update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds)
	return nil
}

// savedRelease is the last release update, as saved on disk for a router that restarts while its controller is
// unreachable.
type savedRelease struct {
	Update      releases.Update `json:"news"`
	ConfirmedAt float64         `json:"at"` // Unix time in seconds
}

// releaseSaveIntervalSeconds is the minimum time between two writes of an update that was confirmed but not changed.
const releaseSaveIntervalSeconds = 1.0

func (r *Router) releaseFile() string { return filepath.Join(r.config.StateDir, "news.json") }

// saveRelease saves a release update on disk. It is called only from the controller client's goroutine.
func (r *Router) saveRelease(update *releases.Update) {
	now := wallClock()
	last := r.lastSavedRelease
	if update.Version == last.Update.Version && now < last.ConfirmedAt+releaseSaveIntervalSeconds {
		return
	}
	r.lastSavedRelease = savedRelease{Update: *update, ConfirmedAt: now}
	text, err := json.Marshal(r.lastSavedRelease)
	if err == nil {
		err = endpoints.ReplaceFile(r.releaseFile(), text)
	}
	if err != nil {
		r.log.Error("failed to save the release update", "error", err)
	}
}

// restoreRelease passes the release update that the previous process saved to the proxy. The policy decides by the
// update's age whether it still applies. If the file cannot be read, the error is logged and the update ignored.
func (r *Router) restoreRelease() {
	saved, err := readRelease(r.releaseFile(), r.stageCount())
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		r.log.Error("failed to read the saved release update", "error", err)
		return
	}
	confirmedAgo := max(0, wallClock()-saved.ConfirmedAt)
	update := saved.Update
	r.log.Info("saved release update restored", "build", update.Build, "stage", update.Stage, "phase", update.Phase,
		"confirmed_ago_seconds", confirmedAgo)
	r.releaseVersion = update.Version
	r.proxy.RestoreRelease(update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds, confirmedAgo)
}

// readRelease reads and checks a saved release update. If there is no file, the error wraps fs.ErrNotExist.
func readRelease(file string, stages int) (savedRelease, error) {
	var saved savedRelease
	text, err := os.ReadFile(file)
	if err != nil {
		return saved, err
	}
	if err = json.Unmarshal(text, &saved); err == nil {
		err = saved.Update.Check(stages)
	}
	if err != nil {
		return saved, fmt.Errorf("%s: %w", file, err)
	}
	return saved, nil
}
