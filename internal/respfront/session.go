package respfront

import (
	"context"
	"errors"
	"net"
	"syscall"
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
	next    *queuedReply    // the reply of the current command if it is a limit command
	checks  []*owner.Check  // of the replies in batch
	batch   *batch          // limit commands that aren't submitted yet; nil: none
	ctx     context.Context // of the server, for commands that decide the batch before them
	current replyWriter     // reply of the current command
	broken  bool            // the client has disconnected or doesn't read its replies
}

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

// run serves commands until the connection or ctx ends.
func (s *session) run(ctx context.Context) {
	s.ctx = ctx
	defer s.releaseBuffers()
	for !s.closing && !s.broken {
		s.conn.SetReadDeadline(time.Now().Add(s.server.idleTimeout))
		if ctx.Err() != nil {
			return // checked after setting the deadline: the server sets an earlier one when ctx ends
		}
		if (s.b == nil || s.b.reader.Buffered() == 0) && !s.waitReadable() {
			return
		}
		if s.b == nil {
			s.b = s.server.buffers.Get().(*buffers)
			s.b.reader.Reset(s.conn)
		}
		err := s.runPipeline()
		if err != nil && errors.Is(err, resp.ErrProtocol) {
			s.fail("ERR " + err.Error())
		}
		s.decideBatch(ctx)
		s.flush()
		if err != nil {
			return
		}
	}
}

// waitReadable waits for the next command. A plain connection has no buffers meanwhile.
func (s *session) waitReadable() bool {
	if s.conn != s.raw {
		return true // TLS may have buffered bytes; the read waits
	}
	s.releaseBuffers()
	sc, ok := s.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Read(func(fd uintptr) bool {
		n, err := sockets.Peek(fd)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		ready = n > 0
		return true
	})
	return err == nil && ready
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
// waits for their results. When the server stops it waits for at most one poll interval.
//
// It must notice that the client has disconnected: otherwise a take that waits for units
// would take them for a client that never learns of it.
func (s *session) decideBatch(ctx context.Context) {
	if s.batch == nil {
		return
	}
	if !s.server.limiter.loop.Post(owner.CheckBatch{Loop: s.server.limiter.loop, Checks: s.checks}) {
		s.broken = true
	}
	poll := time.NewTimer(disconnectPollInterval)
	defer poll.Stop()
	for waiting := !s.broken; waiting; {
		select {
		case <-s.batch.done:
			waiting = false
		case <-s.server.limiter.loop.Stopped():
			s.broken, waiting = true, false
		case <-poll.C:
			if poll.Reset(disconnectPollInterval); sockets.PeerClosed(s.raw) || ctx.Err() != nil {
				s.server.limiter.loop.Post(disconnect{s.server.limiter, s.replies})
				s.broken, waiting = true, false
			}
		}
	}
	if s.broken {
		s.b.batch = nil // the event loop may still use it
	}
	s.batch, s.checks = nil, s.checks[:0]
}

// flush writes the queued replies. After a batch that was not decided, it drops them,
// since the connection ends: their results may not be read.
func (s *session) flush() {
	if s.broken {
		s.replies = nil
		return
	}
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
