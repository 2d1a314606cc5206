package peers

import (
	"testing"
	"time"

	"elderyard/members"
)

// The process that ends in an upgrade does not lower the incarnation on disk.
func TestSavedIncarnationOnlyIncreases(t *testing.T) {
	s := newSite(t, "north", 1)
	set := s.settings("g0")
	for _, incarnation := range []members.Incarnation{5, 9, 7} {
		if err := set.store(savedState{Incarnation: incarnation}); err != nil {
			t.Fatal(err)
		}
	}
	if k, err := set.load(); err != nil || k.Incarnation != 9 {
		t.Errorf("incarnation %d is saved (%v), want 9", k.Incarnation, err)
	}
	if incarnation := members.NextIncarnation(1<<60, time.Now(), 3); incarnation != 1<<60+1 {
		t.Errorf("the next incarnation is %d", incarnation)
	}
}
