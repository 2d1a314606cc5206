package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/document"
	"elderyard/internal/replica"
	"elderyard/internal/wait"
	"elderyard/rollout"
	"elderyard/supervise"
)

const (
	tickInterval            = 250 * time.Millisecond
	leadershipRetryInterval = 100 * time.Millisecond
	// silentAfter is after how long an agent is silent while no rollout says so.
	silentAfter        = 10 * time.Second
	maxCachedChecksums = 32
)

// errNotLeading says that another agent must be asked.
var errNotLeading = errors.New("this agent does not lead")

// leader drives the rollout while this voter leads. Its goroutine owns the
// machine; calls come to it as functions, one at a time.
type leader struct {
	name          string
	address       string
	store         *replica.Store
	settleTime    time.Duration
	rosterEnabled bool // who belongs is to be agreed on
	log           *slog.Logger
	calls         chan termCall
}

type termCall struct {
	do   func(*term) error
	done chan error
}

// term is one time of leading.
type term struct {
	*leader
	startedAt       time.Time
	machine         *rollout.Machine // nil: nothing has been applied, or agents are still being heard
	machineRevision uint64           // the machine's
	lastReports     map[string]*instanceReport
	serviceLevel    float64 // of the service, as last read; 0: not known

	// What the state says, as it was when seen was its next change.
	stateChanged   <-chan struct{}
	machineChanged <-chan struct{}   // the same, of what the machine has been told
	checksums      map[uint64]string // checksums of the revisions that are ordered
	currentRollout fleet.Rollout

	// Who is to belong, and since when that has been the same.
	rosterCandidates []string
	candidatesSince  time.Time
	rosterError      string // why they can't be agreed on, as last said

	recordsReports map[string]recordsReport // by agent
	agents         map[string]fleet.Agent
	drained        map[string]bool // every instance of the site, and whether it is
}

// instanceReport is what the leader knows of an instance.
type instanceReport struct {
	agentapi.Observed
	receivedAt time.Time
}

func newLeader(name, address string, s *replica.Store, settle time.Duration, roster bool, log *slog.Logger) *leader {
	return &leader{name: name, address: address, store: s, settleTime: settle, rosterEnabled: roster, log: log, calls: make(chan termCall)}
}

// do has the term do something, and fails where this voter does not lead.
func (l *leader) do(ctx context.Context, do func(*term) error) error {
	c := termCall{do, make(chan error, 1)}
	select {
	case l.calls <- c:
	case <-ctx.Done():
		return ctx.Err()
	}
	// What was begun writes to the caller's variables: its end is waited for. It ends
	// soon after ctx at the latest.
	return <-c.done
}

// run leads whenever the voters want it to, until ctx ends.
func (l *leader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.store.IsLeader() && l.store.VerifyLeader() == nil {
			l.log.Info("this agent leads")
			err := l.serveTerm(ctx)
			l.log.Info("this agent leads no more", "why", err)
			wait.For(ctx, leadershipRetryInterval)
			continue
		}
		pause := time.NewTimer(leadershipRetryInterval)
		select {
		case <-ctx.Done():
		case c := <-l.calls:
			c.done <- errNotLeading
		case <-l.store.LeadershipChanged():
		case <-pause.C:
		}
		pause.Stop()
	}
}

func (l *leader) serveTerm(ctx context.Context) error {
	t := &term{leader: l, startedAt: time.Now(), lastReports: map[string]*instanceReport{}, checksums: map[uint64]string{}}
	if err := l.publishAddress(); err != nil {
		return err
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		if !l.store.IsLeader() {
			return errNotLeading
		}
		changed := l.store.Changed()
		if err := t.followState(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case c := <-l.calls:
			err := c.do(t)
			c.done <- err
			if errors.Is(err, replica.ErrNoLeader) || errors.Is(err, replica.ErrUnknown) {
				return err
			}
		case <-tick.C:
			if err := t.step(ctx, rollout.Tick{}, ""); err != nil {
				return err
			}
			if err := t.updateRoster(ctx); err != nil {
				return err
			}
		}
	}
}

// publishAddress has the voters know this one by the address that its file names
// now: a site that began on one machine had none.
func (l *leader) publishAddress() error {
	members, err := l.store.Members()
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.Name == l.name && m.Address != l.address && l.address != "" {
			_, err := l.store.AddVoter(l.name, l.address)
			return err
		}
	}
	return nil
}

// followState begins the rollout that the voters have come to, if the machine is not
// at it, and takes out what no longer belongs to the site.
func (t *term) followState(ctx context.Context) error {
	t.refresh()
	if t.machineChanged == t.stateChanged && (t.machine != nil || t.currentRollout.New == 0) {
		return nil
	}
	t.machineChanged = t.stateChanged
	now, drained := t.currentRollout, t.drained
	for name := range t.lastReports {
		if _, inSite := drained[name]; !inSite {
			delete(t.lastReports, name)
		}
	}
	t.dropRecords()
	if t.machine != nil && t.machineRevision == now.New {
		for _, i := range t.machine.Status().Instances {
			// One that was taken out of service on purpose says nothing of a revision.
			if out, inSite := drained[i.Name]; !inSite || out {
				if err := t.step(ctx, rollout.InstanceRemoved{Instance: i.Name}, ""); err != nil {
					return err
				}
			}
		}
		return nil
	}
	if now.New == 0 || !t.settled() {
		return nil
	}
	instances := map[string]rollout.InitialInstance{}
	for name, out := range drained {
		if out {
			continue
		}
		k := rollout.InitialInstance{Unreachable: true}
		if h := t.lastReports[name]; h != nil && time.Since(h.receivedAt) < silentAfter {
			k = rollout.InitialInstance{Observed: t.observed(&h.Observed), Assigned: rollout.Revision(h.Target)}
		}
		instances[name] = k
	}
	m, err := rollout.New(t.policy(now.New))
	if err != nil {
		return fmt.Errorf("policy of revision %d: %w", now.New, err)
	}
	start := rollout.Start{New: rollout.Revision(now.New), Previous: rollout.Revision(now.Previous), Instances: instances, ServiceLevel: t.serviceLevel}
	if now.Started() {
		start.State, start.Reason = now.State, now.Reason
	}
	t.machine, t.machineRevision = m, now.New
	clear(t.checksums)
	t.log.Info("rollout", "revision", now.New, "before", now.Previous, "state", now.State, "instances", len(instances))
	return t.step(ctx, start, now.By)
}

// refresh reads the state anew if it has changed since the last look.
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

// settled tells whether the leader has heard of all, or waited long enough.
// Danger: a new leader that went on at once would take everybody to be away.
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

// policy is how a revision goes out. One that this program can't read, as an
// older one than it took, goes out by the defaults, and agents refuse it.
func (t *term) policy(revision uint64) (p rollout.Policy) {
	t.store.View(func(s *fleet.State) {
		r, _ := s.Revision(revision)
		d, err := document.Parse("revision", r.Content)
		if err != nil {
			t.log.Error("the revision of the rollout can't be read", "revision", revision, "error", err)
			p = document.DefaultPolicy()
			return
		}
		p = d.Policy()
	})
	return p
}

// observed is what an instance's report means for a rollout. One that runs what
// another site called by the same number runs none of this one's.
func (t *term) observed(o *agentapi.Observed) rollout.Observed {
	observed := rollout.Observed{Revision: rollout.Revision(o.Running), Ready: o.State == supervise.Ready, Crashes: o.Crashes}
	if o.Content != t.checksum(o.Running) {
		observed.Revision = 0
	}
	return observed
}

// step gives the machine an event. What it decides about the rollout is
// committed before anybody is told.
func (t *term) step(ctx context.Context, ev rollout.Event, by string) error {
	if t.machine == nil {
		return nil
	}
	actions, err := t.machine.Handle(time.Now(), ev)
	if err != nil {
		return &refusedError{err.Error()}
	}
	for _, a := range slices.Clone(actions) {
		c, is := a.(rollout.Changed)
		if !is {
			continue
		}
		if c.Instance != "" {
			t.log.Info("instance", "instance", c.Instance, "revision", t.machineRevision, "phase", c.To, "why", c.Reason)
			continue
		}
		t.log.Info("rollout", "revision", t.machineRevision, "state", c.To, "why", c.Reason)
		why := fleet.Truncate(c.Reason, fleet.MaxTextBytes)
		out, err := t.store.Propose(ctx, fleet.Entry{RolloutChange: &fleet.RolloutChange{New: t.machineRevision, State: rollout.State(c.To), Reason: why, By: by, At: time.Now().UTC()}})
		if err == nil && out.Rejected != "" {
			err = fmt.Errorf("%w: %s", replica.ErrNoLeader, out.Rejected)
		}
		if err != nil {
			t.machine = nil // what it decided does not hold
			return err
		}
	}
	return nil
}

// refusedError is an error of a call that fits no more, or not here.
type refusedError struct{ text string }

func (r *refusedError) Error() string { return r.text }

// report takes an agent's report and answers with its orders.
func (t *term) report(ctx context.Context, report *agentapi.Report) (*agentapi.Orders, error) {
	t.refresh()
	known := t.agents[report.Agent.Name]
	if known.Name == "" || known.Address != report.Agent.Address || !slices.Equal(known.Instances, report.Agent.Instances) {
		out, err := t.store.Propose(ctx, fleet.Entry{Enroll: &fleet.Enroll{Agent: report.Agent, At: time.Now().UTC()}})
		if err != nil {
			return nil, err
		}
		if out.Rejected != "" {
			return nil, &refusedError{out.Rejected}
		}
	}
	answer := &agentapi.Orders{Leader: t.name, Address: t.address, Orders: map[string]agentapi.Order{}, Roster: t.newerRoster(report), Records: t.receiveRecords(report.Agent.Name, report.Records)}
	for _, o := range report.Instances {
		if _, found := slices.BinarySearch(report.Agent.Instances, o.Name); !found {
			return nil, &refusedError{fmt.Sprintf("agent %s has no instance %s", report.Agent.Name, o.Name)}
		}
		t.lastReports[o.Name] = &instanceReport{o, time.Now()}
	}
	if err := t.followState(ctx); err != nil {
		return nil, err
	}
	for _, o := range report.Instances {
		if t.machine != nil && !t.drained[o.Name] {
			if err := t.step(ctx, rollout.InstanceReported{Instance: o.Name, Observed: t.observed(&o)}, ""); err != nil {
				return nil, err
			}
			if o.Refused != 0 {
				if err := t.step(ctx, rollout.Rejected{Instance: o.Name, Revision: rollout.Revision(o.Refused), Reason: o.Refusal}, ""); err != nil {
					return nil, err
				}
			}
		}
	}
	if t.machine == nil {
		answer.Wait = t.currentRollout.New != 0
		return answer, nil
	}
	for _, o := range report.Instances {
		if w, is := t.order(o); is {
			answer.Orders[o.Name] = w
		}
	}
	return answer, nil
}

// order is what an instance is to run. There is none for one that the first
// rollout of a site has yet to tell: it keeps what it has. Danger: gateways that
// ran before the site was founded anew would all be stopped at once.
func (t *term) order(o agentapi.Observed) (agentapi.Order, bool) {
	w := agentapi.Order{Revision: uint64(t.machine.InstanceRevision(o.Name)), Drained: t.drained[o.Name]}
	if w.Revision == 0 {
		back := t.machine.Status().State == rollout.RolledBack && o.Target == t.machineRevision
		return w, back || w.Drained
	}
	w.Checksum = t.checksum(w.Revision)
	return w, true
}

// checksum is the checksum of a revision; "": it is not known.
func (t *term) checksum(revision uint64) string {
	sum, found := t.checksums[revision]
	if !found {
		t.store.View(func(s *fleet.State) {
			r, _ := s.Revision(revision)
			sum = r.Checksum
		})
		if len(t.checksums) < maxCachedChecksums {
			t.checksums[revision] = sum
		}
	}
	return sum
}

// status is the site as this leader sees it.
func (t *term) status() agentapi.Status {
	s := agentapi.Status{Agent: t.name, Leader: t.name, At: time.Now().UTC()}
	t.store.View(s.SetDesired)
	phases := map[string]rollout.InstanceStatus{}
	if t.machine != nil {
		m := t.machine.Status()
		s.Wave, s.Waves = m.Wave, m.Waves
		for _, i := range m.Instances {
			phases[i.Name] = i
		}
	}
	doubts := t.unreachable()
	for n := range s.Instances {
		i := &s.Instances[n]
		i.UnreachableFrom = doubts[i.Name]
		if h := t.lastReports[i.Name]; h != nil {
			i.SetReport(&h.Observed, h.receivedAt)
		}
		if p, found := phases[i.Name]; found {
			i.Phase, i.Assigned, i.Silent = p.Phase, uint64(p.Assigned), p.Silent
		} else {
			i.Silent = time.Since(i.ReportedAt) > silentAfter
		}
	}
	return s
}
