package main

import (
	"errors"

	"elderyard/internal/agent"
)

// Exit statuses. They are part of the tool's interface.
const (
	exitOK          = 0
	exitFailed      = 1   // the tool could not do what was asked
	exitUsage       = 2   // a flag, an argument or a file is wrong; nothing was started
	exitRule        = 3   // a rule was broken
	exitVoid        = 4   // the machine ran late: there is no verdict
	exitRefused     = 5   // the site refused a change, or the change went back
	exitConflict    = 6   // another change came first
	exitPartly      = 7   // done, and some are silent or have yet to take it
	exitUnreachable = 8   // no agent or leader answers, or it is not known whether a change was taken
	exitDiffer      = 9   // gateways' pictures of each other differ
	exitInterrupted = 130 // by SIGINT or SIGTERM; all that was started has ended
)

const exitHelp = `
Exit status: 0 all went well, 1 the tool could not do it, 2 wrong usage or a
wrong file (nothing was started), 3 a rule was broken, 4 the machine ran late
and there is no verdict, 5 to 8 see the fleet's verbs, 9 see
'elderctl peers', 130 interrupted.`

// exitError is an error with the status that the tool ends with.
type exitError struct {
	status int
	err    error // nil: all has been said
}

func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitUsage, err}
}

// operationError marks an error of work that had been begun.
func operationError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitFailed, err}
}

// callError gives an error of a call its exit status.
func callError(err error) error {
	var f *agent.Failure
	var exit *exitError
	switch {
	case err == nil, errors.As(err, &exit):
		return err
	case !errors.As(err, &f):
		return operationError(err)
	case f.BadRequest():
		return usageError(err)
	case f.Refused():
		return &exitError{exitRefused, err}
	}
	return &exitError{exitUnreachable, err}
}
