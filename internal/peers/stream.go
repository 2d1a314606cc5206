package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxStreamBytes = 1 << 20 // of one connection, in each direction
	streamTimeout  = 10 * time.Second
)

// stream is a connection with a byte limit in each direction and a deadline that the library can't extend.
type stream struct {
	*net.TCPConn
	t                       *transport
	inbound                 bool // opened by another process
	deadline                time.Time
	readBudget, writeBudget int // bytes left
	readMu                  sync.Mutex
	writeMu                 sync.Mutex
	closeOnce               sync.Once
}

// newStream returns a stream with a deadline of streamTimeout from now.
func newStream(conn *net.TCPConn, t *transport, inbound bool) *stream {
	s := &stream{TCPConn: conn, t: t, inbound: inbound, deadline: time.Now().Add(streamTimeout), readBudget: maxStreamBytes, writeBudget: maxStreamBytes}
	s.TCPConn.SetDeadline(s.deadline)
	return s
}

// clampDeadline returns the earlier one of a deadline that the library sets and that of the stream.
func (s *stream) clampDeadline(at time.Time) time.Time {
	if at.IsZero() || at.After(s.deadline) {
		return s.deadline
	}
	return at
}

// SetDeadline sets the deadline of reads and writes, at most that of the stream.
func (s *stream) SetDeadline(at time.Time) error { return s.TCPConn.SetDeadline(s.clampDeadline(at)) }

// SetReadDeadline sets the deadline of reads, at most that of the stream.
func (s *stream) SetReadDeadline(at time.Time) error {
	return s.TCPConn.SetReadDeadline(s.clampDeadline(at))
}

// SetWriteDeadline sets the deadline of writes, at most that of the stream.
func (s *stream) SetWriteDeadline(at time.Time) error {
	return s.TCPConn.SetWriteDeadline(s.clampDeadline(at))
}

// Read returns io.ErrUnexpectedEOF after maxStreamBytes.
func (s *stream) Read(b []byte) (int, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	if s.readBudget == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.TCPConn.Read(b[:min(len(b), s.readBudget)])
	s.readBudget -= n
	s.t.counts.bytesIn.Add(uint64(n))
	return n, err
}

// Write waits for the rate limiter until the deadline or Shutdown. If the data would exceed maxStreamBytes, it writes
// nothing and returns io.ErrShortWrite.
func (s *stream) Write(data []byte) (int, error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if len(data) > s.writeBudget {
		return 0, io.ErrShortWrite
	}
	ctx, cancel := context.WithDeadline(s.t.ctx, s.deadline)
	defer cancel()
	for left := len(data); left > 0; {
		chunk := min(left, s.t.limiter.Burst())
		if err := s.t.limiter.WaitN(ctx, chunk); err != nil {
			return 0, fmt.Errorf("rate limit of peers: %w", err)
		}
		left -= chunk
	}
	n, err := s.TCPConn.Write(data)
	s.writeBudget -= n
	s.t.counts.bytesOut.Add(uint64(n))
	return n, err
}

// Close closes the connection and unregisters it from the transport. Further calls have no effect.
func (s *stream) Close() (err error) {
	s.closeOnce.Do(func() {
		err = s.TCPConn.Close()
		s.t.mu.Lock()
		delete(s.t.openStreams, s)
		if s.inbound {
			s.t.inboundStreams--
		}
		s.t.mu.Unlock()
	})
	return err
}
