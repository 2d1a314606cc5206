// Package gateway is the HTTP front end of a gateway: it accepts client connections, turns requests into
// events of the decision module, and carries out the module's decisions over pooled connections to the
// backends. It makes no decisions itself. The goroutine of owner.EventLoop owns the Loop and the module's
// state; connections and timers send it messages.
package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/telemetry"
)

const (
	// Descriptors for the counter (32), discovery (4 while its address changes), telemetry and files
	// (4), listeners and the runtime (8).
	reservedDescriptors  = 64
	clientMemory         = 24 << 10 // bytes per idle connection: two buffers, a stack and bookkeeping
	baseHeap             = 2 << 20  // bytes of the heap without clients
	activeClientMemory   = 48 << 10 // bytes per connection with an open request: an attempt's connection and stack too
	requestSocketDivisor = 3        // of the descriptors: clients hold no more for requests
	activeClientRatio    = 0.5      // of the heap, if all clients have an open request
	customerMemory       = 512      // bytes for the state of a customer
	customerDivisor      = 8        // the heap divided by the memory for the state of customers
	minCustomers         = 256
)

// Reload notifies a running gateway that its configuration has been replaced.
type Reload struct {
	Signal <-chan os.Signal
	Read   func() (config.Config, error) // reads the new configuration
}

// Peers are the other gateways of the site that this one knows.
type Peers interface {
	// Run participates until ctx ends. It calls onChange with each new divisor of the quotas, and each
	// new number of gateways that send to a cold backend.
	Run(ctx context.Context, onChange func(quotaDivisor, coldSenders int))
	AdminHandler() http.Handler // serves operators, under peersPath
	Summary() string            // one line for operators
}

const (
	peersPath           = "/_peers"
	peerDescriptors     = 24
	operatorDescriptors = 12 // maxOperatorConns and four more, of which reservedDescriptors can spare 16
	limitDescriptors    = 2  // the listener for limit commands, and one client that is being rejected
	limitClientsDivisor = 4  // limit command clients may hold one in this many descriptors
)

// descriptors is how the process's descriptor limit is divided.
type descriptors struct {
	own          int // the gateway's own: counter, discovery, operators, the runtime and peers
	limitClients int // limit command clients, including their listener
	clients      int
	backends     int
}

// divideDescriptors divides the descriptor limit so that no kind of connection can use up the descriptors
// of another.
func divideDescriptors(c *config.Config, peers, operator bool) descriptors {
	divided := descriptors{own: reservedDescriptors}
	if peers {
		divided.own += peerDescriptors
	}
	if operator {
		divided.own += operatorDescriptors
	}
	if c.Site.RESP.Listen != "" {
		requested := c.Site.RESP.Most + limitDescriptors
		divided.limitClients = max(min(requested, (c.Sockets-divided.own)/limitClientsDivisor), limitDescriptors+1)
	}
	divided.clients = maxClients(c, divided.own+divided.limitClients)
	divided.backends = c.Sockets - divided.own - divided.limitClients - divided.clients
	return divided
}

// Run serves clients until ctx ends, then responds to all open requests and returns. fd is an inherited
// listening socket for clients, or negative if there is none. export configures traces and metrics; nil
// disables them. peers is nil if the gateway knows no others.
func Run(ctx context.Context, c *config.Config, fd int, export *telemetry.Settings, peers Peers, reload Reload) error {
	var listener net.Listener
	var err error
	if fd < 0 {
		listener, err = net.Listen("tcp", c.Listen)
	} else {
		listener, err = inheritedListener(fd)
	}
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	if c.Operator == "" {
		return serve(ctx, c, listener, nil, export, peers, reload)
	}
	operatorListener, err := net.Listen("tcp", c.Operator)
	if err != nil {
		listener.Close()
		return fmt.Errorf("operator: %w", err)
	}
	return serve(ctx, c, listener, operatorListener, export, peers, reload)
}

// inheritedListener makes a listener from a descriptor that the process inherited.
func inheritedListener(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "clients")
	if file == nil {
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	}
	defer file.Close() // the listener has its own duplicate
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return listener, nil
}

// maxClients returns how many client connections the descriptor and memory limits allow. own is the
// number of descriptors that the gateway reserves for itself.
func maxClients(c *config.Config, own int) int {
	bySockets := c.Site.Clients.SocketShare * float64(c.Sockets-own)
	byMemory := c.Site.Clients.MemoryShare * float64(c.MemoryMB<<20) / clientMemory
	byHeap := max(activeClientRatio*float64(heapBytes(c))/activeClientMemory, float64(c.Sockets)/requestSocketDivisor)
	return int(min(bySockets, byMemory, byHeap))
}

// heapBytes returns how much memory the runtime may use for clients.
func heapBytes(c *config.Config) int64 {
	heap := c.HeapBytes
	if heap == 0 {
		heap = int64(c.MemoryMB) << 20
	}
	return heap - baseHeap
}

// maxCustomers returns of how many customers the memory limit allows to keep the state.
func maxCustomers(c *config.Config) int {
	return int(max(heapBytes(c)/customerDivisor/customerMemory, minCustomers))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
