// Package history keeps the versions of the settings that were in force, with what each came after, in an embedded store. It
// works without any service.
package history

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
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

// Open opens or makes a store. A file that can't be read is set aside under a name that says when; aside tells it.
func Open(file string) (s *Store, aside string, err error) {
	db, err := open(file, false)
	if err != nil && !errors.Is(err, bolt.ErrTimeout) {
		aside = fmt.Sprintf("%s.bad-%d", file, time.Now().UnixNano())
		if moved := os.Rename(file, aside); moved != nil {
			return nil, "", errors.Join(err, moved)
		}
		aside += ": " + err.Error()
		db, err = open(file, false)
	}
	if err != nil {
		return nil, aside, fmt.Errorf("%s: %w", file, err)
	}
	return &Store{db}, aside, nil
}

// Read opens a store to look at it. A running program holds its store; a copy of the file can be read.
func Read(file string) (*Store, error) {
	if _, err := os.Stat(file); err != nil {
		return nil, err
	}
	db, err := open(file, true)
	if errors.Is(err, bolt.ErrTimeout) {
		err = errors.New("held by a running program; read a copy")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &Store{db}, nil
}

// open checks the whole file: what is broken shows now.
func open(file string, readOnly bool) (db *bolt.DB, err error) {
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("broken: %v", r)
		}
	}()
	db, err = bolt.Open(file, 0o644, &bolt.Options{Timeout: 500 * time.Millisecond, ReadOnly: readOnly})
	if err != nil {
		return nil, err
	}
	err = db.View(func(tx *bolt.Tx) error {
		var first error
		for e := range tx.Check() {
			if first == nil {
				first = e
			}
		}
		if b := tx.Bucket(bucket); b != nil && first == nil {
			first = b.ForEach(func(_, text []byte) error { return json.Unmarshal(text, new(Entry)) })
		}
		return first
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
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
		c := b.Cursor()
		for n, k := b.Stats().KeyN, []byte(nil); n > Kept; n-- {
			if k, _ = c.First(); k != nil {
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
