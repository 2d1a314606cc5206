package rollout

import "fmt"

// advance assigns the new revision to as many instances as the wave and MaxUnavailable allow, and goes on to the next wave
// once this one is complete.
func (m *Machine) advance() {
	for m.advanceWave() {
	}
}

// advanceWave advances the present wave and reports whether the next one begins.
func (m *Machine) advanceWave() (next bool) {
	if len(m.order) == 0 {
		m.setState(Applied, "the site has no instances")
		return false
	}
	list := m.participants()
	if len(list) == 0 {
		return false // no instance can prove the revision; the deadline decides
	}
	wave := m.progress(list)
	if !m.assignWave(list, wave.assigned) || wave.pending {
		return false
	}
	if wave.updated == 0 {
		// A wave without an updated instance proves nothing.
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

// waveProgress counts the instances of a list by their progress to the new revision.
type waveProgress struct {
	assigned int  // instances that were assigned it
	updated  int  // instances in PhaseUpdated
	pending  bool // some that were assigned it may still complete the update
}

func (m *Machine) progress(list []*instance) (wave waveProgress) {
	for _, inst := range list {
		if inst.phase == PhaseUpdated {
			wave.updated++
		}
		if inst.assigned != m.target {
			continue
		}
		wave.assigned++
		if inst.phase != PhaseUpdated && inst.phase != PhaseFailed && !inst.silent {
			wave.pending = true
		}
	}
	return wave
}

// assignWave assigns the new revision to further instances of the list until the present wave has its size; assigned is
// the number of those that were assigned it before. They count into the wave even if they joined or returned later, so
// that they do not enlarge it. It reports whether nothing was left to assign.
func (m *Machine) assignWave(list []*instance, assigned int) (complete bool) {
	complete = true
	size := m.waveSize(len(list))
	for _, inst := range list {
		if assigned >= size {
			break
		}
		if inst.assigned == m.target || inst.silent {
			continue
		}
		complete = false
		if !m.mayAssign(inst, list) {
			break
		}
		m.assign(inst, m.target)
		m.setPhase(inst, PhaseUpdating, fmt.Sprintf("told, in wave %d", m.wave+1))
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
	fraction := m.policy.Waves[min(m.wave-1, len(m.policy.Waves)-1)]
	return max(canaries, int(fraction*float64(count)+oneMinusEpsilon))
}

// oneMinusEpsilon rounds a product up when it is added before truncation. It is below 1 so that the rounding error of a
// product that should be an integer does not add an instance.
const oneMinusEpsilon = 0.999999
