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
	No    uint64 // grows; 0 is the file that the program started with
	Sum   uint64 // of its text
	Text  []byte
	Doc   *config.Document
	Terms *policy.Terms
	Needs uint64 // version of the unit list that it belongs with, 0: any
	slot  map[string]int
}

// Read reads a version's text by the reader that reads a file.
func Read(no uint64, text []byte) (*Version, error) {
	doc, err := config.ParseDocument(fmt.Sprintf("version-%d", no), text)
	if err != nil {
		return nil, err
	}
	return &Version{No: no, Sum: xxhash.Sum64(text), Text: text, Doc: doc}, nil
}

// Slot gives the place of a command's op type among the policy's, -1 where no route leads there.
func (v *Version) Slot(method, path string) int {
	op := v.Doc.Op(method, path)
	if op < 0 {
		return -1
	}
	return v.slot[v.Doc.OpTypes[op].Name]
}

// Named gives the place of an op type among the policy's, -1 where none is called so.
func (v *Version) Named(op []byte) int {
	if place, ok := v.slot[string(op)]; ok {
		return place
	}
	return -1
}

// Situation is what a version would meet.
type Situation struct {
	InHand  map[string]int // commands by op type
	Clients int            // open connections
	Zones   bool           // some unit is in a zone, or
	Cells   bool           // in a cell
	ListNo  uint64         // version of the unit list
}

// Outcome is what became of a version that came.
type Outcome int

const (
	Applied Outcome = iota
	Again           // it is in force already: its acknowledgement was lost
	Waits           // for the unit list that it belongs with
	TurnedDown
)

func (o Outcome) String() string {
	return [...]string{"applied", "again", "waits", "turned down"}[o]
}

// Keeper keeps the version in force.
type Keeper struct {
	now     *Version
	slots   []string // op types by their places; a place is never another's
	waiting *Version
	until   float64
	patient float64
}

// NewKeeper begins with the file's own settings. patience is how long a version may wait for what it belongs with.
func NewKeeper(doc *config.Document, text []byte, sum uint64, patience float64) *Keeper {
	k := &Keeper{patient: patience}
	k.enter(&Version{Sum: sum, Text: text, Doc: doc})
	return k
}

// Present is the version in force.
func (k *Keeper) Present() *Version { return k.now }

// Waiting is a version that waits, nil: none.
func (k *Keeper) Waiting() *Version { return k.waiting }

// Fits says whether a version could be put in force now, without doing it.
func (k *Keeper) Fits(v *Version, s Situation) (Outcome, error) {
	switch p := k.now; {
	case v.No == p.No && v.Sum == p.Sum:
		return Again, nil
	case v.No == p.No:
		return TurnedDown, fmt.Errorf("version %d is in force with another text", v.No)
	case v.No < p.No:
		return TurnedDown, fmt.Errorf("version %d is older than %d, which is in force; to go back, send its text as a new version", v.No, p.No)
	}
	if err := k.fits(v, s); err != nil {
		return TurnedDown, err
	}
	if v.Needs > s.ListNo {
		return Waits, nil
	}
	return Applied, nil
}

// Offer says what becomes of a version that came, and why it is turned down.
func (k *Keeper) Offer(now float64, v *Version, s Situation) (Outcome, error) {
	o, err := k.Fits(v, s)
	switch o {
	case Waits:
		if k.waiting == nil || k.waiting.No != v.No {
			k.until = now + k.patient
		}
		k.waiting = v
	case Applied:
		k.enter(v)
	}
	return o, err
}

// Look is to be called now and then, and when the list changes: a version that waited may apply now, or has waited too long.
func (k *Keeper) Look(now float64, s Situation) (*Version, Outcome, error) {
	v := k.waiting
	if v == nil {
		return nil, Waits, nil
	}
	if v.Needs <= s.ListNo {
		k.waiting = nil
		o, err := k.Offer(now, v, s)
		return v, o, err
	}
	if now >= k.until {
		k.waiting = nil
		return v, TurnedDown, fmt.Errorf("list version %d did not come within %g s of version %d; %d is here", v.Needs, k.patient, v.No, s.ListNo)
	}
	return v, Waits, nil
}

// fits finds what the version's text alone does not show: what it would break for what goes on now.
func (k *Keeper) fits(v *Version, s Situation) error {
	old, doc := k.now.Doc, v.Doc
	kept := map[string]bool{}
	for _, op := range doc.OpTypes {
		kept[op.Name] = true
		if op.Group == "zone" && !s.Zones || op.Group == "cell" && !s.Cells {
			return fmt.Errorf(":op-types: %q: no unit of the list is in a %s", op.Name, string(op.Group))
		}
	}
	names := make([]string, 0, len(s.InHand))
	for name := range s.InHand {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if s.InHand[name] > 0 && !kept[name] {
			return fmt.Errorf(":op-types: %q is left out while %d of its commands are in hand", name, s.InHand[name])
		}
	}
	if doc.Clients.Connections < s.Clients {
		return fmt.Errorf(":clients :connections: %d, while %d are open", doc.Clients.Connections, s.Clients)
	}
	// What was counted would mean something else.
	if doc.Rules.CountPerOp != old.Rules.CountPerOp {
		return fmt.Errorf(":rules :count-per-op-type: cannot change while the program runs")
	}
	if doc.Rules.OneWayKeys != old.Rules.OneWayKeys {
		return fmt.Errorf(":rules :one-way-keys: cannot change while the program runs")
	}
	if len(k.slots)+len(doc.OpTypes) > 1024 {
		return fmt.Errorf(":op-types: more than 1024 in one life of the program")
	}
	return nil
}

// enter puts a version in force. Its op types get the places that they had, new ones new places; the places of those it
// leaves out stay, for what may still be on its way.
func (k *Keeper) enter(v *Version) {
	t := v.Doc.Terms()
	v.slot = make(map[string]int, len(v.Doc.OpTypes))
	at := make(map[string]int, len(k.slots))
	for i, name := range k.slots {
		at[name] = i
	}
	var ops []policy.OpType
	if k.now != nil {
		ops = append(ops, k.now.Terms.Ops...)
	}
	for i, op := range v.Doc.OpTypes {
		place, ok := at[op.Name]
		if !ok {
			place = len(k.slots)
			k.slots = append(k.slots, op.Name)
			ops = append(ops, policy.OpType{})
		}
		ops[place], v.slot[op.Name] = t.Ops[i], place
	}
	t.Ops = ops
	if k.now != nil {
		t.Led = k.now.Terms.Led // the program's own matter
	}
	v.Terms = &t
	k.now, k.waiting = v, nil
}

// Name gives the op type at a place.
func (k *Keeper) Name(slot int) string { return k.slots[slot] }
