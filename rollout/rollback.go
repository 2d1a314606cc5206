package rollout

import "fmt"

// rollBack starts a rollback. continueRollback then assigns the previous revision to the instances: during the same
// event if the event itself caused the rollback, during the next one if a gate did.
func (m *Machine) rollBack(reason string) {
	m.setState(RollingBack, reason)
	m.directionStart = m.elapsed
	for _, name := range m.order {
		inst := m.instances[name]
		if inst.assigned == 0 {
			continue
		}
		inst.unconfirmed = inst.readySince < 0
		inst.assigned = 0 // until continueRollback assigns the previous revision
		inst.readySince = noTime
	}
}

// continueRollback assigns the previous revision to instances that may have the new one, within MaxUnavailable.
func (m *Machine) continueRollback() {
	if m.previous == 0 {
		m.setState(RolledBack, "there is no revision before: nothing is to run; "+m.reason)
		return
	}
	participants := m.participants()
	pending := 0
	for _, inst := range participants {
		if m.rollBackInstance(inst, participants) {
			pending++
		}
	}
	overdue := m.elapsed-m.directionStart > m.policy.RollbackTimeout
	if pending == 0 || overdue {
		m.finish(RolledBack, PartlyRolledBack, m.previous)
	}
}

// rollBackInstance rolls back one participant if necessary, and reports whether the rollback must wait for it.
func (m *Machine) rollBackInstance(inst *instance, participants []*instance) (pending bool) {
	switch {
	case inst.assigned == m.previous && inst.readySince >= 0:
		if inst.phase != PhaseRolledBack {
			m.setPhase(inst, PhaseRolledBack, fmt.Sprintf("ready with revision %d", m.previous))
		}
		return false
	case inst.silent:
		return false
	case inst.assigned == m.previous:
		return true
	case inst.reported && inst.observed.Revision == m.previous && inst.phase == PhasePending:
		return false // it was never assigned the new revision
	case !m.mayAssign(inst, participants):
		return true
	}
	m.assign(inst, m.previous)
	m.setPhase(inst, PhaseRollingBack, fmt.Sprintf("rolling back to revision %d", m.previous))
	return true
}
