package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

const (
	forwardBufferSize = 4<<10 - 16 // bytes; with the framing of a chunk it fits into the buffer of a backend's connection
	defaultUserAgent  = "Go-http-client/1.1"
	chunkedEncoding   = "chunked"
)

var errClientLeft = errors.New("the client has disconnected")

// forwardBuffers are held by uploads while they wait for their clients, so they are smaller than net/http's.
var forwardBuffers = sync.Pool{New: func() any { return new([forwardBufferSize]byte) }}

// writeRequest writes the request.
func (a *attempt) writeRequest(c *backendConn) error {
	ex := a.exchange
	if ex.upload != nil {
		return a.writeUpload(c)
	}
	request := &http.Request{Method: ex.method, Host: ex.host, Header: a.header(time.Until(a.socketDeadline)), URL: &url.URL{Opaque: ex.uri}}
	if len(ex.body) > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(ex.body)), int64(len(ex.body))
	}
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	a.markSent()
	return nil
}

// writeUpload writes a request whose body is streamed. Then it calls onSent, and the client's own time limit applies from
// then on.
func (a *attempt) writeUpload(c *backendConn) error {
	ex := a.exchange
	if !ex.upload.claim() {
		return errRequestOver
	}
	defer close(ex.upload.finished)
	if err := a.writeUploadHeader(c.writer, a.header(seconds(ex.timeLeft))); err != nil {
		return err
	}
	if err := ex.upload.forward(c.writer, a.beginEnd); err != nil {
		return err
	}
	a.markSent()
	a.onSent()
	c.SetDeadline(ex.upload.arrival.estimate().Add(seconds(ex.timeLeft)))
	return nil
}

// header returns the header for the backend: the client's own, with the time that this attempt has left.
func (a *attempt) header(timeLeft time.Duration) http.Header {
	header := make(http.Header, len(a.exchange.header))
	for k, v := range a.exchange.header {
		header[k] = v
	}
	header[timeLeftHeader] = []string{strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)}
	if a.traceParent != "" {
		header[parentHeader] = []string{a.traceParent}
	}
	return header
}

// writeUploadHeader writes the request line and the header of a request whose body is streamed, as net/http would.
func (a *attempt) writeUploadHeader(writer *bufio.Writer, header http.Header) error {
	ex := a.exchange
	fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", ex.method, ex.uri, ex.host)
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = []string{defaultUserAgent}
	}
	if length := ex.upload.length; length >= 0 {
		fmt.Fprintf(writer, "Content-Length: %d\r\n", length)
	} else {
		fmt.Fprintf(writer, "Transfer-Encoding: %s\r\n", chunkedEncoding)
	}
	if err := header.Write(writer); err != nil {
		return err
	}
	_, err := io.WriteString(writer, "\r\n")
	return err
}

// forward writes the body as it arrives, framed as the client framed it. It calls beginEnd once, before it writes the end,
// and does not write it if that fails.
func (u *upload) forward(writer *bufio.Writer, beginEnd func() error) error {
	forwarded := int64(0)
	buffer := forwardBuffers.Get().(*[forwardBufferSize]byte)
	defer forwardBuffers.Put(buffer)
	for {
		n, readErr := u.Read(buffer[:])
		forwarded += int64(n)
		atEnd := u.length < 0 && readErr == io.EOF || n > 0 && forwarded == u.length
		if atEnd {
			if err := beginEnd(); err != nil {
				return err
			}
		}
		if n > 0 {
			u.writePiece(writer, buffer[:n])
		}
		if readErr == io.EOF {
			if u.length < 0 {
				writer.Write(lastChunk)
			}
			return writer.Flush()
		}
		if readErr != nil {
			return readErr
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// writePiece writes a piece of the body, as a chunk if its length is unknown. A bufio.Writer keeps its first error for Flush.
func (u *upload) writePiece(w *bufio.Writer, p []byte) {
	if u.length >= 0 {
		w.Write(p)
		return
	}
	fmt.Fprintf(w, "%x\r\n", len(p))
	w.Write(p)
	io.WriteString(w, "\r\n")
}
