package members

import (
	"fmt"
	"slices"
)

// State is the last known state of an incarnation.
type State int

// The states.
const (
	StateUnknown State = iota // never reported alive
	StateAlive
	StateSuspect // a probe was not answered; it still counts as alive
	StateFailed  // the failure detector declared it failed; its process may still be running
	StateLeft    // it announced its graceful shutdown
)

var stateNames = [...]string{"unheard", "living", "suspect", "gone", "ended"}

// String returns the state's name in JSON and in elderctl's output.
func (s State) String() string { return stateNames[s] }

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("%.20q is no state", text)
	}
	*s = State(i)
	return nil
}

// Alive reports whether an incarnation in this state counts as alive.
func (s State) Alive() bool { return s == StateAlive || s == StateSuspect }
