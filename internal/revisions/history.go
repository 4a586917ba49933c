// Package history keeps the versions of the settings that were in force, with what each came after, in an embedded store. It
// works without any service.
package revisions

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"

	"flintspread/internal/boltstore"
)

// Entry is one version that was in force.
type Entry struct {
	No     uint64  `json:"no"`
	Parent uint64  `json:"parent"` // in force before it, 0: the file
	Since  float64 `json:"since"`  // s since 1970
	Sum    uint64  `json:"sum"`
	Needs  uint64  `json:"needs,omitempty"` // version of the unit list that it belongs with
	Text   string  `json:"text"`
}

// Kept is how many versions a store holds; the oldest go first.
const Kept = 200

var bucket = []byte("versions")

// Store is a history on disk. One process writes at a time; readers may open it beside.
type Store struct{ db *bolt.DB }

// Open opens or makes a store. A file that can't be read is set aside; aside tells its name then, and why.
func Open(file string) (s *Store, aside string, err error) {
	db, aside, err := boltstore.OpenOrSetAside(file, check)
	if err != nil {
		return nil, aside, err
	}
	return &Store{db}, aside, nil
}

// Read opens a store to look at it. A running program holds its own; a copy of the file can be read.
func Read(file string) (*Store, error) {
	if _, err := os.Stat(file); err != nil {
		return nil, err
	}
	db, err := boltstore.Open(file, true, check)
	if err != nil {
		return nil, err
	}
	return &Store{db}, nil
}

func check(tx *bolt.Tx) error {
	b := tx.Bucket(bucket)
	if b == nil {
		return nil
	}
	return b.ForEach(func(_, text []byte) error { return json.Unmarshal(text, new(Entry)) })
}

func key(no uint64) []byte { return binary.BigEndian.AppendUint64(nil, no) }

// Add notes a version that came into force, in one transaction: after a kill it is there whole or not at all.
func (s *Store) Add(e Entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		if last, _ := b.Cursor().Last(); last != nil && binary.BigEndian.Uint64(last) >= e.No {
			return fmt.Errorf("version %d after %d", e.No, binary.BigEndian.Uint64(last))
		}
		if err := b.Put(key(e.No), text); err != nil {
			return err
		}
		n := 0
		if err := b.ForEach(func(_, _ []byte) error { n++; return nil }); err != nil {
			return err
		}
		for c := b.Cursor(); n > Kept; n-- {
			if k, _ := c.First(); k != nil {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// All gives what is there, the oldest first.
func (s *Store) All() (list []Entry, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil {
			return nil
		}
		return b.ForEach(func(_, text []byte) error {
			var e Entry
			err := json.Unmarshal(text, &e)
			list = append(list, e)
			return err
		})
	})
	return list, err
}

// Last is the version that was in force last, nil: none.
func (s *Store) Last() (*Entry, error) {
	list, err := s.All()
	if err != nil || len(list) == 0 {
		return nil, err
	}
	return &list[len(list)-1], nil
}

// Get gives one version.
func (s *Store) Get(no uint64) (*Entry, error) {
	list, err := s.All()
	if err != nil {
		return nil, err
	}
	for i := range list {
		if list[i].No == no {
			return &list[i], nil
		}
	}
	return nil, fmt.Errorf("version %d is not in the store", no)
}

func (s *Store) Close() error { return s.db.Close() }
