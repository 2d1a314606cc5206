package rollout

import (
	"fmt"
)

// finish ends the rollout, with the state whole if all instances are ready with the wanted revision r, else with partly.
func (m *Machine) finish(complete, partial State, r Revision) {
	var missing []string
	for _, name := range m.order {
		if i := m.instances[name]; i.silent || i.observed.Revision != r || !i.observed.Ready {
			missing = append(missing, name)
		}
	}
	state := complete
	why := fmt.Sprintf("all %d instances have revision %d", len(m.order), r)
	if len(missing) > 0 {
		state = partial
		why = fmt.Sprintf("revision %d is wanted everywhere; these have yet to take it: %v", r, missing)
	}
	if state == RolledBack || state == PartlyRolledBack {
		why += "; " + m.reason
	}
	m.setState(state, why)
}

// Wanted returns the revision that every instance is to have in the end, as far as is decided; 0 before the first
// rollout.
func (m *Machine) Wanted() Revision {
	switch m.state {
	case RollingBack, RolledBack, PartlyRolledBack:
		return m.previous
	}
	return m.target
}

// InstanceRevision returns the revision that one instance is to run now, 0 for none.
func (m *Machine) InstanceRevision(instance string) Revision {
	if i := m.instances[instance]; i != nil && i.assigned != 0 {
		return i.assigned
	}
	if m.state.Ended() {
		return m.Wanted()
	}
	return m.previous
}

// converge assigns the wanted revision to instances that return or join after the end, within MostAway. Instances that
// have it are not assigned it again.
func (m *Machine) converge() {
	list := m.participants()
	converged := true
	for _, i := range list {
		if !m.convergeInstance(i, list) {
			converged = false
		}
	}
	if !converged || len(list) < len(m.order) {
		return
	}
	switch m.state {
	case PartlyApplied:
		m.setState(Applied, fmt.Sprintf("the last of %d instances has revision %d", len(m.order), m.target))
	case PartlyRolledBack:
		m.setState(RolledBack, fmt.Sprintf("the last of %d instances has revision %d", len(m.order), m.previous))
	}
}

// convergeInstance assigns the wanted revision to an instance of the list if it needs it, and reports whether the
// instance has it.
func (m *Machine) convergeInstance(i *instance, list []*instance) bool {
	r := m.Wanted()
	switch {
	case r == 0:
		return true // nothing is to run
	case i.silent:
		return false
	case i.observed.Revision == r:
		if !i.observed.Ready {
			return false
		}
		if i.phase != PhaseUpdated && i.phase != PhaseRolledBack && i.phase != PhasePending {
			m.settle(i, r)
		}
		return true
	case i.assigned == r && m.elapsed-i.assignedAt < m.policy.ReadyTimeout:
		return false // it is taking it; if it fails to, it is assigned again later
	case !m.mayAssign(i, list):
		return false
	}
	phase := PhaseUpdating
	if r == m.previous {
		phase = PhaseRollingBack
	}
	m.assign(i, r)
	m.setPhase(i, phase, "told after the end")
	return false
}

// settle sets the phase of an instance that is ready with the wanted revision after the end.
func (m *Machine) settle(i *instance, r Revision) {
	phase := PhaseUpdated
	if r == m.previous {
		phase = PhaseRolledBack
	}
	m.setPhase(i, phase, fmt.Sprintf("ready with revision %d", r))
}
