package gateway

import (
	"time"

	"elderyard/rules"
)

// uploadTimeout ends a request whose client has sent the whole body and has no time left, while the body waits for a
// place, for a connection or for a backend that does not accept it.
type uploadTimeout struct {
	loop     *Loop
	exchange *exchange
}

// watchUpload follows the time of a request whose body is streamed, until the body has been forwarded.
func (l *Loop) watchUpload(ex *exchange) {
	if ex.upload != nil && ex.open {
		uploadTimeout{l, ex}.schedule()
	}
}

// schedule arranges the next sample of what has arrived, or the end of the client's time if that comes first.
func (t uploadTimeout) schedule() {
	next := t.loop.Clock.Now() + arrivalSampleInterval.Seconds()
	t.loop.ScheduleTimeout(min(next, t.loop.uploadDeadline(t.exchange)), t)
}

// Finished reports whether the request is over or has been forwarded.
func (t uploadTimeout) Finished() bool { return !t.exchange.open || t.exchange.bodyForwarded }

// Expire samples what has arrived, and ends the request if its client has left or has no time left. The server notices
// that a client has left only behind the end of the body.
func (t uploadTimeout) Expire() {
	if t.exchange.clientDisconnected() {
		t.loop.disconnect(t.exchange)
		return
	}
	t.exchange.upload.arrival.sample()
	if t.loop.Clock.Now() < t.loop.uploadDeadline(t.exchange)-timeoutTolerance {
		t.schedule()
		return
	}
	// An attempt that is aborted reports whether the request may have run.
	t.exchange.abortUnsent()
	t.loop.Handle(rules.BodyOverdue{Request: t.exchange.request.ID})
}

// uploadDeadline returns the time at which the client stops waiting, as far as is known.
func (l *Loop) uploadDeadline(ex *exchange) float64 {
	return l.lastByteAt(ex) + ex.timeLeft
}

// lastByteAt returns the time at which the client sent the last byte of a streamed request, as far as is known.
func (l *Loop) lastByteAt(ex *exchange) float64 {
	return l.Clock.Now() - time.Since(ex.upload.arrival.estimate()).Seconds()
}
