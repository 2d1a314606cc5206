// Package supervise decides what is done with the process of one gateway: when it is started, has its configuration
// reloaded, is terminated or killed, and how long a start is delayed after a crash. It is a pure state machine: events go
// in with the time at which they happened, actions come out. It does no I/O, starts no goroutine and reads no clock.
//
// It does not choose what an instance runs: the desired Spec is given to it (see package rollout), and it knows nothing of
// other instances. It doesn't check health either; the driver reports it. The driver, package internal/agent, owns the
// process and the files, and one of its goroutines owns the Machine. The driver must carry out every action in order, answer
// each Spawn with Started or StartFailed, and send a Tick once Due has come.
package supervise

import (
	"fmt"
	"time"
)

// Spec is what a gateway runs with. Between two specs with the same Files only the revision number changes; with the
// same Fixed a reload suffices; otherwise a restart is needed.
type Spec struct {
	Revision        uint64 `json:"revision"`
	ContentChecksum string `json:"content,omitempty"` // the revision's checksum: another site's revision may have the same number
	FilesChecksum   string `json:"files"`             // checksum of all files that are written for the process
	StartupChecksum string `json:"fixed"`             // checksum of what the process reads at its start only
	// MaxRequestDuration is how long the gateway may take to answer a request, and so to shut down.
	MaxRequestDuration time.Duration `json:"longest_ns"`
}

// Step is the transition of a process from one spec to another.
type Step string

// The steps, the least disruptive first.
const (
	StepNone    Step = "nothing"
	StepReload  Step = "reload"
	StepRestart Step = "restart"
	StepStart   Step = "start"
	StepStop    Step = "stop"
)

// StepBetween returns the transition of an instance from one spec to another. A nil spec stands for no process.
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

// Policy bounds the delays between a process's ends and its starts, and before it is killed.
type Policy struct {
	InitialBackoff     time.Duration // delay of the start after a first crash; it doubles with each further one
	MaxBackoff         time.Duration // the longest delay of a start
	BackoffResetUptime time.Duration // a process that was up for this long starts again at InitialBackoff
	KillDelay          time.Duration // from Terminate to Kill, beyond the spec's MaxRequestDuration
}

// Validate returns an error unless all durations are above 0 and the backoff does not shrink.
func (p *Policy) Validate() error {
	if p.InitialBackoff <= 0 || p.MaxBackoff < p.InitialBackoff || p.BackoffResetUptime <= 0 || p.KillDelay <= 0 {
		return fmt.Errorf("supervise: pauses %v to %v, calm after %v, kill after %v: all must be above 0, and the pauses rise",
			p.InitialBackoff, p.MaxBackoff, p.BackoffResetUptime, p.KillDelay)
	}
	return nil
}
