package endpoints

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An interrupted save leaves the old file; a corrupt file is set aside and the list is empty.
func TestSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "units.json")
	if l, err := Load(file); err != nil || l.Len() != 0 {
		t.Fatal(l, err)
	}
	l, endpoint := &List{}, Endpoint{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: 2}
	if _, err := l.Apply(&Update{Version: 7, Full: true, Endpoints: []Endpoint{endpoint}}, 5); err != nil {
		t.Fatal(err)
	}
	if err := l.Save(file); err != nil {
		t.Fatal(err)
	}
	leftover := file + ".new-1"
	if err := os.WriteFile(leftover, []byte(`{"version":8,"un`), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(file)
	if e, _ := loaded.Get(1); err != nil || loaded.Version != 7 || loaded.ConfirmedAt != 5 || e != endpoint {
		t.Fatal(loaded, err)
	}
	if _, err := os.Stat(leftover); err == nil {
		t.Error("what the kill left was not removed")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{string(text[:len(text)/2]), "", `{"units":[{"id":1,"state":"odd"}]}`} {
		if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, err = Load(file)
		if err == nil || loaded.Len() != 0 || !strings.Contains(err.Error(), "set aside") {
			t.Errorf("%q: %v %v", bad, loaded, err)
		}
		if _, err := os.Stat(file); err == nil {
			t.Error("the broken file is still there")
		}
	}
	if aside, _ := filepath.Glob(file + ".bad-*"); len(aside) != 3 {
		t.Error(aside)
	}
	if err := l.Save(filepath.Join(file, "no", "such")); err == nil {
		t.Error("saved nowhere")
	}
}

// testdata/units-abfd351.json was written by the program of commit abfd351, by a main of there that calls
//
//	l.Take(&roster.Line{Version: 41, Full: true, Age: 2, Units: []roster.Unit{
//		{ID: 1, Addr: "127.0.0.1:9001", State: "ready", Build: 3, Zone: 1, Cell: 2, Heft: 1.5, Start: 1700000000.25},
//		{ID: 7, Addr: "127.0.0.1:9007", State: "draining", Build: 2},
//	}}, 1700000100.5)
//	l.Save(file)
func TestLoadReadsWhatEarlierProgramsWrote(t *testing.T) {
	stored, err := os.ReadFile("testdata/units-abfd351.json")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "units.json")
	if err := os.WriteFile(file, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	list, err := Load(file)
	if err != nil || list.Version != 41 || list.ConfirmedAt != 1700000098.5 || list.Len() != 2 {
		t.Fatal(list, err)
	}
	for _, want := range []Endpoint{
		{ID: 1, Addr: "127.0.0.1:9001", State: StateReady, Build: 3, Zone: 1, Cell: 2, Weight: 1.5, StartedAt: 1700000000.25},
		{ID: 7, Addr: "127.0.0.1:9007", State: StateDraining, Build: 2},
	} {
		if got, _ := list.Get(want.ID); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
	if err := list.Save(file); err != nil {
		t.Fatal(err)
	}
	if saved, err := os.ReadFile(file); err != nil || !bytes.Equal(saved, stored) {
		t.Errorf("saved again it is %s, %v", saved, err)
	}
}
