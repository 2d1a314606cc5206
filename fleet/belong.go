package fleet

import (
	"fmt"
	"slices"
	"time"

	"elderyard/members"
)

// RosterChange says which instances belong to the site from now on. It is an entry of its
// own, and not what follows from agents that come and go: voters that began from
// snapshots of different ages must come to the same epochs.
type RosterChange struct {
	Names []string  `json:"names"` // in order
	At    time.Time `json:"at"`
}

// Check finds what no roster can have.
func (b *RosterChange) Check() error {
	if len(b.Names) == 0 || len(b.Names) > members.MaxRosterSize {
		return fmt.Errorf("roster: %d names, and 1 to %d may be", len(b.Names), members.MaxRosterSize)
	}
	for i, name := range b.Names {
		if err := members.CheckName(name); err != nil {
			return fmt.Errorf("roster: %w", err)
		}
		if i > 0 && b.Names[i-1] >= name {
			return fmt.Errorf("roster: %s is out of order or stands twice", name)
		}
	}
	return nil
}

// Roster is who belongs, as the voters have agreed; its epoch is 0 where they have
// agreed on none.
func (s *State) Roster() members.Roster { return s.roster }

func (s *State) applyRosterChange(b *RosterChange) Outcome {
	now := make([]string, len(s.roster.Members))
	for i, m := range s.roster.Members {
		now[i] = m.Name
	}
	if slices.Equal(now, b.Names) {
		return Outcome{}
	}
	s.roster = s.roster.Next(b.Names)
	s.logEvent(b.At, "roster", fmt.Sprintf("the roster of epoch %d has %d members: %v", s.roster.Epoch, len(b.Names), b.Names))
	return Outcome{}
}
