package recordsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"elderyard/records"
)

const testTimeout = time.Minute

var testTime = time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC)

// memorySource is a Source in memory.
type memorySource struct {
	mu      sync.Mutex
	store   *records.Store
	changed chan struct{}
}

func newMemorySource() *memorySource {
	return &memorySource{store: &records.Store{}, changed: make(chan struct{})}
}

// ReadRecords implements Source.
func (s *memorySource) ReadRecords(read func(*records.Store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.store)
}

// RecordsChanged implements Source.
func (s *memorySource) RecordsChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *memorySource) digest() (digest records.Digest) {
	s.ReadRecords(func(store *records.Store) { digest = store.Digest() })
	return digest
}

// apply applies a change at the next version, and fails the test unless it is accepted.
func (s *memorySource) apply(t testing.TB, operations ...records.Operation) uint64 {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.store.Applied() + 1
	result, err := s.store.Apply(version, records.Change{Author: "ann", At: testTime, Operations: operations})
	if err != nil || result.Status != records.Accepted {
		t.Fatalf("%+v (%v), %v", result, result.Problem, err)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return version
}

func (s *memorySource) version() (version uint64) {
	s.ReadRecords(func(store *records.Store) { version = store.Version() })
	return version
}

// plan returns an operation that puts a plan.
func plan(name string, price int) records.Operation {
	value := fmt.Sprintf(`{"price_weight":%d,"requests_per_second":10}`, price)
	return records.Operation{Key: records.Key{Kind: records.Plan, Name: name}, Value: json.RawMessage(value)}
}

// manyPlans returns count plans whose values differ.
func manyPlans(count int) (operations []records.Operation) {
	for i := range count {
		operations = append(operations, plan(fmt.Sprintf("p%05d", i), 1+i))
	}
	return operations
}

func serve(t testing.TB, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// newWireClient returns a client for servers whose names are their addresses.
func newWireClient(t testing.TB) *serverClient {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return &serverClient{http: client, baseURL: func(server string) string { return "http://" + server }}
}

// requestChanges returns the decoded response of a server.
func requestChanges(ctx context.Context, client *serverClient, server string, request records.ChangesRequest) (records.ChangesResponse, error) {
	body, err := client.do(ctx, server, request)
	if err != nil {
		return records.ChangesResponse{}, err
	}
	return records.DecodeChangesResponse(body)
}
