package members

import "time"

// Time is a time on this process's own clock: the duration since the process started. It runs on while the process is
// stopped.
type Time = time.Duration

// Event is something that a process learned of its peers.
type Event interface{ event() }

// Tick says that time has passed. It must be handled every Settings.Tick; a much later one shows that this process was
// suspended.
type Tick struct{}

// Answered says that a member answered this process directly.
type Answered struct {
	Name        string
	Incarnation Incarnation
}

// Alive says that a life of a name is alive, from whatever source, and what it reports of itself.
type Alive struct {
	Name         string
	Incarnation  Incarnation
	Address      string // where others reach it
	AdminAddress string // address of its operator interface; "": none
	Epoch        uint64 // of its roster
	Sum          uint64 // of its roster
}

// Suspected says that a probe of a member by By was not answered.
type Suspected struct {
	Name        string
	Incarnation Incarnation
	By          string
}

// Refuted says that a member denied By's report that it is gone.
type Refuted struct {
	Name        string
	Incarnation Incarnation
	By          string
}

// Failed says that the failure detector counts a member as gone.
type Failed struct {
	Name        string
	Incarnation Incarnation
}

// Left says that a member announced its own end.
type Left struct {
	Name        string
	Incarnation Incarnation
}

// IncarnationLearned says that a life of a name existed; it may be over.
type IncarnationLearned struct {
	Name        string      `json:"Name"`
	Incarnation Incarnation `json:"Life"`
}

// RosterReceived is a roster that was received.
type RosterReceived struct {
	Roster Roster
	By     string // the sender: a member, or another source
}

func (Tick) event()               {}
func (Answered) event()           {}
func (Alive) event()              {}
func (Suspected) event()          {}
func (Refuted) event()            {}
func (Failed) event()             {}
func (Left) event()               {}
func (IncarnationLearned) event() {}
func (RosterReceived) event()     {}
