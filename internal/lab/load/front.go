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
	maxIdleConns   = 256 // idle connections kept per gateway
	idleTimeout    = 30 * time.Second
	readBufferSize = 4 << 10
)

// Front is the client-side load balancer: it routes requests to the gateways that are up and pools the connections to
// them. It is safe for concurrent use.
type Front struct {
	mu        sync.Mutex
	endpoints []*endpoint
}

// endpoint is the address, state and connection pool of one gateway.
type endpoint struct {
	name    string
	address string
	up      bool
	idle    []*conn // most recently used last
	open    map[*conn]struct{}
}

// conn is a pooled connection to a gateway that carries one request at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	reused    bool
	idleSince time.Time
}

// NewFront returns a Front for the named gateways, all of them down until Take is called.
func NewFront(names []string) *Front {
	f := &Front{}
	for _, n := range names {
		f.endpoints = append(f.endpoints, &endpoint{name: n, open: map[*conn]struct{}{}})
	}
	return f
}

// Take marks a gateway as up at the given address.
func (f *Front) Take(g int, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[g].address, f.endpoints[g].up = address, true
}

// Leave marks a gateway as down. Its connections are not closed; they last until either side ends them.
func (f *Front) Leave(g int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[g].up = false
}

// Close closes all connections, idle and in use.
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

// route returns the gateway that a request for g goes to: g if it is up, else the first one of the customer's set that
// is up. If none is, it returns g all the same.
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

// get returns an idle connection to a gateway, or dials a new one. With fresh it always dials.
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

// put returns a connection to the pool. It closes the connection if it is not reusable or the pool is full.
func (f *Front) put(g int, c *conn, reusable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint := f.endpoints[g]
	if reusable && len(endpoint.idle) < maxIdleConns {
		c.idleSince = time.Now()
		endpoint.idle = append(endpoint.idle, c)
		return
	}
	c.Close()
	delete(endpoint.open, c)
}
