package rollout

import (
	"slices"
	"strings"
)

// Status is the state of a rollout for display.
type Status struct {
	State     State
	Reason    string
	New       Revision
	Previous  Revision
	Wanted    Revision
	Wave      int // from 1
	Waves     int
	Instances []InstanceStatus // by name
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name     string
	Phase    Phase
	Assigned Revision // assigned revision; 0: none
	Observed Observed
	Silent   bool
}

// Status returns the present state of the rollout.
func (m *Machine) Status() Status {
	s := Status{State: m.state, Reason: m.reason, New: m.target, Previous: m.previous, Wanted: m.Wanted(), Wave: m.wave + 1, Waves: len(m.policy.Waves) + 1}
	for _, i := range m.instances {
		s.Instances = append(s.Instances, InstanceStatus{i.name, i.phase, i.assigned, i.observed, i.silent})
	}
	slices.SortFunc(s.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}
