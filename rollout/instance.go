package rollout

import "time"

// instance is the state of one instance. Times are on the machine's clock.
type instance struct {
	name                string
	phase               Phase
	observed            Observed
	reported            bool // it has reported, or its state was known at the start
	lastReportAt        time.Duration
	silent              bool
	absent              bool // silent since the start, and left out of the rollout until it reports
	assigned            Revision
	assignedAt          time.Duration
	readySince          time.Duration // since when it has been ready with the assigned revision, or noTime
	crashesAtAssignment int           // number of crashes at its assignment
	unconfirmed         bool          // not reported ready with the new revision, neither before the rollback began nor since
	unavailableSince    time.Duration // when it was last found not ready, or assigned a revision while ready
	unreadyAtAssignment bool          // its failure proves nothing about the revision
}

// newInstance returns an instance as it is at the start of a rollout.
func (m *Machine) newInstance(name string, initial InitialInstance) *instance {
	inst := &instance{
		name:             name,
		phase:            PhasePending,
		observed:         initial.Observed,
		reported:         !initial.Unreachable,
		lastReportAt:     m.elapsed,
		unavailableSince: m.elapsed,
		silent:           initial.Unreachable,
		absent:           initial.Unreachable,
		readySince:       noTime,
	}
	if initial.Unreachable {
		inst.phase = PhaseSilent
	}
	return inst
}

// unavailable reports whether an instance can't serve according to its last report. After an assignment it counts as
// unavailable until it reports ready with the assigned revision.
func (i *instance) unavailable() bool {
	return i.silent || i.unconfirmed || !i.observed.Ready || i.assigned != 0 && i.readySince < 0
}

// excluded reports whether an unavailable instance no longer counts against MaxUnavailable. Otherwise an instance that
// never becomes ready would use up the limit for good and leave the others with the wrong revision. Silent instances
// have a limit of their own, MaxSilent.
func (m *Machine) excluded(inst *instance) bool {
	return inst.silent || m.elapsed-inst.unavailableSince > m.policy.ReadyTimeout
}

// mayAssign reports whether the participants stay within MaxUnavailable if the next instance is assigned a revision.
func (m *Machine) mayAssign(next *instance, participants []*instance) bool {
	if !next.observed.Ready || next.unavailable() && !m.excluded(next) {
		return true // it does not serve, or is already counted as unavailable
	}
	unavailable := 0
	for _, inst := range participants {
		if inst.unavailable() && !m.excluded(inst) {
			unavailable++
		}
	}
	return unavailable < m.policy.MaxUnavailable
}

// assign assigns a revision to an instance.
func (m *Machine) assign(inst *instance, revision Revision) {
	// A ready instance is about to stop serving, even if it ignored earlier assignments, so its ReadyTimeout restarts.
	if inst.observed.Ready {
		inst.unavailableSince = m.elapsed
	}
	inst.unreadyAtAssignment = !inst.observed.Ready
	inst.assigned = revision
	inst.assignedAt = m.elapsed
	inst.readySince = noTime
	inst.crashesAtAssignment = inst.observed.Crashes
	inst.unconfirmed = false
	m.actions = append(m.actions, Assign{Instance: inst.name, Revision: revision})
}

// participants returns the instances that take part in the rollout, in the order of assignment: all but those that have
// been silent since its start. Instances that have reported since are no longer absent.
func (m *Machine) participants() (participants []*instance) {
	for _, name := range m.order {
		inst := m.instances[name]
		if inst.absent && inst.silent {
			continue
		}
		inst.absent = false
		participants = append(participants, inst)
	}
	return participants
}
