package replica

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// network connects voters over loopback and can partition pairs of them: data sent between the two is then dropped
// without an error, until the partition is healed.
type network struct {
	mu         sync.Mutex
	names      map[string]string // by address
	partitions map[[2]string]bool
	conns      map[*conn]bool
}

func newNetwork() *network {
	return &network{names: map[string]string{}, partitions: map[[2]string]bool{}, conns: map[*conn]bool{}}
}

// partitioned reports whether two voters are partitioned. The caller must hold mu.
func (n *network) partitioned(a, b string) bool {
	return n.partitions[[2]string{a, b}] || n.partitions[[2]string{b, a}]
}

// setPartition partitions two voters or heals their partition. Healing closes their connections.
func (n *network) setPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}], n.partitions[[2]string{b, a}] = partitioned, partitioned
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.blackhole = partitioned
			if !partitioned {
				c.Conn.Close()
				delete(n.conns, c)
			}
		}
	}
}

// healAll heals all partitions.
func (n *network) healAll() {
	n.mu.Lock()
	var pairs [][2]string
	for p, partitioned := range n.partitions {
		if partitioned {
			pairs = append(pairs, p)
		}
	}
	n.mu.Unlock()
	for _, p := range pairs {
		n.setPartition(p[0], p[1], false)
	}
}

// conn is a connection that drops what is written while its two voters are partitioned.
type conn struct {
	net.Conn
	network   *network
	from, to  string // names of the voters
	blackhole bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	blackhole := c.blackhole
	c.network.mu.Unlock()
	if blackhole {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// streamLayer is one voter's raft.StreamLayer. The network drops data on dialed connections alone: raft sends its
// requests on them, and a lost request has no response.
type streamLayer struct {
	net.Listener
	network *network
	name    string
}

// listen opens a voter's listener.
func (n *network) listen(name, address string) (*streamLayer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[listener.Addr().String()] = name
	return &streamLayer{listener, n, name}, nil
}

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	s.network.mu.Lock()
	to := s.network.names[string(address)]
	partitioned := s.network.partitioned(s.name, to)
	s.network.mu.Unlock()
	if partitioned {
		time.Sleep(min(timeout, 20*time.Millisecond))
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	c, err := net.DialTimeout("tcp", string(address), timeout)
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, network: s.network, from: s.name, to: to}
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	wrapped.blackhole = s.network.partitioned(s.name, to)
	s.network.conns[wrapped] = true
	return wrapped, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
