// Package revisions keeps the versions of the configuration that were in force, with what each came after, in an embedded store.
// It works without any service.
package revisions

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"

	"flintspread/internal/boltstore"
)

// Kept is the number of versions that a store holds; the oldest go first.
const Kept = 200

// versionsBucket holds the entries as JSON, by their number in eight bytes, big-endian, so that their order is that of the numbers.
var versionsBucket = []byte("versions")

// Entry is one version that was in force.
type Entry struct {
	Number              uint64  `json:"no"`              // its number
	Previous            uint64  `json:"parent"`          // the version in force before it, 0: the program's file
	InForceSince        float64 `json:"since"`           // when it came into force, in seconds since 1970
	Hash                uint64  `json:"sum"`             // hash of Text
	RequiredListVersion uint64  `json:"needs,omitempty"` // version of the endpoint list that it belongs with, 0: any
	Text                string  `json:"text"`
}

// Store is a history on disk. Only one process may hold it open to write, and none may read it meanwhile.
type Store struct{ db *bolt.DB }

// Open opens a store to write, or makes one. A file that can't be read is set aside; aside holds its new name then, and the
// reason.
func Open(file string) (s *Store, aside string, err error) {
	db, aside, err := boltstore.OpenOrSetAside(file, checkEntries)
	if err != nil {
		return nil, aside, err
	}
	return &Store{db}, aside, nil
}

// Read opens a store to look at it. A running program holds its own, which gives boltstore.ErrInUse; a copy of the file can be
// read.
func Read(file string) (*Store, error) {
	if _, err := os.Stat(file); err != nil {
		return nil, err
	}
	db, err := boltstore.Open(file, true, checkEntries)
	if err != nil {
		return nil, err
	}
	return &Store{db}, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// checkEntries finds an entry that can't be read.
func checkEntries(tx *bolt.Tx) error {
	bucket := tx.Bucket(versionsBucket)
	if bucket == nil {
		return nil
	}
	return bucket.ForEach(func(_, text []byte) error { return json.Unmarshal(text, new(Entry)) })
}

func entryKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// Add adds a version that came into force, which must be newer than all there are, in one transaction: after a kill it is there
// whole or not at all.
func (s *Store) Add(e Entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(versionsBucket)
		if err != nil {
			return err
		}
		if last, _ := bucket.Cursor().Last(); last != nil && binary.BigEndian.Uint64(last) >= e.Number {
			return fmt.Errorf("version %d after %d", e.Number, binary.BigEndian.Uint64(last))
		}
		if err := bucket.Put(entryKey(e.Number), text); err != nil {
			return err
		}
		return dropOldest(bucket)
	})
}

// dropOldest deletes the oldest entries above the number that is kept.
func dropOldest(bucket *bolt.Bucket) error {
	count := 0
	if err := bucket.ForEach(func(_, _ []byte) error { count++; return nil }); err != nil {
		return err
	}
	for cursor := bucket.Cursor(); count > Kept; count-- {
		if oldest, _ := cursor.First(); oldest != nil {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
	}
	return nil
}

// All gives the versions there are, the oldest first.
func (s *Store) All() (entries []Entry, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(versionsBucket)
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(_, text []byte) error {
			var e Entry
			err := json.Unmarshal(text, &e)
			entries = append(entries, e)
			return err
		})
	})
	return entries, err
}

// Last gives the version that was in force last, nil for none.
func (s *Store) Last() (*Entry, error) {
	entries, err := s.All()
	if err != nil || len(entries) == 0 {
		return nil, err
	}
	return &entries[len(entries)-1], nil
}

// Get gives the version with a number.
func (s *Store) Get(number uint64) (*Entry, error) {
	entries, err := s.All()
	if err != nil {
		return nil, err
	}
	for i := range entries {
		if entries[i].Number == number {
			return &entries[i], nil
		}
	}
	return nil, fmt.Errorf("version %d is not in the store", number)
}
