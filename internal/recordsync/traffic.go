package recordsync

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections, HTTP headers included. Its zero value is ready for
// use. It is safe for concurrent use.
type Traffic struct{ received, sent atomic.Int64 }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Dialer opens a connection, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Count wraps a dialer so that the bytes of its connections are counted.
func (t *Traffic) Count(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
