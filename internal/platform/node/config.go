package node

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"

	"flintspread/internal/config"
	"flintspread/internal/platform/control"
	"flintspread/internal/platform/discovery"
	"flintspread/internal/policy"
	"flintspread/internal/policyconfig"
	"flintspread/internal/releases"
)

// Config is a router's configuration, as read from the file that the platform provides.
type Config struct {
	Name               string // the router's name on the platform
	ListenAddress      string // for clients; HOST:PORT
	DiscoveryAddress   string // of the discovery service; HOST:PORT
	PlatformAddress    string // of the control service; HOST:PORT
	Seed               uint64 // for random numbers
	CPULimitCores      float64
	MemoryLimitBytes   int64
	MaxFileDescriptors int
	Release            *releases.Update   // initial release state; nil if the file has none
	KnownEndpoints     *discovery.Message // initial endpoint list; nil if the file has none
	Policy             policy.Config
	ClassNames         []string // names of Policy.Classes, in the same order
	DialTimeoutSeconds float64  // for connections to endpoints
}

// configFile is the JSON format of the configuration file.
type configFile struct {
	Name      string `json:"name" validate:"required"`
	Listen    string `json:"listen" validate:"hostname_port"`
	Discovery string `json:"discovery" validate:"hostname_port"`
	Seed      string `json:"seed" validate:"required"`
	Limits    struct {
		Cores              float64 `json:"cores" validate:"gt=0"`
		MemoryMegabytes    float64 `json:"memory_mb" validate:"gte=16"`
		MaxFileDescriptors int     `json:"sockets" validate:"gte=64"`
	} `json:"limits"`
	Platform struct {
		Address string          `json:"address" validate:"hostname_port"`
		Release json.RawMessage `json:"news"`
	} `json:"platform"`
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings" validate:"required"`
}

const bytesPerMegabyte = 1 << 20

// ReadConfig reads and validates a configuration file. An error names the file and, if a value is invalid, its key.
func ReadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return cfg, nil
}

// ParseConfig parses and validates the text of a configuration file. If a value is invalid, the error names its key.
func ParseConfig(text []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if err := config.CheckJSON(&file); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %.32q is not a number of up to 16 hexadecimal digits", file.Seed)
	}
	cfg := &Config{
		Name:               file.Name,
		ListenAddress:      file.Listen,
		DiscoveryAddress:   file.Discovery,
		PlatformAddress:    file.Platform.Address,
		Seed:               seed,
		CPULimitCores:      file.Limits.Cores,
		MemoryLimitBytes:   int64(file.Limits.MemoryMegabytes * bytesPerMegabyte),
		MaxFileDescriptors: file.Limits.MaxFileDescriptors,
	}
	if err := cfg.parsePolicy(file.Settings); err != nil {
		return nil, err
	}
	if err := cfg.parseState(&file); err != nil {
		return nil, err
	}
	return cfg, nil
}

// parsePolicy parses the settings of the policy and of the request classes, and the dial timeout.
func (c *Config) parsePolicy(text json.RawMessage) error {
	values, err := policyconfig.ParseJSON(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Policy, err = policyconfig.Decode(values); err != nil {
		return err
	}
	if c.ClassNames, err = policyconfig.ClassNames(values); err != nil {
		return err
	}
	c.DialTimeoutSeconds, err = policyconfig.Seconds(values, "policy_limits.dial_timeout")
	return err
}

// parseState parses the initial state in the file: the release and the endpoint list that the platform knew when it
// wrote the file.
func (c *Config) parseState(file *configFile) (err error) {
	if c.Release, err = control.ParseRelease(file.Platform.Release, len(c.Policy.StageShares)); err != nil {
		return fmt.Errorf("platform.news: %w", err)
	}
	if len(file.KnownEndpoints) == 0 || string(file.KnownEndpoints) == "null" {
		return nil
	}
	if c.KnownEndpoints, err = discovery.Parse(file.KnownEndpoints); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// needsRestart reports whether other differs from c in a value that takes effect only at a restart: any except the
// addresses that the router connects to. It ignores the seed, the release and the endpoint list, which are used only
// as initial values.
func (c *Config) needsRestart(other *Config) bool {
	compared := *other
	compared.DiscoveryAddress, compared.PlatformAddress = c.DiscoveryAddress, c.PlatformAddress
	compared.Seed, compared.Release, compared.KnownEndpoints = c.Seed, c.Release, c.KnownEndpoints
	return !reflect.DeepEqual(*c, compared)
}
