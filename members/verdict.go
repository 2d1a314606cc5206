package members

import (
	"fmt"
	"time"
)

// whyStarted is the reason of the first verdict.
const whyStarted = "it has just begun"

// Permit is what a process may do until it hears otherwise. It is a copy that may
// be asked from anywhere, by a clock alone.
type Permit struct {
	verdict    Verdict
	superseded bool
	until      Time // after this the process must have slept
}

// Permit is what this process may do now.
func (m *Machine) Permit() Permit {
	return Permit{m.verdict, m.superseded != 0, m.lastTick + m.settings.Tick + m.settings.StallAfter}
}

// May tells whether something may be done now, and why. It is asked right before
// the effect: a process that slept since its last tick holds nothing, and finds
// out here, not afterwards.
func (p Permit) May(now Time, u Use) (may bool, why string) {
	v := p.verdict
	if now >= p.until {
		v = Unsure
	}
	if p.superseded && u != AnswerOperator && u != CountOthers {
		return false, "a later life of this name is there"
	}
	return May(u, v)
}

// May is Permit's.
func (m *Machine) May(now Time, u Use) (may bool, why string) { return m.Permit().May(now, u) }

// judge brings the verdict up to the evidence. A worse one holds at once; a
// better one must have held for a while, and the longer the more often the
// verdict has fallen lately: so a way that flaps changes it seldom, in whatever
// rhythm.
func (m *Machine) updateVerdict() {
	raw, why := m.currentVerdict()
	if raw != Unsure {
		m.likely = m.likelyCount()
	} else if m.likely == 0 {
		m.likely = len(m.roster.Members)
	}
	if m.now-m.changedAt >= m.settings.SettleMost {
		m.recentFalls, m.changedAt = m.recentFalls/2, m.now
	}
	for v := range m.allowedSince {
		if raw < Verdict(v) {
			m.allowedSince[v] = m.now
		}
	}
	switch better := m.settledVerdict(); {
	case raw < m.verdict:
		m.recentFalls, m.changedAt = m.recentFalls+1, m.now
		m.setVerdict(raw, why)
	case better > m.verdict:
		m.setVerdict(better, why)
	case raw == m.verdict:
		m.reason = why
	}
	// A smaller share is taken at once, a larger one where the verdict allows it.
	if by := m.quotaDivisor(); by > m.share || by < m.share && m.mayWiden() {
		m.share = by
		m.number++
	}
}

// held is the best verdict that the evidence has allowed for as long as it must.
func (m *Machine) settledVerdict() Verdict {
	v := Whole
	for v > Unsure && m.now-m.allowedSince[v] < m.settleTime() {
		v--
	}
	return v
}

func (m *Machine) mayWiden() bool {
	may, _ := m.May(m.now, WidenShare)
	return may
}

// dwell is how long a better verdict must have held.
func (m *Machine) settleTime() time.Duration {
	d := m.settings.Settle
	for range m.recentFalls {
		if d *= 2; d >= m.settings.SettleMost {
			return m.settings.SettleMost
		}
	}
	return d
}

func (m *Machine) setVerdict(v Verdict, why string) {
	m.verdict, m.reason, m.since = v, why, m.now
	m.number++
	m.addEvidence(m.settings.Self, m.settings.Life, "is "+v.String()+": "+why, "")
}

// raw is the verdict by what is known at this moment.
func (m *Machine) currentVerdict() (Verdict, string) {
	n := len(m.roster.Members)
	switch {
	case m.superseded != 0:
		return Unsure, fmt.Sprintf("life %d of this name has taken the place of life %d", m.superseded, m.settings.Life)
	case m.peers[m.settings.Self] != nil && m.peers[m.settings.Self].hasEarlierLife():
		return Unsure, "an earlier life of this name is still heard"
	case !m.roster.Has(m.settings.Self):
		return Unsure, fmt.Sprintf("the roster of epoch %d does not have this one", m.roster.Epoch)
	case len(m.conflictingRosters) > 0:
		return Unsure, fmt.Sprintf("there are %d rosters of epoch %d", 1+len(m.conflictingRosters), m.roster.Epoch)
	}
	awake := m.now - m.awakeSince
	if n > 1 && m.lastAnswer <= m.awakeSince && awake < m.settings.Blind {
		if m.lastSleep > 0 {
			return Unsure, fmt.Sprintf("it slept for %v and has had no answer since: others' silence proves nothing yet", m.lastSleep.Round(time.Millisecond))
		}
		return Unsure, whyStarted + ", and nobody has answered yet"
	}
	if n > 1 && m.lastAnswer <= m.awakeSince {
		return Alone, fmt.Sprintf("nobody has answered in %v", awake.Round(time.Millisecond))
	}
	failed := 0
	for _, p := range m.probes {
		if f := m.peers[p.name]; !p.answered && f != nil && f.state.There() {
			failed++ // who counts as gone is not expected to answer
		}
	}
	if len(m.probes) >= minProbes && 2*failed > len(m.probes) {
		return Unsure, fmt.Sprintf("%d of its last %d probes were not answered", failed, len(m.probes))
	}
	there := 1
	for _, other := range m.roster.Members {
		if f := m.peers[other.Name]; f != nil && other.Name != m.settings.Self && f.state.There() {
			there++
		}
	}
	why := fmt.Sprintf("%d of %d are heard", there, n)
	switch {
	case there == n:
		return Whole, why
	case there == 1:
		return Alone, why
	case 2*there > n:
		return Majority, why
	case 2*there == n:
		return Even, why
	}
	return Minority, why
}
