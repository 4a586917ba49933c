package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"

	"flintspread/internal/boltstore"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// StateStore is a controller's state on disk: its epoch, the vote in force, the last release and the last endpoint list.
// Each change is one transaction, which is synced before the method returns, so that a crash leaves either the state
// before the change or the state after it. The methods block on disk I/O and are safe for concurrent use.
type StateStore struct {
	db *bolt.DB
}

// SavedVote is the stored form of a vote.
type SavedVote struct {
	Build        int            `json:"build"`
	Stage        int            `json:"stage"`
	Verdict      policy.Verdict `json:"verdict"`
	CastAt       float64        `json:"at"`   // seconds since the Unix epoch
	OutcomeKnown bool           `json:"sure"` // whether the release service has answered the vote
}

// SavedState is the content of a store. A part that was never saved is nil or 0.
type SavedState struct {
	Epoch     uint64           `json:"epoch"`
	Vote      *SavedVote       `json:"vote,omitempty"`
	Release   *releases.Update `json:"news,omitempty"`    // AgeSeconds as of ReleaseAt
	ReleaseAt float64          `json:"news_at,omitempty"` // seconds since the Unix epoch
	Endpoints *endpoints.List  `json:"list,omitempty"`
}

// savedRelease is the stored form of a release.
type savedRelease struct {
	Release releases.Update `json:"news"`
	At      float64         `json:"at"` // seconds since the Unix epoch; Release.AgeSeconds is as of then
}

// The stored format: one bucket with a key for each part of the state. Values are JSON.
var (
	stateBucket  = []byte("planner")
	epochKey     = []byte("epoch")
	voteKey      = []byte("vote")
	releaseKey   = []byte("news")
	endpointsKey = []byte("list")
)

// stateFile returns the path of the store in a state folder.
func stateFile(dir string) string { return filepath.Join(dir, "planner.db") }

// OpenStateStore opens the store in dir, creating the folder if needed, and returns its content. An unreadable file is
// renamed and replaced by an empty store; renamed then holds the new name and the reason. The error wraps
// boltstore.ErrInUse if another process has the store open.
func OpenStateStore(dir string) (store *StateStore, saved SavedState, renamed string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, SavedState{}, "", err
	}
	db, renamed, err := boltstore.OpenOrReplace(stateFile(dir), saved.read)
	if err != nil {
		return nil, SavedState{}, renamed, err
	}
	return &StateStore{db}, saved, renamed, nil
}

// read replaces s with the content of the store.
func (s *SavedState) read(tx *bolt.Tx) error {
	*s = SavedState{}
	bucket := tx.Bucket(stateBucket)
	if bucket == nil {
		return nil
	}
	var release savedRelease
	for _, part := range []struct {
		key    []byte
		target any
	}{
		{epochKey, &s.Epoch},
		{voteKey, &s.Vote},
		{releaseKey, &release},
		{endpointsKey, &s.Endpoints},
	} {
		text := bucket.Get(part.key)
		if text == nil {
			continue
		}
		if err := json.Unmarshal(text, part.target); err != nil {
			return fmt.Errorf("%s: %w", part.key, err)
		}
	}
	if release.At > 0 {
		s.Release, s.ReleaseAt = &release.Release, release.At
	}
	return nil
}

// put saves one part of the state.
func (s *StateStore) put(key []byte, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		return bucket.Put(key, text)
	})
}

// BeginEpoch saves and returns the epoch of a new process. The epoch is higher than the previous one and at least the
// number of milliseconds since the Unix epoch, so that it increases even if the state was lost. now is in seconds since
// the Unix epoch.
func (s *StateStore) BeginEpoch(previous uint64, now float64) (uint64, error) {
	const epochsPerSecond = 1000
	epoch := max(previous+1, uint64(now*epochsPerSecond))
	return epoch, s.put(epochKey, epoch)
}

// SaveVote saves a vote that is in force or about to be sent.
func (s *StateStore) SaveVote(vote SavedVote) error { return s.put(voteKey, vote) }

// SaveRelease saves a release; its AgeSeconds is as of at, in seconds since the Unix epoch.
func (s *StateStore) SaveRelease(release releases.Update, at float64) error {
	return s.put(releaseKey, savedRelease{release, at})
}

// SaveEndpoints saves the endpoint list.
func (s *StateStore) SaveEndpoints(list *endpoints.List) error { return s.put(endpointsKey, list) }

// Close closes the store. No other method may be called afterwards.
func (s *StateStore) Close() error { return s.db.Close() }

// PrintState prints the state in a folder as JSON without changing it. It fails if there is no state, or if a running
// controller has the store open.
func PrintState(w io.Writer, dir string) error {
	if _, err := os.Stat(stateFile(dir)); err != nil {
		return err
	}
	saved, err := readState(dir)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(saved, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

// readState opens the store in a folder read-only and returns its content.
func readState(dir string) (saved SavedState, err error) {
	db, err := boltstore.Open(stateFile(dir), true, saved.read)
	if err != nil {
		return SavedState{}, err
	}
	return saved, db.Close()
}
