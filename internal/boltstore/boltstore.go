// Package boltstore opens an embedded store so that a broken file shows when it is opened, and costs nothing but itself.
package boltstore

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// ErrInUse tells that another process holds the store.
var ErrInUse = errors.New("in use by another process")

const (
	// lockTimeout is the time that another process gets to end and free the store.
	lockTimeout = 500 * time.Millisecond

	fileMode = 0o644

	// brokenFileSuffix is what a broken store's name gets when it is set aside; the number is the time.
	brokenFileSuffix = ".bad-%d"
)

// Open opens a store and reads all of it once, with the store's own check and then the caller's, so that what is broken shows
// now and not in the middle of a day. It waits for up to half a second for a store that another process holds, and then returns
// an error that wraps ErrInUse. The caller closes the store.
func Open(file string, readOnly bool, check func(*bolt.Tx) error) (db *bolt.DB, err error) {
	// Pages that are missing fault and pages that are wrong panic: both come back as an error.
	previous := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: broken: %v", file, r)
		}
		if err != nil && db != nil {
			err = errors.Join(err, closeBroken(db))
			db = nil
		}
	}()
	db, err = bolt.Open(file, fileMode, &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: %w", file, ErrInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		if err := checkPages(tx); err != nil {
			return err
		}
		return check(tx)
	})
	if err != nil {
		err = fmt.Errorf("%s: %w", file, err)
	}
	return db, err
}

// checkPages gives the first error of the store's own check. It reads all of them: the check runs on a goroutine of its own,
// which would wait for ever on an error that nobody reads.
func checkPages(tx *bolt.Tx) (first error) {
	for err := range tx.Check() {
		if first == nil {
			first = err
		}
	}
	return first
}

// closeBroken closes a broken store, where closing may panic too.
func closeBroken(db *bolt.DB) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("closing: %v", r)
		}
	}()
	return db.Close()
}

// OpenOrSetAside opens a store to write, as Open does. A store that can't be read is set aside under a name that holds the time,
// and an empty one opened in its place; aside holds that name and the reason. A store that is in use is left alone.
func OpenOrSetAside(file string, check func(*bolt.Tx) error) (db *bolt.DB, aside string, err error) {
	db, err = Open(file, false, check)
	if err == nil || errors.Is(err, ErrInUse) {
		return db, "", err
	}
	name := file + fmt.Sprintf(brokenFileSuffix, time.Now().UnixNano())
	if renameErr := os.Rename(file, name); renameErr != nil {
		return nil, "", errors.Join(err, renameErr)
	}
	aside = name + ": " + err.Error()
	db, err = Open(file, false, check)
	return db, aside, err
}
