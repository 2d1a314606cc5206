// Package process runs one gateway of this machine as a process: it spawns the gateway,
// adopts one that an earlier run of the agent left running, checks its health, sends it
// signals and writes its files.
//
// supervise.Machine makes the decisions. This package feeds it the exits of processes,
// timers and results of health checks as events, and executes its actions. The goroutine
// of Run owns the machine, the process id and the files in the instance's directory. Other
// goroutines set the desired state with SetDesired and read the current one with State.
//
// The package does not choose what an instance runs and does not render files: the agent
// does. A gateway outlives the agent: it keeps running after Run has ended, and the
// next Open finds it by the state file. Two Processes must not share a directory.
package process

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"elderyard/internal/document"
	"elderyard/supervise"
)

// Options describe an instance. They must not change after Open.
type Options struct {
	Name    string   // of the instance
	Listen  string   // address at which the gateway serves clients and health checks
	Dir     string   // the instance's directory; Open creates it
	Program string   // path of the gateway's program
	Env     []string // KEY=VALUE added to the agent's own environment
	Policy  supervise.Policy
	Log     *slog.Logger

	// QueryMembership returns the gateway's view of the other members, or the zero value
	// if it has none. It is called after each health check, outside the goroutine of Run,
	// with a timeout of healthCheckTimeout.
	QueryMembership func(ctx context.Context) MembershipView
}

// MembershipView is a gateway's view of the other gateways of its site.
type MembershipView struct {
	Line        string   // one line for operators; "": unknown
	Unreachable []string // names of members that the gateway can't reach
}

// State is the last published state of a Process.
type State struct {
	Status     supervise.Status
	PID        int            // 0: no process runs
	Membership MembershipView // as of the last query of this process
}

// Process is one gateway of this machine.
type Process struct {
	options Options
	log     *slog.Logger
	client  *http.Client // for health checks

	desired chan desiredState
	events  chan supervise.Event

	mu        sync.Mutex
	published State

	// Owned by the goroutine of Run.
	machine  *supervise.Machine
	rendered *document.Rendered // files of the desired state; nil: those on disk are kept
	pid      int                // 0: no process runs
	checking bool               // a health check is in flight
}

// desiredState is a new desired state for the goroutine of Run.
type desiredState struct {
	rendered *document.Rendered // nil: the instance runs nothing
	handled  chan struct{}      // closed when the machine has handled it
}

// Open creates the instance's directory and reads its state file. A gateway that an earlier
// run left is adopted if it is still running. An error names the instance: the directory
// can't be created or the state file can't be read.
func Open(options Options) (*Process, error) {
	p := &Process{options: options, log: options.Log.With("instance", options.Name),
		client:  &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		desired: make(chan desiredState), events: make(chan supervise.Event, 16)}
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("instance %s: %w", options.Name, err)
	}
	saved, err := p.loadState()
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", options.Name, err)
	}
	if p.machine, err = supervise.New(options.Policy, saved.Crashes); err != nil {
		return nil, err
	}
	if saved.Spec != nil && saved.PID != 0 && StartTime(saved.PID) == saved.Started && saved.Started != "" {
		p.pid = saved.PID
		p.machine.Handle(time.Now(), supervise.Adopted{Spec: *saved.Spec})
	}
	p.publish()
	return p, nil
}

// Name returns the instance's name.
func (p *Process) Name() string { return p.options.Name }

// Listen returns the address at which the gateway serves clients.
func (p *Process) Listen() string { return p.options.Listen }

// State returns the last published state. It may be called from any goroutine.
func (p *Process) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.published
}

// SetDesired sets what the instance runs; nil: nothing. It returns when the machine has
// handled the change, which requires that Run is running, or when ctx ends.
func (p *Process) SetDesired(ctx context.Context, rendered *document.Rendered) {
	desired := desiredState{rendered, make(chan struct{})}
	select {
	case p.desired <- desired:
		select {
		case <-desired.handled:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
}

// Run supervises the gateway until ctx ends. It returns when its goroutines for health
// checks have ended. The gateway keeps running.
func (p *Process) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if p.pid != 0 {
		pid, started := p.pid, StartTime(p.pid)
		goroutines.Go(func() { p.watchAdopted(ctx, pid, started) }) // ends with ctx or with the process
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	checkedAt := time.Time{}
	for {
		var event supervise.Event
		select {
		case <-ctx.Done():
			return
		case desired := <-p.desired:
			p.applyDesired(ctx, desired)
			continue
		case event = <-p.events:
			if _, ok := event.(supervise.Health); ok {
				p.checking = false
			}
		case <-timer.C:
			event = supervise.Tick{}
		}
		p.handle(ctx, event)
		now := time.Now()
		interval, due := p.checkInterval()
		if due && !p.checking && now.Sub(checkedAt) >= interval {
			checkedAt, p.checking = now, true
			goroutines.Go(func() { p.check(ctx) }) // ends within the timeouts of its requests
		}
		next := interval
		if at := p.machine.Due(); !at.IsZero() {
			next = min(max(at.Sub(now), time.Millisecond), readyCheckInterval)
		}
		timer.Reset(next)
	}
}

// applyDesired passes a desired state to the machine.
func (p *Process) applyDesired(ctx context.Context, desired desiredState) {
	p.rendered = desired.rendered
	event := supervise.DesiredState{}
	if desired.rendered != nil {
		spec := desired.rendered.Spec
		event.Spec = &spec
	}
	p.handle(ctx, event)
	close(desired.handled)
}

// send passes an event to the goroutine of Run.
func (p *Process) send(ctx context.Context, event supervise.Event) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}

// handle passes an event to the machine and executes its actions. The outcome of a spawn
// or a reload is handled as the next event, before any other. A change of state is saved
// and published.
func (p *Process) handle(ctx context.Context, event supervise.Event) {
	before := p.machine.Status()
	for event != nil {
		if _, ended := event.(supervise.Exited); ended {
			p.pid = 0
		}
		var outcome supervise.Event
		for _, action := range p.machine.Handle(time.Now(), event) {
			if result := p.executeAction(ctx, action); result != nil {
				outcome = result
			}
		}
		event = outcome
	}
	after := p.machine.Status()
	if after.State != before.State || after.Crashes != before.Crashes || after.Running != before.Running {
		p.log.Info("gateway state changed", "state", after.State, "reason", after.Reason, "pid", p.pid, "crashes", after.Crashes)
		p.saveState()
	}
	p.publish()
}

// executeAction executes one action of the machine and returns the event with its
// outcome, or nil if the action has none.
func (p *Process) executeAction(ctx context.Context, action supervise.Action) supervise.Event {
	switch action := action.(type) {
	case supervise.Spawn:
		if err := p.spawn(ctx); err != nil {
			p.log.Error("failed to start gateway", "error", err)
			return supervise.StartFailed{Reason: err.Error()}
		}
		return supervise.Started{}
	case supervise.Reload:
		if err := p.writeFiles(); err != nil {
			p.log.Error("failed to write the gateway's files; it keeps the previous ones", "error", err)
			return supervise.ReloadFailed{Previous: action.Previous, Reason: err.Error()}
		}
		p.log.Info("reloading gateway", "revision", action.Spec.Revision)
		p.signal(syscall.SIGHUP)
	case supervise.SetRevision:
		p.log.Info("revision requires no reload of the gateway", "revision", action.Spec.Revision)
	case supervise.Terminate:
		p.signal(syscall.SIGTERM)
	case supervise.Kill:
		p.log.Warn("gateway exceeded its shutdown deadline; killing it")
		p.signal(syscall.SIGKILL)
	}
	return nil
}

// publish makes the machine's state visible to State. The membership view is dropped when
// no process runs.
func (p *Process) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := State{Status: p.machine.Status(), PID: p.pid}
	if p.pid != 0 {
		state.Membership = p.published.Membership
	}
	p.published = state
}
