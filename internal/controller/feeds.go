package controller

import (
	"context"

	"flintspread/internal/endpoints"
	"flintspread/internal/releases"
)

// applyEndpointUpdate applies an endpoint list update and notifies the routers. An error is the reason why the update was
// rejected.
func (c *Controller) applyEndpointUpdate(update *endpoints.Update) error {
	if err := update.Check(); err != nil {
		return err
	}
	changed, err := c.mergeEndpoints(update)
	if err != nil {
		return err
	}
	c.server.NotifyAll()
	if changed {
		c.requestSave()
	}
	return nil
}

// mergeEndpoints applies a valid update to the list and to the policy, and reports whether any endpoint changed.
func (c *Controller) mergeEndpoints(update *endpoints.Update) (changed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if err := c.endpointGuard.Check(update, c.endpointList.Version, now); err != nil {
		return false, err
	}
	changes, err := c.endpointList.Apply(update, now)
	if err != nil {
		return false, err
	}
	changes.ApplyTo(c.balancer, now)
	changed = len(changes.Endpoints) > 0
	if changed {
		c.endpointsChanged()
	}
	return changed, nil
}

// endpointsChanged passes a changed endpoint list on to the metrics evidence. The caller holds the controller's lock.
func (c *Controller) endpointsChanged() {
	if c.metricsEvidence != nil {
		c.metricsEvidence.setEndpoints()
	}
}

// requestSave makes saveEndpoints save the endpoint list. It does not block; pending requests are coalesced.
func (c *Controller) requestSave() {
	select {
	case c.saveRequests <- struct{}{}:
	default:
	}
}

// saveEndpoints saves the endpoint list to disk on every request, until ctx ends. Requests during a write result in one
// further write.
func (c *Controller) saveEndpoints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.saveRequests:
		}
		c.mu.Lock()
		list := c.endpointList.Clone()
		c.mu.Unlock()
		if err := c.store.SaveEndpoints(list); err != nil {
			c.log.Error("failed to save the endpoint list", "error", err)
		}
	}
}

// applyReleaseUpdate applies one release update, from the service's stream or from a vote reply, and notifies the
// routers. An update older than the release in force is ignored, so that a delayed vote reply cannot raise the canary
// traffic limit again.
func (c *Controller) applyReleaseUpdate(update *releases.Update) error {
	if update.Heartbeat {
		return nil
	}
	c.mu.Lock()
	if err := update.Check(c.stageCount()); err != nil {
		c.mu.Unlock()
		return err
	}
	if update.Version < c.release.Version {
		c.mu.Unlock()
		c.log.Info("ignored an outdated release update", "version", update.Version)
		return nil
	}
	changed := update.Version != c.release.Version
	now := c.now()
	c.applyRelease(*update, now)
	c.mu.Unlock()
	// The relay must comply with drains and lower canary traffic limits from the moment it receives them, so notify the
	// routers before writing to disk.
	c.server.NotifyAll()
	if changed {
		if err := c.store.SaveRelease(*update, now); err != nil {
			c.log.Error("failed to save the release", "error", err)
		}
	}
	return nil
}

// stageCount returns the number of rollout stages of the configuration version in force. The caller holds the controller's
// lock.
func (c *Controller) stageCount() int {
	if c.configVersions == nil {
		return len(c.settings.Release.StageShares)
	}
	return len(c.configVersions.state.Current().Policy.StageShares)
}

// applyRelease puts a release into force; its AgeSeconds is as of receivedAt. The caller holds the controller's lock.
func (c *Controller) applyRelease(update releases.Update, receivedAt float64) {
	c.release, c.releaseReceivedAt = update, receivedAt
	now := c.now()
	c.balancer.ApplyRelease(now, update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds+max(0, now-receivedAt))
	if c.metricsEvidence != nil {
		c.metricsEvidence.setRelease(update.Build)
	}
}
