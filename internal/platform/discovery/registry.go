package discovery

import (
	"math"

	"flintspread/internal/endpoints"
)

// Registry assigns the numeric IDs that the policy uses for hosts and zones. A host keeps its ID while it is listed and
// for KeepSeconds after it left the list; then it is forgotten. An ID is never reused for another host. A Registry is not
// safe for concurrent use.
type Registry struct {
	KeepSeconds float64 // must not change after the first Update

	hosts  map[string]*host
	zones  map[string]uint16
	lastID uint32
}

type host struct {
	id     uint32
	leftAt float64 // instant at which the host left the list; 0 while it is listed
}

// EndpointID returns a host's ID, or 0 if the host is not known.
func (r *Registry) EndpointID(name string) uint32 {
	if known := r.hosts[name]; known != nil {
		return known.id
	}
	return 0
}

// Len returns the number of known hosts.
func (r *Registry) Len() int { return len(r.hosts) }

// Update converts a validated message to an update of the endpoint list, and assigns IDs to new hosts and zones. now is
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
		known := r.host(member.Host)
		known.leftAt = 0
		if stateByHealth[member.Health] == endpoints.StateGone {
			known.leftAt = now
		}
		update.Endpoints = append(update.Endpoints, member.endpoint(known.id, r.zone(member.Zone)))
	}
	r.forget(now)
	return update
}

// markAllLeft marks every listed host as left. The members of a full list are then marked as listed again.
func (r *Registry) markAllLeft(now float64) {
	for _, known := range r.hosts {
		if known.leftAt == 0 {
			known.leftAt = now
		}
	}
}

// host returns a host by name. An unknown host is registered with a new ID.
func (r *Registry) host(name string) *host {
	known := r.hosts[name]
	if known == nil {
		r.lastID++
		known = &host{id: r.lastID}
		r.hosts[name] = known
	}
	return known
}

// zone returns a zone's ID, assigning one to a new zone. It returns 0 for an empty name, and for new zones once all IDs
// are used.
func (r *Registry) zone(name string) uint16 {
	if _, known := r.zones[name]; !known && name != "" && len(r.zones) < math.MaxUint16 {
		r.zones[name] = uint16(len(r.zones) + 1)
	}
	return r.zones[name]
}

// forget removes the hosts that left the list more than KeepSeconds ago.
func (r *Registry) forget(now float64) {
	for name, known := range r.hosts {
		if known.leftAt > 0 && now-known.leftAt > r.KeepSeconds {
			delete(r.hosts, name)
		}
	}
}
