package members

import (
	"strings"
	"testing"
)

func TestDifferences(t *testing.T) {
	a, b, c := whole(t, 3), whole(t, 3), whole(t, 3)
	pictures := func() []View {
		list := []View{a.View(a.now), b.View(b.now), c.View(c.now)}
		for i, name := range names(3) {
			list[i].Self = name
		}
		return list
	}
	if d := Differences(pictures()); len(d) != 0 {
		t.Errorf("of equal pictures: %+v", d)
	}
	b.pass(s(7), "g1", "g2") // other times are no difference
	if d := Differences(pictures()); len(d) != 0 {
		t.Errorf("of pictures of other times: %+v", d)
	}
	c.lose("g1")
	d := Differences(pictures())
	if len(d) != 2 || d[0].Name != "g1" || d[0].Groups[0].Value != "there, life 100" || len(d[0].Groups[0].By) != 2 || d[0].Groups[1].By[0] != "g2" || d[1].What != "verdict" {
		t.Errorf("after g2 gave g1 up: %+v", d)
	}
	a.do(RosterReceived{a.roster.Next(names(4)), "file"})
	d = Differences(pictures())
	if len(d) == 0 || d[0].What != "roster" || !strings.Contains(d[0].Groups[1].Value, "epoch 2") {
		t.Errorf("after g0 has epoch 2: %+v", d)
	}
}
