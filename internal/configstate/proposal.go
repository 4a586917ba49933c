package configstate

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Proposal is a version that a controller proposes to its routers. It is applied once every live router has reported
// that it could apply it; a single router that can't rejects it for all.
type Proposal struct {
	Version   *Version
	decideBy  float64
	accepted  map[string]bool // by router name
	rejection string          // reason of the first router that can't apply it; "" for none
}

// NewProposal returns a proposal of a version; maxWaitSeconds is how long it may wait for the
// routers and for the endpoint list that it requires.
func NewProposal(v *Version, now, maxWaitSeconds float64) *Proposal {
	return &Proposal{Version: v, decideBy: now + maxWaitSeconds, accepted: map[string]bool{}}
}

// OnRouterStatus records a router's report on versions: the number of the one in force, of the one that it could apply,
// and of the one that it can't, with the reason.
func (p *Proposal) OnRouterStatus(router string, inForce, applicable, rejected uint64, reason string) {
	switch p.Version.Number {
	case inForce, applicable:
		p.accepted[router] = true
	case rejected:
		if p.rejection == "" {
			p.rejection = fmt.Sprintf("edge %q: %s", router, reason)
		}
	}
}

// Decide returns the outcome of the proposal, given the live routers and the version of the endpoint
// list. Routers that have died since don't count; routers that have started since do. The error is
// non-nil if and only if the proposal is rejected.
func (p *Proposal) Decide(now float64, alive []string, listVersion uint64) (Outcome, error) {
	if p.rejection != "" {
		return Rejected, errors.New(p.rejection)
	}
	missing := p.withoutAnswer(alive)
	hasList := p.Version.RequiredListVersion <= listVersion
	switch {
	case len(missing) == 0 && hasList:
		return Applied, nil
	case now < p.decideBy:
		return Waiting, nil
	case !hasList:
		return Rejected, fmt.Errorf("list version %d did not come in time; %d is here", p.Version.RequiredListVersion, listVersion)
	}
	return Rejected, fmt.Errorf("no word in time from edges %s", strings.Join(missing, ", "))
}

// withoutAnswer returns the routers that have not accepted the proposal, sorted.
func (p *Proposal) withoutAnswer(routers []string) (missing []string) {
	for _, name := range routers {
		if !p.accepted[name] {
			missing = append(missing, name)
		}
	}
	sort.Strings(missing)
	return missing
}
