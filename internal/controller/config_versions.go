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

// configVersions receives configuration versions from control services, proposes each to the routers, and puts it into
// force once all live routers report that they can apply it. Only one version is proposed at a time: a version that
// arrives later replaces it, and the replaced one is rejected with configstate.ErrSuperseded, whose text is sent in a
// NACK.
type configVersions struct {
	controller *Controller
	store      *revisions.Store
	state      *configstate.State    // guarded by the controller's lock
	proposal   *configstate.Proposal // guarded by the controller's lock; nil if no version is proposed
	listMu     sync.Mutex            // serializes endpoint list updates of control services; locked before the controller's lock
}

// openConfigVersions opens the revision history and applies the version that was in force last.
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

// applyEndpointUpdate applies an endpoint list update from a control service. It rejects an update that is older than the
// controller's list, or has the same version but other endpoints: another control service may have sent that list.
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

// conditions returns the controller's conditions for a version; routers check their own and report the result. The list
// version is set to the required one, because Proposal.Decide waits for the list, and State.Check must not. The caller
// holds the controller's lock.
func (v *configVersions) conditions(version *configstate.Version) configstate.Conditions {
	conditions := configstate.Conditions{ListVersion: version.RequiredListVersion}
	for endpoint := range v.controller.endpointList.All() {
		conditions.HasZones = conditions.HasZones || endpoint.Zone > 0
		conditions.HasCells = conditions.HasCells || endpoint.Cell > 0
	}
	return conditions
}

// propose proposes a version to the routers, which answer in their next reports; recheck then decides the proposal. A
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
	// Routers that have not reported to this process yet get the whole time from when they must have.
	routersKnownAt := max(c.now(), c.leader.RoutersKnownAt())
	v.proposal = configstate.NewProposal(version, routersKnownAt, c.settings.Control.RequiredListTimeoutSeconds)
	return configstate.Waiting, nil
}

// recheck returns the outcome of a proposed version, and puts the version into force if all live routers can apply it.
func (v *configVersions) recheck(version *configstate.Version) (configstate.Outcome, error) {
	outcome, decided, err := v.decide(version)
	if decided {
		v.controller.server.NotifyAll()
	}
	return outcome, err
}

// decide returns the outcome of a proposed version, and ends the proposal if the outcome is final; decided is whether this
// call ended it. A version that takes effect is saved while the lock is held, so that the history has versions in the
// order in which they took effect.
func (v *configVersions) decide(version *configstate.Version) (outcome configstate.Outcome, decided bool, err error) {
	c := v.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	proposal := v.proposal
	if proposal == nil || proposal.Version != version {
		if v.state.Current().Number == version.Number {
			return configstate.Applied, false, nil
		}
		return configstate.Rejected, false, configstate.ErrSuperseded
	}
	now := c.now()
	routers := configstate.Routers{Alive: c.leader.Routers(), Known: c.leader.RoutersKnown(now)}
	outcome, err = proposal.Decide(now, routers, c.endpointList.Version)
	if outcome == configstate.Waiting {
		return outcome, false, err
	}
	v.proposal = nil
	if outcome == configstate.Applied {
		outcome, err = v.putInForce(version)
	}
	return outcome, true, err
}

// putInForce applies a version that all live routers can apply, and saves it. The caller holds the controller's lock.
func (v *configVersions) putInForce(version *configstate.Version) (configstate.Outcome, error) {
	c := v.controller
	previous := v.state.Current().Number
	outcome, err := v.apply(version)
	if outcome != configstate.Applied {
		return outcome, err
	}
	entry := revisions.Entry{
		Number: version.Number, Previous: previous, InForceSince: c.now(), Hash: version.Hash,
		RequiredListVersion: version.RequiredListVersion, Text: string(version.Text),
	}
	if saveErr := v.store.Add(entry); saveErr != nil {
		c.log.Error("failed to save the configuration version", "version", version.Number, "error", saveErr)
	}
	c.log.Info("configuration version in force", "version", version.Number, "previous_version", previous)
	return outcome, err
}

// apply puts a version into force at the controller; routers receive it in their next assignments. The caller holds the
// controller's lock.
func (v *configVersions) apply(version *configstate.Version) (configstate.Outcome, error) {
	c := v.controller
	now := c.now()
	outcome, err := v.state.Offer(now, version, v.conditions(version))
	if outcome == configstate.Applied {
		config := v.state.Current().Policy
		c.balancer.SetConfig(config)
		c.leader.SetCanaryWindow(now, config.CanaryWindowSeconds)
	}
	return outcome, err
}

// onReport records a router's answer to the proposal, if there is one. The caller holds the controller's lock.
func (v *configVersions) onReport(router string, status configstate.RouterStatus) {
	if v.proposal != nil {
		v.proposal.OnRouterStatus(router, status)
	}
}

// configStatus returns what a report says about versions.
func configStatus(report *linkpb.Digest) configstate.RouterStatus {
	return configstate.RouterStatus{
		InForce:    configstate.VersionID{Number: report.ConfigNo, Hash: report.ConfigHash},
		Applicable: configstate.VersionID{Number: report.ConfigFits, Hash: report.ConfigFitsHash},
		Rejected:   configstate.VersionID{Number: report.ConfigRefused, Hash: report.ConfigRefusedHash},
		Reason:     report.ConfigReason,
	}
}

// addConfig adds the identities of the version in force and of the proposed version to an assignment. A router receives the
// proposal only after it has applied the version in force. Of the version that the router must handle next, the text is
// added unless the router has it; one that does not tell hashes may have another text under the number. The caller holds
// the controller's lock.
func (v *configVersions) addConfig(assignment *linkpb.View, status routerStatus) {
	current := v.state.Current()
	assignment.ConfigNo, assignment.ConfigHash = current.Number, current.Hash
	next := current
	if v.proposal != nil && status.config.InForce.Matches(current) {
		next = v.proposal.Version
		assignment.ConfigNext, assignment.ConfigNextHash = next.Number, next.Hash
	}
	routerHasText := status.config.InForce.Matches(next) || status.config.Applicable == next.ID()
	if next.Number > 0 && !routerHasText {
		assignment.ConfigTextNo, assignment.ConfigText = next.Number, next.Text
	}
}

// routerStatus holds the versions of the configuration and of the health marks at a router, as of its last accepted
// report.
type routerStatus struct {
	config       configstate.RouterStatus
	marksVersion uint64
}
