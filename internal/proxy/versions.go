package proxy

import (
	"flintspread/internal/configstate"
)

// OfferConfig says what becomes of a version of the settings: where it is taken, it is in force for every command accepted from
// then on, in one step; those in hand go to their end by their own.
func (p *Proxy) OfferConfig(v *configstate.Version) (configstate.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, err := p.configState.Offer(p.Now(), v, p.configConditions())
	if o == configstate.Applied {
		p.useCurrentConfig()
	}
	return o, err
}

// CheckConfig says whether a version could be taken now, without taking it.
func (p *Proxy) CheckConfig(v *configstate.Version) (configstate.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configState.Check(v, p.configConditions())
}

// RecheckConfig has a version that waits looked at again.
func (p *Proxy) RecheckConfig() (*configstate.Version, configstate.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, o, err := p.configState.Recheck(p.Now(), p.configConditions())
	if v != nil && o == configstate.Applied {
		p.useCurrentConfig()
	}
	return v, o, err
}

// ConfigVersion is the one in force.
func (p *Proxy) ConfigVersion() *configstate.Version { return p.currentConfig.Load() }

// useCurrentConfig puts the keeper's present version in force: the policy first, so that no command comes under terms that it does not
// know.
func (p *Proxy) useCurrentConfig() {
	v := p.configState.Current()
	p.balancer.SetConfig(v.Policy)
	p.setShedderClasses(v)
	for len(p.inFlightByClass) < len(v.Policy.Classes) {
		p.inFlightByClass = append(p.inFlightByClass, 0)
	}
	p.currentConfig.Store(v)
}

// configConditions is what a version would meet now.
func (p *Proxy) configConditions() configstate.Conditions {
	s := configstate.Conditions{InFlight: map[string]int{}, ClientConns: len(p.clients), ListVersion: p.endpointListVersion}
	for i, n := range p.inFlightByClass {
		if n > 0 {
			s.InFlight[p.configState.ClassName(i)] = n
		}
	}
	for _, pool := range p.pools {
		s.HasZones = s.HasZones || pool.usable && pool.zone > 0
		s.HasCells = s.HasCells || pool.usable && pool.cell > 0
	}
	return s
}
