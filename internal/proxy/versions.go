package proxy

import (
	"flintspread/internal/configstate"
)

// Offer says what becomes of a version of the settings: where it is taken, it is in force for every command accepted from
// then on, in one step; those in hand go to their end by their own.
func (r *Relay) Offer(v *configstate.Version) (configstate.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, err := r.keeper.Offer(r.Now(), v, r.situation())
	if o == configstate.Applied {
		r.adopt()
	}
	return o, err
}

// Fits says whether a version could be taken now, without taking it.
func (r *Relay) Fits(v *configstate.Version) (configstate.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.Fits(v, r.situation())
}

// Look has a version that waits looked at again.
func (r *Relay) Look() (*configstate.Version, configstate.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, o, err := r.keeper.Look(r.Now(), r.situation())
	if v != nil && o == configstate.Applied {
		r.adopt()
	}
	return v, o, err
}

// Version is the one in force.
func (r *Relay) Version() *configstate.Version { return r.now.Load() }

// adopt puts the keeper's present version in force: the policy first, so that no command comes under terms that it does not
// know.
func (r *Relay) adopt() {
	v := r.keeper.Present()
	r.b.Adopt(v.Terms)
	r.reworth(v)
	for len(r.byOp) < len(v.Terms.Ops) {
		r.byOp = append(r.byOp, 0)
	}
	r.now.Store(v)
}

// situation is what a version would meet now.
func (r *Relay) situation() configstate.Situation {
	s := configstate.Situation{InHand: map[string]int{}, Clients: len(r.clients), ListNo: r.listNo}
	for i, n := range r.byOp {
		if n > 0 {
			s.InHand[r.keeper.Name(i)] = n
		}
	}
	for _, p := range r.pools {
		s.Zones = s.Zones || p.listed && p.zone > 0
		s.Cells = s.Cells || p.listed && p.cell > 0
	}
	return s
}
