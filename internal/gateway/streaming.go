package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Bodies up to inlineBody are taken whole, so that a request can be sent again
// and a spoilt answer does not reach a client. Longer ones pass through as they
// come, in both directions, in bounded memory.
const (
	inlineBody  = 64 << 10               // bytes
	mostBulk    = 34 << 20               // bytes of a body that passes through
	bulkPiece   = 16 << 10               // bytes read at a time
	chunkedHold = 32 << 10               // bytes of an answer of unknown length that are waited for before it passes through
	chunkedWait = 200 * time.Millisecond // and for how long

	uploadStall  = 1500 * time.Millisecond // a body that brings nothing for so long has ended
	leastUpload  = 24 << 10                // bytes a second that a body must bring over its whole
	downloadRest = 30 * time.Second        // a client that takes nothing for so long has gone
	answerStall  = 10 * time.Second        // and so has a backend that gives nothing
)

var errTooLong = errors.New("the body is too long")

// bulkTime is the longest that a body of so many bytes may take.
func bulkTime(length int64) time.Duration {
	if length < 0 {
		length = mostBulk
	}
	return 2*uploadStall + time.Duration(float64(length)/leastUpload*float64(time.Second))
}

var errUploadOver = errors.New("the request is over")

// upload is a body on its way from a client. It is read by the handler to see
// whether it is short, and then by one attempt.
type upload struct {
	body    io.Reader
	control *http.ResponseController
	until   time.Time
	length  int64  // -1: in chunks
	prefix  []byte // read already

	mu       sync.Mutex
	taken    bool
	stopped  bool
	ended    bool          // all has been read
	broken   bool          // its client failed
	finished chan struct{} // the attempt reads no more
}

func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	return &upload{body: http.MaxBytesReader(w, r.Body, mostBulk), control: http.NewResponseController(w), length: r.ContentLength,
		until: time.Now().Add(bulkTime(r.ContentLength)), finished: make(chan struct{})}
}

// Read reads from the client. Danger: the server cancels a request whose connection
// runs into a time-out after its body has ended, so the time-out ends with it.
func (u *upload) Read(p []byte) (int, error) {
	if len(u.prefix) > 0 {
		n := copy(p, u.prefix)
		if u.prefix = u.prefix[n:]; len(u.prefix) == 0 {
			u.prefix = nil
		}
		return n, nil
	}
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, errUploadOver
	}
	limit := time.Now().Add(uploadStall)
	if u.until.Before(limit) {
		limit = u.until
	}
	u.control.SetReadDeadline(limit)
	u.mu.Unlock()
	n, err := u.body.Read(p)
	if err != nil {
		u.mu.Lock()
		if u.ended = err == io.EOF; u.ended {
			u.control.SetReadDeadline(time.Time{})
		} else {
			u.broken = true
		}
		u.mu.Unlock()
	}
	return n, err
}

// first reads up to inlineBody bytes and tells whether that was all.
func (u *upload) first() (body []byte, all bool, err error) {
	body, err = io.ReadAll(io.LimitReader(u, inlineBody+1))
	return body, len(body) <= inlineBody, err
}

// shortBody reads a body of a few bytes.
func shortBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(uploadStall))
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err // the time-out stays: the server reads on for what is missing
	}
	io.Copy(io.Discard, r.Body) // to its end: only then does the server watch for a client that leaves
	control.SetReadDeadline(time.Time{})
	return body, nil
}

// take hands the body to an attempt, once.
func (u *upload) take() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.taken || u.stopped {
		return false
	}
	u.taken = true
	return true
}

// stop ends the reading, waits for the attempt that is at it, and tells whether
// all had been read. After that the handler may return: net/http forbids a read of
// the body from then on.
func (u *upload) stop() bool {
	u.mu.Lock()
	u.stopped = true
	if !u.ended {
		u.control.SetReadDeadline(time.Unix(1, 0))
	}
	taken := u.taken
	u.mu.Unlock()
	if taken {
		<-u.finished
	}
	return u.ended
}

// download is an answer that passes through: what has come already, and the rest.
type download struct {
	length int64 // -1: unknown
	prefix []byte
	body   io.Reader
	conn   *backendConn
	end    func(sound bool) // called once by who passes it on
	drop   func()           // called instead where nobody does
}

var pieces = sync.Pool{New: func() any { return new([bulkPiece]byte) }}

// errCut says that an answer ended before its end.
var errCut = errors.New("the answer was cut")

// write passes the answer on as it comes. The client can tell a cut one: its length or
// its last chunk is missing.
func (d *download) write(w http.ResponseWriter) error {
	control := http.NewResponseController(w)
	sound := false
	defer func() { d.end(sound) }()
	send := func(p []byte) error {
		control.SetWriteDeadline(time.Now().Add(downloadRest))
		if _, err := w.Write(p); err != nil {
			return err
		}
		return control.Flush()
	}
	if err := send(d.prefix); err != nil {
		return err
	}
	d.prefix = nil
	piece := pieces.Get().(*[bulkPiece]byte)
	defer pieces.Put(piece)
	for {
		d.conn.SetReadDeadline(time.Now().Add(answerStall))
		n, err := d.body.Read(piece[:])
		if n > 0 {
			if err := send(piece[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			sound = true
			return nil
		}
		if err != nil {
			return errCut
		}
	}
}
