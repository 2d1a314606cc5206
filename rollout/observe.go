package rollout

import (
	"fmt"
	"slices"
)

// heard handles news of an instance.
func (m *Machine) heard(e Heard) {
	i := m.instances[e.Instance]
	if i == nil {
		i = &instance{name: e.Instance, phase: Waiting, readySince: never, downSince: m.elapsed}
		m.instances[e.Instance] = i
		m.order = append(m.order, e.Instance)
		m.setPhase(i, Waiting, "it is new to the site")
	}
	if i.silent {
		i.silent = false
		if i.phase == Silent {
			m.returned(i, e.Observed)
		}
	}
	if i.observed.Ready && !e.Ready {
		i.downSince = m.elapsed
	}
	i.observed, i.known, i.heardAt = e.Observed, true, m.elapsed
	if e.Ready && e.Revision == m.target {
		i.unconfirmed = false
	}
	if i.assigned == 0 || e.Revision != i.assigned || !e.Ready {
		i.readySince = never
	} else if i.readySince < 0 {
		i.readySince = m.elapsed
	}
}

// returned handles the return of an instance that was silent.
func (m *Machine) returned(i *instance, o Observed) {
	const why = "it is heard of again"
	if i.assigned == 0 {
		m.setPhase(i, Waiting, why)
		return
	}
	i.assignedAt, i.readySince = m.elapsed, never // its time starts anew: it may not have got the assignment
	if m.state == RollingBack || m.state == RolledBack || m.state == BackPartly {
		m.setPhase(i, Back, why)
		return
	}
	i.crashesBefore = o.Crashes
	m.setPhase(i, Taking, why)
}

// refuses handles an instance's refusal of a revision, which rolls back.
func (m *Machine) refuses(e Refuses) {
	i := m.instances[e.Instance]
	if i == nil || e.Revision != i.assigned || i.assigned == 0 {
		return // of an outdated assignment
	}
	i.heardAt = m.elapsed
	m.setPhase(i, Refused, e.Why)
	if m.running() {
		m.rollBack(fmt.Sprintf("%s refused revision %d: %s", e.Instance, e.Revision, e.Why))
	}
}

// removed handles an instance's removal from the site.
func (m *Machine) removed(e Removed) {
	if m.instances[e.Instance] == nil {
		return
	}
	delete(m.instances, e.Instance)
	m.order = slices.DeleteFunc(m.order, func(name string) bool { return name == e.Instance })
	m.actions = append(m.actions, Changed{Instance: e.Instance, Why: "it no longer belongs to the site"})
}

// service handles the present service level, and rolls back if it has been low for too long.
func (m *Machine) service(e Service) {
	if m.policy.ServiceFall == 0 || m.baseline <= 0 || !m.running() {
		return
	}
	if e.Level >= m.baseline*(1-m.policy.ServiceFall) {
		m.lowSince = never
		return
	}
	if m.lowSince < 0 {
		m.lowSince = m.elapsed
	}
	if m.elapsed-m.lowSince >= m.policy.ServiceFor && m.anyAssigned() {
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
		if i.silent || m.elapsed-i.heardAt < m.policy.SilentAfter {
			continue
		}
		i.silent = true
		i.readySince = never
		m.setPhase(i, Silent, fmt.Sprintf("not heard of for %v", m.policy.SilentAfter))
	}
}
