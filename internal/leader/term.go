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
	// silentAfter is the age of a report above which its instance counts as silent, unless
	// the policy of a rollout sets another limit.
	silentAfter        = 10 * time.Second
	maxCachedChecksums = 32
)

// term is one term of leadership. The goroutine of Leader.Run owns it.
type term struct {
	*Leader
	startedAt       time.Time
	machine         *rollout.Machine // nil: no revision was ever applied, or the term still waits for reports
	machineRevision uint64           // the revision that machine rolls out
	lastReports     map[string]*instanceReport
	recordsReports  map[string]recordsReport // by agent
	serviceLevel    float64                  // as last read; 0: unknown

	// The desired state. stateChanged is closed when it changes.
	stateChanged   <-chan struct{}
	machineChanged <-chan struct{} // stateChanged as of the last update of machine
	currentRollout fleet.Rollout
	agents         map[string]fleet.Agent
	drained        map[string]bool   // by instance, for all of the site
	checksums      map[uint64]string // by revision, of those ordered in this rollout

	// The names of the next roster, and since when they are unchanged.
	rosterCandidates []string
	candidatesSince  time.Time
	rosterError      string // why rosterCandidates is no valid roster, as last logged
}

// instanceReport is the last report on an instance.
type instanceReport struct {
	agentapi.Observed
	receivedAt time.Time
}

// applyCommittedState updates the term to the committed state: it drops the reports of
// removed agents and instances, and starts the committed rollout.
func (t *term) applyCommittedState(ctx context.Context) error {
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
	t.pruneRecordsReports()
	if t.machine != nil && t.machineRevision == t.currentRollout.New {
		return t.removeInstances(ctx)
	}
	if t.currentRollout.New == 0 || !t.settled() {
		return nil
	}
	return t.startRollout(ctx)
}

// refresh rereads the desired state if it has changed since the last call.
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

// removeInstances removes drained instances, and those that left the site, from the
// rollout. A drained instance is down on purpose, which is no evidence against a revision.
func (t *term) removeInstances(ctx context.Context) error {
	drained := t.drained
	for _, i := range t.machine.Status().Instances {
		if isDrained, inSite := drained[i.Name]; !inSite || isDrained {
			if err := t.handleEvent(ctx, rollout.InstanceRemoved{Instance: i.Name}, ""); err != nil {
				return err
			}
		}
	}
	return nil
}

// settled reports whether all instances have been reported or the settle time is over. A
// rollout must not start earlier: a new leader would treat each instance that has not been
// reported yet as unreachable.
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
	for name, drained := range t.drained {
		if drained {
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
	return t.handleEvent(ctx, start, current.By)
}

// policy returns the rollout policy of a revision. The default policy applies to a revision
// that this release can't parse because a later release accepted it; agents reject it.
func (t *term) policy(revision uint64) (p rollout.Policy) {
	t.store.View(func(s *fleet.State) {
		r, _ := s.Revision(revision)
		d, err := document.Parse("revision", r.Content)
		if err != nil {
			t.log.Error("failed to parse the rollout's revision; using the default policy", "revision", revision, "error", err)
			p = document.DefaultPolicy()
			return
		}
		p = d.Policy()
	})
	return p
}

// handleEvent passes an event to the rollout machine and commits the resulting changes of
// the rollout's state. Must return before any order that depends on them is sent. It does
// nothing if there is no machine.
func (t *term) handleEvent(ctx context.Context, event rollout.Event, operator string) error {
	if t.machine == nil {
		return nil
	}
	actions, err := t.machine.Handle(time.Now(), event)
	if err != nil {
		return &RejectedError{err.Error()}
	}
	for _, action := range slices.Clone(actions) {
		change, ok := action.(rollout.Transition)
		if !ok {
			continue
		}
		if change.Instance != "" {
			t.log.Info("instance phase changed", "instance", change.Instance, "revision", t.machineRevision, "phase", change.To, "reason", change.Reason)
			continue
		}
		t.log.Info("rollout state changed", "revision", t.machineRevision, "state", change.To, "reason", change.Reason)
		if err := t.commit(ctx, change, operator); err != nil {
			t.machine = nil // its state was not committed; applyCommittedState creates a new one
			return err
		}
	}
	return nil
}

// commit proposes a change of the rollout's state. If the site's state rejects it, another
// leader has changed the rollout since.
func (t *term) commit(ctx context.Context, change rollout.Transition, operator string) error {
	out, err := t.store.Propose(ctx, fleet.Entry{RolloutChange: &fleet.RolloutChange{New: t.machineRevision, State: rollout.State(change.To),
		Reason: fleet.Truncate(change.Reason, fleet.MaxTextBytes), By: operator, At: time.Now().UTC()}})
	if err == nil && out.Rejected != "" {
		err = fmt.Errorf("%w: %s", replica.ErrNotLeader, out.Rejected)
	}
	return err
}
