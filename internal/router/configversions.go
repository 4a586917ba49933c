package router

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/revisions"
	"flintspread/internal/xds"
)

// configVersions puts configuration versions in force and records each in the history on disk. They come from control services, whose
// endpoint assignments are the endpoint list, or from a controller.
type configVersions struct {
	router  *Router
	history *revisions.Store
	mu      sync.Mutex // orders what several control services send
}

// openConfigVersions opens the history and puts the version that was in force last in force again.
func (r *Router) openConfigVersions() error {
	history, err := revisions.Resume(r.config.StateDir, r.log, func(version *configstate.Version) error {
		_, err := r.proxy.OfferConfig(version) // the endpoint list that it requires came before it did, so it need not wait
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

// follow follows the control services until ctx ends. What they send counts by its version, whichever service it comes from.
func (v *configVersions) follow(ctx context.Context) error {
	settings := v.router.config
	control := settings.Control
	return xds.FollowAll(ctx, control, v.router.log, settings.Name, settings.Relay, recheckSeconds(control),
		xds.Handler{OnEndpoints: v.applyEndpoints, OnConfig: v.offer, Recheck: v.recheck})
}

// recheckSeconds is how often a version that waits for its endpoint list is looked at again: a quarter of the time that it may wait, or the
// silence limit of the control service where that is shorter.
func recheckSeconds(control *config.Control) float64 {
	return min(control.PairingTimeoutSeconds/4, control.SilenceSeconds)
}

// applyEndpoints applies an endpoint list unless it is older than the list in force, or of the same version and different: it was
// overtaken, the service went back, or two services disagree.
func (v *configVersions) applyEndpoints(update *endpoints.Update) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.router.endpointList.CheckNewer(update); err != nil {
		return err
	}
	return v.router.applyEndpointUpdate(update)
}

// offer offers a version to the proxy, and records it before it is acknowledged, where the disk allows: what was recorded is in force
// after a crash.
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

// recheck tells what became of a version that waits for its endpoint list.
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
	return configstate.Rejected, fmt.Errorf("overtaken by another version while it waited")
}

// inForce is the number of the version in force, 0: that of the settings file.
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
	if err != nil { // the version is in force all the same; a restart would go on with the one before
		v.router.log.Error("configuration version not saved", "version", version.Number, "error", err)
	}
	v.router.log.Info("configuration version in force", "version", version.Number, "previous_version", before)
}

// controllerConfig is a router's part in the versions that its controller rolls out. Assignments come from the controller client's
// goroutine alone; reports read under the lock.
type controllerConfig struct {
	versions *configVersions

	mu             sync.Mutex
	proposed       *configstate.Version // the last whose text came
	acceptedNumber uint64               // the last proposed version that can be put in force
	rejectedNumber uint64               // the last version that can't be read or put in force
	rejectedReason string
}

// fillReport fills the report's part on configuration versions.
func (c *controllerConfig) fillReport(report *linkpb.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.ConfigNo = c.versions.inForce()
	report.ConfigFits, report.ConfigRefused, report.ConfigReason = c.acceptedNumber, c.rejectedNumber, c.rejectedReason
}

// apply applies an assignment's part on configuration versions: a proposed version is checked, one that is to be in force is put in
// force. What can't be put in force now is tried again with each assignment.
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

// bringsNewText reports whether an assignment holds the text of a version other than the one proposed last.
func (c *controllerConfig) bringsNewText(assignment *linkpb.View) bool {
	if assignment.ConfigTextNo == 0 {
		return false
	}
	return c.proposed == nil || c.proposed.Number != assignment.ConfigTextNo || !bytes.Equal(c.proposed.Text, assignment.ConfigText)
}

func (c *controllerConfig) reject(number uint64, reason error) {
	c.rejectedNumber, c.rejectedReason = number, reason.Error()
}
