package members

import "time"

// Time is a time on this process's clock: the duration since the process started. The clock continues while the process
// is suspended.
type Time = time.Duration

// Event is an input of Machine.Handle: an observation of a peer, or the passing of time.
type Event interface{ event() }

// Tick reports that time has passed. It must be handled every Settings.TickInterval: if a Tick is late by
// Settings.StallThreshold, the Machine concludes that this process was suspended.
type Tick struct{}

// Answered reports that a member answered a probe of this process.
type Answered struct {
	Name        string
	Incarnation Incarnation
}

// Alive reports that an incarnation of a name is alive, learned from any source, with the data that it announces.
type Alive struct {
	Name         string
	Incarnation  Incarnation
	Address      string // at which peers reach it
	AdminAddress string // address of its operator interface; "" if none
	Epoch        uint64 // of its roster
	Sum          uint64 // of its roster
}

// Suspected reports that a probe of a member by the member By was not answered.
type Suspected struct {
	Name        string
	Incarnation Incarnation
	By          string
}

// Refuted reports that a member denied By's suspicion.
type Refuted struct {
	Name        string
	Incarnation Incarnation
	By          string
}

// Failed reports that the failure detector declared a member failed. This does not prove that its process has ended.
type Failed struct {
	Name        string
	Incarnation Incarnation
}

// Left reports that a member announced its graceful shutdown.
type Left struct {
	Name        string
	Incarnation Incarnation
}

// IncarnationLearned reports that an incarnation of a name existed; it may have ended. Peers exchange it as JSON.
type IncarnationLearned struct {
	Name        string      `json:"Name"`
	Incarnation Incarnation `json:"Life"`
}

// RosterReceived reports a roster that a peer sent or that was read from a file.
type RosterReceived struct {
	Roster Roster
	By     string // the sender: a member, or the name of the file
}

func (Tick) event() {}

func (Answered) event() {}

func (Alive) event() {}

func (Suspected) event() {}

func (Refuted) event() {}

func (Failed) event() {}

func (Left) event() {}

func (IncarnationLearned) event() {}

func (RosterReceived) event() {}
