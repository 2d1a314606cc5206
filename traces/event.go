package traces

import "elderyard/rules"

// Request describes an accepted request. Every event of the request carries a pointer to it, and it holds the trace
// under construction, so there are never more open traces than open requests.
type Request struct {
	ParentContext     Context // from the client; an all-zero span ID means that it sent none
	SpanContext       Context // of the request's own span; the backend gets it with the span ID of the attempt
	RequestID         string  // the correlation ID that the client sent with this try
	Class             int
	Plan              int
	Units             float64
	Method            string
	HasIdempotencyKey bool    // whether the request carried an idempotency key
	IsRetry           bool    // whether the client marked it as a retry
	SentAt            float64 // when the client sent it, in seconds

	trace requestTrace // owned by the Recorder
}

// Event is one step in the life of a request. The fields below Request are set only for the kinds in their comments.
type Event struct {
	Kind    EventKind
	At      float64 // seconds
	Request *Request

	Attempt    int           // AttemptStarted and AttemptEnded: the attempt's number
	SpanID     SpanID        // AttemptStarted: the attempt's span
	Backend    string        // AttemptStarted
	Zone       string        // AttemptStarted
	AdmittedAt float64       // AttemptStarted and FinalResponse: when the quota admitted the request, in seconds
	Outcome    rules.Outcome // AttemptEnded
	Status     int           // FinalResponse: the HTTP status
	Reason     rules.Reason  // FinalResponse: why the request was refused
	RetryAfter float64       // FinalResponse: seconds
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of event.
const (
	RequestAccepted    EventKind = iota // a request was accepted
	AttemptStarted                      // an attempt was started
	AttemptEnded                        // an attempt ended
	FinalResponse                       // the request got its final response
	ClientDisconnected                  // the client disconnected before the final response
)

// EventKindCount is the number of kinds of event.
const EventKindCount = int(ClientDisconnected) + 1

// String returns the kind's name in exported metrics.
func (k EventKind) String() string {
	return [...]string{"request", "attempt", "attempt's end", "answer", "client gone"}[k]
}
