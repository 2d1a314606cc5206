package traces

import "elderyard/rules"

// Begin describes a request that was accepted. Every event of the request carries a pointer to it, and it holds
// the trace under construction, so there are never more open traces than open requests.
type Begin struct {
	Context  Context // sent by the client; an all-zero span means that it sent none
	Self     Context // of the request's own span; forwarded to the backend
	Client   string  // the client's own ID of this try
	Class    int
	Plan     int
	Units    float64
	Method   string
	Key      bool    // whether the request carried an idempotency key
	Repeated bool    // whether the client marked it as a retry
	Sent     float64 // when the client sent it, in seconds

	trace requestTrace // owned by the Recorder
}

// Event is one thing that happened to a request. The fields after Begin are set only for the kinds named beside
// them.
type Event struct {
	Kind  EventKind
	At    float64 // seconds
	Begin *Begin

	Attempt    int    // Sent and Ended: the attempt's number
	Span       SpanID // Sent: the attempt's span
	Backend    string // Sent
	Zone       string // Sent
	Paid       float64
	Outcome    rules.Outcome // Ended
	Status     int           // Answered: the HTTP status
	Reason     rules.Reason  // Answered: why the request was refused
	RetryAfter float64       // Answered: seconds
}

// EventKind says what happened.
type EventKind uint8

// The kinds of event.
const (
	Began      EventKind = iota // a request was accepted
	Sent                        // an attempt was started
	Ended                       // an attempt ended
	Answered                    // the request got its final answer
	ClientLeft                  // the client disconnected before the final answer
)

// EventKindCount is the number of kinds of event.
const EventKindCount = int(ClientLeft) + 1

// String returns the kind's name in exported metrics.
func (k EventKind) String() string {
	return [...]string{"request", "attempt", "attempt's end", "answer", "client gone"}[k]
}
