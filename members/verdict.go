package members

import (
	"fmt"
	"slices"
	"time"
)

// Verdict classifies how many members of the roster a process considers alive.
type Verdict int

// The verdicts, the least permissive first. Exactly half is not a majority, since the other half may come to the same
// verdict.
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

// updateVerdict updates the verdict and the quota divisor. A worse verdict is adopted at once, a better one after the
// evidence has supported it for settleTime, which grows with each recent fall, so that a flapping link rarely changes
// the verdict.
func (m *Machine) updateVerdict() {
	observed, reason := m.currentVerdict()
	if observed != Unsure {
		m.likely = m.likelyCount()
	} else if m.likely == 0 {
		m.likely = len(m.roster.Members)
	}
	if m.now-m.fallsChangedAt >= m.settings.MaxSettleTime {
		m.recentFalls, m.fallsChangedAt = m.recentFalls/2, m.now
	}
	for v := range m.supportedSince {
		if observed < Verdict(v) {
			m.supportedSince[v] = m.now
		}
	}
	switch better := m.settledVerdict(); {
	case observed < m.verdict:
		m.recentFalls, m.fallsChangedAt = m.recentFalls+1, m.now
		m.setVerdict(observed, reason)
	case better > m.verdict:
		m.setVerdict(better, reason)
	case observed == m.verdict:
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
	for v > Unsure && m.now-m.supportedSince[v] < m.settleTime() {
		v--
	}
	return v
}

// settleTime returns how long the evidence must support a better verdict before it is adopted.
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

// currentVerdict returns the verdict that the evidence supports now, and the reason.
func (m *Machine) currentVerdict() (Verdict, string) {
	if reason := m.identityProblem(); reason != "" {
		return Unsure, reason
	}
	if len(m.roster.Members) > 1 && m.lastAnswer <= m.activeSince {
		return m.unansweredVerdict()
	}
	if failed := m.failedProbes(); len(m.probes) >= minProbes && 2*failed > len(m.probes) {
		return Unsure, fmt.Sprintf("%d of its last %d probes were not answered", failed, len(m.probes))
	}
	return m.countVerdict()
}

// identityProblem returns the reason why this process's name or membership is in doubt, "" if there is none.
func (m *Machine) identityProblem() string {
	self := m.peers[m.settings.Self]
	switch {
	case m.supersededBy != 0:
		return fmt.Sprintf("life %d of this name has taken the place of life %d", m.supersededBy, m.settings.Incarnation)
	case self != nil && self.hasEarlierIncarnation():
		return "an earlier life of this name is still heard"
	case !m.roster.Has(m.settings.Self):
		return fmt.Sprintf("the roster of epoch %d does not have this one", m.roster.Epoch)
	case len(m.conflictingRosters) > 0:
		return fmt.Sprintf("there are %d rosters of epoch %d", 1+len(m.conflictingRosters), m.roster.Epoch)
	}
	return ""
}

// unansweredVerdict returns the verdict of a process without any answer since it started or was suspended.
func (m *Machine) unansweredVerdict() (Verdict, string) {
	active := m.now - m.activeSince
	switch {
	case active >= m.settings.SilenceTimeout:
		return Alone, fmt.Sprintf("nobody has answered in %v", active.Round(time.Millisecond))
	case m.lastSuspension > 0:
		return Unsure, fmt.Sprintf("it slept for %v and has had no answer since: others' silence proves nothing yet", m.lastSuspension.Round(time.Millisecond))
	}
	return Unsure, reasonStarted + ", and nobody has answered yet"
}

// failedProbes returns how many of the last probes were not answered. Probes of peers that have failed or left do not
// count.
func (m *Machine) failedProbes() int {
	failed := 0
	for _, probe := range m.probes {
		if p := m.peers[probe.name]; !probe.answered && p != nil && p.state.Alive() {
			failed++
		}
	}
	return failed
}

// countVerdict returns the verdict based on the number of members that seem to be alive.
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
