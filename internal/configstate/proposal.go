package configstate

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Proposal is a version that a controller proposes to its routers. It is applied once every router alive has said that it
// could apply it; one that can't rejects it for all.
type Proposal struct {
	Version   *Version
	decideBy  float64
	accepted  map[string]bool // by name of the router
	rejection string          // by the first router that can't apply it
}

// NewProposal proposes a version; maxWaitSeconds is how long the routers, and the endpoint list that it belongs with, have.
func NewProposal(v *Version, now, maxWaitSeconds float64) *Proposal {
	return &Proposal{Version: v, decideBy: now + maxWaitSeconds, accepted: map[string]bool{}}
}

// OnRouterStatus enters what a router reports of versions: the number of the one in force, of the one that it could apply, and
// of the one that it can't, with the reason.
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

// Decide tells what becomes of the proposal, by the routers alive and the endpoint list's version. Routers that have died have
// no say; one that has started meanwhile does. The error is not nil exactly where the proposal is rejected.
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

// withoutAnswer gives the routers that have not accepted the proposal, sorted.
func (p *Proposal) withoutAnswer(routers []string) (missing []string) {
	for _, name := range routers {
		if !p.accepted[name] {
			missing = append(missing, name)
		}
	}
	sort.Strings(missing)
	return missing
}
