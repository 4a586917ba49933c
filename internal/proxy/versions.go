package proxy

import (
	"flintspread/internal/configstate"
)

// OfferConfig says what becomes of a version of the settings: where it is taken, it is in force for every command accepted from
// then on, in one step; those in hand go to their end by their own.
func (r *Proxy) OfferConfig(v *configstate.Version) (configstate.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, err := r.keeper.Offer(r.Now(), v, r.situation())
	if o == configstate.Applied {
		r.adopt()
	}
	return o, err
}

// CheckConfig says whether a version could be taken now, without taking it.
func (r *Proxy) CheckConfig(v *configstate.Version) (configstate.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.Check(v, r.situation())
}

// RecheckConfig has a version that waits looked at again.
func (r *Proxy) RecheckConfig() (*configstate.Version, configstate.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, o, err := r.keeper.Recheck(r.Now(), r.situation())
	if v != nil && o == configstate.Applied {
		r.adopt()
	}
	return v, o, err
}

// ConfigVersion is the one in force.
func (r *Proxy) ConfigVersion() *configstate.Version { return r.now.Load() }

// adopt puts the keeper's present version in force: the policy first, so that no command comes under terms that it does not
// know.
func (r *Proxy) adopt() {
	v := r.keeper.Current()
	r.b.SetConfig(v.Policy)
	r.reworth(v)
	for len(r.byOp) < len(v.Policy.Classes) {
		r.byOp = append(r.byOp, 0)
	}
	r.now.Store(v)
}

// situation is what a version would meet now.
func (r *Proxy) situation() configstate.Conditions {
	s := configstate.Conditions{InFlight: map[string]int{}, ClientConns: len(r.clients), ListVersion: r.listNo}
	for i, n := range r.byOp {
		if n > 0 {
			s.InFlight[r.keeper.ClassName(i)] = n
		}
	}
	for _, p := range r.pools {
		s.HasZones = s.HasZones || p.listed && p.zone > 0
		s.HasCells = s.HasCells || p.listed && p.cell > 0
	}
	return s
}
