package faultproxy

import (
	"errors"
	"net"
	"slices"
	"time"
)

// serveDatagrams forwards datagrams to the endpoint's member until the socket is closed.
func (e *endpoint) serveDatagrams() {
	buffer := make([]byte, maxDatagramLen)
	for {
		n, source, err := e.udp.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an earlier datagram was refused, because the member does not listen at present
		}
		if from := e.proxy.sender(source); from != "" {
			e.forward(from, slices.Clone(buffer[:n]))
		}
	}
}

// forward sends a datagram on, subject to the fault of its direction.
func (e *endpoint) forward(from string, datagram []byte) {
	delays, targets := e.admit(from)
	send := func() {
		e.send(datagram, targets)
		e.proxy.mu.Lock()
		e.proxy.inFlight--
		e.proxy.mu.Unlock()
	}
	for _, delay := range delays {
		if delay == 0 {
			send()
			continue
		}
		e.proxy.wg.Add(1)
		time.AfterFunc(delay, func() {
			defer e.proxy.wg.Done()
			send()
		})
	}
}

// admit applies the fault of a direction to a datagram: it returns the delay of each copy to send, and the targets. It
// counts the copies as in flight, and a datagram that the fault drops as dropped.
func (e *endpoint) admit(from string) (delays []time.Duration, targets []string) {
	p := e.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[direction{from, e.name}]
	if f.Cut || p.happens(f.Loss) {
		p.dropped++
		return nil, nil
	}
	if p.closed || p.inFlight >= maxInFlight {
		return nil, nil
	}
	copies := 1
	if p.happens(f.Duplicate) {
		copies = 2
	}
	for range copies {
		delays = append(delays, p.delay(&f))
	}
	p.inFlight += copies
	return delays, slices.Clone(e.targets)
}

// happens returns true with the given probability. The caller holds mu.
func (p *Proxy) happens(probability float64) bool {
	return probability > 0 && p.rng.Float64() < probability
}

// delay draws the delay of one datagram. The caller holds mu.
func (p *Proxy) delay(f *Fault) time.Duration {
	delay := f.Delay
	if f.Delay > 0 {
		delay += time.Duration(p.rng.Float64() * float64(f.Delay) * jitterFraction)
	}
	if p.happens(f.Reorder) {
		delay += max(reorderFactor*f.Delay, minReorderDelay)
	}
	return delay
}

// send sends a datagram to each address. Errors are ignored: a network does not report what it drops.
func (e *endpoint) send(datagram []byte, addresses []string) {
	for _, address := range addresses {
		if to, err := net.ResolveUDPAddr("udp", address); err == nil {
			e.udp.WriteToUDP(datagram, to)
		}
	}
}
