// Package disk opens an embedded store so that what is broken shows at once and costs nothing but itself.
package boltstore

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
)

// ErrInUse is another process that holds the store.
var ErrInUse = errors.New("in use by another process")

const lockTime = 500 * time.Millisecond // that another process may need to end

// Open opens a store and reads all of it once, with the store's own check and then the caller's: what is broken shows now,
// not in the middle of a day. Pages that are not there fault and pages that are wrong panic; both come back as an error.
func Open(file string, readOnly bool, check func(*bolt.Tx) error) (db *bolt.DB, err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		r := recover()
		if r != nil {
			err = fmt.Errorf("%s: broken: %v", file, r)
		}
		if err != nil && db != nil {
			broken := db
			db = nil
			defer func() { recover() }() // closing what is broken may break too
			broken.Close()
		}
	}()
	db, err = bolt.Open(file, 0o644, &bolt.Options{Timeout: lockTime, ReadOnly: readOnly})
	if errors.Is(err, bolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: %w", file, ErrInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		var first error
		for e := range tx.Check() {
			if first == nil {
				first = e
			}
		}
		if first != nil {
			return first
		}
		return check(tx)
	})
	if err != nil {
		err = fmt.Errorf("%s: %w", file, err)
	}
	return db, err
}

// OpenOrSetAside opens a store to write. One that can't be read is set aside under a name that says when, and an empty one
// opened; aside tells its name and why.
func OpenOrSetAside(file string, check func(*bolt.Tx) error) (db *bolt.DB, aside string, err error) {
	db, err = Open(file, false, check)
	if err == nil || errors.Is(err, ErrInUse) {
		return db, "", err
	}
	name := fmt.Sprintf("%s.bad-%d", file, time.Now().UnixNano())
	if moved := os.Rename(file, name); moved != nil {
		return nil, "", errors.Join(err, moved)
	}
	aside = name + ": " + err.Error()
	db, err = Open(file, false, check)
	return db, aside, err
}
