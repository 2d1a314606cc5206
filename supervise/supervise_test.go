package supervise

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	policy = Policy{InitialBackoff: time.Second, MaxBackoff: 4 * time.Second, BackoffResetUptime: time.Minute, KillDelay: 5 * time.Second}
	began  = time.Unix(1_800_000_000, 0)

	first     = &Spec{1, "", "files-1", "fixed-1", 0}
	reloaded  = &Spec{2, "", "files-2", "fixed-1", 0} // needs a reload after first
	restarted = &Spec{3, "", "files-3", "fixed-3", 0} // needs a restart after both
	sameFiles = &Spec{4, "", "files-3", "fixed-3", 0} // needs nothing after restarted
)

type step struct {
	at    float64 // seconds
	event Event
	want  []Action
	state State
}

func play(t *testing.T, steps ...step) *Machine {
	t.Helper()
	m, err := New(policy, 0)
	if err != nil {
		t.Fatal(err)
	}
	for n, s := range steps {
		got := m.Handle(began.Add(time.Duration(s.at*float64(time.Second))), s.event)
		if len(got) != len(s.want) || len(got) > 0 && !reflect.DeepEqual(got, s.want) || m.state != s.state {
			t.Fatalf("step %d, %T at %g s: %v and %s, want %v and %s", n, s.event, s.at, got, m.state, s.want, s.state)
		}
	}
	return m
}

func TestStartReloadRestartStop(t *testing.T) {
	m := play(t,
		step{0, Tick{}, nil, Down},
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Health{true}, nil, Starting}, // of an earlier process
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
		t.Fatalf("%+v", s)
	}
}

func TestBackoffGrowsWithEachCrash(t *testing.T) {
	m := play(t,
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Started{}, nil, Starting},
		step{0.5, Exited{"exit 2"}, nil, BackingOff},
		step{1.4, Tick{}, nil, BackingOff},
		step{1.5, Tick{}, []Action{Spawn{*first}}, Starting},
		step{1.5, StartFailed{"no such file"}, nil, BackingOff}, // until 3.5
		step{3.4, Tick{}, nil, BackingOff},
		step{3.5, Tick{}, []Action{Spawn{*first}}, Starting},
		step{3.5, Started{}, nil, Starting},
		step{3.6, Exited{}, nil, BackingOff}, // until 7.6
		step{7.6, Tick{}, []Action{Spawn{*first}}, Starting},
		step{7.6, Started{}, nil, Starting},
		step{8, Health{true}, nil, Ready},
		step{80, Exited{}, nil, BackingOff}, // it was up long enough to reset the backoff
		step{81, Tick{}, []Action{Spawn{*first}}, Starting})
	if s := m.Status(); s.Crashes != 4 {
		t.Fatalf("%+v", s)
	}
}

func TestBackoffDoesNotApplyToAnotherRevision(t *testing.T) {
	play(t,
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Started{}, nil, Starting},
		step{0.1, Exited{}, nil, BackingOff},
		step{0.2, DesiredState{restarted}, []Action{Spawn{*restarted}}, Starting})
}

func TestProcessThatDoesNotTerminateIsKilledOnce(t *testing.T) {
	m := play(t,
		step{0, DesiredState{first}, []Action{Spawn{*first}}, Starting},
		step{0, Started{}, nil, Starting},
		step{1, DesiredState{nil}, []Action{Terminate{}}, Terminating},
		step{5.9, Tick{}, nil, Terminating},
		step{6, Tick{}, []Action{Kill{}}, Terminating},
		step{7, Tick{}, nil, Terminating},
		step{7, DesiredState{restarted}, nil, Terminating}, // desired again before it has ended
		step{8, Exited{}, []Action{Spawn{*restarted}}, Starting})
	if m.Status().Crashes != 0 {
		t.Fatal("a requested termination counts as a crash")
	}
}

func TestProcessOfEarlierAgentIsAdopted(t *testing.T) {
	play(t,
		step{0, Adopted{*first}, nil, Starting}, // it is desired until DesiredState says otherwise
		step{0, Health{true}, nil, Ready},
		step{1, DesiredState{nil}, []Action{Terminate{}}, Terminating})
	m, _ := New(policy, 7)
	m.desired = first
	if a := m.Handle(began, Adopted{*first}); len(a) != 0 || m.state != Starting {
		t.Fatalf("%v %s", a, m.state)
	}
	if a := m.Handle(began, Health{true}); len(a) != 0 || m.state != Ready {
		t.Fatalf("%v %s", a, m.state)
	}
	if a := m.Handle(began, DesiredState{reloaded}); !reflect.DeepEqual(a, []Action{Reload{*reloaded, *first}}) {
		t.Fatal(a)
	}
	m.Handle(began, Exited{"gone"})
	if m.Status().Crashes != 8 {
		t.Fatal(m.Status())
	}
}

func TestClockSetBackDelaysNothing(t *testing.T) {
	play(t,
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

func TestFailedReloadIsRetried(t *testing.T) {
	m := play(t,
		step{0, Adopted{*first}, nil, Starting},
		step{0, Health{true}, nil, Ready},
		step{1, DesiredState{reloaded}, []Action{Reload{*reloaded, *first}}, Ready},
		step{1, ReloadFailed{*first, "disk full"}, nil, Ready})
	if s := m.Status(); s.Running.Revision != 1 || s.Reason != "disk full" {
		t.Fatalf("%+v", s)
	}
	if a := m.Handle(began.Add(2*time.Second), Tick{}); len(a) != 1 {
		t.Fatal(a)
	}
}

func TestKillWaitsForLongestRequest(t *testing.T) {
	long := &Spec{9, "", "files-9", "fixed-9", 30 * time.Second}
	play(t,
		step{0, Adopted{*long}, nil, Starting},
		step{0, DesiredState{nil}, []Action{Terminate{}}, Terminating},
		step{34, Tick{}, nil, Terminating},
		step{35, Tick{}, []Action{Kill{}}, Terminating})
}

func TestPolicyValidation(t *testing.T) {
	for name, p := range map[string]Policy{
		"no backoff": {}, "shrinking backoff": {time.Second, time.Millisecond, 1, 1}, "no reset uptime": {1, 1, 0, 1}, "no kill delay": {1, 1, 1, 0},
	} {
		if _, err := New(p, 0); err == nil {
			t.Errorf("%s: %+v was accepted", name, p)
		}
	}
}

// TestAnySequenceOfEvents checks that the machine never runs two processes, and reaches the desired
// state once events stop.
func TestAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := New(policy, 0)
		p := &fakeProcess{t: t, m: m, now: began}
		var desired *Spec
		specs := []*Spec{nil, first, reloaded, restarted, sameFiles}
		events := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 120).Draw(t, "events")
		for n, kind := range events {
			p.now = p.now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, fmt.Sprint("gap", n))) * time.Millisecond)
			switch kind {
			case 0, 1:
				desired = rapid.SampledFrom(specs).Draw(t, fmt.Sprint("desired", n))
				p.handle(DesiredState{desired})
			case 2:
				p.start()
			case 3:
				if p.spawning {
					p.spawning = false
					p.handle(StartFailed{"no"})
				}
			case 4:
				p.exit("gone")
			case 5:
				p.handle(Health{rapid.Bool().Draw(t, fmt.Sprint("ready", n))})
			case 6:
				p.handle(Tick{})
			}
		}
		for range 20 {
			p.now = p.now.Add(10 * time.Second)
			p.start()
			if p.terminations > 0 {
				p.exit("")
			}
			p.handle(Health{p.running})
			p.handle(Tick{})
		}
		if p.running != (desired != nil) || p.running && (p.spec != *desired || m.state != Ready) {
			t.Fatalf("in the end: running %v with %+v, %s; desired %+v", p.running, p.spec, m.state, desired)
		}
	})
}

// fakeProcess carries out the machine's actions, and fails the test at one that must not occur.
type fakeProcess struct {
	t                   *rapid.T
	m                   *Machine
	now                 time.Time
	spawning, running   bool
	spec                Spec
	terminations, kills int // of the present process
}

func (p *fakeProcess) handle(event Event) {
	for _, action := range p.m.Handle(p.now, event) {
		switch a := action.(type) {
		case Spawn:
			if p.running || p.spawning {
				p.t.Fatal("a second process is started")
			}
			p.spawning, p.spec, p.terminations, p.kills = true, a.Spec, 0, 0
		case Reload:
			if !p.running || a.Spec.StartupChecksum != p.spec.StartupChecksum {
				p.t.Fatal("a reload where a restart is needed")
			}
			p.spec = a.Spec
		case SetRevision:
			if a.Spec.FilesChecksum != p.spec.FilesChecksum {
				p.t.Fatal("a new revision number for other files")
			}
			p.spec = a.Spec
		case Terminate:
			if p.terminations++; !p.running || p.terminations > 1 {
				p.t.Fatal("terminated more than once, or without a process")
			}
		case Kill:
			if p.kills++; !p.running || p.terminations == 0 || p.kills > 1 {
				p.t.Fatal("killed before it was terminated, or twice")
			}
		}
	}
}

// start completes a spawn, if there is one.
func (p *fakeProcess) start() {
	if p.spawning {
		p.spawning, p.running = false, true
		p.handle(Started{})
	}
}

// exit ends the process, if there is one.
func (p *fakeProcess) exit(reason string) {
	if p.running {
		p.running = false
		p.handle(Exited{reason})
	}
}
