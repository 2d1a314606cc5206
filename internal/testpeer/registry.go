package testpeer

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Registry is a discovery whose answers a test gives one by one.
type Registry struct {
	*httptest.Server
	Queries   chan string // the query of each call
	Responses chan any    // a status, text, nil for a connection that ends, else what is sent as JSON
}

// NewRegistry starts one for the length of a test.
func NewRegistry(t *testing.T) *Registry {
	r := &Registry{Queries: make(chan string, 64), Responses: make(chan any, 64)}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.Queries <- q.URL.RawQuery
		select {
		case <-q.Context().Done():
		case a := <-r.Responses:
			switch a := a.(type) {
			case string:
				w.Write([]byte(a))
			case nil:
				panic(http.ErrAbortHandler)
			case int:
				w.WriteHeader(a)
			default:
				json.NewEncoder(w).Encode(a)
			}
		}
	}))
	t.Cleanup(r.Server.Close)
	return r
}

// Address is where it listens.
func (r *Registry) Address() string { return r.Listener.Addr().String() }
