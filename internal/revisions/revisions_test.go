package revisions

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
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
		if err := s.Add(Entry{No: n, Parent: n - 1, Text: fmt.Sprint("text ", n)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Add(Entry{No: 7}); err == nil {
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
	if err != nil || len(entries) != Kept || entries[0].No != 21 || entries[Kept-1].Parent != Kept+19 {
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

// Diff names elements of vectors by their :name or :path, and gives an error for a text that is no EDN.
func ExampleDiff() {
	a := `{:a 1 :b {:c [1 2]} :op-types [{:name "x" :target 0.3} {:name "y" :target 1}] :routes [{:method "GET" :path "/x/" :op-type "x"}]}`
	b := `{:a 1 :b {:c [1 3]} :op-types [{:name "z" :target 2} {:name "x" :target 0.4}] :routes [{:method "GET" :path "/x/" :op-type "z"}]}`
	lines, err := Diff(a, b)
	fmt.Println(strings.Join(lines, "\n"))
	fmt.Println(err)
	_, err = Diff(a, "{:a")
	fmt.Println(err != nil)
	// Output:
	// - :b :c 1 2
	// + :b :c 1 3
	// - :op-types "x" :target 0.3
	// + :op-types "x" :target 0.4
	// - :op-types "y" :name "y"
	// - :op-types "y" :target 1
	// + :op-types "z" :name "z"
	// + :op-types "z" :target 2
	// - :routes GET /x/ :op-type "x"
	// + :routes GET /x/ :op-type "z"
	// <nil>
	// true
}
