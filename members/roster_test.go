package members

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A roster with a lower epoch is ignored.
func TestEpochsOnlyIncrease(t *testing.T) {
	m := completeMachine(t, 3)
	two := m.roster.Next([]string{"g0", "g1"})
	m.handle(RosterReceived{two, "g1"})
	if view := m.View(m.now); view.Epoch != 2 || view.RosterSize != 2 {
		t.Fatalf("epoch %d with %d members, want 2 with 2", view.Epoch, view.RosterSize)
	}
	m.handle(RosterReceived{rosterOf(3), "g2"})
	if m.View(m.now).Epoch != 2 {
		t.Error("an older roster was adopted")
	}
}

// Two different rosters of one epoch are an operator's error: the verdict is Unsure, and the safe count includes the
// members of both.
func TestConflictingRostersMakeUnsure(t *testing.T) {
	m := completeMachine(t, 3)
	other := Roster{}.Next([]string{"g0", "g1", "x1", "x2"})
	m.handle(RosterReceived{other, "x1"})
	m.wantVerdict(Unsure)
	if view := m.View(m.now); view.SafeCount != 5 {
		t.Errorf("safe count %d, want 5: g0 to g2, x1 and x2", view.SafeCount)
	}
	m.handle(RosterReceived{m.roster.Next(memberNames(3)), "file"})
	m.advance(seconds(5), "g1", "g2")
	m.wantVerdict(Complete)
}

// A process that is not in its roster is Unsure and has no quota.
func TestOutsideRosterIsUnsure(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(RosterReceived{m.roster.Next([]string{"g1", "g2"}), "g1"})
	m.wantVerdict(Unsure)
	if m.QuotaDivisor() != NoQuota {
		t.Errorf("quota divisor %d outside the roster, want NoQuota", m.QuotaDivisor())
	}
}

// Invalid rosters are rejected with the key of the invalid value.
func TestRosterCheck(t *testing.T) {
	many := Roster{Epoch: 1}
	for i := range MaxRosterSize + 1 {
		many.Members = append(many.Members, Member{Name: fmt.Sprintf("m%d", i)})
	}
	for _, c := range []struct {
		name      string
		r         Roster
		key       string
		wantError string
	}{
		{"no epoch", Roster{}, "epoch", "missing"},
		{"no member", Roster{Epoch: 1}, "member", "none"},
		{"duplicate name", Roster{Epoch: 1, Members: []Member{{Name: "a"}, {Name: "b"}, {Name: "a"}}}, "member[2].name", "twice"},
		{"empty name", Roster{Epoch: 1, Members: []Member{{Name: "a"}, {Name: ""}}}, "member[1].name", "a name has"},
		{"forbidden character", Roster{Epoch: 1, Members: []Member{{Name: "a#1"}}}, "member[0].name", "a name has"},
		{"long name", Roster{Epoch: 1, Members: []Member{{Name: strings.Repeat("a", 65)}}}, "member[0].name", "a name has"},
		{"added in a later epoch", Roster{Epoch: 1, Members: []Member{{Name: "a", Since: 2}}}, "member[0].since", "epoch 2"},
		{"too many members", many, "member", "513"},
	} {
		if key, err := c.r.Check(); err == nil || key != c.key || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %s: %v, want %s: ...%s...", c.name, key, err, c.key, c.wantError)
		}
	}
	if _, err := rosterOf(1).Check(); err != nil {
		t.Errorf("valid roster of one member: %v", err)
	}
}

// Two machines that receive the same rosters in different orders adopt the same roster.
func TestRostersConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []Roster
		r := rosterOf(3)
		for i := range rapid.IntRange(1, 6).Draw(t, "rosters") {
			r = r.Next(append(memberNames(2), fmt.Sprintf("n%d", i)))
			sent = append(sent, r)
		}
		a, _ := New(testSettings("g0", 1), rosterOf(3), 0)
		b, _ := New(testSettings("g1", 1), rosterOf(3), 0)
		for _, i := range rapid.Permutation(indices(len(sent))).Draw(t, "order of a") {
			a.Handle(0, RosterReceived{sent[i], "a"})
		}
		for _, i := range rapid.Permutation(indices(len(sent))).Draw(t, "order of b") {
			b.Handle(0, RosterReceived{sent[i], "b"})
			b.Handle(0, RosterReceived{sent[i], "b"})
		}
		if a.Roster().Sum() != b.Roster().Sum() || a.Roster().Epoch != r.Epoch {
			t.Fatalf("%+v and %+v", a.Roster(), b.Roster())
		}
	})
}

func indices(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}
