package peers

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/members"
)

// A roster reaches members with an outdated roster file, and survives their restart.
func TestRosterSpreadsAndSurvivesRestart(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	a := s.run(s.settings("g0"))
	settings := s.settings("g1", "g0")
	settings.RosterFile = filepath.Join(s.dir, "old.toml")
	s.write("old.toml", "epoch = 1\n[[member]]\nname = \"g0\"\n[[member]]\nname = \"g1\"\n")
	b := s.run(settings)
	b.waitForVerdict(t, members.Complete)
	s.writeRoster(7, "g0", "g1", "g2")
	testwait.UntilEvery(t, waitTimeout, pollInterval, "g1 has epoch 7", func() bool { return b.View().Epoch == 7 })
	a.stop()
	b.stop()
	b = s.run(settings)
	if p := b.View(); p.Epoch != 7 {
		t.Errorf("epoch %d after the restart, want 7", p.Epoch)
	}
}

// A key rotation adds the new key everywhere, then moves it to the front, then removes the old one. No member may fail
// meanwhile.
func TestKeyRotationWithoutInterruption(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	a := s.run(s.settings("g0"))
	b := s.run(s.settings("g1", "g0"))
	a.waitForVerdict(t, members.Complete)
	b.waitForVerdict(t, members.Complete)
	for _, keys := range [][]byte{{1, 2}, {2, 1}, {2}} {
		s.writeKeys(keys...)
		primary := strings.Repeat(string(rune('a'+keys[0])), 32)
		for _, r := range []*runningPeers{a, b} {
			testwait.UntilEvery(t, waitTimeout, pollInterval, "the keys are in use", func() bool {
				return string(r.keyring.GetPrimaryKey()) == primary && len(r.keyring.GetKeys()) == len(keys)
			})
		}
	}
	s.write("keys", "not a key\n") // an invalid file changes nothing
	lastAnswer := a.View().LastAnswer
	testwait.UntilEvery(t, waitTimeout, pollInterval, "g1 answers g0 under the new key", func() bool { return a.View().LastAnswer > lastAnswer+time.Second })
	for _, r := range []*runningPeers{a, b} {
		if p := r.View(); p.Verdict != members.Complete {
			t.Errorf("%s is %v: %s", p.Self, p.Verdict, p.Reason)
		}
		list, err := r.Evidence(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			if strings.Contains(e.What, "silence") {
				t.Errorf("%s: %+v", r.settings.Self, e)
			}
		}
	}
}
