package recordsync

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"elderyard/records"
)

// maxErrorText bounds what is read of a server's error, in bytes.
const maxErrorText = 256

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

// wireClient asks servers. Each answer comes with its size in bytes as received.
type wireClient struct {
	http *http.Client
	base func(server string) string // the URL of a server, without a path
}

func (c *wireClient) changes(ctx context.Context, server string, request records.ChangesRequest) (records.Answer, int, error) {
	return fetch(ctx, c, server, ChangesPath, changesQuery(request), records.DecodeAnswer)
}

func (c *wireClient) rangeDigests(ctx context.Context, server string) (records.RangeDigests, int, error) {
	return fetch(ctx, c, server, RangesPath, nil, records.DecodeRangeDigests)
}

func (c *wireClient) chunk(ctx context.Context, server string, request records.ContentRequest) (records.Chunk, int, error) {
	return fetch(ctx, c, server, ContentPath, contentQuery(request), records.DecodeChunk)
}

// fetch asks a server and reads its answer. The size counts also where the answer
// is damaged: its bytes came all the same.
func fetch[Message any](ctx context.Context, c *wireClient, server, path string, query url.Values, decode func([]byte) (Message, error)) (message Message, size int, err error) {
	target := c.base(server) + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return message, 0, fmt.Errorf("ask %s: %w", server, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return message, 0, fmt.Errorf("ask %s: %w", server, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		return message, len(text), fmt.Errorf("ask %s: %s: %s", server, response.Status, strings.TrimSpace(string(text)))
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, records.MaxMessageBytes+1))
	if err != nil {
		return message, len(data), fmt.Errorf("answer of %s: %w", server, err)
	}
	if message, err = decode(data); err != nil {
		return message, len(data), fmt.Errorf("answer of %s: %w", server, err)
	}
	return message, len(data), nil
}
