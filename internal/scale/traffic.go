package scale

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections as TCP's payload. Its zero value is
// ready; it may be used by several goroutines.
type Traffic struct{ received, sent atomic.Int64 }

// Received returns how many bytes have come in.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns how many bytes have gone out.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Total returns how many bytes have come in and gone out.
func (t *Traffic) Total() int64 { return t.Received() + t.Sent() }

// dialer opens connections that are counted by each of some counters.
type dialer struct {
	net.Dialer
	counters []*Traffic
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConnection{connection, d.counters}, nil
}

type countedConnection struct {
	net.Conn
	counters []*Traffic
}

func (c *countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, t := range c.counters {
		t.received.Add(int64(n))
	}
	return n, err
}

func (c *countedConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	for _, t := range c.counters {
		t.sent.Add(int64(n))
	}
	return n, err
}
