package members

import (
	"fmt"
	"slices"
	"time"
)

// Verdict classifies how many members of its roster a process believes to be alive.
type Verdict int

// The verdicts, the least permissive first. Exactly half is less than a majority: the other half may think the same.
const (
	Unsure   Verdict = iota // its state may be stale: it was suspended, just started, or rosters conflict
	Alone                   // no other member is alive
	Minority                // less than half of the members are alive, itself included
	Even                    // exactly half of them
	Majority                // more than half of them, not all
	Complete                // all of them
	verdictCount
)

var verdictNames = [verdictCount]string{"unsure", "alone", "minority", "even", "majority", "whole"}

// String returns the verdict's name in JSON and in elderctl's output.
func (v Verdict) String() string { return verdictNames[v] }

// MarshalText returns the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses a verdict's name.
func (v *Verdict) UnmarshalText(text []byte) error {
	i := slices.Index(verdictNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("%.20q is no verdict", text)
	}
	*v = Verdict(i)
	return nil
}

// reasonStarted is the reason of the first verdict.
const reasonStarted = "it has just begun"

// updateVerdict adapts the verdict and the quota divisor to the evidence. A worse verdict is adopted at once. A better one
// is adopted after the evidence has supported it for settleTime, which grows with each recent fall, so that a flapping link
// changes the verdict seldom.
func (m *Machine) updateVerdict() {
	raw, reason := m.currentVerdict()
	if raw != Unsure {
		m.likely = m.likelyCount()
	} else if m.likely == 0 {
		m.likely = len(m.roster.Members)
	}
	if m.now-m.changedAt >= m.settings.MaxSettleTime {
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
		m.setVerdict(raw, reason)
	case better > m.verdict:
		m.setVerdict(better, reason)
	case raw == m.verdict:
		m.reason = reason
	}
	// A larger divisor is adopted at once, a smaller one only if the verdict allows it.
	if divisor := m.targetQuotaDivisor(); divisor > m.divisor || divisor < m.divisor && m.mayRaiseQuota() {
		m.divisor = divisor
		m.version++
	}
}

// settledVerdict returns the best verdict that the evidence has supported for the settle time.
func (m *Machine) settledVerdict() Verdict {
	v := Complete
	for v > Unsure && m.now-m.allowedSince[v] < m.settleTime() {
		v--
	}
	return v
}

// settleTime returns how long the evidence must support a better verdict.
func (m *Machine) settleTime() time.Duration {
	d := m.settings.MinSettleTime
	for range m.recentFalls {
		if d *= 2; d >= m.settings.MaxSettleTime {
			return m.settings.MaxSettleTime
		}
	}
	return d
}

// setVerdict sets the verdict and records it as evidence.
func (m *Machine) setVerdict(v Verdict, reason string) {
	m.verdict, m.reason, m.since = v, reason, m.now
	m.version++
	m.addEvidence(m.settings.Self, m.settings.Incarnation, "is "+v.String()+": "+reason, "")
}

// currentVerdict returns the verdict that the present evidence supports, and why.
func (m *Machine) currentVerdict() (Verdict, string) {
	if reason := m.identityProblem(); reason != "" {
		return Unsure, reason
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
		return fmt.Sprintf("life %d of this name has taken the place of life %d", m.superseded, m.settings.Incarnation)
	case self != nil && self.hasEarlierIncarnation():
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
	case awake >= m.settings.SilenceTimeout:
		return Alone, fmt.Sprintf("nobody has answered in %v", awake.Round(time.Millisecond))
	case m.lastSleep > 0:
		return Unsure, fmt.Sprintf("it slept for %v and has had no answer since: others' silence proves nothing yet", m.lastSleep.Round(time.Millisecond))
	}
	return Unsure, reasonStarted + ", and nobody has answered yet"
}

// failedProbes returns how many of the latest probes were not answered. Peers that have failed or left are not expected
// to answer.
func (m *Machine) failedProbes() int {
	failed := 0
	for _, probe := range m.probes {
		if p := m.peers[probe.name]; !probe.answered && p != nil && p.state.Alive() {
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
		if p := m.peers[member.Name]; p != nil && member.Name != m.settings.Self && p.state.Alive() {
			alive++
		}
	}
	reason := fmt.Sprintf("%d of %d are heard", alive, count)
	switch {
	case alive == count:
		return Complete, reason
	case alive == 1:
		return Alone, reason
	case 2*alive > count:
		return Majority, reason
	case 2*alive == count:
		return Even, reason
	}
	return Minority, reason
}
