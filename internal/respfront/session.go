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

// session is one connection: who its client is, and the replies that it is owed,
// in order.
type session struct {
	front   *Front
	raw     net.Conn // below TLS
	conn    net.Conn
	id      int64
	version int
	name    string
	user    *User
	ending  bool // after the replies that are owed

	b      *buffers
	args   []string // of the present command
	slots  []*slot
	next   *slot           // the command that is being read may make an ask of it
	checks []*owner.Check  // of the slots that are not handed on yet
	batch  *batch          // of these checks; nil: there are none
	ctx    context.Context // the front's, for a command that has to settle what is before it
	now    replies         // being written for the present command
	broken bool            // the client has gone, or takes nothing
}

// w is where the present command's reply is written; said must follow.
func (s *session) w() *replies {
	s.now = replies{Version: s.version}
	return &s.now
}

// said takes the reply that w was given.
func (s *session) said() { s.slots = append(s.slots, &slot{text: s.now.Buf}) }

// newAsk is an ask for the present command to fill in.
func (s *session) newAsk() *ask {
	if s.next == nil {
		s.next = s.b.slot()
	}
	s.next.ask = ask{}
	return &s.next.ask
}

func (s *session) fail(text string) {
	s.w().Error(text)
	s.said()
}

// ask hands the command that newAsk was filled in for to the desk, with the next batch.
func (s *session) ask(reply func(*replies, *slot)) {
	if s.batch == nil {
		s.batch = s.b.batchOf()
	}
	r := s.next
	s.next = nil
	r.desk, r.reply, r.version, r.batch = s.front.desk, reply, s.version, s.batch
	r.repeated, r.err, r.decided, r.check = false, nil, false, owner.Check{CheckRequester: r}
	s.batch.left++
	s.slots = append(s.slots, r)
	s.checks = append(s.checks, &r.check)
}

// run answers commands until the connection ends or ctx does.
func (s *session) run(ctx context.Context) {
	s.ctx = ctx
	defer s.putBack()
	for !s.ending && !s.broken {
		s.conn.SetReadDeadline(time.Now().Add(s.front.idle))
		if ctx.Err() != nil {
			return // looked at after the deadline is set: the front sets an earlier one at its end
		}
		if (s.b == nil || s.b.reader.Buffered() == 0) && !s.rest() {
			return
		}
		if s.b == nil {
			s.b = s.front.buffers.Get().(*buffers)
			s.b.reader.Reset(s.conn)
		}
		err := s.pipeline()
		if err != nil && errors.Is(err, resp.ErrProtocol) {
			s.fail("ERR " + err.Error())
		}
		s.settle(ctx)
		s.flush()
		if err != nil {
			return
		}
	}
}

// rest waits for the next command. A plain connection keeps no buffer meanwhile.
func (s *session) rest() bool {
	if s.conn != s.raw {
		return true // TLS may hold bytes of its own; the read waits
	}
	s.putBack()
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

func (s *session) putBack() {
	if s.b == nil {
		return
	}
	s.b.reader.Reset(nil)
	s.next = nil
	s.front.buffers.Put(s.b)
	s.b = nil
}

// pipeline reads the commands that have come whole, as many as a batch holds, and
// runs them. The first may still be on its way.
func (s *session) pipeline() error {
	b := s.b
	b.text, b.lengths = b.text[:0], b.lengths[:0]
	var err error
	for n := 0; n < mostBatch && (n == 0 || b.reader.Ready()); n++ {
		if b.words, b.text, err = b.reader.Command(b.words[:0], b.text); err != nil {
			break
		}
		b.lengths = append(b.lengths, len(b.words))
		for _, w := range b.words {
			b.lengths = append(b.lengths, len(w))
		}
	}
	// The words stand in one buffer, one behind the other: one copy is all of them.
	text := string(b.text)
	for left := b.lengths; len(left) > 0 && !s.ending && !s.broken; {
		var n int
		n, left = left[0], left[1:]
		s.args = s.args[:0]
		for _, size := range left[:n] {
			s.args = append(s.args, text[:size])
			text = text[size:]
		}
		if left = left[n:]; n > 0 {
			s.dispatch(s.args)
		}
	}
	if s.ending {
		return nil // what came behind is not looked at
	}
	return err
}

// settle hands the limit commands on in one message and waits for their answers, at
// the front's end for a moment.
// Danger: a client that leaves while one waits for units must not have them taken.
func (s *session) settle(ctx context.Context) {
	if s.batch == nil {
		return
	}
	if !s.front.desk.owner.Post(owner.CheckBatch{Loop: s.front.desk.owner, Checks: s.checks}) {
		s.broken = true
	}
	look := time.NewTimer(goneLook)
	defer look.Stop()
	for waits := !s.broken; waits; {
		select {
		case <-s.batch.done:
			waits = false
		case <-s.front.desk.owner.Stopped():
			s.broken, waits = true, false
		case <-look.C:
			if look.Reset(goneLook); sockets.PeerClosed(s.raw) || ctx.Err() != nil {
				s.front.desk.owner.Post(leaving{s.front.desk, s.slots})
				s.broken, waits = true, false
			}
		}
	}
	if s.broken {
		s.b.batch = nil // the owner may still be at it
	}
	s.batch, s.checks = nil, s.checks[:0]
}

// flush writes the replies that are owed. What a batch left undecided is not read:
// its connection ends.
func (s *session) flush() {
	if s.broken {
		s.slots = nil
		return
	}
	w := replies{Buf: s.b.out[:0]}
	for _, r := range s.slots {
		switch {
		case r.reply == nil:
			w.Buf = append(w.Buf, r.text...)
		case r.err != nil:
			w.Error("ERR " + r.err.Error())
		default:
			w.Version = r.version
			r.reply(&w, r)
		}
		if r.decided {
			s.b.spare = append(s.b.spare, r) // nobody else has it
		}
	}
	s.slots = s.slots[:0]
	s.b.out = w.Buf
	s.conn.SetWriteDeadline(time.Now().Add(sendWait))
	if _, err := s.conn.Write(w.Buf); err != nil {
		s.broken = true
	}
}
