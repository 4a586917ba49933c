package endpoints

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// After an interrupted save the old file is loaded; a corrupt file is renamed, and the loaded list is empty.
func TestSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "units.json")
	if missing, err := Load(file); err != nil || missing.Len() != 0 {
		t.Fatalf("loaded %v from a missing file, error %v; want an empty list", missing, err)
	}
	list, endpoint := &List{}, Endpoint{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: 2}
	if _, err := list.Apply(&Update{Version: 7, Full: true, Endpoints: []Endpoint{endpoint}}, 5); err != nil {
		t.Fatal(err)
	}
	if err := list.Save(file); err != nil {
		t.Fatal(err)
	}
	temporary := file + ".new-1"
	if err := os.WriteFile(temporary, []byte(`{"version":8,"un`), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(file)
	if got, _ := loaded.Get(1); err != nil || loaded.Version != 7 || loaded.ConfirmedAt != 5 || got != endpoint {
		t.Fatalf("loaded %v, error %v; want version 7 at 5 with %+v", loaded, err, endpoint)
	}
	if _, err := os.Stat(temporary); err == nil {
		t.Error("the temporary file of the interrupted save was not removed")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, corrupt := range []string{string(text[:len(text)/2]), "", `{"units":[{"id":1,"state":"odd"}]}`} {
		if err := os.WriteFile(file, []byte(corrupt), 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, err = Load(file)
		if err == nil || loaded.Len() != 0 || !strings.Contains(err.Error(), "renamed to") {
			t.Errorf("loaded %v from %q, error %v; want an empty list and an error with \"renamed to\"", loaded, corrupt, err)
		}
		if _, err := os.Stat(file); err == nil {
			t.Errorf("the corrupt file %q was not renamed", corrupt)
		}
	}
	if renamed, _ := filepath.Glob(file + ".bad-*"); len(renamed) != 3 {
		t.Errorf("renamed files: %v, want 3", renamed)
	}
	if err := list.Save(filepath.Join(file, "no", "such")); err == nil {
		t.Error("Save in a folder that does not exist returned no error")
	}
}

// A changed file format would make a router lose its endpoint list on an upgrade. testdata/units-abfd351.json was
// written by a program built at commit abfd351 that calls
//
//	l.Take(&roster.Line{Version: 41, Full: true, Age: 2, Units: []roster.Unit{
//		{ID: 1, Addr: "127.0.0.1:9001", State: "ready", Build: 3, Zone: 1, Cell: 2, Heft: 1.5, Start: 1700000000.25},
//		{ID: 7, Addr: "127.0.0.1:9007", State: "draining", Build: 2},
//	}}, 1700000100.5)
//	l.Save(file)
func TestLoadFileOfEarlierVersion(t *testing.T) {
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
		t.Fatalf("loaded %v, error %v; want version 41 at 1700000098.5 with 2 endpoints", list, err)
	}
	for _, want := range []Endpoint{
		{ID: 1, Addr: "127.0.0.1:9001", State: StateReady, Build: 3, Zone: 1, Cell: 2, Weight: 1.5, StartedAt: 1700000000.25},
		{ID: 7, Addr: "127.0.0.1:9007", State: StateDraining, Build: 2},
	} {
		if got, _ := list.Get(want.ID); got != want {
			t.Errorf("endpoint %d: %+v, want %+v", want.ID, got, want)
		}
	}
	if err := list.Save(file); err != nil {
		t.Fatal(err)
	}
	if saved, err := os.ReadFile(file); err != nil || !bytes.Equal(saved, stored) {
		t.Errorf("saved again as %s, error %v; want %s", saved, err, stored)
	}
}
