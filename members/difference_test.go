package members

import (
	"strings"
	"testing"
)

// Views that differ only in times have no differences; otherwise the roster, each differing member and the verdict are
// listed with the largest group first.
func TestDifferences(t *testing.T) {
	a, b, c := completeMachine(t, 3), completeMachine(t, 3), completeMachine(t, 3)
	views := func() []View {
		list := []View{a.View(a.now), b.View(b.now), c.View(c.now)}
		for i, name := range memberNames(3) {
			list[i].Self = name
		}
		return list
	}
	if d := Differences(views()); len(d) != 0 {
		t.Errorf("differences of equal views: %+v", d)
	}
	b.advance(seconds(7), "g1", "g2") // times are not compared
	if d := Differences(views()); len(d) != 0 {
		t.Errorf("differences of views that differ in times: %+v", d)
	}
	c.fail("g1")
	d := Differences(views())
	if len(d) != 2 || d[0].Name != "g1" || d[0].Groups[0].Value != "there, life 100" || len(d[0].Groups[0].By) != 2 || d[0].Groups[1].By[0] != "g2" || d[1].What != "verdict" {
		t.Errorf("after g2 counted g1 as failed: %+v", d)
	}
	a.handle(RosterReceived{a.roster.Next(memberNames(4)), "file"})
	d = Differences(views())
	if len(d) == 0 || d[0].What != "roster" || !strings.Contains(d[0].Groups[1].Value, "epoch 2") {
		t.Errorf("after g0 received epoch 2: %+v", d)
	}
}
