// Package config reads what the platform tells a gateway at its start. An agent's front
// reads the same file, so it is no part of the gateway.
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

// Config is what a gateway is told at its start.
type Config struct {
	Name              string
	Listen            string // where clients connect
	Operator          string // where the operators' staff call; empty: nowhere
	StateDir          string // what must outlive an upgrade is kept there; empty: nothing is
	InheritedListener bool   // Listen is a socket that came with the process, shared with others in an upgrade
	Discovery         string
	Counter           string // empty where the deployment has none
	Seed              uint64
	Cores             float64
	MemoryMB          int
	Sockets           int // file descriptors
	InitialBackends   discovery.Listing
	Site              site.Settings // the operator's; the platform says nothing of it
	wire.Deployment
}

// least are the limits below which a gateway can't do its work.
const (
	leastMemoryMB = 16
	leastSockets  = 128
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

// Parse reads the text of a configuration file.
func Parse(text []byte) (Config, error) {
	var raw struct {
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
	return c, c.check()
}

// HalveLimits takes half of the limits: with an inherited socket, two processes run
// side by side during an upgrade, and the limits hold for both together.
func (c *Config) HalveLimits() {
	c.InheritedListener = true
	c.MemoryMB, c.Sockets = max(c.MemoryMB/2, leastMemoryMB), max(c.Sockets/2, leastSockets)
}

// check finds what a gateway could not run with, before any socket is opened.
func (c *Config) check() error {
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
	case c.Cores <= 0 || c.MemoryMB < leastMemoryMB || c.Sockets < leastSockets:
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
