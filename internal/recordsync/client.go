package recordsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"elderyard/records"
)

// maxErrorTextBytes bounds what is read of a server's error, in bytes.
const maxErrorTextBytes = 256

// Traffic counts the bytes of connections, heads included. Its zero value is ready;
// it may be used by several goroutines.
type Traffic struct{ read, written atomic.Int64 }

// Read returns how many bytes have come in.
func (t *Traffic) Read() int64 { return t.read.Load() }

// Written returns how many bytes have gone out.
func (t *Traffic) Written() int64 { return t.written.Load() }

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
	c.traffic.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.written.Add(int64(n))
	return n, err
}

// serverClient asks servers.
type serverClient struct {
	http *http.Client
	base func(server string) string // the URL of a server, without a path
}

// do sends a request to a server and returns the answer's body as it came. The
// body is bounded; whether it makes sense is for the follower to judge.
func (c *serverClient) do(ctx context.Context, server string, query records.Request) ([]byte, error) {
	target, err := requestTarget(query)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base(server)+target, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", server, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, withoutURL(err) // the follower names the server
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorTextBytes))
		return nil, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, records.MaxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return body, nil
}

// withoutURL takes off what an HTTP client says of the call beside the cause.
func withoutURL(err error) error {
	var inner *url.Error
	if errors.As(err, &inner) {
		return inner.Err
	}
	return err
}

// requestTarget returns the path and query of a request.
func requestTarget(query records.Request) (string, error) {
	switch asked := query.(type) {
	case records.ChangesRequest:
		return ChangesPath + "?" + formatChangesQuery(asked).Encode(), nil
	case records.DigestsRequest:
		return RangesPath, nil
	case records.ContentRequest:
		return ContentPath + "?" + formatContentQuery(asked).Encode(), nil
	}
	return "", fmt.Errorf("a request of type %T is not known", query)
}
