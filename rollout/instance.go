package rollout

import "time"

// instance is the state of one instance. Moments are of the machine's clock.
type instance struct {
	name           string
	phase          Phase
	observed       Observed
	reported       bool // ever, or its state was known at the start
	lastReportAt   time.Duration
	silent         bool
	absent         bool // silent since the start: left out of the rollout until it reports
	assigned       Revision
	assignedAt     time.Duration
	readySince     time.Duration // since when it is ready with the assigned revision, or noTime
	crashesBefore  int           // crashes at its assignment
	unconfirmed    bool          // a rollback began before it reported ready with the new revision, and it has not since
	downSince      time.Duration // when it was last found unready, or assigned a revision while ready
	startedUnready bool          // it was not ready at its assignment, so its failure proves nothing about the revision
}

// newInstance returns an instance in its state at the start of a rollout.
func (m *Machine) newInstance(name string, initial InitialInstance) *instance {
	inst := &instance{
		name:         name,
		phase:        PhasePending,
		observed:     initial.Observed,
		reported:     !initial.Unreachable,
		lastReportAt: m.elapsed,
		downSince:    m.elapsed,
		silent:       initial.Unreachable,
		absent:       initial.Unreachable,
		readySince:   noTime,
	}
	if initial.Unreachable {
		inst.phase = PhaseSilent
	}
	return inst
}

// unavailable reports whether an instance can't serve by its last report. After an assignment it counts as unavailable
// until it reports to be ready with the assigned revision.
func (i *instance) unavailable() bool {
	return i.silent || i.unconfirmed || !i.observed.Ready || i.assigned != 0 && i.readySince < 0
}

// excluded reports whether an unavailable instance no longer counts against MaxUnavailable. Otherwise one that never
// becomes ready would use up the limit for good and leave the others with an unwanted revision. Silent ones have a limit of
// their own, MaxSilent.
func (m *Machine) excluded(inst *instance) bool {
	return inst.silent || m.elapsed-inst.downSince > m.policy.ReadyTimeout
}

// mayAssign reports whether an assignment to the next instance keeps the list within MaxUnavailable.
func (m *Machine) mayAssign(next *instance, list []*instance) bool {
	if !next.observed.Ready || next.unavailable() && !m.excluded(next) {
		return true // it does not serve, or is counted already
	}
	unavailable := 0
	for _, inst := range list {
		if inst.unavailable() && !m.excluded(inst) {
			unavailable++
		}
	}
	return unavailable < m.policy.MaxUnavailable
}

// assign assigns a revision to an instance.
func (m *Machine) assign(inst *instance, revision Revision) {
	// A ready instance is about to stop serving, even one that ignored earlier assignments, so its time starts anew.
	if inst.observed.Ready {
		inst.downSince = m.elapsed
	}
	inst.startedUnready = !inst.observed.Ready
	inst.assigned = revision
	inst.assignedAt = m.elapsed
	inst.readySince = noTime
	inst.crashesBefore = inst.observed.Crashes
	inst.unconfirmed = false
	m.actions = append(m.actions, Assign{Instance: inst.name, Revision: revision})
}

// participants returns the instances that count for the rollout, in order: all but those that have been silent since its
// start. It clears the mark of those that have reported since.
func (m *Machine) participants() (list []*instance) {
	for _, name := range m.order {
		inst := m.instances[name]
		if inst.absent && inst.silent {
			continue
		}
		inst.absent = false
		list = append(list, inst)
	}
	return list
}
