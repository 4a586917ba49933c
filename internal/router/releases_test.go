package router

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/releases"
)

// fiveStages is the example's document with five rollout stages in place of three.
func fiveStages(document string) string {
	document = strings.Replace(document, ":stages         [0.1 0.4 1.0]", ":stages [0.04 0.1 0.25 0.55 1.0]", 1)
	return strings.Replace(document, ":caps           [0.15 0.5 1.0]", ":caps [0.068 0.17 0.42 0.94 1.0]", 1)
}

// Guards against a canary that keeps its traffic: updates of a stage that only the version in force has were rejected, by the
// number of stages in the settings file. A release that was saved in such a stage is restored after the version.
func TestReleaseStagesOfVersionInForce(t *testing.T) {
	c, document := newControllerConfig(t)
	r := c.versions.router
	update := &releases.Update{Version: 3, Build: 4, Stage: 3, Phase: "on-trial", CanaryLimit: 0.94}
	if err := r.applyRelease(update); err == nil {
		t.Error("stage 3 was accepted with three stages")
	}
	if outcome, err := c.versions.offer(parseVersionOne(t, fiveStages(document))); outcome != configstate.Applied {
		t.Fatalf("outcome %v, error %v, want Applied", outcome, err)
	}
	if err := r.applyRelease(update); err != nil {
		t.Errorf("stage 3 of five: %v", err)
	}
	r.saveRelease(update)
	c.versions.close()

	settings := *r.config
	settings.Controller = &config.Link{Address: "unix:" + filepath.Join(t.TempDir(), "none.sock"), ReportIntervalSeconds: 0.1, SilenceSeconds: 1, LeaseSeconds: 1}
	restarted := newRouter(&settings, r.log)
	if err := restarted.startWithController(); err != nil {
		t.Fatal(err)
	}
	defer restarted.goroutines.Wait()
	defer restarted.configVersions.close()
	defer restarted.proxy.Close()
	defer restarted.stopWatches()
	if restarted.releaseVersion != update.Version {
		t.Errorf("release version %d after a restart, want %d", restarted.releaseVersion, update.Version)
	}
}

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
