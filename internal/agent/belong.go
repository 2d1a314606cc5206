package agent

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/files"
	"elderyard/internal/peers"
	"elderyard/members"
)

const (
	rosterFile  = "roster.toml"
	rosterDelay = time.Second // the instances have been the same for so long before they are agreed on
)

// ---- at the leader

// updateRoster has the voters agree on who belongs, where that has changed and the
// instances of the site have been the same for a moment: agents come one by one.
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
	b := fleet.RosterChange{Names: names, At: time.Now().UTC()}
	if err := b.Check(); err != nil {
		// Danger: it must not cost the lead, which would go round among the voters.
		if t.rosterError != err.Error() {
			t.rosterError = err.Error()
			t.log.Error("the voters can't agree on who belongs; the roster stays", "error", err)
		}
		return nil
	}
	now := t.agreedRoster()
	if slices.EqualFunc(names, now.Members, func(name string, m members.Member) bool { return name == m.Name }) {
		return nil
	}
	_, err := t.store.Propose(ctx, fleet.Entry{RosterChange: &b})
	return err
}

func (t *term) agreedRoster() (r members.Roster) {
	t.store.View(func(s *fleet.State) { r = s.Roster() })
	return r
}

// newerRoster is what an agent is told of who belongs; nil: it knows, or does not ask.
func (t *term) newerRoster(r *agentapi.Report) *members.Roster {
	if !r.WantsRoster {
		return nil
	}
	if now := t.agreedRoster(); now.Epoch > r.RosterEpoch {
		return &now
	}
	return nil
}

// unreachable tells which instances others do not hear, and whom. It is evidence that
// one has failed, and no proof: nothing is decided by it.
func (t *term) unreachable() map[string][]string {
	by := map[string][]string{}
	for name, h := range t.lastReports {
		if time.Since(h.receivedAt) >= silentAfter {
			continue
		}
		for _, missing := range h.Unreachable {
			by[missing] = append(by[missing], name)
		}
	}
	for _, names := range by {
		slices.Sort(names)
	}
	return by
}

// ---- at each agent

// rosterPath is the file that this agent's gateways read.
func (c *Config) rosterPath() string { return filepath.Join(c.Dir, rosterFile) }

// cachedRosterEpoch reads the epoch of the roster that an earlier run kept; 0: none is.
func (a *Agent) cachedRosterEpoch() uint64 {
	text, err := os.ReadFile(a.config.rosterPath())
	if err != nil {
		return 0
	}
	r, err := peers.ParseRoster(a.config.rosterPath(), text)
	if err != nil {
		a.log.Error("the roster that is kept can't be read; it is asked for anew", "error", err)
		return 0
	}
	return r.Epoch
}

// cacheRoster writes a roster down for the gateways.
func (a *Agent) cacheRoster(roster *members.Roster) {
	key, err := roster.Check()
	if err != nil {
		err = fmt.Errorf("%s: %w", key, err)
	}
	var text []byte
	if err == nil {
		text, err = toml.Marshal(roster)
	}
	if err == nil {
		err = files.Replace(a.config.rosterPath(), text, 0o600)
	}
	if err != nil {
		a.log.Error("a roster can't be kept", "epoch", roster.Epoch, "error", err)
		return
	}
	a.rosterEpoch = roster.Epoch
	a.log.Info("a roster is kept for the gateways", "epoch", roster.Epoch, "members", len(roster.Members))
}

// awaitsRoster tells whether gateways can't start for want of a roster.
func (a *Agent) awaitsRoster() bool { return a.config.Roster && a.rosterEpoch == 0 }
