package configstate

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"flintspread/internal/config"
	"flintspread/internal/policy"
)

// exampleDocument is the text of a configuration version, cut from the example settings file.
var exampleDocument = func() string {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		panic(err)
	}
	return "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(string(text))
}()

// newVersion returns a version whose number is encoded in the timeout of each class and in the body size limit, so that
// checkConsistent detects a mix of two versions.
func newVersion(number uint64, classNames []string, requiredList uint64) *Version {
	var classes, routes strings.Builder
	for _, name := range classNames {
		fmt.Fprintf(&classes, "{:name %q :target 0.3 :timeout %g :importance 1 :effect :redeliverable}", name, 1+float64(number)/1000)
		fmt.Fprintf(&routes, "{:method \"GET\" :path \"/%s/\" :op-type %q}", name, name)
	}
	text := regexp.MustCompile(`(?s):op-types.*`).ReplaceAllString(exampleDocument, ":op-types ["+classes.String()+"] :routes ["+routes.String()+"]}")
	text = strings.Replace(text, ":body-bytes  1048576", fmt.Sprintf(":body-bytes %d", 1000+number), 1)
	document, err := config.ParseDocument("test", []byte(text))
	if err != nil {
		panic(err)
	}
	return &Version{Number: number, Hash: xxhash.Sum64String(text), Text: []byte(text), Document: document, RequiredListVersion: requiredList}
}

// checkConsistent returns an error if a part of a version belongs to another version.
func checkConsistent(version *Version) error {
	if version.Number > 0 && version.Document.Clients.BodyBytes != int64(1000+version.Number) {
		return fmt.Errorf("version %d has the body size limit of version %d", version.Number, version.Document.Clients.BodyBytes-1000)
	}
	for _, class := range version.Document.Classes {
		index := version.ClassOf("GET", "/"+class.Name+"/x")
		if index < 0 || index >= len(version.Policy.Classes) || version.Policy.Classes[index].TimeoutSeconds != class.TimeoutSeconds {
			return fmt.Errorf("version %d: class %q has index %d of %d, which is out of range or has the timeout of another version", version.Number, class.Name, index, len(version.Policy.Classes))
		}
	}
	return nil
}

// requestInFlight is a request with the version and class under which it was received.
type requestInFlight struct {
	request *policy.Request
	version *Version
	class   string
}

// simulation offers versions in random order to a State, while requests arrive, wait and end in a real policy.Balancer.
type simulation struct {
	now         float64
	state       *State
	balancer    *policy.Balancer
	inFlight    []requestInFlight
	listVersion uint64
	inForce     uint64 // number of the version last applied
}

var classNames = []string{"a", "b", "c", "d"}

func newSimulation() *simulation {
	first := newVersion(0, classNames[:2], 0)
	s := &simulation{now: 100, state: NewState(first.Document, first.Text, first.Hash, 1), listVersion: 1}
	s.balancer = policy.New(*s.state.Current().Policy, 1, s.now)
	s.balancer.BeginEndpointList(true)
	s.balancer.UpdateEndpoint(1, 0, 0, 1, policy.Ready, 1, 0)
	s.balancer.EndEndpointList(s.now)
	return s
}

// conditions returns the conditions under which a version is offered now.
func (s *simulation) conditions() Conditions {
	conditions := Conditions{InFlight: map[string]int{}, ListVersion: s.listVersion}
	for _, r := range s.inFlight {
		conditions.InFlight[r.class]++
	}
	return conditions
}

// checkOutcome checks the outcome of a version, and passes the version to the balancer if it was applied.
func (s *simulation) checkOutcome(t *rapid.T, version *Version, outcome Outcome, err error) {
	if outcome == Applied {
		if version.Number <= s.inForce {
			t.Fatalf("version %d was applied after %d", version.Number, s.inForce)
		}
		s.inForce = version.Number
		s.balancer.SetConfig(version.Policy)
	}
	if s.state.Current().Number != s.inForce || (outcome == Rejected) != (err != nil) {
		t.Fatalf("outcome %v with error %v; version %d in force, want %d", outcome, err, s.state.Current().Number, s.inForce)
	}
}

// offer offers a random version twice; if the first offer applies it, the second must find it already applied.
func (s *simulation) offer(t *rapid.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(classNames), 1, 4, rapid.ID[string]).Draw(t, "names")
	version := newVersion(rapid.Uint64Range(1, 30).Draw(t, "number"), names, rapid.Uint64Range(0, 4).Draw(t, "required list"))
	outcome, err := s.state.Offer(s.now, version, s.conditions())
	s.checkOutcome(t, version, outcome, err)
	if second, _ := s.state.Offer(s.now, version, s.conditions()); outcome == Applied && second != AlreadyApplied {
		t.Fatalf("offered applied version %d again: outcome %v, want %v", version.Number, second, AlreadyApplied)
	}
}

// recheck re-evaluates the waiting version.
func (s *simulation) recheck(t *rapid.T) {
	if version, outcome, err := s.state.Recheck(s.now, s.conditions()); version != nil {
		s.checkOutcome(t, version, outcome, err)
	}
}

// receive receives a request under the version in force, if the version has a class for it.
func (s *simulation) receive(t *rapid.T) {
	version := s.state.Current()
	name := rapid.SampledFrom(classNames).Draw(t, "name")
	class := version.ClassOf("GET", "/"+name+"/x")
	if class < 0 {
		return
	}
	request := &policy.Request{ID: uint32(len(s.inFlight)), Class: class, Config: version.Policy, ReceivedAt: s.now, Deadline: s.now + version.Policy.Classes[class].TimeoutSeconds}
	s.balancer.Pick(s.now, request)
	s.inFlight = append(s.inFlight, requestInFlight{request, version, name})
}

// checkVersions checks that every version in use is consistent, and that each request keeps the version under which it
// was received.
func (s *simulation) checkVersions(t *rapid.T) {
	if err := checkConsistent(s.state.Current()); err != nil {
		t.Fatal(err)
	}
	for _, r := range s.inFlight {
		if err := checkConsistent(r.version); err != nil {
			t.Fatal("request in flight: ", err)
		}
		if r.request.Config != r.version.Policy {
			t.Fatal("a request has another configuration than the version under which it was received")
		}
	}
}

// A request is served from start to end under the version that was in force when it arrived. No rejected version takes
// effect, version numbers never decrease, and a class with a request in flight keeps its index.
func TestRequestsKeepTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"":        sim.checkVersions,
			"version": sim.offer,
			"list": func(t *rapid.T) {
				sim.listVersion++
				sim.recheck(t)
			},
			"time": func(t *rapid.T) {
				sim.now += rapid.Float64Range(0, 1).Draw(t, "seconds")
				sim.recheck(t)
			},
			"request": sim.receive,
			"pick again": func(t *rapid.T) {
				if len(sim.inFlight) > 0 {
					r := sim.inFlight[rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "which")]
					// Pick must not fail: the request's class has kept its index in the versions applied since.
					sim.balancer.Pick(sim.now, r.request)
				}
			},
			"end": func(*rapid.T) {
				if len(sim.inFlight) > 0 {
					sim.inFlight = sim.inFlight[1:]
				}
			},
		})
	})
}
