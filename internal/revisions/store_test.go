package revisions

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"flintspread/internal/boltstore"
)

func TestStore(t *testing.T) {
	file := filepath.Join(t.TempDir(), "versions.db")
	if _, err := Read(file); err == nil {
		t.Error("read a store that is not there")
	}
	s, aside, err := Open(file)
	if err != nil || aside != "" {
		t.Fatal(aside, err)
	}
	if e, err := s.Last(); e != nil || err != nil {
		t.Error(e, err)
	}
	for n := uint64(1); n <= Kept+20; n++ {
		if err := s.Add(Entry{Number: n, Previous: n - 1, Text: fmt.Sprint("text ", n)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Add(Entry{Number: 7}); err == nil {
		t.Error("went back to 7")
	}
	if _, err := Read(file); err == nil || !errors.Is(err, boltstore.ErrInUse) {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	entries, err := r.All()
	if err != nil || len(entries) != Kept || entries[0].Number != 21 || entries[Kept-1].Previous != Kept+19 {
		t.Error(len(entries), err)
	}
	if e, err := r.Get(100); err != nil || e.Text != "text 100" {
		t.Error(e, err)
	}
	if _, err := r.Get(3); err == nil {
		t.Error("got what had been dropped")
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{[]byte("nothing"), text[:len(text)/3], append(append([]byte(nil), text[:8192]...), make([]byte, len(text)-8192)...)} {
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		s, aside, err := Open(file)
		if err != nil || aside == "" {
			t.Fatal(aside, err)
		}
		if entries, err := s.All(); len(entries) > 0 || err != nil {
			t.Error(entries, err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// testdata/versions-abfd351.db was written by the program of commit abfd351, with a main that calls, for n from 3 to 5,
//
//	s.Add(history.Entry{No: n, Parent: n - 1, Since: 1700000000.5 + float64(n), Sum: 1 << 63 / n, Needs: 10 * (n - 3),
//		Text: fmt.Sprint("{:schema ", n, "}")})
func TestStoreReadsWhatEarlierProgramsWrote(t *testing.T) {
	stored, err := os.ReadFile("testdata/versions-abfd351.db")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), storeFileName)
	if err := os.WriteFile(file, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	s, aside, err := Open(file)
	if err != nil || aside != "" {
		t.Fatal(aside, err)
	}
	entries, err := s.All()
	if err != nil || len(entries) != 3 {
		t.Fatal(entries, err)
	}
	for i, got := range entries {
		n := uint64(i + 3)
		want := Entry{Number: n, Previous: n - 1, InForceSince: 1700000000.5 + float64(n), Hash: 1 << 63 / n, RequiredListVersion: 10 * (n - 3), Text: fmt.Sprint("{:schema ", n, "}")}
		if got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
	if err := s.Add(Entry{Number: 6, Previous: 5}); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
