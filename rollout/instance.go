package rollout

import (
	"time"
)

// instance is what the machine knows of one instance.
type instance struct {
	name           string
	phase          Phase
	observed       Observed
	reported       bool          // it has been heard of
	lastReportAt   time.Duration // when it was last heard of
	silent         bool
	absent         bool // silent from the start: left out of the rollout until it returns
	assigned       Revision
	assignedAt     time.Duration
	readySince     time.Duration // since when it is ready with the assigned revision, or never
	crashesBefore  int           // when the revision was assigned
	unconfirmed    bool          // it was assigned the new revision, and has not been heard to be ready with it since
	downSince      time.Duration // when it was last assigned a revision or found unready
	startedUnready bool          // it was not ready at its assignment, so its failure says nothing about the revision
}

// newInstance returns an instance as it is known at the start.
func (m *Machine) newInstance(name string, k InitialInstance) *instance {
	i := &instance{
		name:         name,
		phase:        PhasePending,
		observed:     k.Observed,
		reported:     !k.Unreachable,
		lastReportAt: m.elapsed,
		downSince:    m.elapsed,
		silent:       k.Unreachable,
		absent:       k.Unreachable,
		readySince:   noTime,
	}
	if k.Unreachable {
		i.phase = PhaseSilent
	}
	return i
}

// unavailable reports whether an instance can't serve, as far as is known. After an assignment it counts as unavailable
// until it is heard to be ready.
func (i *instance) unavailable() bool {
	return i.silent || i.unconfirmed || !i.observed.Ready || i.assigned != 0 && i.readySince < 0
}

// excluded reports whether an unavailable instance no longer counts against MostAway. Otherwise one that never returns
// would use up the limit for good and leave the others on an unwanted revision. Silent ones have a limit of their own.
func (m *Machine) excluded(i *instance) bool {
	return i.silent || m.elapsed-i.downSince > m.policy.ReadyTimeout
}

// mayAssign reports whether an assignment to the next instance keeps within MostAway.
func (m *Machine) mayAssign(next *instance, list []*instance) bool {
	if !next.observed.Ready || next.unavailable() && !m.excluded(next) {
		return true // it does not serve, or is counted already
	}
	unavailable := 0
	for _, i := range list {
		if i.unavailable() && !m.excluded(i) {
			unavailable++
		}
	}
	return unavailable < m.policy.MaxUnavailable
}

// assign has an instance take a revision.
func (m *Machine) assign(i *instance, r Revision) {
	// Even one that ignored earlier assignments is about to stop serving now, so its time starts anew.
	if i.observed.Ready {
		i.downSince = m.elapsed
	}
	i.startedUnready = !i.observed.Ready
	i.assigned = r
	i.assignedAt = m.elapsed
	i.readySince = noTime
	i.crashesBefore = i.observed.Crashes
	i.unconfirmed = false
	m.actions = append(m.actions, Assign{Instance: i.name, Revision: r})
}

// participants returns the instances that the rollout counts, in order: all but those that have been absent since the
// start.
func (m *Machine) participants() (list []*instance) {
	for _, name := range m.order {
		i := m.instances[name]
		if i.absent && i.silent {
			continue
		}
		i.absent = false
		list = append(list, i)
	}
	return list
}
