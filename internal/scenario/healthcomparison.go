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

// The builds of HealthComparisonDay.
const (
	comparisonWrongBuild = 2
	comparisonGoodBuild  = 3
)

// HealthComparison is what one seed shows of the evidence from metrics.
type HealthComparison struct {
	Seed      uint64
	RollbackSecondsWithServers      float64    // seconds until the wrong build was rolled back with query servers; 0: it was not
	RollbackSecondsWithoutServers   float64    // the same without query servers
	GoodBuildRolledBack bool       // the good build that the query servers lied about was rolled back
	GoodBuildReleased  bool       // it was released
	RulesKept      bool       // no rule was broken in the three runs
	Service   [3]float64 // of the three runs
}

// CompareHealth plays HealthComparisonDay three times with one seed: a wrong build with query servers and without, and a good build
// that all query servers lie about. Each run gets a folder in dir.
func CompareHealth(seed uint64, bin, dir string) (HealthComparison, error) {
	c := HealthComparison{Seed: seed, RulesKept: true}
	play := func(i int, name string, build int, edit func(*Script)) (*Outcome, error) {
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
			return nil, fmt.Errorf("seed %d, %s: %w", seed, name, err)
		}
		c.RulesKept, c.Service[i] = c.RulesKept && out.Kept(), out.Service
		return out, nil
	}
	with, err := play(0, "with", comparisonWrongBuild, func(*Script) {})
	if err != nil {
		return c, err
	}
	without, err := play(1, "without", comparisonWrongBuild, func(s *Script) { s.QueryServers = nil })
	if err != nil {
		return c, err
	}
	lied, err := play(2, "lied", comparisonGoodBuild, func(s *Script) {
		s.Events = append(s.Events, Event{At: 0, Kind: "query-server", Fault: string(fakes.Lies)})
	})
	if err != nil {
		return c, err
	}
	c.RollbackSecondsWithServers, _ = with.RollbackAfter(comparisonWrongBuild)
	c.RollbackSecondsWithoutServers, _ = without.RollbackAfter(comparisonWrongBuild)
	_, c.GoodBuildRolledBack = lied.RollbackAfter(comparisonGoodBuild)
	c.GoodBuildReleased = lied.happened(fmt.Sprintf("build %d is released", comparisonGoodBuild))
	return c, nil
}

// comparisonScript is HealthComparisonDay with one build that is offered.
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

// RollbackAfter gives the seconds from the offer of a build until it was rolled back, and whether it was.
func (o *Outcome) RollbackAfter(build int) (seconds float64, rolledBack bool) {
	offeredAt := 0.0
	for _, event := range o.History {
		if event.What == fmt.Sprintf("build %d is offered", build) {
			offeredAt = event.At
		} else if strings.HasPrefix(event.What, fmt.Sprintf("build %d goes back", build)) {
			return event.At - offeredAt, true
		}
	}
	return 0, false
}

// happened reports whether the history has an entry.
func (o *Outcome) happened(what string) bool {
	return slices.ContainsFunc(o.History, func(event fakes.ReleaseEvent) bool { return event.What == what })
}
