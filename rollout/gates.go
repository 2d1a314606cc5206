package rollout

import "fmt"

// checkGates checks the deadline and the instances that were assigned the new revision, and rolls back if a condition of
// the policy is not met.
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

// checkInstance updates the phase of an instance that was assigned the new revision. It returns why the rollout must
// be rolled back, "" if it need not.
func (m *Machine) checkInstance(inst *instance) (failure string) {
	switch {
	case inst.startedUnready:
		m.checkStartedUnready(inst)
	case inst.observed.Crashes > inst.crashesBefore:
		m.setPhase(inst, PhaseFailed, "it ended unasked")
		return fmt.Sprintf("%s ended unasked with revision %d", inst.name, m.target)
	case inst.readySince < 0:
		return m.checkReadyDeadline(inst)
	case m.soaked(inst):
		m.setPhase(inst, PhaseUpdated, fmt.Sprintf("ready and without a crash for %v", m.policy.SoakDuration))
	case inst.phase == PhaseUpdating:
		m.setPhase(inst, PhaseSoaking, "it is ready")
	}
	return ""
}

// checkReadyDeadline checks an instance that is not ready. It returns why the rollout must be rolled back, "" if it need
// not.
func (m *Machine) checkReadyDeadline(inst *instance) (failure string) {
	if m.elapsed-inst.assignedAt <= m.policy.ReadyTimeout {
		return ""
	}
	if inst.phase == PhaseUpdated {
		// It was ready before, so ReadyTimeout counts from when it was found unready.
		inst.assignedAt = m.elapsed
		m.setPhase(inst, PhaseUpdating, "it is not ready any more")
		return ""
	}
	m.setPhase(inst, PhaseFailed, fmt.Sprintf("not ready within %v", m.policy.ReadyTimeout))
	return fmt.Sprintf("%s was not ready with revision %d within %v", inst.name, m.target, m.policy.ReadyTimeout)
}

// soaked reports whether an instance has been ready for the policy's SoakDuration.
func (m *Machine) soaked(inst *instance) bool {
	return inst.readySince >= 0 && m.elapsed-inst.readySince >= m.policy.SoakDuration
}

// checkStartedUnready updates the phase of an instance that was not ready at its assignment. It may recover, and never
// causes a rollback.
func (m *Machine) checkStartedUnready(inst *instance) {
	switch {
	case m.soaked(inst):
		inst.startedUnready, inst.crashesBefore = false, inst.observed.Crashes
		m.setPhase(inst, PhaseUpdated, fmt.Sprintf("it was not ready before, and has been for %v", m.policy.SoakDuration))
	case m.elapsed-inst.assignedAt > m.policy.ReadyTimeout+m.policy.SoakDuration && inst.phase != PhaseFailed:
		m.setPhase(inst, PhaseFailed, "it was not ready before it was told, and is not well now")
	}
}
