package endpoints

import (
	"fmt"
	"net"

	"flintspread/internal/policy"
)

// The values of Endpoint.State.
const (
	StateReady    = "ready"
	StateDraining = "draining" // it accepts no more requests
	StateGone     = "gone"     // it has left the list
)

var policyStates = map[string]policy.EndpointState{StateReady: policy.Ready, StateDraining: policy.Draining, StateGone: policy.Gone}

const (
	maxEndpoints = 100_000
	maxBuilds    = 1 << 16
)

// Endpoint is one entry of an update or a list. Addr may be empty only if State is StateGone.
type Endpoint struct {
	ID        uint32  `json:"id"`    // above 0, never reused for another endpoint
	Addr      string  `json:"addr"`  // HOST:PORT
	State     string  `json:"state"` // StateReady, StateDraining or StateGone
	Build     int     `json:"build"`
	Zone      uint16  `json:"zone,omitempty"`
	Cell      uint16  `json:"cell,omitempty"`
	Weight    float64 `json:"heft,omitempty"`  // relative capacity; 1 if omitted
	StartedAt float64 `json:"start,omitempty"` // when its process started, in seconds since the Unix epoch; 0: long ago
}

// Update is one message of the list service. A full update names every endpoint, any other only those that have
// changed; one that is not full and has no endpoints says that nothing has changed.
type Update struct {
	Version    uint64     `json:"version"`
	Full       bool       `json:"full,omitempty"`
	AgeSeconds float64    `json:"age,omitempty"` // seconds since this was true, by the service's clock
	Endpoints  []Endpoint `json:"units,omitempty"`
}

// Check returns an error if an update is invalid. Only a checked update may be applied.
func (u *Update) Check() error {
	if len(u.Endpoints) > maxEndpoints {
		return tooManyError(len(u.Endpoints))
	}
	if !(u.AgeSeconds >= 0) { // NaN too
		return fmt.Errorf("age %v", u.AgeSeconds)
	}
	seen := make(map[uint32]bool, len(u.Endpoints))
	for i := range u.Endpoints {
		e := &u.Endpoints[i]
		if defect := e.defect(seen); defect != "" {
			return fmt.Errorf("unit %d (entry %d): %s", e.ID, i, defect)
		}
		seen[e.ID] = true
	}
	return nil
}

// defect describes what is wrong with an entry, "" if nothing; seen holds the ids of the entries before it.
func (e *Endpoint) defect(seen map[uint32]bool) string {
	_, knownState := policyStates[e.State]
	switch {
	case e.ID == 0:
		return "no id"
	case seen[e.ID]:
		return "named twice"
	case !knownState:
		return fmt.Sprintf("unknown state %q", e.State)
	case e.Build < 0 || e.Build >= maxBuilds:
		return fmt.Sprintf("build %d", e.Build)
	case !(e.Weight >= 0) || !(e.StartedAt >= 0): // NaN too
		return "heft or start below 0"
	case e.State == StateGone:
		return ""
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil {
		return fmt.Sprintf("addr %q is no HOST:PORT", e.Addr)
	}
	return ""
}

func tooManyError(n int) error { return fmt.Errorf("%d units; %d at most", n, maxEndpoints) }

// ApplyTo applies a checked update to a policy's endpoint list.
func (u *Update) ApplyTo(b *policy.Balancer, now float64) {
	b.SetEndpointListAge(u.AgeSeconds)
	if !u.Full && len(u.Endpoints) == 0 {
		return // nothing has changed
	}
	b.BeginEndpointList(u.Full)
	for _, e := range u.Endpoints {
		b.UpdateEndpoint(e.ID, e.Zone, e.Cell, e.Build, policyStates[e.State], e.Weight, e.StartedAt)
	}
	b.EndEndpointList(now)
}
