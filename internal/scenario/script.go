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

// Script is one scenario's file.
type Script struct {
	// Seed is that of the clients and of AddProcessFaults.
	Seed          uint64  `edn:"seed" validate:"gte=0"`
	LengthSeconds float64 `edn:"length" validate:"gt=0"`
	// Relays is the number of relays, which are called r1, r2 and so on.
	Relays int `edn:"relays" validate:"gt=0,lte=64"`
	// Routers is the number of routers of each relay, directed by a controller. Optional; 0: one router without a controller.
	Routers int `edn:"edges"`
	// ConfigStorm sends configuration versions from a control service. No file sets it; nil: none are sent.
	ConfigStorm *ConfigStorm `edn:"-"`
	// RequestsPerSecond is the rate of requests to all relays together.
	RequestsPerSecond float64                     `edn:"rate" validate:"gt=0"`
	Fleet             Fleet                       `edn:"units"`
	Clients           ClientBehavior              `edn:"clients"`
	Rules             config.Rules                `edn:"rules"`
	Release           config.Release              `edn:"release"`
	Platform          Platform                    `edn:"platform"`
	Classes           []RequestClass              `edn:"op-types" validate:"required,min=1,dive"`
	Builds            map[int]fakes.BuildBehavior `edn:"builds" validate:"required"` // the lowest runs at the start
	Events            []Event                     `edn:"events"`
	// QueryServers are Prometheus servers that controllers query. Optional.
	QueryServers *QueryServers `edn:"queries"`

	controlAddresses map[string]string // of control services, by relay
	queryServerURLs  []string
}

// Fleet describes the endpoints.
type Fleet struct {
	Slots        int     `edn:"places" validate:"gt=0,lte=1000"` // endpoints
	Cores        int     `edn:"cores" validate:"gt=0"`           // of each
	QueueLength  int     `edn:"queue" validate:"gte=0"`          // of each
	StartSeconds float64 `edn:"start-time" validate:"gte=0"`     // until a new process is ready
	DrainSeconds float64 `edn:"drain-time" validate:"gte=0"`     // that a replaced process is kept
}

// ClientBehavior describes the clients.
type ClientBehavior struct {
	MaxRetries       int     `edn:"retries" validate:"gte=0"`     // of one request
	IgnoreRetryAfter bool    `edn:"at-once"`                      // retry at once
	MinTimeoutShare  float64 `edn:"short" validate:"gte=0,lte=1"` // least part of its timeout that a try is given; 0: all
}

// Platform describes the endpoint list and the release service.
type Platform struct {
	ListLagSeconds     float64 `edn:"list-lag" validate:"gte=0"` // until a change is on the endpoint list
	BakeSeconds        float64 `edn:"bake" validate:"gte=0"`     // least time of a rollout stage after its endpoints are ready
	PromoteVotes       int     `edn:"on-votes" validate:"gte=0"` // that a rollout stage needs
	PropagationSeconds float64 `edn:"delay" validate:"gte=0"`    // until a change of the release reaches the relays
	PushSeconds        float64 `edn:"push" validate:"gt=0"`      // between two release updates without a change
	SlackSeconds       float64 `edn:"slack" validate:"gt=0"`     // what the instants of two sockets may be apart
}

// RequestClass is a request class as relays and clients know it.
type RequestClass struct {
	config.RequestClass
	Share       float64    `edn:"share" validate:"gt=0,lte=1"` // of all requests
	WorkSeconds [2]float64 `edn:"work"`                        // least and most work of a request
}

// isIdempotent reports whether requests of the class may run any number of times.
func (c *RequestClass) isIdempotent() bool { return c.Idempotency == "redeliverable" }

// method is the HTTP method of the class's requests.
func (c *RequestClass) method() string {
	if c.isIdempotent() {
		return "GET"
	}
	return "POST"
}

// Event is one thing that happens. Which fields it needs goes by its kind; see events.
type Event struct {
	At      float64     `edn:"at"` // seconds from the start
	Kind    edn.Keyword `edn:"do" validate:"required"`
	Build   int         `edn:"build"`
	Share   float64     `edn:"part" validate:"omitempty,gte=0,lte=1"` // of the endpoints
	Amount  float64     `edn:"by" validate:"omitempty,gte=0"`
	Seconds float64     `edn:"for" validate:"omitempty,gte=0"` // how long it lasts
	Relay   string      `edn:"relay"`
	Fault   string      `edn:"fault"`  // of a query server
	Server  int         `edn:"server"` // query server, from 1 on; 0: all
}

//go:embed bad-day.edn planner-day.edn health-day.edn witness-day.edn
var builtIn embed.FS

// The built-in scripts.
const (
	BadDay              = "bad-day.edn"
	PlannerDay          = "planner-day.edn"
	HealthDay           = "health-day.edn"
	HealthComparisonDay = "witness-day.edn"
)

// Read reads a script: a built-in one by its bare name, any other from a file. An error that lies in the text is a
// *config.FieldError.
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
	for i, event := range s.Events {
		if key, problem := s.validateEvent(event); key != "" {
			return nil, &config.FieldError{File: name, Line: 1, Key: fmt.Sprintf(":events %d :%s", i, key), Problem: problem}
		}
	}
	return s, nil
}

// validateEvent checks one event. The key is empty if nothing is wrong.
func (s *Script) validateEvent(event Event) (key, problem string) {
	if _, ok := events[event.Kind]; !ok {
		return "do", "unknown trouble :" + string(event.Kind)
	}
	if _, ok := s.Builds[event.Build]; event.Kind == "offer" && !ok {
		return "build", "no such build"
	}
	if event.Relay != "" && !strings.HasPrefix(event.Relay, "r") {
		return "relay", "relays are called r1, r2 and so on"
	}
	return "", ""
}

// relayNames gives the names of the relays.
func (s *Script) relayNames() (names []string) {
	for i := range s.Relays {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	return names
}

// firstBuild is the build that runs at the start.
func (s *Script) firstBuild() int {
	first := 1 << 30
	for build := range s.Builds {
		first = min(first, build)
	}
	return first
}

// defaultRouters is the number of routers of each relay that AddProcessFaults gives a script without controllers.
const defaultRouters = 2

// AddProcessFaults adds events that kill, pause and restart controllers and routers at instants drawn from a seed, from one second on
// until three seconds before the end. None of them begins before the one before it is over.
func (s *Script) AddProcessFaults(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	if s.Routers == 0 {
		s.Routers = defaultRouters
	}
	for at := 1 + 2*rnd.Float64(); at < s.LengthSeconds-3; {
		event := Event{At: at, Relay: fmt.Sprintf("r%d", 1+rnd.IntN(s.Relays))}
		switch rnd.IntN(4) {
		case 0, 1:
			event.Kind, event.Seconds = "planner-killed", 0.1+2*rnd.Float64()
		case 2:
			event.Kind, event.Seconds = "planner-stalled", 0.5+4.5*rnd.Float64()
		case 3:
			event.Kind, event.Seconds = "edge-killed", 0.1+0.5*rnd.Float64()
		}
		s.Events = append(s.Events, event)
		at += event.Seconds + 0.3 + 1.5*rnd.Float64()
	}
}
