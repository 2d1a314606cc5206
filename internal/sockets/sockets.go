// Package sockets contains what all connections of a gateway have in common: whether a
// connection is still open, what its end means for the outcome of a request, and how long
// it may be idle.
package sockets

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"

	"elderyard/rules"
)

// Peek checks, without blocking, what can be read from a socket: n is 1 if data is available
// and 0 if the peer has closed the connection; err is syscall.EAGAIN if neither holds.
func Peek(fd uintptr) (n int, err error) {
	for {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// withDescriptor calls f with the descriptor of a connection. It uses Control instead of Read, which
// would fail if a deadline has passed since the last use, and would wait for other readers. known is
// false if the connection does not expose a descriptor.
func withDescriptor(conn net.Conn, f func(fd uintptr)) (known bool, err error) {
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

// Alive reports, without blocking, whether an idle connection is open and has no data to read. It must
// be checked before a write: data written to a connection that the peer has closed causes a reset,
// which does not prove that the data had no effect.
func Alive(conn net.Conn) bool {
	idle := false
	known, err := withDescriptor(conn, func(fd uintptr) {
		_, err := Peek(fd)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return !known || err == nil && idle
}

// WaitReadable waits, until the deadline for reads, for data to read. It returns io.EOF if the peer has closed the
// connection, and nil at once if the connection does not expose a descriptor.
func WaitReadable(conn net.Conn) error {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		n, peekErr = Peek(fd)
		return !errors.Is(peekErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return err
	case peekErr != nil:
		return peekErr
	case n == 0:
		return io.EOF
	}
	return nil
}

// Readable reports, without blocking, whether a connection has data to read.
func Readable(conn net.Conn) bool {
	n := 0
	_, err := withDescriptor(conn, func(fd uintptr) { n, _ = Peek(fd) })
	return err == nil && n > 0
}

// PeerClosed reports, without blocking, whether the peer has closed or reset a connection. Data that
// it sent before and that is still unread would hide the close from a read, so where the operating
// system supports it, the state of the connection is queried as well.
func PeerClosed(conn net.Conn) bool {
	closed := false
	known, err := withDescriptor(conn, func(fd uintptr) {
		n, err := Peek(fd)
		switch {
		case err != nil:
			closed = !errors.Is(err, syscall.EAGAIN)
		case n == 0:
			closed = true
		default:
			closed = closedBehindData(fd)
		}
	})
	return known && (err != nil || closed)
}

// Unread returns, without blocking, how many bytes have arrived on a connection and were not read yet.
// known is false where the operating system does not tell.
func Unread(conn net.Conn) (bytes int, known bool) {
	known, err := withDescriptor(conn, func(fd uintptr) {
		var err error
		if bytes, err = unread(fd); err != nil {
			bytes = -1
		}
	})
	return bytes, known && err == nil && bytes >= 0
}

// ReadErrorOutcome returns the outcome for a read error: a timeout or a broken connection.
func ReadErrorOutcome(err error) rules.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rules.TimedOut
	}
	return rules.ConnectionBroken
}

// IsEnd reports whether a read error means that the peer has closed or reset the connection.
func IsEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// Delimited reports whether a response body has a length or is chunked. Otherwise it ends with the
// connection, and the caller must not take a reset or its own size limit for that end.
func Delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
