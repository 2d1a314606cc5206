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
	maxBufferedBody    = 64 << 10               // bytes
	maxStreamedBody    = 34 << 20               // bytes of a body that passes through
	streamBufferSize   = 16 << 10               // bytes read at a time
	chunkedBufferLimit = 32 << 10               // bytes of an answer of unknown length that are waited for before it passes through
	chunkedBufferTime  = 200 * time.Millisecond // and for how long

	uploadStallTimeout   = 1500 * time.Millisecond // a body that brings nothing for so long has ended
	minUploadRate        = 24 << 10                // bytes a second that a body must bring over its whole
	downloadStallTimeout = 30 * time.Second        // a client that takes nothing for so long has gone
	responseStallTimeout = 10 * time.Second        // and so has a backend that gives nothing
)

var errTooLong = errors.New("the body is too long")

// bulkTime is the longest that a body of so many bytes may take.
func maxUploadTime(length int64) time.Duration {
	if length < 0 {
		length = maxStreamedBody
	}
	return 2*uploadStallTimeout + time.Duration(float64(length)/minUploadRate*float64(time.Second))
}

var errRequestOver = errors.New("the request is over")

// upload is a body on its way from a client. It is read by the handler to see
// whether it is short, and then by one attempt.
type upload struct {
	body     io.Reader
	control  *http.ResponseController
	deadline time.Time
	length   int64  // -1: in chunks
	prefix   []byte // read already

	mu       sync.Mutex
	claimed  bool
	stopped  bool
	complete bool          // all has been read
	failed   bool          // its client failed
	finished chan struct{} // the attempt reads no more
}

func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	return &upload{body: http.MaxBytesReader(w, r.Body, maxStreamedBody), control: http.NewResponseController(w), length: r.ContentLength,
		deadline: time.Now().Add(maxUploadTime(r.ContentLength)), finished: make(chan struct{})}
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
		return 0, errRequestOver
	}
	limit := time.Now().Add(uploadStallTimeout)
	if u.deadline.Before(limit) {
		limit = u.deadline
	}
	u.control.SetReadDeadline(limit)
	u.mu.Unlock()
	n, err := u.body.Read(p)
	if err != nil {
		u.mu.Lock()
		if u.complete = err == io.EOF; u.complete {
			u.control.SetReadDeadline(time.Time{})
		} else {
			u.failed = true
		}
		u.mu.Unlock()
	}
	return n, err
}

// first reads up to inlineBody bytes and tells whether that was all.
func (u *upload) readBuffered() (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(u, maxBufferedBody+1))
	return body, len(body) <= maxBufferedBody, err
}

// shortBody reads a body of a few bytes.
func readShortBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(uploadStallTimeout))
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err // the time-out stays: the server reads on for what is missing
	}
	io.Copy(io.Discard, r.Body) // to its end: only then does the server watch for a client that leaves
	control.SetReadDeadline(time.Time{})
	return body, nil
}

// take hands the body to an attempt, once.
func (u *upload) claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.stopped {
		return false
	}
	u.claimed = true
	return true
}

// stop ends the reading, waits for the attempt that is at it, and tells whether
// all had been read. After that the handler may return: net/http forbids a read of
// the body from then on.
func (u *upload) stop() bool {
	u.mu.Lock()
	u.stopped = true
	if !u.complete {
		u.control.SetReadDeadline(time.Unix(1, 0))
	}
	claimed := u.claimed
	u.mu.Unlock()
	if claimed {
		<-u.finished
	}
	return u.complete
}

// download is an answer that passes through: what has come already, and the rest.
type download struct {
	length int64 // -1: unknown
	prefix []byte
	body   io.Reader
	conn   *backendConn
	onEnd  func(sound bool) // called once by who passes it on
	onDrop func()           // called instead where nobody does
}

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// errCut says that an answer ended before its end.
var errTruncated = errors.New("the answer was cut")

// write passes the answer on as it comes. The client can tell a cut one: its length or
// its last chunk is missing.
func (d *download) write(w http.ResponseWriter) error {
	control := http.NewResponseController(w)
	complete := false
	defer func() { d.onEnd(complete) }()
	send := func(p []byte) error {
		control.SetWriteDeadline(time.Now().Add(downloadStallTimeout))
		if _, err := w.Write(p); err != nil {
			return err
		}
		return control.Flush()
	}
	if err := send(d.prefix); err != nil {
		return err
	}
	d.prefix = nil
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	for {
		d.conn.SetReadDeadline(time.Now().Add(responseStallTimeout))
		n, err := d.body.Read(buffer[:])
		if n > 0 {
			if err := send(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			complete = true
			return nil
		}
		if err != nil {
			return errTruncated
		}
	}
}
