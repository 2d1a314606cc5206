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

// Heard says that a member answered this process directly.
type Heard struct {
	Name string
	Life Life
}

// Alive says that a life of a name is alive, from whatever source, and what it reports of itself.
type Alive struct {
	Name    string
	Life    Life
	Address string // where others reach it
	Desk    string // address of its operator interface; "": none
	Epoch   uint64 // of its roster
	Sum     uint64 // of its roster
}

// Suspected says that a probe of a member by By was not answered.
type Suspected struct {
	Name string
	Life Life
	By   string
}

// Contradicted says that a member denied By's report that it is gone.
type Contradicted struct {
	Name string
	Life Life
	By   string
}

// Failed says that the failure detector counts a member as gone.
type Failed struct {
	Name string
	Life Life
}

// Left says that a member announced its own end.
type Left struct {
	Name string
	Life Life
}

// Lived says that a life of a name existed; it may be over.
type Lived struct {
	Name string `json:"Name"`
	Life Life   `json:"Life"`
}

// RosterTold is a roster that was received.
type RosterTold struct {
	Roster Roster
	By     string // the sender: a member, or another source
}

func (Tick) event()         {}
func (Heard) event()        {}
func (Alive) event()        {}
func (Suspected) event()    {}
func (Contradicted) event() {}
func (Failed) event()       {}
func (Left) event()         {}
func (Lived) event()        {}
func (RosterTold) event()   {}
