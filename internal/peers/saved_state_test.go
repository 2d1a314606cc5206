package peers

import (
	"testing"
	"time"

	"elderyard/members"
)

// The process that ends during an upgrade must not lower the incarnation that its successor has saved.
func TestSavedIncarnationOnlyIncreases(t *testing.T) {
	s := newSite(t, "north", 1)
	settings := s.settings("g0")
	for _, incarnation := range []members.Incarnation{5, 9, 7} {
		if err := settings.store(savedState{Incarnation: incarnation}); err != nil {
			t.Fatal(err)
		}
	}
	if saved, err := settings.load(); err != nil || saved.Incarnation != 9 {
		t.Errorf("incarnation %d is saved (%v), want 9", saved.Incarnation, err)
	}
	if incarnation := members.NextIncarnation(1<<60, time.Now(), 3); incarnation != 1<<60+1 {
		t.Errorf("the next incarnation is %d", incarnation)
	}
}
