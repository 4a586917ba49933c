package proxy

import "flintspread/internal/configstate"

// OfferConfig applies a configuration version, keeps it waiting or rejects it, and returns that outcome. Applying is
// atomic: every request accepted afterwards uses the new version, and requests in flight keep the version they were
// accepted under.
func (p *Proxy) OfferConfig(version *configstate.Version) (configstate.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome, err := p.configState.Offer(p.Now(), version, p.configConditions())
	if outcome == configstate.Applied {
		p.useCurrentConfig()
	}
	return outcome, err
}

// CheckConfig returns what OfferConfig would return for a version now, without applying it.
func (p *Proxy) CheckConfig(version *configstate.Version) (configstate.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configState.Check(version, p.configConditions())
}

// RecheckConfig re-evaluates the waiting version and returns it with the outcome. The version is nil if none waits.
func (p *Proxy) RecheckConfig() (*configstate.Version, configstate.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version, outcome, err := p.configState.Recheck(p.Now(), p.configConditions())
	if version != nil && outcome == configstate.Applied {
		p.useCurrentConfig()
	}
	return version, outcome, err
}

// ConfigVersion returns the version in force.
func (p *Proxy) ConfigVersion() *configstate.Version { return p.currentConfig.Load() }

// useCurrentConfig puts the configuration state's current version in force. The balancer gets it first, so that no
// request is accepted under a version that the balancer does not know. The caller holds p.mu.
func (p *Proxy) useCurrentConfig() {
	version := p.configState.Current()
	p.balancer.SetConfig(version.Policy)
	p.setShedderClasses(version)
	for len(p.inFlightByClass) < len(version.Policy.Classes) {
		p.inFlightByClass = append(p.inFlightByClass, 0)
	}
	p.currentConfig.Store(version)
}

// configConditions returns the state that a new version is checked against. The caller holds p.mu.
func (p *Proxy) configConditions() configstate.Conditions {
	conditions := configstate.Conditions{InFlight: map[string]int{}, ClientConns: len(p.clients), ListVersion: p.endpointListVersion}
	for class, n := range p.inFlightByClass {
		if n > 0 {
			conditions.InFlight[p.configState.ClassName(class)] = n
		}
	}
	for _, pool := range p.pools {
		conditions.HasZones = conditions.HasZones || pool.usable && pool.zone > 0
		conditions.HasCells = conditions.HasCells || pool.usable && pool.cell > 0
	}
	return conditions
}
