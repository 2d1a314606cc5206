package rollout

import "fmt"

// checkGates checks the instances that were assigned the new revision, and rolls back if any condition for going on is
// not met.
func (m *Machine) checkGates() {
	if m.elapsed-m.directionStart > m.policy.Deadline {
		m.rollBack(fmt.Sprintf("it took longer than %v", m.policy.Deadline))
		return
	}
	silent := 0
	for _, name := range m.order {
		i := m.instances[name]
		if i.assigned != m.target {
			continue
		}
		if i.silent {
			silent++
			continue
		}
		if failure := m.checkInstance(i); failure != "" {
			m.rollBack(failure)
			return
		}
	}
	if silent > m.policy.MaxSilent {
		m.rollBack(fmt.Sprintf("%d instances that were told are silent, and %d may be", silent, m.policy.MaxSilent))
	}
}

// checkInstance updates the phase of an instance that was assigned the new revision. It returns why the rollout must
// be rolled back, "" if it need not.
func (m *Machine) checkInstance(i *instance) (failure string) {
	switch {
	case i.startedUnready:
		m.checkStartedUnready(i)
	case i.observed.Crashes > i.crashesBefore:
		m.setPhase(i, PhaseFailed, "it ended unasked")
		return fmt.Sprintf("%s ended unasked with revision %d", i.name, m.target)
	case i.readySince < 0:
		return m.checkReadyDeadline(i)
	case m.soaked(i):
		m.setPhase(i, PhaseUpdated, fmt.Sprintf("ready and without a crash for %v", m.policy.SoakDuration))
	case i.phase == PhaseUpdating:
		m.setPhase(i, PhaseSoaking, "it is ready")
	}
	return ""
}

// checkReadyDeadline checks an instance that is not ready. It returns why the rollout must be rolled back, "" if it need
// not.
func (m *Machine) checkReadyDeadline(i *instance) (failure string) {
	if m.elapsed-i.assignedAt <= m.policy.ReadyTimeout {
		return ""
	}
	if i.phase == PhaseUpdated {
		// It was ready before, so its time starts when it was found unready.
		i.assignedAt = m.elapsed
		m.setPhase(i, PhaseUpdating, "it is not ready any more")
		return ""
	}
	m.setPhase(i, PhaseFailed, fmt.Sprintf("not ready within %v", m.policy.ReadyTimeout))
	return fmt.Sprintf("%s was not ready with revision %d within %v", i.name, m.target, m.policy.ReadyTimeout)
}

// soaked reports whether an instance has been ready for the time that the policy demands.
func (m *Machine) soaked(i *instance) bool {
	return i.readySince >= 0 && m.elapsed-i.readySince >= m.policy.SoakDuration
}

// checkStartedUnready updates the phase of an instance that was not ready at its assignment. It may recover, and never
// causes a rollback.
func (m *Machine) checkStartedUnready(i *instance) {
	switch {
	case m.soaked(i):
		i.startedUnready, i.crashesBefore = false, i.observed.Crashes
		m.setPhase(i, PhaseUpdated, fmt.Sprintf("it was not ready before, and has been for %v", m.policy.SoakDuration))
	case m.elapsed-i.assignedAt > m.policy.ReadyTimeout+m.policy.SoakDuration && i.phase != PhaseFailed:
		m.setPhase(i, PhaseFailed, "it was not ready before it was told, and is not well now")
	}
}

// advance assigns the new revision to as many instances as the wave and MostAway allow, and goes on to the next wave
// once this one is complete.
func (m *Machine) advance() {
	for m.advanceWave() {
	}
}

// advanceWave does the work of one wave and reports whether the next wave begins.
func (m *Machine) advanceWave() (next bool) {
	if len(m.order) == 0 {
		m.setState(Applied, "the site has no instances")
		return false
	}
	list := m.participants()
	if len(list) == 0 {
		return false // no instance can show that the revision is good; the deadline decides
	}
	wave := m.progress(list)
	if !m.assignWave(list, wave.assigned) || wave.pending {
		return false
	}
	if wave.updated == 0 {
		// A wave in which no instance has shown that the revision is good proves nothing.
		if wave.assigned > 0 {
			m.rollBack("nobody who was told is heard of and ready")
		}
		return false
	}
	if m.wave < len(m.policy.Waves) {
		m.wave++
		return true
	}
	m.finish(Applied, PartlyApplied, m.target)
	return false
}

// waveProgress is how far a list of instances is with the new revision.
type waveProgress struct {
	assigned int  // instances that were assigned it
	updated  int  // instances that are through
	pending  bool // some that were assigned it must be waited for
}

func (m *Machine) progress(list []*instance) (p waveProgress) {
	for _, i := range list {
		if i.phase == PhaseUpdated {
			p.updated++
		}
		if i.assigned != m.target {
			continue
		}
		p.assigned++
		if i.phase != PhaseUpdated && i.phase != PhaseFailed && !i.silent {
			p.pending = true
		}
	}
	return p
}

// assignWave assigns the new revision to further instances of the list until the present wave has its size; assigned is
// how many have it already. These count into the wave even if they joined or returned later, so that they do not enlarge
// it. It reports whether nothing was left to assign.
func (m *Machine) assignWave(list []*instance, assigned int) (complete bool) {
	complete = true
	size := m.waveSize(len(list))
	for _, i := range list {
		if assigned >= size {
			break
		}
		if i.assigned == m.target || i.silent {
			continue
		}
		complete = false
		if !m.mayAssign(i, list) {
			break
		}
		m.assign(i, m.target)
		m.setPhase(i, PhaseUpdating, fmt.Sprintf("told, in wave %d", m.wave+1))
		assigned++
	}
	return complete
}

// waveSize returns how many of count instances have been assigned by the end of the present wave.
func (m *Machine) waveSize(count int) int {
	canaries := min(m.policy.Canaries, count)
	if m.wave == 0 {
		return canaries
	}
	share := m.policy.Waves[min(m.wave-1, len(m.policy.Waves)-1)]
	return max(canaries, int(share*float64(count)+oneMinusEpsilon))
}

// oneMinusEpsilon rounds up without making one more of a product that is whole but for rounding errors.
const oneMinusEpsilon = 0.999999
