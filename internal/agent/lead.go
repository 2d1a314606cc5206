package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
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
	leadTick  = 250 * time.Millisecond
	leadRetry = 100 * time.Millisecond
	// idleSilence is after how long an agent is silent while no rollout says so.
	idleSilence = 10 * time.Second
	mostSums    = 32
)

// errNotLeading says that another agent must be asked.
var errNotLeading = errors.New("this agent does not lead")

// lead drives the rollout while this voter leads. Its goroutine owns the
// machine; calls come to it as functions, one at a time.
type lead struct {
	name    string
	address string
	store   *replica.Store
	settle  time.Duration
	roster  bool // who belongs is to be agreed on
	log     *slog.Logger
	calls   chan leadCall
}

type leadCall struct {
	do   func(*term) error
	done chan error
}

// term is one time of leading.
type term struct {
	*lead
	began   time.Time
	machine *rollout.Machine // nil: nothing has been applied, or agents are still being heard
	rollout uint64           // the machine's
	heard   map[string]*heardOf
	level   float64 // of the service, as last read; 0: not known

	// What the state says, as it was when seen was its next change.
	seen     <-chan struct{}
	followed <-chan struct{}   // the same, of what the machine has been told
	sums     map[uint64]string // checksums of the revisions that are ordered
	present  fleet.Rollout

	// Who is to belong, and since when that has been the same.
	belonging   []string
	belongingAt time.Time
	misfit      string // why they can't be agreed on, as last said

	records map[string]heardRecords // by agent
	agents  map[string]fleet.Agent
	drained map[string]bool // every instance of the site, and whether it is
}

// heardOf is what the leader knows of an instance.
type heardOf struct {
	agentapi.Observed
	at time.Time
}

func newLead(name, address string, s *replica.Store, settle time.Duration, roster bool, log *slog.Logger) *lead {
	return &lead{name: name, address: address, store: s, settle: settle, roster: roster, log: log, calls: make(chan leadCall)}
}

// ask has the term do something, and fails where this voter does not lead.
func (l *lead) ask(ctx context.Context, do func(*term) error) error {
	c := leadCall{do, make(chan error, 1)}
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
func (l *lead) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.store.Leading() && l.store.Confirm() == nil {
			l.log.Info("this agent leads")
			err := l.serve(ctx)
			l.log.Info("this agent leads no more", "why", err)
			wait.For(ctx, leadRetry)
			continue
		}
		pause := time.NewTimer(leadRetry)
		select {
		case <-ctx.Done():
		case c := <-l.calls:
			c.done <- errNotLeading
		case <-l.store.Leads():
		case <-pause.C:
		}
		pause.Stop()
	}
}

func (l *lead) serve(ctx context.Context) error {
	t := &term{lead: l, began: time.Now(), heard: map[string]*heardOf{}, sums: map[uint64]string{}}
	if err := l.settleAddress(); err != nil {
		return err
	}
	tick := time.NewTicker(leadTick)
	defer tick.Stop()
	for {
		if !l.store.Leading() {
			return errNotLeading
		}
		changed := l.store.Changed()
		if err := t.follow(ctx); err != nil {
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
			if err := t.event(ctx, rollout.Tick{}, ""); err != nil {
				return err
			}
			if err := t.belong(ctx); err != nil {
				return err
			}
		}
	}
}

// settleAddress has the voters know this one by the address that its file names
// now: a site that began on one machine had none.
func (l *lead) settleAddress() error {
	members, err := l.store.Members()
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.Name == l.name && m.Address != l.address && l.address != "" {
			_, err := l.store.Add(l.name, l.address)
			return err
		}
	}
	return nil
}

// follow begins the rollout that the voters have come to, if the machine is not
// at it, and takes out what no longer belongs to the site.
func (t *term) follow(ctx context.Context) error {
	t.look()
	if t.followed == t.seen && (t.machine != nil || t.present.New == 0) {
		return nil
	}
	t.followed = t.seen
	now, drained := t.present, t.drained
	for name := range t.heard {
		if _, belongs := drained[name]; !belongs {
			delete(t.heard, name)
		}
	}
	t.forgetRecords()
	if t.machine != nil && t.rollout == now.New {
		for _, i := range t.machine.Status().Instances {
			// One that was taken out of service on purpose says nothing of a revision.
			if out, belongs := drained[i.Name]; !belongs || out {
				if err := t.event(ctx, rollout.Removed{Instance: i.Name}, ""); err != nil {
					return err
				}
			}
		}
		return nil
	}
	if now.New == 0 || !t.settled() {
		return nil
	}
	instances := map[string]rollout.Known{}
	for name, out := range drained {
		if out {
			continue
		}
		k := rollout.Known{Away: true}
		if h := t.heard[name]; h != nil && time.Since(h.at) < idleSilence {
			k = rollout.Known{Observed: t.observed(&h.Observed), Told: rollout.Revision(h.Taking)}
		}
		instances[name] = k
	}
	m, err := rollout.New(t.policy(now.New))
	if err != nil {
		return fmt.Errorf("policy of revision %d: %w", now.New, err)
	}
	start := rollout.Start{New: rollout.Revision(now.New), Before: rollout.Revision(now.Before), Instances: instances, Service: t.level}
	if now.Begun() {
		start.State, start.Why = now.State, now.Why
	}
	t.machine, t.rollout = m, now.New
	clear(t.sums)
	t.log.Info("rollout", "revision", now.New, "before", now.Before, "state", now.State, "instances", len(instances))
	return t.event(ctx, start, now.By)
}

// look reads the state anew if it has changed since the last look.
func (t *term) look() {
	next := t.store.Changed()
	if next == t.seen {
		return
	}
	t.seen = next
	t.agents, t.drained = map[string]fleet.Agent{}, map[string]bool{}
	t.store.View(func(s *fleet.State) {
		t.present = s.Rollout()
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
	if time.Since(t.began) >= t.settle {
		return true
	}
	for name := range t.drained {
		if t.heard[name] == nil {
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
	seen := rollout.Observed{Revision: rollout.Revision(o.Running), Ready: o.State == supervise.Ready, Crashes: o.Crashes}
	if o.Content != t.sum(o.Running) {
		seen.Revision = 0
	}
	return seen
}

// event gives the machine an event. What it decides about the rollout is
// committed before anybody is told.
func (t *term) event(ctx context.Context, ev rollout.Event, by string) error {
	if t.machine == nil {
		return nil
	}
	actions, err := t.machine.Handle(time.Now(), ev)
	if err != nil {
		return &refusal{err.Error()}
	}
	for _, a := range slices.Clone(actions) {
		c, is := a.(rollout.Changed)
		if !is {
			continue
		}
		if c.Instance != "" {
			t.log.Info("instance", "instance", c.Instance, "revision", t.rollout, "phase", c.To, "why", c.Why)
			continue
		}
		t.log.Info("rollout", "revision", t.rollout, "state", c.To, "why", c.Why)
		why := fleet.Short(c.Why, fleet.MostText)
		out, err := t.store.Propose(ctx, fleet.Entry{Turn: &fleet.Turn{New: t.rollout, State: rollout.State(c.To), Why: why, By: by, At: time.Now().UTC()}})
		if err == nil && out.Refused != "" {
			err = fmt.Errorf("%w: %s", replica.ErrNoLeader, out.Refused)
		}
		if err != nil {
			t.machine = nil // what it decided does not hold
			return err
		}
	}
	return nil
}

// refusal is an error of a call that fits no more, or not here.
type refusal struct{ text string }

func (r *refusal) Error() string { return r.text }

// report takes an agent's report and answers with its orders.
func (t *term) report(ctx context.Context, r *agentapi.Report) (*agentapi.Orders, error) {
	t.look()
	known := t.agents[r.Agent.Name]
	if known.Name == "" || known.Address != r.Agent.Address || !slices.Equal(known.Instances, r.Agent.Instances) {
		out, err := t.store.Propose(ctx, fleet.Entry{Enroll: &fleet.Enroll{Agent: r.Agent, At: time.Now().UTC()}})
		if err != nil {
			return nil, err
		}
		if out.Refused != "" {
			return nil, &refusal{out.Refused}
		}
	}
	answer := &agentapi.Orders{Leader: t.name, Address: t.address, Orders: map[string]agentapi.Order{}, Roster: t.rosterFor(r), Records: t.hearRecords(r.Agent.Name, r.Records)}
	for _, o := range r.Instances {
		if _, found := slices.BinarySearch(r.Agent.Instances, o.Name); !found {
			return nil, &refusal{fmt.Sprintf("agent %s has no instance %s", r.Agent.Name, o.Name)}
		}
		t.heard[o.Name] = &heardOf{o, time.Now()}
	}
	if err := t.follow(ctx); err != nil {
		return nil, err
	}
	for _, o := range r.Instances {
		if t.machine != nil && !t.drained[o.Name] {
			if err := t.event(ctx, rollout.Heard{Instance: o.Name, Observed: t.observed(&o)}, ""); err != nil {
				return nil, err
			}
			if o.Refused != 0 {
				if err := t.event(ctx, rollout.Refuses{Instance: o.Name, Revision: rollout.Revision(o.Refused), Why: o.Refusal}, ""); err != nil {
					return nil, err
				}
			}
		}
	}
	if t.machine == nil {
		answer.Wait = t.present.New != 0
		return answer, nil
	}
	for _, o := range r.Instances {
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
	w := agentapi.Order{Revision: uint64(t.machine.Order(o.Name)), Drained: t.drained[o.Name]}
	if w.Revision == 0 {
		back := t.machine.Status().State == rollout.RolledBack && o.Taking == t.rollout
		return w, back || w.Drained
	}
	w.Checksum = t.sum(w.Revision)
	return w, true
}

// sum is the checksum of a revision; "": it is not known.
func (t *term) sum(revision uint64) string {
	sum, found := t.sums[revision]
	if !found {
		t.store.View(func(s *fleet.State) {
			r, _ := s.Revision(revision)
			sum = r.Checksum
		})
		if len(t.sums) < mostSums {
			t.sums[revision] = sum
		}
	}
	return sum
}

// status is the site as this leader sees it.
func (t *term) status() Status {
	s := Status{Agent: t.name, Leader: t.name, At: time.Now().UTC()}
	t.store.View(func(f *fleet.State) { fill(&s, f) })
	phases := map[string]rollout.InstanceStatus{}
	if t.machine != nil {
		m := t.machine.Status()
		s.Wave, s.Waves = m.Wave, m.Waves
		for _, i := range m.Instances {
			phases[i.Name] = i
		}
	}
	doubts := t.doubts()
	for n := range s.Instances {
		i := &s.Instances[n]
		i.DoubtedBy = doubts[i.Name]
		if h := t.heard[i.Name]; h != nil {
			i.show(&h.Observed, h.at)
		}
		if p, found := phases[i.Name]; found {
			i.Phase, i.Told, i.Silent = p.Phase, uint64(p.Told), p.Silent
		} else {
			i.Silent = time.Since(i.Heard) > idleSilence
		}
	}
	return s
}

// fill tells what the state alone knows.
func fill(s *Status, f *fleet.State) {
	head, _ := f.Head()
	s.Rollout = f.Rollout()
	s.Head, s.Wanted = head.Number, s.Rollout.Wanted()
	for _, a := range f.Agents() {
		for _, name := range a.Instances {
			s.Instances = append(s.Instances, InstanceStatus{Name: name, Agent: a.Name, Drained: f.Drained(name)})
		}
	}
	slices.SortFunc(s.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
}
