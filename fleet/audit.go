package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Event is one entry of the audit log.
type Event struct {
	At   time.Time `json:"at"`
	Who  string    `json:"who"`
	What string    `json:"what"`
}

// Events returns the audit log, the oldest first.
func (s *State) Events() []Event { return slices.Clone(s.events) }

func (e *Event) check() error {
	if len(e.What)+len(e.Who) > MaxTextBytes {
		return fmt.Errorf("event: longer than %d bytes", MaxTextBytes)
	}
	return nil
}

// logEvent appends to the audit log and drops the oldest event beyond MaxEvents.
func (s *State) logEvent(at time.Time, who, what string) {
	s.events = append(s.events, Event{at, who, Truncate(what, MaxTextBytes)})
	if over := len(s.events) - MaxEvents; over > 0 {
		s.events = slices.Delete(s.events, 0, over)
	}
}

// Truncate returns a text cut to at most maxBytes bytes. One that was cut is valid UTF-8 and ends with a mark; maxBytes must
// be at least 4, the mark's length.
func Truncate(text string, maxBytes int) string {
	const mark = " ..."
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes-len(mark)], "") + mark
}
