package rollout

import "fmt"

// checkGates rolls back if the rollout has exceeded its timeout, or if an instance that was assigned the new revision
// fails a condition of the policy.
func (m *Machine) checkGates() {
	if m.elapsed-m.directionStart > m.policy.Timeout {
		m.rollBack(fmt.Sprintf("it took longer than %v", m.policy.Timeout))
		return
	}
	silent := 0
	for _, name := range m.order {
		inst := m.instances[name]
		if inst.assigned != m.target {
			continue
		}
		if inst.silent {
			silent++
			continue
		}
		if failure := m.checkInstance(inst); failure != "" {
			m.rollBack(failure)
			return
		}
	}
	if silent > m.policy.MaxSilent {
		m.rollBack(fmt.Sprintf("%d instances that were told are silent, and %d may be", silent, m.policy.MaxSilent))
	}
}

// checkInstance updates the phase of an instance that was assigned the new revision. It returns why the rollout must be
// rolled back, or "" if it need not be.
func (m *Machine) checkInstance(inst *instance) (failure string) {
	switch {
	case inst.unreadyAtAssignment:
		m.checkUnreadyAtAssignment(inst)
	case inst.observed.Crashes > inst.crashesAtAssignment:
		m.setPhase(inst, PhaseFailed, "process ended unexpectedly")
		return fmt.Sprintf("%s ended unasked with revision %d", inst.name, m.target)
	case inst.readySince < 0:
		return m.checkReadyDeadline(inst)
	case m.soaked(inst):
		m.setPhase(inst, PhaseUpdated, fmt.Sprintf("ready and without a crash for %v", m.policy.SoakDuration))
	case inst.phase == PhaseUpdating:
		m.setPhase(inst, PhaseSoaking, "ready")
	}
	return ""
}

// checkReadyDeadline checks whether an instance that is not ready is past ReadyTimeout. It returns why the rollout must
// be rolled back, or "" if it need not be.
func (m *Machine) checkReadyDeadline(inst *instance) (failure string) {
	if m.elapsed-inst.assignedAt <= m.policy.ReadyTimeout {
		return ""
	}
	if inst.phase == PhaseUpdated {
		// It was ready before, so ReadyTimeout counts from when it was first found not ready.
		inst.assignedAt = m.elapsed
		m.setPhase(inst, PhaseUpdating, "no longer ready")
		return ""
	}
	m.setPhase(inst, PhaseFailed, fmt.Sprintf("not ready within %v", m.policy.ReadyTimeout))
	return fmt.Sprintf("%s was not ready with revision %d within %v", inst.name, m.target, m.policy.ReadyTimeout)
}

// soaked reports whether an instance has been ready for SoakDuration.
func (m *Machine) soaked(inst *instance) bool {
	return inst.readySince >= 0 && m.elapsed-inst.readySince >= m.policy.SoakDuration
}

// checkUnreadyAtAssignment updates the phase of an instance that was not ready at its assignment. The instance may
// recover, but its failure never causes a rollback.
func (m *Machine) checkUnreadyAtAssignment(inst *instance) {
	switch {
	case m.soaked(inst):
		inst.unreadyAtAssignment, inst.crashesAtAssignment = false, inst.observed.Crashes
		m.setPhase(inst, PhaseUpdated, fmt.Sprintf("not ready at its assignment, but ready for %v since", m.policy.SoakDuration))
	case m.elapsed-inst.assignedAt > m.policy.ReadyTimeout+m.policy.SoakDuration && inst.phase != PhaseFailed:
		m.setPhase(inst, PhaseFailed, "not ready at its assignment, and has not recovered")
	}
}
