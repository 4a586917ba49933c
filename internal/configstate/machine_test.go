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

var example = func() string {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		panic(err)
	}
	return "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(string(text))
}()

// made gives a version whose parts all bear its mark: the time-out of an op type and the size of a body tell the number, so
// that a mix of two versions shows.
func made(no uint64, names []string, needs uint64) *Version {
	var ops, routes strings.Builder
	for _, n := range names {
		fmt.Fprintf(&ops, "{:name %q :target 0.3 :timeout %g :importance 1 :effect :redeliverable}", n, 1+float64(no)/1000)
		fmt.Fprintf(&routes, "{:method \"GET\" :path \"/%s/\" :op-type %q}", n, n)
	}
	text := regexp.MustCompile(`(?s):op-types.*`).ReplaceAllString(example, ":op-types ["+ops.String()+"] :routes ["+routes.String()+"]}")
	text = strings.Replace(text, ":body-bytes  1048576", fmt.Sprintf(":body-bytes %d", 1000+no), 1)
	doc, err := config.ParseDocument("made", []byte(text))
	if err != nil {
		panic(err)
	}
	return &Version{Number: no, Hash: xxhash.Sum64String(text), Text: []byte(text), Document: doc, RequiredListVersion: needs}
}

// whole tells whether everything that a reader sees of a version is of that version.
func whole(v *Version) error {
	if v.Number > 0 && v.Document.Clients.BodyBytes != int64(1000+v.Number) {
		return fmt.Errorf("version %d has the limits of %d", v.Number, v.Document.Clients.BodyBytes-1000)
	}
	for _, op := range v.Document.Classes {
		slot := v.ClassOf("GET", "/"+op.Name+"/x")
		if slot < 0 || slot >= len(v.Policy.Classes) || v.Policy.Classes[slot].TimeoutSeconds != op.Timeout {
			return fmt.Errorf("version %d: %q is at place %d of %d with other terms", v.Number, op.Name, slot, len(v.Policy.Classes))
		}
	}
	return nil
}

type inHand struct {
	c    *policy.Request
	v    *Version
	name string
}

// The machine offers versions in any order while commands come, wait and end, with the real policy: a command is served by
// the version it came under from start to end, no version that was turned down is seen, numbers never go back, and an op type
// that a command in hand is of is never without its place.
func TestMachine(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		now := 100.0
		first := made(0, all[:2], 0)
		k := NewState(first.Document, first.Text, first.Hash, 1)
		b := policy.New(*k.Current().Policy, 1, now)
		b.BeginEndpointList(true)
		b.UpdateEndpoint(1, 0, 0, 1, policy.Ready, 1, 0)
		b.EndEndpointList(now)
		var hands []inHand
		listNo := uint64(1)
		situation := func() Conditions {
			s := Conditions{InFlight: map[string]int{}, ListVersion: listNo}
			for _, h := range hands {
				s.InFlight[h.name]++
			}
			return s
		}
		inForce := uint64(0)
		applied := func(v *Version, o Outcome, err error) {
			if o == Applied {
				if v.Number <= inForce {
					t.Fatalf("%d after %d", v.Number, inForce)
				}
				inForce = v.Number
				b.SetConfig(v.Policy)
			}
			if k.Current().Number != inForce || (o == Rejected) != (err != nil) {
				t.Fatalf("%v %v, in force %d, present %d", o, err, inForce, k.Current().Number)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if err := whole(k.Current()); err != nil {
					t.Fatal(err)
				}
				for _, h := range hands {
					if err := whole(h.v); err != nil {
						t.Fatal("in hand: ", err)
					}
					if h.c.Config != h.v.Policy {
						t.Fatal("a command is under other terms than it came under")
					}
				}
			},
			"version": func(t *rapid.T) {
				names := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, 4, rapid.ID[string]).Draw(t, "names")
				v := made(rapid.Uint64Range(1, 30).Draw(t, "no"), names, rapid.Uint64Range(0, 4).Draw(t, "needs"))
				o, err := k.Offer(now, v, situation())
				applied(v, o, err)
				if again, _ := k.Offer(now, v, situation()); o == Applied && again != AlreadyApplied {
					t.Fatalf("the same again is %v", again)
				}
			},
			"list": func(t *rapid.T) {
				listNo++
				v, o, err := k.Recheck(now, situation())
				if v != nil {
					applied(v, o, err)
				}
			},
			"time": func(t *rapid.T) {
				now += rapid.Float64Range(0, 1).Draw(t, "secs")
				if v, o, err := k.Recheck(now, situation()); v != nil {
					applied(v, o, err)
				}
			},
			"command": func(t *rapid.T) {
				v := k.Current()
				name := rapid.SampledFrom(all).Draw(t, "name")
				slot := v.ClassOf("GET", "/"+name+"/x")
				if slot < 0 {
					return
				}
				c := &policy.Request{ID: uint32(len(hands)), Class: slot, Config: v.Policy, ReceivedAt: now, Deadline: now + v.Policy.Classes[slot].TimeoutSeconds}
				b.Pick(now, c)
				hands = append(hands, inHand{c, v, name})
			},
			"asked again": func(t *rapid.T) {
				if len(hands) > 0 {
					h := hands[rapid.IntRange(0, len(hands)-1).Draw(t, "which")]
					b.Pick(now, h.c) // its place is there whatever was adopted meanwhile
				}
			},
			"end": func(t *rapid.T) {
				if len(hands) > 0 {
					hands = hands[1:]
				}
			},
		})
	})
}
