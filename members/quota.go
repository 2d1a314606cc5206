package members

import (
	"math"
)

// NoQuota is the quota divisor of a process that may not use any quota.
const NoQuota = math.MaxInt32

// QuotaDivisor returns the number by which this process divides shared capacity, such as a quota while the counter is
// unreachable: the safe count, or an earlier, higher one while the verdict does not allow a smaller divisor. It is
// NoQuota while this process may not use any quota.
func (m *Machine) QuotaDivisor() int { return m.divisor }

// Senders returns the number of processes that send to a backend that is warming up: the likely count if the verdict
// allows that estimate, otherwise the safe count.
func (m *Machine) Senders() int {
	if allowed, _ := m.Allows(m.now, DivideWarmUpCapacity); allowed {
		return m.likely
	}
	return m.safeCount()
}

// targetQuotaDivisor returns the divisor regardless of the verdict. It is NoQuota for a process outside the roster, for
// a new member that some members may not know of, for a superseded process, and for one with an earlier incarnation
// that is still alive.
func (m *Machine) targetQuotaDivisor() int {
	self := m.peers[m.settings.Self]
	if m.supersededBy != 0 || m.unawareMember() != "" || !m.roster.Has(m.settings.Self) || self != nil && self.hasEarlierIncarnation() {
		return NoQuota
	}
	return m.safeCount()
}

// unawareMember returns a member that may not know yet that this process is a member, "" if there is none.
//
// A member that was partitioned while this process was added still divides quotas by the number of members in its older
// roster. Until every member has announced a roster that includes this process, the others together may use the
// complete quota.
func (m *Machine) unawareMember() string {
	added := memberSince(m.roster, m.settings.Self)
	if m.knownToAll || added == 0 {
		return ""
	}
	for _, other := range m.roster.Members {
		if p := m.peers[other.Name]; other.Name != m.settings.Self && other.Since <= added && (p == nil || p.highestEpoch < added) {
			return other.Name
		}
	}
	m.knownToAll = true
	return ""
}

// safeCount returns an upper bound of the number of processes that may be serving, as far as this process can know:
// members count whether they are alive or not, other processes only while they are alive.
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

// likelyCount returns the number of processes that seem to be alive, including this one.
func (m *Machine) likelyCount() int {
	n := 1
	for name, p := range m.peers {
		if name != m.settings.Self && p.state.Alive() {
			n++
		}
	}
	return n
}
