package traces

import "elderyard/rules"

// Request describes a request that was accepted. Every event of the request carries a pointer to it, and it holds
// the trace under construction, so there are never more open traces than open requests.
type Request struct {
	ParentContext     Context // sent by the client; an all-zero span means that it sent none
	SpanContext       Context // of the request's own span; forwarded to the backend
	RequestID         string  // the client's own ID of this try
	Class             int
	Plan              int
	Units             float64
	Method            string
	HasIdempotencyKey bool    // whether the request carried an idempotency key
	IsRetry           bool    // whether the client marked it as a retry
	SentAt            float64 // when the client sent it, in seconds

	trace requestTrace // owned by the Recorder
}

// Event is one thing that happened to a request. The fields after Begin are set only for the kinds named beside
// them.
type Event struct {
	Kind    EventKind
	At      float64 // seconds
	Request *Request

	Attempt    int    // Sent and Ended: the attempt's number
	SpanID     SpanID // Sent: the attempt's span
	Backend    string // Sent
	Zone       string // Sent
	AdmittedAt float64
	Outcome    rules.Outcome // Ended
	Status     int           // Answered: the HTTP status
	Reason     rules.Reason  // Answered: why the request was refused
	RetryAfter float64       // Answered: seconds
}

// EventKind says what happened.
type EventKind uint8

// The kinds of event.
const (
	RequestAccepted    EventKind = iota // a request was accepted
	AttemptStarted                      // an attempt was started
	AttemptEnded                        // an attempt ended
	FinalResponse                       // the request got its final answer
	ClientDisconnected                  // the client disconnected before the final answer
)

// EventKindCount is the number of kinds of event.
const EventKindCount = int(ClientDisconnected) + 1

// String returns the kind's name in exported metrics.
func (k EventKind) String() string {
	return [...]string{"request", "attempt", "attempt's end", "answer", "client gone"}[k]
}
