package controller

import (
	"context"
	"time"

	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// runTicks calls tick until ctx ends, at the intervals that the policy returns.
func (c *Controller) runTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(c.tick())
	}
}

// tick removes routers that have stopped reporting, casts a vote if the policy returns one, and notifies the routers of
// changed health marks or verdicts. It returns the time until the next tick.
func (c *Controller) tick() time.Duration {
	result, marksChanged := c.tickPolicy()
	if result.CastVote {
		c.voteSender.Cast(releases.Vote{Build: result.Build, Stage: result.Stage, Verdict: result.Verdict})
	}
	if marksChanged {
		c.server.NotifyAll()
	}
	c.notifyVerdict()
	return time.Duration(result.NextTickSeconds * float64(time.Second))
}

// tickPolicy does the part of a tick that needs the controller's lock. A superseded controller must not vote, so it calls
// the policy's Tick, as a router does.
func (c *Controller) tickPolicy() (result policy.TickResult, marksChanged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.expireRouters(now)
	c.balancer.SetEndpointListAge(now - c.endpointList.ConfirmedAt)
	c.shedLoad(now)
	marksChanged = c.metricsEvidence != nil && c.metricsEvidence.tick(now)
	if c.leader.IsLeader() {
		result = c.balancer.TickAndVote(now)
	} else {
		result = c.balancer.Tick(now)
	}
	c.nextTickAt = now + result.NextTickSeconds
	return result, marksChanged
}

// expireRouters removes the routers that have not reported for too long. The caller holds the controller's lock.
func (c *Controller) expireRouters(now float64) {
	for _, name := range c.leader.ExpireRouters(now) {
		c.balancer.DropReport(name)
		delete(c.mismatchLogged, name)
		delete(c.routerStatuses, name)
		c.log.Info("removed a router that stopped reporting", "router", name)
	}
}

// shedLoad reduces optional work while the controller's ticks are late: first it pauses the metrics queries, then it
// skips reports. The caller holds the controller's lock.
func (c *Controller) shedLoad(now float64) {
	lateSeconds := 0.0
	if c.nextTickAt > 0 {
		lateSeconds = max(0, now-c.nextTickAt)
	}
	reportStride, queries := loadshed.ControllerLoadShedding(lateSeconds, c.settings.Link.ReportIntervalSeconds)
	c.reportStride.Store(uint64(reportStride))
	if c.metricsEvidence != nil {
		c.metricsEvidence.poller.Pause(!queries)
	}
}
