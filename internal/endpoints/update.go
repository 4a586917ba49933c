package endpoints

import (
	"fmt"
	"net"

	"flintspread/internal/policy"
)

// The values of Endpoint.State.
const (
	StateReady    = "ready"
	StateDraining = "draining" // the endpoint accepts no new requests
	StateGone     = "gone"     // the endpoint was removed from the list
)

// policyStates maps the values of Endpoint.State to those of the policy.
var policyStates = map[string]policy.EndpointState{
	StateReady:    policy.Ready,
	StateDraining: policy.Draining,
	StateGone:     policy.Gone,
}

const (
	maxEndpoints = 100_000
	maxBuilds    = 1 << 16 // builds are numbered from 0 to maxBuilds-1
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

// Update is one message of the list service. A full update contains every endpoint, a partial update only the endpoints
// that have changed. A partial update without endpoints confirms that nothing has changed.
type Update struct {
	Version    uint64     `json:"version"`
	Full       bool       `json:"full,omitempty"`
	AgeSeconds float64    `json:"age,omitempty"` // time since the service last knew this state to be current, on its clock
	Endpoints  []Endpoint `json:"units,omitempty"`
}

// Check returns an error if an update is invalid. Only a checked update may be applied.
func (u *Update) Check() error {
	if len(u.Endpoints) > maxEndpoints {
		return tooManyError(len(u.Endpoints))
	}
	if !(u.AgeSeconds >= 0) { // also rejects NaN
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

// defect describes why an entry is invalid; "" means that it is valid. seen holds the ids of the preceding entries.
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
	case !(e.Weight >= 0) || !(e.StartedAt >= 0): // also rejects NaN
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

// ApplyTo applies a checked update to a balancer's endpoint list.
func (u *Update) ApplyTo(balancer *policy.Balancer, now float64) {
	balancer.SetEndpointListAge(u.AgeSeconds)
	if !u.Full && len(u.Endpoints) == 0 {
		return // nothing has changed
	}
	balancer.BeginEndpointList(u.Full)
	for _, e := range u.Endpoints {
		balancer.UpdateEndpoint(e.ID, e.Zone, e.Cell, e.Build, policyStates[e.State], e.Weight, e.StartedAt)
	}
	balancer.EndEndpointList(now)
}
