package router

import (
	"encoding/json"
	"os"
	"testing"

	"flintspread/internal/releases"
)

// A changed file format would make a router lose its release on an upgrade or a downgrade: it must be able to start with
// the release that the program of commit abfd351 saved, and that program with the release that the present one saves.
// The origin of the file is described in internal/storedformats/testdata/abfd351/README.md.
func TestReadReleaseOfEarlierVersion(t *testing.T) {
	const file = "../storedformats/testdata/abfd351/news.json"
	saved, err := readRelease(file, 2)
	if err != nil {
		t.Fatal(err)
	}
	want := savedRelease{
		Update:      releases.Update{Version: 6, Build: 3, Stage: 1, Phase: "released", CanaryLimit: 1, AgeSeconds: 3.1958558559417725},
		ConfirmedAt: 1796282833.1496031,
	}
	if saved != want {
		t.Errorf("read %+v, want %+v", saved, want)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(saved)
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(text) {
		t.Errorf("encoded as %s, want %s", encoded, text)
	}
}
