package endpoints

import (
	"encoding/json"
	"fmt"
	"iter"
	"slices"

	"github.com/benbjohnson/immutable"
)

// endpointMap holds endpoints by id. It is an immutable map whose versions share their unchanged entries.
type endpointMap = immutable.SortedMap[uint32, Endpoint]

// List is the known list of endpoints; the zero value is an empty list. Copying is cheap, and the cost of a partial
// update is proportional to its entries, not to the size of the list. A List is not safe for concurrent use, but a
// Clone may be read while the original changes.
type List struct {
	Version     uint64
	ConfirmedAt float64      // when the list was last known to be current, in seconds since the Unix epoch
	byID        *endpointMap // nil until the first update
}

// Len returns the number of endpoints.
func (l *List) Len() int {
	if l.byID == nil {
		return 0
	}
	return l.byID.Len()
}

// Get returns the endpoint with an id.
func (l *List) Get(id uint32) (Endpoint, bool) {
	if l.byID == nil {
		return Endpoint{}, false
	}
	return l.byID.Get(id)
}

// All returns an iterator over the endpoints in the order of their ids.
func (l *List) All() iter.Seq[Endpoint] {
	return func(yield func(Endpoint) bool) {
		if l.byID == nil {
			return
		}
		for it := l.byID.Iterator(); !it.Done(); {
			if _, e, _ := it.Next(); !yield(e) {
				return
			}
		}
	}
}

// Clone returns a copy that does not change with the original.
func (l *List) Clone() *List { return &List{l.Version, l.ConfirmedAt, l.byID} }

// Apply applies a checked update and returns the resulting changes; only these need to be passed on. A partial update
// with an older version than the list's is an error, because the stream has gone backwards. A full update with an older
// version is accepted: whether it may replace the list is for the caller to decide (VersionGuard). The changes are full only if the update is full and the
// list's first. If there is an error, the list is unchanged.
func (l *List) Apply(update *Update, now float64) (changes *Update, err error) {
	if update.Version < l.Version && !update.Full {
		return nil, fmt.Errorf("changes of version %d after version %d", update.Version, l.Version)
	}
	byID := l.byID
	if byID == nil {
		byID = immutable.NewSortedMap[uint32, Endpoint](nil)
	}
	changes = &Update{Version: update.Version, AgeSeconds: update.AgeSeconds, Full: update.Full && l.byID == nil}
	byID, present := applyEntries(byID, update, changes)
	if update.Full && byID.Len() > present {
		byID = deleteMissing(byID, update, present, changes)
	}
	if byID.Len() > maxEndpoints {
		return nil, tooManyError(byID.Len())
	}
	l.Version, l.ConfirmedAt, l.byID = update.Version, now-update.AgeSeconds, byID
	return changes, nil
}

// applyEntries applies the entries of an update, appends those that change the list to changes, and returns the number
// of entries whose state is not StateGone.
func applyEntries(byID *endpointMap, update, changes *Update) (_ *endpointMap, present int) {
	for _, e := range update.Endpoints {
		gone := e.State == StateGone
		if !gone {
			present++
		}
		previous, known := byID.Get(e.ID)
		if gone && !known || !gone && known && previous == e {
			continue
		}
		if gone {
			byID = byID.Delete(e.ID)
		} else {
			byID = byID.Set(e.ID, e)
		}
		changes.Endpoints = append(changes.Endpoints, e)
	}
	return byID, present
}

// deleteMissing deletes the endpoints that a full update does not contain, and appends them to changes as gone.
func deleteMissing(byID *endpointMap, update *Update, present int, changes *Update) *endpointMap {
	listed := make(map[uint32]bool, present)
	for _, e := range update.Endpoints {
		listed[e.ID] = true
	}
	for it := byID.Iterator(); !it.Done(); {
		if id, _, _ := it.Next(); !listed[id] {
			byID = byID.Delete(id)
			changes.Endpoints = append(changes.Endpoints, Endpoint{ID: id, State: StateGone})
		}
	}
	return byID
}

// CheckNewer returns an error if a full update must not replace this list, because the update is older or has the same
// version but other endpoints.
func (l *List) CheckNewer(update *Update) error {
	if update.Version < l.Version {
		return fmt.Errorf("list version %d is older than %d, which is in force", update.Version, l.Version)
	}
	if update.Version > l.Version || l.byID == nil {
		return nil
	}
	changes, err := l.Clone().Apply(update, 0)
	if err == nil && len(changes.Endpoints) > 0 {
		err = fmt.Errorf("list version %d is in force with other units: %d differ", update.Version, len(changes.Endpoints))
	}
	return err
}

// FullUpdate returns the whole list as one update, for instance after the list was loaded from disk.
func (l *List) FullUpdate(now float64) *Update {
	return &Update{Version: l.Version, Full: true, AgeSeconds: max(0, now-l.ConfirmedAt), Endpoints: slices.Collect(l.All())}
}

// savedList is the form in which a list is stored as JSON.
type savedList struct {
	Version     uint64     `json:"version"`
	ConfirmedAt float64    `json:"at"`
	Endpoints   []Endpoint `json:"units"`
}

// MarshalJSON returns the stored form of the list.
func (l *List) MarshalJSON() ([]byte, error) {
	return json.Marshal(savedList{l.Version, l.ConfirmedAt, slices.Collect(l.All())})
}

// UnmarshalJSON replaces the list by a stored form, which it checks like an update.
func (l *List) UnmarshalJSON(text []byte) error {
	var saved savedList
	if err := json.Unmarshal(text, &saved); err != nil {
		return err
	}
	update := &Update{Full: true, Version: saved.Version, Endpoints: saved.Endpoints}
	if err := update.Check(); err != nil {
		return err
	}
	*l = List{}
	_, err := l.Apply(update, saved.ConfirmedAt)
	return err
}
