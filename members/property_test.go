package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For random events: epochs and incarnations never decrease, the safe count is never below the size of the roster, the
// state is limited, a better verdict is adopted only after the settle time, and no operation is allowed that the
// verdict forbids.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
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
			who, number := name.Draw(t, "name"), incarnation.Draw(t, "incarnation")
			before, incarnations := m.View(now), map[string]Incarnation{}
			for _, v := range before.Members {
				incarnations[v.Name] = v.Incarnation
			}
			var ev Event
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				ev = Tick{}
			case 3:
				ev = Answered{who, number}
			case 4:
				ev = Alive{Name: who, Incarnation: number, Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "epoch")), Sum: m.Roster().Sum()}
			case 5:
				ev = Suspected{who, number, name.Draw(t, "by")}
			case 6:
				ev = Failed{who, number}
			case 7:
				ev = Left{who, number}
			case 8:
				ev = IncarnationLearned{who, number}
			case 9:
				r := Roster{Epoch: uint64(rapid.IntRange(0, 4).Draw(t, "epoch"))}.Next(rapid.SliceOfNDistinct(name, 1, len(all), rapid.ID[string]).Draw(t, "members"))
				ev = RosterReceived{r, who}
			}
			changed := m.Handle(now, ev)
			after := m.View(now)
			if (after.Version != before.Version) != changed || after.Version < before.Version {
				t.Fatalf("Handle reported changed %v, and the version went from %d to %d", changed, before.Version, after.Version)
			}
			if after.Epoch < before.Epoch || after.SupersededBy < before.SupersededBy {
				t.Fatalf("epoch %d after %d, superseded %d after %d", after.Epoch, before.Epoch, after.SupersededBy, before.SupersededBy)
			}
			if after.SafeCount < after.RosterSize || after.QuotaDivisor < after.SafeCount {
				t.Fatalf("safe count %d of %d members, quota divisor %d", after.SafeCount, after.RosterSize, after.QuotaDivisor)
			}
			for _, v := range after.Members {
				if v.Incarnation != 0 && v.Incarnation < incarnations[v.Name] && v.IsMember {
					t.Fatalf("incarnation of %s decreased from %d to %d", v.Name, incarnations[v.Name], v.Incarnation)
				}
			}
			if len(after.Members) > MaxRosterSize+maxNonMembers+1 {
				t.Fatalf("%d names are tracked", len(after.Members))
			}
			if after.Verdict < before.Verdict {
				fell = now
			}
			if after.Verdict > before.Verdict && now-fell < seconds(2) {
				t.Fatalf("verdict rose to %v only %v after it fell", after.Verdict, now-fell)
			}
			for _, op := range Operations() {
				allowed, reason := m.Allows(now, op)
				table, _ := Allows(op, after.Verdict)
				if allowed && !table || reason == "" {
					t.Fatalf("%v: allowed %v while %v (%s)", op, allowed, after.Verdict, reason)
				}
			}
			if m.QuotaDivisor() < after.SafeCount {
				t.Fatalf("quota divisor %d below the safe count %d", m.QuotaDivisor(), after.SafeCount)
			}
		}
	})
}
