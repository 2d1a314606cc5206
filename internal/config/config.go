// Package config reads the configuration file that the platform gives a gateway at its
// start. The server for limit commands in an agent reads the same file, so this is not
// part of package gateway.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"

	"elderyard/internal/discovery"
	"elderyard/internal/site"
	"elderyard/internal/wire"
)

// Config is the configuration of a gateway at its start.
type Config struct {
	Name              string
	Listen            string // address for clients
	Operator          string // address for operators; empty: none
	StateDir          string // directory of the state that survives an upgrade; empty: none does
	InheritedListener bool   // the listener of Listen was passed to the process; during an upgrade two processes share it
	Discovery         string
	Counter           string // empty if the deployment has none
	Seed              uint64
	Cores             float64
	MemoryMB          int
	HeapBytes         int64 // what the runtime may use of that; 0: all
	Sockets           int   // file descriptors
	InitialBackends   discovery.Listing
	Site              site.Settings // from the site file, not from the platform
	wire.Deployment
}

// A gateway can't work below these limits.
const (
	minMemoryMB = 16
	minSockets  = 128 // file descriptors
)

// Read reads the configuration file at path.
func Read(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse parses and validates the text of a configuration file.
func Parse(text []byte) (Config, error) {
	var raw struct { // the names of fields without a tag are keys of the file, and appear in errors
		Name, Listen, Operator, Discovery, Counter, Seed string
		Limits                                           struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		Known    discovery.Listing
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	if raw.Settings == nil {
		return Config{}, errors.New("no settings")
	}
	c := Config{Name: raw.Name, Listen: raw.Listen, Operator: raw.Operator, Discovery: raw.Discovery, Counter: raw.Counter,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets, InitialBackends: raw.Known,
		Site: site.Defaults()}
	var err error
	if c.Deployment, err = wire.ParseDeployment(raw.Settings); err != nil {
		return Config{}, err
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	return c, c.validate()
}

// HalveLimits halves the limits, for a process with an inherited listener: during an upgrade
// two processes run side by side, and the limits apply to both together.
func (c *Config) HalveLimits() {
	c.InheritedListener = true
	c.MemoryMB, c.Sockets = max(c.MemoryMB/2, minMemoryMB), max(c.Sockets/2, minSockets)
}

// validate returns an error if a gateway could not run with the configuration. It must be
// called before any socket is opened.
func (c *Config) validate() error {
	addresses := map[string]string{"listen": c.Listen, "discovery": c.Discovery}
	if c.Settings.HasCounter {
		addresses["counter"] = c.Counter
	}
	if c.Operator != "" {
		addresses["operator"] = c.Operator
	}
	for key, address := range addresses {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return fmt.Errorf("%s: %q is not an address with a port", key, address)
		}
	}
	for key, names := range map[string][]string{"class": c.ClassNames, "plan": c.PlanNames} {
		for i, name := range names {
			if name == "" || slices.Contains(names[:i], name) {
				return fmt.Errorf("%s %q: the name is empty or stands twice", key, name)
			}
		}
	}
	switch {
	case c.Cores <= 0 || c.MemoryMB < minMemoryMB || c.Sockets < minSockets:
		return fmt.Errorf("limits: %g cores, %d MB and %d sockets are too little", c.Cores, c.MemoryMB, c.Sockets)
	case c.FleetSize < 1 || c.Rank < 0 || c.Rank >= c.FleetSize:
		return fmt.Errorf("settings: rank %d is not among %d gateways", c.Rank, c.FleetSize)
	case c.Tick <= 0 || c.ConnectTimeout <= 0 || c.KeepaliveTimeout <= 0:
		return errors.New("settings: tick, connect time-out and keep-alive must be above 0")
	case c.Settings.HasCounter && c.CounterTimeout <= 0:
		return errors.New("settings: the counter's time-out must be above 0")
	}
	return nil
}
