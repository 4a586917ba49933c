package configstate

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Proposal is a version that a controller proposes to its routers. The version is applied once every live router has
// reported that it can apply it. If a single router reports that it cannot, the version is rejected for all.
type Proposal struct {
	Version   *Version
	decideBy  float64         // when the proposal times out
	accepted  map[string]bool // by router name
	rejection string          // name and reason of the first router that cannot apply it; "" for none
}

// NewProposal returns a proposal of a version; maxWaitSeconds is how long it may wait for the routers and for the endpoint
// list that the version requires.
func NewProposal(version *Version, now, maxWaitSeconds float64) *Proposal {
	return &Proposal{Version: version, decideBy: now + maxWaitSeconds, accepted: map[string]bool{}}
}

// RouterStatus is what a router reports about versions.
type RouterStatus struct {
	InForce    VersionID
	Applicable VersionID // a proposed version that it can apply; zero: none
	Rejected   VersionID // a version that it cannot apply; zero: none
	Reason     string    // why it cannot apply Rejected
}

// OnRouterStatus records what a router reported about versions.
func (p *Proposal) OnRouterStatus(router string, status RouterStatus) {
	switch {
	case status.InForce.Matches(p.Version) || status.Applicable.Matches(p.Version):
		p.accepted[router] = true
	case status.Rejected.Matches(p.Version):
		if p.rejection == "" {
			p.rejection = fmt.Sprintf("edge %q: %s", router, status.Reason)
		}
	}
}

// Routers describes the routers that a controller knows.
type Routers struct {
	Alive []string // names of the live routers
	Known bool     // Alive holds all of them; if not, a router may be alive that has not reported yet
}

// Decide returns the outcome of the proposal, given the routers and the version of the endpoint list. All routers that
// are alive now must accept, including those that started after the proposal was made; those that have died since need
// not. Until all live routers are known, a proposal can only be rejected: a router that has not reported yet has not
// accepted it. The error is non-nil if and only if the proposal is rejected.
func (p *Proposal) Decide(now float64, routers Routers, listVersion uint64) (Outcome, error) {
	if p.rejection != "" {
		return Rejected, errors.New(p.rejection)
	}
	missing := p.notAccepted(routers.Alive)
	hasList := p.Version.RequiredListVersion <= listVersion
	switch {
	case !routers.Known:
		return Waiting, nil
	case len(missing) == 0 && hasList:
		return Applied, nil
	case now < p.decideBy:
		return Waiting, nil
	case !hasList:
		return Rejected, fmt.Errorf("list version %d did not come in time; %d is here", p.Version.RequiredListVersion, listVersion)
	}
	return Rejected, fmt.Errorf("no word in time from edges %s", strings.Join(missing, ", "))
}

// notAccepted returns the sorted names of those routers that have not accepted the proposal.
func (p *Proposal) notAccepted(routers []string) (missing []string) {
	for _, name := range routers {
		if !p.accepted[name] {
			missing = append(missing, name)
		}
	}
	sort.Strings(missing)
	return missing
}
