package members

import (
	"cmp"
	"slices"
)

// Picture returns this process's present view of the site.
func (m *Machine) Picture(now Time) Picture {
	m.now = max(m.now, now)
	return Picture{
		Number:     m.number,
		At:         m.now,
		Self:       m.settings.Self,
		Life:       m.settings.Life,
		Verdict:    m.verdict,
		Since:      m.since,
		Why:        m.reason,
		Epoch:      m.roster.Epoch,
		Sum:        m.roster.Sum(),
		Belong:     len(m.roster.Members),
		Safe:       m.safeCount(),
		Likely:     m.likely,
		Share:      m.share,
		Dropped:    m.dropped,
		Superseded: m.superseded,
		Joining:    m.unawareMember(),
		Heard:      m.lastAnswer,
		Members:    m.views(),
	}
}

// views returns the view of this process, of all members and of all other known names, by name.
func (m *Machine) views() (views []View) {
	isMember := map[string]bool{m.settings.Self: false}
	for name := range m.peers {
		isMember[name] = false
	}
	for _, member := range m.roster.Members {
		isMember[member.Name] = true
	}
	for name, belongs := range isMember {
		views = append(views, m.view(name, belongs))
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

// view returns the view of one name.
func (m *Machine) view(name string, belongs bool) View {
	v := View{Name: name, Self: name == m.settings.Self, Belongs: belongs}
	if p := m.peers[name]; p != nil {
		v.Life = p.life
		v.State = p.state
		v.Since = p.since
		v.Heard = p.lastAnswer
		v.Epoch = p.epoch
		v.Older = p.countEarlierLives()
		v.Address = p.address
		v.Desk = p.desk
	}
	if v.Self {
		v.Life, v.State, v.Epoch = m.settings.Life, Living, m.roster.Epoch
	}
	return v
}

// Roster returns the roster that this process has.
func (m *Machine) Roster() Roster { return m.roster }

// Lives returns the latest known lives of all names, by name.
func (m *Machine) Lives() (lives []Lived) {
	lives = append(lives, Lived{m.settings.Self, max(m.settings.Life, m.superseded)})
	for name, f := range m.peers {
		if name != m.settings.Self && f.life != 0 {
			lives = append(lives, Lived{name, f.life})
		}
	}
	slices.SortFunc(lives, func(a, b Lived) int { return cmp.Compare(a.Name, b.Name) })
	return lives
}

// Evidence returns the latest evidence on one name, or on all for "", oldest first.
func (m *Machine) Evidence(name string) (list []Evidence) {
	for _, e := range m.evidence {
		if name == "" || e.Name == name {
			list = append(list, e)
		}
	}
	return list
}

// addEvidence records evidence and drops the oldest if there is too much.
func (m *Machine) addEvidence(name string, life Life, what, by string) {
	if len(m.evidence) >= maxEvidence {
		m.evidence = slices.Delete(m.evidence, 0, maxEvidence/8)
	}
	m.evidence = append(m.evidence, Evidence{At: m.now, Name: name, Life: life, What: what, By: by})
}

// Superseded returns the later life of this process's own name, 0 if none is known.
func (m *Machine) Superseded() Life { return m.superseded }
