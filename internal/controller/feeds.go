package controller

import (
	"context"

	"flintspread/internal/endpoints"
	"flintspread/internal/releases"
)

// applyEndpointUpdate enters one message of the endpoint list's stream and notifies the routers. An error refuses the message.
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

// mergeEndpoints applies a checked update to the list and to the policy, and tells whether an endpoint changed.
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

// endpointsChanged passes a changed endpoint list on to the metrics' side. The caller holds the controller's lock.
func (c *Controller) endpointsChanged() {
	if c.metricsEvidence != nil {
		c.metricsEvidence.setEndpoints()
	}
}

// requestSave has saveEndpoints write the list; requests that come before it begins are one.
func (c *Controller) requestSave() {
	select {
	case c.saveRequests <- struct{}{}:
	default:
	}
}

// saveEndpoints keeps the last endpoint list on disk until ctx ends. Changes that arrive during a write are written together.
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

// applyReleaseUpdate enters one message of the release service, from its stream or in reply to a vote, and notifies the
// routers. A message older than the release in force is dropped, so that a late reply can't widen a canary's limit again.
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
	// Drains and lower limits bind from when the relay received them, so that the routers come before the disk.
	c.server.NotifyAll()
	if changed {
		if err := c.store.SaveRelease(*update, now); err != nil {
			c.log.Error("release not saved", "error", err)
		}
	}
	return nil
}

// applyRelease puts a release into force whose Age was right at receivedAt. The caller holds the controller's lock.
func (c *Controller) applyRelease(update releases.Update, receivedAt float64) {
	c.release, c.releaseReceivedAt = update, receivedAt
	now := c.now()
	c.balancer.ApplyRelease(now, update.Build, update.Stage, update.PolicyPhase(), update.CanaryLimit, update.AgeSeconds+max(0, now-receivedAt))
	if c.metricsEvidence != nil {
		c.metricsEvidence.setRelease(update.Build)
	}
}
