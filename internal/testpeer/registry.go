package testpeer

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Registry is a discovery server that sends the responses that a test supplies, one for each call.
type Registry struct {
	*httptest.Server
	Queries   chan string // raw query of each call
	Responses chan any    // int: a status; string: a body; nil: the connection is aborted; else a value sent as JSON
}

// NewRegistry starts a discovery server that is closed at the end of the test.
func NewRegistry(t *testing.T) *Registry {
	r := &Registry{Queries: make(chan string, 64), Responses: make(chan any, 64)}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.Queries <- request.URL.RawQuery
		select {
		case <-request.Context().Done():
		case response := <-r.Responses:
			switch response := response.(type) {
			case string:
				w.Write([]byte(response))
			case nil:
				panic(http.ErrAbortHandler)
			case int:
				w.WriteHeader(response)
			default:
				json.NewEncoder(w).Encode(response)
			}
		}
	}))
	t.Cleanup(r.Server.Close)
	return r
}

// Address returns the address that the server listens on.
func (r *Registry) Address() string { return r.Listener.Addr().String() }
