package members

import (
	"fmt"
	"testing"
	"time"
)

func seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func testSettings(self string, incarnation Incarnation) Settings {
	return Settings{Self: self, Incarnation: incarnation, TickInterval: seconds(0.25), StallThreshold: seconds(1.5), MinSettleTime: seconds(2), MaxSettleTime: seconds(60), SilenceTimeout: seconds(12)}
}

func memberNames(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("g%d", i))
	}
	return list
}

func rosterOf(n int) Roster { return Roster{}.Next(memberNames(n)) }

// testMachine is the machine of g0, driven by a test.
type testMachine struct {
	*Machine
	t *testing.T
}

func newTestMachine(t *testing.T, r Roster) *testMachine {
	t.Helper()
	m, err := New(testSettings("g0", 100), r, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &testMachine{m, t}
}

// completeMachine returns the machine of a site with n members that are all alive.
func completeMachine(t *testing.T, n int) *testMachine {
	t.Helper()
	m := newTestMachine(t, rosterOf(n))
	m.join(memberNames(n)[1:]...)
	m.advance(seconds(3), memberNames(n)[1:]...)
	m.wantVerdict(Complete)
	return m
}

func (m *testMachine) handle(events ...Event) {
	for _, ev := range events {
		m.Handle(m.now, ev)
	}
}

// advance advances the time with regular ticks. Each peer in answering answers a probe after each tick.
func (m *testMachine) advance(d time.Duration, answering ...string) {
	for end := m.now + d; m.now < end; {
		m.Handle(m.now+seconds(0.25), Tick{})
		for _, name := range answering {
			if peer := m.peers[name]; peer != nil {
				m.Handle(m.now, Answered{name, peer.incarnation})
			}
		}
	}
}

// join makes the names alive with the machine's roster, and makes them answer a probe.
func (m *testMachine) join(names ...string) {
	for _, name := range names {
		r := m.Roster()
		m.handle(Alive{Name: name, Incarnation: 100, Epoch: r.Epoch, Sum: r.Sum()}, Answered{name, 100})
	}
}

func (m *testMachine) fail(names ...string) {
	for _, name := range names {
		m.handle(Failed{name, m.peers[name].incarnation})
	}
}

func (m *testMachine) wantVerdict(v Verdict) {
	m.t.Helper()
	if view := m.View(m.now); view.Verdict != v {
		m.t.Errorf("at %v: %v (%s), want %v", m.now, view.Verdict, view.Reason, v)
	}
}
