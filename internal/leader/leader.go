// Package leader drives the site's rollouts and its roster while this voter leads.
//
// A Leader runs for as long as the agent does. Whenever the voters elect this one, its
// goroutine starts a term. The inputs of a term are the agents' reports, operators'
// rollout events and the service level; its outputs are orders, committed rollout states
// and rosters. rollout.Machine makes the decisions. The voters commit each rollout state
// before an agent gets an order that depends on it. The state of a term is kept in memory
// only and ends with the term: the next leader rebuilds it from the store and from the
// agents' reports.
//
// The goroutine of Run owns the term. The methods of a Leader pass it a function and
// wait; they may be called from any goroutine while Run runs, and return ErrNotLeading
// if this voter does not lead. The package does not forward calls to the leader and
// does not serve HTTP.
package leader

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/replica"
	"elderyard/internal/wait"
	"elderyard/rollout"
)

const (
	tickInterval            = 250 * time.Millisecond
	leadershipRetryInterval = 100 * time.Millisecond
	acceptTimeout           = 10 * time.Second // until the term accepts a call
)

// ErrNotLeading is returned if this voter does not lead. The caller has to call another
// agent.
var ErrNotLeading = errors.New("this agent does not lead")

// RejectedError is returned for a call that the site's state does not allow. The call has
// changed nothing, and a retry would fail too.
type RejectedError struct{ Reason string }

// Error returns the reason.
func (e *RejectedError) Error() string { return e.Reason }

// Options describe a Leader. They must not change after New.
type Options struct {
	Name       string // of this agent
	Address    string // at which other agents reach it; "": none
	Store      *replica.Store
	SettleTime time.Duration // how long a new leader waits for reports before it acts
	Roster     bool          // the voters commit a roster of the site's instances
	Log        *slog.Logger
}

// Leader drives the rollouts while this voter leads.
type Leader struct {
	name          string
	address       string
	store         *replica.Store
	settleTime    time.Duration
	rosterEnabled bool
	log           *slog.Logger
	calls         chan termCall
}

// termCall is a function that the goroutine of Run calls with the current term.
type termCall struct {
	run    func(*term) error
	result chan error // buffered, for one error
}

// New returns a Leader, which does nothing until Run is called.
func New(o Options) *Leader {
	return &Leader{name: o.Name, address: o.Address, store: o.Store, settleTime: o.SettleTime, rosterEnabled: o.Roster, log: o.Log, calls: make(chan termCall)}
}

// Run serves a term whenever this voter is elected, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.store.IsLeader() && l.store.VerifyLeader() == nil {
			l.log.Info("acquired leadership")
			err := l.serveTerm(ctx)
			l.log.Info("lost leadership", "error", err)
			wait.For(ctx, leadershipRetryInterval)
			continue
		}
		retry := time.NewTimer(leadershipRetryInterval)
		select {
		case <-ctx.Done():
		case c := <-l.calls:
			c.result <- ErrNotLeading
		case <-l.store.LeadershipChanged():
		case <-retry.C:
		}
		retry.Stop()
	}
}

// serveTerm serves one term and returns the error that ended it.
func (l *Leader) serveTerm(ctx context.Context) error {
	t := &term{Leader: l, startedAt: time.Now(), lastReports: map[string]*instanceReport{}, recordsReports: map[string]recordsReport{}, checksums: map[uint64]string{}}
	if err := l.publishAddress(); err != nil {
		return err
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		if !l.store.IsLeader() {
			return ErrNotLeading
		}
		changed := l.store.Changed()
		if err := t.applyCommittedState(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case c := <-l.calls:
			err := c.run(t)
			c.result <- err
			if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrOutcomeUnknown) {
				return err
			}
		case <-tick.C:
			if err := t.handleEvent(ctx, rollout.Tick{}, ""); err != nil {
				return err
			}
			if err := t.updateRoster(ctx); err != nil {
				return err
			}
		}
	}
}

// publishAddress updates this voter's address in the list of voters, if its configuration
// has another one now: the first voter of a site may have started without a port.
func (l *Leader) publishAddress() error {
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

// withTerm runs a function on the goroutine of Run with the current term. It returns the
// function's error, ErrNotLeading if there is no term, or the context's error if the term
// does not accept the call within acceptTimeout.
func (l *Leader) withTerm(ctx context.Context, do func(*term) error) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	c := termCall{do, make(chan error, 1)}
	select {
	case l.calls <- c:
	case <-ctx.Done():
		return ctx.Err()
	}
	// Must wait for an accepted function even if ctx has ended, because it writes to the
	// caller's variables. The caller's context bounds the calls that it makes.
	return <-c.result
}

// Report records an agent's report and returns its orders. If the agent or one of its
// instances is new, the enrollment is committed first.
func (l *Leader) Report(ctx context.Context, report *agentapi.Report) (orders *agentapi.Orders, err error) {
	err = l.withTerm(ctx, func(t *term) (err error) {
		orders, err = t.report(ctx, report)
		return err
	})
	return orders, err
}

// Status returns the state of the site as this leader sees it.
func (l *Leader) Status(ctx context.Context) (status agentapi.Status, err error) {
	err = l.withTerm(ctx, func(t *term) error { status = t.status(); return nil })
	return status, err
}

// RecordsLag compares the agents' copies of the records with the site's records.
func (l *Leader) RecordsLag(ctx context.Context) (lag agentapi.RecordsLag, err error) {
	err = l.withTerm(ctx, func(t *term) error { lag = t.recordsLag(); return nil })
	return lag, err
}

// HandleRolloutEvent passes an operator's event to the current rollout. It returns a
// *RejectedError if there is no rollout or its state does not allow the event.
func (l *Leader) HandleRolloutEvent(ctx context.Context, event rollout.Event, operator string) error {
	return l.withTerm(ctx, func(t *term) error {
		if t.machine == nil {
			return &RejectedError{"no rollout is on its way, or the leader has yet to hear from the agents"}
		}
		return t.handleEvent(ctx, event, operator)
	})
}

// setServiceLevel records the service level and passes it to the current rollout.
func (l *Leader) setServiceLevel(ctx context.Context, level float64) error {
	return l.withTerm(ctx, func(t *term) error {
		t.serviceLevel = level
		return t.handleEvent(ctx, rollout.ServiceReported{Level: level}, "")
	})
}
