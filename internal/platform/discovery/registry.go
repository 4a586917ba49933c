package discovery

import (
	"math"

	"flintspread/internal/endpoints"
)

// Registry gives hosts and zones the numbers that the policy knows them by. A host keeps its number for as long as it is listed and
// KeepSeconds more; then its name is forgotten. A number is never given to another host. It is not safe for concurrent use.
type Registry struct {
	KeepSeconds float64

	hosts  map[string]*host
	zones  map[string]uint16
	lastID uint32
}

type host struct {
	id     uint32
	leftAt float64 // when it left the list, 0 while it is listed
}

// EndpointID gives a host's number, 0 where it is not known.
func (r *Registry) EndpointID(name string) uint32 {
	if known := r.hosts[name]; known != nil {
		return known.id
	}
	return 0
}

// Len is how many hosts are known.
func (r *Registry) Len() int { return len(r.hosts) }

// Update turns a message into an update of the endpoint list. now is in seconds, on any clock that does not go back.
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

// markAllLeft notes that every listed host left; those of a full list are listed again after it.
func (r *Registry) markAllLeft(now float64) {
	for _, known := range r.hosts {
		if known.leftAt == 0 {
			known.leftAt = now
		}
	}
}

// host gives a host by its name, with a new number where it is not known.
func (r *Registry) host(name string) *host {
	known := r.hosts[name]
	if known == nil {
		r.lastID++
		known = &host{id: r.lastID}
		r.hosts[name] = known
	}
	return known
}

// zone gives a zone's number, 0 for one without a name and for those beyond what a number can hold.
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
