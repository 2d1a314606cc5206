// Package sockets holds what all of a gateway's connections have in common:
// whether one still stands, what its end proves, and how long it may rest.
package sockets

import (
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"

	"linnetbend/rules"
)

// Alive looks, without waiting, whether an idle connection still stands and has
// nothing to say. Danger: what is written to one that the other side has closed
// ends as a reset, which is no proof that it had no effect.
func Alive(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control and not Read, which would fail for a time-out that passed since the
	// last use, and would wait for a reader.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// Ended tells a time-out from a connection that ended.
func Ended(err error) rules.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rules.TimedOut
	}
	return rules.Broken
}

// Delimited tells whether the end of a body is told by a length or by chunks.
// Danger: one that ends with its connection looks whole when it was cut.
func Delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
