package rollout

import (
	"slices"
	"strings"
)

// Status is a snapshot of a rollout for display.
type Status struct {
	State     State
	Reason    string
	New       Revision
	Previous  Revision
	Desired   Revision         // see Machine.DesiredRevision
	Wave      int              // starting at 1 for the canaries
	Waves     int              // number of waves, including that of the canaries
	Instances []InstanceStatus // sorted by name
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name     string
	Phase    Phase
	Assigned Revision // 0: none
	Observed Observed
	Silent   bool // no report for Policy.SilenceTimeout
}

// Status returns the state of the current rollout or, if it has ended, of the last one.
func (m *Machine) Status() Status {
	status := Status{State: m.state, Reason: m.reason, New: m.target, Previous: m.previous, Desired: m.DesiredRevision(), Wave: m.wave + 1, Waves: len(m.policy.Waves) + 1}
	for _, inst := range m.instances {
		status.Instances = append(status.Instances, InstanceStatus{inst.name, inst.phase, inst.assigned, inst.observed, inst.silent})
	}
	slices.SortFunc(status.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	return status
}
