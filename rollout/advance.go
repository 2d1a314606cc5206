package rollout

import "fmt"

// advance assigns the new revision to as many instances as the wave and MaxUnavailable allow, and moves to the next
// wave once this one is complete.
func (m *Machine) advance() {
	for m.advanceWave() {
	}
}

// advanceWave advances the current wave and reports whether the next one begins.
func (m *Machine) advanceWave() (next bool) {
	if len(m.order) == 0 {
		m.setState(Applied, "the site has no instances")
		return false
	}
	participants := m.participants()
	if len(participants) == 0 {
		return false // no instance can prove the revision: the rollout waits until Policy.Timeout
	}
	progress := m.countProgress(participants)
	if !m.assignWave(participants, progress.assigned) || progress.pending {
		return false
	}
	if progress.updated == 0 {
		// A wave without an updated instance proves nothing about the revision.
		if progress.assigned > 0 {
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

// waveProgress is the progress of the participants towards the new revision.
type waveProgress struct {
	assigned int  // instances that were assigned the new revision
	updated  int  // instances in PhaseUpdated
	pending  bool // some of the assigned instances may still complete the update
}

func (m *Machine) countProgress(participants []*instance) (progress waveProgress) {
	for _, inst := range participants {
		if inst.phase == PhaseUpdated {
			progress.updated++
		}
		if inst.assigned != m.target {
			continue
		}
		progress.assigned++
		if inst.phase != PhaseUpdated && inst.phase != PhaseFailed && !inst.silent {
			progress.pending = true
		}
	}
	return progress
}

// assignWave assigns the new revision to further participants until the current wave has its size, and reports whether
// nothing was left to assign. The argument assigned is the number of participants that have been assigned it before.
// All of them count towards the wave, also those that joined or returned later, so that they do not enlarge it.
func (m *Machine) assignWave(participants []*instance, assigned int) (complete bool) {
	complete = true
	size := m.waveSize(len(participants))
	for _, inst := range participants {
		if assigned >= size {
			break
		}
		if inst.assigned == m.target || inst.silent {
			continue
		}
		complete = false
		if !m.mayAssign(inst, participants) {
			break
		}
		m.assign(inst, m.target)
		m.setPhase(inst, PhaseUpdating, fmt.Sprintf("assigned in wave %d", m.wave+1))
		assigned++
	}
	return complete
}

// waveSize returns how many of count instances are assigned by the end of the current wave.
func (m *Machine) waveSize(count int) int {
	canaries := min(m.policy.Canaries, count)
	if m.wave == 0 {
		return canaries
	}
	fraction := m.policy.Waves[min(m.wave-1, len(m.policy.Waves)-1)]
	return max(canaries, int(fraction*float64(count)+oneMinusEpsilon))
}

// oneMinusEpsilon is added before truncation to round a product up. It is below 1 so that the rounding error of a
// product that should be an integer does not add an instance.
const oneMinusEpsilon = 0.999999
