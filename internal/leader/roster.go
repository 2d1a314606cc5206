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

// rosterDelay is for how long the site's instances must not have changed before the
// voters agree on them: agents enroll one by one.
const rosterDelay = time.Second

// updateRoster has the voters agree on the roster where the site's instances differ
// from it and have not changed for rosterDelay. Names that form no roster are logged
// once and are no error: an error would end the term, and so would that of every next
// leader.
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
			t.log.Error("instances form no valid roster, keeping the agreed one", "error", err)
		}
		return nil
	}
	agreed := t.agreedRoster()
	if slices.EqualFunc(names, agreed.Members, func(name string, m members.Member) bool { return name == m.Name }) {
		return nil
	}
	_, err := t.store.Propose(ctx, fleet.Entry{RosterChange: &change})
	return err
}

// agreedRoster returns the roster that the voters have agreed on.
func (t *term) agreedRoster() (r members.Roster) {
	t.store.View(func(s *fleet.State) { r = s.Roster() })
	return r
}

// newerRoster returns the roster that an agent lacks; nil: it has the newest, or does
// not want it.
func (t *term) newerRoster(report *agentapi.Report) *members.Roster {
	if !report.WantsRoster {
		return nil
	}
	if agreed := t.agreedRoster(); agreed.Epoch > report.RosterEpoch {
		return &agreed
	}
	return nil
}
