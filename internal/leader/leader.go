// Package leader drives the site's rollouts and its roster while this voter leads.
//
// A Leader runs for as long as the agent does. Whenever the voters elect this one, its
// goroutine opens a term: the reports of agents, operators' rollout events and the
// service level go in, and orders, committed rollout states and rosters come out. The
// decisions are those of rollout.Machine; whatever it decides about a rollout is
// committed by the voters before an agent gets an order that rests on it. A term's
// state lives in memory only and ends with the term: the next leader rebuilds it from
// the store and from the agents' reports.
//
// The goroutine of Run owns the term. The methods of a Leader pass it a function and
// wait; they may be called from any goroutine while Run runs, and return ErrNotLeading
// where this voter does not lead. The package does not forward calls to the leader and
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
	acceptTimeout           = 10 * time.Second // of a call, until the term accepts it
)

// ErrNotLeading is returned where this voter does not lead: another agent is to be
// called.
var ErrNotLeading = errors.New("this agent does not lead")

// RejectedError is returned for a call that the site's state does not allow. Nothing
// was changed, and a retry does not help.
type RejectedError struct{ Reason string }

// Error returns the reason.
func (e *RejectedError) Error() string { return e.Reason }

// Options describe a Leader. They must not change after New.
type Options struct {
	Name       string // of this agent
	Address    string // at which other agents reach it; "": they can't
	Store      *replica.Store
	SettleTime time.Duration // a new leader awaits reports for so long before it acts
	Roster     bool          // have the voters agree on the roster
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

// termCall is a function for the goroutine of Run to call with the current term.
type termCall struct {
	do   func(*term) error
	done chan error // has room for the result
}

// New returns a Leader. It does nothing until Run.
func New(o Options) *Leader {
	return &Leader{name: o.Name, address: o.Address, store: o.Store, settleTime: o.SettleTime, rosterEnabled: o.Roster, log: o.Log, calls: make(chan termCall)}
}

// Run opens a term whenever this voter is elected, until ctx ends.
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
			c.done <- ErrNotLeading
		case <-l.store.LeadershipChanged():
		case <-retry.C:
		}
		retry.Stop()
	}
}

// serveTerm serves one term, and returns why it ended.
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
			if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrOutcomeUnknown) {
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

// publishAddress has the voters know this one by the address that its file has now: a
// site that was founded on one machine had none.
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

// do has the goroutine of Run call a function with the current term. It returns the
// function's error, ErrNotLeading where there is no term, and the context's error
// where the term does not accept the call within acceptTimeout.
func (l *Leader) do(ctx context.Context, do func(*term) error) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	c := termCall{do, make(chan error, 1)}
	select {
	case l.calls <- c:
	case <-ctx.Done():
		return ctx.Err()
	}
	// An accepted function writes to the caller's variables, so its end must be awaited
	// even if ctx has ended. Its own calls are bounded by the caller's context.
	return <-c.done
}

// Report records an agent's report and returns its orders. A report that enrolls an
// agent or an instance is committed first.
func (l *Leader) Report(ctx context.Context, report *agentapi.Report) (orders *agentapi.Orders, err error) {
	err = l.do(ctx, func(t *term) (err error) {
		orders, err = t.report(ctx, report)
		return err
	})
	return orders, err
}

// Status returns the state of the site as this leader sees it.
func (l *Leader) Status(ctx context.Context) (status agentapi.Status, err error) {
	err = l.do(ctx, func(t *term) error { status = t.status(); return nil })
	return status, err
}

// RecordsLag compares the agents' copies of the records with the site's.
func (l *Leader) RecordsLag(ctx context.Context) (lag agentapi.RecordsLag, err error) {
	err = l.do(ctx, func(t *term) error { lag = t.recordsLag(); return nil })
	return lag, err
}

// HandleRolloutEvent passes an operator's event to the current rollout. It returns a
// *RejectedError where there is none or the rollout's state does not allow the event.
func (l *Leader) HandleRolloutEvent(ctx context.Context, event rollout.Event, operator string) error {
	return l.do(ctx, func(t *term) error {
		if t.machine == nil {
			return &RejectedError{"no rollout is on its way, or the leader has yet to hear from the agents"}
		}
		return t.step(ctx, event, operator)
	})
}

// setServiceLevel records the service level and passes it to the current rollout.
func (l *Leader) setServiceLevel(ctx context.Context, level float64) error {
	return l.do(ctx, func(t *term) error {
		t.serviceLevel = level
		return t.step(ctx, rollout.ServiceReported{Level: level}, "")
	})
}
