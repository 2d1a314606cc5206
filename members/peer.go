package members

import (
	"slices"
)

// earlierLife is an earlier life of a name, which may still be heard of.
type earlierLife struct {
	life  Life
	alive bool
}

// peer is what is known of one name.
type peer struct {
	name         string
	life         Life // latest known
	state        State
	since        Time
	lastAnswer   Time // to this process; 0: none
	epoch        uint64
	sum          uint64
	highestEpoch uint64 // of the rosters that any of its lives had
	address      string
	desk         string
	earlierLives []earlierLife
}

// hasEarlierLife reports whether an earlier life of the name is still heard of.
func (p *peer) hasEarlierLife() bool { return p.countEarlierLives() > 0 }

// countEarlierLives returns how many earlier lives of the name are still heard of.
func (p *peer) countEarlierLives() (n int) {
	for _, o := range p.earlierLives {
		if o.alive {
			n++
		}
	}
	return n
}

// peerNamed returns the peer of that name, which is added if need be; nil if the name is invalid or there is no room.
func (m *Machine) peerNamed(name string) *peer {
	p := m.peers[name]
	if p != nil {
		return p
	}
	strangers := 0
	for other := range m.peers {
		if !m.roster.Has(other) {
			strangers++
		}
	}
	if CheckName(name) != nil || !m.roster.Has(name) && strangers >= maxStrangers {
		m.dropped++
		return nil
	}
	p = &peer{name: name, since: m.now}
	m.peers[name] = p
	return p
}

// advanceLife notes a life and reports whether it is the latest of its name. Lives only grow: an earlier one never
// becomes the latest again.
func (m *Machine) advanceLife(p *peer, life Life) bool {
	if life < p.life {
		return false
	}
	if life > p.life {
		if p.life != 0 && p.state.There() {
			m.noteEarlierLife(p, p.life, true)
		}
		p.life, p.state, p.since, p.lastAnswer = life, Unheard, m.now, 0
	}
	return true
}

// noteEarlierLife notes whether an earlier life of a name is alive.
func (m *Machine) noteEarlierLife(p *peer, life Life, there bool) {
	i := slices.IndexFunc(p.earlierLives, func(o earlierLife) bool { return o.life == life })
	switch {
	case i >= 0 && p.earlierLives[i].alive != there:
		p.earlierLives[i].alive = there
		m.number++
	case i < 0 && there:
		if len(p.earlierLives) >= maxEarlierLives {
			p.earlierLives = slices.Delete(p.earlierLives, 0, 1)
		}
		p.earlierLives = append(p.earlierLives, earlierLife{life: life, alive: true})
		m.number++
	}
}

// setState sets the state of a peer's latest life.
func (m *Machine) setState(p *peer, to State, what, by string) {
	if p.state == to {
		return
	}
	p.state, p.since = to, m.now
	m.number++
	m.addEvidence(p.name, p.life, what, by)
}
