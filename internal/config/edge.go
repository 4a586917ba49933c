// Package config reads what an edge is told at its start: one EDN file, checked whole before anything listens.
package config

import (
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"olympos.io/encoding/edn"

	"flintspread/internal/policy"
)

// Router is one edge's file. Times are seconds with fractions, sizes bytes, shares fractions of 1. Nothing has a value
// of its own in the program: what the file leaves out is an error, but for what is marked optional here.
type Router struct {
	Relay      string    `edn:"relay" validate:"required,printascii,excludesall= "` // its name to list and installer
	Listen     string    `edn:"listen" validate:"required,hostname_port"`           // where clients connect
	Admin      string    `edn:"admin" validate:"required,hostname_port"`            // metrics
	StateDir   string    `edn:"state-dir" validate:"required"`
	Shared     bool      `edn:"share-port"` // optional: other edges on this host listen at the same address
	Seed       uint64    `edn:"seed"`       // optional; 0: drawn anew at each start
	Log        Log       `edn:"log"`
	Sources    *Sources  `edn:"sources"`  // for an edge that judges for itself
	Controller *Link     `edn:"planner"`  // for one that a planner leads
	Name       string    `edn:"edge"`     // optional: its name among the edges of a planner
	Control    *Control  `edn:"control"`  // optional: where versions of the document, and the list, come from
	Overload   *Overload `edn:"overload"` // optional: what the edge does when it is the weakest part itself
	Document
	file   string
	places *places
}

// DocumentSchema is the form of a document that this program reads.
const DocumentSchema = 1

// Document is the part that may change while the program runs: in a file it stands beside the rest, from a control service
// it comes by itself, in numbered versions.
type Document struct {
	Schema    int            `edn:"schema" validate:"eq=1"` // of this form
	Clients   Clients        `edn:"clients"`
	Endpoints Endpoints      `edn:"units"`
	Rules     Rules          `edn:"rules"`
	Release   Release        `edn:"release"`
	Classes   []RequestClass `edn:"op-types" validate:"required,min=1,max=256,dive"`
	Routes    []Route        `edn:"routes" validate:"required,min=1,max=4096,dive"`
	terms     policy.Config
	opByName  map[string]int
	byPath    map[string]*iradix.Tree[int] // op type by path, for each method
}

// Overload says what an edge may use itself.
type Overload struct {
	Shed   bool  `edn:"shed"`                                    // turn commands away by worth when this process falls behind
	Memory int64 `edn:"memory" validate:"omitempty,gte=1048576"` // optional: bytes of connections and messages, 0: not bounded
}

// Log says how the program's own log is written.
type Log struct {
	Format edn.Keyword `edn:"format" validate:"oneof=text json"`
	Level  edn.Keyword `edn:"level" validate:"oneof=debug info warn error"`
}

// Sources are where the unit list and the news of releases come from.
type Sources struct {
	List      string  `edn:"list" validate:"omitempty,http_url"` // not with :control
	Installer string  `edn:"installer" validate:"required,http_url"`
	Silence   float64 `edn:"silence" validate:"gt=0"` // s without a line, after which a stream is taken for broken
	BackLeast float64 `edn:"back-least" validate:"gt=0"`
	BackMost  float64 `edn:"back-most" validate:"gtefield=BackLeast"`
}

// Clients bounds what clients may ask of the edge.
type Clients struct {
	Connections int     `edn:"connections" validate:"gt=0"`
	HeadBytes   int64   `edn:"head-bytes" validate:"gte=1024"`
	BodyBytes   int64   `edn:"body-bytes" validate:"gte=0"`
	ReadTime    float64 `edn:"read-time" validate:"gt=0"` // s that a command may take to arrive
	IdleTime    float64 `edn:"idle-time" validate:"gt=0"`
	DrainTime   float64 `edn:"drain-time" validate:"gt=0"` // s that a stop waits for what is in hand
	Keep        int     `edn:"-"`                          // above it an idle one goes for each that comes, 0: none does
}

// Endpoints bounds the connections to each unit.
type Endpoints struct {
	Connections int     `edn:"connections" validate:"gt=0"`
	DialTime    float64 `edn:"dial-time" validate:"gt=0"`
	IdleTime    float64 `edn:"idle-time" validate:"gt=0"`
	AnswerBytes int64   `edn:"answer-bytes" validate:"gt=0"`
	Total       int     `edn:"-"` // connections to all units together, 0: not bounded
}

// Rules holds the numbers behind the five rules, and what a command may cost.
type Rules struct {
	Relays      int     `edn:"relays" validate:"gt=0"`
	Round       float64 `edn:"round" validate:"gt=0"` // the margin kept before a client's time is up is two to three of it
	Deliveries  int     `edn:"deliveries" validate:"gt=0,lte=100"`
	Parallel    bool    `edn:"parallel"` // two deliveries of a command may be out together
	MaxPause    float64 `edn:"max-pause" validate:"gt=0"`
	ColdFrom    float64 `edn:"cold-from" validate:"gt=0,lte=1"`
	WarmUp      float64 `edn:"warm-up" validate:"gte=0"`
	FallFactor  float64 `edn:"fall-multiple" validate:"gte=1"`
	FallTime    float64 `edn:"fall-time" validate:"gt=0"`
	Window      float64 `edn:"window" validate:"gt=0"`
	Grace       float64 `edn:"grace" validate:"gt=0"` // of drains and of lower caps
	Free        float64 `edn:"free" validate:"gte=0"`
	CountPerOp  bool    `edn:"count-per-op-type"`
	Guarded     int     `edn:"guarded-stages" validate:"gte=0"`
	OneWayKeys  bool    `edn:"one-way-keys"`
	KeysKept    int     `edn:"keys-kept" validate:"gte=0"` // keys remembered for one-way-keys, at most
	UnitsForget float64 `edn:"forget-units" validate:"gt=0"`
}

// Release says how builds are offered and what they may cost.
type Release struct {
	Stages       []float64 `edn:"stages" validate:"required,min=1,dive,gt=0,lte=1"`
	Caps         []float64 `edn:"caps" validate:"required,min=1,dive,gte=0,lte=1"`
	BackVotes    int       `edn:"back-votes" validate:"gt=0"`
	ByClock      bool      `edn:"by-clock"`
	Replace      bool      `edn:"replace"`
	HarmPrice    float64   `edn:"harm-price" validate:"gt=0"`
	StalePrice   float64   `edn:"stale-price" validate:"gt=0"`
	ReportShare  float64   `edn:"report-share" validate:"gte=0,lte=1"`
	VoteLife     float64   `edn:"vote-life" validate:"gt=0"`
	VoteTimeout  float64   `edn:"vote-timeout" validate:"gt=0"`
	VotesASecond float64   `edn:"votes-a-second" validate:"gt=0"`
}

// RequestClass is one kind of command.
type RequestClass struct {
	Name       string      `edn:"name" validate:"required"`
	Target     float64     `edn:"target" validate:"gt=0"`
	Timeout    float64     `edn:"timeout" validate:"gt=0"`
	Importance float64     `edn:"importance" validate:"gt=0"`
	Effect     edn.Keyword `edn:"effect" validate:"oneof=redeliverable deduplicated at-most-once"`
	Group      edn.Keyword `edn:"group" validate:"omitempty,oneof=all zone cell"` // of deduplicated ones
	Window     float64     `edn:"window" validate:"omitempty,gte=0"`              // of deduplicated ones
}

// Route gives the op type of the commands of a method whose path begins so; the longest path wins.
type Route struct {
	Method string `edn:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path   string `edn:"path" validate:"required,startswith=/"`
	OpType string `edn:"op-type" validate:"required"`
}

// ConfigWaitSeconds is how long a version of the settings may wait for what it belongs with, s.
func (e *Router) ConfigWaitSeconds() float64 {
	if e.Control == nil {
		return 0
	}
	return e.Control.Patience
}

// Policy gives the module's part.
func (d *Document) Policy() policy.Config { return d.terms }

// Check finds what an edge's fields alone do not show, and fills the module's terms.
func (e *Router) Check() error {
	if e.Name == "" {
		e.Name = e.Relay
	}
	at := place{e.file, e.places}
	if err := e.check(at); err != nil {
		return err
	}
	switch {
	case e.Controller != nil:
		e.terms.HasController = true
		if key, what := e.Controller.check(); key != "" {
			return at.fault(":planner "+key, what)
		}
		if e.Shared && e.Rules.OneWayKeys {
			return at.fault(":rules :one-way-keys", "edges that share a port do not know each other's keys")
		}
		if e.Control != nil {
			return at.fault(":control", "with a :planner the versions of the settings are the planner's matter")
		}
		if e.Sources != nil {
			return at.fault(":sources", "with a :planner the list and the news of releases come from there")
		}
	case e.Sources != nil:
		return checkSources(at, e.Sources, e.Control)
	default:
		return at.fault(":sources", "missing; without a :planner the edge asks for itself")
	}
	return nil
}

// checkSources tells whether there is one place for the list, and it can be met.
func checkSources(at place, s *Sources, c *Control) error {
	switch {
	case c == nil && s.List == "":
		return at.fault(":sources :list", "missing; without a :control it comes from nowhere else")
	case c != nil && s.List != "":
		return at.fault(":sources :list", "with a :control the list comes from there")
	case c != nil && (c.Cert != "" || c.Key != "" || c.CA != "" || c.Peer != "") && (c.Cert == "" || c.Key == "" || c.CA == "" || c.Peer == ""):
		return at.fault(":control", "of :cert, :key, :ca and :peer all are needed, or none")
	}
	return nil
}

// check finds what makes a rule unkeepable, or a command unanswerable.
func (d *Document) check(at place) (err error) {
	if d.terms, err = terms(at, d.Rules, d.Release, d.Classes); err != nil {
		return err
	}
	d.terms.ConnIdleSeconds = d.Endpoints.IdleTime
	d.opByName = map[string]int{}
	for i, op := range d.Classes {
		d.opByName[op.Name] = i
	}
	d.byPath = map[string]*iradix.Tree[int]{}
	used := map[string]bool{}
	seen := map[string]int{}
	for i, route := range d.Routes {
		key := fmt.Sprintf(":routes %d", i)
		if _, ok := d.opByName[route.OpType]; !ok {
			return at.fault(key+" :op-type", fmt.Sprintf("no op type is called %q", route.OpType))
		}
		used[route.OpType] = true
		if j, twice := seen[route.Method+" "+route.Path]; twice {
			return at.fault(key+" :path", fmt.Sprintf("the same as :routes %d", j))
		}
		seen[route.Method+" "+route.Path] = i
		tree := d.byPath[route.Method]
		if tree == nil {
			tree = iradix.New[int]()
		}
		d.byPath[route.Method], _, _ = tree.Insert([]byte(route.Path), d.opByName[route.OpType])
	}
	for i, op := range d.Classes {
		if !used[op.Name] {
			return at.fault(fmt.Sprintf(":op-types %d :name", i), fmt.Sprintf("no route leads to %q", op.Name))
		}
	}
	return nil
}

// ParseDocument reads and checks a document by itself, as a control service sends it; name is what errors call it.
func ParseDocument(name string, text []byte) (*Document, error) {
	if len(text) > mostBytes {
		return nil, &FieldError{name, 1, "", fmt.Sprintf("%d bytes; %d at most", len(text), mostBytes)}
	}
	d := &Document{}
	where, err := decode(name, text, d)
	if err != nil {
		return nil, err
	}
	return d, d.check(place{name, where})
}

// ClassOf gives the op type of a command by the longest route that its path begins with, -1 where there is none.
func (d *Document) ClassOf(method, path string) int {
	tree := d.byPath[method]
	if tree == nil {
		return -1
	}
	if _, op, ok := tree.Root().LongestPrefix([]byte(path)); ok {
		return op
	}
	return -1
}
