package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/document"
	"elderyard/internal/replica"
	"elderyard/rollout"
)

const (
	// silentAfter is the age of a report above which its instance counts as silent
	// where no rollout's policy says otherwise.
	silentAfter        = 10 * time.Second
	maxCachedChecksums = 32
)

// term is one term of leadership. The goroutine of Leader.Run owns it.
type term struct {
	*Leader
	startedAt       time.Time
	machine         *rollout.Machine // nil: nothing has been applied, or reports are still awaited
	machineRevision uint64           // the revision that machine rolls out
	lastReports     map[string]*instanceReport
	recordsReports  map[string]recordsReport // by agent
	serviceLevel    float64                  // as last read; 0: unknown

	// The desired state as of stateChanged, which closes at its next change.
	stateChanged   <-chan struct{}
	machineChanged <-chan struct{} // stateChanged of the state that machine has been passed
	currentRollout fleet.Rollout
	agents         map[string]fleet.Agent
	drained        map[string]bool   // every instance of the site, and whether it is drained
	checksums      map[uint64]string // by revision, of those ordered in this rollout

	// The names that the next roster would have, and since when they have not changed.
	rosterCandidates []string
	candidatesSince  time.Time
	rosterError      string // why they form no roster, as last logged
}

// instanceReport is the last report on an instance.
type instanceReport struct {
	agentapi.Observed
	receivedAt time.Time
}

// followState brings the term up to the committed state: it drops what was reported of
// removed agents and instances, and starts the rollout that the voters have agreed on.
func (t *term) followState(ctx context.Context) error {
	t.refresh()
	if t.machineChanged == t.stateChanged && (t.machine != nil || t.currentRollout.New == 0) {
		return nil
	}
	t.machineChanged = t.stateChanged
	for name := range t.lastReports {
		if _, inSite := t.drained[name]; !inSite {
			delete(t.lastReports, name)
		}
	}
	t.dropRecords()
	if t.machine != nil && t.machineRevision == t.currentRollout.New {
		return t.removeInstances(ctx)
	}
	if t.currentRollout.New == 0 || !t.settled() {
		return nil
	}
	return t.startRollout(ctx)
}

// refresh reads the desired state if it has changed since the last call.
func (t *term) refresh() {
	next := t.store.Changed()
	if next == t.stateChanged {
		return
	}
	t.stateChanged = next
	t.agents, t.drained = map[string]fleet.Agent{}, map[string]bool{}
	t.store.View(func(s *fleet.State) {
		t.currentRollout = s.Rollout()
		for _, a := range s.Agents() {
			t.agents[a.Name] = a
			for _, i := range a.Instances {
				t.drained[i] = s.Drained(i)
			}
		}
	})
}

// removeInstances takes removed and drained instances out of the rollout. A drained
// instance is down on purpose, which is no evidence against a revision.
func (t *term) removeInstances(ctx context.Context) error {
	drained := t.drained
	for _, i := range t.machine.Status().Instances {
		if out, inSite := drained[i.Name]; !inSite || out {
			if err := t.step(ctx, rollout.InstanceRemoved{Instance: i.Name}, ""); err != nil {
				return err
			}
		}
	}
	return nil
}

// settled reports whether all instances have been reported, or the settle time is
// over. A rollout must not start before: a new leader would take every instance that
// has not reported yet for unreachable.
func (t *term) settled() bool {
	if time.Since(t.startedAt) >= t.settleTime {
		return true
	}
	for name := range t.drained {
		if t.lastReports[name] == nil {
			return false
		}
	}
	return len(t.drained) > 0
}

// startRollout starts a machine for the committed rollout, from its committed state
// and the instances' last reports.
func (t *term) startRollout(ctx context.Context) error {
	current := t.currentRollout
	instances := map[string]rollout.InitialInstance{}
	for name, out := range t.drained {
		if out {
			continue
		}
		initial := rollout.InitialInstance{Unreachable: true}
		if last := t.lastReports[name]; last != nil && time.Since(last.receivedAt) < silentAfter {
			initial = rollout.InitialInstance{Observed: t.observed(&last.Observed), Assigned: rollout.Revision(last.Target)}
		}
		instances[name] = initial
	}
	machine, err := rollout.New(t.policy(current.New))
	if err != nil {
		return fmt.Errorf("policy of revision %d: %w", current.New, err)
	}
	start := rollout.Start{New: rollout.Revision(current.New), Previous: rollout.Revision(current.Previous), Instances: instances, ServiceLevel: t.serviceLevel}
	if current.Started() {
		start.State, start.Reason = current.State, current.Reason
	}
	t.machine, t.machineRevision = machine, current.New
	clear(t.checksums)
	t.log.Info("starting rollout", "revision", current.New, "previous", current.Previous, "state", current.State, "instances", len(instances))
	return t.step(ctx, start, current.By)
}

// policy returns the rollout policy of a revision. A revision that this release can't
// read, because a later one accepted it, goes out by the default policy; agents reject
// it.
func (t *term) policy(revision uint64) (p rollout.Policy) {
	t.store.View(func(s *fleet.State) {
		r, _ := s.Revision(revision)
		d, err := document.Parse("revision", r.Content)
		if err != nil {
			t.log.Error("failed to read the rollout's revision, using the default policy", "revision", revision, "error", err)
			p = document.DefaultPolicy()
			return
		}
		p = d.Policy()
	})
	return p
}

// step passes an event to the machine and commits the changes of the rollout's state
// that it decides. It must return before any order that rests on them is sent. It does
// nothing where there is no machine.
func (t *term) step(ctx context.Context, event rollout.Event, operator string) error {
	if t.machine == nil {
		return nil
	}
	actions, err := t.machine.Handle(time.Now(), event)
	if err != nil {
		return &RejectedError{err.Error()}
	}
	for _, action := range slices.Clone(actions) {
		change, is := action.(rollout.Transition)
		if !is {
			continue
		}
		if change.Instance != "" {
			t.log.Info("instance phase changed", "instance", change.Instance, "revision", t.machineRevision, "phase", change.To, "reason", change.Reason)
			continue
		}
		t.log.Info("rollout state changed", "revision", t.machineRevision, "state", change.To, "reason", change.Reason)
		if err := t.commit(ctx, change, operator); err != nil {
			t.machine = nil // its state is not the committed one: it is started anew
			return err
		}
	}
	return nil
}

// commit has the voters agree on a change of the rollout's state. A change that the
// site's state rejects means that another leader has gone on.
func (t *term) commit(ctx context.Context, change rollout.Transition, operator string) error {
	out, err := t.store.Propose(ctx, fleet.Entry{RolloutChange: &fleet.RolloutChange{New: t.machineRevision, State: rollout.State(change.To),
		Reason: fleet.Truncate(change.Reason, fleet.MaxTextBytes), By: operator, At: time.Now().UTC()}})
	if err == nil && out.Rejected != "" {
		err = fmt.Errorf("%w: %s", replica.ErrNotLeader, out.Rejected)
	}
	return err
}
