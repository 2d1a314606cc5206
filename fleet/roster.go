package fleet

import (
	"fmt"
	"slices"
	"time"

	"elderyard/members"
)

// RosterChange sets the instances that are members of the site. It is a separate entry rather than derived from the
// entries of the agents, so that voters that start from snapshots of different ages reach the same epochs.
type RosterChange struct {
	Names []string  `json:"names"` // sorted, without duplicates
	At    time.Time `json:"at"`
}

// Check returns an error for a list of names that is not a valid roster.
func (c *RosterChange) Check() error {
	if len(c.Names) == 0 || len(c.Names) > members.MaxRosterSize {
		return fmt.Errorf("roster: %d names, and 1 to %d may be", len(c.Names), members.MaxRosterSize)
	}
	for i, name := range c.Names {
		if err := members.CheckName(name); err != nil {
			return fmt.Errorf("roster: %w", err)
		}
		if i > 0 && c.Names[i-1] >= name {
			return fmt.Errorf("roster: %s is out of order or stands twice", name)
		}
	}
	return nil
}

// Roster returns the members of the site. Its epoch is 0 before the first RosterChange.
func (s *State) Roster() members.Roster { return s.roster }

func (s *State) applyRosterChange(change *RosterChange) Outcome {
	current := make([]string, len(s.roster.Members))
	for i, member := range s.roster.Members {
		current[i] = member.Name
	}
	if slices.Equal(current, change.Names) {
		return Outcome{}
	}
	s.roster = s.roster.Next(change.Names)
	s.logEvent(change.At, "roster", fmt.Sprintf("the roster of epoch %d has %d members: %v", s.roster.Epoch, len(change.Names), change.Names))
	return Outcome{}
}
