// Package version decides which version of the settings is in force: what is taken, what is turned down and why, and what
// waits for the part that it belongs with. It is free of I/O and clocks: times are seconds on the caller's clock.
package configstate

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/config"
	"flintspread/internal/policy"
)

// Version is one that was read whole. It does not change any more.
type Version struct {
	Number              uint64 // grows; 0 is the file that the program started with
	Hash                uint64 // of its text
	Text                []byte
	Document            *config.Document
	Policy              *policy.Config
	RequiredListVersion uint64 // version of the unit list that it belongs with, 0: any
	slot                map[string]int
}

// Read reads a version's text by the reader that reads a file.
func Read(no uint64, text []byte) (*Version, error) {
	doc, err := config.ParseDocument(fmt.Sprintf("version-%d", no), text)
	if err != nil {
		return nil, err
	}
	return &Version{Number: no, Hash: xxhash.Sum64(text), Text: text, Document: doc}, nil
}

// ClassOf gives the place of a command's op type among the policy's, -1 where no route leads there.
func (v *Version) ClassOf(method, path string) int {
	op := v.Document.ClassOf(method, path)
	if op < 0 {
		return -1
	}
	return v.slot[v.Document.Classes[op].Name]
}

// ClassNamed gives the place of an op type among the policy's, -1 where none is called so.
func (v *Version) ClassNamed(op []byte) int {
	if place, ok := v.slot[string(op)]; ok {
		return place
	}
	return -1
}

// Conditions is what a version would meet.
type Conditions struct {
	InFlight    map[string]int // commands by op type
	ClientConns int            // open connections
	HasZones    bool           // some unit is in a zone, or
	HasCells    bool           // in a cell
	ListVersion uint64         // version of the unit list
}

// Outcome is what became of a version that came.
type Outcome int

const (
	Applied        Outcome = iota
	AlreadyApplied         // it is in force already: its acknowledgement was lost
	Waiting                // for the unit list that it belongs with
	Rejected
)

func (o Outcome) String() string {
	return [...]string{"applied", "again", "waits", "turned down"}[o]
}

// State keeps the version in force.
type State struct {
	now     *Version
	slots   []string // op types by their places; a place is never another's
	waiting *Version
	until   float64
	patient float64
}

// NewState begins with the file's own settings. patience is how long a version may wait for what it belongs with.
func NewState(doc *config.Document, text []byte, sum uint64, patience float64) *State {
	k := &State{patient: patience}
	k.enter(&Version{Hash: sum, Text: text, Document: doc})
	return k
}

// Current is the version in force.
func (k *State) Current() *Version { return k.now }

// Pending is a version that waits, nil: none.
func (k *State) Pending() *Version { return k.waiting }

// Check says whether a version could be put in force now, without doing it.
func (k *State) Check(v *Version, s Conditions) (Outcome, error) {
	switch p := k.now; {
	case v.Number == p.Number && v.Hash == p.Hash:
		return AlreadyApplied, nil
	case v.Number == p.Number:
		return Rejected, fmt.Errorf("version %d is in force with another text", v.Number)
	case v.Number < p.Number:
		return Rejected, fmt.Errorf("version %d is older than %d, which is in force; to go back, send its text as a new version", v.Number, p.Number)
	}
	if err := k.fits(v, s); err != nil {
		return Rejected, err
	}
	if v.RequiredListVersion > s.ListVersion {
		return Waiting, nil
	}
	return Applied, nil
}

// Offer says what becomes of a version that came, and why it is turned down.
func (k *State) Offer(now float64, v *Version, s Conditions) (Outcome, error) {
	o, err := k.Check(v, s)
	switch o {
	case Waiting:
		if k.waiting == nil || k.waiting.Number != v.Number {
			k.until = now + k.patient
		}
		k.waiting = v
	case Applied:
		k.enter(v)
	}
	return o, err
}

// Recheck is to be called now and then, and when the list changes: a version that waited may apply now, or has waited too long.
func (k *State) Recheck(now float64, s Conditions) (*Version, Outcome, error) {
	v := k.waiting
	if v == nil {
		return nil, Waiting, nil
	}
	if v.RequiredListVersion <= s.ListVersion {
		k.waiting = nil
		o, err := k.Offer(now, v, s)
		return v, o, err
	}
	if now >= k.until {
		k.waiting = nil
		return v, Rejected, fmt.Errorf("list version %d did not come within %g s of version %d; %d is here", v.RequiredListVersion, k.patient, v.Number, s.ListVersion)
	}
	return v, Waiting, nil
}

// fits finds what the version's text alone does not show: what it would break for what goes on now.
func (k *State) fits(v *Version, s Conditions) error {
	old, doc := k.now.Document, v.Document
	kept := map[string]bool{}
	for _, op := range doc.Classes {
		kept[op.Name] = true
		if op.Group == "zone" && !s.HasZones || op.Group == "cell" && !s.HasCells {
			return fmt.Errorf(":op-types: %q: no unit of the list is in a %s", op.Name, string(op.Group))
		}
	}
	names := make([]string, 0, len(s.InFlight))
	for name := range s.InFlight {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if s.InFlight[name] > 0 && !kept[name] {
			return fmt.Errorf(":op-types: %q is left out while %d of its commands are in hand", name, s.InFlight[name])
		}
	}
	if doc.Clients.Connections < s.ClientConns {
		return fmt.Errorf(":clients :connections: %d, while %d are open", doc.Clients.Connections, s.ClientConns)
	}
	// What was counted would mean something else.
	if doc.Rules.CountPerOp != old.Rules.CountPerOp {
		return fmt.Errorf(":rules :count-per-op-type: cannot change while the program runs")
	}
	if doc.Rules.OneWayKeys != old.Rules.OneWayKeys {
		return fmt.Errorf(":rules :one-way-keys: cannot change while the program runs")
	}
	if len(k.slots)+len(doc.Classes) > 1024 {
		return fmt.Errorf(":op-types: more than 1024 in one life of the program")
	}
	return nil
}

// enter puts a version in force. Its op types get the places that they had, new ones new places; the places of those it
// leaves out stay, for what may still be on its way.
func (k *State) enter(v *Version) {
	t := v.Document.Policy()
	v.slot = make(map[string]int, len(v.Document.Classes))
	at := make(map[string]int, len(k.slots))
	for i, name := range k.slots {
		at[name] = i
	}
	var ops []policy.RequestClass
	if k.now != nil {
		ops = append(ops, k.now.Policy.Classes...)
	}
	for i, op := range v.Document.Classes {
		place, ok := at[op.Name]
		if !ok {
			place = len(k.slots)
			k.slots = append(k.slots, op.Name)
			ops = append(ops, policy.RequestClass{})
		}
		ops[place], v.slot[op.Name] = t.Classes[i], place
	}
	t.Classes = ops
	if k.now != nil {
		t.HasController = k.now.Policy.HasController // the program's own matter
	}
	v.Policy = &t
	k.now, k.waiting = v, nil
}

// ClassName gives the op type at a place.
func (k *State) ClassName(slot int) string { return k.slots[slot] }
