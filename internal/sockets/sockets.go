// Package sockets holds what all of a gateway's connections have in common:
// whether one still stands, what its end proves, and how long it may rest.
package sockets

import (
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"

	"elderyard/rules"
)

// Peek looks, without waiting, at what a socket has to say: n is 1 where bytes have
// come, 0 where the other side has ended, and err syscall.EAGAIN where neither.
func Peek(fd uintptr) (n int, err error) {
	for {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// look has f see the descriptor of a connection. Control and not Read, which would
// fail for a time-out that passed since the last use, and would wait for a reader. Known is
// false where the connection has no descriptor to show.
func look(conn net.Conn, f func(fd uintptr)) (known bool, err error) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, raw.Control(f)
}

// Alive looks, without waiting, whether an idle connection still stands and has
// nothing to say. Danger: what is written to one that the other side has closed
// ends as a reset, which is no proof that it had no effect.
func Alive(conn net.Conn) bool {
	quiet := false
	known, err := look(conn, func(fd uintptr) {
		_, err := Peek(fd)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return !known || err == nil && quiet
}

// PeerClosed reports, without waiting, whether the other side has closed or reset a
// connection. Danger: bytes that it sent before and that nobody has read yet hide the
// end from a read; where the system can, its state of the connection is asked as well.
func PeerClosed(conn net.Conn) bool {
	gone := false
	known, err := look(conn, func(fd uintptr) {
		n, err := Peek(fd)
		switch {
		case err != nil:
			gone = !errors.Is(err, syscall.EAGAIN)
		case n == 0:
			gone = true
		default:
			gone = closedBehindData(fd)
		}
	})
	return known && (err != nil || gone)
}

// ReadErrorOutcome tells a time-out from a connection that ended.
func ReadErrorOutcome(err error) rules.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rules.TimedOut
	}
	return rules.ConnectionBroken
}

// Delimited tells whether the end of a body is told by a length or by chunks.
// Where neither tells it, the connection's end does. Danger: a reset or a bound of the
// reader's own must not pass for that.
func Delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
