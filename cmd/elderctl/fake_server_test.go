package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// reply is one response of a fakeServer. A body that starts with @ is the name of a file in testdata/answers.
type reply struct {
	status int
	body   string
}

func (r reply) text(t *testing.T) []byte {
	t.Helper()
	name, isFile := strings.CutPrefix(r.body, "@")
	if !isFile {
		return []byte(r.body)
	}
	text, err := os.ReadFile(filepath.Join("testdata", "answers", name))
	if err != nil {
		t.Error(err)
	}
	return text
}

// fakeServer responds to calls from lists of replies by method and URI, and records the calls. The last reply of a list
// is repeated.
type fakeServer struct {
	t       *testing.T
	address string // of its listener

	mu        sync.Mutex
	replies   map[string][]reply
	calls     []string
	callCount int
}

func newFakeServer(t *testing.T, l net.Listener) *fakeServer {
	t.Helper()
	s := &fakeServer{t: t, address: l.Addr().String()}
	server := &http.Server{Handler: s}
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(l) // ends with the server
	}()
	t.Cleanup(func() { server.Close(); <-served })
	return s
}

// fakeAgent returns a server on a local socket.
func fakeAgent(t *testing.T) *fakeServer {
	t.Helper()
	dir, err := os.MkdirTemp("", "golden") // short: the path of a socket has a length limit
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	l, err := net.Listen("unix", filepath.Join(dir, "agent.sock"))
	if err != nil {
		t.Fatal(err)
	}
	return newFakeServer(t, l)
}

// fakeGateway returns a server on a loopback address.
func fakeGateway(t *testing.T, replies map[string][]reply) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newFakeServer(t, l)
	s.prepare(replies)
	return s
}

// ServeHTTP sends the next prepared reply and records the call.
func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.t.Error(err)
	}
	call := r.Method + " " + r.URL.RequestURI()
	s.mu.Lock()
	line := call
	if len(body) > 0 {
		line += " " + string(body)
	}
	if !slices.Contains(s.calls, line) { // polling calls are recorded once
		s.calls = append(s.calls, line)
	}
	s.callCount++
	list := s.replies[call]
	response := reply{http.StatusNotFound, `{"code":"not found","error":"no answer was prepared for ` + call + `"}`}
	if len(list) > 0 {
		response = list[0]
	}
	if len(list) > 1 {
		s.replies[call] = list[1:]
	}
	s.mu.Unlock()
	w.WriteHeader(response.status)
	w.Write(response.text(s.t))
}

// prepare sets the replies for the next runs and discards the recorded calls.
func (s *fakeServer) prepare(replies map[string][]reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies, s.calls, s.callCount = replies, nil, 0
}

func (s *fakeServer) resetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.callCount = nil, 0
}

// waitForCalls waits until the given number of calls was received.
func (s *fakeServer) waitForCalls(callCount int) {
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		received := s.callCount
		s.mu.Unlock()
		if received >= callCount {
			return
		}
		if time.Now().After(end) {
			s.t.Errorf("%d calls received of %d", received, callCount)
			return
		}
	}
}

func (s *fakeServer) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func ok(bodies ...string) (list []reply) {
	for _, b := range bodies {
		list = append(list, reply{http.StatusOK, b})
	}
	return list
}

func failure(code, text string) []reply {
	body, err := json.Marshal(map[string]string{"code": code, "error": text})
	if err != nil {
		panic(err)
	}
	return []reply{{http.StatusConflict, string(body)}}
}
