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
	Name             string // the router's name on the platform
	ListenAddress    string // HOST:PORT, like the two below
	DiscoveryAddress string
	PlatformAddress  string
	Seed             uint64
	Cores            float64            // CPU limit of the process, in cores
	MemoryBytes      int64              // memory limit of the process
	Sockets          int                // limit on open file descriptors
	Release          *releases.Update   // nil: none yet
	KnownEndpoints   *discovery.Message // nil: none yet
	Policy           policy.Config
	ClassNames       []string // of Policy.Classes, in the same order
	DialSeconds      float64  // timeout for dialing an endpoint
}

// configFile is the file's JSON format.
type configFile struct {
	Name      string `json:"name" validate:"required"`
	Listen    string `json:"listen" validate:"hostname_port"`
	Discovery string `json:"discovery" validate:"hostname_port"`
	Seed      string `json:"seed" validate:"required"`
	Limits    struct {
		Cores           float64 `json:"cores" validate:"gt=0"`
		MemoryMegabytes float64 `json:"memory_mb" validate:"gte=16"`
		Sockets         int     `json:"sockets" validate:"gte=64"`
	} `json:"limits"`
	Platform struct {
		Address string          `json:"address" validate:"hostname_port"`
		Release json.RawMessage `json:"news"`
	} `json:"platform"`
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings" validate:"required"`
}

const bytesPerMegabyte = 1 << 20

// ReadConfig reads and validates the file. An error of its content names the file and the key.
func ReadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	settings, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return settings, nil
}

// ParseConfig parses and validates the file's text. An error names the key.
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
		return nil, fmt.Errorf("seed: %.32q is no number of 16 hex digits", file.Seed)
	}
	settings := &Config{
		Name:             file.Name,
		ListenAddress:    file.Listen,
		DiscoveryAddress: file.Discovery,
		PlatformAddress:  file.Platform.Address,
		Seed:             seed,
		Cores:            file.Limits.Cores,
		MemoryBytes:      int64(file.Limits.MemoryMegabytes * bytesPerMegabyte),
		Sockets:          file.Limits.Sockets,
	}
	if err := settings.parsePolicy(file.Settings); err != nil {
		return nil, err
	}
	if err := settings.parseState(&file); err != nil {
		return nil, err
	}
	return settings, nil
}

// parsePolicy parses the policy's settings.
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
	c.DialSeconds, err = policyconfig.Seconds(values, "policy_limits.dial_timeout")
	return err
}

// parseState parses the state that the platform knew when it wrote the file: the release and the endpoint list.
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

// needsRestart reports whether other differs from c in a setting that takes effect only at a restart: any but the
// addresses that the router connects to. It ignores the seed, the release and the endpoint list, which are initial
// values only.
func (c *Config) needsRestart(other *Config) bool {
	rest := *other
	rest.DiscoveryAddress, rest.PlatformAddress = c.DiscoveryAddress, c.PlatformAddress
	rest.Seed, rest.Release, rest.KnownEndpoints = c.Seed, c.Release, c.KnownEndpoints
	return !reflect.DeepEqual(*c, rest)
}
