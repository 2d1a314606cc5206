package leader

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// An agent without a roster can enroll an instance whose name is too long for one. The
// leader must keep its term and the committed roster, and log the invalid name only once.
func TestNameInvalidForRosterKeepsLeadership(t *testing.T) {
	var logged bytes.Buffer
	longName := strings.Repeat("g", 65)
	l := &Leader{rosterEnabled: true, log: slog.New(slog.NewTextHandler(&logged, nil))}
	current := &term{Leader: l, drained: map[string]bool{longName: false}, rosterCandidates: []string{longName}, candidatesSince: time.Now().Add(-time.Minute)}
	for range 3 {
		if err := current.updateRoster(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if strings.Count(logged.String(), "keeping the committed one") != 1 {
		t.Errorf("want one line about the invalid roster, got %q", logged.String())
	}
}
