package members

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes in whatever order: epochs and lives only grow, the safe count is
// never under the roster, nothing that is kept grows without bound, a better verdict
// has held, and what a verdict forbids is forbidden.
func TestPropertiesOfAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "members")
		all := append(names(n), "x1", "x2")
		m, err := New(settings("g0", 100), roster(n), 0)
		if err != nil {
			t.Fatal(err)
		}
		name := rapid.SampledFrom(all)
		incarnation := rapid.Map(rapid.IntRange(98, 103), func(i int) Incarnation { return Incarnation(i) })
		now, fell := Time(0), Time(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += rapid.SampledFrom([]time.Duration{0, s(0.1), s(0.25), s(0.25), s(0.25), s(1), s(5)}).Draw(t, "pass")
			who, l := name.Draw(t, "name"), incarnation.Draw(t, "life")
			before, incarnations := m.View(now), map[string]Incarnation{}
			for _, v := range before.Members {
				incarnations[v.Name] = v.Incarnation
			}
			var ev Event
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				ev = Tick{}
			case 3:
				ev = Answered{who, l}
			case 4:
				ev = Alive{Name: who, Incarnation: l, Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "epoch")), Sum: m.Roster().Sum()}
			case 5:
				ev = Suspected{who, l, name.Draw(t, "by")}
			case 6:
				ev = Failed{who, l}
			case 7:
				ev = Left{who, l}
			case 8:
				ev = IncarnationLearned{who, l}
			case 9:
				r := Roster{Epoch: uint64(rapid.IntRange(0, 4).Draw(t, "epoch"))}.Next(rapid.SliceOfNDistinct(name, 1, len(all), rapid.ID[string]).Draw(t, "belong"))
				ev = RosterReceived{r, who}
			}
			changed := m.Handle(now, ev)
			p := m.View(now)
			if (p.Version != before.Version) != changed || p.Version < before.Version {
				t.Fatalf("changed %v from %d to %d", changed, before.Version, p.Version)
			}
			if p.Epoch < before.Epoch || p.SupersededBy < before.SupersededBy {
				t.Fatalf("epoch %d after %d, superseded %d after %d", p.Epoch, before.Epoch, p.SupersededBy, before.SupersededBy)
			}
			if p.SafeCount < p.RosterSize || p.QuotaDivisor < p.SafeCount {
				t.Fatalf("safe %d of %d, share by %d", p.SafeCount, p.RosterSize, p.QuotaDivisor)
			}
			for _, v := range p.Members {
				if v.Incarnation != 0 && v.Incarnation < incarnations[v.Name] && v.IsMember {
					t.Fatalf("%s went back from life %d to %d", v.Name, incarnations[v.Name], v.Incarnation)
				}
			}
			if len(p.Members) > MaxRosterSize+maxStrangers+1 {
				t.Fatalf("%d names", len(p.Members))
			}
			if p.Verdict < before.Verdict {
				fell = now
			}
			if p.Verdict > before.Verdict && now-fell < s(2) {
				t.Fatalf("%v %v after it fell", p.Verdict, now-fell)
			}
			for _, u := range Operations() {
				allowed, reason := m.Allows(now, u)
				table, _ := Allows(u, p.Verdict)
				if allowed && !table || reason == "" {
					t.Fatalf("%v: may %v while %v (%s)", u, allowed, p.Verdict, reason)
				}
			}
			if m.QuotaDivisor() < p.SafeCount {
				t.Fatalf("it divides by %d, and the safe count is %d", m.QuotaDivisor(), p.SafeCount)
			}
		}
	})
}

// However rosters and pictures come round, two machines that have been told the same
// rosters have the same one.
func TestRostersMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told []Roster
		r := roster(3)
		for i := range rapid.IntRange(1, 6).Draw(t, "rosters") {
			r = r.Next(append(names(2), fmt.Sprintf("n%d", i)))
			told = append(told, r)
		}
		a, _ := New(settings("g0", 1), roster(3), 0)
		b, _ := New(settings("g1", 1), roster(3), 0)
		for _, i := range rapid.Permutation(indices(len(told))).Draw(t, "order of a") {
			a.Handle(0, RosterReceived{told[i], "a"})
		}
		for _, i := range rapid.Permutation(indices(len(told))).Draw(t, "order of b") {
			b.Handle(0, RosterReceived{told[i], "b"})
			b.Handle(0, RosterReceived{told[i], "b"})
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
