package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// noTime is a time that has not come.
const noTime time.Duration = -1

// Machine decides one rollout after another. It is not safe for concurrent use; New makes one.
type Machine struct {
	policy Policy

	state          State
	reason         string // of the state
	target         Revision
	previous       Revision
	baseline       float64 // service level at the start
	instances      map[string]*instance
	order          []string // of the instances, in which they are assigned
	wave           int
	elapsed        time.Duration // by the machine's own clock, see advanceClock
	lastEvent      time.Time
	directionStart time.Duration // when the rollout began to advance or to roll back
	lowSince       time.Duration // since when the service is low, or never
	actions        []Action
}

// New returns a machine without a rollout. It fails if the policy is invalid.
func New(p Policy) (*Machine, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	return &Machine{policy: p, state: Idle, instances: map[string]*instance{}, lowSince: noTime}, nil
}

// Handle handles an event that happened at now and returns the actions to take, in a slice that is valid until the next
// call. It fails if the event is not possible in the present state, which then remains unchanged.
func (m *Machine) Handle(now time.Time, ev Event) ([]Action, error) {
	m.actions = m.actions[:0]
	if err := m.checkEvent(ev); err != nil {
		return nil, err
	}
	m.advanceClock(now)
	switch e := ev.(type) {
	case Start:
		m.start(e)
	case InstanceReported:
		m.handleReport(e)
	case Rejected:
		m.handleRejection(e)
	case InstanceRemoved:
		m.handleRemoval(e)
	case ServiceReported:
		m.handleServiceLevel(e)
	case Pause:
		m.setState(Paused, "paused by "+e.By)
	case Resume:
		m.setState(Advancing, "resumed by "+e.By)
	case Abort:
		m.rollBack("aborted by " + e.By)
	case Tick:
	}
	m.step()
	return m.actions, nil
}

// checkEvent returns an error if an event is not possible in the present state.
func (m *Machine) checkEvent(ev Event) error {
	switch e := ev.(type) {
	case Start:
		return m.checkStart(e)
	case Pause:
		if m.state != Advancing {
			return fmt.Errorf("it is %s, and can't be paused", m.state)
		}
	case Resume:
		if m.state != Paused {
			return fmt.Errorf("it is %s, and can't be resumed", m.state)
		}
	case Abort:
		if !m.running() {
			return fmt.Errorf("it is %s, and can't be aborted", m.state)
		}
	}
	return nil
}

func (m *Machine) checkStart(e Start) error {
	switch {
	case m.state != Idle && !m.state.Ended():
		return fmt.Errorf("rollout of revision %d is %s: a second one can't begin", m.target, m.state)
	case e.New == 0 || e.New == e.Previous:
		return fmt.Errorf("revision %d in place of %d is no change", e.New, e.Previous)
	case e.State != "" && e.State != Advancing && e.State != Paused && e.State != RollingBack && !e.State.Ended():
		return fmt.Errorf("no rollout goes on as %q", e.State)
	}
	return nil
}

// running reports whether the rollout is on its way forward.
func (m *Machine) running() bool { return m.state == Advancing || m.state == Paused }

// advanceClock advances the machine's clock to an event's time. If the wall clock jumped ahead, all instances would be
// silent and late at once, and if it jumped back, deadlines would never pass. So the machine's clock never goes back,
// and a gap between two events counts for at most half of SilentAfter.
func (m *Machine) advanceClock(now time.Time) {
	if !m.lastEvent.IsZero() {
		m.elapsed += min(max(now.Sub(m.lastEvent), 0), m.policy.SilenceTimeout/2)
	}
	m.lastEvent = now
}

// start begins a rollout, or takes over one that another machine began.
func (m *Machine) start(e Start) {
	m.target, m.previous, m.baseline = e.New, e.Previous, e.ServiceLevel
	m.wave, m.directionStart, m.lowSince = 0, m.elapsed, noTime
	m.addInstances(e.Instances)
	if e.State == "" {
		m.setState(Advancing, fmt.Sprintf("revision %d is to take the place of %d at %d instances", e.New, e.Previous, len(m.order)))
		return
	}
	m.state, m.reason = e.State, e.Reason
	if m.running() {
		m.resume(e)
	}
}

// addInstances replaces the instances by those known at the start.
func (m *Machine) addInstances(known map[string]InitialInstance) {
	m.instances, m.order = map[string]*instance{}, nil
	for name, k := range known {
		m.instances[name] = m.newInstance(name, k)
		m.order = append(m.order, name)
	}
	slices.SortFunc(m.order, func(a, b string) int { return compareInstances(m.instances[a], m.instances[b]) })
}

// compareInstances orders instances for assignment. Ready ones come first: a canary that was not ready before proves
// nothing. Otherwise names decide, so that every machine uses the same order.
func compareInstances(a, b *instance) int {
	if a.observed.Ready != b.observed.Ready {
		if a.observed.Ready {
			return -1
		}
		return 1
	}
	return strings.Compare(a.name, b.name)
}

// resume marks the instances that the previous machine assigned the new revision. Otherwise they would be sent back
// and assigned again in their turn.
func (m *Machine) resume(e Start) {
	for _, name := range m.order {
		k := e.Instances[name]
		if k.Unreachable || k.Revision != e.New && k.Assigned != e.New {
			continue
		}
		i := m.instances[name]
		i.assigned = e.New
		i.assignedAt = m.elapsed
		i.crashesBefore = k.Crashes
		i.startedUnready = !k.Ready
		m.setPhase(i, PhaseUpdating, "told before this machine had the lead")
	}
}

// setState sets the state of the rollout and reports the change.
func (m *Machine) setState(s State, why string) {
	if s != m.state {
		m.actions = append(m.actions, Changed{From: string(m.state), To: string(s), Reason: why})
	}
	m.state, m.reason = s, why
}

// setPhase sets the phase of an instance and reports the change.
func (m *Machine) setPhase(i *instance, p Phase, why string) {
	if p != i.phase || i.phase == PhasePending {
		m.actions = append(m.actions, Changed{Instance: i.name, From: string(i.phase), To: string(p), Reason: why})
	}
	i.phase = p
}

// step takes the actions that are due after an event.
func (m *Machine) step() {
	if m.state == Idle {
		return
	}
	m.detectSilence()
	switch m.state {
	case Advancing, Paused:
		m.checkGates()
		if m.state == Advancing {
			m.advance()
		}
	case RollingBack:
		m.continueRollback()
	}
	if m.state.Ended() {
		m.converge()
	}
}
