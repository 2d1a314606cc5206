package gateway

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"elderyard/rules"
)

// startTimeResolution is that of the start times in lists.
const startTimeResolution = time.Millisecond

// nextStartTime returns a start time that is after everything so far and not after anything that follows.
func nextStartTime() time.Time {
	time.Sleep(2 * startTimeResolution)
	return time.Now().Truncate(startTimeResolution)
}

// startSeconds returns a start time as pools.update takes it.
func startSeconds(start time.Time) float64 { return float64(start.UnixMilli()) / 1000 }

// Guards against a list that reports a backend's restart seconds late cutting off the responses that the new process is
// sending: only connections to the earlier process end, also those on which it is silent.
func TestRestartReportedLate(t *testing.T) {
	t.Parallel()
	const half = 100_000 // bytes
	backend := newPeer(t)
	gw := startGateway(t, backend)
	wait(t, gw.registry.Queries, "first list")
	wait(t, gw.registry.Queries, "watch")
	_, retried := gw.send(t, requestText("GET", "lookup", ""))
	_, earlier := backend.Accept(t)
	readRequest(t, earlier)

	start := nextStartTime()
	_, streamed := gw.send(t, requestText("GET", "lookup", ""))
	streaming, br := backend.Accept(t)
	readRequest(t, br)
	io.WriteString(streaming, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", half))
	stream := wait(t, streamed, "start of the streamed response")
	_, short := gw.send(t, requestText("POST", "payment", "x"))
	running, br := backend.Accept(t)
	readRequest(t, br)
	_, served := gw.send(t, requestText("GET", "lookup", ""))
	idle, idleReader := backend.Accept(t)
	readRequest(t, idleReader)
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	io.WriteString(idle, ok)
	wait(t, served, "response")
	time.Sleep(2 * reuseDelay)

	restarted := newListing(false, "Ready", backend)
	restarted.Generation, restarted.Instances[0].StartedAtMs = 2, start.UnixMilli()
	gw.registry.Responses <- restarted
	if _, err := earlier.ReadByte(); err != io.EOF {
		t.Errorf("the connection to the earlier process: %v", err)
	}
	io.WriteString(streaming, strings.Repeat("x", half))
	if n, err := io.Copy(io.Discard, stream.Body); n != 2*half || err != nil {
		t.Errorf("the response that the new process was sending: %d bytes, %v", n, err)
	}
	io.WriteString(running, ok)
	if resp := wait(t, short, "response to the request that the new process held"); resp.StatusCode != 200 {
		t.Errorf("the request that the new process held: status %d", resp.StatusCode)
	}
	readRequest(t, idleReader) // the request that the earlier process held, on the idle connection to the new one
	io.WriteString(idle, ok)
	if resp := wait(t, retried, "response to the request that the earlier process held"); resp.StatusCode != 200 {
		t.Errorf("the request that the earlier process held: status %d", resp.StatusCode)
	}
	if n := len(backend.Conns); n > 0 {
		t.Errorf("%d more connections to the backend", n)
	}
}

// Guards against a late report of a restart failing the requests whose connection to the new process is just being made.
func TestRestartReportedDuringDial(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	dialing, release := make(chan struct{}), make(chan struct{})
	p.dialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialing)
		select {
		case <-release:
			return net.Dial(network, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	done := startAttempt(p, newAttempt(testTimeout))
	wait(t, dialing, "dial")
	p.update(1, backend.Address(), startSeconds(nextStartTime()))
	close(release)
	serveOnce(t, backend, "ok")
	if got := wait(t, done, "result"); got.outcome != rules.Served {
		t.Errorf("outcome %d", got.outcome)
	}
}

// Guards against a backend whose clock is ahead of the gateway's getting no connections until the reported start: once a
// restart has been reported, new connections are to the new process.
func TestRestartReportedFromTheFuture(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	inFlight := startAttempt(p, newAttempt(testTimeout))
	_, earlier := backend.Accept(t)
	readRequest(t, earlier)
	p.update(1, backend.Address(), startSeconds(time.Now().Add(time.Hour)))
	if got := wait(t, inFlight, "result"); got.outcome != rules.ConnectionBroken {
		t.Errorf("in flight at the earlier process: outcome %d", got.outcome)
	}
	done := startAttempt(p, newAttempt(testTimeout))
	serveOnce(t, backend, "ok")
	if got := wait(t, done, "result"); got.outcome != rules.Served || p.openConns != 1 {
		t.Errorf("at the new process: outcome %d, %d open", got.outcome, p.openConns)
	}
}
