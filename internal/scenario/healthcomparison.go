package scenario

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"flintspread/internal/fakes"
)

// The builds that HealthComparisonDay can offer: one that answers wrongly and one that is sound.
const (
	comparisonWrongBuild = 2
	comparisonGoodBuild  = 3
)

// HealthComparison is the result of one seed: how the evidence from metrics changes the rollback of a wrong build and
// of a good one.
type HealthComparison struct {
	Seed                          uint64
	RollbackSecondsWithServers    float64    // from the offer of the wrong build to its rollback; 0: no rollback
	RollbackSecondsWithoutServers float64    // the same in the run without query servers
	GoodBuildRolledBack           bool       // in the run with false evidence against it
	GoodBuildReleased             bool       // in the same run
	RulesKept                     bool       // in all three runs
	Service                       [3]float64 // Outcome.Service of the three runs
}

// CompareHealth runs HealthComparisonDay three times with one seed: with a wrong build and query servers, with a wrong
// build and no query servers, and with a good build while all query servers return false evidence against it. Each run
// gets a folder in dir.
func CompareHealth(seed uint64, bin, dir string) (HealthComparison, error) {
	c := HealthComparison{Seed: seed, RulesKept: true}
	runVariant := func(i int, name string, build int, edit func(*Script)) (*Outcome, error) {
		script, err := comparisonScript(seed, build)
		if err != nil {
			return nil, err
		}
		edit(script)
		runDir := filepath.Join(dir, fmt.Sprintf("%d-%s", seed, name))
		if err := os.MkdirAll(runDir, 0o755); err != nil {
			return nil, err
		}
		out, err := Run(script, bin, runDir, io.Discard)
		if err != nil {
			return nil, fmt.Errorf("seed %d, run %q: %w", seed, name, err)
		}
		c.RulesKept, c.Service[i] = c.RulesKept && out.Passed(), out.Service
		return out, nil
	}
	with, err := runVariant(0, "with", comparisonWrongBuild, func(*Script) {})
	if err != nil {
		return c, err
	}
	without, err := runVariant(1, "without", comparisonWrongBuild, func(s *Script) { s.QueryServers = nil })
	if err != nil {
		return c, err
	}
	falseEvidence, err := runVariant(2, "lied", comparisonGoodBuild, func(s *Script) {
		s.Events = append(s.Events, Event{At: 0, Kind: "query-server", Fault: string(fakes.FaultInflatesFailures)})
	})
	if err != nil {
		return c, err
	}
	c.RollbackSecondsWithServers, _ = with.RollbackAfter(comparisonWrongBuild)
	c.RollbackSecondsWithoutServers, _ = without.RollbackAfter(comparisonWrongBuild)
	_, c.GoodBuildRolledBack = falseEvidence.RollbackAfter(comparisonGoodBuild)
	c.GoodBuildReleased = falseEvidence.hasHistoryEntry(fmt.Sprintf("build %d is released", comparisonGoodBuild))
	return c, nil
}

// comparisonScript returns HealthComparisonDay with the given seed, offering only the given build.
func comparisonScript(seed uint64, build int) (*Script, error) {
	script, err := Read(HealthComparisonDay)
	if err != nil {
		return nil, err
	}
	script.Seed = seed
	for i := range script.Events {
		if script.Events[i].Kind == "offer" {
			script.Events[i].Build = build
		}
	}
	return script, nil
}

// RollbackAfter returns the seconds from the offer of a build to its rollback, and whether it was rolled back at all.
func (o *Outcome) RollbackAfter(build int) (seconds float64, rolledBack bool) {
	offeredAt := 0.0
	for _, event := range o.History {
		if event.Description == fmt.Sprintf("build %d is offered", build) {
			offeredAt = event.At
		} else if strings.HasPrefix(event.Description, fmt.Sprintf("build %d goes back", build)) {
			return event.At - offeredAt, true
		}
	}
	return 0, false
}

// hasHistoryEntry reports whether the history has an entry with exactly this text.
func (o *Outcome) hasHistoryEntry(what string) bool {
	return slices.ContainsFunc(o.History, func(event fakes.ReleaseEvent) bool { return event.Description == what })
}
