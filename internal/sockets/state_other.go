//go:build !linux

package sockets

import "errors"

// closedBehindData returns false: there is no portable way to query the state.
func closedBehindData(uintptr) bool { return false }

// unread returns an error: there is no portable way to query the receive queue.
func unread(uintptr) (int, error) { return 0, errors.ErrUnsupported }
