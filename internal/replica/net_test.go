package replica

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// network connects voters over loopback and can partition pairs of them: what is sent then
// vanishes, without an error, until the partition is healed.
type network struct {
	mu    sync.Mutex
	names map[string]string // by address
	cut   map[[2]string]bool
	conns map[*conn]bool
}

func newNetwork() *network {
	return &network{names: map[string]string{}, cut: map[[2]string]bool{}, conns: map[*conn]bool{}}
}

func (n *network) partitioned(a, b string) bool {
	return n.cut[[2]string{a, b}] || n.cut[[2]string{b, a}]
}

// set partitions two voters, or heals the partition, which closes their connections.
func (n *network) set(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.blackhole = cut
			if !cut {
				c.Conn.Close()
				delete(n.conns, c)
			}
		}
	}
}

func (n *network) healAll() {
	n.mu.Lock()
	var pairs [][2]string
	for p, cut := range n.cut {
		if cut {
			pairs = append(pairs, p)
		}
	}
	n.mu.Unlock()
	for _, p := range pairs {
		n.set(p[0], p[1], false)
	}
}

type conn struct {
	net.Conn
	n         *network
	from, to  string
	blackhole bool
}

func (c *conn) Write(p []byte) (int, error) {
	c.n.mu.Lock()
	blackhole := c.blackhole
	c.n.mu.Unlock()
	if blackhole {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// streams is one voter's StreamLayer. The network knows dialled connections alone: raft
// sends its calls on them, and a lost call has no response.
type streams struct {
	net.Listener
	n    *network
	name string
}

func (n *network) listen(name, address string) (*streams, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[l.Addr().String()] = name
	return &streams{l, n, name}, nil
}

func (s *streams) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	s.n.mu.Lock()
	to := s.n.names[string(address)]
	partitioned := s.n.partitioned(s.name, to)
	s.n.mu.Unlock()
	if partitioned {
		time.Sleep(min(timeout, 20*time.Millisecond))
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	c, err := net.DialTimeout("tcp", string(address), timeout)
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, n: s.n, from: s.name, to: to}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	wrapped.blackhole = s.n.partitioned(s.name, to)
	s.n.conns[wrapped] = true
	return wrapped, nil
}

func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}
