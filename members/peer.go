package members

import (
	"slices"
)

// earlierIncarnation is an earlier incarnation of a name, which may still be alive.
type earlierIncarnation struct {
	incarnation Incarnation
	alive       bool
}

// peer is the state of one name: its latest incarnation, and earlier ones that may still be alive.
type peer struct {
	name                string
	incarnation         Incarnation // latest known; 0 if none
	state               State
	since               Time
	lastAnswer          Time   // to a probe of this process; 0 if none
	epoch               uint64 // of its roster, as last announced
	sum                 uint64 // of its roster, as last announced
	highestEpoch        uint64 // highest epoch that any of its incarnations announced
	address             string
	adminAddress        string
	earlierIncarnations []earlierIncarnation
}

// hasEarlierIncarnation reports whether an earlier incarnation of the name is still alive.
func (p *peer) hasEarlierIncarnation() bool { return p.countEarlierIncarnations() > 0 }

// countEarlierIncarnations returns how many earlier incarnations of the name are still alive.
func (p *peer) countEarlierIncarnations() (n int) {
	for _, earlier := range p.earlierIncarnations {
		if earlier.alive {
			n++
		}
	}
	return n
}

// peerNamed returns the peer with the name and adds it if it is new. It returns nil if the name is invalid, or if it is
// outside the roster and maxNonMembers such names are already tracked.
func (m *Machine) peerNamed(name string) *peer {
	p := m.peers[name]
	if p != nil {
		return p
	}
	tracked := 0
	for other := range m.peers {
		if !m.roster.Has(other) {
			tracked++
		}
	}
	if CheckName(name) != nil || !m.roster.Has(name) && tracked >= maxNonMembers {
		m.dropped++
		return nil
	}
	p = &peer{name: name, since: m.now}
	m.peers[name] = p
	return p
}

// advanceIncarnation records an incarnation and reports whether it is the latest of its name. The latest incarnation of
// a name never decreases.
func (m *Machine) advanceIncarnation(p *peer, incarnation Incarnation) bool {
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		if p.incarnation != 0 && p.state.Alive() {
			m.recordEarlierIncarnation(p, p.incarnation, true)
		}
		p.incarnation, p.state, p.since, p.lastAnswer = incarnation, StateUnknown, m.now, 0
	}
	return true
}

// recordEarlierIncarnation records whether an earlier incarnation of a name is alive.
func (m *Machine) recordEarlierIncarnation(p *peer, incarnation Incarnation, alive bool) {
	i := slices.IndexFunc(p.earlierIncarnations, func(o earlierIncarnation) bool { return o.incarnation == incarnation })
	switch {
	case i >= 0 && p.earlierIncarnations[i].alive != alive:
		p.earlierIncarnations[i].alive = alive
		m.version++
	case i < 0 && alive:
		if len(p.earlierIncarnations) >= maxEarlierIncarnations {
			p.earlierIncarnations = slices.Delete(p.earlierIncarnations, 0, 1)
		}
		p.earlierIncarnations = append(p.earlierIncarnations, earlierIncarnation{incarnation: incarnation, alive: true})
		m.version++
	}
}

// setState sets the state of a peer's latest incarnation and records the change as evidence.
func (m *Machine) setState(p *peer, to State, what, by string) {
	if p.state == to {
		return
	}
	p.state, p.since = to, m.now
	m.version++
	m.addEvidence(p.name, p.incarnation, what, by)
}
