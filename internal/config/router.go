package config

import "olympos.io/encoding/edn"

// Router is the settings file of one router.
type Router struct {
	// RouterGroup is the name by which the release service and the control services know the router, together with all
	// routers of its controller.
	RouterGroup string `edn:"relay" validate:"required,printascii,excludesall= "`
	// ListenAddress is the HOST:PORT that clients connect to.
	ListenAddress string `edn:"listen" validate:"required,hostname_port"`
	// MetricsAddress is the HOST:PORT on which /metrics is served.
	MetricsAddress string `edn:"admin" validate:"required,hostname_port"`
	// StateDir is the folder for the last endpoint list, the last release and the configuration history.
	StateDir string `edn:"state-dir" validate:"required"`
	// ReusePort lets other routers on this host listen on the same address. Optional.
	ReusePort bool `edn:"share-port"`
	// Seed makes decisions repeatable: equal seeds and events lead to equal decisions. Optional; 0: a random seed at each
	// start.
	Seed uint64 `edn:"seed"`
	Log  Log    `edn:"log"`
	// Sources configures a router without a controller, which follows the endpoint list and the release service itself.
	Sources *Sources `edn:"sources"`
	// Controller configures the connection to the router's controller. Exactly one of Sources and Controller must be set.
	Controller *Link `edn:"planner"`
	// Name identifies the router among those of its controller. Optional; the default is RouterGroup.
	Name string `edn:"edge"`
	// Control configures the control services that send the endpoint list and versions of the document. Optional.
	Control *Control `edn:"control"`
	// Overload configures the router's protection against its own overload. Optional.
	Overload *Overload `edn:"overload"`
	Document

	locator locator
}

// Overload configures how a router behaves when it is the bottleneck itself.
type Overload struct {
	// Shed enables load shedding: when the process falls behind, requests are rejected, those with the lowest priority
	// weight first.
	Shed bool `edn:"shed"`
	// MemoryBytes bounds the memory used by connections and messages. Optional; 0: unlimited.
	MemoryBytes int64 `edn:"memory" validate:"omitempty,gte=1048576"`
	// ConnMemoryBytes is the part of MemoryBytes for connections; the rest is for messages. 0: half. It cannot be set in a
	// file.
	ConnMemoryBytes int64 `edn:"-"`
	// SocketBufferBytes bounds what the kernel holds for a client connection in each direction; it takes up to twice as
	// much memory for it. Optional; 0: the kernel decides.
	SocketBufferBytes int `edn:"socket-buffer" validate:"omitempty,gte=4096"`
}

// Log configures the program's own log.
type Log struct {
	Format edn.Keyword `edn:"format" validate:"oneof=text json"`
	// Level is reloaded on SIGHUP.
	Level edn.Keyword `edn:"level" validate:"oneof=debug info warn error"`
}

// Sources configures the sources of the endpoint list and of release updates.
type Sources struct {
	// EndpointListURL is the URL of the endpoint list. It must be set if and only if there is no Control.
	EndpointListURL string `edn:"list" validate:"omitempty,http_url"`
	// ReleaseServiceURL is the URL of the release service: /stage is watched, votes go to /vote.
	ReleaseServiceURL string `edn:"installer" validate:"required,http_url"`
	// SilenceSeconds is the time without a line after which a watch is considered broken.
	SilenceSeconds float64 `edn:"silence" validate:"gt=0"`
	// BackoffMinSeconds and BackoffMaxSeconds bound the exponential backoff between connections of a watch.
	BackoffMinSeconds float64 `edn:"back-least" validate:"gt=0"`
	BackoffMaxSeconds float64 `edn:"back-most" validate:"gtefield=BackoffMinSeconds"`
}

// ReadRouter reads and checks a router's settings file. An error in the text is a *FieldError.
func ReadRouter(file string) (*Router, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseRouter(file, text)
}

// ParseRouter parses and checks the text of a router's settings file. file is the file name in errors.
func ParseRouter(file string, text []byte) (*Router, error) {
	r := &Router{}
	positions, err := decode(file, text, r)
	if err != nil {
		return nil, err
	}
	r.locator = locator{file, positions}
	return r, r.Check()
}

// RequiredListTimeoutSeconds returns how long a configuration version may wait for the endpoint list that it requires.
// It is 0 without a control service.
func (r *Router) RequiredListTimeoutSeconds() float64 {
	if r.Control == nil {
		return 0
	}
	return r.Control.RequiredListTimeoutSeconds
}

// Check checks fields against each other, and sets the derived fields. ParseRouter calls it; call it again after changing
// fields of a parsed Router.
func (r *Router) Check() error {
	loc := r.locator
	if r.Name == "" {
		r.Name = r.RouterGroup
	}
	if err := r.validate(loc); err != nil {
		return err
	}
	switch {
	case r.Controller != nil:
		r.policy.HasController = true
		return r.validateWithController(loc)
	case r.Sources != nil:
		return validateSources(loc, r.Sources, r.Control)
	}
	return loc.fieldError(":sources", "missing; a router without :planner needs :sources")
}

// validateWithController rejects settings that the controller decides for its routers.
func (r *Router) validateWithController(loc locator) error {
	if key, problem := r.Controller.validate(); key != "" {
		return loc.fieldError(":planner "+key, problem)
	}
	switch {
	case r.ReusePort && r.Rules.OneWayKeys:
		return loc.fieldError(":rules :one-way-keys", "must be false with :share-port; routers that share a port do not know each other's keys")
	case r.Control != nil:
		return loc.fieldError(":control", "not allowed with :planner; the controller sends the configuration versions")
	case r.Sources != nil:
		return loc.fieldError(":sources", "not allowed with :planner; the controller sends the endpoint list and the release updates")
	}
	return nil
}

// validateSources checks that the endpoint list has exactly one source, and that the control services' credentials are
// complete.
func validateSources(loc locator, s *Sources, c *Control) error {
	switch {
	case c == nil && s.EndpointListURL == "":
		return loc.fieldError(":sources :list", "missing; required without :control, which would send the endpoint list")
	case c != nil && s.EndpointListURL != "":
		return loc.fieldError(":sources :list", "not allowed with :control, which sends the endpoint list")
	case c != nil && c.hasSomeCredentials() && !c.hasAllCredentials():
		return loc.fieldError(":control", "needs all of :cert, :key, :ca and :peer, or none of them")
	}
	return nil
}
