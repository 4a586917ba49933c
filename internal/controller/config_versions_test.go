package controller

import (
	"os"
	"strings"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
)

// A version that the controller accepts but a router rejects is rejected for all; one that all accept takes effect at
// the controller and is sent to the routers, including one that starts later.
func TestVersionNeedsAllRouters(t *testing.T) {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	document := "{" + string(text[strings.Index(string(text), ":schema"):])
	services := &fakeServices{}
	settings := testSettings(t, t.TempDir(), services.serve(t), 1)
	settings.Control = &config.Control{RequiredListTimeoutSeconds: 0.5}
	store, _, _, err := OpenStateStore(settings.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, store)
	c := newController(settings, discardLog(), store)
	c.restore(9, SavedState{})
	if c.configVersions, err = c.openConfigVersions(); err != nil {
		t.Fatal(err)
	}
	sequence := uint64(0)
	report := func(router string, inForce, fits, refused uint64, reason string) *linkpb.View {
		sequence++
		c.acceptReport(&linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: router, Life: 1, Seq: sequence, ConfigNo: inForce, ConfigFits: fits,
			ConfigRefused: refused, ConfigReason: reason})
		return c.nextAssignment(router, 0)
	}
	var proposed *configstate.Version
	propose := func(number uint64, text string) {
		version, err := configstate.Read(number, []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		proposed = version
		if outcome, err := c.configVersions.propose(version); outcome != configstate.Waiting || err != nil {
			t.Fatal(outcome, err)
		}
	}
	recheck := func(want configstate.Outcome, why string) {
		t.Helper()
		outcome, err := c.configVersions.recheck(proposed)
		if outcome != want || (err == nil) != (why == "") || err != nil && !strings.Contains(err.Error(), why) {
			t.Errorf("%v %v, want %v %s", outcome, err, want, why)
		}
	}
	report("a", 0, 0, 0, "")
	report("b", 0, 0, 0, "")
	propose(4, document)
	if assignment := report("a", 0, 0, 0, ""); assignment.ConfigNext != 4 || assignment.ConfigTextNo != 4 || string(assignment.ConfigText) != document || assignment.ConfigNo != 0 {
		t.Error(assignment.ConfigNo, assignment.ConfigNext, assignment.ConfigTextNo)
	}
	recheck(configstate.Waiting, "")
	report("a", 0, 4, 0, "")
	report("b", 0, 0, 4, "commands in hand")
	recheck(configstate.Rejected, `edge "b": commands in hand`)
	if assignment := report("a", 0, 4, 0, ""); assignment.ConfigNext != 0 || assignment.ConfigNo != 0 {
		t.Error("a rejected version is still proposed")
	}
	propose(5, document+" ")
	report("a", 0, 5, 0, "")
	recheck(configstate.Waiting, "")
	report("b", 0, 5, 0, "")
	recheck(configstate.Applied, "")
	if assignment := report("a", 0, 5, 0, ""); assignment.ConfigNo != 5 || assignment.ConfigTextNo != 0 {
		t.Error("a has the text, and is to put it in force", assignment.ConfigNo, assignment.ConfigTextNo)
	}
	if assignment := report("c", 0, 0, 0, ""); assignment.ConfigNo != 5 || assignment.ConfigTextNo != 5 {
		t.Error("one that starts lacks the text", assignment.ConfigNo, assignment.ConfigTextNo)
	}
	old, err := configstate.Read(4, []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	if outcome, err := c.configVersions.propose(old); outcome != configstate.Rejected || err == nil {
		t.Error("went back to 4", outcome, err)
	}
	propose(6, document+"  ")
	time.Sleep(600 * time.Millisecond)
	recheck(configstate.Rejected, "no word in time from edges a, b, c")
	mustClose(t, c.configVersions.store)
	if c.configVersions, err = c.openConfigVersions(); err != nil || c.configVersions.state.Current().Number != 5 {
		t.Error("after a restart", err)
	}
	mustClose(t, c.configVersions.store)
}
