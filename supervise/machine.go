package supervise

import (
	"fmt"
	"time"
)

// State is the state of a process.
type State string

// The states of a process.
const (
	Down        State = "down"     // no process runs, and none is desired
	BackingOff  State = "pausing"  // the process crashed, and the next start is delayed
	Starting    State = "starting" // the process was spawned or adopted, and is not ready
	Ready       State = "ready"    // the last health check succeeded
	Terminating State = "leaving"  // the process is shutting down
)

// Machine supervises the process of one instance. It is not safe for concurrent use. Create it with New.
type Machine struct {
	policy       Policy
	state        State
	reason       string
	desired      *Spec
	running      *Spec // the spec of the last Spawn, Reload or SetRevision, kept after the process has ended
	crashes      int
	backoff      time.Duration
	deadline     time.Time // BackingOff: when to start the process; Terminating: when to kill it
	startedAt    time.Time
	killed       bool // the current process was killed
	spawnPending bool // a Spawn has neither succeeded nor failed yet
	actions      []Action
}

// New returns a machine without a process. The argument crashes is the number of crashes so far. The error is that of
// Policy.Validate.
func New(policy Policy, crashes int) (*Machine, error) {
	if err := policy.Validate(); err != nil {
		return nil, err
	}
	return &Machine{policy: policy, state: Down, crashes: crashes}, nil
}

// Status is the state of an instance for display, as the agents' interface returns it.
type Status struct {
	State   State  `json:"state"`
	Reason  string `json:"why,omitempty"`
	Running *Spec  `json:"running,omitempty"` // spec of the process, or of the last one if none runs
	Desired *Spec  `json:"wanted,omitempty"`
	Crashes int    `json:"crashes"` // exits without Terminate, and failed starts
}

// Status returns the current state. The caller must not change the specs that it points to.
func (m *Machine) Status() Status {
	return Status{m.state, m.reason, m.running, m.desired, m.crashes}
}

// Due returns the time by which the machine needs a Tick, or zero if no action is due without another event.
func (m *Machine) Due() time.Time {
	if m.state == BackingOff || m.state == Terminating && !m.killed {
		return m.deadline
	}
	return time.Time{}
}

// Handle processes an event that happened at now and returns the actions to take, in a slice that is valid until the
// next call.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case DesiredState:
		m.desired = e.Spec
	case Adopted:
		m.handleAdoption(now, e.Spec)
	case Started:
		m.spawnPending = false
		m.startedAt = now
	case StartFailed:
		m.spawnPending = false
		m.handleCrash(now, e.Reason)
	case ReloadFailed:
		m.handleReloadFailure(e)
		return m.actions // retried at the next event: an immediate retry would loop while the cause persists
	case Exited:
		m.handleExit(now, e.Reason)
	case Health:
		m.handleHealth(e.Ready)
	case Tick:
	}
	m.step(now)
	return m.actions
}

func (m *Machine) setState(state State, reason string) { m.state, m.reason = state, reason }

func (m *Machine) handleAdoption(now time.Time, spec Spec) {
	if m.state != Down {
		return
	}
	m.running, m.startedAt = &spec, now
	if m.desired == nil {
		m.desired = &spec
	}
	m.setState(Starting, "it ran before the agent did")
}

func (m *Machine) handleReloadFailure(e ReloadFailed) {
	if m.state == Starting || m.state == Ready {
		m.running, m.reason = &e.Previous, e.Reason
	}
}

func (m *Machine) handleHealth(ready bool) {
	switch {
	case ready && m.state == Starting && !m.spawnPending: // otherwise an earlier process was checked
		m.setState(Ready, "")
	case !ready && m.state == Ready:
		m.setState(Starting, "it is not ready any more")
	}
}

func (m *Machine) handleExit(now time.Time, reason string) {
	switch m.state {
	case Terminating:
		m.backoff = 0
		m.setState(Down, "")
	case Starting, Ready:
		m.handleCrash(now, reason)
	}
}

// handleCrash delays the next start by an exponential backoff.
func (m *Machine) handleCrash(now time.Time, reason string) {
	m.crashes++
	if m.backoff == 0 || m.state == Ready && now.Sub(m.startedAt) >= m.policy.BackoffResetUptime {
		m.backoff = m.policy.InitialBackoff
	} else {
		m.backoff = min(2*m.backoff, m.policy.MaxBackoff)
	}
	m.deadline = now.Add(m.backoff)
	m.setState(BackingOff, reason)
}

// step takes the actions that are due in the current state and at this time: at most one Spawn, Reload, SetRevision,
// Terminate or Kill.
func (m *Machine) step(now time.Time) {
	switch m.state {
	case Down:
		if m.desired != nil {
			m.spawn()
		}
	case BackingOff:
		// The deadline is never further away than the backoff: otherwise setting the wall clock back would delay the
		// start by as much.
		m.deadline = earlierTime(m.deadline, now.Add(m.backoff))
		switch {
		case m.desired == nil:
			m.setState(Down, "")
		case m.running != nil && m.running.FilesChecksum != m.desired.FilesChecksum:
			// The process crashed with other files, so the backoff does not apply to the desired ones.
			m.backoff = 0
			m.spawn()
		case !now.Before(m.deadline):
			m.spawn()
		}
	case Starting, Ready:
		if !m.spawnPending {
			m.reconcile(now)
		}
	case Terminating:
		m.deadline = earlierTime(m.deadline, now.Add(m.killDelay())) // as for BackingOff
		if !m.killed && !now.Before(m.deadline) {
			m.killed = true
			m.actions = append(m.actions, Kill{})
		}
	}
}

// killDelay returns how long the process may take to shut down before it is killed.
func (m *Machine) killDelay() time.Duration { return m.running.MaxRequestDuration + m.policy.KillDelay }

// earlierTime returns the earlier of two times.
func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (m *Machine) spawn() {
	spec := *m.desired
	m.running, m.spawnPending = &spec, true
	m.setState(Starting, "")
	m.actions = append(m.actions, Spawn{spec})
}

// reconcile takes the step that brings a running process to the desired spec.
func (m *Machine) reconcile(now time.Time) {
	switch StepBetween(m.running, m.desired) {
	case StepNone:
		if m.running.Revision != m.desired.Revision || m.running.ContentChecksum != m.desired.ContentChecksum {
			spec := *m.desired
			m.running = &spec
			m.actions = append(m.actions, SetRevision{spec})
		}
	case StepReload:
		spec, previous := *m.desired, *m.running
		m.running, m.reason = &spec, ""
		m.actions = append(m.actions, Reload{spec, previous})
	case StepRestart, StepStop:
		reason := "nothing is to run"
		if m.desired != nil {
			reason = fmt.Sprintf("it makes room for revision %d", m.desired.Revision)
		}
		m.setState(Terminating, reason)
		m.killed, m.deadline = false, now.Add(m.killDelay())
		m.actions = append(m.actions, Terminate{})
	}
}
