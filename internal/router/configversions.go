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

// configVersions puts configuration versions in force and records each in the history on disk. Versions come from
// control services, which also send the endpoint list, or from a controller.
type configVersions struct {
	router  *Router
	history *revisions.Store
	mu      sync.Mutex // serializes messages from several control services
}

// openConfigVersions opens the history and restores the version that was in force last.
func (r *Router) openConfigVersions() error {
	history, err := revisions.Resume(r.config.StateDir, r.log, func(version *configstate.Version) error {
		_, err := r.proxy.OfferConfig(version) // never waits: a resumed version requires no list, as it was in force with it
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
		v.router.log.Error("configuration history not closed", "error", err)
	}
}

// follow watches the control services until ctx ends. Messages are ordered by their version, whichever service they
// come from.
func (v *configVersions) follow(ctx context.Context) error {
	settings := v.router.config
	control := settings.Control
	return xds.FollowAll(ctx, control, v.router.log, settings.Name, settings.RouterGroup, recheckSeconds(control),
		xds.Handler{OnEndpoints: v.applyEndpoints, OnConfig: v.offer, Recheck: v.recheck})
}

// recheckSeconds returns the interval at which a version that waits for its endpoint list is rechecked: a quarter of
// the time that it may wait, or the silence limit of the control service if that is shorter.
func recheckSeconds(control *config.Control) float64 {
	return min(control.RequiredListTimeoutSeconds/4, control.SilenceSeconds)
}

// applyEndpoints applies an endpoint list. It rejects one that is older than the list in force (it was overtaken, or
// the service went back), and one that has the same version but differs (two services disagree).
func (v *configVersions) applyEndpoints(update *endpoints.Update) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.router.endpointList.CheckNewer(update); err != nil {
		return err
	}
	return v.router.applyEndpointUpdate(update)
}

// offer offers a version to the proxy and, if it was applied, records it before it is acknowledged, so that it is in
// force again after a crash. A disk error is only logged.
func (v *configVersions) offer(version *configstate.Version) (configstate.Outcome, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.inForce()
	outcome, err := v.router.proxy.OfferConfig(version)
	if err == nil && outcome == configstate.Applied {
		v.record(version, before)
	}
	return outcome, err
}

// recheck rechecks the version that waits for its endpoint list, and returns the outcome for waiting.
func (v *configVersions) recheck(waiting *configstate.Version) (configstate.Outcome, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.inForce()
	version, outcome, err := v.router.proxy.RecheckConfig()
	if err == nil && version != nil && outcome == configstate.Applied {
		v.record(version, before)
	}
	switch {
	case version == waiting:
		return outcome, err
	case v.inForce() == waiting.Number:
		return configstate.Applied, nil
	}
	return configstate.Rejected, configstate.ErrOvertaken
}

// inForce returns the number of the version in force, 0 for that of the settings file.
func (v *configVersions) inForce() uint64 { return v.router.proxy.ConfigVersion().Number }

func (v *configVersions) record(version *configstate.Version, before uint64) {
	err := v.history.Add(revisions.Entry{
		Number:              version.Number,
		Previous:            before,
		InForceSince:        wallClock(),
		Hash:                version.Hash,
		RequiredListVersion: version.RequiredListVersion,
		Text:                string(version.Text),
	})
	if err != nil { // the version stays in force; a restart would restore the previous one
		v.router.log.Error("configuration version not saved", "version", version.Number, "error", err)
	}
	v.router.log.Info("configuration version in force", "version", version.Number, "previous_version", before)
}

// controllerConfig tracks the configuration versions that the controller proposes and rolls out. apply is called from
// the controller client's goroutine only; mu protects the fields that fillReport reads.
type controllerConfig struct {
	versions *configVersions

	mu             sync.Mutex
	proposed       *configstate.Version // the last version whose text arrived
	acceptedNumber uint64               // the last proposed version that passed the check
	rejectedNumber uint64               // the last version that could not be read or put in force
	rejectedReason string
}

// fillReport fills in the report's fields on configuration versions.
func (c *controllerConfig) fillReport(report *linkpb.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.ConfigNo = c.versions.inForce()
	report.ConfigFits, report.ConfigRefused, report.ConfigReason = c.acceptedNumber, c.rejectedNumber, c.rejectedReason
}

// apply handles an assignment's fields on configuration versions: it checks a proposed version and puts in force the
// one that the assignment says is in force. A version that can't be put in force is retried with each assignment.
func (c *controllerConfig) apply(assignment *linkpb.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bringsNewText(assignment) {
		version, err := configstate.Read(assignment.ConfigTextNo, assignment.ConfigText)
		if err != nil {
			c.reject(assignment.ConfigTextNo, err)
			return
		}
		c.proposed = version
	}
	if c.proposed == nil {
		return
	}
	switch number := c.proposed.Number; {
	case number == assignment.ConfigNo && number != c.versions.inForce():
		if _, err := c.versions.offer(c.proposed); err != nil {
			c.reject(number, err)
		}
	case number == assignment.ConfigNext:
		if _, err := c.versions.router.proxy.CheckConfig(c.proposed); err != nil {
			c.reject(number, err)
		} else {
			c.acceptedNumber = number
		}
	}
}

// bringsNewText reports whether an assignment contains the text of a version other than the one proposed last.
func (c *controllerConfig) bringsNewText(assignment *linkpb.View) bool {
	if assignment.ConfigTextNo == 0 {
		return false
	}
	return c.proposed == nil || c.proposed.Number != assignment.ConfigTextNo || !bytes.Equal(c.proposed.Text, assignment.ConfigText)
}

func (c *controllerConfig) reject(number uint64, reason error) {
	c.rejectedNumber, c.rejectedReason = number, reason.Error()
}
