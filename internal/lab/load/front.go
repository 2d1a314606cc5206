package load

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout    = time.Second
	maxIdleConns   = 256 // connections kept for a gateway
	idleTimeout    = 30 * time.Second
	readBufferSize = 4 << 10
)

// Front deals out requests among the gateways. It takes in one that is ready
// and leaves out one that it knows to be down. It is safe for concurrent use.
type Front struct {
	mu        sync.Mutex
	endpoints []*endpoint
}

// gate is the way to one gateway.
type endpoint struct {
	name    string
	address string
	up      bool
	idle    []*conn // the most recently used last
	open    map[*conn]struct{}
}

// conn is one connection of the front to a gateway, for one request at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	reused    bool
	idleSince time.Time
}

// NewFront returns a front of the named gateways, none of them in.
func NewFront(names []string) *Front {
	f := &Front{}
	for _, n := range names {
		f.endpoints = append(f.endpoints, &endpoint{name: n, open: map[*conn]struct{}{}})
	}
	return f
}

// Take takes a gateway in at an address.
func (f *Front) Take(g int, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[g].address, f.endpoints[g].up = address, true
}

// Leave leaves a gateway out. Its connections stay until they end by themselves.
func (f *Front) Leave(g int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[g].up = false
}

// Close closes all connections.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.endpoints {
		for c := range g.open {
			c.Close()
		}
		g.idle = nil
	}
}

// route is the gateway that a request for g goes to: itself, or the next one of
// the customer's set that is in. If none is, it goes to g all the same.
func (f *Front) route(k *Customer, g int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endpoints[g].up {
		return g
	}
	for i := range k.Spread {
		if n := (k.First + i) % len(f.endpoints); f.endpoints[n].up {
			return n
		}
	}
	return g
}

func (f *Front) name(g int) string { return f.endpoints[g].name }

// get returns an idle connection to a gateway, or a new one.
func (f *Front) get(ctx context.Context, g int, fresh bool) (*conn, error) {
	f.mu.Lock()
	endpoint := f.endpoints[g]
	for len(endpoint.idle) > 0 && !fresh {
		c := endpoint.idle[len(endpoint.idle)-1]
		endpoint.idle = endpoint.idle[:len(endpoint.idle)-1]
		if time.Since(c.idleSince) < idleTimeout {
			f.mu.Unlock()
			c.reused = true
			return c, nil
		}
		c.Close()
		delete(endpoint.open, c)
	}
	address := endpoint.address
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBufferSize)}
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint.open[c] = struct{}{}
	return c, nil
}

// put gives a connection back; one that may not be used again is closed.
func (f *Front) put(g int, c *conn, again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint := f.endpoints[g]
	if again && len(endpoint.idle) < maxIdleConns {
		c.idleSince = time.Now()
		endpoint.idle = append(endpoint.idle, c)
		return
	}
	c.Close()
	delete(endpoint.open, c)
}
