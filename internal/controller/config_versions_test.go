package controller

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
	"flintspread/internal/releases"
)

// advanceClock advances a controller's clock by seconds, in steps in which it looks for routers that stopped reporting.
func advanceClock(controller *Controller, seconds float64) {
	const steps = 10
	for range steps {
		stall(controller, seconds/steps)
	}
}

// stall advances a controller's clock by seconds in one step.
func stall(controller *Controller, seconds float64) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.startedAt += seconds
	controller.expireRouters(controller.now())
}

// documentText returns the part of the example settings that a configuration version holds.
func documentText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	return "{" + string(text[strings.Index(string(text), ":schema"):])
}

// parseVersion parses a configuration version.
func parseVersion(t *testing.T, number uint64, text string) *configstate.Version {
	t.Helper()
	version, err := configstate.ParseVersion(number, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// versionedSettings returns the settings of a controller with a control service, and its open state store.
func versionedSettings(t *testing.T, requiredListTimeoutSeconds float64) (*config.Controller, *StateStore) {
	t.Helper()
	settings := testSettings(t, t.TempDir(), (&fakeServices{}).serve(t), 1)
	settings.Control = &config.Control{RequiredListTimeoutSeconds: requiredListTimeoutSeconds}
	store, _, _, err := OpenStateStore(settings.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, store) })
	return settings, store
}

// startVersioned returns a controller that has restored an empty state and its configuration history. The caller closes
// the history.
func startVersioned(t *testing.T, settings *config.Controller, store *StateStore) *Controller {
	t.Helper()
	controller := newController(settings, discardLog(), store)
	controller.restore(9, SavedState{})
	var err error
	if controller.configVersions, err = controller.openConfigVersions(); err != nil {
		t.Fatal(err)
	}
	return controller
}

// Guards against a restarted controller that counts routers which have not reported to it yet as agreeing: it
// acknowledged a version that its router could not apply. A version is decided only once every live router must have
// reported, also after the controller itself has stalled.
func TestVersionWaitsForRoutersAfterRestart(t *testing.T) {
	version := parseVersion(t, 2, documentText(t))
	sequence := uint64(0)
	report := func(controller *Controller, rejected uint64) {
		sequence++
		controller.acceptReport(&linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: "a", Life: 1, Seq: sequence,
			ConfigRefused: rejected, ConfigReason: "30 connections are open"})
	}
	for _, test := range []struct {
		name   string
		before func(controller *Controller) // what happens before the version comes
		after  func(controller *Controller) // what happens after it came and waited
		want   configstate.Outcome
	}{
		{"the router reports late and rejects it", func(*Controller) {}, func(c *Controller) { report(c, 2) }, configstate.Rejected},
		{"no router is alive", func(*Controller) {}, func(c *Controller) { advanceClock(c, c.settings.Link.SilenceSeconds) }, configstate.Applied},
		{"the controller stalls, and its router rejects it", func(c *Controller) {
			advanceClock(c, c.settings.Link.SilenceSeconds)
			report(c, 0)
			stall(c, 3*c.settings.Link.SilenceSeconds)
		}, func(c *Controller) { report(c, 2) }, configstate.Rejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, store := versionedSettings(t, 5)
			controller := startVersioned(t, settings, store)
			defer mustClose(t, controller.configVersions.store)
			test.before(controller)
			if outcome, err := controller.configVersions.propose(version); outcome != configstate.Waiting || err != nil {
				t.Fatalf("proposed: outcome %v with error %v", outcome, err)
			}
			if outcome, err := controller.configVersions.recheck(version); outcome != configstate.Waiting {
				t.Fatalf("before any router has reported: outcome %v with error %v, want %v", outcome, err, configstate.Waiting)
			}
			test.after(controller)
			if outcome, err := controller.configVersions.recheck(version); outcome != test.want {
				t.Errorf("outcome %v with error %v, want %v", outcome, err, test.want)
			}
		})
	}
}

// A version that the controller accepts but one router rejects is rejected for all. A version that all routers accept
// takes effect at the controller and is sent to the routers, including a router that starts later; it stays in force
// after a restart. An older version is rejected, and so is one that the routers do not answer in time.
func TestVersionRequiresAllRouters(t *testing.T) {
	document := documentText(t)
	settings, store := versionedSettings(t, 0.5)
	controller := startVersioned(t, settings, store)
	advanceClock(controller, settings.Link.SilenceSeconds) // every live router would have reported by now
	sequence := uint64(0)
	// report sends a router's report with the numbers of the version in force, of the version that the router can apply
	// and of the one that it rejects for the given reason, and returns the assignment in reply.
	hashes := map[uint64]uint64{4: configstate.IDOf(4, []byte(document)).Hash, 5: configstate.IDOf(5, []byte(document+" ")).Hash}
	report := func(router string, inForce, applicable, rejected uint64, reason string) *linkpb.View {
		sequence++
		controller.acceptReport(&linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: router, Life: 1, Seq: sequence,
			ConfigNo: inForce, ConfigHash: hashes[inForce], ConfigFits: applicable, ConfigFitsHash: hashes[applicable],
			ConfigRefused: rejected, ConfigRefusedHash: hashes[rejected], ConfigReason: reason})
		return controller.nextAssignment(router, 0)
	}
	var proposed *configstate.Version // the last one
	propose := func(number uint64, text string) {
		version := parseVersion(t, number, text)
		proposed = version
		if outcome, err := controller.configVersions.propose(version); outcome != configstate.Waiting || err != nil {
			t.Fatalf("proposed version %d: outcome %v with error %v, want %v", number, outcome, err, configstate.Waiting)
		}
	}
	recheck := func(want configstate.Outcome, reason string) {
		t.Helper()
		outcome, err := controller.configVersions.recheck(proposed)
		if outcome != want || (err == nil) != (reason == "") || err != nil && !strings.Contains(err.Error(), reason) {
			t.Errorf("outcome %v with error %v, want %v with %q", outcome, err, want, reason)
		}
	}
	report("a", 0, 0, 0, "")
	report("b", 0, 0, 0, "")
	propose(4, document)
	if assignment := report("a", 0, 0, 0, ""); assignment.ConfigNext != 4 || assignment.ConfigTextNo != 4 || string(assignment.ConfigText) != document || assignment.ConfigNo != 0 {
		t.Errorf("version %d in force, %d proposed, text of version %d; want 0, 4 and 4 with the proposed text",
			assignment.ConfigNo, assignment.ConfigNext, assignment.ConfigTextNo)
	}
	recheck(configstate.Waiting, "")
	report("a", 0, 4, 0, "")
	report("b", 0, 0, 4, "commands in hand")
	recheck(configstate.Rejected, `edge "b": commands in hand`)
	if assignment := report("a", 0, 4, 0, ""); assignment.ConfigNext != 0 || assignment.ConfigNo != 0 {
		t.Error("a rejected version is still proposed")
	}
	propose(5, document+" ") // the space makes the text differ from that of version 4
	report("a", 0, 5, 0, "")
	recheck(configstate.Waiting, "")
	report("b", 0, 5, 0, "")
	recheck(configstate.Applied, "")
	if assignment := report("a", 0, 5, 0, ""); assignment.ConfigNo != 5 || assignment.ConfigTextNo != 0 {
		t.Error("want version 5 in force without text for a router that has it; got versions", assignment.ConfigNo, assignment.ConfigTextNo)
	}
	if assignment := report("c", 0, 0, 0, ""); assignment.ConfigNo != 5 || assignment.ConfigTextNo != 5 {
		t.Error("want version 5 in force with text for a router that starts later; got versions", assignment.ConfigNo, assignment.ConfigTextNo)
	}
	if outcome, err := controller.configVersions.propose(parseVersion(t, 4, document)); outcome != configstate.Rejected || err == nil {
		t.Error("accepted version 4 after version 5:", outcome, err)
	}
	propose(6, document+"  ")
	time.Sleep(600 * time.Millisecond) // longer than RequiredListTimeoutSeconds
	recheck(configstate.Rejected, "no word in time from edges a, b, c")
	mustClose(t, controller.configVersions.store)
	var err error
	if controller.configVersions, err = controller.openConfigVersions(); err != nil || controller.configVersions.state.Current().Number != 5 {
		t.Error("version 5 is not in force after a restart:", err)
	}
	mustClose(t, controller.configVersions.store)
}

// Guards against canary attempts over the limit of a version: the leases of the free attempts were held for the window of the
// settings file, whatever version was in force, also after a restart.
func TestLeasesFollowCanaryWindow(t *testing.T) {
	const longWindowSeconds = 60
	version := parseVersion(t, 1, regexp.MustCompile(`:window\s+4.0`).ReplaceAllString(documentText(t), ":window 60.0"))
	if got := version.Document.Rules.CanaryWindowSeconds; got != longWindowSeconds {
		t.Fatalf("the version's window is %g s, want %d s", got, longWindowSeconds)
	}
	settings, store := versionedSettings(t, 5)
	sequence := uint64(0)
	// share returns the share that is leased to a router that reports now.
	share := func(controller *Controller, router string) float64 {
		sequence++
		controller.acceptReport(&linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: router, Life: 1, Seq: sequence, ConfigNo: 1})
		return controller.nextAssignment(router, 0).Share
	}
	controller := startVersioned(t, settings, store)
	fileWindow := settings.Rules.CanaryWindowSeconds
	advanceClock(controller, settings.Link.LeaseSeconds+fileWindow+1)
	if got := share(controller, "a"); got != 1 {
		t.Fatalf("share %g before the version, want 1", got)
	}
	advanceClock(controller, settings.Link.SilenceSeconds+1) // a is dead
	if outcome, err := controller.configVersions.propose(version); outcome != configstate.Waiting {
		t.Fatalf("proposed: outcome %v with error %v", outcome, err)
	}
	if outcome, err := controller.configVersions.recheck(version); outcome != configstate.Applied {
		t.Fatalf("outcome %v with error %v", outcome, err)
	}
	advanceClock(controller, settings.Link.LeaseSeconds+fileWindow)
	if got := share(controller, "b"); got != 0 {
		t.Errorf("share %g for another router while the dead one's attempts count in the longer window, want 0", got)
	}
	advanceClock(controller, longWindowSeconds)
	if got := share(controller, "b"); got != 1 {
		t.Errorf("share %g after the longer window, want 1", got)
	}
	mustClose(t, controller.configVersions.store)
	restarted := startVersioned(t, settings, store)
	defer mustClose(t, restarted.configVersions.store)
	advanceClock(restarted, settings.Link.LeaseSeconds+fileWindow+1)
	if got := share(restarted, "c"); got != 0 {
		t.Errorf("share %g after a restart while the leases of the process before count in the longer window, want 0", got)
	}
	advanceClock(restarted, longWindowSeconds)
	if got := share(restarted, "c"); got != 1 {
		t.Errorf("share %g after a restart and the longer window, want 1", got)
	}
}

// Guards against a rejected version that is put in force in place of the mended one with the same number: the router was taken to
// have the mended text, and its answer to the first text for one to the second. A router that tells no hashes gets the
// text with each assignment.
func TestMendedVersionUnderTheSameNumber(t *testing.T) {
	settings, store := versionedSettings(t, 0.5)
	controller := startVersioned(t, settings, store)
	defer mustClose(t, controller.configVersions.store)
	advanceClock(controller, settings.Link.SilenceSeconds) // every live router would have reported by now
	first := parseVersion(t, 1, documentText(t))
	first.RequiredListVersion = 99 // does not come
	mended := parseVersion(t, 1, documentText(t)+" ")
	sequence := uint64(0)
	report := func(applicable configstate.VersionID) *linkpb.View {
		sequence++
		controller.acceptReport(&linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: "a", Life: 1, Seq: sequence,
			ConfigFits: applicable.Number, ConfigFitsHash: applicable.Hash})
		return controller.nextAssignment("a", 0)
	}
	propose := func(version *configstate.Version) {
		t.Helper()
		if outcome, err := controller.configVersions.propose(version); outcome != configstate.Waiting {
			t.Fatalf("proposed: outcome %v with error %v", outcome, err)
		}
	}
	recheck := func(version *configstate.Version, want configstate.Outcome) {
		t.Helper()
		if outcome, err := controller.configVersions.recheck(version); outcome != want {
			t.Errorf("outcome %v with error %v, want %v", outcome, err, want)
		}
	}
	propose(first)
	report(configstate.VersionID{})
	report(first.ID())
	for range 4 { // the router reports meanwhile
		stall(controller, settings.Link.SilenceSeconds/2)
		report(first.ID())
	}
	recheck(first, configstate.Rejected)
	propose(mended)
	if assignment := report(first.ID()); string(assignment.ConfigText) != string(mended.Text) || assignment.ConfigNextHash != mended.Hash {
		t.Errorf("%d bytes of text for a router that has the first one, want the mended text of %d", len(assignment.ConfigText), len(mended.Text))
	}
	recheck(mended, configstate.Waiting)
	if assignment := report(configstate.VersionID{Number: 1}); len(assignment.ConfigText) == 0 {
		t.Error("no text for a router that tells no hash")
	}
	if assignment := report(mended.ID()); len(assignment.ConfigText) != 0 {
		t.Error("the text again for a router that has it")
	}
	recheck(mended, configstate.Applied)
	if assignment := report(first.ID()); assignment.ConfigNo != 1 || assignment.ConfigHash != mended.Hash || string(assignment.ConfigText) != string(mended.Text) {
		t.Errorf("version %d with hash %x and %d bytes of text in force, want the mended one with its text", assignment.ConfigNo, assignment.ConfigHash, len(assignment.ConfigText))
	}
}

// Guards against a canary that keeps its traffic: updates of a stage that only the version in force has were rejected, by the
// number of stages in the settings file, and a release that was saved in such a stage was not restored.
func TestReleaseStagesOfVersionInForce(t *testing.T) {
	document := strings.Replace(documentText(t), ":stages         [0.1 0.4 1.0]", ":stages [0.04 0.1 0.25 0.55 1.0]", 1)
	document = strings.Replace(document, ":caps           [0.15 0.5 1.0]", ":caps [0.068 0.17 0.42 0.94 1.0]", 1)
	settings, store := versionedSettings(t, 5)
	controller := startVersioned(t, settings, store)
	update := &releases.Update{Version: 3, Build: 4, Stage: 3, Phase: "on-trial", CanaryLimit: 0.94}
	if err := controller.applyReleaseUpdate(update); err == nil {
		t.Error("stage 3 was accepted with three stages")
	}
	advanceClock(controller, settings.Link.SilenceSeconds+1) // no router is alive
	version := parseVersion(t, 1, document)
	if outcome, err := controller.configVersions.propose(version); outcome != configstate.Waiting {
		t.Fatalf("proposed: outcome %v with error %v", outcome, err)
	}
	if outcome, err := controller.configVersions.recheck(version); outcome != configstate.Applied {
		t.Fatalf("outcome %v with error %v", outcome, err)
	}
	if err := controller.applyReleaseUpdate(update); err != nil {
		t.Errorf("stage 3 of five: %v", err)
	}
	mustClose(t, controller.configVersions.store)
	restarted := newController(settings, discardLog(), store)
	if err := restarted.resume(SavedState{Epoch: 9, Release: update, ReleaseAt: controller.now()}); err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, restarted.configVersions.store)
	if restarted.release.Stage != 3 {
		t.Errorf("release %+v after a restart, want stage 3", restarted.release)
	}
}
