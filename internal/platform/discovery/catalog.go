// Package catalog reads the unit list in the form of the platform's discovery, and knows units by the numbers that the module gets.
package discovery

import (
	"encoding/json"
	"fmt"
	"math"

	"flintspread/internal/endpoints"
)

// Message is one of discovery's: the whole list, or the entries that changed.
type Message struct {
	Seq   uint64   `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []Member `json:"hosts"`
}

// Member is one unit as discovery names it.
type Member struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  float64 `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
	Image  float64 `json:"image_id"`
}

const (
	mostName = 256
)

var states = map[string]string{"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}

// Parse reads an object and refuses one with an entry that can't be meant: what it would leave out might be what matters.
func Parse(text []byte) (*Message, error) {
	o := &Message{}
	if err := json.Unmarshal(text, o); err != nil {
		return nil, err
	}
	return o, o.Check()
}

// Check finds an entry that can't be meant: what its form alone shows, the rest is the list's own check.
func (o *Message) Check() error {
	seen := make(map[string]bool, len(o.Hosts))
	for i, e := range o.Hosts {
		what := ""
		switch {
		case e.Host == "" || len(e.Host) > mostName:
			what = "no name"
		case seen[e.Host]:
			what = "named twice"
		case states[e.Health] == "":
			what = fmt.Sprintf("unknown health %.32q", e.Health)
		case e.Image != math.Trunc(e.Image) || e.Block != math.Trunc(e.Block) || !(e.Block >= 0 && e.Block < math.MaxUint16):
			what = fmt.Sprintf("image_id %v, block %v", e.Image, e.Block)
		default:
			if err := (&endpoints.Update{Endpoints: []endpoints.Endpoint{e.unit(1, 0)}}).Check(); err != nil {
				what = err.Error()
			}
		}
		if what != "" {
			return fmt.Errorf("host %.64q (entry %d): %s", e.Host, i, what)
		}
		seen[e.Host] = true
	}
	return nil
}

// unit words an entry by the numbers that the module knows it and its site by.
func (e *Member) unit(id uint32, zone uint16) endpoints.Endpoint {
	u := endpoints.Endpoint{ID: id, State: states[e.Health], Build: int(e.Image), Weight: e.Share, StartedAt: e.BornMS / 1000, Zone: zone, Cell: uint16(e.Block) + 1}
	if u.State != "gone" {
		u.Addr = e.Dial
	}
	return u
}

// IDs gives hosts and sites the numbers that the module knows them by. A host keeps its number for as long as it is listed
// and Kept s more; then its name is forgotten, and a number is never another's.
type IDs struct {
	KeepSeconds float64
	hosts       map[string]*named
	sites       map[string]uint16
	last        uint32
}

type named struct {
	id   uint32
	left float64 // when it left the list, 0 while it is listed
}

// EndpointID gives a listed host's number, 0 where it is not known.
func (n *IDs) EndpointID(host string) uint32 {
	if x := n.hosts[host]; x != nil {
		return x.id
	}
	return 0
}

// Len is how many hosts are remembered.
func (n *IDs) Len() int { return len(n.hosts) }

// Update words an object for the list.
func (n *IDs) Update(o *Message, now float64) *endpoints.Update {
	if n.hosts == nil {
		n.hosts, n.sites = map[string]*named{}, map[string]uint16{}
	}
	if o.Whole {
		for _, x := range n.hosts {
			if x.left == 0 {
				x.left = now
			}
		}
	}
	line := &endpoints.Update{Version: o.Seq, Full: o.Whole}
	for _, e := range o.Hosts {
		x := n.hosts[e.Host]
		if x == nil {
			n.last++
			x = &named{id: n.last}
			n.hosts[e.Host] = x
		}
		x.left = 0
		if _, known := n.sites[e.Site]; !known && e.Site != "" && len(n.sites) < math.MaxUint16 {
			n.sites[e.Site] = uint16(len(n.sites) + 1)
		}
		if states[e.Health] == "gone" {
			x.left = now
		}
		line.Endpoints = append(line.Endpoints, e.unit(x.id, n.sites[e.Site]))
	}
	for host, x := range n.hosts {
		if x.left > 0 && now-x.left > n.KeepSeconds {
			delete(n.hosts, host)
		}
	}
	return line
}

// Renewal tells a whole list that is behind, as a copy may be for a while, from one whose numbers began anew.
type Renewal struct{ behind float64 }

// Takes tells whether a whole list of a version may be taken where one is in force. An older one would bring back units that
// drained or left since; where no newer one came for so long, it is discovery's own.
func (r *Renewal) Takes(version, have uint64, now, long float64) bool {
	switch {
	case version >= have:
		r.behind = 0
	case r.behind == 0:
		r.behind = now
		return false
	case now-r.behind < long:
		return false
	}
	return true
}
