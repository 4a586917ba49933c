package controller

import (
	"context"
	"sync"

	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/revisions"
	"flintspread/internal/xds"
)

// configstate.ErrOvertaken rejects a version that was replaced by a newer one while waiting for the routers. Its text is
// sent in a NACK.

// configVersions receives configuration versions from control services, proposes each to the routers, and puts it into
// force once all of them report that they can apply it. Only one version is proposed at a time; a newer one replaces
// it.
type configVersions struct {
	controller *Controller
	store      *revisions.Store
	state      *configstate.State    // guarded by the controller's lock
	proposal   *configstate.Proposal // guarded by the controller's lock; nil without one
	listMu     sync.Mutex            // serializes endpoint lists of control services; taken before the controller's lock
}

// openConfigVersions opens the revision history and reapplies the version that was last in force.
func (c *Controller) openConfigVersions() (v *configVersions, err error) {
	v = &configVersions{controller: c, state: configstate.NewState(c.settings.Document(), nil, 0, 0)}
	v.store, err = revisions.Resume(c.settings.StateDir, c.log, func(version *configstate.Version) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, err := v.apply(version)
		return err
	})
	return v, err
}

// follow follows the control services until ctx ends.
func (v *configVersions) follow(ctx context.Context) error {
	settings := v.controller.settings
	return xds.FollowAll(ctx, settings.Control, v.controller.log, settings.RouterGroup, settings.RouterGroup, settings.Link.ReportIntervalSeconds,
		xds.Handler{OnEndpoints: v.applyEndpointUpdate, OnConfig: v.propose, Recheck: v.recheck})
}

// applyEndpointUpdate applies an endpoint list from a control service, unless another service has sent a newer one.
func (v *configVersions) applyEndpointUpdate(update *endpoints.Update) error {
	v.listMu.Lock()
	defer v.listMu.Unlock()
	c := v.controller
	c.mu.Lock()
	err := c.endpointList.CheckNewer(update)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	return c.applyEndpointUpdate(update)
}

// conditions returns what a version must fit at the controller; routers check their own and report the result. The list
// version is set to the required one, so that State.Check never waits: Proposal.Decide waits for the list instead. The
// caller holds the controller's lock.
func (v *configVersions) conditions(version *configstate.Version) configstate.Conditions {
	conditions := configstate.Conditions{ListVersion: version.RequiredListVersion}
	for endpoint := range v.controller.endpointList.All() {
		conditions.HasZones = conditions.HasZones || endpoint.Zone > 0
		conditions.HasCells = conditions.HasCells || endpoint.Cell > 0
	}
	return conditions
}

// propose proposes a version to the routers, which answer in their next reports; recheck then settles the proposal. A
// version that the controller itself cannot apply is rejected immediately.
func (v *configVersions) propose(version *configstate.Version) (configstate.Outcome, error) {
	outcome, err := v.startProposal(version)
	if outcome == configstate.Waiting {
		v.controller.server.NotifyAll()
	}
	return outcome, err
}

// startProposal replaces the current proposal with one for version, if the controller can apply it.
func (v *configVersions) startProposal(version *configstate.Version) (configstate.Outcome, error) {
	c := v.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	v.proposal = nil
	if outcome, err := v.state.Check(version, v.conditions(version)); outcome != configstate.Applied {
		return outcome, err
	}
	v.proposal = configstate.NewProposal(version, c.now(), c.settings.Control.RequiredListTimeoutSeconds)
	return configstate.Waiting, nil
}

// recheck returns the outcome of a proposed version, and puts the version into force once all routers can apply it.
func (v *configVersions) recheck(version *configstate.Version) (configstate.Outcome, error) {
	outcome, decided, err := v.decide(version)
	if decided {
		v.controller.server.NotifyAll()
	}
	return outcome, err
}

// decide settles the proposal of a version if its outcome is known; decided reports whether this call settled it. A
// version that takes effect is saved while the lock is held, so that a later one cannot precede it in the history.
func (v *configVersions) decide(version *configstate.Version) (outcome configstate.Outcome, decided bool, err error) {
	c := v.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	proposal := v.proposal
	if proposal == nil || proposal.Version != version {
		if v.state.Current().Number == version.Number {
			return configstate.Applied, false, nil
		}
		return configstate.Rejected, false, configstate.ErrOvertaken
	}
	outcome, err = proposal.Decide(c.now(), c.leader.Routers(), c.endpointList.Version)
	if outcome == configstate.Waiting {
		return outcome, false, err
	}
	v.proposal = nil
	if outcome == configstate.Applied {
		outcome, err = v.putInForce(version)
	}
	return outcome, true, err
}

// putInForce applies a version that all routers can apply, and saves it. The caller holds the controller's lock.
func (v *configVersions) putInForce(version *configstate.Version) (configstate.Outcome, error) {
	c := v.controller
	before := v.state.Current().Number
	outcome, err := v.apply(version)
	if outcome != configstate.Applied {
		return outcome, err
	}
	entry := revisions.Entry{
		Number: version.Number, Previous: before, InForceSince: c.now(), Hash: version.Hash,
		RequiredListVersion: version.RequiredListVersion, Text: string(version.Text),
	}
	if saveErr := v.store.Add(entry); saveErr != nil {
		c.log.Error("configuration version not saved", "version", version.Number, "error", saveErr)
	}
	c.log.Info("configuration version in force", "version", version.Number, "previous_version", before)
	return outcome, err
}

// apply puts a version into force at the controller; routers learn of it from their next assignment. The caller holds
// the controller's lock.
func (v *configVersions) apply(version *configstate.Version) (configstate.Outcome, error) {
	outcome, err := v.state.Offer(v.controller.now(), version, v.conditions(version))
	if outcome == configstate.Applied {
		v.controller.balancer.SetConfig(v.state.Current().Policy)
	}
	return outcome, err
}

// onReport records a router's answer to the proposal. The caller holds the controller's lock.
func (v *configVersions) onReport(report *linkpb.Digest) {
	if v.proposal != nil {
		v.proposal.OnRouterStatus(report.Edge, report.ConfigNo, report.ConfigFits, report.ConfigRefused, report.ConfigReason)
	}
}

// addConfig adds the version in force and the proposed one to an assignment, with the text of whichever the router
// needs next and lacks. A router receives a proposal only once it runs the version in force. The caller holds the
// controller's lock.
func (v *configVersions) addConfig(assignment *linkpb.View, status routerStatus) {
	current := v.state.Current()
	assignment.ConfigNo = current.Number
	next := current
	if v.proposal != nil && status.configInForce == current.Number {
		next = v.proposal.Version
		assignment.ConfigNext = next.Number
	}
	routerHasText := status.configInForce == next.Number || status.configAcceptable == next.Number
	if next.Number > 0 && !routerHasText {
		assignment.ConfigTextNo, assignment.ConfigText = next.Number, next.Text
	}
}

// routerStatus is the configuration and health marks that a router holds, as of its last accepted report.
type routerStatus struct {
	configInForce    uint64 // version number
	configAcceptable uint64 // number of the proposed version that it can apply, 0: none
	marksVersion     uint64
}
