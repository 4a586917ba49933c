package configstate

import (
	"fmt"
	"sort"
	"strings"
)

// Proposal is a version that a planner proposes to its edges. It is put in force once every edge alive has said that it could
// take it; one that can not turns it down for all, so that no relay is under two versions.
type Proposal struct {
	Version *Version
	until   float64
	fit     map[string]bool
	no      string // why not, by the first edge that said so
}

// NewProposal proposes a version; patience is how long the edges, and the list that it belongs with, have.
func NewProposal(v *Version, now, patience float64) *Proposal {
	return &Proposal{Version: v, until: now + patience, fit: map[string]bool{}}
}

// OnRouterStatus enters what an edge said of versions.
func (r *Proposal) OnRouterStatus(edge string, inForce, fits, refused uint64, reason string) {
	switch r.Version.Number {
	case inForce, fits:
		r.fit[edge] = true
	case refused:
		if r.no == "" {
			r.no = fmt.Sprintf("edge %q: %s", edge, reason)
		}
	}
}

// Decide says what becomes of it, alive being the edges there are. Those that died have no say; one that starts meanwhile is
// asked too.
func (r *Proposal) Decide(now float64, alive []string, listNo uint64) (Outcome, error) {
	if r.no != "" {
		return Rejected, fmt.Errorf("%s", r.no)
	}
	var lack []string
	for _, name := range alive {
		if !r.fit[name] {
			lack = append(lack, name)
		}
	}
	if len(lack) == 0 && r.Version.RequiredListVersion <= listNo {
		return Applied, nil
	}
	if now < r.until {
		return Waiting, nil
	}
	if r.Version.RequiredListVersion > listNo {
		return Rejected, fmt.Errorf("list version %d did not come in time; %d is here", r.Version.RequiredListVersion, listNo)
	}
	sort.Strings(lack)
	return Rejected, fmt.Errorf("no word in time from edges %s", strings.Join(lack, ", "))
}
