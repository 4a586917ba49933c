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

// Script is the content of a scenario file.
type Script struct {
	// Seed seeds the clients and the config storm. The lab also passes it to AddProcessFaults.
	Seed          uint64  `edn:"seed" validate:"gte=0"`
	LengthSeconds float64 `edn:"length" validate:"gt=0"`
	// Relays is the number of relays. They are named r1, r2 and so on.
	Relays int `edn:"relays" validate:"gt=0,lte=64"`
	// Routers is the number of routers of each relay, which one controller directs. Optional; 0 means one router
	// without a controller.
	Routers int `edn:"edges"`
	// ConfigStorm makes control services send configuration versions; nil means that none are sent. Files cannot set it.
	ConfigStorm *ConfigStorm `edn:"-"`
	// RequestsPerSecond is the total request rate over all relays.
	RequestsPerSecond float64                     `edn:"rate" validate:"gt=0"`
	Fleet             Fleet                       `edn:"units"`
	Clients           ClientBehavior              `edn:"clients"`
	Rules             config.Rules                `edn:"rules"`
	Release           config.Release              `edn:"release"`
	Platform          Platform                    `edn:"platform"`
	Classes           []RequestClass              `edn:"op-types" validate:"required,min=1,dive"`
	Builds            map[int]fakes.BuildBehavior `edn:"builds" validate:"required"` // by number; the lowest one runs at the start
	Events            []Event                     `edn:"events"`
	// QueryServers are Prometheus servers that controllers query. Optional.
	QueryServers *QueryServers `edn:"queries"`

	controlAddresses map[string]string // addresses of the control services, by relay name
	queryServerURLs  []string
}

// Fleet describes the endpoints.
type Fleet struct {
	Slots        int     `edn:"places" validate:"gt=0,lte=1000"` // number of endpoints
	Cores        int     `edn:"cores" validate:"gt=0"`           // of each endpoint
	QueueLength  int     `edn:"queue" validate:"gte=0"`          // of each endpoint
	StartSeconds float64 `edn:"start-time" validate:"gte=0"`     // time until a new process is ready
	DrainSeconds float64 `edn:"drain-time" validate:"gte=0"`     // time for which a replaced process keeps running
}

// ClientBehavior describes the clients.
type ClientBehavior struct {
	MaxRetries       int     `edn:"retries" validate:"gte=0"`     // per request
	IgnoreRetryAfter bool    `edn:"at-once"`                      // retry without delay
	MinTimeoutShare  float64 `edn:"short" validate:"gte=0,lte=1"` // smallest share of its timeout that an attempt gets; 0: always all of it
}

// Platform describes the endpoint list and the release service.
type Platform struct {
	ListLagSeconds     float64 `edn:"list-lag" validate:"gte=0"` // time until a change appears on the endpoint list
	BakeSeconds        float64 `edn:"bake" validate:"gte=0"`     // minimum duration of a rollout stage after its endpoints are ready
	PromoteVotes       int     `edn:"on-votes" validate:"gte=0"` // promote votes that a rollout stage needs
	PropagationSeconds float64 `edn:"delay" validate:"gte=0"`    // time until a change of the release reaches the relays
	PushSeconds        float64 `edn:"push" validate:"gt=0"`      // time between two release updates if nothing changes
	SlackSeconds       float64 `edn:"slack" validate:"gt=0"`     // tolerance between instants recorded on two sockets
}

// RequestClass is a request class with the settings of relays and clients.
type RequestClass struct {
	config.RequestClass
	Share       float64    `edn:"share" validate:"gt=0,lte=1"` // share of all requests
	WorkSeconds [2]float64 `edn:"work"`                        // minimum and maximum work of a request
}

// isIdempotent reports whether a request of the class may run any number of times.
func (c *RequestClass) isIdempotent() bool { return c.Idempotency == "redeliverable" }

// method returns the HTTP method of the class's requests.
func (c *RequestClass) method() string {
	if c.isIdempotent() {
		return "GET"
	}
	return "POST"
}

// Event is a fault or another change at a point in time. Its kind determines which fields are used; see eventHandlers.
type Event struct {
	At      float64     `edn:"at"` // seconds since the clients started
	Kind    edn.Keyword `edn:"do" validate:"required"`
	Build   int         `edn:"build"`
	Share   float64     `edn:"part" validate:"omitempty,gte=0,lte=1"` // share of the endpoints that is affected
	Amount  float64     `edn:"by" validate:"omitempty,gte=0"`
	Seconds float64     `edn:"for" validate:"omitempty,gte=0"` // duration of the event
	Relay   string      `edn:"relay"`
	Fault   string      `edn:"fault"`  // fault of a query server
	Server  int         `edn:"server"` // number of the query server, starting at 1; 0: all
}

//go:embed bad-day.edn planner-day.edn health-day.edn witness-day.edn
var builtInScripts embed.FS

// The built-in scripts.
const (
	BadDay              = "bad-day.edn"
	PlannerDay          = "planner-day.edn"
	HealthDay           = "health-day.edn"
	HealthComparisonDay = "witness-day.edn"
)

// Read reads a built-in script by its name, or any other script from a file. An invalid text is reported as a
// *config.FieldError.
func Read(file string) (*Script, error) {
	text, err := builtInScripts.ReadFile(file)
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

// validateEvent checks one event and returns the key and description of the first problem. The key is empty if the
// event is valid.
func (s *Script) validateEvent(event Event) (key, problem string) {
	if _, ok := eventHandlers[event.Kind]; !ok {
		return "do", "unknown event kind :" + string(event.Kind)
	}
	if _, ok := s.Builds[event.Build]; event.Kind == "offer" && !ok {
		return "build", fmt.Sprintf("build %d is not listed in :builds", event.Build)
	}
	if event.Relay != "" && !strings.HasPrefix(event.Relay, "r") {
		return "relay", fmt.Sprintf("unknown relay %q; relays are named r1, r2 and so on", event.Relay)
	}
	return "", ""
}

// relayNames returns the relays' names, in order.
func (s *Script) relayNames() (names []string) {
	for i := range s.Relays {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	return names
}

// firstBuild returns the build that runs at the start: the lowest one.
func (s *Script) firstBuild() int {
	first := 1 << 30
	for build := range s.Builds {
		first = min(first, build)
	}
	return first
}

// defaultRoutersPerRelay is the number of routers per relay that AddProcessFaults sets in a script without controllers.
const defaultRoutersPerRelay = 2

// AddProcessFaults adds events that kill, pause and restart controllers and routers. Their instants are drawn from the
// seed, between one second after the start and three seconds before the end. The events do not overlap.
func (s *Script) AddProcessFaults(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	if s.Routers == 0 {
		s.Routers = defaultRoutersPerRelay
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
