// Package boltstore opens bbolt databases and verifies them completely, so that a corrupt file is detected and can be
// renamed when it is opened, instead of failing later.
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

// ErrInUse is wrapped by the errors of Open and OpenOrReplace if another process has the store open.
var ErrInUse = errors.New("in use by another process")

const (
	// lockTimeout is how long to wait for another process to release the store.
	lockTimeout = 500 * time.Millisecond

	fileMode = 0o644

	// corruptFileSuffixFormat is appended to the file name of an unreadable store. The number is the time of the renaming,
	// in nanoseconds since 1970.
	corruptFileSuffixFormat = ".bad-%d"
)

// Open opens a store and reads all of it, with bbolt's consistency check and then the caller's check, so that
// corruption is detected now and not at some later access. It waits up to lockTimeout for a store that another process
// has open, and then returns an error that wraps ErrInUse. The caller must close the store.
func Open(file string, readOnly bool, check func(*bolt.Tx) error) (db *bolt.DB, err error) {
	// Accessing a missing page causes a memory fault, and a corrupt page a panic. Both are returned as errors.
	previous := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: corrupt database: %v", file, r)
		}
		if err != nil && db != nil {
			err = errors.Join(err, closeCorrupt(db))
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
		if err := checkLength(file, tx); err != nil {
			return err
		}
		if err := checkPages(tx); err != nil {
			return err
		}
		return check(tx)
	})
	if err != nil {
		err = fmt.Errorf("%s: database check failed: %w", file, err)
	}
	return db, err
}

// checkLength returns an error if the file is shorter than its pages. Reading a page beyond its end is a memory fault,
// which checkPages can't return as an error, since bbolt reads the pages in a goroutine of its own.
func checkLength(file string, tx *bolt.Tx) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("the file has %d bytes, its pages need %d", info.Size(), tx.Size())
	}
	return nil
}

// checkPages returns the first error of bbolt's consistency check. It drains the channel, because the check runs in its
// own goroutine, which would otherwise block forever.
func checkPages(tx *bolt.Tx) (first error) {
	for err := range tx.Check() {
		if first == nil {
			first = err
		}
	}
	return first
}

// closeCorrupt closes a store that failed a check, and returns a panic in Close as an error.
func closeCorrupt(db *bolt.DB) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("closing the corrupt database: %v", r)
		}
	}()
	return db.Close()
}

// OpenOrReplace opens a store for writing, like Open. If the store is unreadable, it renames the file and opens an
// empty store instead; renamed is then the new name and the reason. It does not rename a store that another process has
// open.
func OpenOrReplace(file string, check func(*bolt.Tx) error) (db *bolt.DB, renamed string, err error) {
	db, err = Open(file, false, check)
	if err == nil || errors.Is(err, ErrInUse) {
		return db, "", err
	}
	name := file + fmt.Sprintf(corruptFileSuffixFormat, time.Now().UnixNano())
	if renameErr := os.Rename(file, name); renameErr != nil {
		return nil, "", errors.Join(err, renameErr)
	}
	renamed = name + ": " + err.Error()
	db, err = Open(file, false, check)
	return db, renamed, err
}
