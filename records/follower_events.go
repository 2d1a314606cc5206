package records

import "time"

// Event is an input of a follower: Tick, ResponseReceived, RequestFailed or HeadReceived.
type Event interface{ event() }

// Tick reports that the time which NextTick returned has come.
type Tick struct{}

// ResponseReceived reports that a server responded to a Send.
type ResponseReceived struct {
	ID    uint64 // of the Send
	Body  []byte // as received
	Bytes int    // traffic including protocol overhead; 0 means the length of the body
}

// RequestFailed reports that a Send failed without a response.
type RequestFailed struct {
	ID     uint64
	Reason string
	Bytes  int // traffic of the failed request
}

// HeadReceived reports that a version exists, learned from any source. The follower expects servers to have it soon.
type HeadReceived struct{ Version uint64 }

func (Tick) event()             {}
func (ResponseReceived) event() {}
func (RequestFailed) event()    {}
func (HeadReceived) event()     {}

// Action is an output of a follower, which its driver performs: Send, Cancel or Persist.
type Action interface{ action() }

// Request is a request to a server: ChangesRequest, DigestsRequest or ContentRequest.
type Request interface{ request() }

// DigestsRequest requests the digests of a server's ranges.
type DigestsRequest struct{}

func (ChangesRequest) request() {}
func (DigestsRequest) request() {}
func (ContentRequest) request() {}

// Send is the action to send a request to a server. At most one is in flight: it ends with the event
// ResponseReceived or RequestFailed with its ID, or with the action Cancel.
type Send struct {
	ID      uint64
	Server  string
	Request Request
	Timeout time.Duration // after which the follower cancels the request; the driver needs no timer of its own
}

// Cancel is the action to abandon a Send. Later events with its ID are ignored.
type Cancel struct{ ID uint64 }

// Persist is the action to store the replica, which has reached a new version. Delta is the change since the last
// Persist, for the journal. After a repair Delta is nil, and the driver must write a snapshot.
type Persist struct {
	Version uint64
	Delta   *Delta
}

func (Send) action()    {}
func (Cancel) action()  {}
func (Persist) action() {}
