// Package faultproxy gives every pair of a site's members a way of its own in each
// direction, for datagrams and connections alike, that can be cut, lose, delay, say
// things twice and in another order. A member is reached by all others at one door;
// who comes is told by its host, so every member must have a loopback address of
// its own and send from it.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"elderyard/internal/loopback"
)

const (
	mostDatagram = 64 << 10
	mostHeld     = 1 << 13                // datagrams under way, of all
	mostOpen     = 1 << 10                // connections, of all
	resend       = 200 * time.Millisecond // what a loss costs a connection, which sends again
	piece        = 16 << 10               // bytes of a connection at a time
	dialFor      = time.Second
	reorderBy    = 3 // times the delay, or at least reorderAt
	reorderAt    = 30 * time.Millisecond
)

// Trouble is what is wrong with one direction.
type Trouble struct {
	Cut     bool
	Loss    float64       // share of datagrams
	Delay   time.Duration // each; as much again at random at most
	Twice   float64       // share of datagrams that come twice
	Reorder float64       // share of datagrams that come later than those after them
}

type pair struct{ from, to string }

// Ways are the ways of one site. It is safe for concurrent use.
type Ways struct {
	mu       sync.Mutex
	changed  *sync.Cond // a direction has healed, or all ends
	rng      *rand.Rand
	doors    map[string]*door
	hosts    map[string]string // names, by the host that they send from
	troubles map[pair]Trouble
	held     int
	lost     int // datagrams that a direction's trouble took
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// door is where a member is reached.
type door struct {
	w    *Ways
	name string
	to   []string // where the member listens: all processes of its name, the newest last
	udp  *net.UDPConn
	tcp  *net.TCPListener
}

// New makes ways without members.
func New(seed uint64) *Ways {
	w := &Ways{rng: rand.New(rand.NewPCG(seed, 0x3a75)), doors: map[string]*door{}, hosts: map[string]string{},
		troubles: map[pair]Trouble{}, conns: map[net.Conn]struct{}{}}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// Add opens the door of a member that listens at an address, and returns where
// others reach it. A name may have several processes: datagrams go to all of them,
// as each knows what is meant for it, connections to the newest.
func (w *Ways) Add(name, at string) (reach string, err error) {
	host, _, err := net.SplitHostPort(at)
	if err != nil {
		return "", fmt.Errorf("member %s: %w", name, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[host] = name
	if d := w.doors[name]; d != nil {
		d.to = append(slices.DeleteFunc(d.to, func(old string) bool { return old == at }), at)
		return d.udp.LocalAddr().String(), nil
	}
	d := &door{w: w, name: name, to: []string{at}}
	for range 5 { // the port that one gets may be taken for the other
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(loopback.Host())})
		if err != nil {
			return "", fmt.Errorf("door of %s: %w", name, err)
		}
		here := udp.LocalAddr().(*net.UDPAddr)
		if d.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: here.IP, Port: here.Port}); err == nil {
			d.udp = udp
			break
		}
		udp.Close()
	}
	if d.udp == nil {
		return "", fmt.Errorf("door of %s: no port is free for both", name)
	}
	w.doors[name] = d
	w.wg.Go(d.datagrams)
	w.wg.Go(d.connections)
	return d.udp.LocalAddr().String(), nil
}

// Set says what is wrong with the direction from one to another; the zero Trouble
// is nothing.
func (w *Ways) Set(from, to string, t Trouble) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.troubles[pair{from, to}] = t
	w.changed.Broadcast()
}

// Change changes what is wrong with a direction.
func (w *Ways) Change(from, to string, change func(*Trouble)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.troubles[pair{from, to}]
	change(&t)
	w.troubles[pair{from, to}] = t
	w.changed.Broadcast()
}

// Close ends all ways and what goes over them.
func (w *Ways) Close() {
	w.mu.Lock()
	w.closed = true
	for _, d := range w.doors {
		d.udp.Close()
		d.tcp.Close()
	}
	for c := range w.conns {
		c.Close()
	}
	w.changed.Broadcast()
	w.mu.Unlock()
	w.wg.Wait()
}

// Lost is how many datagrams a direction's trouble has taken so far. What was sent
// before a direction heals may not have come to its door yet.
func (w *Ways) Lost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// from names who sends from a host; "": nobody of the site.
func (w *Ways) from(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[host]
}

func (d *door) datagrams() {
	buf := make([]byte, mostDatagram)
	for {
		n, sender, err := d.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // nobody listens at the member's address just now
		}
		if from := d.w.from(sender); from != "" {
			d.pass(from, append([]byte(nil), buf[:n]...))
		}
	}
}

// pass sends a datagram on as its direction allows.
func (d *door) pass(from string, b []byte) {
	w := d.w
	w.mu.Lock()
	t := w.troubles[pair{from, d.name}]
	if t.Cut || t.Loss > 0 && w.rng.Float64() < t.Loss {
		w.lost++
		w.mu.Unlock()
		return
	}
	if w.closed || w.held >= mostHeld {
		w.mu.Unlock()
		return
	}
	times := 1
	if t.Twice > 0 && w.rng.Float64() < t.Twice {
		times = 2
	}
	var waits []time.Duration
	for range times {
		wait := t.Delay
		if t.Delay > 0 {
			wait += time.Duration(w.rng.Float64() * float64(t.Delay) * 0.2)
		}
		if t.Reorder > 0 && w.rng.Float64() < t.Reorder {
			wait += max(reorderBy*t.Delay, reorderAt)
		}
		waits = append(waits, wait)
	}
	to := slices.Clone(d.to)
	w.held += times
	w.mu.Unlock()
	send := func() {
		for _, at := range to {
			if at, err := net.ResolveUDPAddr("udp", at); err == nil {
				d.udp.WriteToUDP(b, at) // a network says nothing of what it drops
			}
		}
		w.mu.Lock()
		w.held--
		w.mu.Unlock()
	}
	for _, wait := range waits {
		if wait == 0 {
			send()
			continue
		}
		w.wg.Add(1)
		time.AfterFunc(wait, func() { defer w.wg.Done(); send() })
	}
}

func (d *door) connections() {
	for {
		c, err := d.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := d.w.from(c.RemoteAddr())
		if from == "" || !d.w.keep(c) {
			c.SetLinger(0)
			c.Close()
			continue
		}
		d.w.wg.Go(func() { d.join(from, c) })
	}
}

// keep takes note of a connection, so that the end of all ways ends it.
func (w *Ways) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.conns) >= mostOpen {
		return false
	}
	w.conns[c] = struct{}{}
	return true
}

func (w *Ways) drop(c net.Conn) {
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
	c.Close()
}

// join carries a connection both ways, each held up as its direction is.
func (d *door) join(from string, near *net.TCPConn) {
	w := d.w
	defer w.drop(near)
	if !w.open(from, d.name) || !w.open(d.name, from) {
		return
	}
	w.mu.Lock()
	to := d.to[len(d.to)-1]
	w.mu.Unlock()
	far, err := net.DialTimeout("tcp", to, dialFor)
	if err != nil || !w.keep(far) {
		if err == nil {
			far.Close()
		}
		near.SetLinger(0)
		return
	}
	defer w.drop(far)
	var both sync.WaitGroup
	carry := func(from, to string, in, out net.Conn) {
		buf := make([]byte, piece)
		for {
			n, err := in.Read(buf)
			if n > 0 {
				if !w.open(from, to) {
					break
				}
				w.hold(from, to)
				if _, err := out.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					break
				}
				if w.open(from, to) {
					out.(*net.TCPConn).CloseWrite()
				}
				return
			}
		}
		in.Close()
		out.Close()
	}
	both.Go(func() { carry(from, d.name, near, far) })
	both.Go(func() { carry(d.name, from, far, near) })
	both.Wait()
}

// open waits until a direction is not cut; false once all has ended.
func (w *Ways) open(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.troubles[pair{from, to}].Cut && !w.closed {
		w.changed.Wait()
	}
	return !w.closed
}

// hold waits as long as a piece of a connection takes in a direction.
func (w *Ways) hold(from, to string) {
	w.mu.Lock()
	t := w.troubles[pair{from, to}]
	wait := t.Delay
	for t.Loss > 0 && w.rng.Float64() < t.Loss && wait < 5*resend {
		wait += resend
	}
	w.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}
