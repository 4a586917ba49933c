package controller

import (
	"context"

	"flintspread/internal/endpoints"
	"flintspread/internal/releases"
)

// applyEndpointUpdate applies one endpoint list update and notifies the routers. An error means that the update was
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

// mergeEndpoints applies a checked update to the list and to the policy, and reports whether any endpoint changed.
func (c *Controller) mergeEndpoints(update *endpoints.Update) (changed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
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

// requestSave makes saveEndpoints write the list. It does not block; pending requests are coalesced.
func (c *Controller) requestSave() {
	select {
	case c.saveRequests <- struct{}{}:
	default:
	}
}

// saveEndpoints writes the endpoint list to disk whenever it changed, until ctx ends. Changes during a write are
// coalesced.
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
			c.log.Error("endpoint list not saved", "error", err)
		}
	}
}

// applyReleaseUpdate applies one release update, from the service's stream or from a vote reply, and notifies the
// routers. An update older than the release in force is dropped, so that a late reply cannot raise the canary traffic
// limit again.
func (c *Controller) applyReleaseUpdate(update *releases.Update) error {
	if update.Heartbeat {
		return nil
	}
	if err := update.Check(len(c.settings.Release.StageShares)); err != nil {
		return err
	}
	c.mu.Lock()
	if update.Version < c.release.Version {
		c.mu.Unlock()
		c.log.Info("outdated release update dropped", "version", update.Version)
		return nil
	}
	changed := update.Version != c.release.Version
	now := c.now()
	c.applyRelease(*update, now)
	c.mu.Unlock()
	// Drains and lower limits bind as soon as the relay has received them, so notify the routers before writing to
	// disk.
	c.server.NotifyAll()
	if changed {
		if err := c.store.SaveRelease(*update, now); err != nil {
			c.log.Error("release not saved", "error", err)
		}
	}
	return nil
}

// applyRelease puts a release into force. Its AgeSeconds is as of receivedAt. The caller holds the controller's lock.
func (c *Controller) applyRelease(update releases.Update, receivedAt float64) {
	c.release, c.releaseReceivedAt = update, receivedAt
	now := c.now()
	c.balancer.ApplyRelease(now, update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds+max(0, now-receivedAt))
	if c.metricsEvidence != nil {
		c.metricsEvidence.setRelease(update.Build)
	}
}
