// Package discovery parses the endpoint list that the platform's discovery service sends, and assigns the numeric IDs
// that the policy uses for hosts and zones. It does no I/O and has no locks. Times are in seconds unless a name says
// otherwise.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"flintspread/internal/endpoints"
)

// Message is one message of the discovery service: the full list of members, or those that changed.
type Message struct {
	Version uint64   `json:"seq"`   // version of the endpoint list after this message
	Full    bool     `json:"whole"` // whether Members is the full list
	Members []Member `json:"hosts"`
}

// Member is one endpoint as described by the discovery service.
type Member struct {
	Host                  string  `json:"host"`
	Address               string  `json:"dial"` // HOST:PORT
	Zone                  string  `json:"site"`
	Cell                  float64 `json:"block"`  // number, from 0
	Health                string  `json:"health"` // SERVING, DRAINING or DELETED
	Weight                float64 `json:"share"`
	StartedAtMilliseconds float64 `json:"born_ms"` // start of the endpoint, as Unix time
	Build                 float64 `json:"image_id"`
}

const maxHostBytes = 256 // maximum length of a host's name

// stateByHealth maps the service's health words to endpoint states.
var stateByHealth = map[string]string{
	"SERVING":  endpoints.StateReady,
	"DRAINING": endpoints.StateDraining,
	"DELETED":  endpoints.StateGone,
}

// Parse decodes and validates a message.
func Parse(text []byte) (*Message, error) {
	message := &Message{}
	if err := json.Unmarshal(text, message); err != nil {
		return nil, err
	}
	return message, message.Check()
}

// Check validates the members. One invalid member rejects the whole message, since a skipped member might be draining.
func (m *Message) Check() error {
	seenHosts := make(map[string]bool, len(m.Members))
	for i := range m.Members {
		member := &m.Members[i]
		if err := member.check(seenHosts); err != nil {
			return fmt.Errorf("host %.64q (entry %d): %w", member.Host, i, err)
		}
		seenHosts[member.Host] = true
	}
	return nil
}

// check validates a member; seenHosts holds the hosts of the members before it in the message.
func (m *Member) check(seenHosts map[string]bool) error {
	switch {
	case m.Host == "" || len(m.Host) > maxHostBytes:
		return fmt.Errorf("host name has %d bytes instead of 1 to %d", len(m.Host), maxHostBytes)
	case seenHosts[m.Host]:
		return errors.New("listed more than once")
	case stateByHealth[m.Health] == "":
		return fmt.Errorf("unknown health %.32q", m.Health)
	case !m.hasValidBuildAndCell():
		return fmt.Errorf("image_id %v and block %v must be whole numbers, block from 0 to %d", m.Build, m.Cell, math.MaxUint16-1)
	}
	// Update.Check validates the other fields. The registry assigns the real ID and zone later.
	const placeholderID, placeholderZone = 1, 0
	update := endpoints.Update{Endpoints: []endpoints.Endpoint{m.endpoint(placeholderID, placeholderZone)}}
	return update.Check()
}

// hasValidBuildAndCell reports whether build and cell are whole numbers, not NaN, and the cell's number plus 1 fits the
// Cell field of an endpoint.
func (m *Member) hasValidBuildAndCell() bool {
	return m.Build == math.Trunc(m.Build) && m.Cell == math.Trunc(m.Cell) && m.Cell >= 0 && m.Cell < math.MaxUint16
}

// endpoint converts a member to an entry of the endpoint list. The list numbers cells from 1, since 0 means no cell.
func (m *Member) endpoint(id uint32, zone uint16) endpoints.Endpoint {
	endpoint := endpoints.Endpoint{
		ID:        id,
		State:     stateByHealth[m.Health],
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
