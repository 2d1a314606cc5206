package rollout

import (
	"fmt"
)

// rollBack starts a rollback for all instances that may have the new revision.
func (m *Machine) rollBack(why string) {
	m.setState(RollingBack, why)
	m.directionStart = m.elapsed
	for _, name := range m.order {
		i := m.instances[name]
		if i.assigned == 0 {
			continue
		}
		i.unconfirmed = i.readySince < 0
		i.assigned = 0 // until continueRollback assigns the previous revision
		i.readySince = noTime
	}
}

// continueRollback assigns the previous revision to instances that may have the new one, within MostAway.
func (m *Machine) continueRollback() {
	if m.previous == 0 {
		m.setState(RolledBack, "there is no revision before: nothing is to run; "+m.reason)
		return
	}
	list := m.participants()
	pending := 0
	for _, i := range list {
		if m.rollBackInstance(i, list) {
			pending++
		}
	}
	overdue := m.elapsed-m.directionStart > m.policy.RollbackTimeout
	if pending == 0 || overdue {
		m.finish(RolledBack, PartlyRolledBack, m.previous)
	}
}

// rollBackInstance rolls back one instance of the list if it needs to, and reports whether it must be waited for.
func (m *Machine) rollBackInstance(i *instance, list []*instance) (pending bool) {
	switch {
	case i.assigned == m.previous && i.readySince >= 0:
		if i.phase != PhaseRolledBack {
			m.setPhase(i, PhaseRolledBack, fmt.Sprintf("ready with revision %d", m.previous))
		}
		return false
	case i.silent:
		return false
	case i.assigned == m.previous:
		return true
	case i.reported && i.observed.Revision == m.previous && i.phase == PhasePending:
		return false // it was never assigned the new revision
	case !m.mayAssign(i, list):
		return true
	}
	m.assign(i, m.previous)
	m.setPhase(i, PhaseRollingBack, fmt.Sprintf("told to go back to revision %d", m.previous))
	return true
}
