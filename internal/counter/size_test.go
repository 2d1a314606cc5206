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

// countingRelay forwards connections to an address and counts the bytes in each direction.
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
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				client.Close()
				continue
			}
			relay.running.Go(func() { relay.copy(server, client, &relay.sent) })
			relay.running.Go(func() { relay.copy(client, server, &relay.received) })
		}
	})
	return relay
}

// copy copies bytes until one connection ends, and then closes the destination.
func (r *countingRelay) copy(to, from net.Conn, count *atomic.Int64) {
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

// Measures the bytes on the wire per call, without TCP and IP headers. The figure in
// docs/capacity/slopes.json is the one that this test logs.
func TestBytesOfACall(t *testing.T) {
	listener, err := link.Listen("g0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := counter.Start(counter.Config{Parts: 1, Conns: pipelineCount * maxPipelineConns, Idle: testpeer.Timeout, MaxRecords: 1}, listener)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	relay := startCountingRelay(t, server.Address("g0"))
	client, _, _ := startClient(t, relay.listener.Addr().String())

	const calls = 500
	outcomes := make(chan rules.Outcome, 1)
	for i := range calls {
		call := &Call{Key: uint64(i) * 0x9e3779b97f4a7c15, Amount: 1.5, TTL: 20 * time.Second}
		call.Report = func(_ *Call, outcome rules.Outcome, _ float64) { outcomes <- outcome }
		if !client.Add(call) {
			t.Fatal("call queue is full")
		}
		if outcome := testpeer.Receive(t, outcomes, "outcome"); outcome != rules.Served {
			t.Fatalf("call %d: outcome %v", i, outcome)
		}
	}
	sent, received := relay.sent.Load(), relay.received.Load()
	t.Logf("%d calls: %.1f bytes sent and %.1f received for each", calls, float64(sent)/calls, float64(received)/calls)
	if sent < 64*calls || sent > 256*calls || received < 32*calls || received > 128*calls {
		t.Errorf("%d bytes sent, %d received by %d calls", sent, received, calls)
	}
}
