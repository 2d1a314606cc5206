package agentapi

import "errors"

// The codes of a Failure, as they are sent.
const (
	CodeBadRequest     = "bad request"
	CodeRefused        = "refused"
	CodeForbidden      = "forbidden"
	CodeNotFound       = "not found"
	CodeUnreachable    = "unreachable"
	CodeOutcomeUnknown = "in doubt"
)

// Failure is the answer of an agent that did not carry out a call, and the error of a
// Client, matched by errors.As. An agent that did not answer is one as well.
type Failure struct {
	Code string `json:"code"`
	Text string `json:"error"`
}

// Error returns the text of the failure.
func (f *Failure) Error() string { return f.Text }

// Refused reports whether nothing was changed and a retry would not help.
func (f *Failure) Refused() bool {
	return f.Code == CodeRefused || f.Code == CodeForbidden || f.Code == CodeNotFound
}

// BadRequest reports whether the call itself was invalid.
func (f *Failure) BadRequest() bool { return f.Code == CodeBadRequest }

// Forbidden reports whether the caller's role does not allow the call.
func (f *Failure) Forbidden() bool { return f.Code == CodeForbidden }

// OutcomeUnknown reports whether the change may yet be carried out.
func (f *Failure) OutcomeUnknown() bool { return f.Code == CodeOutcomeUnknown }

// IsAnswer reports whether an error is an agent's answer, so that no other agent need
// be asked.
func IsAnswer(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code != CodeUnreachable
}
