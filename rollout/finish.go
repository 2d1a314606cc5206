package rollout

import "fmt"

// finish ends the rollout, in the state complete if all instances are ready with the wanted revision, else in partial.
func (m *Machine) finish(complete, partial State, wanted Revision) {
	var missing []string
	for _, name := range m.order {
		if inst := m.instances[name]; inst.silent || inst.observed.Revision != wanted || !inst.observed.Ready {
			missing = append(missing, name)
		}
	}
	state := complete
	reason := fmt.Sprintf("all %d instances have revision %d", len(m.order), wanted)
	if len(missing) > 0 {
		state = partial
		reason = fmt.Sprintf("revision %d is wanted everywhere; these have yet to take it: %v", wanted, missing)
	}
	if state == RolledBack || state == PartlyRolledBack {
		reason += "; " + m.reason
	}
	m.setState(state, reason)
}

// DesiredRevision returns the revision that all instances converge to by the present state: the previous one once the rollout is
// rolled back, else the new one. It is 0 before the first rollout.
func (m *Machine) DesiredRevision() Revision {
	switch m.state {
	case RollingBack, RolledBack, PartlyRolledBack:
		return m.previous
	}
	return m.target
}

// InstanceRevision returns the revision that an instance should run now, 0 for none. An instance that is unknown gets the
// previous revision until the rollout has ended.
func (m *Machine) InstanceRevision(instance string) Revision {
	if inst := m.instances[instance]; inst != nil && inst.assigned != 0 {
		return inst.assigned
	}
	if m.state.Ended() {
		return m.DesiredRevision()
	}
	return m.previous
}

// converge assigns the wanted revision to instances that return or join after the end, within MaxUnavailable. Instances
// that have it are not assigned it again.
func (m *Machine) converge() {
	list := m.participants()
	converged := true
	for _, inst := range list {
		if !m.convergeInstance(inst, list) {
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
func (m *Machine) convergeInstance(inst *instance, list []*instance) bool {
	wanted := m.DesiredRevision()
	switch {
	case wanted == 0:
		return true // nothing is to run
	case inst.silent:
		return false
	case inst.observed.Revision == wanted:
		if !inst.observed.Ready {
			return false
		}
		if inst.phase != PhaseUpdated && inst.phase != PhaseRolledBack && inst.phase != PhasePending {
			m.settle(inst, wanted)
		}
		return true
	case inst.assigned == wanted && m.elapsed-inst.assignedAt < m.policy.ReadyTimeout:
		return false // it is updating; if it does not become ready in time, it is assigned again
	case !m.mayAssign(inst, list):
		return false
	}
	phase := PhaseUpdating
	if wanted == m.previous {
		phase = PhaseRollingBack
	}
	m.assign(inst, wanted)
	m.setPhase(inst, phase, "told after the end")
	return false
}

// settle sets the phase of an instance that is ready with the wanted revision after the end.
func (m *Machine) settle(inst *instance, wanted Revision) {
	phase := PhaseUpdated
	if wanted == m.previous {
		phase = PhaseRolledBack
	}
	m.setPhase(inst, phase, fmt.Sprintf("ready with revision %d", wanted))
}
