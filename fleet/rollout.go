package fleet

import (
	"fmt"
	"time"

	"elderyard/rollout"
)

// Rollout is the replicated state of the current rollout or, if it has ended, of the last one.
type Rollout struct {
	New      uint64        `json:"new"`
	Previous uint64        `json:"before"`
	State    rollout.State `json:"state"`
	Reason   string        `json:"why"`
	By       string        `json:"by"` // the author of revision New
	At       time.Time     `json:"at"` // when the rollout entered its state
}

// DesiredRevision returns the revision to which all instances converge, 0 for none. It agrees with
// rollout.Machine.DesiredRevision.
func (r Rollout) DesiredRevision() uint64 {
	switch r.State {
	case rollout.RollingBack, rollout.RolledBack, rollout.PartlyRolledBack:
		return r.Previous
	}
	return r.New
}

// Ended reports whether another rollout may start.
func (r Rollout) Ended() bool { return r.New == 0 || r.State.Ended() }

// acceptedReason is the Reason of a rollout that no leader has started yet. It is part of the replicated state, and
// Started relies on it.
const acceptedReason = "it has been accepted"

// Started reports whether a leader has started the rollout, so that the next leader must take it over.
func (r Rollout) Started() bool { return r.State != rollout.Advancing || r.Reason != acceptedReason }

// RolloutChange sets the state of the rollout of revision New. By is the operator, or empty if the rollout's machine
// made the decision.
type RolloutChange struct {
	New    uint64        `json:"new"`
	State  rollout.State `json:"state"`
	Reason string        `json:"why"`
	By     string        `json:"by,omitempty"`
	At     time.Time     `json:"at"`
}

// Rollout returns the current rollout or, if it has ended, the last one.
func (s *State) Rollout() Rollout { return s.rollout }

func (c *RolloutChange) check() error {
	if c.New == 0 || len(c.Reason) > MaxTextBytes || c.State == "" {
		return fmt.Errorf("turn: of revision %d to %q", c.New, c.State)
	}
	return nil
}

// applyRolloutChange sets the state of the current rollout. A leader that has lost its leadership may have decided on a
// stale state, so two invariants hold whatever it proposes: a rollout that is rolling back never advances again, and
// one that has ended never runs again.
func (s *State) applyRolloutChange(change *RolloutChange) Outcome {
	current := &s.rollout
	if change.New != current.New {
		return Outcome{Rejected: fmt.Sprintf("the rollout is that of revision %d, not of %d", current.New, change.New)}
	}
	isRollback := current.DesiredRevision() != current.New
	toAdvance := Rollout{New: 1, State: change.State}.DesiredRevision() == 1
	if isRollback && toAdvance || current.State.Ended() && !change.State.Ended() {
		return Outcome{Rejected: fmt.Sprintf("the rollout is %s, and can't be %s", current.State, change.State)}
	}
	current.State, current.Reason, current.At = change.State, change.Reason, change.At
	who := change.By
	if who == "" {
		who = "rollout"
	}
	s.logEvent(change.At, who, fmt.Sprintf("the rollout of revision %d is %s: %s", change.New, change.State, change.Reason))
	return Outcome{}
}
