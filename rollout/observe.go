package rollout

import (
	"fmt"
	"slices"
)

// handleReport handles news of an instance.
func (m *Machine) handleReport(e InstanceReported) {
	i := m.instances[e.Instance]
	if i == nil {
		i = &instance{name: e.Instance, phase: PhasePending, readySince: noTime, downSince: m.elapsed}
		m.instances[e.Instance] = i
		m.order = append(m.order, e.Instance)
		m.setPhase(i, PhasePending, "it is new to the site")
	}
	if i.silent {
		i.silent = false
		if i.phase == PhaseSilent {
			m.handleReturn(i, e.Observed)
		}
	}
	if i.observed.Ready && !e.Ready {
		i.downSince = m.elapsed
	}
	i.observed, i.reported, i.lastReportAt = e.Observed, true, m.elapsed
	if e.Ready && e.Revision == m.target {
		i.unconfirmed = false
	}
	if i.assigned == 0 || e.Revision != i.assigned || !e.Ready {
		i.readySince = noTime
	} else if i.readySince < 0 {
		i.readySince = m.elapsed
	}
}

// handleReturn handles the return of an instance that was silent.
func (m *Machine) handleReturn(i *instance, o Observed) {
	const why = "it is heard of again"
	if i.assigned == 0 {
		m.setPhase(i, PhasePending, why)
		return
	}
	i.assignedAt, i.readySince = m.elapsed, noTime // its time starts anew: it may not have got the assignment
	if m.state == RollingBack || m.state == RolledBack || m.state == PartlyRolledBack {
		m.setPhase(i, PhaseRollingBack, why)
		return
	}
	i.crashesBefore = o.Crashes
	m.setPhase(i, PhaseUpdating, why)
}

// handleRejection handles an instance's refusal of a revision, which rolls back.
func (m *Machine) handleRejection(e Rejected) {
	i := m.instances[e.Instance]
	if i == nil || e.Revision != i.assigned || i.assigned == 0 {
		return // of an outdated assignment
	}
	i.lastReportAt = m.elapsed
	m.setPhase(i, PhaseRejected, e.Reason)
	if m.running() {
		m.rollBack(fmt.Sprintf("%s refused revision %d: %s", e.Instance, e.Revision, e.Reason))
	}
}

// handleRemoval handles an instance's removal from the site.
func (m *Machine) handleRemoval(e InstanceRemoved) {
	if m.instances[e.Instance] == nil {
		return
	}
	delete(m.instances, e.Instance)
	m.order = slices.DeleteFunc(m.order, func(name string) bool { return name == e.Instance })
	m.actions = append(m.actions, Changed{Instance: e.Instance, Reason: "it no longer belongs to the site"})
}

// handleServiceLevel handles the present service level, and rolls back if it has been low for too long.
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
	for _, i := range m.instances {
		if i.assigned == m.target {
			return true
		}
	}
	return false
}

// detectSilence marks instances that have not been heard of for SilentAfter.
func (m *Machine) detectSilence() {
	for _, name := range m.order {
		i := m.instances[name]
		if i.silent || m.elapsed-i.lastReportAt < m.policy.SilenceTimeout {
			continue
		}
		i.silent = true
		i.readySince = noTime
		m.setPhase(i, PhaseSilent, fmt.Sprintf("not heard of for %v", m.policy.SilenceTimeout))
	}
}
