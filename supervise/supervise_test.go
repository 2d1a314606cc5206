package supervise

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	policy    = Policy{InitialBackoff: time.Second, MaxBackoff: 4 * time.Second, BackoffResetUptime: time.Minute, KillDelay: 5 * time.Second}
	startTime = time.Unix(1_800_000_000, 0)

	first     = &Spec{1, "", "files-1", "fixed-1", 0}
	reloaded  = &Spec{2, "", "files-2", "fixed-1", 0} // a reload away from first
	restarted = &Spec{3, "", "files-3", "fixed-3", 0} // a restart away from both
	sameFiles = &Spec{4, "", "files-3", "fixed-3", 0} // differs from restarted by the revision alone
)

// step is an event at a time in seconds after startTime, with the actions and the state that it must lead to.
type step struct {
	at    float64
	event Event
	want  []Action
	state State
}

// runSteps runs the steps on a new machine and returns it.
func runSteps(t *testing.T, steps ...step) *Machine {
	t.Helper()
	machine, err := New(policy, 0)
	if err != nil {
		t.Fatal(err)
	}
	for n, s := range steps {
		got := machine.Handle(startTime.Add(time.Duration(s.at*float64(time.Second))), s.event)
		if len(got) != len(s.want) || len(got) > 0 && !reflect.DeepEqual(got, s.want) || machine.state != s.state {
			t.Fatalf("step %d, %T at %g s: actions %v and state %s, want %v and %s", n, s.event, s.at, got, machine.state, s.want, s.state)
		}
	}
	return machine
}

func TestStartReloadRestartStop(t *testing.T) {
	m := runSteps(t,
		step{0, Tick{}, nil, Down},
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Health{true}, nil, Starting}, // from the check of an earlier process
		step{0.1, Started{}, nil, Starting},
		step{1, Health{true}, nil, Ready},
		step{2, DesiredState{reloaded}, []Action{Reload{*reloaded, *first}}, Ready},
		step{3, DesiredState{restarted}, []Action{Terminate{}}, Terminating},
		step{4, Tick{}, nil, Terminating},
		step{5, Exited{}, []Action{Spawn{*restarted}}, Starting},
		step{5, Started{}, nil, Starting},
		step{6, Health{true}, nil, Ready},
		step{7, DesiredState{sameFiles}, []Action{SetRevision{*sameFiles}}, Ready},
		step{8, DesiredState{nil}, []Action{Terminate{}}, Terminating},
		step{9, Exited{}, nil, Down},
		step{10, Tick{}, nil, Down})
	if s := m.Status(); s.Crashes != 0 || !m.Due().IsZero() {
		t.Fatalf("status %+v and a tick due at %v, want no crash and no tick", s, m.Due())
	}
}

func TestBackoffGrowsWithEachCrash(t *testing.T) {
	m := runSteps(t,
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Started{}, nil, Starting},
		step{0.5, Exited{"exit 2"}, nil, BackingOff},
		step{1.4, Tick{}, nil, BackingOff},
		step{1.5, Tick{}, []Action{Spawn{*first}}, Starting},
		step{1.5, StartFailed{"no such file"}, nil, BackingOff}, // until 3.5 s
		step{3.4, Tick{}, nil, BackingOff},
		step{3.5, Tick{}, []Action{Spawn{*first}}, Starting},
		step{3.5, Started{}, nil, Starting},
		step{3.6, Exited{}, nil, BackingOff}, // until 7.6 s
		step{7.6, Tick{}, []Action{Spawn{*first}}, Starting},
		step{7.6, Started{}, nil, Starting},
		step{8, Health{true}, nil, Ready},
		step{80, Exited{}, nil, BackingOff}, // it was up long enough to reset the backoff
		step{81, Tick{}, []Action{Spawn{*first}}, Starting})
	if s := m.Status(); s.Crashes != 4 {
		t.Fatalf("status %+v, want 4 crashes", s)
	}
}

func TestBackoffDoesNotApplyToAnotherRevision(t *testing.T) {
	runSteps(t,
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Started{}, nil, Starting},
		step{0.1, Exited{}, nil, BackingOff},
		step{0.2, DesiredState{restarted}, []Action{Spawn{*restarted}}, Starting})
}

// TestProcessThatDoesNotTerminateIsKilledOnce also checks that a process that is killed on request does not count as
// crashed.
func TestProcessThatDoesNotTerminateIsKilledOnce(t *testing.T) {
	m := runSteps(t,
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Started{}, nil, Starting},
		step{1, DesiredState{nil}, []Action{Terminate{}}, Terminating},
		step{5.9, Tick{}, nil, Terminating},
		step{6, Tick{}, []Action{Kill{}}, Terminating},
		step{7, Tick{}, nil, Terminating},
		step{7, DesiredState{restarted}, nil, Terminating}, // desired again before the process has ended
		step{8, Exited{}, []Action{Spawn{*restarted}}, Starting})
	if m.Status().Crashes != 0 {
		t.Fatal("a requested termination was counted as a crash")
	}
}

// TestProcessOfEarlierAgentIsAdopted checks that a process that runs the desired spec is not restarted after a restart
// of the agent, and that it is supervised like any other.
func TestProcessOfEarlierAgentIsAdopted(t *testing.T) {
	runSteps(t,
		step{0, Adopted{*first}, nil, Starting}, // its spec is desired until DesiredState sets another
		step{0, Health{true}, nil, Ready},
		step{1, DesiredState{nil}, []Action{Terminate{}}, Terminating})
	m, _ := New(policy, 7)
	m.desired = first
	if actions := m.Handle(startTime, Adopted{*first}); len(actions) != 0 || m.state != Starting {
		t.Fatalf("adoption: actions %v and state %s", actions, m.state)
	}
	if actions := m.Handle(startTime, Health{true}); len(actions) != 0 || m.state != Ready {
		t.Fatalf("health check: actions %v and state %s", actions, m.state)
	}
	if actions := m.Handle(startTime, DesiredState{reloaded}); !reflect.DeepEqual(actions, []Action{Reload{*reloaded, *first}}) {
		t.Fatalf("new desired state: actions %v", actions)
	}
	m.Handle(startTime, Exited{"gone"})
	if m.Status().Crashes != 8 {
		t.Fatalf("status %+v, want 8 crashes", m.Status())
	}
}

// TestClockSetBackDelaysNothing guards against a start or a kill that is delayed by as much as the wall clock was set
// back.
func TestClockSetBackDelaysNothing(t *testing.T) {
	runSteps(t,
		step{1000, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{1000, Started{}, nil, Starting},
		step{1000, Exited{}, nil, BackingOff},
		step{0, Tick{}, nil, BackingOff},
		step{1, Tick{}, []Action{Spawn{*first}}, Starting},
		step{1, Started{}, nil, Starting},
		step{2000, DesiredState{nil}, []Action{Terminate{}}, Terminating},
		step{3, Tick{}, nil, Terminating},
		step{8, Tick{}, []Action{Kill{}}, Terminating})
}

// TestFailedReloadIsRetried checks that the status shows the spec that still runs, and that the next event retries.
func TestFailedReloadIsRetried(t *testing.T) {
	m := runSteps(t,
		step{0, Adopted{*first}, nil, Starting},
		step{0, Health{true}, nil, Ready},
		step{1, DesiredState{reloaded}, []Action{Reload{*reloaded, *first}}, Ready},
		step{1, ReloadFailed{*first, "disk full"}, nil, Ready})
	if s := m.Status(); s.Running.Revision != 1 || s.Reason != "disk full" {
		t.Fatalf("status %+v, want revision 1", s)
	}
	if actions := m.Handle(startTime.Add(2*time.Second), Tick{}); len(actions) != 1 {
		t.Fatalf("actions %v, want one", actions)
	}
}

func TestKillWaitsForLongestRequest(t *testing.T) {
	long := &Spec{9, "", "files-9", "fixed-9", 30 * time.Second}
	runSteps(t,
		step{0, Adopted{*long}, nil, Starting},
		step{0, DesiredState{nil}, []Action{Terminate{}}, Terminating},
		step{34, Tick{}, nil, Terminating},
		step{35, Tick{}, []Action{Kill{}}, Terminating})
}

func TestPolicyValidation(t *testing.T) {
	for name, invalid := range map[string]Policy{
		"no backoff": {}, "shrinking backoff": {time.Second, time.Millisecond, 1, 1}, "no reset uptime": {1, 1, 0, 1}, "no kill delay": {1, 1, 1, 0},
	} {
		if _, err := New(invalid, 0); err == nil {
			t.Errorf("%s: %+v was accepted", name, invalid)
		}
	}
}

// TestAnySequenceOfEvents sends random events, and checks that the machine never runs two processes, and reaches the
// desired state once the events stop.
func TestAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, _ := New(policy, 0)
		process := &fakeProcess{t: t, machine: machine, now: startTime}
		var desired *Spec
		specs := []*Spec{nil, first, reloaded, restarted, sameFiles}
		events := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 120).Draw(t, "events")
		for n, kind := range events {
			process.now = process.now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, fmt.Sprint("gap", n))) * time.Millisecond)
			switch kind {
			case 0, 1:
				desired = rapid.SampledFrom(specs).Draw(t, fmt.Sprint("desired", n))
				process.handle(DesiredState{desired})
			case 2:
				process.start()
			case 3:
				if process.spawning {
					process.spawning = false
					process.handle(StartFailed{"no"})
				}
			case 4:
				process.exit("gone")
			case 5:
				process.handle(Health{rapid.Bool().Draw(t, fmt.Sprint("ready", n))})
			case 6:
				process.handle(Tick{})
			}
		}
		for range 20 {
			process.now = process.now.Add(10 * time.Second)
			process.start()
			if process.terminations > 0 {
				process.exit("")
			}
			process.handle(Health{process.running})
			process.handle(Tick{})
		}
		if process.running != (desired != nil) || process.running && (process.spec != *desired || machine.state != Ready) {
			t.Fatalf("after the last event: running %v with %+v, state %s; desired %+v", process.running, process.spec, machine.state, desired)
		}
	})
}

// fakeProcess simulates the process and its driver. It fails the test if the machine takes an action that must not
// occur.
type fakeProcess struct {
	t                   *rapid.T
	machine             *Machine
	now                 time.Time
	spawning, running   bool
	spec                Spec
	terminations, kills int // of the current process
}

func (p *fakeProcess) handle(event Event) {
	for _, action := range p.machine.Handle(p.now, event) {
		switch action := action.(type) {
		case Spawn:
			if p.running || p.spawning {
				p.t.Fatal("a second process was started")
			}
			p.spawning, p.spec, p.terminations, p.kills = true, action.Spec, 0, 0
		case Reload:
			if !p.running || action.Spec.StartupChecksum != p.spec.StartupChecksum {
				p.t.Fatal("a reload in place of a restart")
			}
			p.spec = action.Spec
		case SetRevision:
			if action.Spec.FilesChecksum != p.spec.FilesChecksum {
				p.t.Fatal("SetRevision with other files")
			}
			p.spec = action.Spec
		case Terminate:
			if p.terminations++; !p.running || p.terminations > 1 {
				p.t.Fatal("the process was terminated twice, or is not running")
			}
		case Kill:
			if p.kills++; !p.running || p.terminations == 0 || p.kills > 1 {
				p.t.Fatal("the process was killed twice or before it was terminated, or is not running")
			}
		}
	}
}

// start completes a pending spawn.
func (p *fakeProcess) start() {
	if p.spawning {
		p.spawning, p.running = false, true
		p.handle(Started{})
	}
}

// exit ends the process if it is running.
func (p *fakeProcess) exit(reason string) {
	if p.running {
		p.running = false
		p.handle(Exited{reason})
	}
}
