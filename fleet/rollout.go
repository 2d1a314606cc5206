package fleet

import (
	"fmt"
	"time"

	"elderyard/rollout"
)

// Rollout is the state of the present rollout, or of the last one, as the voters have agreed on it.
type Rollout struct {
	New      uint64        `json:"new"`
	Previous uint64        `json:"before"`
	State    rollout.State `json:"state"`
	Reason   string        `json:"why"`
	By       string        `json:"by"` // the author of New
	At       time.Time     `json:"at"` // the time of the present state
}

// DesiredRevision returns the revision that all instances converge to by the present state, 0 for none; see rollout.Machine.DesiredRevision.
func (r Rollout) DesiredRevision() uint64 {
	switch r.State {
	case rollout.RollingBack, rollout.RolledBack, rollout.PartlyRolledBack:
		return r.Previous
	}
	return r.New
}

// Ended reports whether another rollout may begin.
func (r Rollout) Ended() bool { return r.New == 0 || r.State.Ended() }

// acceptedReason is the Reason of a rollout that no leader has begun. It stands in stored entries, and Started goes by it.
const acceptedReason = "it has been accepted"

// Started reports whether a leader has begun the rollout, so that the next leader takes it over.
func (r Rollout) Started() bool { return r.State != rollout.Advancing || r.Reason != acceptedReason }

// RolloutChange sets the state of the rollout of New. By is empty if the rollout's machine decided.
type RolloutChange struct {
	New    uint64        `json:"new"`
	State  rollout.State `json:"state"`
	Reason string        `json:"why"`
	By     string        `json:"by,omitempty"`
	At     time.Time     `json:"at"`
}

// Rollout returns the present rollout or the last one.
func (s *State) Rollout() Rollout { return s.rollout }

func (c *RolloutChange) check() error {
	if c.New == 0 || len(c.Reason) > MaxTextBytes || c.State == "" {
		return fmt.Errorf("turn: of revision %d to %q", c.New, c.State)
	}
	return nil
}

// applyRolloutChange sets the state of the present rollout. A leader that lost its leadership may have decided on an
// outdated state, so two invariants hold whatever it proposes: a rollback never becomes an advance again, and an ended
// rollout never runs again.
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
