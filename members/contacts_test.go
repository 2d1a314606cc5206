package members

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Join requests go to members that are not alive: each address at most once per attempt, a limited number per attempt,
// and with exponential backoff between attempts.
func TestJoinTargets(t *testing.T) {
	m := completeMachine(t, 9)
	c := NewContacts(time.Second, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	at := func(name string) string { return "at-" + name }
	targets := func(seeds ...string) []string {
		view := m.View(m.now)
		return c.JoinTargets(m.now, &view, at, seeds, rng)
	}
	if got := targets("seed"); len(got) != 0 {
		t.Errorf("join requests go to %v although all members are alive", got)
	}
	m.fail("g1", "g2")
	m.advance(seconds(4))
	if got := slices.Sorted(slices.Values(targets("seed"))); !slices.Equal(got, []string{"at-g1", "at-g2"}) {
		t.Errorf("join requests go to %v, want g1 and g2", got)
	}
	if got := targets("seed"); got != nil {
		t.Errorf("join requests go to %v without a delay", got)
	}
	var delays []time.Duration
	for last := m.now; len(delays) < 6; m.now += seconds(0.1) {
		if targets() != nil {
			delays = append(delays, m.now-last)
			last = m.now
		}
	}
	if !slices.IsSorted(delays[:3]) || delays[5] > 30*time.Second || delays[5] < 20*time.Second {
		t.Errorf("delays between join requests: %v, want increasing delays up to 20 to 30 s", delays)
	}
	m.fail("g3", "g4", "g5", "g6", "g7", "g8")
	m.advance(seconds(40))
	got := targets("at-g1", "seed")
	if len(got) != maxJoinTargets || len(slices.Compact(slices.Sorted(slices.Values(got)))) != maxJoinTargets {
		t.Errorf("join requests go to %v, want %d different addresses", got, maxJoinTargets)
	}
}

// The roster is sent to members with an older or a conflicting one, at a limited rate for each member.
func TestShouldSendRoster(t *testing.T) {
	c, own := NewContacts(time.Second, 0), rosterOf(3).Next(memberNames(4))
	same := Alive{Name: "g1", Epoch: own.Epoch, Sum: own.Sum()}
	newer := Alive{Name: "g1", Epoch: own.Epoch + 1}
	older := Alive{Name: "g1", Epoch: own.Epoch - 1}
	conflicting := Alive{Name: "g2", Epoch: own.Epoch, Sum: own.Sum() + 1}
	for _, step := range []struct {
		name string
		at   time.Duration
		a    Alive
		want bool
	}{
		{"same roster", 0, same, false},
		{"newer roster", 0, newer, false},
		{"older roster", 0, older, true},
		{"older roster, just sent", seconds(1), older, false},
		{"conflicting roster", seconds(1), conflicting, true},
		{"older roster, sent long ago", seconds(6), older, true},
	} {
		if got := c.ShouldSendRoster(step.at, own, step.a); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}
