package discovery

import (
	"context"
	"flag"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"elderyard/internal/standin/link"
	"elderyard/internal/standin/registry"
	"elderyard/internal/testpeer"
)

// The figures in docs/capacity/slopes.json were measured with -list-sizes 1100,2200,4400,8800,17600.
var listSizes = flag.String("list-sizes", "50", "sizes of lists of backends whose bytes are counted, such as 50,100")

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Measures the bytes that a gateway sends and receives for a full list, a watch without changes and a change of one backend.
func TestBytesOfLists(t *testing.T) {
	for _, text := range strings.Split(*listSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { countListBytes(t, size) })
	}
}

// countListBytes runs the measurement for a list of the given size.
func countListBytes(t *testing.T, size int) {
	listener, err := link.Listen("g0")
	if err != nil {
		t.Fatal(err)
	}
	server := registry.Start(func(_, id string) string { return "10.20.30.40:8080" }, 1, listener)
	t.Cleanup(server.Close)
	backend := func(i int, started int64) registry.Instance {
		return registry.Instance{ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Zone: fmt.Sprintf("zone-%d", i%4), Type: "standard-8", Cell: i % 64,
			Lifecycle: registry.Ready, Weight: 1, StartedAt: started}
	}
	const started = 1_790_000_000_000 // a start time in milliseconds with a realistic number of digits
	for i := range size {
		server.Set(backend(i, started))
	}

	var bytes atomic.Int64
	var dialer net.Dialer
	type response struct {
		Listing
		bytes int64 // of all calls and responses up to this one
	}
	listings := make(chan response, 64)
	watcher := newWatcher(server.Address("g0"), func(l Listing) { listings <- response{l, bytes.Load()} }, func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		return countingConn{c, &bytes}, err
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { watcher.Run(ctx) })
	defer func() { cancel(); running.Wait() }()

	list := testpeer.Receive(t, listings, "the whole list")
	if !list.Reset || len(list.Instances) != size {
		t.Fatalf("reset %v, %d instances of %d", list.Reset, len(list.Instances), size)
	}
	empty := testpeer.Receive(t, listings, "a watch without news")
	if empty.Reset || len(empty.Instances) != 0 {
		t.Fatalf("%+v", empty)
	}
	server.Set(backend(0, started+1))
	change := testpeer.Receive(t, listings, "one change")
	if change.Reset || len(change.Instances) != 1 {
		t.Fatalf("%+v", change)
	}
	t.Logf("%d backends: a whole list %d bytes, a watch without news %d, one change %d", size, list.bytes, empty.bytes-list.bytes, change.bytes-empty.bytes)
}
