package counter

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"elderyard/internal/standin/counter"
	"elderyard/internal/standin/link"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

// countingRelay passes connections on to an address and counts the bytes each way.
type countingRelay struct {
	listener       net.Listener
	sent, received atomic.Int64
	running        sync.WaitGroup
}

func startCountingRelay(t *testing.T, address string) *countingRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &countingRelay{listener: listener}
	t.Cleanup(func() { listener.Close(); relay.running.Wait() })
	relay.running.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			relay.running.Go(func() { relay.pass(far, near, &relay.sent) })
			relay.running.Go(func() { relay.pass(near, far, &relay.received) })
		}
	})
	return relay
}

// pass copies until one side ends, and then ends the other.
func (r *countingRelay) pass(to, from net.Conn, count *atomic.Int64) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		count.Add(int64(n))
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// What one call costs on the wire, without headers of TCP and IP. The figure of
// docs/capacity/slopes.json is the one that this logs.
func TestBytesOfACall(t *testing.T) {
	door, err := link.Listen("g0")
	if err != nil {
		t.Fatal(err)
	}
	far, err := counter.Start(counter.Config{Parts: 1, Conns: lanes * laneConns, Idle: testpeer.Patience, MostRecords: 1}, door)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Close)
	relay := startCountingRelay(t, far.Address("g0"))
	client, _, _ := startCounter(t, relay.listener.Addr().String())

	const calls = 500
	ended := make(chan rules.Outcome, 1)
	for i := range calls {
		call := &Call{Key: uint64(i) * 0x9e3779b97f4a7c15, Amount: 1.5, TTL: 20 * time.Second}
		call.Report = func(_ *Call, outcome rules.Outcome, _ float64) { ended <- outcome }
		if !client.Add(call) {
			t.Fatal("the lane is full")
		}
		if outcome := testpeer.Wait(t, ended, "reply"); outcome != rules.Served {
			t.Fatalf("call %d: outcome %v", i, outcome)
		}
	}
	sent, received := relay.sent.Load(), relay.received.Load()
	t.Logf("%d calls: %.1f bytes sent and %.1f received for each", calls, float64(sent)/calls, float64(received)/calls)
	if sent < 64*calls || sent > 256*calls || received < 32*calls || received > 128*calls {
		t.Errorf("%d bytes sent, %d received by %d calls", sent, received, calls)
	}
}
