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

// MaxWaiting is how many requests for changes a handler holds open at once; more
// are turned away, and go to another server.
const MaxWaiting = 2048

// maxConcurrentContents is how many answers with the content of ranges are made at once.
// Each takes some hundreds of kB while it is made; further requests wait for their turn.
const maxConcurrentContents = 4

// writeTimeout is how long the reader of an answer may take.
const writeTimeout = 30 * time.Second

// Source is where a handler reads the records. It is used by several goroutines.
type Source interface {
	// ReadRecords calls read with the present store, which must not be kept.
	ReadRecords(read func(*records.Store))
	// RecordsChanged returns a channel that is closed at the next change.
	RecordsChanged() <-chan struct{}
}

// Handler answers followers from one source, whether that leads or not.
type Handler struct {
	source       Source
	waitingSlots chan struct{}
	contentSlots chan struct{} // holds an element for each content that is being made
	responses    responseCache
	mux          *http.ServeMux
}

// NewHandler makes a handler of a source.
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

// ServeHTTP answers a follower.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Waiting returns how many requests for changes are held open.
func (h *Handler) Waiting() int { return len(h.waitingSlots) }

func (h *Handler) serveChanges(w http.ResponseWriter, r *http.Request) {
	request, err := parseChangesQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := h.awaitChanges(r.Context(), request)
	if errors.Is(err, errTooManyWaiting) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		return // the follower has gone
	}
	data, err := h.responses.encode(request, answer)
	writeResponse(w, data, err)
}

var errTooManyWaiting = fmt.Errorf("%d requests for changes are waiting, and no more may", MaxWaiting)

// awaitChanges answers at once if there is something to tell, and else when there is, or
// when the time that the follower gives is over.
func (h *Handler) awaitChanges(ctx context.Context, request records.ChangesRequest) (records.ChangesResponse, error) {
	answer, changed := h.currentResponse(request)
	if !answer.NothingNew() || request.Wait <= 0 {
		return answer, nil
	}
	select {
	case h.waitingSlots <- struct{}{}:
		defer func() { <-h.waitingSlots }()
	default:
		return answer, errTooManyWaiting
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for answer.NothingNew() {
		select {
		case <-changed:
			answer, changed = h.currentResponse(request)
		case <-timer.C:
			return answer, nil
		case <-ctx.Done():
			return answer, ctx.Err()
		}
	}
	return answer, nil
}

// currentResponse answers from the present state, and returns what is closed when that changes.
func (h *Handler) currentResponse(request records.ChangesRequest) (answer records.ChangesResponse, changed <-chan struct{}) {
	changed = h.source.RecordsChanged() // first: a change in between is seen twice, and not missed
	h.source.ReadRecords(func(store *records.Store) { answer = store.HandleChanges(request) })
	return answer, changed
}

func (h *Handler) serveRanges(w http.ResponseWriter, _ *http.Request) {
	var digests records.RangeDigests
	h.source.ReadRecords(func(store *records.Store) { digests = store.RangeDigests() })
	data, err := records.EncodeRangeDigests(digests)
	writeResponse(w, data, err)
}

func (h *Handler) serveContent(w http.ResponseWriter, r *http.Request) {
	request, err := parseContentQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case h.contentSlots <- struct{}{}:
	case <-r.Context().Done():
		return // the follower has gone
	}
	data, err := h.encodeContent(request)
	writeResponse(w, data, err)
}

// encodeContent makes the content of ranges, and gives its turn to the next request.
func (h *Handler) encodeContent(request records.ContentRequest) ([]byte, error) {
	defer func() { <-h.contentSlots }()
	var chunk records.Chunk
	h.source.ReadRecords(func(store *records.Store) { chunk = store.Chunk(request) })
	return records.EncodeChunk(chunk)
}

func writeResponse(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A connection that knows no deadlines has none.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the follower notices what is cut short
}
