package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Event is an event in the audit log.
type Event struct {
	At   time.Time `json:"at"`
	Who  string    `json:"who"`
	What string    `json:"what"`
}

// Events returns the audit log, oldest first.
func (s *State) Events() []Event { return slices.Clone(s.events) }

func (e *Event) check() error {
	if len(e.What)+len(e.Who) > MaxTextBytes {
		return fmt.Errorf("event: longer than %d bytes", MaxTextBytes)
	}
	return nil
}

// logEvent appends an event to the audit log, and drops the oldest one if there are more than MaxEvents.
func (s *State) logEvent(at time.Time, who, what string) {
	s.events = append(s.events, Event{at, who, Truncate(what, MaxTextBytes)})
	if over := len(s.events) - MaxEvents; over > 0 {
		s.events = slices.Delete(s.events, 0, over)
	}
}

// Truncate returns a text of at most maxBytes bytes, which must be at least 4. A text that was truncated is valid UTF-8
// and ends with an ellipsis of 4 bytes.
func Truncate(text string, maxBytes int) string {
	const ellipsis = " ..."
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes-len(ellipsis)], "") + ellipsis
}
