package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// checkStart returns why a rollout can't start, or "" if it can.
func (m *Machine) checkStart(e Start) (reason string) {
	switch {
	case m.state != Idle && !m.state.Ended():
		return fmt.Sprintf("rollout of revision %d is %s: a second one can't begin", m.target, m.state)
	case e.New == 0 || e.New == e.Previous:
		return fmt.Sprintf("revision %d in place of %d is no change", e.New, e.Previous)
	case e.State != "" && e.State != Advancing && e.State != Paused && e.State != RollingBack && !e.State.Ended():
		return fmt.Sprintf("no rollout goes on as %q", e.State)
	}
	return ""
}

// start begins a rollout or takes one over, see Start.
func (m *Machine) start(e Start) {
	m.target, m.previous, m.baseline = e.New, e.Previous, e.ServiceLevel
	m.wave, m.directionStart, m.lowSince = 0, m.elapsed, noTime
	m.addInstances(e.Instances)
	if e.State == "" {
		m.setState(Advancing, fmt.Sprintf("revision %d is to take the place of %d at %d instances", e.New, e.Previous, len(m.order)))
		return
	}
	m.state, m.reason = e.State, e.Reason
	if m.running() {
		m.resume(e)
	}
}

// addInstances replaces all instances with those of a Start event.
func (m *Machine) addInstances(initial map[string]InitialInstance) {
	m.instances, m.order = map[string]*instance{}, nil
	for name, state := range initial {
		m.instances[name] = m.newInstance(name, state)
		m.order = append(m.order, name)
	}
	slices.SortFunc(m.order, func(a, b string) int { return compareInstances(m.instances[a], m.instances[b]) })
}

// compareInstances orders instances for assignment. Ready ones come first: a canary that was not ready before proves
// nothing about the revision. The rest of the order is by name, so that every machine uses the same one.
func compareInstances(a, b *instance) int {
	if a.observed.Ready != b.observed.Ready {
		if a.observed.Ready {
			return -1
		}
		return 1
	}
	return strings.Compare(a.name, b.name)
}

// resume marks the instances to which the previous machine assigned the new revision. Otherwise InstanceRevision would
// return the previous revision for them until their wave begins.
func (m *Machine) resume(e Start) {
	for _, name := range m.order {
		initial := e.Instances[name]
		if initial.Unreachable || initial.Revision != e.New && initial.Assigned != e.New {
			continue
		}
		inst := m.instances[name]
		inst.assigned = e.New
		inst.assignedAt = m.elapsed
		inst.crashesAtAssignment = initial.Crashes
		inst.unreadyAtAssignment = !initial.Ready
		m.setPhase(inst, PhaseUpdating, "assigned before this machine took over")
	}
}
