package policy

import "testing"

// canaryTrial sends 100 requests a second to a fleet that runs only the canary, with a limit of a tenth and 10 free attempts.
type canaryTrial struct {
	*fleet
	receivedAt, attemptsAt []float64
}

func newCanaryTrial(windowSeconds float64) *canaryTrial {
	f := newFleet(func(config *Config) { config.CanaryWindowSeconds, config.CanaryFreeAttempts = windowSeconds, 10 })
	f.list(true, endpointEntry{5, 8, Ready, 50}, endpointEntry{6, 8, Ready, 50})
	f.b.ApplyRelease(f.now, 8, 0, PhaseCanary, 0.1, 0)
	return &canaryTrial{fleet: f}
}

func (c *canaryTrial) setWindow(seconds float64) {
	config := *c.b.config
	config.CanaryWindowSeconds = seconds
	c.b.SetConfig(&config)
}

func (c *canaryTrial) send(requests int) {
	for range requests {
		c.b.Tick(c.now)
		r, decision := c.request(0)
		c.receivedAt = append(c.receivedAt, c.now)
		if decision.Action == Send {
			c.attemptsAt = append(c.attemptsAt, c.now)
			c.answer(r, Succeeded)
		}
		c.now += 0.01
	}
}

// lookAtWindow does what the balancer does for a request that is held: it looks at the window and sends nothing.
func (c *canaryTrial) lookAtWindow() { c.b.canaryAllowance(c.now, &Request{Config: c.b.config}, 8) }

// checkWindow checks that the canary got no more attempts in the given time until now than its limit allows.
func (c *canaryTrial) checkWindow(t *testing.T, seconds float64, when string) {
	t.Helper()
	attempts, received := len(since(c.attemptsAt, c.now-seconds)), len(since(c.receivedAt, c.now-seconds))
	if allowed := 10 + 0.1*float64(received); float64(attempts) > allowed {
		t.Errorf("%s: %d attempts in %g s, allowed %.1f", when, attempts, seconds, allowed)
	}
}

// Guards against a canary over its limit: while a version with a shorter window was in force, attempts were forgotten that count
// again once the window is as long as before.
func TestCanaryLimitAfterShorterWindow(t *testing.T) {
	c := newCanaryTrial(4)
	c.send(100)
	c.now++
	c.setWindow(0.5)
	c.lookAtWindow()
	c.setWindow(4)
	c.send(100)
	c.checkWindow(t, 4, "after the shorter window")
}

// Guards against a canary over its limit: with a longer window than before, the free attempts were used again though attempts
// of the time before the version, which are not known any more, may have used them.
func TestCanaryLimitWithLongerWindow(t *testing.T) {
	c := newCanaryTrial(1)
	c.send(100)
	c.now += 1.2
	c.lookAtWindow()
	c.setWindow(4)
	c.send(100)
	c.checkWindow(t, 4, "after the change")
	c.send(400)
	c.checkWindow(t, 4, "long after the change")
	if attempts := len(since(c.attemptsAt, c.now-4)); attempts < 40 {
		t.Errorf("%d attempts in 4 s, want the whole limit to be used", attempts)
	}
}
