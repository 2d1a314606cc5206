package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// serveConnections forwards connections to the endpoint's member until the listener is closed.
func (e *endpoint) serveConnections() {
	for {
		c, err := e.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := e.proxy.sender(c.RemoteAddr())
		if from == "" || !e.proxy.track(c) {
			c.SetLinger(0)
			c.Close()
			continue
		}
		e.proxy.wg.Go(func() { e.forwardConnection(from, c) })
	}
}

// track registers a connection, so that Close closes it. It returns false at the limit of connections, or once the
// proxy is closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns) >= maxConnections {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// release closes and unregisters a tracked connection.
func (p *Proxy) release(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// forwardConnection dials the member and copies in both directions, each subject to its fault.
func (e *endpoint) forwardConnection(from string, client *net.TCPConn) {
	p := e.proxy
	defer p.release(client)
	if !p.waitUncut(from, e.name) || !p.waitUncut(e.name, from) {
		return
	}
	server, err := net.DialTimeout("tcp", e.newestTarget(), dialTimeout)
	if err != nil {
		client.SetLinger(0)
		return
	}
	if !p.track(server) {
		server.Close()
		client.SetLinger(0)
		return
	}
	defer p.release(server)
	var copying sync.WaitGroup
	copying.Go(func() { p.copy(from, e.name, client, server) })
	copying.Go(func() { p.copy(e.name, from, server, client) })
	copying.Wait()
}

// newestTarget returns the address of the member's newest process.
func (e *endpoint) newestTarget() string {
	e.proxy.mu.Lock()
	defer e.proxy.mu.Unlock()
	return e.targets[len(e.targets)-1]
}

// copy copies one direction of a connection. At the end of the input it closes the output for writing; after an error
// it closes both connections.
func (p *Proxy) copy(from, to string, in, out net.Conn) {
	if p.copyToEOF(from, to, in, out) {
		if p.waitUncut(from, to) {
			out.(*net.TCPConn).CloseWrite()
		}
		return
	}
	in.Close()
	out.Close()
}

// copyToEOF copies until the end of the input, or returns false after an error or once the proxy is closed.
func (p *Proxy) copyToEOF(from, to string, in, out net.Conn) bool {
	buffer := make([]byte, chunkLen)
	for {
		n, readErr := in.Read(buffer)
		if n > 0 {
			if !p.waitUncut(from, to) {
				return false
			}
			time.Sleep(p.chunkDelay(from, to))
			if _, err := out.Write(buffer[:n]); err != nil {
				return false
			}
		}
		if readErr != nil {
			return errors.Is(readErr, io.EOF)
		}
	}
}

// waitUncut waits until a direction is not cut. It returns false once the proxy is closed.
func (p *Proxy) waitUncut(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.faults[direction{from, to}].Cut && !p.closed {
		p.changed.Wait()
	}
	return !p.closed
}

// chunkDelay draws the latency of a chunk in a direction: the delay, and a retransmission for each loss.
func (p *Proxy) chunkDelay(from, to string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[direction{from, to}]
	delay := f.Delay
	for p.happens(f.Loss) && delay < maxRetransmits*retransmitDelay {
		delay += retransmitDelay
	}
	return delay
}
