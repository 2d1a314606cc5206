package rollout

import "fmt"

// finish ends the rollout: in state complete if all instances are ready with the desired revision, otherwise in
// partial.
func (m *Machine) finish(complete, partial State, desired Revision) {
	var missing []string
	for _, name := range m.order {
		if inst := m.instances[name]; inst.silent || inst.observed.Revision != desired || !inst.observed.Ready {
			missing = append(missing, name)
		}
	}
	state := complete
	reason := fmt.Sprintf("all %d instances have revision %d", len(m.order), desired)
	if len(missing) > 0 {
		state = partial
		reason = fmt.Sprintf("revision %d is wanted everywhere; these have yet to take it: %v", desired, missing)
	}
	if state == RolledBack || state == PartlyRolledBack {
		reason += "; " + m.reason
	}
	m.setState(state, reason)
}

// DesiredRevision returns the revision to which all instances converge: the previous one from the start of a rollback
// on, otherwise the new one. It is 0 before the first rollout.
func (m *Machine) DesiredRevision() Revision {
	switch m.state {
	case RollingBack, RolledBack, PartlyRolledBack:
		return m.previous
	}
	return m.target
}

// InstanceRevision returns the revision that an instance should run now, 0 for none. For an unknown instance it is the
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

// converge assigns the desired revision to instances that return or join after the end of the rollout, within
// MaxUnavailable. Instances that have it are not assigned it again.
func (m *Machine) converge() {
	participants := m.participants()
	converged := true
	for _, inst := range participants {
		if !m.convergeInstance(inst, participants) {
			converged = false
		}
	}
	if !converged || len(participants) < len(m.order) {
		return
	}
	switch m.state {
	case PartlyApplied:
		m.setState(Applied, fmt.Sprintf("the last of %d instances has revision %d", len(m.order), m.target))
	case PartlyRolledBack:
		m.setState(RolledBack, fmt.Sprintf("the last of %d instances has revision %d", len(m.order), m.previous))
	}
}

// convergeInstance assigns the desired revision to a participant that needs it, and reports whether the instance has
// it.
func (m *Machine) convergeInstance(inst *instance, participants []*instance) bool {
	desired := m.DesiredRevision()
	switch {
	case desired == 0:
		return true // nothing is to run
	case inst.silent:
		return false
	case inst.observed.Revision == desired:
		if !inst.observed.Ready {
			return false
		}
		if inst.phase != PhaseUpdated && inst.phase != PhaseRolledBack && inst.phase != PhasePending {
			m.markConverged(inst, desired)
		}
		return true
	case inst.assigned == desired && m.elapsed-inst.assignedAt < m.policy.ReadyTimeout:
		return false // updating; if it is not ready in time, it is assigned the revision again
	case !m.mayAssign(inst, participants):
		return false
	}
	phase := PhaseUpdating
	if desired == m.previous {
		phase = PhaseRollingBack
	}
	m.assign(inst, desired)
	m.setPhase(inst, phase, "assigned after the end of the rollout")
	return false
}

// markConverged sets the phase of an instance that is ready with the desired revision after the end of the rollout.
func (m *Machine) markConverged(inst *instance, desired Revision) {
	phase := PhaseUpdated
	if desired == m.previous {
		phase = PhaseRolledBack
	}
	m.setPhase(inst, phase, fmt.Sprintf("ready with revision %d", desired))
}
