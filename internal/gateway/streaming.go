package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Bodies of up to maxBufferedBody are read completely, so that a request can be retried and a truncated
// response does not reach the client. Longer bodies are streamed in both directions in bounded memory.
const (
	maxBufferedBody    = 64 << 10               // bytes
	maxStreamedBody    = 34 << 20               // bytes of a body that is streamed
	streamBufferSize   = 16 << 10               // bytes read at a time
	chunkedBufferLimit = 32 << 10               // bytes of a response of unknown length that are read before it is streamed
	chunkedBufferTime  = 200 * time.Millisecond // and the time that this may take

	uploadStallTimeout   = 1500 * time.Millisecond // a request body that brings no bytes for this long has failed
	minUploadRate        = 24 << 10                // bytes per second that a request body must bring on average
	downloadStallTimeout = 30 * time.Second        // a client that reads nothing for this long is disconnected
	responseStallTimeout = 10 * time.Second        // and so is a backend that sends nothing
)

var errTooLong = errors.New("the body is too long")

// maxUploadTime returns the longest time that a body of the given length may take.
func maxUploadTime(length int64) time.Duration {
	if length < 0 {
		length = maxStreamedBody
	}
	return 2*uploadStallTimeout + time.Duration(float64(length)/minUploadRate*float64(time.Second))
}

var errRequestOver = errors.New("the request is over")

// upload is the body of a client's request. The handler reads its start to see whether it is short; if it
// is not, one attempt reads the rest.
type upload struct {
	body     io.Reader
	control  *http.ResponseController
	deadline time.Time
	length   int64 // -1: chunked
	buffer   *bodyBuffer
	prefix   []byte // read into the buffer, but not yet returned by Read
	arrival  *arrivalTracker

	mu       sync.Mutex
	claimed  bool
	stopped  bool
	complete bool          // read to its end
	failed   bool          // reading from the client failed
	finished chan struct{} // closed when the attempt reads no more
}

func newUpload(w http.ResponseWriter, r *http.Request, conn *clientConn, buffer *bodyBuffer) *upload {
	return &upload{buffer: buffer, body: http.MaxBytesReader(w, r.Body, maxStreamedBody), control: http.NewResponseController(w), length: r.ContentLength,
		deadline: time.Now().Add(maxUploadTime(r.ContentLength)), arrival: newArrivalTracker(conn), finished: make(chan struct{})}
}

// Read reads from the client. The read timeout is cleared at the end of the body: the server cancels a
// request whose connection times out after that.
func (u *upload) Read(p []byte) (int, error) {
	if len(u.prefix) > 0 {
		n := copy(p, u.prefix)
		if u.prefix = u.prefix[n:]; len(u.prefix) == 0 {
			u.prefix, u.buffer.bytes = nil, nil
			u.buffer.free()
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
	u.arrival.beginRead()
	n, err := u.body.Read(p)
	u.arrival.endRead()
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

// readBuffered reads up to maxBufferedBody bytes into the buffer and reports whether that was all. It stops earlier if
// the buffer can't grow.
func (u *upload) readBuffered() (complete bool, err error) {
	buffer := u.buffer
	for {
		if len(buffer.bytes) == cap(buffer.bytes) && (len(buffer.bytes) > maxBufferedBody || !buffer.grow(maxBufferedBody+1)) {
			return false, nil
		}
		n, err := u.Read(buffer.bytes[len(buffer.bytes):cap(buffer.bytes)])
		buffer.bytes = buffer.bytes[:len(buffer.bytes)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// readShortBody reads a body of at most maxPreallocatedBody bytes.
func readShortBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(uploadStallTimeout))
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err // the timeout stays: the server still reads the missing rest
	}
	io.Copy(io.Discard, r.Body) // the server watches for a disconnect only after the end of the body
	control.SetReadDeadline(time.Time{})
	return body, nil
}

// claim assigns the body to an attempt. It succeeds once.
func (u *upload) claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.stopped {
		return false
	}
	u.claimed = true
	return true
}

// stop ends the reading, waits for the attempt that reads, and reports whether the body was read to its
// end. Only then may the handler return: net/http forbids reading the body after that.
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

// download is a streamed response: what has been read already, and the rest.
type download struct {
	length int64 // -1: unknown
	prefix []byte
	body   io.Reader
	conn   *backendConn
	onEnd  func(complete bool) // called once by whoever streams it
	onDrop func()              // called instead if nobody does
}

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// errTruncated reports that a response ended early.
var errTruncated = errors.New("response body ended early")

// write streams the response to the client. A client recognizes a truncated response by its length or by
// the missing last chunk.
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
