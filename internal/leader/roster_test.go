package leader

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// An instance whose name no roster can have, enrolled by an agent that does not want
// one, does not end the term: it is logged once, and the roster stays.
func TestNameInvalidForRosterKeepsLeadership(t *testing.T) {
	var logged bytes.Buffer
	long := strings.Repeat("g", 65)
	lead := &Leader{rosterEnabled: true, log: slog.New(slog.NewTextHandler(&logged, nil))}
	now := &term{Leader: lead, drained: map[string]bool{long: false}, rosterCandidates: []string{long}, candidatesSince: time.Now().Add(-time.Minute)}
	for range 3 {
		if err := now.updateRoster(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if strings.Count(logged.String(), "keeping the agreed one") != 1 {
		t.Errorf("it logs %q", logged.String())
	}
}
