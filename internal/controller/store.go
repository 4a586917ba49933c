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

// StateStore is a planner's state on disk: its epoch, the vote that stands, the last news and the last list. Each change is one
// transaction, synced before it counts, so that a kill leaves the state before it or after it.
type StateStore struct {
	db *bolt.DB
}

// SavedVote is a vote on disk.
type SavedVote struct {
	Build   int            `json:"build"`
	Stage   int            `json:"stage"`
	Verdict policy.Verdict `json:"verdict"`
	At      float64        `json:"at"`   // s since 1970
	Sure    bool           `json:"sure"` // it is known whether it counted
}

// SavedState is all that was in a store.
type SavedState struct {
	Epoch uint64           `json:"epoch"`
	Vote  *SavedVote       `json:"vote,omitempty"`
	News  *releases.Update `json:"news,omitempty"` // Age as of NewsAt
	At    float64          `json:"news_at,omitempty"`
	List  *endpoints.List  `json:"list,omitempty"`
}

type savedNews struct {
	News releases.Update `json:"news"`
	At   float64         `json:"at"`
}

var (
	bucket   = []byte("planner")
	keyEpoch = []byte("epoch")
	keyVote  = []byte("vote")
	keyNews  = []byte("news")
	keyList  = []byte("list")
)

func stateFile(dir string) string { return filepath.Join(dir, "planner.db") }

// OpenStateStore opens the state in a folder and gives what is in it. A file that can't be read is set aside, and the state is empty;
// aside tells the file's name then, and why.
func OpenStateStore(dir string) (s *StateStore, st SavedState, aside string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, st, "", err
	}
	db, aside, err := boltstore.OpenOrSetAside(stateFile(dir), st.read)
	if err != nil {
		return nil, SavedState{}, aside, err
	}
	return &StateStore{db}, st, aside, nil
}

// read fills a state from a store.
func (st *SavedState) read(tx *bolt.Tx) error {
	*st = SavedState{}
	b := tx.Bucket(bucket)
	if b == nil {
		return nil
	}
	var news savedNews
	for key, into := range map[string]any{string(keyEpoch): &st.Epoch, string(keyVote): &st.Vote, string(keyNews): &news, string(keyList): &st.List} {
		if text := b.Get([]byte(key)); text != nil {
			if err := json.Unmarshal(text, into); err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
		}
	}
	if news.At > 0 {
		st.News, st.At = &news.News, news.At
	}
	return nil
}

func (s *StateStore) put(key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return b.Put(key, text)
	})
}

// BeginEpoch takes the epoch of a new process: above every one before it, also where the state was lost.
func (s *StateStore) BeginEpoch(before uint64, now float64) (uint64, error) {
	epoch := max(before+1, uint64(now*1000))
	return epoch, s.put(keyEpoch, epoch)
}

func (s *StateStore) SaveVote(v SavedVote) error { return s.put(keyVote, v) }

func (s *StateStore) SaveRelease(n releases.Update, at float64) error {
	return s.put(keyNews, savedNews{n, at})
}

func (s *StateStore) SaveEndpoints(l *endpoints.List) error { return s.put(keyList, l) }

func (s *StateStore) Close() error { return s.db.Close() }

// PrintState prints what is in a folder's state.
func PrintState(w io.Writer, dir string) error {
	if _, err := os.Stat(stateFile(dir)); err != nil {
		return err
	}
	var st SavedState
	db, err := boltstore.Open(stateFile(dir), true, st.read)
	if err != nil {
		return err
	}
	defer db.Close()
	text, err := json.MarshalIndent(st, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}
