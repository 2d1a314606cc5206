package members

import (
	"fmt"
	"time"
)

// whyStarted is the reason of the first verdict.
const whyStarted = "it has just begun"

// Permit says what a process may do. It is a copy that is safe for concurrent use and needs only a clock.
type Permit struct {
	verdict    Verdict
	superseded bool
	until      Time // later than this, the process must have been suspended
}

// Permit returns what this process may do now.
func (m *Machine) Permit() Permit {
	return Permit{m.verdict, m.superseded != 0, m.lastTick + m.settings.Tick + m.settings.StallAfter}
}

// May reports whether a use is allowed now, and why. Callers ask right before the effect: a process that was suspended
// since its last tick may hold nothing, and finds out here.
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

// May is like Permit.May.
func (m *Machine) May(now Time, u Use) (may bool, why string) { return m.Permit().May(now, u) }

// updateVerdict adapts the verdict to the evidence. A worse verdict is adopted at once. A better one is adopted after the
// evidence has supported it for a while, the longer the more often the verdict fell lately, so that a flapping link
// changes it seldom.
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
	// A smaller share is taken at once, a larger one only if the verdict allows it.
	if divisor := m.quotaDivisor(); divisor > m.share || divisor < m.share && m.mayWiden() {
		m.share = divisor
		m.number++
	}
}

// settledVerdict returns the best verdict that the evidence has supported for the settle time.
func (m *Machine) settledVerdict() Verdict {
	v := Whole
	for v > Unsure && m.now-m.allowedSince[v] < m.settleTime() {
		v--
	}
	return v
}

// mayWiden reports whether a larger share of quotas is allowed.
func (m *Machine) mayWiden() bool {
	may, _ := m.May(m.now, WidenShare)
	return may
}

// settleTime returns how long the evidence must support a better verdict.
func (m *Machine) settleTime() time.Duration {
	d := m.settings.Settle
	for range m.recentFalls {
		if d *= 2; d >= m.settings.SettleMost {
			return m.settings.SettleMost
		}
	}
	return d
}

// setVerdict sets the verdict and records it as evidence.
func (m *Machine) setVerdict(v Verdict, why string) {
	m.verdict, m.reason, m.since = v, why, m.now
	m.number++
	m.addEvidence(m.settings.Self, m.settings.Life, "is "+v.String()+": "+why, "")
}

// currentVerdict returns the verdict that the present evidence supports, and why.
func (m *Machine) currentVerdict() (Verdict, string) {
	if why := m.identityProblem(); why != "" {
		return Unsure, why
	}
	if len(m.roster.Members) > 1 && m.lastAnswer <= m.awakeSince {
		return m.unansweredVerdict()
	}
	if failed := m.failedProbes(); len(m.probes) >= minProbes && 2*failed > len(m.probes) {
		return Unsure, fmt.Sprintf("%d of its last %d probes were not answered", failed, len(m.probes))
	}
	return m.countVerdict()
}

// identityProblem returns why this process can't be sure of its own place in the roster, "" if it can.
func (m *Machine) identityProblem() string {
	self := m.peers[m.settings.Self]
	switch {
	case m.superseded != 0:
		return fmt.Sprintf("life %d of this name has taken the place of life %d", m.superseded, m.settings.Life)
	case self != nil && self.hasEarlierLife():
		return "an earlier life of this name is still heard"
	case !m.roster.Has(m.settings.Self):
		return fmt.Sprintf("the roster of epoch %d does not have this one", m.roster.Epoch)
	case len(m.conflictingRosters) > 0:
		return fmt.Sprintf("there are %d rosters of epoch %d", 1+len(m.conflictingRosters), m.roster.Epoch)
	}
	return ""
}

// unansweredVerdict returns the verdict if nobody has answered since this process started or was suspended.
func (m *Machine) unansweredVerdict() (Verdict, string) {
	awake := m.now - m.awakeSince
	switch {
	case awake >= m.settings.Blind:
		return Alone, fmt.Sprintf("nobody has answered in %v", awake.Round(time.Millisecond))
	case m.lastSleep > 0:
		return Unsure, fmt.Sprintf("it slept for %v and has had no answer since: others' silence proves nothing yet", m.lastSleep.Round(time.Millisecond))
	}
	return Unsure, whyStarted + ", and nobody has answered yet"
}

// failedProbes returns how many of the latest probes were not answered. Peers that count as gone are not expected to
// answer.
func (m *Machine) failedProbes() int {
	failed := 0
	for _, probe := range m.probes {
		if p := m.peers[probe.name]; !probe.answered && p != nil && p.state.There() {
			failed++
		}
	}
	return failed
}

// countVerdict returns the verdict by how many members seem to be alive.
func (m *Machine) countVerdict() (Verdict, string) {
	count := len(m.roster.Members)
	alive := 1
	for _, member := range m.roster.Members {
		if p := m.peers[member.Name]; p != nil && member.Name != m.settings.Self && p.state.There() {
			alive++
		}
	}
	why := fmt.Sprintf("%d of %d are heard", alive, count)
	switch {
	case alive == count:
		return Whole, why
	case alive == 1:
		return Alone, why
	case 2*alive > count:
		return Majority, why
	case 2*alive == count:
		return Even, why
	}
	return Minority, why
}
