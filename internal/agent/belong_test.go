package agent

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// An instance whose name no roster can have, enrolled by an agent that does not ask
// for one, must not cost the leader its lead: it is said once, and the roster stays.
func TestNameInvalidForRosterKeepsLeadership(t *testing.T) {
	var logged bytes.Buffer
	long := strings.Repeat("g", 65)
	lead := &leader{rosterEnabled: true, log: slog.New(slog.NewTextHandler(&logged, nil))}
	now := &term{leader: lead, drained: map[string]bool{long: false}, rosterCandidates: []string{long}, candidatesSince: time.Now().Add(-time.Minute)}
	for range 3 {
		if err := now.updateRoster(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if strings.Count(logged.String(), "the roster stays") != 1 {
		t.Errorf("it says %q", logged.String())
	}
}
