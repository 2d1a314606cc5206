package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"elderyard/internal/testpeer"
)

// A malformed update must not keep a backend in use that a valid one would drain, nor affect the other
// entries beside it.
func TestMalformedDrainUpdate(t *testing.T) {
	t.Parallel()
	for name, entry := range map[string]string{
		"unknown zone":        `"zone": "z", "lifecycle": "Terminating", "weight": 1`,
		"no zone":             `"lifecycle": "Terminating"`,
		"invalid weight":      `"zone": "a", "lifecycle": "Terminating", "weight": "heavy"`,
		"negative start time": `"zone": "a", "lifecycle": "Terminating", "startedAtMs": -5`,
		"unknown lifecycle":   `"zone": "a", "lifecycle": "Draining", "weight": 1`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, other := newPeer(t), newPeer(t)
			gw := startGateway(t, one, other)
			wait(t, gw.registry.Queries, "first list")
			wait(t, gw.registry.Queries, "watch")
			gw.registry.Responses <- fmt.Sprintf(`{"generation": 2, "instances": [{"instanceId": %q, %s},
				{"instanceId": %q, "zone": "a", "machineType": "m", "lifecycle": "Terminating", "weight": 1}]}`, one.Address(), entry, other.Address())
			if query := wait(t, gw.registry.Queries, "next watch"); query != "since=2&timeout_ms=4000" {
				t.Errorf("asked %q", query)
			}
			_, responses := gw.send(t, requestText("GET", "glance", ""))
			if resp := wait(t, responses, "response"); resp.StatusCode != 429 || len(one.Conns)+len(other.Conns) != 0 {
				t.Errorf("status %d, %d and %d connections to draining backends", resp.StatusCode, len(one.Conns), len(other.Conns))
			}
		})
	}
}

// A watch that stalls before its headers, within its body or right after it was reopened is given up, and
// the next one returns the update that it missed.
func TestStalledWatch(t *testing.T) {
	t.Parallel()
	for name, partial := range map[string]string{"from its first byte": "", "after its headers": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n",
		"within its body": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"generation\": 2, "} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, agent := newPeer(t), newPeer(t)
			gw := startGateway(t, backend)
			next := strings.Replace(*gw.config.Load(), gw.registry.Address(), agent.Address(), 1)
			gw.config.Store(&next)
			gw.reload <- nil
			list := `{"generation": 1, "instances": [{"instanceId": "s1", "hostPort": "` + backend.Address() + `", "zone": "a", "lifecycle": "Ready", "weight": 1}]}`
			conn, br := agent.Accept(t)
			readRequest(t, br)
			testpeer.WriteCounterResponse(conn, http.StatusOK, list)
			req, _ := readRequest(t, br)
			for range 2 { // the watch stalls, and so does the reopened one
				if got := req.URL.RawQuery; got != "since=1&timeout_ms=4000" {
					t.Fatalf("asked %q", got)
				}
				io.WriteString(conn, partial)
				var again net.Conn
				again, br = agent.Accept(t) // a new connection: the gateway gave up the stalled one
				if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
					t.Errorf("the stalled connection stays open: %v", err)
				}
				req, _ = readRequest(t, br)
				conn = again
			}
			testpeer.WriteCounterResponse(conn, http.StatusOK, strings.Replace(strings.Replace(list, "Ready", "Terminating", 1), ": 1,", ": 2,", 1))
			if req, _ := readRequest(t, br); req.URL.RawQuery != "since=2&timeout_ms=4000" {
				t.Errorf("asked %q", req.URL.RawQuery)
			}
			_, responses := gw.send(t, requestText("GET", "glance", ""))
			if resp := wait(t, responses, "response"); resp.StatusCode != 429 || len(backend.Conns) != 0 {
				t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.Conns))
			}
		})
	}
}
