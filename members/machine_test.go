package members

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func s(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func settings(self string, incarnation Incarnation) Settings {
	return Settings{Self: self, Incarnation: incarnation, TickInterval: s(0.25), StallThreshold: s(1.5), MinSettleTime: s(2), MaxSettleTime: s(60), SilenceTimeout: s(12)}
}

func names(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("g%d", i))
	}
	return list
}

func roster(n int) Roster { return Roster{}.Next(names(n)) }

// tester drives the machine of g0.
type tester struct {
	*Machine
	t *testing.T
}

func begin(t *testing.T, r Roster) *tester {
	t.Helper()
	m, err := New(settings("g0", 100), r, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &tester{m, t}
}

func (m *tester) do(events ...Event) {
	for _, ev := range events {
		m.Handle(m.now, ev)
	}
}

// pass lets time pass, with ticks in time and an answer of each of those named.
func (m *tester) pass(d time.Duration, answer ...string) {
	for end := m.now + d; m.now < end; {
		m.Handle(m.now+s(0.25), Tick{})
		for _, name := range answer {
			if f := m.peers[name]; f != nil {
				m.Handle(m.now, Answered{name, f.incarnation})
			}
		}
	}
}

func (m *tester) meet(names ...string) {
	for _, name := range names {
		r := m.Roster()
		m.do(Alive{Name: name, Incarnation: 100, Epoch: r.Epoch, Sum: r.Sum()}, Answered{name, 100})
	}
}

func (m *tester) lose(names ...string) {
	for _, name := range names {
		m.do(Failed{name, m.peers[name].incarnation})
	}
}

func (m *tester) want(v Verdict) {
	m.t.Helper()
	if p := m.View(m.now); p.Verdict != v {
		m.t.Errorf("at %v: %v (%s), want %v", m.now, p.Verdict, p.Reason, v)
	}
}

func whole(t *testing.T, n int) *tester {
	t.Helper()
	m := begin(t, roster(n))
	m.meet(names(n)[1:]...)
	m.pass(s(3), names(n)[1:]...)
	m.want(Complete)
	return m
}

func TestVerdictsOfAFive(t *testing.T) {
	m := whole(t, 5)
	for i, want := range []Verdict{Majority, Majority, Minority} {
		m.lose(names(5)[i+1])
		m.want(want)
	}
	m.lose("g4")
	m.want(Alone)
	if p := m.View(m.now); p.SafeCount != 5 || p.LikelyCount != 1 {
		t.Errorf("safe %d and likely %d, want 5 and 1: nobody has agreed that anybody left", p.SafeCount, p.LikelyCount)
	}
}

func TestEvenHalves(t *testing.T) {
	m := whole(t, 4)
	m.lose("g1", "g2")
	m.want(Even)
	if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
		t.Error("half of the roster may hold a duty, and the other half may too")
	}
}

func TestOneOfOneIsWhole(t *testing.T) {
	m := begin(t, roster(1))
	m.pass(s(3))
	m.want(Complete)
}

// Nothing is known right after a start, and a better verdict has to hold.
func TestStartIsUnsure(t *testing.T) {
	m := begin(t, roster(3))
	m.want(Unsure)
	m.meet("g1", "g2")
	m.want(Unsure)
	m.pass(s(1.5), "g1", "g2")
	m.want(Unsure)
	m.pass(s(1), "g1", "g2")
	m.want(Complete)
}

// Whoever nobody ever answers finds out that it is alone, but not at once.
func TestStartAlone(t *testing.T) {
	m := begin(t, roster(3))
	m.pass(s(11))
	m.want(Unsure)
	m.pass(s(4))
	m.want(Alone)
}

// A sleeper knows nothing until it has heard somebody again, whatever its detector
// makes of the silence meanwhile; others' silence proves something after a while awake.
func TestSleepMakesUnsure(t *testing.T) {
	m := whole(t, 3)
	m.now += s(30)
	m.do(Failed{"g1", 100}, Failed{"g2", 100}) // its own timers, all late
	m.want(Unsure)
	m.pass(s(5))
	m.want(Unsure)
	m.meet("g1", "g2")
	m.pass(s(5), "g1", "g2")
	m.want(Complete)

	m.now += s(30)
	m.do(Failed{"g1", 100}, Failed{"g2", 100})
	m.pass(s(25))
	m.want(Alone)
}

func TestShortDelayIsNoSleep(t *testing.T) {
	m := whole(t, 3)
	m.now += s(1.2)
	m.do(Tick{})
	m.want(Complete)
}

// One that is cut off from a large site hears so long before its detector has given
// up all the others.
func TestOwnProbesThatFail(t *testing.T) {
	m := whole(t, 100)
	for i := range 3 {
		m.do(Suspected{names(100)[i+1], 100, "g0"})
	}
	m.want(Complete)
	m.do(Suspected{"g4", 100, "g0"})
	m.want(Unsure)
	// Probes of those that have gone say nothing about this one.
	m = whole(t, 100)
	for i := range 6 {
		m.do(Failed{names(100)[i+1], 100}, Suspected{names(100)[i+1], 100, "g0"})
	}
	m.want(Majority)
}

// A way that flaps for ten minutes changes the verdict a few times only.
func TestFlappingWayChangesVerdictSeldom(t *testing.T) {
	m := whole(t, 3)
	changes, last := 0, m.View(m.now).Verdict
	for range 600 {
		m.lose("g1")
		m.pass(s(0.5), "g2")
		m.meet("g1")
		m.pass(s(0.5), "g1", "g2")
		if v := m.View(m.now).Verdict; v != last {
			changes, last = changes+1, v
		}
	}
	if changes > 4 {
		t.Errorf("%d changes of the verdict in ten minutes", changes)
	}
	m.pass(s(200), "g1", "g2")
	m.want(Complete)
}

// However a way flaps, verdicts that rise in any window are bounded by the dwell
// times: so many as fit if each has to hold twice as long as the last.
func TestSlowFlappingIsBounded(t *testing.T) {
	for _, half := range []float64{1, 2.2, 3, 5, 9, 17, 33} {
		m := whole(t, 3)
		rises, last, at := 0, m.View(m.now).Verdict, m.now
		for m.now-at < 600*time.Second {
			m.lose("g1")
			m.pass(s(half), "g2")
			m.meet("g1")
			for range int(half * 4) {
				m.pass(s(0.25), "g1", "g2")
				v := m.View(m.now).Verdict
				if v > last {
					rises++
				}
				last = v
			}
			last = m.View(m.now).Verdict
		}
		if rises > 22 {
			t.Errorf("half a period of %g s: %d rises in ten minutes", half, rises)
		}
	}
}

// Two lives of one name: the later one is it, whoever hears of them in what order.
func TestLaterLifeTakesTheName(t *testing.T) {
	m := whole(t, 3)
	m.do(Alive{Name: "g1", Incarnation: 200, Epoch: 1, Sum: m.roster.Sum()})
	p := m.View(m.now)
	if v := p.Members[1]; v.Incarnation != 200 || v.EarlierIncarnations != 1 || p.SafeCount != 4 {
		t.Errorf("%+v, safe %d: want life 200 and the earlier one beside it until it is gone", v, p.SafeCount)
	}
	m.do(Answered{"g1", 100}, Alive{Name: "g1", Incarnation: 100, Epoch: 1, Sum: m.roster.Sum()})
	if v := m.View(m.now).Members[1]; v.Incarnation != 200 {
		t.Errorf("life %d was raised from the dead", v.Incarnation)
	}
	m.do(Failed{"g1", 100})
	if p := m.View(m.now); p.Members[1].EarlierIncarnations != 0 || p.SafeCount != 3 || !p.Members[1].State.Alive() {
		t.Errorf("%+v, safe %d after the earlier life is gone", p.Members[1], p.SafeCount)
	}
}

// The earlier life learns that it is over, and holds nothing from then on.
func TestEarlierLifeYields(t *testing.T) {
	for _, ev := range []Event{Alive{Name: "g0", Incarnation: 101, Epoch: 1}, IncarnationLearned{"g0", 101}} {
		m := whole(t, 3)
		m.do(ev)
		m.want(Unsure)
		m.pass(s(100), "g1", "g2")
		m.want(Unsure)
		if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
			t.Errorf("after %T it may still hold a duty", ev)
		}
		if m.QuotaDivisor() != NoQuota {
			t.Errorf("after %T it still has a share: %d", ev, m.QuotaDivisor())
		}
	}
	m := whole(t, 3)
	m.do(IncarnationLearned{"g0", 99}, IncarnationLearned{"g0", 100})
	m.pass(s(1), "g1", "g2")
	m.want(Complete)
}

// The later life waits until the earlier one is gone.
func TestLaterLifeWaits(t *testing.T) {
	m := whole(t, 3)
	m.do(Alive{Name: "g0", Incarnation: 99, Epoch: 1})
	m.want(Unsure)
	if m.QuotaDivisor() != NoQuota {
		t.Errorf("share by %d beside an earlier life that goes on", m.QuotaDivisor())
	}
	m.do(Failed{"g0", 99})
	m.pass(s(5), "g1", "g2")
	m.want(Complete)
	if m.QuotaDivisor() != 3 {
		t.Errorf("share by %d, want 3", m.QuotaDivisor())
	}
}

func TestEndedLifeStaysEnded(t *testing.T) {
	m := whole(t, 3)
	m.do(Left{"g1", 100})
	m.do(Alive{Name: "g1", Incarnation: 100, Epoch: 1}, Answered{"g1", 100})
	if v := m.View(m.now).Members[1]; v.State != StateLeft {
		t.Errorf("a life that had said good-bye is %v", v.State)
	}
	m.do(Alive{Name: "g1", Incarnation: 101, Epoch: 1})
	if v := m.View(m.now).Members[1]; v.State != StateAlive {
		t.Errorf("the next life is %v", v.State)
	}
}

func TestEpochsOnlyGrow(t *testing.T) {
	m := whole(t, 3)
	two := m.roster.Next([]string{"g0", "g1"})
	m.do(RosterReceived{two, "g1"})
	if p := m.View(m.now); p.Epoch != 2 || p.RosterSize != 2 {
		t.Fatalf("epoch %d with %d", p.Epoch, p.RosterSize)
	}
	m.do(RosterReceived{roster(3), "g2"})
	if m.View(m.now).Epoch != 2 {
		t.Error("an older roster was taken")
	}
}

// A departure counts when it is agreed, and whoever goes on talking goes on counting.
func TestSafeCountOfARemovedOne(t *testing.T) {
	m := whole(t, 3)
	m.do(RosterReceived{m.roster.Next([]string{"g0", "g1"}), "g1"})
	if p := m.View(m.now); p.SafeCount != 3 {
		t.Errorf("safe %d while the removed one is heard, want 3", p.SafeCount)
	}
	m.do(Failed{"g2", 100})
	m.pass(s(3), "g1")
	if p := m.View(m.now); p.SafeCount != 2 || p.QuotaDivisor != 2 {
		t.Errorf("safe %d, share by %d once it is gone, want 2", p.SafeCount, p.QuotaDivisor)
	}
}

// A larger share waits for a verdict that allows it; a smaller one is taken at once.
func TestShareWidensOnlyWithAMajority(t *testing.T) {
	m := whole(t, 5)
	m.lose("g2", "g3", "g4")
	m.want(Minority)
	m.do(RosterReceived{m.roster.Next([]string{"g0", "g1", "g2", "g3"}), "file"})
	if p := m.View(m.now); p.SafeCount != 4 || p.QuotaDivisor != 5 {
		t.Errorf("safe %d, share by %d, want 4 and 5: a minority widens nothing", p.SafeCount, p.QuotaDivisor)
	}
	m.do(RosterReceived{m.roster.Next(names(8)), "file"})
	if p := m.View(m.now); p.QuotaDivisor != 8 {
		t.Errorf("share by %d, want 8 at once", p.QuotaDivisor)
	}
}

// A newcomer has no part in what all share until all know of it.
func TestNewcomerWaitsForAll(t *testing.T) {
	grown := roster(3).Next([]string{"g0", "g1", "g2", "g3"})
	m, err := New(settings("g3", 100), grown, 0)
	if err != nil {
		t.Fatal(err)
	}
	d := &tester{m, t}
	for _, name := range []string{"g0", "g1"} {
		d.do(Alive{Name: name, Incarnation: 100, Epoch: 2, Sum: grown.Sum()}, Answered{name, 100})
	}
	d.do(Alive{Name: "g2", Incarnation: 100, Epoch: 1}, Answered{"g2", 100})
	d.pass(s(5), "g0", "g1", "g2")
	if p := d.View(d.now); p.UnawareMember != "g2" || p.QuotaDivisor != NoQuota {
		t.Errorf("joining %q, share by %d: g2 does not know of it yet", p.UnawareMember, p.QuotaDivisor)
	}
	d.do(Alive{Name: "g2", Incarnation: 100, Epoch: 2, Sum: grown.Sum()})
	d.pass(s(1), "g0", "g1", "g2")
	if p := d.View(d.now); p.UnawareMember != "" || p.QuotaDivisor != 4 {
		t.Errorf("joining %q, share by %d, want 4", p.UnawareMember, p.QuotaDivisor)
	}
	d.lose("g2")
	d.do(Alive{Name: "g2", Incarnation: 101, Epoch: 1}) // it starts again with an old file
	if p := d.View(d.now); p.UnawareMember != "" {
		t.Error("what all have known was forgotten")
	}
}

// Two rosters of one epoch are a mistake of people: nobody is sure, and the count
// covers both.
func TestRostersOfOneEpoch(t *testing.T) {
	m := whole(t, 3)
	other := Roster{}.Next([]string{"g0", "g1", "x1", "x2"})
	m.do(RosterReceived{other, "x1"})
	m.want(Unsure)
	if p := m.View(m.now); p.SafeCount != 5 {
		t.Errorf("safe %d, want 5: g0 to g2, x1 and x2", p.SafeCount)
	}
	m.do(RosterReceived{m.roster.Next(names(3)), "file"})
	m.pass(s(5), "g1", "g2")
	m.want(Complete)
}

func TestOutsideTheRoster(t *testing.T) {
	m := whole(t, 3)
	m.do(RosterReceived{m.roster.Next([]string{"g1", "g2"}), "g1"})
	m.want(Unsure)
	if m.QuotaDivisor() != NoQuota {
		t.Errorf("share by %d, and it does not belong", m.QuotaDivisor())
	}
}

// What others can make grow is bounded.
func TestStrangersAreBounded(t *testing.T) {
	m := whole(t, 3)
	for i := range 10000 {
		m.do(Alive{Name: fmt.Sprintf("x%d", i), Incarnation: 1, Epoch: 1}, IncarnationLearned{fmt.Sprintf("y%d", i), 1}, Suspected{"g1", 100, "g2"})
		m.do(Alive{Name: "g1", Incarnation: Incarnation(1000 + i), Epoch: 1})
	}
	if n := len(m.peers); n > 3+maxStrangers {
		t.Errorf("%d names are kept", n)
	}
	if n := len(m.peers["g1"].earlierIncarnations); n > maxEarlierIncarnations {
		t.Errorf("%d earlier lives are kept", n)
	}
	if n := len(m.evidence); n > maxEvidence {
		t.Errorf("%d entries of evidence are kept", n)
	}
	if p := m.View(m.now); p.Dropped == 0 {
		t.Error("what was dropped is not counted")
	}
}

func TestRosterCheck(t *testing.T) {
	many := Roster{Epoch: 1}
	for i := range MaxRosterSize + 1 {
		many.Members = append(many.Members, Member{Name: fmt.Sprintf("m%d", i)})
	}
	for _, c := range []struct {
		r         Roster
		key       string
		wantError string
	}{
		{Roster{}, "epoch", "missing"},
		{Roster{Epoch: 1}, "member", "none"},
		{Roster{Epoch: 1, Members: []Member{{Name: "a"}, {Name: "b"}, {Name: "a"}}}, "member[2].name", "twice"},
		{Roster{Epoch: 1, Members: []Member{{Name: "a"}, {Name: ""}}}, "member[1].name", "a name has"},
		{Roster{Epoch: 1, Members: []Member{{Name: "a#1"}}}, "member[0].name", "a name has"},
		{Roster{Epoch: 1, Members: []Member{{Name: strings.Repeat("a", 65)}}}, "member[0].name", "a name has"},
		{Roster{Epoch: 1, Members: []Member{{Name: "a", Since: 2}}}, "member[0].since", "epoch 2"},
		{many, "member", "513"},
	} {
		if key, err := c.r.Check(); err == nil || key != c.key || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%.80v: %s: %v, want %s: ...%s...", c.r, key, err, c.key, c.wantError)
		}
	}
	if _, err := roster(1).Check(); err != nil {
		t.Errorf("a roster of one: %v", err)
	}
}

func TestSettingsCheck(t *testing.T) {
	good := settings("g0", 1)
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Self = "" }, func(s *Settings) { s.Incarnation = 0 }, func(s *Settings) { s.TickInterval = 0 },
		func(s *Settings) { s.StallThreshold = s.TickInterval }, func(s *Settings) { s.MaxSettleTime = s.MinSettleTime - 1 }, func(s *Settings) { s.SilenceTimeout = 0 },
	} {
		bad := good
		change(&bad)
		if _, err := New(bad, roster(1), 0); err == nil {
			t.Errorf("taken: %+v", bad)
		}
	}
}
