//go:build !linux

package sockets

// closedBehindData returns false: there is no portable way to query the state.
func closedBehindData(uintptr) bool { return false }
