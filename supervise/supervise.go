// Package supervise decides what is done with the process of one gateway: when
// it is started, told to read its files again, asked to end or killed, and how
// long a start waits after a crash. It does no I/O, starts no goroutine and
// reads no clock: events go in with their time, actions come out.
package supervise

import (
	"fmt"
	"time"
)

// Spec is what a gateway is to run with. Two specs with the same Files need
// nothing but another number; with the same Fixed, a reload; else a restart.
type Spec struct {
	Revision uint64 `json:"revision"`
	Content  string `json:"content,omitempty"` // the revision's checksum: another site's may have its number
	Files    string `json:"files"`             // checksum of all that is written for it
	Fixed    string `json:"fixed"`             // checksum of what only a start reads
	// MaxRequestDuration is how long the gateway may hold a request, and so its end.
	MaxRequestDuration time.Duration `json:"longest_ns"`
}

// Step is what takes a process from one spec to another.
type Step string

// The steps, from the least.
const (
	StepNone    Step = "nothing"
	StepReload  Step = "reload"
	StepRestart Step = "restart"
	StepStart   Step = "start"
	StepStop    Step = "stop"
)

// StepBetween tells what takes an instance from one spec to another; nil is that of
// one that does not run, or is not to.
func StepBetween(from, to *Spec) Step {
	switch {
	case to == nil && from == nil:
		return StepNone
	case to == nil:
		return StepStop
	case from == nil:
		return StepStart
	case from.Files == to.Files:
		return StepNone
	case from.Fixed == to.Fixed:
		return StepReload
	}
	return StepRestart
}

// Policy is how a process is treated.
type Policy struct {
	InitialBackoff     time.Duration // before the start after a first crash; it doubles
	MaxBackoff         time.Duration
	BackoffResetUptime time.Duration // a process that has run for so long begins with the first pause again
	KillDelay          time.Duration // one that was asked to end has its spec's Longest and so long
}

// Validate tells what is wrong with a policy.
func (p *Policy) Validate() error {
	if p.InitialBackoff <= 0 || p.MaxBackoff < p.InitialBackoff || p.BackoffResetUptime <= 0 || p.KillDelay <= 0 {
		return fmt.Errorf("supervise: pauses %v to %v, calm after %v, kill after %v: all must be above 0, and the pauses rise",
			p.InitialBackoff, p.MaxBackoff, p.BackoffResetUptime, p.KillDelay)
	}
	return nil
}

// State is what a process is at.
type State string

// The states.
const (
	Down        State = "down"     // nothing runs, and nothing is to
	BackingOff  State = "pausing"  // it ended unasked and waits for its next start
	Starting    State = "starting" // it runs and is not ready
	Ready       State = "ready"
	Terminating State = "leaving" // it was asked to end
)

// Machine is one instance's process. It belongs to one goroutine.
type Machine struct {
	policy       Policy
	state        State
	reason       string
	desired      *Spec
	running      *Spec // what the process was started with, or told since
	crashes      int
	backoff      time.Duration
	deadline     time.Time // of the next start, or of the kill
	startedAt    time.Time // the process runs
	killed       bool      // the present process was, for not ending
	spawnPending bool      // a start was ordered, and its answer has not come
	actions      []Action
}

// New returns a machine without a process. Crashes is how many there have been
// so far.
func New(p Policy, crashes int) (*Machine, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	return &Machine{policy: p, state: Down, crashes: crashes}, nil
}

// Event is one thing that happened.
type Event interface{ event() }

type (
	// DesiredState says what is to run; a nil Spec: nothing.
	DesiredState struct{ Spec *Spec }
	// Adopted says that a process from before runs with Spec, which is wanted until
	// somebody says otherwise.
	Adopted struct{ Spec Spec }
	// Started says that the process that was ordered runs.
	Started struct{}
	// StartFailed says that it could not be started.
	StartFailed struct{ Reason string }
	// ReloadFailed says that the files of a Hup could not be written.
	ReloadFailed struct {
		Previous Spec
		Reason   string
	}
	// Exited says that the process has ended.
	Exited struct{ Reason string }
	// Health is what the process answers about its readiness.
	Health struct{ Ready bool }
	// Tick lets time pass.
	Tick struct{}
)

func (DesiredState) event() {}
func (Adopted) event()      {}
func (Started) event()      {}
func (StartFailed) event()  {}
func (ReloadFailed) event() {}
func (Exited) event()       {}
func (Health) event()       {}
func (Tick) event()         {}

// Action is one thing to be done.
type Action interface{ action() }

type (
	// Spawn writes the files of a spec and starts the process. Started or
	// StartFailed is its answer.
	Spawn struct{ Spec Spec }
	// Reload writes the files of a spec and has the process read them. ReloadFailed is
	// its answer if that fails.
	Reload struct{ Spec, Previous Spec }
	// SetRevision records that the process runs another revision that says the same.
	SetRevision struct{ Spec Spec }
	// Terminate asks the process to answer what it holds and end.
	Terminate struct{}
	// Kill ends it.
	Kill struct{}
)

func (Spawn) action()       {}
func (Reload) action()      {}
func (SetRevision) action() {}
func (Terminate) action()   {}
func (Kill) action()        {}

// Status is what an instance is at.
type Status struct {
	State   State  `json:"state"`
	Reason  string `json:"why,omitempty"`
	Running *Spec  `json:"running,omitempty"` // of the process; of the last one where none runs
	Desired *Spec  `json:"wanted,omitempty"`
	Crashes int    `json:"crashes"` // ends that nobody asked for
}

// Status returns what the instance is at.
func (m *Machine) Status() Status {
	return Status{m.state, m.reason, m.running, m.desired, m.crashes}
}

// Due is when time alone makes something due; zero: never.
func (m *Machine) Due() time.Time {
	if m.state == BackingOff || m.state == Terminating && !m.killed {
		return m.deadline
	}
	return time.Time{}
}

// Handle takes one event that happened at now. The slice is valid until the next
// call.
func (m *Machine) Handle(now time.Time, ev Event) []Action {
	m.actions = m.actions[:0]
	switch e := ev.(type) {
	case DesiredState:
		m.desired = e.Spec
	case Adopted:
		if m.state == Down {
			spec := e.Spec
			m.running, m.startedAt = &spec, now
			if m.desired == nil {
				m.desired = &spec
			}
			m.setState(Starting, "it ran before the agent did")
		}
	case Started:
		m.spawnPending = false
		m.startedAt = now
	case StartFailed:
		m.spawnPending = false
		m.handleCrash(now, e.Reason)
	case ReloadFailed:
		if m.state == Starting || m.state == Ready {
			previous := e.Previous
			m.running, m.reason = &previous, e.Reason
		}
		return m.actions // the next event tries again
	case Exited:
		m.handleExit(now, e.Reason)
	case Health:
		switch {
		case e.Ready && m.state == Starting && !m.spawnPending:
			m.setState(Ready, "")
		case !e.Ready && m.state == Ready:
			m.setState(Starting, "it is not ready any more")
		}
	case Tick:
	}
	m.step(now)
	return m.actions
}

func (m *Machine) setState(s State, why string) { m.state, m.reason = s, why }

func (m *Machine) handleExit(now time.Time, why string) {
	switch m.state {
	case Terminating:
		m.backoff = 0
		m.setState(Down, "")
	case Starting, Ready:
		m.handleCrash(now, why)
	}
}

// handleCrash has the next start wait, longer each time.
func (m *Machine) handleCrash(now time.Time, why string) {
	m.crashes++
	if m.backoff == 0 || m.state == Ready && now.Sub(m.startedAt) >= m.policy.BackoffResetUptime {
		m.backoff = m.policy.InitialBackoff
	} else {
		m.backoff = min(2*m.backoff, m.policy.MaxBackoff)
	}
	m.deadline = now.Add(m.backoff)
	m.setState(BackingOff, why)
}

func (m *Machine) step(now time.Time) {
	switch m.state {
	case Down:
		if m.desired != nil {
			m.spawn()
		}
	case BackingOff:
		// Danger: a clock that jumps back would hold the start for as long as it jumped.
		m.deadline = earlierTime(m.deadline, now.Add(m.backoff))
		switch {
		case m.desired == nil:
			m.setState(Down, "")
		case m.running != nil && m.running.Files != m.desired.Files:
			// What crashed is not what is wanted now: the pause was for that.
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
		m.deadline = earlierTime(m.deadline, now.Add(m.killDelay()))
		if !m.killed && !now.Before(m.deadline) {
			m.killed = true
			m.actions = append(m.actions, Kill{})
		}
	}
}

func (m *Machine) killDelay() time.Duration { return m.running.MaxRequestDuration + m.policy.KillDelay }

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

// reconcile takes a running process to what is wanted.
func (m *Machine) reconcile(now time.Time) {
	switch StepBetween(m.running, m.desired) {
	case StepNone:
		if m.running.Revision != m.desired.Revision || m.running.Content != m.desired.Content {
			spec := *m.desired
			m.running = &spec
			m.actions = append(m.actions, SetRevision{spec})
		}
	case StepReload:
		spec, previous := *m.desired, *m.running
		m.running, m.reason = &spec, ""
		m.actions = append(m.actions, Reload{spec, previous})
	case StepRestart, StepStop:
		why := "nothing is to run"
		if m.desired != nil {
			why = fmt.Sprintf("it makes room for revision %d", m.desired.Revision)
		}
		m.setState(Terminating, why)
		m.killed, m.deadline = false, now.Add(m.killDelay())
		m.actions = append(m.actions, Terminate{})
	}
}
