package recordsync

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"elderyard/records"
)

func TestHandlerServesChanges(t *testing.T) {
	source := newMemorySource()
	source.apply(t, manyPlans(3)...)
	server := serve(t, NewHandler(source)).Listener.Addr().String()
	client := newWireClient(t)

	empty := (&records.Store{}).Digest()
	answer, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Digest: &empty})
	must(t, err)
	if answer.Version != 1 || answer.Delta == nil || len(answer.Delta.Puts) != 3 {
		t.Fatalf("%+v", answer)
	}
	// The same again is answered from what was encoded before.
	again, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Digest: &empty})
	must(t, err)
	if again.Delta == nil || again.Delta.Digest != answer.Delta.Digest {
		t.Fatalf("%+v", again)
	}
	if answer, err = requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 5}); err != nil || !answer.Behind || answer.Version != 1 {
		t.Fatalf("%+v, %v", answer, err)
	}
	if answer, err = requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 1, Digest: &records.Digest{1}}); err != nil || answer.Repair != records.RepairDigest {
		t.Fatalf("%+v, %v", answer, err)
	}
	digest := source.digest()
	if answer, err = requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 1, Digest: &digest}); err != nil || !answer.NothingNew() {
		t.Fatalf("%+v, %v", answer, err)
	}
}

func TestHandlerWaitsForAChange(t *testing.T) {
	source := newMemorySource()
	source.apply(t, plan("gold", 1))
	handler := NewHandler(source)
	server := serve(t, handler).Listener.Addr().String()
	client := newWireClient(t)
	digest := source.digest()
	request := records.ChangesRequest{Since: 1, Digest: &digest, Wait: records.MaxWait}

	answers := make(chan records.ChangesResponse, 1)
	go func() {
		answer, err := requestChanges(t.Context(), client, server, request)
		if err != nil {
			t.Error(err)
		}
		answers <- answer
	}()
	until(t, "the request waits", func() bool { return handler.Waiting() == 1 })
	source.apply(t, plan("silver", 1))
	if answer := <-answers; answer.Version != 2 || answer.Delta == nil {
		t.Fatalf("%+v", answer)
	}
	until(t, "nobody waits", func() bool { return handler.Waiting() == 0 })

	// One that goes away gives its place back.
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan error, 1)
	digest = source.digest()
	go func() {
		_, err := requestChanges(ctx, client, server, records.ChangesRequest{Since: 2, Digest: &digest, Wait: records.MaxWait})
		gone <- err
	}()
	until(t, "the request waits", func() bool { return handler.Waiting() == 1 })
	cancel()
	if err := <-gone; err == nil {
		t.Fatal("a request that was given up was answered")
	}
	until(t, "its place is free", func() bool { return handler.Waiting() == 0 })

	// With nothing new the wait ends by itself.
	answer, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Since: 2, Digest: &digest, Wait: time.Millisecond})
	if err != nil || !answer.NothingNew() {
		t.Fatalf("%+v, %v", answer, err)
	}
}

func TestHandlerBoundsWaiting(t *testing.T) {
	source := newMemorySource()
	handler := NewHandler(source)
	for range MaxWaiting {
		handler.waitingSlots <- struct{}{}
	}
	server := serve(t, handler).Listener.Addr().String()
	client := newWireClient(t)
	_, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Wait: records.MaxWait})
	if err == nil || !strings.Contains(err.Error(), "503") {
		t.Fatalf("one more than may wait: %v", err)
	}
	if answer, err := requestChanges(t.Context(), client, server, records.ChangesRequest{}); err != nil || !answer.NothingNew() {
		t.Fatalf("one that does not wait: %+v, %v", answer, err)
	}
}

func TestHandlerServesRanges(t *testing.T) {
	source := newMemorySource()
	source.apply(t, manyPlans(500)...)
	server := serve(t, NewHandler(source)).Listener.Addr().String()
	client := newWireClient(t)
	body, err := client.do(t.Context(), server, records.DigestsRequest{})
	must(t, err)
	digests, err := records.DecodeRangeDigests(body)
	must(t, err)
	if digests.Version != 1 || digests.Digest != source.digest() {
		t.Fatalf("%+v", digests)
	}
	replica := &records.Replica{}
	repair := records.NewRepair(replica)
	chunks := 0
	for repair.Next() == records.NeedContent {
		body, err := client.do(t.Context(), server, records.ContentRequest{Ranges: repair.Pending(), MaxBytes: 10_000})
		must(t, err)
		chunk, err := records.DecodeChunk(body)
		must(t, err)
		must(t, repair.StageChunk(chunk))
		chunks++
	}
	answer, err := requestChanges(t.Context(), client, server, records.ChangesRequest{Since: repair.Since()})
	must(t, err)
	delta := records.Delta{From: answer.Version, To: answer.Version, Digest: answer.Digest}
	must(t, repair.Finish(replica, delta))
	if chunks < 2 || replica.Digest() != source.digest() {
		t.Fatalf("%d chunks, digest %s", chunks, replica.Digest())
	}
}

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
		must(t, err)
		text, err := io.ReadAll(response.Body)
		must(t, err)
		response.Body.Close()
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), want) {
			t.Errorf("%s: %s %s, want %q", path, response.Status, text, want)
		}
	}
	response, err := http.Post(url+ChangesPath, "text/plain", nil)
	must(t, err)
	response.Body.Close()
	if response.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("POST: %s", response.Status)
	}
}

// blockedSource holds every reading until it is released, and counts those under way.
type blockedSource struct {
	*memorySource
	release    chan struct{}
	reading    atomic.Int64
	maxReading atomic.Int64
}

func (s *blockedSource) ReadRecords(read func(*records.Store)) {
	now := s.reading.Add(1)
	defer s.reading.Add(-1)
	for most := s.maxReading.Load(); now > most && !s.maxReading.CompareAndSwap(most, now); most = s.maxReading.Load() {
	}
	<-s.release
	s.memorySource.ReadRecords(read)
}

// However many followers ask for the content of ranges at once, a few answers are made at
// a time; the others wait for their turn, and all are answered.
func TestHandlerLimitsConcurrentContents(t *testing.T) {
	source := &blockedSource{memorySource: newMemorySource(), release: make(chan struct{})}
	source.apply(t, manyPlans(3)...)
	server := httptest.NewServer(NewHandler(source))
	defer server.Close()
	release := sync.OnceFunc(func() { close(source.release) })
	defer release() // also where the test fails: the server's end waits for its requests
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
	until(t, "as many as may be are made", func() bool { return source.reading.Load() == maxConcurrentContents })
	release()
	for range followers {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if most := source.maxReading.Load(); most > maxConcurrentContents {
		t.Errorf("%d were made at once, at most %d may be", most, maxConcurrentContents)
	}
}
