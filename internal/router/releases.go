package router

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// onReleaseMessage takes a message of the release service's stream.
func (r *Router) onReleaseMessage(update *releases.Update) error {
	if update.Heartbeat {
		return nil
	}
	return r.applyRelease(update)
}

// onVoteReply takes the reply to a vote, which may bring a release update.
func (r *Router) onVoteReply(_ releases.Vote, reply policy.VoteReply, update *releases.Update) {
	if update != nil {
		if err := r.applyRelease(update); err != nil {
			r.log.Warn("release update in a vote's reply rejected", "error", err)
		}
	}
	r.proxy.OnVoteReply(reply)
}

// applyRelease applies a release update. Updates come by the stream and in replies to votes, so that a newer one may overtake an older
// one on the way, which is dropped.
func (r *Router) applyRelease(update *releases.Update) error {
	if err := update.Check(len(r.config.Release.StageShares)); err != nil {
		return err
	}
	r.releaseMu.Lock()
	defer r.releaseMu.Unlock()
	if update.Version < r.releaseVersion {
		r.log.Info("outdated release update dropped", "version", update.Version, "applied_version", r.releaseVersion)
		return nil
	}
	r.releaseVersion = update.Version
	r.proxy.ApplyRelease(update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds)
	return nil
}

// savedRelease is the last release update on disk: a router that restarts while its controller is away has no other.
type savedRelease struct {
	Update      releases.Update `json:"news"`
	ConfirmedAt float64         `json:"at"` // s since 1970
}

// releaseSaveInterval is the time in seconds between two writes of an update that is only confirmed.
const releaseSaveInterval = 1.0

func (r *Router) releaseFile() string { return filepath.Join(r.config.StateDir, "news.json") }

// saveRelease keeps a release update on disk. It is called by the controller client's goroutine alone.
func (r *Router) saveRelease(update *releases.Update) {
	now := wallClock()
	if update.Version == r.savedRelease.Update.Version && now < r.savedRelease.ConfirmedAt+releaseSaveInterval {
		return
	}
	r.savedRelease = savedRelease{Update: *update, ConfirmedAt: now}
	text, err := json.Marshal(r.savedRelease)
	if err == nil {
		err = endpoints.ReplaceFile(r.releaseFile(), text)
	}
	if err != nil {
		r.log.Error("release update not saved", "error", err)
	}
}

// restoreRelease gives the proxy the release update of the process before; the policy decides by its age whether it still binds. A file
// that can't be read counts as none.
func (r *Router) restoreRelease() {
	saved, err := readRelease(r.releaseFile(), len(r.config.Release.StageShares))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		r.log.Error("saved release update not read", "error", err)
		return
	}
	confirmedAgo := max(0, wallClock()-saved.ConfirmedAt)
	update := saved.Update
	r.log.Info("saved release update restored", "build", update.Build, "stage", update.Stage, "phase", update.Phase,
		"confirmed_ago_seconds", confirmedAgo)
	r.releaseVersion = update.Version
	r.proxy.RestoreRelease(update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds, confirmedAgo)
}

// readRelease reads and checks a saved release update. Without a file the error is fs.ErrNotExist.
func readRelease(file string, stages int) (savedRelease, error) {
	var saved savedRelease
	text, err := os.ReadFile(file)
	if err != nil {
		return saved, err
	}
	if err := json.Unmarshal(text, &saved); err != nil {
		return saved, err
	}
	return saved, saved.Update.Check(stages)
}
