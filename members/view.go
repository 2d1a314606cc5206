package members

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// View is one process's view of the site at one time. It is a copy that the machine does not change.
type View struct {
	Version       uint64       `json:"number"` // increases with each change
	At            Time         `json:"at_ns"`  // when it was made
	Self          string       `json:"self"`
	Incarnation   Incarnation  `json:"life"`
	Verdict       Verdict      `json:"verdict"`
	Since         Time         `json:"since_ns"` // of the verdict
	Reason        string       `json:"why"`
	Epoch         uint64       `json:"epoch"`
	Sum           uint64       `json:"sum"`
	RosterSize    int          `json:"belong"`               // members of the roster
	SafeCount     int          `json:"safe"`                 // upper bound of the processes that may be serving
	LikelyCount   int          `json:"likely"`               // processes that seem to be alive, including this one
	QuotaDivisor  int          `json:"share"`                // divisor of quotas
	Dropped       uint64       `json:"dropped"`              // number of events dropped because their names exceed the limits
	SupersededBy  Incarnation  `json:"superseded,omitempty"` // later incarnation of this process's name; 0 if none
	UnawareMember string       `json:"joining,omitempty"`    // a member that may not know of this process's membership; "" if none
	LastAnswer    Time         `json:"heard_ns"`             // last answer of any peer; 0 if none
	Members       []MemberView `json:"members"`              // by name
}

// MemberView is one name's part of a View.
type MemberView struct {
	Name                string      `json:"name"`
	Self                bool        `json:"self,omitempty"`
	IsMember            bool        `json:"belongs"` // of the roster
	Incarnation         Incarnation `json:"life,omitempty"`
	State               State       `json:"state"`
	Since               Time        `json:"since_ns"`       // of the state
	LastAnswer          Time        `json:"heard_ns"`       // to a probe of this process; 0 if none
	Epoch               uint64      `json:"epoch"`          // of its roster, as last announced
	EarlierIncarnations int         `json:"older"`          // number of earlier incarnations that are still alive
	Address             string      `json:"address"`        // as last announced
	AdminAddress        string      `json:"desk,omitempty"` // address of its operator interface
}

// View returns this process's view of the site at now.
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
		SupersededBy:  m.supersededBy,
		UnawareMember: m.unawareMember(),
		LastAnswer:    m.lastAnswer,
		Members:       m.memberViews(),
	}
}

// Line returns the view in one line for display, with its ages at now.
func (v *View) Line(now Time) string {
	const round = 100 * time.Millisecond
	lastAnswer := "nobody has answered yet"
	if v.LastAnswer != 0 {
		lastAnswer = fmt.Sprintf("the last answer %v ago", (now - v.LastAnswer).Round(round))
	}
	return fmt.Sprintf("%v for %v (%s), epoch %d, %s", v.Verdict, (now - v.Since).Round(round), v.Reason, v.Epoch, lastAnswer)
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
