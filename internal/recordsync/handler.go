package recordsync

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"elderyard/records"
)

// MaxWaiting is the number of requests for changes that may wait in a handler at once. Further
// ones are rejected with status 503, and the follower tries another server.
const MaxWaiting = 2048

// maxConcurrentContents is the number of responses with the content of ranges that are encoded
// at once. It bounds memory: each one needs some hundreds of kB. Further requests wait.
const maxConcurrentContents = 4

// writeTimeout is the time within which a client must have read a response.
const writeTimeout = 30 * time.Second

// Source is the store of a handler. It must be safe for concurrent use.
type Source interface {
	// ReadRecords calls read with the current store, which read must neither modify nor
	// retain.
	ReadRecords(read func(*records.Store))
	// RecordsChanged returns a channel that is closed at the next change after the call.
	RecordsChanged() <-chan struct{}
}

// Handler responds to followers from one source. The source need not be the leader: each response
// states its version.
type Handler struct {
	source       Source
	waitingSlots chan struct{} // semaphore of waiting requests
	contentSlots chan struct{} // semaphore of responses that are being encoded
	responses    responseCache
	mux          *http.ServeMux
}

// NewHandler returns a handler of a source.
func NewHandler(source Source) *Handler {
	h := &Handler{
		source:       source,
		waitingSlots: make(chan struct{}, MaxWaiting),
		contentSlots: make(chan struct{}, maxConcurrentContents),
		mux:          http.NewServeMux(),
	}
	h.mux.HandleFunc("GET "+ChangesPath, h.serveChanges)
	h.mux.HandleFunc("GET "+RangesPath, h.serveRanges)
	h.mux.HandleFunc("GET "+ContentPath, h.serveContent)
	return h
}

// ServeHTTP implements http.Handler for the paths of this package. It responds with status 400 to
// an invalid query, and with 503 if MaxWaiting requests wait.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Waiting returns the number of requests for changes that wait.
func (h *Handler) Waiting() int { return len(h.waitingSlots) }

// serveChanges responds with the changes above a version.
func (h *Handler) serveChanges(w http.ResponseWriter, r *http.Request) {
	request, err := parseChangesQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := h.awaitChanges(r.Context(), request)
	if errors.Is(err, errTooManyWaiting) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		return // the client has closed the connection
	}
	data, err := h.responses.encode(request, response)
	writeResponse(w, data, err)
}

// errTooManyWaiting means that MaxWaiting requests wait.
var errTooManyWaiting = fmt.Errorf("%d requests for changes are waiting, and no more may", MaxWaiting)

// awaitChanges returns the response as soon as it has a change, or when the wait of the request
// expires. The error is errTooManyWaiting or that of the context.
func (h *Handler) awaitChanges(ctx context.Context, request records.ChangesRequest) (records.ChangesResponse, error) {
	response, changed := h.currentResponse(request)
	if !response.UpToDate() || request.Wait <= 0 {
		return response, nil
	}
	select {
	case h.waitingSlots <- struct{}{}:
		defer func() { <-h.waitingSlots }()
	default:
		return response, errTooManyWaiting
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for response.UpToDate() {
		select {
		case <-changed:
			response, changed = h.currentResponse(request)
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return response, ctx.Err()
		}
	}
	return response, nil
}

// currentResponse returns the response for the current state, and a channel that is closed when
// the state changes.
func (h *Handler) currentResponse(request records.ChangesRequest) (response records.ChangesResponse, changed <-chan struct{}) {
	changed = h.source.RecordsChanged() // must precede the read: otherwise a change in between is missed
	h.source.ReadRecords(func(store *records.Store) { response = store.HandleChanges(request) })
	return response, changed
}

// serveRanges responds with the digests of all ranges.
func (h *Handler) serveRanges(w http.ResponseWriter, _ *http.Request) {
	var digests records.RangeDigests
	h.source.ReadRecords(func(store *records.Store) { digests = store.RangeDigests() })
	data, err := records.EncodeRangeDigests(digests)
	writeResponse(w, data, err)
}

// serveContent responds with the content of ranges, when a slot is free.
func (h *Handler) serveContent(w http.ResponseWriter, r *http.Request) {
	request, err := parseContentQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case h.contentSlots <- struct{}{}:
	case <-r.Context().Done():
		return // the client has closed the connection
	}
	data, err := h.encodeContent(request)
	writeResponse(w, data, err)
}

// encodeContent returns the encoded content of ranges. It releases the slot that the caller
// has acquired, before the response is written, so that slow clients occupy none.
func (h *Handler) encodeContent(request records.ContentRequest) ([]byte, error) {
	defer func() { <-h.contentSlots }()
	var chunk records.Chunk
	h.source.ReadRecords(func(store *records.Store) { chunk = store.Chunk(request) })
	return records.EncodeChunk(chunk)
}

// writeResponse writes the data, or status 500 for an error.
func writeResponse(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// Ignores the error of a connection without support for deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the follower detects a truncated response
}
