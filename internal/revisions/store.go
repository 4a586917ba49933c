// Package revisions stores the history of the configuration versions that were in force, in an embedded database. As it
// depends on no service, a program can resume its last version while no control service is reachable.
package revisions

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"

	"flintspread/internal/boltstore"
)

// maxVersions is the maximum number of versions in a store. Add deletes the oldest ones beyond it.
const maxVersions = 200

// versionsBucket holds the entries as JSON. Keys are version numbers as eight big-endian bytes, so that key order is
// numeric order.
var versionsBucket = []byte("versions")

// Entry is one configuration version that was in force.
type Entry struct {
	Number              uint64  `json:"no"`
	Previous            uint64  `json:"parent"`          // number of the version in force before it; 0: the settings file
	InForceSince        float64 `json:"since"`           // time when it took effect, in seconds since 1970
	Hash                uint64  `json:"sum"`             // hash of Text
	RequiredListVersion uint64  `json:"needs,omitempty"` // version of the endpoint list that it requires; 0: any
	Text                string  `json:"text"`
}

// Store is a history on disk. While a process has it open for writing, no other process can open it. Methods block on
// disk I/O.
type Store struct{ db *bolt.DB }

// Open opens a store for writing, and creates it if needed. It renames an unreadable file; renamed is then the new name
// and the reason. The caller must close the store.
func Open(file string) (s *Store, renamed string, err error) {
	db, renamed, err := boltstore.OpenOrReplace(file, checkEntries)
	if err != nil {
		return nil, renamed, err
	}
	return &Store{db}, renamed, nil
}

// Read opens a store read-only. The error wraps boltstore.ErrInUse if a running program has it open; read a copy of the
// file instead. The caller must close the store.
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

// checkEntries returns an error if an entry cannot be decoded.
func checkEntries(tx *bolt.Tx) error {
	bucket := tx.Bucket(versionsBucket)
	if bucket == nil {
		return nil
	}
	return bucket.ForEach(func(_, text []byte) error { return json.Unmarshal(text, new(Entry)) })
}

func entryKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// Add adds a version that took effect. Its number must be greater than all in the store. Add is one transaction: after
// a crash the entry is either complete or missing.
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
			return fmt.Errorf("version %d is not greater than %d, the last version in the store", e.Number, binary.BigEndian.Uint64(last))
		}
		if err := bucket.Put(entryKey(e.Number), text); err != nil {
			return err
		}
		return dropOldest(bucket)
	})
}

// dropOldest deletes the oldest entries beyond maxVersions.
func dropOldest(bucket *bolt.Bucket) error {
	count := 0
	if err := bucket.ForEach(func(_, _ []byte) error { count++; return nil }); err != nil {
		return err
	}
	for cursor := bucket.Cursor(); count > maxVersions; count-- {
		if oldest, _ := cursor.First(); oldest != nil {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
	}
	return nil
}

// All returns the versions in the store, oldest first.
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

// Last returns the version that was last in force, or nil if the store is empty.
func (s *Store) Last() (*Entry, error) {
	entries, err := s.All()
	if err != nil || len(entries) == 0 {
		return nil, err
	}
	return &entries[len(entries)-1], nil
}

// Get returns the version with the given number, or an error if it is not in the store.
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
