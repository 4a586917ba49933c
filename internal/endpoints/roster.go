// Package roster holds the list of units as the list service tells it, and keeps the last one on disk.
package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"iter"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"flintspread/internal/policy"
)

// Endpoint is one entry. Addr is empty only where State is "gone".
type Endpoint struct {
	ID        uint32  `json:"id"`    // above 0, never given to another machine
	Addr      string  `json:"addr"`  // HOST:PORT
	State     string  `json:"state"` // ready, draining or gone
	Build     int     `json:"build"`
	Zone      uint16  `json:"zone,omitempty"`
	Cell      uint16  `json:"cell,omitempty"`
	Weight    float64 `json:"heft,omitempty"`  // relative size, 1 if left out
	StartedAt float64 `json:"start,omitempty"` // when its process started, s since 1970; 0: long ago
}

// Update is one line of the list's stream. A full one names every unit there is; else only changes follow. A line
// without units tells that nothing changed.
type Update struct {
	Version   uint64     `json:"version"`
	Full      bool       `json:"full,omitempty"`
	Age       float64    `json:"age,omitempty"` // s since this was true, as the service reckons
	Endpoints []Endpoint `json:"units,omitempty"`
}

const (
	mostUnits  = 100_000
	mostBuilds = 1 << 16
)

// Check refuses a line that can't be meant.
func (l *Update) Check() error {
	if len(l.Endpoints) > mostUnits {
		return fmt.Errorf("%d units; %d at most", len(l.Endpoints), mostUnits)
	}
	if !(l.Age >= 0) {
		return fmt.Errorf("age %v", l.Age)
	}
	seen := make(map[uint32]bool, len(l.Endpoints))
	for i, u := range l.Endpoints {
		bad := ""
		switch {
		case u.ID == 0:
			bad = "no id"
		case seen[u.ID]:
			bad = "named twice"
		case u.State != "ready" && u.State != "draining" && u.State != "gone":
			bad = fmt.Sprintf("unknown state %q", u.State)
		case u.Build < 0 || u.Build >= mostBuilds:
			bad = fmt.Sprintf("build %d", u.Build)
		case !(u.Weight >= 0) || !(u.StartedAt >= 0):
			bad = "heft or start below 0"
		case u.State != "gone":
			if _, _, err := net.SplitHostPort(u.Addr); err != nil {
				bad = fmt.Sprintf("addr %q is no HOST:PORT", u.Addr)
			}
		}
		if bad != "" {
			return fmt.Errorf("unit %d (entry %d): %s", u.ID, i, bad)
		}
		seen[u.ID] = true
	}
	return nil
}

// List is what is known of the units. Its versions share what did not change: a copy costs nothing, and a change of ten units
// in ten thousand costs ten.
type List struct {
	Version uint64
	At      float64 // when it was true, s since 1970
	units   *immutable.SortedMap[uint32, Endpoint]
}

// Len is how many units there are.
func (l *List) Len() int {
	if l.units == nil {
		return 0
	}
	return l.units.Len()
}

// Get gives a unit.
func (l *List) Get(id uint32) (Endpoint, bool) {
	if l.units == nil {
		return Endpoint{}, false
	}
	return l.units.Get(id)
}

// All gives the units in the order of their ids.
func (l *List) All() iter.Seq[Endpoint] {
	return func(yield func(Endpoint) bool) {
		if l.units == nil {
			return
		}
		for it := l.units.Iterator(); !it.Done(); {
			if _, u, _ := it.Next(); !yield(u) {
				return
			}
		}
	}
}

// Apply enters a checked line and gives what it changes, which is all that has to be told on. Changes of an older version than
// the list's are refused: the stream went backwards.
func (l *List) Apply(line *Update, now float64) (changes *Update, err error) {
	if line.Version < l.Version && !line.Full {
		return nil, fmt.Errorf("changes of version %d after version %d", line.Version, l.Version)
	}
	units := l.units
	if units == nil {
		units = immutable.NewSortedMap[uint32, Endpoint](nil)
	}
	changes = &Update{Version: line.Version, Age: line.Age, Full: line.Full && l.units == nil}
	named := 0
	for _, u := range line.Endpoints {
		old, there := units.Get(u.ID)
		switch {
		case u.State == "gone" && !there, u.State != "gone" && there && old == u:
		case u.State == "gone":
			units = units.Delete(u.ID)
			changes.Endpoints = append(changes.Endpoints, u)
		default:
			units = units.Set(u.ID, u)
			changes.Endpoints = append(changes.Endpoints, u)
		}
		if u.State != "gone" {
			named++
		}
	}
	if line.Full && units.Len() > named {
		keep := make(map[uint32]bool, named)
		for _, u := range line.Endpoints {
			keep[u.ID] = true
		}
		for it := units.Iterator(); !it.Done(); {
			if id, _, _ := it.Next(); !keep[id] {
				units = units.Delete(id)
				changes.Endpoints = append(changes.Endpoints, Endpoint{ID: id, State: "gone"})
			}
		}
	}
	if units.Len() > mostUnits {
		return nil, fmt.Errorf("%d units; %d at most", units.Len(), mostUnits)
	}
	l.Version, l.At, l.units = line.Version, now-line.Age, units
	return changes, nil
}

// CheckNewer says why a full line is not to be taken after this list: it is older, or as old and tells of other units.
func (l *List) CheckNewer(line *Update) error {
	if line.Version < l.Version {
		return fmt.Errorf("list version %d is older than %d, which is in force", line.Version, l.Version)
	}
	if line.Version > l.Version || l.units == nil {
		return nil
	}
	changes, err := l.Clone().Apply(line, 0)
	if err == nil && len(changes.Endpoints) > 0 {
		err = fmt.Errorf("list version %d is in force with other units: %d differ", line.Version, len(changes.Endpoints))
	}
	return err
}

// Clone gives a list that does not change with this one.
func (l *List) Clone() *List { return &List{l.Version, l.At, l.units} }

// saved is a list on disk.
type saved struct {
	Version uint64     `json:"version"`
	At      float64    `json:"at"`
	Units   []Endpoint `json:"units"`
}

func (l *List) MarshalJSON() ([]byte, error) {
	return json.Marshal(saved{l.Version, l.At, slices.Collect(l.All())})
}

func (l *List) UnmarshalJSON(text []byte) error {
	var s saved
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	line := &Update{Full: true, Version: s.Version, Endpoints: s.Units}
	if err := line.Check(); err != nil {
		return err
	}
	*l = List{}
	_, err := l.Apply(line, s.At)
	return err
}

// ApplyTo enters a checked line into a policy.
func (l *Update) ApplyTo(b *policy.Balancer, now float64) {
	b.SetEndpointListAge(l.Age)
	if !l.Full && len(l.Endpoints) == 0 {
		return // nothing changed
	}
	b.BeginEndpointList(l.Full)
	for _, u := range l.Endpoints {
		b.UpdateEndpoint(u.ID, u.Zone, u.Cell, u.Build, states[u.State], u.Weight, u.StartedAt)
	}
	b.EndEndpointList(now)
}

var states = map[string]policy.EndpointState{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Gone}

// FullUpdate gives the whole list as one line, as a start from disk takes it.
func (l *List) FullUpdate(now float64) *Update {
	return &Update{Version: l.Version, Full: true, Age: max(0, now-l.At), Endpoints: slices.Collect(l.All())}
}

// Save writes the list.
func (l *List) Save(file string) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return ReplaceFile(file, text)
}

// ReplaceFile writes a file so that a kill at any point leaves the old one or the new one, whole.
func ReplaceFile(file string, text []byte) (err error) {
	dir := filepath.Dir(file)
	tmp, err := os.CreateTemp(dir, filepath.Base(file)+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(tmp.Name())
		}
	}()
	_, err = tmp.Write(text)
	err = errors.Join(err, tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	if err = os.Rename(tmp.Name(), file); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Load reads a saved list. No file is no error: the list is empty. A broken file is set aside under a name that says
// when, and told; the list is empty then too. What a killed save left behind is swept.
func Load(file string) (*List, error) {
	if left, _ := filepath.Glob(file + ".new-*"); left != nil {
		for _, f := range left {
			os.Remove(f)
		}
	}
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &List{}, nil
	}
	if err != nil {
		return &List{}, err
	}
	l := &List{}
	err = json.Unmarshal(text, l)
	if err != nil {
		aside := fmt.Sprintf("%s.bad-%d", file, time.Now().UnixNano())
		return &List{}, fmt.Errorf("%s: %w; set aside as %s", file, errors.Join(err, os.Rename(file, aside)), aside)
	}
	return l, nil
}
