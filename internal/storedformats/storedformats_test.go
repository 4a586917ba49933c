package storedformats

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"flintspread/internal/controller"
	"flintspread/internal/endpoints"
	"flintspread/internal/revisions"
)

const folder = "testdata/abfd351"

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// copyFile copies a file of the folder, so that a test that opens it for writing does not change the original.
func copyFile(t *testing.T, name string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, readFile(t, name), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// The present code reads a controller's store and prints the same state as the program that wrote it.
func TestControllerState(t *testing.T) {
	dir := filepath.Dir(copyFile(t, "planner.db"))
	store, state, renamed, err := controller.OpenStateStore(dir)
	if err != nil || renamed != "" {
		t.Fatalf("opening the store: error %v, renamed to %q", err, renamed)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if state.Epoch == 0 || state.Vote == nil || state.Release == nil || state.Endpoints == nil || state.Endpoints.Len() == 0 {
		t.Errorf("state is incomplete: %+v", state)
	}
	var printed bytes.Buffer
	if err := controller.PrintState(&printed, dir); err != nil {
		t.Fatal(err)
	}
	if want := readFile(t, "state.json"); !bytes.Equal(printed.Bytes(), want) {
		t.Errorf("state:\n%s\nwant:\n%s", printed.Bytes(), want)
	}
}

// The present code reads a history of configuration versions and prints the same as the program that wrote it.
func TestConfigHistory(t *testing.T) {
	store, err := revisions.Read(copyFile(t, "versions.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	}()
	entries, err := store.All()
	if err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	for _, e := range entries {
		since := time.Unix(0, int64(e.InForceSince*1e9)).UTC().Format(time.RFC3339)
		fmt.Fprintf(&printed, "%d after %d, in force since %s, %d bytes\n", e.Number, e.Previous, since, len(e.Text))
	}
	entry, err := store.Get(4)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&printed, entry.Text)
	if want := readFile(t, "versions.txt"); !bytes.Equal(printed.Bytes(), want) {
		t.Errorf("history:\n%s\nwant:\n%s", printed.Bytes(), want)
	}
}

// The present code reads a router's last endpoint list, and writes the same bytes again.
func TestEndpointList(t *testing.T) {
	list, err := endpoints.Load(copyFile(t, "units.json"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "units.json")
	if err := list.Save(file); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if want := readFile(t, "units.json"); !bytes.Equal(got, want) {
		t.Errorf("list:\n%s\nwant:\n%s", got, want)
	}
}

// Saving the state that was read from a store does not change its keys and values, so that a program of the earlier
// version can start with them.
func TestControllerStateRewritten(t *testing.T) {
	file := copyFile(t, "planner.db")
	before := rawValues(t, file)
	store, state, _, err := controller.OpenStateStore(filepath.Dir(file))
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(store.SaveVote(*state.Vote), store.SaveRelease(*state.Release, state.ReleaseAt), store.SaveEndpoints(state.Endpoints), store.Close())
	if err != nil {
		t.Fatal(err)
	}
	if after := rawValues(t, file); !maps.Equal(before, after) {
		t.Errorf("store: %v\nwant: %v", after, before)
	}
}

// rawValues returns all values of a store, by bucket and key.
func rawValues(t *testing.T, file string) map[string]string {
	t.Helper()
	db, err := bolt.Open(file, 0o600, &bolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}()
	values := map[string]string{}
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				values[string(bucket)+"/"+string(key)] = string(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return values
}
