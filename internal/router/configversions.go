package router

import (
	"bytes"
	"context"
	"sync"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/revisions"
	"flintspread/internal/xds"
)

// configVersions puts configuration versions in force and saves each in the history on disk. Versions are received from
// control services, which also send the endpoint list, or from a controller.
type configVersions struct {
	router  *Router
	history *revisions.Store
	mu      sync.Mutex // serializes messages from several control services
}

// openConfigVersions opens the history and restores the version that was in force last.
func (r *Router) openConfigVersions() error {
	history, err := revisions.Resume(r.config.StateDir, r.log, func(version *configstate.Version) error {
		// The outcome is never Waiting: a version read from the history requires no endpoint list.
		_, err := r.proxy.OfferConfig(version)
		return err
	})
	if err != nil {
		return err
	}
	r.configVersions = &configVersions{router: r, history: history}
	return nil
}

func (v *configVersions) close() {
	if err := v.history.Close(); err != nil {
		v.router.log.Error("failed to close the configuration history", "error", err)
	}
}

// follow applies the messages of the control services until ctx ends. Messages are ordered by their version, whichever
// service sent them.
func (v *configVersions) follow(ctx context.Context) error {
	settings := v.router.config
	control := settings.Control
	return xds.FollowAll(ctx, control, v.router.log, settings.Name, settings.RouterGroup, recheckIntervalSeconds(control),
		xds.Handler{OnEndpoints: v.applyEndpoints, OnConfig: v.offer, Recheck: v.recheck})
}

// recheckIntervalSeconds returns the interval at which a version that waits for its endpoint list is rechecked: a quarter
// of the time that it may wait, or the silence limit of the control service if that is shorter.
func recheckIntervalSeconds(control *config.Control) float64 {
	return min(control.RequiredListTimeoutSeconds/4, control.SilenceSeconds)
}

// applyEndpoints applies an endpoint list. It rejects a list that is older than the list in force, because a newer one
// overtook it or the service returned to an older state, and a list with the same version but other endpoints, because
// two services disagree.
func (v *configVersions) applyEndpoints(update *endpoints.Update) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.router.endpointList.CheckNewer(update); err != nil {
		return err
	}
	return v.router.applyEndpointUpdate(update)
}

// offer offers a version to the proxy. An applied version is saved before it is acknowledged, so that it is in force
// again after a crash. A disk error is only logged.
func (v *configVersions) offer(version *configstate.Version) (configstate.Outcome, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous := v.numberInForce()
	outcome, err := v.router.proxy.OfferConfig(version)
	if err == nil && outcome == configstate.Applied {
		v.save(version, previous)
	}
	return outcome, err
}

// recheck re-evaluates the version that the proxy keeps waiting for its endpoint list. It returns the outcome of waiting,
// a version offered earlier with the outcome Waiting, which may have been applied or replaced since then.
func (v *configVersions) recheck(waiting *configstate.Version) (configstate.Outcome, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous := v.numberInForce()
	version, outcome, err := v.router.proxy.RecheckConfig()
	if err == nil && version != nil && outcome == configstate.Applied {
		v.save(version, previous)
	}
	switch {
	case version == waiting:
		return outcome, err
	case v.numberInForce() == waiting.Number:
		return configstate.Applied, nil
	}
	return configstate.Rejected, configstate.ErrSuperseded
}

// numberInForce returns the number of the version in force, 0 for the configuration of the settings file.
func (v *configVersions) numberInForce() uint64 { return v.router.proxy.ConfigVersion().Number }

// save adds a version that was put in force to the history; previous is the number of the version that it replaced.
func (v *configVersions) save(version *configstate.Version, previous uint64) {
	err := v.history.Add(revisions.Entry{
		Number:              version.Number,
		Previous:            previous,
		InForceSince:        wallClock(),
		Hash:                version.Hash,
		RequiredListVersion: version.RequiredListVersion,
		Text:                string(version.Text),
	})
	if err != nil { // the version stays in force; a restart would restore the previous one
		v.router.log.Error("failed to save the configuration version", "version", version.Number, "error", err)
	}
	v.router.log.Info("configuration version in force", "version", version.Number, "previous_version", previous)
}

// controllerConfig tracks the configuration versions that the controller proposes and puts in force. apply is called
// only from the controller client's goroutine; mu protects the fields that fillReport reads.
type controllerConfig struct {
	versions *configVersions

	mu             sync.Mutex
	lastReceived   *configstate.Version  // the last version whose text was received
	accepted       configstate.VersionID // the last proposed version that passed the check
	rejected       configstate.VersionID // a version named in the last assignment that failed to parse, check or apply
	rejectedReason string
}

// fillReport fills in the report's fields on configuration versions.
func (c *controllerConfig) fillReport(report *linkpb.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inForce := c.versions.router.proxy.ConfigVersion().ID()
	report.ConfigNo, report.ConfigHash = inForce.Number, inForce.Hash
	report.ConfigFits, report.ConfigFitsHash = c.accepted.Number, c.accepted.Hash
	report.ConfigRefused, report.ConfigRefusedHash, report.ConfigReason = c.rejected.Number, c.rejected.Hash, c.rejectedReason
}

// apply handles an assignment's fields on configuration versions: it checks a proposed version, and puts in force the
// version that is in force at the controller. It does so only with a text that the assignment names by its hash, if the
// controller tells hashes. A version that cannot be put in force is retried with each assignment, and a rejection is
// reported for as long as the controller names the version: the same text may be sent again later.
func (c *controllerConfig) apply(assignment *linkpb.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected, c.rejectedReason = configstate.VersionID{}, ""
	if c.hasNewText(assignment) {
		version, err := configstate.ParseVersion(assignment.ConfigTextNo, assignment.ConfigText)
		if err != nil {
			c.reject(configstate.IDOf(assignment.ConfigTextNo, assignment.ConfigText), err)
			return
		}
		c.lastReceived = version
	}
	version := c.lastReceived
	if version == nil {
		return
	}
	inForce := configstate.VersionID{Number: assignment.ConfigNo, Hash: assignment.ConfigHash}
	next := configstate.VersionID{Number: assignment.ConfigNext, Hash: assignment.ConfigNextHash}
	switch {
	case inForce.Matches(version) && version.ID() != c.versions.router.proxy.ConfigVersion().ID():
		if _, err := c.versions.offer(version); err != nil {
			c.reject(version.ID(), err)
		}
	case next.Matches(version):
		if _, err := c.versions.router.proxy.CheckConfig(version); err != nil {
			c.reject(version.ID(), err)
		} else {
			c.accepted = version.ID()
		}
	}
}

// hasNewText reports whether an assignment contains the text of a version other than lastReceived.
func (c *controllerConfig) hasNewText(assignment *linkpb.View) bool {
	if assignment.ConfigTextNo == 0 {
		return false
	}
	return c.lastReceived == nil || c.lastReceived.Number != assignment.ConfigTextNo ||
		!bytes.Equal(c.lastReceived.Text, assignment.ConfigText)
}

func (c *controllerConfig) reject(version configstate.VersionID, reason error) {
	c.rejected, c.rejectedReason = version, reason.Error()
}
