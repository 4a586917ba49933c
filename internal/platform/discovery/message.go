// Package discovery parses the endpoint list as sent by the platform's discovery service, and assigns the numeric ids
// of hosts and zones that the policy uses. It does no I/O and has no locks. Times are seconds unless a name says
// otherwise.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"flintspread/internal/endpoints"
)

// Message is one message of the discovery service: the full list, or the members that changed.
type Message struct {
	Version uint64   `json:"seq"`
	Full    bool     `json:"whole"`
	Members []Member `json:"hosts"`
}

// Member is one endpoint as described by the discovery service.
type Member struct {
	Host                  string  `json:"host"`
	Address               string  `json:"dial"` // HOST:PORT
	Zone                  string  `json:"site"`
	Cell                  float64 `json:"block"`
	Health                string  `json:"health"` // SERVING, DRAINING or DELETED
	Weight                float64 `json:"share"`
	StartedAtMilliseconds float64 `json:"born_ms"` // Unix time
	Build                 float64 `json:"image_id"`
}

const maxHostBytes = 256 // length of a host's name

// states maps the service's health words to endpoint states.
var states = map[string]string{
	"SERVING":  endpoints.StateReady,
	"DRAINING": endpoints.StateDraining,
	"DELETED":  endpoints.StateGone,
}

// Parse decodes and checks a message.
func Parse(text []byte) (*Message, error) {
	message := &Message{}
	if err := json.Unmarshal(text, message); err != nil {
		return nil, err
	}
	return message, message.Check()
}

// Check validates each member on its own. One invalid member rejects the whole message: a member that was skipped might
// be one that drains.
func (m *Message) Check() error {
	seen := make(map[string]bool, len(m.Members))
	for i := range m.Members {
		member := &m.Members[i]
		if err := member.check(seen); err != nil {
			return fmt.Errorf("host %.64q (entry %d): %w", member.Host, i, err)
		}
		seen[member.Host] = true
	}
	return nil
}

// check validates a member; seen holds the hosts before it in the message.
func (m *Member) check(seen map[string]bool) error {
	switch {
	case m.Host == "" || len(m.Host) > maxHostBytes:
		return errors.New("no name")
	case seen[m.Host]:
		return errors.New("named twice")
	case states[m.Health] == "":
		return fmt.Errorf("unknown health %.32q", m.Health)
	case !m.hasValidBuildAndCell():
		return fmt.Errorf("image_id %v, block %v", m.Build, m.Cell)
	}
	const anyID, anyZone = 1, 0
	update := endpoints.Update{Endpoints: []endpoints.Endpoint{m.endpoint(anyID, anyZone)}}
	return update.Check()
}

// hasValidBuildAndCell reports whether build and cell are whole numbers, not NaN, and the cell fits an endpoint's
// field.
func (m *Member) hasValidBuildAndCell() bool {
	return m.Build == math.Trunc(m.Build) && m.Cell == math.Trunc(m.Cell) && m.Cell >= 0 && m.Cell < math.MaxUint16
}

// endpoint converts a member to an endpoint of the list. Cells are numbered from 1 there: 0 means none.
func (m *Member) endpoint(id uint32, zone uint16) endpoints.Endpoint {
	endpoint := endpoints.Endpoint{
		ID:        id,
		State:     states[m.Health],
		Build:     int(m.Build),
		Weight:    m.Weight,
		StartedAt: m.StartedAtMilliseconds / 1000,
		Zone:      zone,
		Cell:      uint16(m.Cell) + 1,
	}
	if endpoint.State != endpoints.StateGone {
		endpoint.Addr = m.Address
	}
	return endpoint
}
