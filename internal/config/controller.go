package config

import "flintspread/internal/policy"

// Controller is the settings file of one controller. Rules, Release and Classes must equal those of its routers.
type Controller struct {
	// RouterGroup is the name by which the release service and the control services know the controller's routers.
	RouterGroup string `edn:"relay" validate:"required,printascii,excludesall= "`
	// MetricsAddress is the HOST:PORT on which /metrics is served.
	MetricsAddress string `edn:"admin" validate:"required,hostname_port"`
	// StateDir is the folder for the epoch, the vote, the last release, the last endpoint list and the configuration
	// history. Only one controller may use it at a time.
	StateDir string `edn:"state-dir" validate:"required"`
	// Seed makes decisions repeatable. Optional; 0: a random seed at each start.
	Seed    uint64  `edn:"seed"`
	Log     Log     `edn:"log"`
	Sources Sources `edn:"sources"`
	// Control configures the control services that send the endpoint list and versions of the routers' document.
	// Optional.
	Control *Control `edn:"control"`
	// Link configures the connections of the controller's routers.
	Link Link `edn:"link"`
	// Health adds evidence from Prometheus servers to the routers' counts. Optional.
	Health  *Health        `edn:"health"`
	Rules   Rules          `edn:"rules"`
	Release Release        `edn:"release"`
	Classes []RequestClass `edn:"op-types" validate:"required,min=1,max=256,dive"`

	policy policy.Config
}

// ReadController reads and checks a controller's settings file. An error in the text is a *FieldError.
func ReadController(file string) (*Controller, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseController(file, text)
}

// ParseController parses and checks the text of a controller's settings file. file is the file name in errors.
func ParseController(file string, text []byte) (*Controller, error) {
	c := &Controller{}
	positions, err := decode(file, text, c)
	if err != nil {
		return nil, err
	}
	loc := locator{file, positions}
	if key, problem := c.Link.validate(); key != "" {
		return nil, loc.fieldError(":link "+key, problem)
	}
	if err := validateSources(loc, &c.Sources, c.Control); err != nil {
		return nil, err
	}
	if c.Health != nil {
		if err := c.Health.validate(loc); err != nil {
			return nil, err
		}
	}
	c.policy, err = policyConfig(loc, c.Rules, c.Release, c.Classes)
	return c, err
}

// Policy returns the configuration for package policy.
func (c *Controller) Policy() policy.Config { return c.policy }

// Document returns the controller's settings that a configuration version may replace.
func (c *Controller) Document() *Document {
	return &Document{Schema: DocumentSchema, Rules: c.Rules, Release: c.Release, Classes: c.Classes, policy: c.policy}
}
