package agent

import (
	"context"
	"path/filepath"
	"slices"
	"strings"

	"elderyard/fleet"
	"elderyard/internal/peers"
	"elderyard/internal/process"
)

// Limits of an instance's membership view in a report.
const (
	maxMembershipLineBytes = 256
	maxUnreachable         = 64 // names
)

// instanceDir returns the directory of an instance's files.
func (c *Config) instanceDir(name string) string { return filepath.Join(c.Dir, "instances", name) }

// processOptions returns the options of the process of an instance.
func (a *Agent) processOptions(entry InstanceEntry) process.Options {
	options := process.Options{Name: entry.Name, Listen: entry.Listen, Dir: a.config.instanceDir(entry.Name), Program: a.config.Gateway,
		Env: entry.Env, Policy: a.config.supervision(), Log: a.log}
	if a.config.Roster {
		// Must precede the entry's own variables, which override it.
		options.Env = append([]string{peers.RosterVariable + "=" + a.config.rosterPath()}, entry.Env...)
		if address := entry.adminAddress(); address != "" {
			options.QueryMembership = func(ctx context.Context) process.MembershipView { return queryMembership(ctx, address) }
		}
	}
	return options
}

// adminAddress returns the address of the instance's admin interface from its environment,
// or "" if it has none. The last setting wins, as in the process.
func (e *InstanceEntry) adminAddress() string {
	for _, v := range slices.Backward(e.Env) {
		if address, found := strings.CutPrefix(v, "EDGE_OPERATOR="); found {
			return address
		}
	}
	return ""
}

// queryMembership returns the view of the other members from the gateway with this admin
// interface, or the zero value if it does not respond.
func queryMembership(ctx context.Context, address string) (view process.MembershipView) {
	answer, err := peers.QueryStatus(ctx, address)
	if err != nil {
		return process.MembershipView{}
	}
	for _, v := range answer.View.Members {
		if v.IsMember && !v.State.Alive() && len(view.Unreachable) < maxUnreachable {
			view.Unreachable = append(view.Unreachable, v.Name)
		}
	}
	view.Line = fleet.Truncate(answer.View.Line(answer.View.At), maxMembershipLineBytes)
	return view
}
