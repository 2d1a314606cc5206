package records

import "time"

// Event is something that has happened to a follower: Tick, Answered, Failed or
// HeadReceived.
type Event interface{ event() }

// Tick tells that the time that Wake returned has come.
type Tick struct{}

// ResponseReceived is a server's answer to an Ask.
type ResponseReceived struct {
	ID    uint64 // of the Ask
	Body  []byte // as it came over the wire
	Bytes int    // that it cost with all around it; 0: the length of the body
}

// RequestFailed tells that an Ask got no answer.
type RequestFailed struct {
	ID     uint64
	Reason string
	Bytes  int // that it cost nonetheless
}

// HeadReceived tells of a version that has been accepted, from whoever knows.
type HeadReceived struct{ Version uint64 }

func (Tick) event()             {}
func (ResponseReceived) event() {}
func (RequestFailed) event()    {}
func (HeadReceived) event()     {}

// Action is what the driver of a follower is to do: Ask, Cancel or Save.
type Action interface{ action() }

// Request is what a server is asked for: ChangesRequest, DigestsRequest or
// ContentRequest.
type Request interface{ request() }

// DigestsRequest asks a server for the digests of its ranges.
type DigestsRequest struct{}

func (ChangesRequest) request() {}
func (DigestsRequest) request() {}
func (ContentRequest) request() {}

// Send sends a request to a server; there is at most one at a time. It ends with
// Answered or Failed, or with a Cancel.
type Send struct {
	ID      uint64
	Server  string
	Request Request
	Timeout time.Duration // after which the follower cancels it
}

// Cancel ends an Ask; what still comes of it is ignored.
type Cancel struct{ ID uint64 }

// Persist tells that the replica has come to a version, which is now in force and is
// to be kept on disk. Delta is what led there from the last one, for the journal;
// nil after a repair: the replica has to be written whole.
type Persist struct {
	Version uint64
	Delta   *Delta
}

func (Send) action()    {}
func (Cancel) action()  {}
func (Persist) action() {}
