package members

import "time"

// Time is a moment on this process's own clock: how long it has been since the
// process began. It goes on while the process is stopped.
type Time = time.Duration

// Event is one thing that a process learned of its fellows.
type Event interface{ event() }

// Tick says that time passes. It comes at least every Settings.Tick; one that
// comes much later tells that this process slept.
type Tick struct{}

// Heard says that a member answered this process itself.
type Heard struct {
	Name string
	Life Life
}

// Alive says that a life of a name is there, by whatever way it was learned, and
// what it tells of itself.
type Alive struct {
	Name    string
	Life    Life
	Address string // where others reach it
	Desk    string // where its operators call; "": nowhere
	Epoch   uint64 // of its roster
	Sum     uint64 // of its roster
}

// Suspected says that a probe of a member by By was not answered.
type Suspected struct {
	Name string
	Life Life
	By   string
}

// Contradicted says that a member has denied being gone. By had said so.
type Contradicted struct {
	Name string
	Life Life
	By   string
}

// Failed says that a member's silence has lasted: the detector counts it as gone.
type Failed struct {
	Name string
	Life Life
}

// Left says that a member has said itself that it ends.
type Left struct {
	Name string
	Life Life
}

// Lived says that a life of a name has been, alive or not.
type Lived struct {
	Name string
	Life Life
}

// RosterTold is a roster that somebody has.
type RosterTold struct {
	Roster Roster
	By     string // a member, or where else it comes from
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
