package lab

import (
	"time"

	"elderyard/internal/lab/load"
)

// Snapshot is the state of a running lab for display.
type Snapshot struct {
	At       time.Duration // since the start of the load
	Of       time.Duration
	Progress load.Progress
	Classes  []string
	Plans    []string
	Gateways []GatewayShot
	Nodes    []NodeShot
	Faults   []string
	Late     int
}

// GatewayShot is the state of one gateway.
type GatewayShot struct {
	Name   string
	State  State
	PeakMB float64
	Files  int
	CPU    time.Duration
	Taken  int
}

// NodeShot is the state of one backend.
type NodeShot struct {
	Name          string
	Held, Waiting int
	Down          bool
}

// Snapshot returns the present state of the lab.
func (l *Lab) Snapshot() Snapshot {
	s := Snapshot{Of: l.site.For, Progress: l.clients.Progress()}
	for _, c := range l.site.classes() {
		s.Classes = append(s.Classes, c.Name)
	}
	for _, p := range l.site.plans() {
		s.Plans = append(s.Plans, p.Name)
	}
	for _, n := range l.nodes {
		held, waiting, down := n.Load()
		s.Nodes = append(s.Nodes, NodeShot{n.ID(), held, waiting, down})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.start.IsZero() {
		s.At = max(0, min(now.Sub(l.start), s.Of))
	}
	for _, g := range l.gateways {
		p := g.process()
		g.mu.Lock()
		state := g.state
		g.mu.Unlock()
		s.Gateways = append(s.Gateways, GatewayShot{g.name, state, p.PeakMB, p.Files, p.CPU, l.requestsByGateway[g.name]})
	}
	for _, f := range l.active {
		if f.permanent || now.Before(f.until) {
			s.Faults = append(s.Faults, f.text)
		}
	}
	s.Late = len(l.late)
	return s
}
