package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For events in any order: epochs and incarnations only increase, the safe count is never below the size of the roster,
// the state is bounded, a better verdict has settled, and no operation is allowed that the verdict forbids.
func TestInvariantsOfAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "members")
		all := append(memberNames(n), "x1", "x2")
		m, err := New(testSettings("g0", 100), rosterOf(n), 0)
		if err != nil {
			t.Fatal(err)
		}
		name := rapid.SampledFrom(all)
		incarnation := rapid.Map(rapid.IntRange(98, 103), func(i int) Incarnation { return Incarnation(i) })
		now, fell := Time(0), Time(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += rapid.SampledFrom([]time.Duration{0, seconds(0.1), seconds(0.25), seconds(0.25), seconds(0.25), seconds(1), seconds(5)}).Draw(t, "delay")
			who, l := name.Draw(t, "name"), incarnation.Draw(t, "incarnation")
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
				r := Roster{Epoch: uint64(rapid.IntRange(0, 4).Draw(t, "epoch"))}.Next(rapid.SliceOfNDistinct(name, 1, len(all), rapid.ID[string]).Draw(t, "members"))
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
				t.Fatalf("safe %d of %d, quota divisor %d", p.SafeCount, p.RosterSize, p.QuotaDivisor)
			}
			for _, v := range p.Members {
				if v.Incarnation != 0 && v.Incarnation < incarnations[v.Name] && v.IsMember {
					t.Fatalf("%s went back from incarnation %d to %d", v.Name, incarnations[v.Name], v.Incarnation)
				}
			}
			if len(p.Members) > MaxRosterSize+maxStrangers+1 {
				t.Fatalf("%d names", len(p.Members))
			}
			if p.Verdict < before.Verdict {
				fell = now
			}
			if p.Verdict > before.Verdict && now-fell < seconds(2) {
				t.Fatalf("%v %v after it fell", p.Verdict, now-fell)
			}
			for _, u := range Operations() {
				allowed, reason := m.Allows(now, u)
				table, _ := Allows(u, p.Verdict)
				if allowed && !table || reason == "" {
					t.Fatalf("%v: allowed %v while %v (%s)", u, allowed, p.Verdict, reason)
				}
			}
			if m.QuotaDivisor() < p.SafeCount {
				t.Fatalf("quota divisor %d below the safe count %d", m.QuotaDivisor(), p.SafeCount)
			}
		}
	})
}
