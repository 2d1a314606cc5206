package agent

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
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
	belongAfter = time.Second // the instances have been the same for so long before they are agreed on
	mostBelief  = 256         // bytes of what a gateway believes, in a report
	mostMissing = 64          // names that it does not hear
)

// ---- at the leader

// belong has the voters agree on who belongs, where that has changed and the
// instances of the site have been the same for a moment: agents come one by one.
func (t *term) belong(ctx context.Context) error {
	if !t.roster {
		return nil
	}
	names := slices.Sorted(maps.Keys(t.drained))
	if !slices.Equal(names, t.belonging) {
		t.belonging, t.belongingAt = names, time.Now()
	}
	if len(names) == 0 || time.Since(t.belongingAt) < belongAfter {
		return nil
	}
	b := fleet.Belong{Names: names, At: time.Now().UTC()}
	if err := b.Check(); err != nil {
		// Danger: it must not cost the lead, which would go round among the voters.
		if t.misfit != err.Error() {
			t.misfit = err.Error()
			t.log.Error("the voters can't agree on who belongs; the roster stays", "error", err)
		}
		return nil
	}
	now := t.agreed()
	if slices.EqualFunc(names, now.Members, func(name string, m members.Member) bool { return name == m.Name }) {
		return nil
	}
	_, err := t.store.Propose(ctx, fleet.Entry{Belong: &b})
	return err
}

func (t *term) agreed() (r members.Roster) {
	t.store.View(func(s *fleet.State) { r = s.Roster() })
	return r
}

// rosterFor is what an agent is told of who belongs; nil: it knows, or does not ask.
func (t *term) rosterFor(r *agentapi.Report) *members.Roster {
	if !r.Belong {
		return nil
	}
	if now := t.agreed(); now.Epoch > r.Epoch {
		return &now
	}
	return nil
}

// doubts tells which instances others do not hear, and whom. It is evidence that
// one has failed, and no proof: nothing is decided by it.
func (t *term) doubts() map[string][]string {
	by := map[string][]string{}
	for name, h := range t.heard {
		if time.Since(h.at) >= idleSilence {
			continue
		}
		for _, missing := range h.Missing {
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

// keptRoster reads the epoch of the roster that an earlier run kept; 0: none is.
func (a *Agent) keptRoster() uint64 {
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

// keepRoster writes a roster down for the gateways.
func (a *Agent) keepRoster(r *members.Roster) {
	key, err := r.Check()
	if err != nil {
		err = fmt.Errorf("%s: %w", key, err)
	}
	var text []byte
	if err == nil {
		text, err = toml.Marshal(r)
	}
	if err == nil {
		err = files.Replace(a.config.rosterPath(), text, 0o600)
	}
	if err != nil {
		a.log.Error("a roster can't be kept", "epoch", r.Epoch, "error", err)
		return
	}
	a.epoch = r.Epoch
	a.log.Info("a roster is kept for the gateways", "epoch", r.Epoch, "members", len(r.Members))
}

// awaitsRoster tells whether gateways can't start for want of a roster.
func (a *Agent) awaitsRoster() bool { return a.config.Roster && a.epoch == 0 }

// belief is what a gateway says of the others.
type belief struct {
	line    string
	missing []string
}

// desk is where an instance's operators call, by its environment; "": nowhere.
func (e *InstanceEntry) desk() string {
	for _, v := range slices.Backward(e.Env) {
		if at, is := strings.CutPrefix(v, "EDGE_OPERATOR="); is {
			return at
		}
	}
	return ""
}

// believes asks a gateway what it knows of the others. It is asked beside its
// readiness, and may know nothing.
func (p *process) believes(ctx context.Context) (b belief) {
	at := p.entry.desk()
	if !p.config.Roster || at == "" {
		return belief{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	a, err := peers.Ask(ctx, at)
	if err != nil {
		return belief{}
	}
	for _, v := range a.Picture.Members {
		if v.Belongs && !v.State.There() && len(b.missing) < mostMissing {
			b.missing = append(b.missing, v.Name)
		}
	}
	b.line = fleet.Short(a.Picture.Line(a.Picture.At), mostBelief)
	return b
}
