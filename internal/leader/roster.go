package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/members"
)

// rosterDelay is how long the site's instances must be unchanged before they are committed
// as the roster. Agents enroll one by one, and each would otherwise cause a new roster.
const rosterDelay = time.Second

// updateRoster commits a new roster if the site's instances differ from the committed one
// and have not changed for rosterDelay. Names that form no valid roster are logged once
// and return no error: an error would end this term, and that of every later leader too.
func (t *term) updateRoster(ctx context.Context) error {
	if !t.rosterEnabled {
		return nil
	}
	names := slices.Sorted(maps.Keys(t.drained))
	if !slices.Equal(names, t.rosterCandidates) {
		t.rosterCandidates, t.candidatesSince = names, time.Now()
	}
	if len(names) == 0 || time.Since(t.candidatesSince) < rosterDelay {
		return nil
	}
	change := fleet.RosterChange{Names: names, At: time.Now().UTC()}
	if err := change.Check(); err != nil {
		if t.rosterError != err.Error() {
			t.rosterError = err.Error()
			t.log.Error("instances form no valid roster; keeping the committed one", "error", err)
		}
		return nil
	}
	committed := t.committedRoster()
	if slices.EqualFunc(names, committed.Members, func(name string, m members.Member) bool { return name == m.Name }) {
		return nil
	}
	_, err := t.store.Propose(ctx, fleet.Entry{RosterChange: &change})
	return err
}

// committedRoster returns the roster that the voters have committed.
func (t *term) committedRoster() (r members.Roster) {
	t.store.View(func(s *fleet.State) { r = s.Roster() })
	return r
}

// newerRoster returns the roster if the agent's copy is older, or nil if the copy is up to
// date or the agent caches none.
func (t *term) newerRoster(report *agentapi.Report) *members.Roster {
	if !report.WantsRoster {
		return nil
	}
	if committed := t.committedRoster(); committed.Epoch > report.RosterEpoch {
		return &committed
	}
	return nil
}
