package agentapi

import "errors"

// The codes of a Failure, with their values on the wire.
const (
	CodeBadRequest     = "bad request"
	CodeRefused        = "refused"
	CodeForbidden      = "forbidden"
	CodeNotFound       = "not found"
	CodeUnreachable    = "unreachable"
	CodeOutcomeUnknown = "in doubt"
)

// Failure is the response of an agent that did not execute a call, and the error of a
// Client, matched by errors.As. A Client also returns one if the agent did not respond.
type Failure struct {
	Code string `json:"code"`
	Text string `json:"error"`
}

// Error returns the text of the failure.
func (f *Failure) Error() string { return f.Text }

// Refused reports whether the call changed nothing and a retry would fail too.
func (f *Failure) Refused() bool {
	return f.Code == CodeRefused || f.Code == CodeForbidden || f.Code == CodeNotFound
}

// BadRequest reports whether the call itself was invalid.
func (f *Failure) BadRequest() bool { return f.Code == CodeBadRequest }

// Forbidden reports whether the caller's role does not allow the call.
func (f *Failure) Forbidden() bool { return f.Code == CodeForbidden }

// OutcomeUnknown reports whether the change may have been executed, or may still be.
func (f *Failure) OutcomeUnknown() bool { return f.Code == CodeOutcomeUnknown }

// IsAnswer reports whether an error is an agent's response, so that it is not necessary to
// call another agent.
func IsAnswer(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code != CodeUnreachable
}
