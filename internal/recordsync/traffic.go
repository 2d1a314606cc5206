package recordsync

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections, heads included. Its zero value is ready;
// it may be used by several goroutines.
type Traffic struct{ received, sent atomic.Int64 }

// Received returns how many bytes have come in.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns how many bytes have gone out.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Count returns a dialer whose connections are counted.
func (t *Traffic) Count(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
