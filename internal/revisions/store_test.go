package revisions

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"flintspread/internal/boltstore"
)

// The store keeps the last maxVersions versions in increasing order and cannot be opened twice. Open renames a file that
// is not a database, is truncated, or is overwritten with zeros.
func TestStore(t *testing.T) {
	file := filepath.Join(t.TempDir(), "versions.db")
	if _, err := Read(file); err == nil {
		t.Error("Read succeeded without a file")
	}
	s, renamed, err := Open(file)
	if err != nil || renamed != "" {
		t.Fatal(renamed, err)
	}
	if e, err := s.Last(); e != nil || err != nil {
		t.Error(e, err)
	}
	for n := uint64(1); n <= maxVersions+20; n++ {
		if err := s.Add(Entry{Number: n, Previous: n - 1, Text: fmt.Sprint("text ", n)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Add(Entry{Number: 7}); err == nil {
		t.Error("Add accepted version 7 after higher ones")
	}
	if _, err := Read(file); err == nil || !errors.Is(err, boltstore.ErrInUse) {
		t.Errorf("Read of an open store: error %v, want %v", err, boltstore.ErrInUse)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	entries, err := r.All()
	if err != nil || len(entries) != maxVersions || entries[0].Number != 21 || entries[maxVersions-1].Previous != maxVersions+19 {
		t.Error(len(entries), err)
	}
	if e, err := r.Get(100); err != nil || e.Text != "text 100" {
		t.Error(e, err)
	}
	if _, err := r.Get(3); err == nil {
		t.Error("Get found version 3, which had been deleted")
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	zeroed := append(append([]byte(nil), text[:8192]...), make([]byte, len(text)-8192)...)
	for _, corrupt := range [][]byte{[]byte("nothing"), text[:len(text)/3], zeroed} {
		if err := os.WriteFile(file, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		s, renamed, err := Open(file)
		if err != nil || renamed == "" {
			t.Fatal(renamed, err)
		}
		if entries, err := s.All(); len(entries) > 0 || err != nil {
			t.Error(entries, err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// A store of an earlier program can be read and continued. testdata/versions-abfd351.db was written at commit abfd351 by
// a main that called, for n from 3 to 5,
//
//	s.Add(history.Entry{No: n, Parent: n - 1, Since: 1700000000.5 + float64(n), Sum: 1 << 63 / n, Needs: 10 * (n - 3),
//		Text: fmt.Sprint("{:schema ", n, "}")})
func TestStoreReadsEarlierFormat(t *testing.T) {
	stored, err := os.ReadFile("testdata/versions-abfd351.db")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), storeFileName)
	if err := os.WriteFile(file, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	s, renamed, err := Open(file)
	if err != nil || renamed != "" {
		t.Fatal(renamed, err)
	}
	entries, err := s.All()
	if err != nil || len(entries) != 3 {
		t.Fatal(entries, err)
	}
	for i, got := range entries {
		n := uint64(i + 3)
		want := Entry{Number: n, Previous: n - 1, InForceSince: 1700000000.5 + float64(n), Hash: 1 << 63 / n, RequiredListVersion: 10 * (n - 3), Text: fmt.Sprint("{:schema ", n, "}")}
		if got != want {
			t.Errorf("entry %+v, want %+v", got, want)
		}
	}
	if err := s.Add(Entry{Number: 6, Previous: 5}); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
