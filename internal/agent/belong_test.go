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
func TestANameThatNoRosterHasCostsNoLead(t *testing.T) {
	var said bytes.Buffer
	long := strings.Repeat("g", 65)
	lead := &lead{roster: true, log: slog.New(slog.NewTextHandler(&said, nil))}
	now := &term{lead: lead, drained: map[string]bool{long: false}, belonging: []string{long}, belongingAt: time.Now().Add(-time.Minute)}
	for range 3 {
		if err := now.belong(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if strings.Count(said.String(), "the roster stays") != 1 {
		t.Errorf("it says %q", said.String())
	}
}
