package config

import "olympos.io/encoding/edn"

// Router is the file of one router.
type Router struct {
	// Relay is the name by which the endpoint list and the release service know the router, and all that share its controller.
	Relay string `edn:"relay" validate:"required,printascii,excludesall= "`
	// ListenAddress is the HOST:PORT that clients connect to.
	ListenAddress string `edn:"listen" validate:"required,hostname_port"`
	// MetricsAddress is the HOST:PORT that serves /metrics.
	MetricsAddress string `edn:"admin" validate:"required,hostname_port"`
	// StateDir is the folder that keeps the last endpoint list, the last release and the history of configurations.
	StateDir string `edn:"state-dir" validate:"required"`
	// ReusePort lets other routers on this host listen on the same address. Optional.
	ReusePort bool `edn:"share-port"`
	// Seed makes decisions repeatable: equal seeds and events give equal decisions. Optional; 0: drawn anew at each start.
	Seed uint64 `edn:"seed"`
	Log  Log    `edn:"log"`
	// Sources is for a router without a controller, which asks the release service itself.
	Sources *Sources `edn:"sources"`
	// Controller is for a router that a controller directs. Exactly one of Sources and Controller is given.
	Controller *Link `edn:"planner"`
	// Name tells the router from the others of its controller. Optional; Relay if it is left out.
	Name string `edn:"edge"`
	// Control is a control service that sends the endpoint list and versions of the document. Optional.
	Control *Control `edn:"control"`
	// Overload says what the router does when it is the bottleneck itself. Optional.
	Overload *Overload `edn:"overload"`
	Document

	source source
}

// Overload bounds what a router uses itself.
type Overload struct {
	// Shed rejects requests, those of the lowest priority weight first, when the process falls behind.
	Shed bool `edn:"shed"`
	// MemoryBytes bounds the bytes that connections and messages take. Optional; 0: not bounded.
	MemoryBytes int64 `edn:"memory" validate:"omitempty,gte=1048576"`
}

// Log configures the program's own log.
type Log struct {
	Format edn.Keyword `edn:"format" validate:"oneof=text json"`
	// Level is read again on SIGHUP.
	Level edn.Keyword `edn:"level" validate:"oneof=debug info warn error"`
}

// Sources says where the endpoint list and the release updates come from.
type Sources struct {
	// EndpointListURL is the URL of the endpoint list. It is left out exactly if there is a Control.
	EndpointListURL string `edn:"list" validate:"omitempty,http_url"`
	// ReleaseServiceURL is the URL of the release service: /stage is watched, votes go to /vote.
	ReleaseServiceURL string `edn:"installer" validate:"required,http_url"`
	// SilenceSeconds is the number of seconds without a line after which a watch counts as broken.
	SilenceSeconds float64 `edn:"silence" validate:"gt=0"`
	// BackLeast and BackMost bound the exponential backoff between two connections of a watch, in seconds.
	BackLeast float64 `edn:"back-least" validate:"gt=0"`
	BackMost  float64 `edn:"back-most" validate:"gtefield=BackLeast"`
}

// ReadRouter reads and checks the file of a router. An error that lies in the text is a *FieldError.
func ReadRouter(file string) (*Router, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseRouter(file, text)
}

// ParseRouter reads and checks the text of a router's file. Errors call it by the given file name.
func ParseRouter(file string, text []byte) (*Router, error) {
	r := &Router{}
	positions, err := decode(file, text, r)
	if err != nil {
		return nil, err
	}
	r.source = source{file, positions}
	return r, r.Check()
}

// ConfigWaitSeconds is how long a configuration version may wait for the endpoint list that it belongs with.
func (r *Router) ConfigWaitSeconds() float64 {
	if r.Control == nil {
		return 0
	}
	return r.Control.PairingTimeoutSeconds
}

// Check checks what concerns several fields, and fills what is derived from them. ParseRouter calls it; whoever changes fields of a
// parsed Router calls it again.
func (r *Router) Check() error {
	src := r.source
	if r.Name == "" {
		r.Name = r.Relay
	}
	if err := r.validate(src); err != nil {
		return err
	}
	switch {
	case r.Controller != nil:
		r.policy.HasController = true
		return r.validateWithController(src)
	case r.Sources != nil:
		return validateSources(src, r.Sources, r.Control)
	}
	return src.fieldError(":sources", "missing; without a :planner the edge asks for itself")
}

// validateWithController refuses what a controller decides for its routers.
func (r *Router) validateWithController(src source) error {
	if key, problem := r.Controller.validate(); key != "" {
		return src.fieldError(":planner "+key, problem)
	}
	switch {
	case r.ReusePort && r.Rules.OneWayKeys:
		return src.fieldError(":rules :one-way-keys", "edges that share a port do not know each other's keys")
	case r.Control != nil:
		return src.fieldError(":control", "with a :planner the versions of the settings are the planner's matter")
	case r.Sources != nil:
		return src.fieldError(":sources", "with a :planner the list and the news of releases come from there")
	}
	return nil
}

// validateSources checks that the endpoint list comes from exactly one place, and that a control service can be connected to.
func validateSources(src source, s *Sources, c *Control) error {
	switch {
	case c == nil && s.EndpointListURL == "":
		return src.fieldError(":sources :list", "missing; without a :control it comes from nowhere else")
	case c != nil && s.EndpointListURL != "":
		return src.fieldError(":sources :list", "with a :control the list comes from there")
	case c != nil && c.hasSomeCredentials() && !c.hasAllCredentials():
		return src.fieldError(":control", "of :cert, :key, :ca and :peer all are needed, or none")
	}
	return nil
}
