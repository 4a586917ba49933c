package configstate

import (
	"errors"
	"fmt"
	"sort"

	"flintspread/internal/config"
	"flintspread/internal/policy"
)

// maxClasses bounds the number of request classes over the lifetime of a process: those
// that a version drops keep their index.
const maxClasses = 1024

// Conditions describes the present situation that a version must fit.
type Conditions struct {
	InFlight    map[string]int // requests in flight, by class name
	ClientConns int            // open client connections
	HasZones    bool           // some endpoint is in a zone
	HasCells    bool           // some endpoint is in a cell
	ListVersion uint64         // version of the endpoint list
}

// Outcome is the result of offering a version.
type Outcome int

// The outcomes.
const (
	Applied        Outcome = iota
	AlreadyApplied         // it is already in force, for instance because its acknowledgement was lost
	Waiting                // it waits for the endpoint list that it requires
	Rejected               // the accompanying error gives the reason
)

var outcomeNames = [...]string{Applied: "applied", AlreadyApplied: "again", Waiting: "waits", Rejected: "turned down"}

// String returns the outcome's name, for logs and tests.
func (o Outcome) String() string { return outcomeNames[o] }

// ErrSuperseded says that a waiting version was rejected because another one came into force first.
var ErrSuperseded = errors.New("overtaken by another version while it waited")

// State holds the version in force and the one that waits for its endpoint list.
type State struct {
	current        *Version
	classNames     []string // by index in Policy.Classes; an index is never reused for another class
	pending        *Version
	pendingUntil   float64
	maxWaitSeconds float64
}

// NewState returns a state with the configuration of the program's own file in force. maxWaitSeconds is how
// long a version may wait for its endpoint list.
func NewState(document *config.Document, text []byte, hash uint64, maxWaitSeconds float64) *State {
	s := &State{maxWaitSeconds: maxWaitSeconds}
	s.apply(&Version{Hash: hash, Text: text, Document: document})
	return s
}

// Current returns the version in force.
func (s *State) Current() *Version { return s.current }

// Pending returns the version that waits, nil for none.
func (s *State) Pending() *Version { return s.pending }

// ClassName returns the name of the class at an index in Policy.Classes.
func (s *State) ClassName(index int) string { return s.classNames[index] }

// Check returns what Offer would do with a version, and changes nothing. The error is non-nil
// if and only if the version would be rejected.
func (s *State) Check(v *Version, c Conditions) (Outcome, error) {
	switch current := s.current; {
	case v.Number == current.Number && v.Hash == current.Hash:
		return AlreadyApplied, nil
	case v.Number == current.Number:
		return Rejected, fmt.Errorf("version %d is in force with another text", v.Number)
	case v.Number < current.Number:
		return Rejected, fmt.Errorf("version %d is older than %d, which is in force; to go back, send its text as a new version", v.Number, current.Number)
	}
	if err := s.checkConditions(v.Document, c); err != nil {
		return Rejected, err
	}
	if v.RequiredListVersion > c.ListVersion {
		return Waiting, nil
	}
	return Applied, nil
}

// Offer applies a version, keeps it waiting in place of any earlier one, or rejects it. The
// error is non-nil if and only if it is rejected.
func (s *State) Offer(now float64, v *Version, c Conditions) (Outcome, error) {
	outcome, err := s.Check(v, c)
	switch outcome {
	case Waiting:
		if s.pending == nil || s.pending.Number != v.Number {
			s.pendingUntil = now + s.maxWaitSeconds
		}
		s.pending = v
	case Applied:
		s.apply(v)
	}
	return outcome, err
}

// Recheck re-evaluates the version that waits and returns it, nil for none: it may be applied now, or have waited for
// too long. It must be called periodically, and whenever the endpoint list has changed.
func (s *State) Recheck(now float64, c Conditions) (*Version, Outcome, error) {
	v := s.pending
	if v == nil {
		return nil, Waiting, nil
	}
	if v.RequiredListVersion <= c.ListVersion {
		s.pending = nil
		outcome, err := s.Offer(now, v, c)
		return v, outcome, err
	}
	if now >= s.pendingUntil {
		s.pending = nil
		return v, Rejected, fmt.Errorf("list version %d did not come within %g s of version %d; %d is here", v.RequiredListVersion, s.maxWaitSeconds, v.Number, c.ListVersion)
	}
	return v, Waiting, nil
}

// checkConditions returns an error if a version would break work in progress, which its text alone does not show.
func (s *State) checkConditions(document *config.Document, c Conditions) error {
	if err := checkDedupGroups(document, c); err != nil {
		return err
	}
	if err := checkInFlight(document, c.InFlight); err != nil {
		return err
	}
	if document.Clients.MaxConns < c.ClientConns {
		return fmt.Errorf(":clients :connections: %d, while %d are open", document.Clients.MaxConns, c.ClientConns)
	}
	// Counts that were made under these rules would be misread under others.
	current := s.current.Document.Rules
	if document.Rules.CanaryLimitPerClass != current.CanaryLimitPerClass {
		return errors.New(":rules :count-per-op-type: cannot change while the program runs")
	}
	if document.Rules.OneWayKeys != current.OneWayKeys {
		return errors.New(":rules :one-way-keys: cannot change while the program runs")
	}
	if len(s.classNames)+len(document.Classes) > maxClasses {
		return fmt.Errorf(":op-types: more than %d in one life of the program", maxClasses)
	}
	return nil
}

// checkDedupGroups returns an error for a class whose keys are deduplicated within zones or cells that no endpoint has.
func checkDedupGroups(document *config.Document, c Conditions) error {
	for _, class := range document.Classes {
		if class.DedupScope == "zone" && !c.HasZones || class.DedupScope == "cell" && !c.HasCells {
			return fmt.Errorf(":op-types: %q: no unit of the list is in a %s", class.Name, string(class.DedupScope))
		}
	}
	return nil
}

// checkInFlight returns an error for a class that is dropped while requests of it are in flight. It reports the first
// by name, so that equal states return equal errors.
func checkInFlight(document *config.Document, inFlight map[string]int) error {
	kept := map[string]bool{}
	for _, class := range document.Classes {
		kept[class.Name] = true
	}
	names := make([]string, 0, len(inFlight))
	for name := range inFlight {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if inFlight[name] > 0 && !kept[name] {
			return fmt.Errorf(":op-types: %q is left out while %d of its commands are in hand", name, inFlight[name])
		}
	}
	return nil
}

// apply puts a version in force. Known classes keep their index, and new ones get new indexes; the index of a dropped
// class stays reserved, for requests of it that are still in flight.
func (s *State) apply(v *Version) {
	policyConfig := v.Document.Policy()
	v.classIndex = make(map[string]int, len(v.Document.Classes))
	taken := make(map[string]int, len(s.classNames))
	for i, name := range s.classNames {
		taken[name] = i
	}
	var classes []policy.RequestClass
	if s.current != nil {
		classes = append(classes, s.current.Policy.Classes...)
		policyConfig.HasController = s.current.Policy.HasController // set by the program, not by its configuration
	}
	for i, class := range v.Document.Classes {
		index, ok := taken[class.Name]
		if !ok {
			index = len(s.classNames)
			s.classNames = append(s.classNames, class.Name)
			classes = append(classes, policy.RequestClass{})
		}
		classes[index], v.classIndex[class.Name] = policyConfig.Classes[i], index
	}
	policyConfig.Classes = classes
	v.Policy = &policyConfig
	s.current, s.pending = v, nil
}
