package config

import "flintspread/internal/policy"

// Controller is the file of one controller. Rules, Release and OpTypes are the same as those of its routers.
type Controller struct {
	// Relay is the name by which the endpoint list and the release service know the controller's routers, as one.
	Relay string `edn:"relay" validate:"required,printascii,excludesall= "`
	// MetricsAddress is the HOST:PORT that serves /metrics.
	MetricsAddress string `edn:"admin" validate:"required,hostname_port"`
	// StateDir is the folder that keeps epoch, vote, last release and last endpoint list. Only one controller may use it.
	StateDir string `edn:"state-dir" validate:"required"`
	// Seed makes decisions repeatable. Optional; 0: drawn anew at each start.
	Seed    uint64  `edn:"seed"`
	Log     Log     `edn:"log"`
	Sources Sources `edn:"sources"`
	// Control is a control service that sends the endpoint list, and versions of the routers' document. Optional.
	Control *Control `edn:"control"`
	// Link is where routers connect.
	Link Link `edn:"link"`
	// Health adds the evidence of Prometheus servers to what routers count. Optional.
	Health  *Health        `edn:"health"`
	Rules   Rules          `edn:"rules"`
	Release Release        `edn:"release"`
	Classes []RequestClass `edn:"op-types" validate:"required,min=1,max=256,dive"`

	policy policy.Config
}

// ReadController reads and checks the file of a controller. An error that lies in the text is a *FieldError.
func ReadController(file string) (*Controller, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseController(file, text)
}

// ParseController reads and checks the text of a controller's file. Errors call it by the given file name.
func ParseController(file string, text []byte) (*Controller, error) {
	c := &Controller{}
	positions, err := decode(file, text, c)
	if err != nil {
		return nil, err
	}
	src := source{file, positions}
	if key, problem := c.Link.validate(); key != "" {
		return nil, src.fieldError(":link "+key, problem)
	}
	if err := validateSources(src, &c.Sources, c.Control); err != nil {
		return nil, err
	}
	if c.Health != nil {
		if err := c.Health.validate(src); err != nil {
			return nil, err
		}
	}
	c.policy, err = policyConfig(src, c.Rules, c.Release, c.Classes)
	return c, err
}

// Policy is the configuration of the decision core.
func (c *Controller) Policy() policy.Config { return c.policy }

// Document is the controller's part of the configuration in the form of a version.
func (c *Controller) Document() *Document {
	return &Document{Schema: DocumentSchema, Rules: c.Rules, Release: c.Release, Classes: c.Classes, policy: c.policy}
}
