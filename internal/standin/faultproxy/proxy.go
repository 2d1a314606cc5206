// Package faultproxy is a network proxy between the members of a site. It forwards datagrams and connections, and
// injects faults into the link from one member to another, in each direction separately: a direction can be cut, and it
// can lose, delay, duplicate and reorder. All others reach a member at one address of the proxy. The proxy identifies a
// sender by its host, so every member must have a loopback address of its own and send from it.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"elderyard/internal/loopback"
)

const (
	maxDatagramLen  = 64 << 10
	maxInFlight     = 1 << 13 // delayed datagrams, over all links
	maxConnections  = 1 << 10 // over all links
	retransmitDelay = 200 * time.Millisecond
	maxRetransmits  = 5
	chunkLen        = 16 << 10 // bytes of a connection forwarded at a time
	dialTimeout     = time.Second
	jitterFraction  = 0.2 // of the delay, as the upper bound of a random addition
	reorderFactor   = 3   // of the delay, added for a reordered datagram
	minReorderDelay = 30 * time.Millisecond
	listenAttempts  = 5
	randomStream    = 0x3a75
)

// Fault is the fault of one direction of a link.
type Fault struct {
	Cut       bool
	Loss      float64       // fraction of datagrams lost, and of chunks retransmitted
	Delay     time.Duration // of each datagram and chunk; datagrams get random jitter on top
	Duplicate float64       // fraction of datagrams that arrive twice
	Reorder   float64       // fraction of datagrams that arrive after later ones
}

// direction is one direction of a link, by the members' names.
type direction struct{ from, to string }

// Proxy forwards between the members of one site. It is safe for concurrent use.
type Proxy struct {
	mu        sync.Mutex
	changed   *sync.Cond // a fault changed, or the proxy was closed
	rng       *rand.Rand
	endpoints map[string]*endpoint // by member
	hosts     map[string]string    // members, by the host that they send from
	faults    map[direction]Fault
	inFlight  int
	dropped   int // datagrams that faults have dropped
	conns     map[net.Conn]struct{}
	closed    bool
	wg        sync.WaitGroup
}

// endpoint is the address of the proxy at which the others reach a member.
type endpoint struct {
	proxy   *Proxy
	name    string
	targets []string // addresses of the member's processes, the newest last
	udp     *net.UDPConn
	tcp     *net.TCPListener
}

// New returns a proxy without members. Seed makes its random choices repeatable.
func New(seed uint64) *Proxy {
	p := &Proxy{
		rng:       rand.New(rand.NewPCG(seed, randomStream)),
		endpoints: map[string]*endpoint{},
		hosts:     map[string]string{},
		faults:    map[direction]Fault{},
		conns:     map[net.Conn]struct{}{},
	}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// Add adds a member that listens at an address, for UDP and TCP, and returns the address at which others reach it. A
// member may have several processes: datagrams go to all of them, as each recognizes its own, connections to the
// newest.
func (p *Proxy) Add(name, address string) (reach string, err error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", fmt.Errorf("member %s: %w", name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[host] = name
	if e := p.endpoints[name]; e != nil {
		e.targets = append(slices.DeleteFunc(e.targets, func(target string) bool { return target == address }), address)
		return e.udp.LocalAddr().String(), nil
	}
	e := &endpoint{proxy: p, name: name, targets: []string{address}}
	if err := e.listen(); err != nil {
		return "", fmt.Errorf("proxy endpoint of %s: %w", name, err)
	}
	p.endpoints[name] = e
	p.wg.Go(e.serveDatagrams)
	p.wg.Go(e.serveConnections)
	return e.udp.LocalAddr().String(), nil
}

// listen opens one port for both UDP and TCP.
func (e *endpoint) listen() error {
	var lastErr error
	for range listenAttempts { // another process may listen on the TCP port with the number of the chosen UDP port
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(loopback.Host())})
		if err != nil {
			return err
		}
		address := udp.LocalAddr().(*net.UDPAddr)
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: address.IP, Port: address.Port})
		if err == nil {
			e.udp, e.tcp = udp, tcp
			return nil
		}
		lastErr = err
		udp.Close()
	}
	return fmt.Errorf("no port is free for both UDP and TCP: %w", lastErr)
}

// SetFault sets the fault of the direction from one member to another; the zero Fault heals it.
func (p *Proxy) SetFault(from, to string, f Fault) {
	p.UpdateFault(from, to, func(current *Fault) { *current = f })
}

// UpdateFault calls update to change the fault of a direction.
func (p *Proxy) UpdateFault(from, to string, update func(*Fault)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := direction{from, to}
	f := p.faults[key]
	update(&f)
	p.faults[key] = f
	p.changed.Broadcast()
}

// Close closes the proxy and all connections through it.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for _, e := range p.endpoints {
		e.udp.Close()
		e.tcp.Close()
	}
	for c := range p.conns {
		c.Close()
	}
	p.changed.Broadcast()
	p.mu.Unlock()
	p.wg.Wait()
}

// Dropped returns how many datagrams faults have dropped so far. A datagram that was sent before a direction heals
// may not have reached the proxy yet.
func (p *Proxy) Dropped() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropped
}

// sender returns the member that sends from an address, or "" if there is none.
func (p *Proxy) sender(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[host]
}
