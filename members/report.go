package members

import (
	"cmp"
	"slices"
)

// View returns this process's present view of the site.
func (m *Machine) View(now Time) View {
	m.now = max(m.now, now)
	return View{
		Version:       m.version,
		At:            m.now,
		Self:          m.settings.Self,
		Incarnation:   m.settings.Incarnation,
		Verdict:       m.verdict,
		Since:         m.since,
		Reason:        m.reason,
		Epoch:         m.roster.Epoch,
		Sum:           m.roster.Sum(),
		RosterSize:    len(m.roster.Members),
		SafeCount:     m.safeCount(),
		LikelyCount:   m.likely,
		QuotaDivisor:  m.divisor,
		Dropped:       m.dropped,
		SupersededBy:  m.superseded,
		UnawareMember: m.unawareMember(),
		LastAnswer:    m.lastAnswer,
		Members:       m.memberViews(),
	}
}

// memberViews returns the view of this process, of all members and of all other known names, by name.
func (m *Machine) memberViews() (views []MemberView) {
	isMember := map[string]bool{m.settings.Self: false}
	for name := range m.peers {
		isMember[name] = false
	}
	for _, member := range m.roster.Members {
		isMember[member.Name] = true
	}
	for name, isRosterMember := range isMember {
		views = append(views, m.memberView(name, isRosterMember))
	}
	slices.SortFunc(views, func(a, b MemberView) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

// memberView returns the view of one name.
func (m *Machine) memberView(name string, isRosterMember bool) MemberView {
	v := MemberView{Name: name, Self: name == m.settings.Self, IsMember: isRosterMember}
	if p := m.peers[name]; p != nil {
		v.Incarnation = p.incarnation
		v.State = p.state
		v.Since = p.since
		v.LastAnswer = p.lastAnswer
		v.Epoch = p.epoch
		v.EarlierIncarnations = p.countEarlierIncarnations()
		v.Address = p.address
		v.AdminAddress = p.adminAddress
	}
	if v.Self {
		v.Incarnation, v.State, v.Epoch = m.settings.Incarnation, StateAlive, m.roster.Epoch
	}
	return v
}

// Roster returns the roster that this process has.
func (m *Machine) Roster() Roster { return m.roster }

// Incarnations returns the latest known lives of all names, by name.
func (m *Machine) Incarnations() (incarnations []IncarnationLearned) {
	incarnations = append(incarnations, IncarnationLearned{m.settings.Self, max(m.settings.Incarnation, m.superseded)})
	for name, f := range m.peers {
		if name != m.settings.Self && f.incarnation != 0 {
			incarnations = append(incarnations, IncarnationLearned{name, f.incarnation})
		}
	}
	slices.SortFunc(incarnations, func(a, b IncarnationLearned) int { return cmp.Compare(a.Name, b.Name) })
	return incarnations
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
func (m *Machine) addEvidence(name string, incarnation Incarnation, what, by string) {
	if len(m.evidence) >= maxEvidence {
		m.evidence = slices.Delete(m.evidence, 0, maxEvidence/8)
	}
	m.evidence = append(m.evidence, Evidence{At: m.now, Name: name, Incarnation: incarnation, What: what, By: by})
}

// Superseded returns the later life of this process's own name, 0 if none is known.
func (m *Machine) Superseded() Incarnation { return m.superseded }
