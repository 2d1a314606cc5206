package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// stream is a connection in bounds of bytes and time.
type stream struct {
	*net.TCPConn
	t                       *transport
	inbound                 bool // others have made it
	deadline                time.Time
	readBudget, writeBudget int // bytes that may still come and go
	inMu                    sync.Mutex
	outMu                   sync.Mutex
	closeOnce               sync.Once
}

func newStream(conn *net.TCPConn, t *transport, inbound bool) *stream {
	s := &stream{TCPConn: conn, t: t, inbound: inbound, deadline: time.Now().Add(streamTimeout), readBudget: maxStreamBytes, writeBudget: maxStreamBytes}
	s.TCPConn.SetDeadline(s.deadline)
	return s
}

// The library's own deadlines hold, but none beyond the connection's time.
func (s *stream) clampDeadline(at time.Time) time.Time {
	if at.IsZero() || at.After(s.deadline) {
		return s.deadline
	}
	return at
}

// SetDeadline bounds both ways.
func (s *stream) SetDeadline(at time.Time) error { return s.TCPConn.SetDeadline(s.clampDeadline(at)) }

// SetReadDeadline bounds what comes.
func (s *stream) SetReadDeadline(at time.Time) error {
	return s.TCPConn.SetReadDeadline(s.clampDeadline(at))
}

// SetWriteDeadline bounds what goes.
func (s *stream) SetWriteDeadline(at time.Time) error {
	return s.TCPConn.SetWriteDeadline(s.clampDeadline(at))
}

// Read reads within the connection's bytes.
func (s *stream) Read(b []byte) (int, error) {
	s.inMu.Lock()
	defer s.inMu.Unlock()
	if s.readBudget == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.TCPConn.Read(b[:min(len(b), s.readBudget)])
	s.readBudget -= n
	s.t.counts.bytesIn.Add(uint64(n))
	return n, err
}

// Write writes within the connection's bytes, and waits for its share of the bytes
// a second.
func (s *stream) Write(b []byte) (int, error) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	if len(b) > s.writeBudget {
		return 0, io.ErrShortWrite
	}
	ctx, cancel := context.WithDeadline(s.t.ctx, s.deadline)
	defer cancel()
	for left := len(b); left > 0; {
		piece := min(left, s.t.limiter.Burst())
		if err := s.t.limiter.WaitN(ctx, piece); err != nil {
			return 0, fmt.Errorf("over the bytes a second that peers may send: %w", err)
		}
		left -= piece
	}
	n, err := s.TCPConn.Write(b)
	s.writeBudget -= n
	s.t.counts.bytesOut.Add(uint64(n))
	return n, err
}

// Close closes it once.
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
