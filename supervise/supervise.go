// Package supervise decides when the process of a gateway instance is started, reloaded, terminated or killed, and how
// long a start is delayed after a crash. It is a pure state machine: events go in with the time at which they happened,
// actions come out. It does no I/O, starts no goroutine and reads no clock.
//
// The desired Spec is an input, chosen by package rollout for each instance; so is the result of each health check. The
// driver, package internal/process, owns the process and its files, and one of its goroutines owns the Machine. The
// driver must carry out all actions in order, respond to each Spawn with Started or StartFailed, and send a Tick no
// later than Due.
package supervise

import (
	"fmt"
	"time"
)

// Spec identifies what a gateway process runs with. From one spec to another with the same FilesChecksum only the
// revision number changes; with the same StartupChecksum a reload is sufficient; otherwise a restart is needed.
type Spec struct {
	Revision        uint64 `json:"revision"`
	ContentChecksum string `json:"content,omitempty"` // of the revision, whose number may occur at another site too
	FilesChecksum   string `json:"files"`             // of all files that are written for the process
	StartupChecksum string `json:"fixed"`             // of the settings that the process reads only at its start
	// MaxRequestDuration is how long a request may take, and so how long a graceful shutdown may take.
	MaxRequestDuration time.Duration `json:"longest_ns"`
}

// Step is what it takes to bring an instance from one spec to another.
type Step string

// The steps, the least disruptive first.
const (
	StepNone    Step = "nothing"
	StepReload  Step = "reload"
	StepRestart Step = "restart"
	StepStart   Step = "start"
	StepStop    Step = "stop"
)

// StepBetween returns the step from one spec to another. A nil spec means that no process runs.
func StepBetween(from, to *Spec) Step {
	switch {
	case to == nil && from == nil:
		return StepNone
	case to == nil:
		return StepStop
	case from == nil:
		return StepStart
	case from.FilesChecksum == to.FilesChecksum:
		return StepNone
	case from.StartupChecksum == to.StartupChecksum:
		return StepReload
	}
	return StepRestart
}

// Policy sets the delays before a crashed process is restarted and before a terminating one is killed.
type Policy struct {
	InitialBackoff     time.Duration // delay of the start after the first crash, doubled with each further crash
	MaxBackoff         time.Duration // upper limit of the delay
	BackoffResetUptime time.Duration // uptime of a ready process after which a crash starts again at InitialBackoff
	KillDelay          time.Duration // time from Terminate to Kill, in addition to the spec's MaxRequestDuration
}

// Validate returns an error unless all durations are above 0 and MaxBackoff is at least InitialBackoff. The error is
// shown to operators, so it uses the words of the agent's configuration file.
func (p *Policy) Validate() error {
	if p.InitialBackoff <= 0 || p.MaxBackoff < p.InitialBackoff || p.BackoffResetUptime <= 0 || p.KillDelay <= 0 {
		return fmt.Errorf("supervise: pauses %v to %v, calm after %v, kill after %v: all must be above 0, and the pauses rise",
			p.InitialBackoff, p.MaxBackoff, p.BackoffResetUptime, p.KillDelay)
	}
	return nil
}
