package main

import (
	"errors"

	"elderyard/internal/agentapi"
)

// Exit statuses. They are part of the tool's interface, like the texts that name them in the help.
const (
	exitOK          = 0
	exitFailed      = 1   // the operation failed after it had begun
	exitUsage       = 2   // a flag, an argument or a file is wrong; nothing was started
	exitRule        = 3   // a rule was broken
	exitVoid        = 4   // the machine ran late, so the lab has no verdict
	exitRefused     = 5   // the site rejected a change, or rolled it back
	exitConflict    = 6   // another change was accepted first
	exitPartly      = 7   // done, but some instances or agents are silent or not updated yet
	exitUnreachable = 8   // no agent or leader answers, or the outcome of a change is unknown
	exitDiffer      = 9   // gateways' views of each other differ, or some did not answer
	exitInterrupted = 130 // by SIGINT or SIGTERM; every process that the tool started has ended
)

// exitHelp documents the exit statuses in the help of verbs that call no agent.
const exitHelp = `
Exit status: 0 all went well, 1 the tool could not do it, 2 wrong usage or a
wrong file (nothing was started), 3 a rule was broken, 4 the machine ran late
and there is no verdict, 5 to 8 see the fleet's verbs, 9 see
'elderctl peers', 130 interrupted.`

// exitError is an error with the exit status that it leads to.
type exitError struct {
	status int
	err    error // nil: the verb has printed its result, and run prints nothing
}

// Error returns the text of the cause, or "" without one.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the cause, or nil without one.
func (e *exitError) Unwrap() error { return e.err }

// usageError marks an error of a flag, an argument or a file: nothing has been sent or started. It returns nil for nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitUsage, err}
}

// operationError marks an error of work that had begun. It returns nil for nil.
func operationError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitFailed, err}
}

// callError gives the error of a call to an agent its exit status. An error that bears a status already is returned as
// it is.
func callError(err error) error {
	var failure *agentapi.Failure
	var exit *exitError
	switch {
	case err == nil, errors.As(err, &exit):
		return err
	case !errors.As(err, &failure):
		return operationError(err)
	case failure.BadRequest():
		return usageError(err)
	case failure.Refused():
		return &exitError{exitRefused, err}
	}
	return &exitError{exitUnreachable, err}
}
