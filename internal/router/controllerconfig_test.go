package router

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/proxy"
	"flintspread/internal/releases"
)

// newControllerConfig returns the version state of a router that no controller has sent anything yet, and the document of its
// settings.
func newControllerConfig(t *testing.T) (c *controllerConfig, document string) {
	t.Helper()
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.ParseRouter("edge.edn", text)
	if err != nil {
		t.Fatal(err)
	}
	settings.StateDir = filepath.Join(t.TempDir(), "state")
	if err := os.MkdirAll(settings.StateDir, 0o755); err != nil {
		t.Fatal(err)
	}
	r := newRouter(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(r.stopWatches)
	r.proxy = proxy.NewHTTP(settings, 1, r.log, func(releases.Vote) {})
	t.Cleanup(r.proxy.Close)
	if err := r.openConfigVersions(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.configVersions.close) // a second close does nothing
	return &controllerConfig{versions: r.configVersions}, "{" + documentPattern.FindString(string(text))
}

// assign applies an assignment with a version in force, a proposed one and a text; nil: none.
func assign(c *controllerConfig, inForce, next, text *configstate.Version) *linkpb.Digest {
	assignment := &linkpb.View{}
	if inForce != nil {
		assignment.ConfigNo, assignment.ConfigHash = inForce.Number, inForce.Hash
	}
	if next != nil {
		assignment.ConfigNext, assignment.ConfigNextHash = next.Number, next.Hash
	}
	if text != nil {
		assignment.ConfigTextNo, assignment.ConfigText = text.Number, text.Text
	}
	c.apply(assignment)
	report := &linkpb.Digest{}
	c.fillReport(report)
	return report
}

func parseVersionOne(t *testing.T, text string) *configstate.Version {
	t.Helper()
	version, err := configstate.ParseVersion(1, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// Guards against second effects under a version that was never in force: a router put the text of a rejected version in force
// when the controller named the number of the mended one.
func TestRouterAppliesOnlyTheTextThatIsNamed(t *testing.T) {
	c, document := newControllerConfig(t)
	first, mended := parseVersionOne(t, document), parseVersionOne(t, document+" ")
	inForce := func() configstate.VersionID { return c.versions.router.proxy.ConfigVersion().ID() }
	if report := assign(c, nil, first, first); report.ConfigFits != 1 || report.ConfigFitsHash != first.Hash {
		t.Errorf("the report accepts version %d with hash %x, want 1 with %x", report.ConfigFits, report.ConfigFitsHash, first.Hash)
	}
	assign(c, nil, nil, nil) // the proposal was rejected
	assign(c, mended, nil, nil)
	if got := inForce(); got.Number != 0 {
		t.Fatalf("version %+v in force, want the file's: the text that is named has not come", got)
	}
	assign(c, mended, nil, mended)
	if got := inForce(); got != mended.ID() {
		t.Fatalf("version %+v in force, want %+v", got, mended.ID())
	}
	if report := assign(c, first, nil, first); report.ConfigRefused != 1 || report.ConfigRefusedHash != first.Hash || inForce() != mended.ID() {
		t.Errorf("the report rejects version %d, and %+v is in force; want another text under the number in force to be rejected", report.ConfigRefused, inForce())
	}
}

// A controller of an earlier program tells no hashes: its numbers name the text that it has sent last.
func TestRouterFollowsControllerWithoutHashes(t *testing.T) {
	c, document := newControllerConfig(t)
	version := parseVersionOne(t, document)
	numberOnly := &configstate.Version{Number: 1}
	assign(c, nil, numberOnly, version)
	assign(c, numberOnly, nil, nil)
	if got := c.versions.router.proxy.ConfigVersion().ID(); got != version.ID() {
		t.Errorf("version %+v in force, want %+v", got, version.ID())
	}
}

// Guards against a version that is refused for good: a router went on reporting that it could not apply a version after the
// controller had dropped it, so that it was rejected at once when it was sent again.
func TestRejectionEndsWithTheProposal(t *testing.T) {
	c, document := newControllerConfig(t)
	version := parseVersionOne(t, strings.Replace(document, ":group :all", ":group :zone", 1)) // no endpoint is in a zone
	if report := assign(c, nil, version, version); report.ConfigRefused != 1 || report.ConfigRefusedHash != version.Hash || report.ConfigReason == "" {
		t.Errorf("the report rejects version %d for %q, want 1 with a reason", report.ConfigRefused, report.ConfigReason)
	}
	if report := assign(c, nil, nil, nil); report.ConfigRefused != 0 || report.ConfigReason != "" {
		t.Errorf("the report still rejects version %d for %q", report.ConfigRefused, report.ConfigReason)
	}
}
