package members

import (
	"fmt"
	"slices"
	"time"
)

// State is the known state of a life.
type State int

// The states.
const (
	StateUnknown State = iota // nothing has been heard of it
	StateAlive
	StateSuspect // a probe was not answered; it still counts as alive
	StateFailed  // the failure detector gave it up, which proves nothing
	StateLeft    // it announced its end, or was superseded by a later life
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

// MemberView is what a picture says about one name.
type MemberView struct {
	Name                string      `json:"name"`
	Self                bool        `json:"self,omitempty"`
	IsMember            bool        `json:"belongs"` // to the roster
	Incarnation         Incarnation `json:"life,omitempty"`
	State               State       `json:"state"`
	Since               Time        `json:"since_ns"`       // of the state
	LastAnswer          Time        `json:"heard_ns"`       // last answer to this process; 0: none
	Epoch               uint64      `json:"epoch"`          // that it last reported
	EarlierIncarnations int         `json:"older"`          // earlier lives that are still heard of
	Address             string      `json:"address"`        // that it reports
	AdminAddress        string      `json:"desk,omitempty"` // address of its operator interface
}

// View is one process's view of the site at one time. It is a copy that does not change.
type View struct {
	Version       uint64       `json:"number"` // increases with each change
	At            Time         `json:"at_ns"`  // when it was made
	Self          string       `json:"self"`
	Incarnation   Incarnation  `json:"life"`
	Verdict       Verdict      `json:"verdict"`
	Since         Time         `json:"since_ns"` // of the verdict
	Reason        string       `json:"why"`
	Epoch         uint64       `json:"epoch"`
	Sum           uint64       `json:"sum"`
	RosterSize    int          `json:"belong"`               // members of the roster
	SafeCount     int          `json:"safe"`                 // never below the number of processes that may be serving
	LikelyCount   int          `json:"likely"`               // how many seem to be alive
	QuotaDivisor  int          `json:"share"`                // divisor of quotas
	Dropped       uint64       `json:"dropped"`              // names that did not fit
	SupersededBy  Incarnation  `json:"superseded,omitempty"` // later life of this process's name; 0: none
	UnawareMember string       `json:"joining,omitempty"`    // a member that may not know of this one; "": none
	LastAnswer    Time         `json:"heard_ns"`             // last answer of any peer; 0: none
	Members       []MemberView `json:"members"`              // by name
}

// Line returns the picture in one line for display, with its age at now.
func (p *View) Line(now Time) string {
	const round = 100 * time.Millisecond
	lastAnswer := "nobody has answered yet"
	if p.LastAnswer != 0 {
		lastAnswer = fmt.Sprintf("the last answer %v ago", (now - p.LastAnswer).Round(round))
	}
	return fmt.Sprintf("%v for %v (%s), epoch %d, %s", p.Verdict, (now - p.Since).Round(round), p.Reason, p.Epoch, lastAnswer)
}

// Alive reports whether a life counts as alive.
func (s State) Alive() bool { return s == StateAlive || s == StateSuspect }

// Evidence is something that was learned about a member, to explain verdicts to operators.
type Evidence struct {
	At          Time        `json:"at_ns"`
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"life,omitempty"`
	What        string      `json:"what"`
	By          string      `json:"by,omitempty"`
}
