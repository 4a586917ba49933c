package configstate

import (
	"errors"
	"fmt"
	"sort"

	"flintspread/internal/config"
	"flintspread/internal/policy"
)

// maxClasses bounds the number of request classes over the lifetime of a process. Classes that a later version removes
// keep their index and still count.
const maxClasses = 1024

// Conditions describes the current state of the program, which a version must be compatible with.
type Conditions struct {
	InFlight    map[string]int // requests in flight, by class name
	ClientConns int            // open client connections
	HasZones    bool           // at least one endpoint is in a zone
	HasCells    bool           // at least one endpoint is in a cell
	ListVersion uint64         // version of the current endpoint list
}

// Outcome is the result of offering a version.
type Outcome int

// The outcomes.
const (
	Applied        Outcome = iota
	AlreadyApplied         // already in force, for instance sent again because its acknowledgement was lost
	Waiting                // waiting for the endpoint list that the version requires
	Rejected               // for the reason in the accompanying error
)

var outcomeNames = [...]string{Applied: "applied", AlreadyApplied: "again", Waiting: "waits", Rejected: "turned down"}

// String returns the outcome's name in logs and tests.
func (o Outcome) String() string { return outcomeNames[o] }

// ErrSuperseded is the error for a waiting version that was rejected because another one has replaced it.
var ErrSuperseded = errors.New("overtaken by another version while it waited")

// State holds the version in force and the one that is waiting for its endpoint list.
type State struct {
	current        *Version
	classNames     []string // by index in Policy.Classes; an index is never reused for another class
	pending        *Version
	pendingUntil   float64 // when pending is rejected
	maxWaitSeconds float64
}

// NewState returns a state with the program's configuration file in force, as version 0. maxWaitSeconds is how long a
// version may wait for the endpoint list that it requires.
func NewState(document *config.Document, text []byte, hash uint64, maxWaitSeconds float64) *State {
	s := &State{maxWaitSeconds: maxWaitSeconds}
	s.apply(&Version{Hash: hash, Text: text, Document: document})
	return s
}

// Current returns the version in force.
func (s *State) Current() *Version { return s.current }

// Pending returns the version that is waiting, or nil if there is none.
func (s *State) Pending() *Version { return s.pending }

// ClassName returns the name of the class at an index in Policy.Classes.
func (s *State) ClassName(index int) string { return s.classNames[index] }

// Check returns the outcome that Offer would have for a version, and changes nothing. The error is non-nil if and only if
// the version would be rejected.
func (s *State) Check(version *Version, conditions Conditions) (Outcome, error) {
	switch current := s.current; {
	case version.Number == current.Number && version.Hash == current.Hash:
		return AlreadyApplied, nil
	case version.Number == current.Number:
		return Rejected, fmt.Errorf("version %d is in force with another text", version.Number)
	case version.Number < current.Number:
		return Rejected, fmt.Errorf("version %d is older than %d, which is in force; to go back, send its text as a new version", version.Number, current.Number)
	}
	if err := s.checkConditions(version.Document, conditions); err != nil {
		return Rejected, err
	}
	if version.RequiredListVersion > conditions.ListVersion {
		return Waiting, nil
	}
	return Applied, nil
}

// Offer applies a version, keeps it waiting in place of any other waiting version, or rejects it. The error is non-nil if
// and only if the version is rejected.
func (s *State) Offer(now float64, version *Version, conditions Conditions) (Outcome, error) {
	outcome, err := s.Check(version, conditions)
	switch outcome {
	case Waiting:
		if s.pending == nil || s.pending.Number != version.Number {
			s.pendingUntil = now + s.maxWaitSeconds
		}
		s.pending = version
	case Applied:
		s.apply(version)
	}
	return outcome, err
}

// Recheck re-evaluates the waiting version and returns it with its outcome, or nil if no version is waiting. It applies
// the version if the endpoint list now allows it, and rejects it if it has waited too long. It must be called
// periodically, and whenever the endpoint list has changed.
func (s *State) Recheck(now float64, conditions Conditions) (*Version, Outcome, error) {
	version := s.pending
	if version == nil {
		return nil, Waiting, nil
	}
	if version.RequiredListVersion <= conditions.ListVersion {
		s.pending = nil
		outcome, err := s.Offer(now, version, conditions)
		return version, outcome, err
	}
	if now >= s.pendingUntil {
		s.pending = nil
		return version, Rejected, fmt.Errorf("list version %d did not come within %g s of version %d; %d is here", version.RequiredListVersion, s.maxWaitSeconds, version.Number, conditions.ListVersion)
	}
	return version, Waiting, nil
}

// checkConditions returns an error if a version, although valid on its own, is incompatible with the program's current
// state.
func (s *State) checkConditions(document *config.Document, conditions Conditions) error {
	if err := checkDedupScopes(document, conditions); err != nil {
		return err
	}
	if err := checkInFlight(document, conditions.InFlight); err != nil {
		return err
	}
	if document.Clients.MaxConns < conditions.ClientConns {
		return fmt.Errorf(":clients :connections: %d, while %d are open", document.Clients.MaxConns, conditions.ClientConns)
	}
	// Existing counts depend on these rules and would be wrong under other values.
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

// checkDedupScopes returns an error for a class whose deduplication scope is a zone or cell while no endpoint is in one.
func checkDedupScopes(document *config.Document, conditions Conditions) error {
	for _, class := range document.Classes {
		if class.DedupScope == "zone" && !conditions.HasZones || class.DedupScope == "cell" && !conditions.HasCells {
			return fmt.Errorf(":op-types: %q: no unit of the list is in a %s", class.Name, string(class.DedupScope))
		}
	}
	return nil
}

// checkInFlight returns an error for a class that is removed while requests of it are in flight. Of several classes, it
// reports the first by name, so that equal states return equal errors.
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

// apply puts a version in force. Known classes keep their index and new ones get new indexes. The index of a removed class
// stays reserved, because requests received under an earlier version may still refer to it.
func (s *State) apply(version *Version) {
	policyConfig := version.Document.Policy()
	version.classIndex = make(map[string]int, len(version.Document.Classes))
	indexes := make(map[string]int, len(s.classNames))
	for i, name := range s.classNames {
		indexes[name] = i
	}
	var classes []policy.RequestClass
	if s.current != nil {
		classes = append(classes, s.current.Policy.Classes...)
		policyConfig.HasController = s.current.Policy.HasController // set by the program, not by the configuration
	}
	for i, class := range version.Document.Classes {
		index, ok := indexes[class.Name]
		if !ok {
			index = len(s.classNames)
			s.classNames = append(s.classNames, class.Name)
			classes = append(classes, policy.RequestClass{})
		}
		classes[index], version.classIndex[class.Name] = policyConfig.Classes[i], index
	}
	policyConfig.Classes = classes
	version.Policy = &policyConfig
	s.current, s.pending = version, nil
}
