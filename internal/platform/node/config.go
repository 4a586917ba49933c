package node

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"flintspread/internal/config"
	"flintspread/internal/platform/control"
	"flintspread/internal/platform/discovery"
	"flintspread/internal/policy"
	"flintspread/internal/policyconfig"
	"flintspread/internal/releases"
)

// Config is what the platform tells a relay in one file.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Platform  string
	Seed      uint64
	Cores     float64
	Memory    int64 // bytes
	Sockets   int
	News      *releases.Update   // nil: none yet
	Known     *discovery.Message // nil: no list yet
	Terms     policy.Config
	Ops       []string // the names of the terms' op types
	Dial      float64  // s that a connection to a unit may take
}

// ReadConfig reads and checks the file whole. An error names file and key.
func ReadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	t, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return t, nil
}

// ParseConfig reads the file's text.
func ParseConfig(text []byte) (*Config, error) {
	var f struct {
		Name      string `json:"name" validate:"required"`
		Listen    string `json:"listen" validate:"hostname_port"`
		Discovery string `json:"discovery" validate:"hostname_port"`
		Seed      string `json:"seed" validate:"required"`
		Limits    struct {
			Cores   float64 `json:"cores" validate:"gt=0"`
			Memory  float64 `json:"memory_mb" validate:"gte=16"`
			Sockets int     `json:"sockets" validate:"gte=64"`
		} `json:"limits"`
		Platform struct {
			Address string          `json:"address" validate:"hostname_port"`
			News    json.RawMessage `json:"news"`
		} `json:"platform"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings" validate:"required"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	t := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Platform: f.Platform.Address, Cores: f.Limits.Cores,
		Memory: int64(f.Limits.Memory * (1 << 20)), Sockets: f.Limits.Sockets}
	if err := config.CheckJSON(&f); err != nil {
		return nil, err
	}
	var err error
	if t.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %.32q is no number of 16 hex digits", f.Seed)
	}
	pairs, err := policyconfig.ParseJSON(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if t.Terms, err = policyconfig.Decode(pairs); err != nil {
		return nil, err
	}
	if t.Ops, err = policyconfig.ClassNames(pairs); err != nil {
		return nil, err
	}
	if t.Dial, err = policyconfig.Seconds(pairs, "policy_limits.dial_timeout"); err != nil {
		return nil, err
	}
	if t.News, err = control.ParseNews(f.Platform.News, len(t.Terms.StageShares)); err != nil {
		return nil, fmt.Errorf("platform.news: %w", err)
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if t.Known, err = discovery.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return t, nil
}
