package members

import (
	"fmt"
	"slices"
)

// handleHeard handles an answer to this process.
func (m *Machine) handleHeard(e Heard) {
	if e.Name == m.settings.Self {
		return
	}
	p := m.peerNamed(e.Name)
	if p == nil || !m.advanceLife(p, e.Life) {
		return
	}
	p.lastAnswer, m.lastAnswer = m.now, m.now
	m.noteProbe(e.Name, true)
	// A delayed answer may arrive after its sender's Left.
	if p.state != Ended {
		m.setState(p, Living, "answered", m.settings.Self)
	}
}

// handleAlive handles what a life says of itself.
func (m *Machine) handleAlive(e Alive) {
	if e.Name == m.settings.Self {
		if e.Life < m.settings.Life {
			// An earlier life of this name still runs; it will learn that it is superseded.
			if p := m.peerNamed(e.Name); p != nil {
				m.noteEarlierLife(p, e.Life, true)
			}
		}
		m.supersede(e.Life)
		return
	}
	p := m.peerNamed(e.Name)
	if p == nil {
		return
	}
	p.highestEpoch = max(p.highestEpoch, e.Epoch)
	if !m.advanceLife(p, e.Life) {
		m.noteEarlierLife(p, e.Life, true)
		return
	}
	if p.state == Ended {
		return // it has left: this news of it is old
	}
	if p.epoch != e.Epoch || p.sum != e.Sum || p.address != e.Address || p.desk != e.Desk {
		p.epoch, p.sum, p.address, p.desk = e.Epoch, e.Sum, e.Address, e.Desk
		m.number++
	}
	m.setState(p, Living, "is there", "")
}

// supersede notes a life of this process's own name.
func (m *Machine) supersede(life Life) {
	if life > m.settings.Life && life > m.superseded {
		m.superseded = life
		m.number++
		m.addEvidence(m.settings.Self, life, "a later life of this name is there; this one holds nothing any more", "")
	}
}

// handleSuspected handles an unanswered probe.
func (m *Machine) handleSuspected(e Suspected) {
	if e.By == m.settings.Self {
		m.noteProbe(e.Name, false)
	}
	p := m.peers[e.Name]
	if p == nil || e.Life != p.life || !p.state.There() {
		return
	}
	m.setState(p, Suspect, "did not answer a probe", e.By)
}

// noteProbe notes the result of a probe by this process.
func (m *Machine) noteProbe(name string, answered bool) {
	if len(m.probes) >= maxProbes {
		m.probes = slices.Delete(m.probes, 0, 1)
	}
	m.probes = append(m.probes, probe{name: name, answered: answered})
}

// markEnded sets the state of a life that is gone or has ended.
func (m *Machine) markEnded(name string, life Life, to State, what string) {
	p := m.peers[name]
	if p == nil {
		return
	}
	if life != p.life {
		m.noteEarlierLife(p, life, false)
		return
	}
	if p.state == Ended || p.state == Unheard && to == Gone {
		return
	}
	m.setState(p, to, what, "")
}

// handleLived notes a life, which may be over.
func (m *Machine) handleLived(e Lived) {
	if e.Name == m.settings.Self {
		m.supersede(e.Life)
		return
	}
	if p := m.peerNamed(e.Name); p != nil && e.Life > p.life {
		m.advanceLife(p, e.Life)
		m.number++
	}
}

// handleRoster adopts a roster of a higher epoch. A different roster of the same epoch is a mistake of the operators,
// which is noted.
func (m *Machine) handleRoster(e RosterTold) {
	if _, err := e.Roster.Check(); err != nil || e.Roster.Epoch < m.roster.Epoch {
		return
	}
	if e.Roster.Epoch == m.roster.Epoch {
		m.noteConflict(e)
		return
	}
	self := m.settings.Self
	if sinceEpoch(m.roster, self) != sinceEpoch(e.Roster, self) {
		m.joined = false // a member that was removed and added again is a newcomer
	}
	m.roster = e.Roster.Sorted()
	clear(m.conflictingRosters)
	m.number++
	m.addEvidence(self, m.settings.Life, fmt.Sprintf("has the roster of epoch %d: %d members", m.roster.Epoch, len(m.roster.Members)), e.By)
	m.forgetRemoved()
}

// noteConflict notes a roster of the present epoch that differs from this process's.
func (m *Machine) noteConflict(e RosterTold) {
	sum := e.Roster.Sum()
	if sum == m.roster.Sum() || len(m.conflictingRosters) >= maxEarlierLives {
		return
	}
	if _, known := m.conflictingRosters[sum]; known {
		return
	}
	m.conflictingRosters[sum] = e.Roster.Sorted()
	m.number++
	m.addEvidence(m.settings.Self, m.settings.Life, fmt.Sprintf("another roster of epoch %d goes round", e.Roster.Epoch), e.By)
}

// forgetRemoved forgets names outside the roster that no longer live.
func (m *Machine) forgetRemoved() {
	for name, p := range m.peers {
		if !m.roster.Has(name) && !p.state.There() && !p.hasEarlierLife() {
			delete(m.peers, name)
		}
	}
}

// sinceEpoch returns the epoch in which a name became a member; 0: it is none.
func sinceEpoch(r Roster, name string) uint64 {
	for _, m := range r.Members {
		if m.Name == name {
			return m.Since
		}
	}
	return 0
}
