package members

import (
	"math"
)

// NoQuota is the quota divisor of a process that has no share.
const NoQuota = math.MaxInt32

// unawareMember returns a member that may not know yet that this process is a member, "" if there is none.
//
// A member that was cut off while this process was added divides quotas by the number of members that it knows. Until
// every member has been seen with a roster that includes this process, the sum of all shares leaves none for it.
func (m *Machine) unawareMember() string {
	added := sinceEpoch(m.roster, m.settings.Self)
	if m.joined || added == 0 {
		return ""
	}
	for _, other := range m.roster.Members {
		if p := m.peers[other.Name]; other.Name != m.settings.Self && other.Since <= added && (p == nil || p.highestEpoch < added) {
			return other.Name
		}
	}
	m.joined = true
	return ""
}

// safeCount returns a number that is never below that of the processes that may be serving, as far as this one can know:
// members count whether they are heard of or not, and others if they are heard of.
func (m *Machine) safeCount() int {
	names := map[string]bool{}
	for _, other := range m.roster.Members {
		names[other.Name] = true
	}
	for _, r := range m.conflictingRosters {
		for _, other := range r.Members {
			names[other.Name] = true
		}
	}
	count := len(names)
	for name, p := range m.peers {
		count += p.countEarlierIncarnations()
		if !names[name] && p.state.Alive() {
			count++
		}
	}
	return count
}

// QuotaDivisor returns the number by which this process divides what all members share, such as a quota while the counter is
// unreachable: the safe count, or an earlier, higher one while the verdict does not allow a larger share.
func (m *Machine) QuotaDivisor() int { return m.divisor }

// Senders returns how many processes send to a cold backend: those that seem to be alive if the verdict allows that
// estimate, else the safe count.
func (m *Machine) Senders() int {
	if allowed, _ := m.Allows(m.now, DivideWarmUpCapacity); allowed {
		return m.likely
	}
	return m.safeCount()
}

// targetQuotaDivisor returns what Share would be if a larger share were allowed. It is NoQuota for a newcomer that not all
// members know of, for a superseded process, and for one whose earlier life still runs.
func (m *Machine) targetQuotaDivisor() int {
	self := m.peers[m.settings.Self]
	if m.superseded != 0 || m.unawareMember() != "" || !m.roster.Has(m.settings.Self) || self != nil && self.hasEarlierIncarnation() {
		return NoQuota
	}
	return m.safeCount()
}

// likelyCount returns how many processes seem to be alive, this one included.
func (m *Machine) likelyCount() int {
	n := 1
	for name, p := range m.peers {
		if name != m.settings.Self && p.state.Alive() {
			n++
		}
	}
	return n
}
