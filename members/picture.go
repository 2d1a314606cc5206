package members

import (
	"fmt"
	"slices"
	"time"
)

// State is what is known of one life.
type State int

// The states.
const (
	Unheard State = iota // never heard of
	Living
	Suspect // a probe was not answered; it still counts as living
	Gone    // the detector has given it up. That proves nothing
	Ended   // it said itself that it ends, or a later life of its name is there
)

var stateNames = [...]string{"unheard", "living", "suspect", "gone", "ended"}

func (s State) String() string { return stateNames[s] }

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// MarshalText writes the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("%.20q is no state", text)
	}
	*s = State(i)
	return nil
}

// UnmarshalText reads a verdict's name.
func (v *Verdict) UnmarshalText(text []byte) error {
	i := slices.Index(verdictNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("%.20q is no verdict", text)
	}
	*v = Verdict(i)
	return nil
}

// View is what a picture says of one name.
type View struct {
	Name    string `json:"name"`
	Self    bool   `json:"self,omitempty"`
	Belongs bool   `json:"belongs"` // to the roster
	Life    Life   `json:"life,omitempty"`
	State   State  `json:"state"`
	Since   Time   `json:"since_ns"`       // of the state
	Heard   Time   `json:"heard_ns"`       // its last answer to this process; 0: none
	Epoch   uint64 `json:"epoch"`          // that it last said it has
	Older   int    `json:"older"`          // earlier lives that are still heard
	Address string `json:"address"`        // as it says itself
	Desk    string `json:"desk,omitempty"` // its operators' address
}

// Picture is what one process believes. It is a copy: what happens later does
// not change it.
type Picture struct {
	Number     uint64  `json:"number"` // grows with each change
	At         Time    `json:"at_ns"`  // when it was asked for
	Self       string  `json:"self"`
	Life       Life    `json:"life"`
	Verdict    Verdict `json:"verdict"`
	Since      Time    `json:"since_ns"` // of the verdict
	Why        string  `json:"why"`
	Epoch      uint64  `json:"epoch"`
	Sum        uint64  `json:"sum"`
	Belong     int     `json:"belong"`               // names in the roster
	Safe       int     `json:"safe"`                 // never under the number that may be serving
	Likely     int     `json:"likely"`               // how many seem to be
	Share      int     `json:"share"`                // what this one divides quotas by
	Dropped    uint64  `json:"dropped"`              // names that there was no room for
	Superseded Life    `json:"superseded,omitempty"` // the later life of this process's name; 0: none
	Joining    string  `json:"joining,omitempty"`    // a member that has yet to know of this one; "": all do
	Heard      Time    `json:"heard_ns"`             // the last answer of anybody; 0: none
	Members    []View  `json:"members"`              // by name
}

// Line is what the picture says at a moment, and how old it is, for a person.
func (p *Picture) Line(now Time) string {
	const round = 100 * time.Millisecond
	heard := "nobody has answered yet"
	if p.Heard != 0 {
		heard = fmt.Sprintf("the last answer %v ago", (now - p.Heard).Round(round))
	}
	return fmt.Sprintf("%v for %v (%s), epoch %d, %s", p.Verdict, (now - p.Since).Round(round), p.Why, p.Epoch, heard)
}

// There tells whether a life counts as living.
func (s State) There() bool { return s == Living || s == Suspect }

// Evidence is one thing that was learned of a member, for people who ask why.
type Evidence struct {
	At   Time   `json:"at_ns"`
	Name string `json:"name"`
	Life Life   `json:"life,omitempty"`
	What string `json:"what"`
	By   string `json:"by,omitempty"`
}
