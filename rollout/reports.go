package rollout

import (
	"fmt"
	"slices"
)

// handleReport processes the report of an instance.
func (m *Machine) handleReport(report InstanceReported) {
	inst := m.instances[report.Instance]
	if inst == nil {
		inst = &instance{name: report.Instance, phase: PhasePending, readySince: noTime, unavailableSince: m.elapsed}
		m.instances[report.Instance] = inst
		m.order = append(m.order, report.Instance)
		m.setPhase(inst, PhasePending, "joined the site")
	}
	if inst.silent {
		inst.silent = false
		if inst.phase == PhaseSilent {
			m.handleReturn(inst, report.Observed)
		}
	}
	if inst.observed.Ready && !report.Ready {
		inst.unavailableSince = m.elapsed
	}
	inst.observed, inst.reported, inst.lastReportAt = report.Observed, true, m.elapsed
	if report.Ready && report.Revision == m.target {
		inst.unconfirmed = false
	}
	if inst.assigned == 0 || report.Revision != inst.assigned || !report.Ready {
		inst.readySince = noTime
	} else if inst.readySince < 0 {
		inst.readySince = m.elapsed
	}
}

// handleReturn processes the first report of an instance that was silent.
func (m *Machine) handleReturn(inst *instance, observed Observed) {
	const reason = "reporting again"
	if inst.assigned == 0 {
		m.setPhase(inst, PhasePending, reason)
		return
	}
	inst.assignedAt, inst.readySince = m.elapsed, noTime // ReadyTimeout restarts: the assignment may be lost
	if m.state == RollingBack || m.state == RolledBack || m.state == PartlyRolledBack {
		m.setPhase(inst, PhaseRollingBack, reason)
		return
	}
	inst.crashesAtAssignment = observed.Crashes
	m.setPhase(inst, PhaseUpdating, reason)
}

// handleRejection processes an instance's rejection of a revision, see Rejected.
func (m *Machine) handleRejection(e Rejected) {
	inst := m.instances[e.Instance]
	if inst == nil || e.Revision != inst.assigned || inst.assigned == 0 {
		return // it rejects an earlier assignment
	}
	inst.lastReportAt = m.elapsed
	m.setPhase(inst, PhaseRejected, e.Reason)
	if m.running() {
		m.rollBack(fmt.Sprintf("%s refused revision %d: %s", e.Instance, e.Revision, e.Reason))
	}
}

// handleRemoval drops an instance that was removed from the site.
func (m *Machine) handleRemoval(e InstanceRemoved) {
	if m.instances[e.Instance] == nil {
		return
	}
	delete(m.instances, e.Instance)
	m.order = slices.DeleteFunc(m.order, func(name string) bool { return name == e.Instance })
	m.actions = append(m.actions, Transition{Instance: e.Instance, Reason: "removed from the site"})
}

// handleServiceLevel rolls back if the service level has been too low for LowServiceWindow and the new revision may be
// the cause.
func (m *Machine) handleServiceLevel(e ServiceReported) {
	if m.policy.MaxServiceDrop == 0 || m.baseline <= 0 || !m.running() {
		return
	}
	if e.Level >= m.baseline*(1-m.policy.MaxServiceDrop) {
		m.lowSince = noTime
		return
	}
	if m.lowSince < 0 {
		m.lowSince = m.elapsed
	}
	if m.elapsed-m.lowSince >= m.policy.LowServiceWindow && m.anyAssigned() {
		m.rollBack(fmt.Sprintf("the service is at %.3f, and was at %.3f before", e.Level, m.baseline))
	}
}

// anyAssigned reports whether any instance has been assigned the new revision.
func (m *Machine) anyAssigned() bool {
	for _, inst := range m.instances {
		if inst.assigned == m.target {
			return true
		}
	}
	return false
}

// detectSilence marks instances that have not reported for SilenceTimeout.
func (m *Machine) detectSilence() {
	for _, name := range m.order {
		inst := m.instances[name]
		if inst.silent || m.elapsed-inst.lastReportAt < m.policy.SilenceTimeout {
			continue
		}
		inst.silent = true
		inst.readySince = noTime
		m.setPhase(inst, PhaseSilent, fmt.Sprintf("no report for %v", m.policy.SilenceTimeout))
	}
}
