package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"elderyard/internal/golden"
)

// fakePeers stands in for the other gateways of the site.
type fakePeers struct{}

func (fakePeers) Run(context.Context, func(share, cold int)) {}
func (fakePeers) Summary() string                            { return "peers: whole for 3s" }
func (fakePeers) AdminHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprintf(w, "what others know, %s\n", r.URL) })
}

// Each path of the operator API with each of its responses. A number in an error of the JSON decoder stays.
func TestGoldenOperatorAPI(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, withOperator, backend)
	var b strings.Builder
	record := func(method, path, body string, status int, header http.Header, response string) {
		fmt.Fprintf(&b, "%s %s %s\n%d %s\n%s", method, path, body, status, header.Get("Content-Type"), response)
	}
	id := fmt.Sprintf(`{"id":%q}`, backend.Address())
	for _, c := range [][3]string{
		{"GET", "/_ready", ""}, {"POST", "/_ready", ""}, {"GET", "/_peers", ""}, {"GET", "/_lameduck/on", ""}, {"POST", "/_lameduck", ""},
		{"POST", "/_backends/detach", `{"id":"never listed"}`}, {"POST", "/_backends/attach", `{"id":"never listed"}`},
		{"POST", "/_backends/detach", ""}, {"POST", "/_backends/detach", `{"id":""}`}, {"POST", "/_backends/detach", `{"id":7}`},
		{"POST", "/_backends/detach", `{"name":"x"}`}, {"POST", "/_backends/detach", id + id},
		{"POST", "/_backends/detach", id}, {"POST", "/_backends/attach", id},
		{"POST", "/_lameduck/on", ""}, {"GET", "/_ready", ""}, {"POST", "/_lameduck/off", ""}, {"GET", "/_ready", ""}, {"GET", "/", ""},
	} {
		req, err := http.NewRequest(c[0], "http://"+gw.operatorAddress+c[1], strings.NewReader(c[2]))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		record(c[0], c[1], strings.ReplaceAll(c[2], backend.Address(), "BACKEND"), resp.StatusCode, resp.Header, string(text))
	}

	// Peers add two paths and one line.
	front := &frontend{}
	front.ready.Store(true)
	known := (&operatorServer{frontend: front, detached: newDetachedFile("", "g0"), peers: fakePeers{}}).handler()
	for _, path := range []string{"/_ready", "/_peers", "/_peers/why?name=g1"} {
		w := httptest.NewRecorder()
		known.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		record("GET", path, "", w.Code, w.Result().Header, w.Body.String())
	}
	golden.Text(t, "operator.txt", b.String())
}

// The name and content of the file of detached backends.
func TestGoldenDetachedFile(t *testing.T) {
	file := newDetachedFile(t.TempDir(), "north/g 0")
	for _, id := range []string{"n2", "n1"} {
		if err := file.record(id, true); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file.path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "out-by-hand.txt", file.path[strings.LastIndex(file.path, "/")+1:]+"\n"+string(text)+"\n")
}
