package members

import (
	"fmt"
	"slices"
)

// handleAnswered records an answer to a probe of this process.
func (m *Machine) handleAnswered(e Answered) {
	if e.Name == m.settings.Self {
		return
	}
	p := m.peerNamed(e.Name)
	if p == nil || !m.advanceIncarnation(p, e.Incarnation) {
		return
	}
	p.lastAnswer, m.lastAnswer = m.now, m.now
	m.recordProbe(e.Name, true)
	// A delayed answer may arrive after its sender's Left.
	if p.state != StateLeft {
		m.setState(p, StateAlive, "answered", m.settings.Self)
	}
}

// handleAlive records that an incarnation is alive, and the data that it announces.
func (m *Machine) handleAlive(event Alive) {
	if event.Name == m.settings.Self {
		if event.Incarnation < m.settings.Incarnation {
			// An earlier incarnation of this name is still running; gossip will inform it that it is superseded.
			if p := m.peerNamed(event.Name); p != nil {
				m.recordEarlierIncarnation(p, event.Incarnation, true)
			}
		}
		m.supersede(event.Incarnation)
		return
	}
	p := m.peerNamed(event.Name)
	if p == nil {
		return
	}
	p.highestEpoch = max(p.highestEpoch, event.Epoch)
	if !m.advanceIncarnation(p, event.Incarnation) {
		m.recordEarlierIncarnation(p, event.Incarnation, true)
		return
	}
	if p.state == StateLeft {
		return // a delayed message: an incarnation that has left does not return
	}
	if p.epoch != event.Epoch || p.sum != event.Sum || p.address != event.Address || p.adminAddress != event.AdminAddress {
		p.epoch, p.sum, p.address, p.adminAddress = event.Epoch, event.Sum, event.Address, event.AdminAddress
		m.version++
	}
	m.setState(p, StateAlive, "is there", "")
}

// supersede records a later incarnation of this process's name.
func (m *Machine) supersede(incarnation Incarnation) {
	if incarnation > m.settings.Incarnation && incarnation > m.supersededBy {
		m.supersededBy = incarnation
		m.version++
		m.addEvidence(m.settings.Self, incarnation, "a later life of this name is there; this one holds nothing any more", "")
	}
}

// handleSuspected records an unanswered probe.
func (m *Machine) handleSuspected(e Suspected) {
	if e.By == m.settings.Self {
		m.recordProbe(e.Name, false)
	}
	p := m.peers[e.Name]
	if p == nil || e.Incarnation != p.incarnation || !p.state.Alive() {
		return
	}
	m.setState(p, StateSuspect, "did not answer a probe", e.By)
}

// recordProbe records the result of a probe by this process, and drops the oldest result if there are too many.
func (m *Machine) recordProbe(name string, answered bool) {
	if len(m.probes) >= maxProbes {
		m.probes = slices.Delete(m.probes, 0, 1)
	}
	m.probes = append(m.probes, probe{name: name, answered: answered})
}

// markEnded sets the state of an incarnation that has failed or left.
func (m *Machine) markEnded(name string, incarnation Incarnation, to State, what string) {
	p := m.peers[name]
	if p == nil {
		return
	}
	if incarnation != p.incarnation {
		m.recordEarlierIncarnation(p, incarnation, false)
		return
	}
	if p.state == StateLeft || p.state == StateUnknown && to == StateFailed {
		return
	}
	m.setState(p, to, what, "")
}

// handleIncarnationLearned records that an incarnation existed; it may have ended.
func (m *Machine) handleIncarnationLearned(e IncarnationLearned) {
	if e.Name == m.settings.Self {
		m.supersede(e.Incarnation)
		return
	}
	if p := m.peerNamed(e.Name); p != nil && e.Incarnation > p.incarnation {
		m.advanceIncarnation(p, e.Incarnation)
		m.version++
	}
}

// handleRoster adopts a roster of a higher epoch. A different roster of the same epoch is an operator's error and is
// recorded as a conflict.
func (m *Machine) handleRoster(received RosterReceived) {
	if _, err := received.Roster.Check(); err != nil || received.Roster.Epoch < m.roster.Epoch {
		return
	}
	if received.Roster.Epoch == m.roster.Epoch {
		m.recordConflict(received)
		return
	}
	self := m.settings.Self
	if memberSince(m.roster, self) != memberSince(received.Roster, self) {
		m.knownToAll = false // a member that was removed and added again is a newcomer
	}
	m.roster = received.Roster.Sorted()
	clear(m.conflictingRosters)
	m.version++
	m.addEvidence(self, m.settings.Incarnation, fmt.Sprintf("has the roster of epoch %d: %d members", m.roster.Epoch, len(m.roster.Members)), received.By)
	m.forgetRemoved()
}

// recordConflict records a roster of the current epoch that differs from this process's.
func (m *Machine) recordConflict(e RosterReceived) {
	sum := e.Roster.Sum()
	if sum == m.roster.Sum() || len(m.conflictingRosters) >= maxEarlierIncarnations {
		return
	}
	if _, known := m.conflictingRosters[sum]; known {
		return
	}
	m.conflictingRosters[sum] = e.Roster.Sorted()
	m.version++
	m.addEvidence(m.settings.Self, m.settings.Incarnation, fmt.Sprintf("another roster of epoch %d goes round", e.Roster.Epoch), e.By)
}

// forgetRemoved drops the peers outside the roster that have no incarnation alive.
func (m *Machine) forgetRemoved() {
	for name, p := range m.peers {
		if !m.roster.Has(name) && !p.state.Alive() && !p.hasEarlierIncarnation() {
			delete(m.peers, name)
		}
	}
}

// memberSince returns the epoch in which a name became a member, 0 for a name outside the roster and for a member of
// the first roster.
func memberSince(r Roster, name string) uint64 {
	for _, m := range r.Members {
		if m.Name == name {
			return m.Since
		}
	}
	return 0
}
