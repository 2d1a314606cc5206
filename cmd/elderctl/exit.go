package main

import (
	"errors"

	"elderyard/internal/agentapi"
)

// Exit statuses. They and their descriptions in the help are part of the tool's interface.
const (
	exitOK          = 0
	exitFailed      = 1   // the operation failed after it had started
	exitUsage       = 2   // a flag, an argument or a file is invalid; nothing was started
	exitRuleBroken  = 3   // the lab found a broken rule
	exitNoVerdict   = 4   // the machine could not keep up, so the lab has no verdict
	exitRefused     = 5   // the site rejected a change, or rolled it back
	exitConflict    = 6   // another change was accepted first
	exitPartial     = 7   // done, but some instances or agents are silent or not updated yet
	exitUnreachable = 8   // no agent or leader responds, or the outcome of a change is unknown
	exitViewsDiffer = 9   // gateways' views of each other differ, or some gateways did not respond
	exitInterrupted = 130 // by SIGINT or SIGTERM; every process that the tool started has ended
)

// exitHelp is the part of the help of commands that call no agent: the exit statuses.
const exitHelp = `
Exit status: 0 all went well, 1 the tool could not do it, 2 wrong usage or a
wrong file (nothing was started), 3 a rule was broken, 4 the machine ran late
and there is no verdict, 5 to 8 see the fleet's verbs, 9 see
'elderctl peers', 130 interrupted.`

// exitError is an error with its exit status.
type exitError struct {
	status int
	err    error // nil: the command has printed its result, and run prints nothing
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

// usageError marks an error in a flag, an argument or a file, before anything was sent or started. It returns nil for
// nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitUsage, err}
}

// operationError marks an error of an operation that had started. It returns nil for nil.
func operationError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitFailed, err}
}

// callError sets the exit status of the error of a call to an agent. An error that has a status already is returned
// unchanged.
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
