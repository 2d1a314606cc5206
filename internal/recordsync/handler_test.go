package recordsync

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/records"
)

// A response contains the changes, nothing new, or the reason why it can't contain them.
func TestHandlerServesChanges(t *testing.T) {
	source := newMemorySource()
	source.apply(t, manyPlans(3)...)
	server := serve(t, NewHandler(source)).Listener.Addr().String()
	client := newWireClient(t)

	empty := (&records.Store{}).Digest()
	response, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Digest: &empty})
	testwait.Must(t, err)
	if response.Version != 1 || response.Delta == nil || len(response.Delta.Puts) != 3 {
		t.Fatalf("%+v", response)
	}
	// The same request again is served from the cache.
	again, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Digest: &empty})
	testwait.Must(t, err)
	if again.Delta == nil || again.Delta.Digest != response.Delta.Digest {
		t.Fatalf("%+v", again)
	}
	if response, err = requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 5}); err != nil || !response.Behind || response.Version != 1 {
		t.Fatalf("%+v, %v", response, err)
	}
	if response, err = requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 1, Digest: &records.Digest{1}}); err != nil || response.Repair != records.RepairDigest {
		t.Fatalf("%+v, %v", response, err)
	}
	digest := source.digest()
	if response, err = requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 1, Digest: &digest}); err != nil || !response.UpToDate() {
		t.Fatalf("%+v, %v", response, err)
	}
}

// A request waits for a change until its client closes the connection or its wait expires. It must
// then release its slot.
func TestHandlerWaitsForAChange(t *testing.T) {
	source := newMemorySource()
	source.apply(t, plan("gold", 1))
	handler := NewHandler(source)
	server := serve(t, handler).Listener.Addr().String()
	client := newWireClient(t)
	digest := source.digest()
	request := records.ChangesRequest{Since: 1, Digest: &digest, Wait: records.MaxWait}

	responses := make(chan records.ChangesResponse, 1)
	go func() {
		response, err := requestChanges(t.Context(), client, server, request)
		if err != nil {
			t.Error(err)
		}
		responses <- response
	}()
	testwait.Until(t, testTimeout, "the request waits", func() bool { return handler.Waiting() == 1 })
	source.apply(t, plan("silver", 1))
	if response := <-responses; response.Version != 2 || response.Delta == nil {
		t.Fatalf("%+v", response)
	}
	testwait.Until(t, testTimeout, "no request waits", func() bool { return handler.Waiting() == 0 })

	// A request whose client closes the connection releases its slot.
	ctx, cancel := context.WithCancel(t.Context())
	canceled := make(chan error, 1)
	digest = source.digest()
	go func() {
		_, err := requestChanges(ctx, client, server, records.ChangesRequest{Since: 2, Digest: &digest, Wait: records.MaxWait})
		canceled <- err
	}()
	testwait.Until(t, testTimeout, "the request waits", func() bool { return handler.Waiting() == 1 })
	cancel()
	if err := <-canceled; err == nil {
		t.Fatal("a canceled request received a response")
	}
	testwait.Until(t, testTimeout, "its slot is free", func() bool { return handler.Waiting() == 0 })

	// Without a change, the wait expires.
	response, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 2, Digest: &digest, Wait: time.Millisecond})
	if err != nil || !response.UpToDate() {
		t.Fatalf("%+v, %v", response, err)
	}
}

// At most MaxWaiting requests wait; others are rejected.
func TestHandlerBoundsWaiting(t *testing.T) {
	source := newMemorySource()
	handler := NewHandler(source)
	for range MaxWaiting {
		handler.waitingSlots <- struct{}{}
	}
	server := serve(t, handler).Listener.Addr().String()
	client := newWireClient(t)
	_, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Wait: records.MaxWait})
	rejected, ok := errors.AsType[*statusError](err)
	if !ok || rejected.code != http.StatusServiceUnavailable {
		t.Fatalf("a request above MaxWaiting: %v", err)
	}
	if response, err := requestChanges(t.Context(), client, server, records.ChangesRequest{}); err != nil || !response.UpToDate() {
		t.Fatalf("a request that does not wait: %+v, %v", response, err)
	}
}

// The digests and the content of ranges are sufficient for a repair.
func TestHandlerServesRanges(t *testing.T) {
	source := newMemorySource()
	source.apply(t, manyPlans(500)...)
	server := serve(t, NewHandler(source)).Listener.Addr().String()
	client := newWireClient(t)
	body, err := client.do(t.Context(), server, records.DigestsRequest{})
	testwait.Must(t, err)
	digests, err := records.DecodeRangeDigests(body)
	testwait.Must(t, err)
	if digests.Version != 1 || digests.Digest != source.digest() {
		t.Fatalf("%+v", digests)
	}
	replica := &records.Replica{}
	repair := records.NewRepair(replica)
	chunks := 0
	for repair.Next() == records.NeedContent {
		body, err := client.do(t.Context(), server, records.ContentRequest{Ranges: repair.Pending(), MaxBytes: 10_000})
		testwait.Must(t, err)
		chunk, err := records.DecodeChunk(body)
		testwait.Must(t, err)
		testwait.Must(t, repair.StageChunk(chunk))
		chunks++
	}
	response, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Since: repair.Since()})
	testwait.Must(t, err)
	delta := records.Delta{From: response.Version, To: response.Version, Digest: response.Digest}
	testwait.Must(t, repair.Finish(replica, delta))
	if chunks < 2 || replica.Digest() != source.digest() {
		t.Fatalf("%d chunks, digest %s", chunks, replica.Digest())
	}
}

// An invalid query has status 400 and a body that names the parameter.
func TestHandlerRejectsInvalidQueries(t *testing.T) {
	source := newMemorySource()
	url := serve(t, NewHandler(source)).URL
	for path, want := range map[string]string{
		ChangesPath:                                     `since="" is no version`,
		ChangesPath + "?since=-1":                       `since="-1" is no version`,
		ChangesPath + "?since=1&digest=xy":              "want 32 hexadecimal digits",
		ChangesPath + "?since=1&wait_ms=soon":           `wait_ms="soon"`,
		ContentPath + "?ranges=9-3&max_bytes=1":         "ascending",
		ContentPath + "?ranges=1&max_bytes=-1":          `max_bytes="-1"`,
		ContentPath + "?ranges=1024&max_bytes=1":        "ranges",
		ContentPath + "?max_bytes=1000":                 "ranges",
		ContentPath + "?ranges=1&max_bytes=99999999999": "max_bytes",
	} {
		response, err := http.Get(url + path)
		testwait.Must(t, err)
		text, err := io.ReadAll(response.Body)
		testwait.Must(t, err)
		response.Body.Close()
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), want) {
			t.Errorf("%s: %s %s, want %q", path, response.Status, text, want)
		}
	}
	response, err := http.Post(url+ChangesPath, "text/plain", nil)
	testwait.Must(t, err)
	response.Body.Close()
	if response.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("POST: %s", response.Status)
	}
}

// blockedSource blocks every read until it is released, and counts the reads in progress.
type blockedSource struct {
	*memorySource
	release    chan struct{}
	reading    atomic.Int64
	maxReading atomic.Int64
}

// ReadRecords implements Source.
func (s *blockedSource) ReadRecords(read func(*records.Store)) {
	now := s.reading.Add(1)
	defer s.reading.Add(-1)
	for highest := s.maxReading.Load(); now > highest && !s.maxReading.CompareAndSwap(highest, now); highest = s.maxReading.Load() {
	}
	<-s.release
	s.memorySource.ReadRecords(read)
}

// Of many concurrent requests for the content of ranges, at most maxConcurrentContents are encoded
// at a time, which bounds memory; the others wait, and all are served.
func TestHandlerLimitsConcurrentContents(t *testing.T) {
	source := &blockedSource{memorySource: newMemorySource(), release: make(chan struct{})}
	source.apply(t, manyPlans(3)...)
	server := serve(t, NewHandler(source))
	release := sync.OnceFunc(func() { close(source.release) })
	t.Cleanup(release) // also if the test fails: the server's Close waits for its requests
	const followers = 8 * maxConcurrentContents
	statuses := make(chan int, followers)
	query := formatContentQuery(records.ContentRequest{Ranges: []int{0, 1, 2}, MaxBytes: 1 << 16}).Encode()
	for range followers {
		go func() {
			response, err := http.Get(server.URL + ContentPath + "?" + query)
			if err != nil {
				t.Error(err)
				statuses <- 0
				return
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
			statuses <- response.StatusCode
		}()
	}
	testwait.Until(t, testTimeout, "all slots are in use", func() bool { return source.reading.Load() == maxConcurrentContents })
	release()
	for range followers {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if highest := source.maxReading.Load(); highest > maxConcurrentContents {
		t.Errorf("%d responses were encoded at once, the limit is %d", highest, maxConcurrentContents)
	}
}
