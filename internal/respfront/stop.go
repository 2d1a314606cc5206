package respfront

import (
	"crypto/tls"
	"errors"
	"log"
	"net"
	"sync"
	"time"

	"elderyard/internal/sockets"
)

const (
	partialCommandTimeout = 500 * time.Millisecond // while the server stops, for the rest of a command
	lingerTimeout         = 500 * time.Millisecond // for the client to close its side of the connection
	lingerPollInterval    = 10 * time.Millisecond
)

// StopTimeouts are how long a server may take to end once it stops.
type StopTimeouts struct {
	Wait  time.Duration // takes may wait for units for so long
	Reply time.Duration // then the last commands are decided and their replies written
}

// errStopped is the reply to a command that was not decided before its event loop stopped.
var errStopped = errors.New("the server has stopped; this command had no effect")

// hasBegun reports whether a phase of the server's end has begun.
func hasBegun(phase <-chan struct{}) bool {
	select {
	case <-phase:
		return true
	default:
		return false
	}
}

// endSessions ends all sessions and returns when they have ended. Its phases:
//
//   - stopping: connections without a command end at once. The others reply to the commands
//     that they have received and then end. Takes wait for units as before.
//   - finishing, after the timeout for waits: takes that still wait are decided as at the end of their
//     time, and no further command is read.
//   - aborted, after the timeout for replies: the remaining connections are closed.
func (s *Server) endSessions(running *sync.WaitGroup) {
	close(s.stopping)
	s.forEachSession((*session).wake)
	ended := make(chan struct{})
	go func() { running.Wait(); close(ended) }()
	if endedWithin(ended, s.stopTimeouts.Wait) {
		return
	}
	close(s.finishing)
	s.limiter.loop.Post(endWaits{s.limiter})
	s.forEachSession((*session).wake)
	if endedWithin(ended, s.stopTimeouts.Reply) {
		return
	}
	close(s.aborted)
	s.abortSessions()
	<-ended
}

// abortSessions closes all connections, and logs how many had no reply yet.
func (s *Server) abortSessions() {
	counts := map[sessionState]int{}
	s.forEachSession(func(session *session) { counts[session.abort()]++ })
	if n := counts[deciding]; n > 0 {
		log.Printf("resp: closed %d connections with undecided commands: the machine is late", n)
	}
	if n := counts[replying]; n > 0 {
		log.Printf("resp: closed %d connections with unwritten replies: their clients do not read", n)
	}
}

// endedWithin reports whether ended is closed within a time.
func endedWithin(ended <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// forEachSession calls f for each session that has not ended.
func (s *Server) forEachSession(f func(*session)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		f(session)
	}
}

// beginWait sets the deadline for the first byte of a command. It returns false if the
// server is stopping.
func (s *session) beginWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = waiting
	if hasBegun(s.server.stopping) {
		s.conn.SetReadDeadline(time.Now())
		return false
	}
	s.conn.SetReadDeadline(time.Now().Add(s.server.idleTimeout))
	return true
}

// beginCommand sets the deadline for the rest of a command.
func (s *session) beginCommand() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = receiving
	timeout := s.server.idleTimeout
	if hasBegun(s.server.stopping) {
		timeout = min(timeout, partialCommandTimeout)
	}
	s.conn.SetReadDeadline(time.Now().Add(timeout))
}

// wake ends the session's wait for a command, or limits the time for the rest of one or of the handshake, because a
// phase of the server's end has begun. Replies can still be written.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == receiving && !hasBegun(s.server.finishing) {
		s.raw.SetReadDeadline(time.Now().Add(partialCommandTimeout))
	} else {
		s.raw.SetReadDeadline(time.Now())
	}
}

// setState sets what the session does.
func (s *session) setState(state sessionState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// abort closes the connection, and returns what the session did.
func (s *session) abort() sessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw.Close()
	return s.state
}

// end ends the connection after the last reply. A close before the client has closed its side
// would reset the connection if a further command crosses it, and with it the replies that are
// still in transit. So the connection is closed for writing first.
func (s *session) end() {
	if s.broken || s.closeWrite() != nil {
		return
	}
	s.setState(finished)
	timeout := time.NewTimer(lingerTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(lingerPollInterval)
	defer poll.Stop()
	for !sockets.PeerClosed(s.raw) {
		select {
		case <-poll.C:
		case <-timeout.C:
			return
		case <-s.server.aborted:
			return
		}
	}
}

// closeWrite closes the connection for writing, under TLS with its closing alert.
func (s *session) closeWrite() error {
	if encrypted, ok := s.conn.(*tls.Conn); ok {
		if err := encrypted.CloseWrite(); err != nil {
			return err
		}
	}
	if tcp, ok := s.raw.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
