package rollout

import (
	"fmt"
	"time"
)

// noTime marks a time on the machine's clock as unset.
const noTime time.Duration = -1

// Machine runs one rollout after another. It is not safe for concurrent use. Create it with New.
type Machine struct {
	policy Policy

	state          State
	reason         string // why it is in this state
	target         Revision
	previous       Revision
	baseline       float64 // service level at the start of the rollout
	instances      map[string]*instance
	order          []string      // instance names in the order of assignment
	wave           int           // 0: the canaries; otherwise Policy.Waves[wave-1]
	elapsed        time.Duration // the time on the machine's own clock, see advanceClock
	lastEventAt    time.Time
	directionStart time.Duration // when the rollout started to advance or to roll back
	lowSince       time.Duration // since when the service level has been too low, or noTime
	actions        []Action
}

// New returns an idle machine. The error is that of Policy.Validate.
func New(policy Policy) (*Machine, error) {
	if err := policy.Validate(); err != nil {
		return nil, err
	}
	return &Machine{policy: policy, state: Idle, instances: map[string]*instance{}, lowSince: noTime}, nil
}

// Handle processes an event that happened at now and returns the actions to take, in a slice that is valid until the
// next call. An event that is not allowed in the current state returns an *EventError and changes nothing.
func (m *Machine) Handle(now time.Time, event Event) ([]Action, error) {
	m.actions = m.actions[:0]
	if err := m.checkEvent(event); err != nil {
		return nil, err
	}
	m.advanceClock(now)
	switch e := event.(type) {
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

// EventError reports an event that is not allowed in the state that the machine is in.
type EventError struct {
	Event  Event
	State  State
	reason string
}

// Error returns why the event is not allowed.
func (e *EventError) Error() string { return e.reason }

// checkEvent returns an *EventError if an event is not allowed in the current state.
func (m *Machine) checkEvent(event Event) error {
	var reason string
	switch e := event.(type) {
	case Start:
		reason = m.checkStart(e)
	case Pause:
		if m.state != Advancing {
			reason = fmt.Sprintf("it is %s, and can't be paused", m.state)
		}
	case Resume:
		if m.state != Paused {
			reason = fmt.Sprintf("it is %s, and can't be resumed", m.state)
		}
	case Abort:
		if !m.running() {
			reason = fmt.Sprintf("it is %s, and can't be aborted", m.state)
		}
	}
	if reason != "" {
		return &EventError{event, m.state, reason}
	}
	return nil
}

// running reports whether the rollout still proceeds to the new revision: it is Advancing or Paused.
func (m *Machine) running() bool { return m.state == Advancing || m.state == Paused }

// advanceClock advances the machine's clock by the time since the last event. The clock never goes back, and a gap
// between two events counts for at most half of SilenceTimeout. Otherwise setting the wall clock forward, or suspending
// the process, would make all instances silent and overdue at once, and setting the wall clock back would postpone all
// deadlines.
func (m *Machine) advanceClock(now time.Time) {
	if !m.lastEventAt.IsZero() {
		m.elapsed += min(max(now.Sub(m.lastEventAt), 0), m.policy.SilenceTimeout/2)
	}
	m.lastEventAt = now
}

// setState sets the state of the rollout and reports the transition.
func (m *Machine) setState(state State, reason string) {
	if state != m.state {
		m.actions = append(m.actions, Transition{From: string(m.state), To: string(state), Reason: reason})
	}
	m.state, m.reason = state, reason
}

// setPhase sets the phase of an instance and reports the transition. PhasePending is reported even if the phase does
// not change, since an instance that joins starts in it.
func (m *Machine) setPhase(inst *instance, phase Phase, reason string) {
	if phase != inst.phase || inst.phase == PhasePending {
		m.actions = append(m.actions, Transition{Instance: inst.name, From: string(inst.phase), To: string(phase), Reason: reason})
	}
	inst.phase = phase
}

// step makes the decisions that are due after an event.
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
