package discovery

import (
	"math"

	"flintspread/internal/endpoints"
)

// Registry assigns the numeric ids by which the policy knows hosts and zones. A host keeps its id while it is listed
// and for KeepSeconds after that; then its name is forgotten. An id is never reused for another host. It is not safe
// for concurrent use.
type Registry struct {
	KeepSeconds float64

	hosts  map[string]*host
	zones  map[string]uint16
	lastID uint32
}

type host struct {
	id     uint32
	leftAt float64 // when it left the list; 0 while it is listed
}

// EndpointID returns a host's id, or 0 if the host is not known.
func (r *Registry) EndpointID(name string) uint32 {
	if known := r.hosts[name]; known != nil {
		return known.id
	}
	return 0
}

// Len returns the number of known hosts.
func (r *Registry) Len() int { return len(r.hosts) }

// Update converts a checked message to an update of the endpoint list, and assigns ids to new hosts and zones. now is
// in seconds on any monotonic clock.
func (r *Registry) Update(message *Message, now float64) *endpoints.Update {
	if r.hosts == nil {
		r.hosts, r.zones = map[string]*host{}, map[string]uint16{}
	}
	if message.Full {
		r.markAllLeft(now)
	}
	update := &endpoints.Update{Version: message.Version, Full: message.Full}
	for i := range message.Members {
		member := &message.Members[i]
		listed := r.host(member.Host)
		listed.leftAt = 0
		if states[member.Health] == endpoints.StateGone {
			listed.leftAt = now
		}
		update.Endpoints = append(update.Endpoints, member.endpoint(listed.id, r.zone(member.Zone)))
	}
	r.forget(now)
	return update
}

// markAllLeft marks every listed host as left, before the members of a full list are marked as listed again.
func (r *Registry) markAllLeft(now float64) {
	for _, known := range r.hosts {
		if known.leftAt == 0 {
			known.leftAt = now
		}
	}
}

// host returns a host by name, and registers it with a new id if it is not known.
func (r *Registry) host(name string) *host {
	known := r.hosts[name]
	if known == nil {
		r.lastID++
		known = &host{id: r.lastID}
		r.hosts[name] = known
	}
	return known
}

// zone returns a zone's id. It returns 0 for an empty name, and for new zones once the ids are used up.
func (r *Registry) zone(name string) uint16 {
	if _, known := r.zones[name]; !known && name != "" && len(r.zones) < math.MaxUint16 {
		r.zones[name] = uint16(len(r.zones) + 1)
	}
	return r.zones[name]
}

func (r *Registry) forget(now float64) {
	for name, known := range r.hosts {
		if known.leftAt > 0 && now-known.leftAt > r.KeepSeconds {
			delete(r.hosts, name)
		}
	}
}
