// Package scenario plays a scripted day: real edge processes between the stand-ins of package standin, with the troubles that a
// script names, and the rules checked from what was seen on the sockets.
package scenario

import (
	"embed"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"olympos.io/encoding/edn"

	"flintspread/internal/config"
	"flintspread/internal/fakes"
)

// Script is a day's file. Times are seconds from its start, shares fractions of 1.
type Script struct {
	Seed     uint64              `edn:"seed" validate:"gte=0"`
	Length   float64             `edn:"length" validate:"gt=0"`
	Relays   int                 `edn:"relays" validate:"gt=0,lte=64"`
	Edges    int                 `edn:"edges"`                // of each relay, led by a planner; 0: one, which judges for itself
	Storm    *Storm              `edn:"-"`                    // versions of the settings from a control service
	Rate     float64             `edn:"rate" validate:"gt=0"` // commands a second, all relays together
	Units    Fleet               `edn:"units"`
	Clients  Habits              `edn:"clients"`
	Rules    config.Rules        `edn:"rules"`
	Release  config.Release      `edn:"release"`
	Platform Platform            `edn:"platform"`
	OpTypes  []OpType            `edn:"op-types" validate:"required,min=1,dive"`
	Builds   map[int]fakes.Build `edn:"builds" validate:"required"`
	Events   []Event             `edn:"events"`
	Queries  *Queries            `edn:"queries"` // optional: query servers, asked by planners
	controls map[string]string   // addresses of control services, by relay
	servers  []string            // addresses of query servers
}

// Fleet is the units' part.
type Fleet struct {
	Places    int     `edn:"places" validate:"gt=0,lte=1000"`
	Cores     int     `edn:"cores" validate:"gt=0"`
	Queue     int     `edn:"queue" validate:"gte=0"`
	StartTime float64 `edn:"start-time" validate:"gte=0"`
	DrainTime float64 `edn:"drain-time" validate:"gte=0"`
}

// Habits is the clients' part.
type Habits struct {
	Retries int     `edn:"retries" validate:"gte=0"`
	AtOnce  bool    `edn:"at-once"`
	Short   float64 `edn:"short" validate:"gte=0,lte=1"`
}

// Platform is how the list service and the installer behave.
type Platform struct {
	ListLag float64 `edn:"list-lag" validate:"gte=0"`
	Bake    float64 `edn:"bake" validate:"gte=0"`
	OnVotes int     `edn:"on-votes" validate:"gte=0"`
	Delay   float64 `edn:"delay" validate:"gte=0"`
	Push    float64 `edn:"push" validate:"gt=0"`
	Slack   float64 `edn:"slack" validate:"gt=0"` // what clocks at two sockets may differ by
}

// OpType is one kind of command, as relays and clients know it.
type OpType struct {
	config.RequestClass
	Share float64    `edn:"share" validate:"gt=0,lte=1"`
	Work  [2]float64 `edn:"work"` // from, to
}

// Event is one thing that happens. What its fields mean goes by Do.
type Event struct {
	At     float64     `edn:"at"`
	Do     edn.Keyword `edn:"do" validate:"required"`
	Build  int         `edn:"build"`
	Part   float64     `edn:"part" validate:"omitempty,gte=0,lte=1"` // of the units
	By     float64     `edn:"by" validate:"omitempty,gte=0"`
	For    float64     `edn:"for" validate:"omitempty,gte=0"`
	Relay  string      `edn:"relay"`
	Fault  string      `edn:"fault"`  // of a query server
	Server int         `edn:"server"` // which, from 1 on; 0: all
}

//go:embed bad-day.edn planner-day.edn health-day.edn witness-day.edn
var builtIn embed.FS

// The days that need no file.
const (
	BadDay     = "bad-day.edn"
	PlannerDay = "planner-day.edn"
	HealthDay  = "health-day.edn"
	WitnessDay = "witness-day.edn"
)

// Read reads a script, a built-in one by its bare name.
func Read(file string) (*Script, error) {
	text, err := builtIn.ReadFile(file)
	name := "built-in " + file
	if err != nil {
		if text, err = os.ReadFile(file); err != nil {
			return nil, err
		}
		name = file
	}
	s := &Script{}
	if err := config.Decode(name, text, s); err != nil {
		return nil, err
	}
	for i, e := range s.Events {
		if _, ok := kinds[e.Do]; !ok {
			return nil, &config.FieldError{File: name, Line: 1, Key: fmt.Sprintf(":events %d :do", i), What: "unknown trouble :" + string(e.Do)}
		}
		if _, ok := s.Builds[e.Build]; e.Do == "offer" && !ok {
			return nil, &config.FieldError{File: name, Line: 1, Key: fmt.Sprintf(":events %d :build", i), What: "no such build"}
		}
		if n := len(e.Relay); n > 0 && !strings.HasPrefix(e.Relay, "r") {
			return nil, &config.FieldError{File: name, Line: 1, Key: fmt.Sprintf(":events %d :relay", i), What: "relays are called r1, r2 and so on"}
		}
	}
	return s, nil
}

// Disturb adds kills, pauses and restarts of planners at times drawn from a seed, from one second on until some seconds
// before the end. None of them begins before the one before it is over.
func (s *Script) Disturb(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	if s.Edges == 0 {
		s.Edges = 2
	}
	for at := 1 + 2*rnd.Float64(); at < s.Length-3; {
		e := Event{At: at, Relay: fmt.Sprintf("r%d", 1+rnd.IntN(s.Relays))}
		switch rnd.IntN(4) {
		case 0, 1:
			e.Do, e.For = "planner-killed", 0.1+2*rnd.Float64()
		case 2:
			e.Do, e.For = "planner-stalled", 0.5+4.5*rnd.Float64()
		case 3:
			e.Do, e.For = "edge-killed", 0.1+0.5*rnd.Float64()
		}
		s.Events = append(s.Events, e)
		at += e.For + 0.3 + 1.5*rnd.Float64()
	}
}
