package respfront

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"elderyard/internal/owner"
	"elderyard/internal/resp"
	"elderyard/internal/sockets"
)

// session is the state of one connection: its user, and the replies that are still to be
// written, in order.
type session struct {
	server  *Server
	raw     net.Conn // below TLS
	conn    net.Conn
	id      int64
	version int
	name    string
	user    *User
	closing bool // close the connection after the queued replies

	b       *buffers
	args    []string // of the current command
	replies []*queuedReply
	next    *queuedReply   // the reply of the current command if it is a limit command
	checks  []*owner.Check // of the replies in batch
	batch   *batch         // limit commands that aren't submitted yet; nil: none
	current replyWriter    // reply of the current command
	broken  bool           // the client has disconnected or doesn't read its replies

	mu    sync.Mutex
	state sessionState
}

// sessionState is what a session does.
type sessionState int

const (
	waiting   sessionState = iota // for a command
	receiving                     // the handshake, or a command of which a part has been received
	deciding                      // limit commands, at the event loop
	replying
	finished // all replies have been written, and the connection is closed for writing
)

// writer returns the writer for the reply of the current command. queue must follow.
func (s *session) writer() *replyWriter {
	s.current = replyWriter{Version: s.version}
	return &s.current
}

// queue appends the reply that has been written to the queued ones.
func (s *session) queue() { s.replies = append(s.replies, &queuedReply{text: s.current.Buf}) }

// newRequest returns the empty request of the current limit command.
func (s *session) newRequest() *limitRequest {
	if s.next == nil {
		s.next = s.b.newReply()
	}
	s.next.request = limitRequest{}
	return &s.next.request
}

// fail replies with an error.
func (s *session) fail(text string) {
	s.writer().Error(text)
	s.queue()
}

// submit adds the request of the current command to the batch. write will write its reply.
func (s *session) submit(write func(*replyWriter, *queuedReply)) {
	if s.batch == nil {
		s.batch = s.b.newBatch()
	}
	r := s.next
	s.next = nil
	r.limiter, r.write, r.version, r.batch = s.server.limiter, write, s.version, s.batch
	r.repeated, r.err, r.decided, r.check = false, nil, false, owner.Check{CheckRequester: r}
	s.batch.undecided++
	s.replies = append(s.replies, r)
	s.checks = append(s.checks, &r.check)
}

// handshake prepares the connection for commands. It returns false if that fails. The client
// may send a command together with its last message, so the end of the server doesn't cancel it.
func (s *session) handshake() bool {
	if s.server.tls == nil {
		return true
	}
	conn := tls.Server(s.raw, s.server.tls)
	s.conn = conn
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return conn.HandshakeContext(ctx) == nil
}

// run serves commands until the connection or the server ends.
func (s *session) run() {
	defer s.releaseBuffers()
	for !s.closing && !s.broken && s.awaitCommand() {
		err := s.runPipeline()
		if err != nil && errors.Is(err, resp.ErrProtocol) {
			s.fail("ERR " + err.Error())
		}
		s.decideBatch()
		s.flush()
		if err != nil {
			return
		}
	}
}

// awaitCommand waits until a command has been received, at least in part. It returns false
// if the connection is to end instead.
func (s *session) awaitCommand() bool {
	received := s.b != nil && s.b.reader.Buffered() > 0
	if hasBegun(s.server.finishing) {
		return received && s.b.reader.Ready()
	}
	if !received && !s.waitReadable() {
		return false
	}
	s.beginCommand()
	s.takeBuffers()
	return true
}

// waitReadable waits for input, unless the server is stopping, and reports whether there is
// any. A plain connection has no buffers meanwhile.
func (s *session) waitReadable() bool {
	encrypted := s.conn != s.raw // and may have buffered input that the socket doesn't show
	if !encrypted {
		s.releaseBuffers()
	} else {
		s.takeBuffers()
	}
	wait := func() error { return sockets.WaitReadable(s.raw) }
	if encrypted {
		wait = s.b.reader.Wait
	}
	if s.beginWait() && wait() == nil {
		return true
	}
	// A command may have crossed the end of the wait. The deadline has passed, so this doesn't wait again.
	return encrypted && wait() == nil || sockets.Readable(s.raw)
}

// takeBuffers takes buffers from the pool unless the session has some.
func (s *session) takeBuffers() {
	if s.b == nil {
		s.b = s.server.buffers.Get().(*buffers)
		s.b.reader.Reset(s.conn)
	}
}

// releaseBuffers returns the buffers to the pool.
func (s *session) releaseBuffers() {
	if s.b == nil {
		return
	}
	s.b.reader.Reset(nil)
	s.next = nil
	s.server.buffers.Put(s.b)
	s.b = nil
}

// runPipeline reads the commands that have been received completely, up to the size of a
// batch, and runs them. It waits for the first.
func (s *session) runPipeline() error {
	b := s.b
	b.text, b.lengths = b.text[:0], b.lengths[:0]
	var err error
	for n := 0; n < maxBatch && (n == 0 || b.reader.Ready()); n++ {
		if b.args, b.text, err = b.reader.Command(b.args[:0], b.text); err != nil {
			break
		}
		b.lengths = append(b.lengths, len(b.args))
		for _, arg := range b.args {
			b.lengths = append(b.lengths, len(arg))
		}
	}
	// The arguments are consecutive in one buffer, so one allocation copies all of them.
	text := string(b.text)
	for lengths := b.lengths; len(lengths) > 0 && !s.closing && !s.broken; {
		var n int
		n, lengths = lengths[0], lengths[1:]
		s.args = s.args[:0]
		for _, size := range lengths[:n] {
			s.args = append(s.args, text[:size])
			text = text[size:]
		}
		if lengths = lengths[n:]; n > 0 {
			s.dispatch(s.args)
		}
	}
	if s.closing {
		return nil // what the client sent after QUIT is ignored, also if it is malformed
	}
	return err
}

// decideBatch passes the limit commands of the batch to the event loop in one message and
// waits for their results.
//
// It must notice that the client has disconnected: otherwise a take that waits for units
// would take them for a client that never learns of it.
func (s *session) decideBatch() {
	if s.batch == nil {
		return
	}
	s.setState(deciding)
	loop := s.server.limiter.loop
	loop.Post(owner.CheckBatch{Loop: loop, Checks: s.checks})
	poll := time.NewTicker(disconnectPollInterval)
	defer poll.Stop()
	for waiting := true; waiting; {
		select {
		case <-s.batch.done:
			waiting = false
		case <-loop.Stopped():
			s.failUndecided()
			waiting = false
		case <-s.server.aborted:
			s.cancelBatch()
			waiting = false
		case <-poll.C:
			if sockets.PeerClosed(s.raw) {
				s.cancelBatch()
				waiting = false
			}
		}
	}
	s.batch, s.checks = nil, s.checks[:0]
}

// cancelBatch cancels the undecided commands of the batch. Their replies can't reach the client.
func (s *session) cancelBatch() {
	s.server.limiter.loop.Post(disconnect{s.server.limiter, s.replies})
	s.broken = true
	s.b.batch = nil // the event loop may still use it
}

// failUndecided sets an error for the commands that an event loop has left undecided when it stopped.
func (s *session) failUndecided() {
	for _, r := range s.replies {
		if r.write != nil && !r.decided {
			r.err = errStopped
		}
	}
	s.b.batch = nil // it was not completed
}

// flush writes the queued replies. Those of a batch that was cancelled are dropped, since
// the event loop may still set their results.
func (s *session) flush() {
	if s.broken {
		s.replies = nil
		return
	}
	s.setState(replying)
	w := replyWriter{Buf: s.b.out[:0]}
	for _, r := range s.replies {
		switch {
		case r.write == nil:
			w.Buf = append(w.Buf, r.text...)
		case r.err != nil:
			w.Error("ERR " + r.err.Error())
		default:
			w.Version = r.version
			r.write(&w, r)
		}
		if r.decided {
			s.b.free = append(s.b.free, r) // the event loop doesn't use it any more
		}
	}
	s.replies = s.replies[:0]
	s.b.out = w.Buf
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.conn.Write(w.Buf); err != nil {
		s.broken = true
	}
}
