// Package gateway is the HTTP front end of a gateway: it accepts client connections, turns requests into
// events of the decision module, and carries out the module's decisions over pooled connections to the
// backends. It makes no decisions itself. The goroutine of owner.EventLoop owns the Loop and the module's
// state; connections and timers send it messages.
package gateway

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"reflect"
	"sync"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/counter"
	"elderyard/internal/discovery"
	"elderyard/internal/owner"
	"elderyard/internal/respfront"
	"elderyard/internal/telemetry"
	"elderyard/rules"
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
	cachedListDelay      = 3 * time.Second        // if discovery has not answered by then, the gateway becomes ready with the cached list
	acceptAfterStop      = 600 * time.Millisecond // after a stop request, new connections are still accepted for this long
)

// After a stop request the platform waits for the longest deadline, but at most maxKillDeadline, plus
// killDelay. Then it kills the process, whatever that is still doing.
const (
	maxKillDeadline     = 3 * time.Second
	killDelay           = 700 * time.Millisecond
	finalResponseMargin = 300 * time.Millisecond // before the kill: all open requests get a response
	exitMargin          = 150 * time.Millisecond // before the kill: the process exits
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

// serve is Run with its sockets open. operatorListener may be nil.
func serve(ctx context.Context, c *config.Config, listener, operatorListener net.Listener, export *telemetry.Settings, peers Peers, reload Reload) error {
	descriptors := divideDescriptors(c, peers != nil, operatorListener != nil)
	pools := newPools(seconds(c.ConnectTimeout), seconds(c.KeepaliveTimeout), descriptors.backends)
	c.Settings.CheckFrontends = c.Site.Quotas.Fronts
	c.Settings.MaxCustomers = maxCustomers(c)
	counterClient, err := counter.Open(c.Site.Counter, c.Settings, c.Counter)
	if err != nil {
		return err
	}
	var ownerCounter owner.Counter // nil if there is no counter
	if counterClient != nil {
		ownerCounter = counterClient
	}
	bodies := &bodyBudget{limit: heapBytes(c) / bodyMemoryDivisor}
	pools.bodies = bodies
	front := &frontend{deploy: &c.Deployment, bodies: bodies, uploads: &bodyBudget{limit: heapBytes(c) / uploadMemoryDivisor}}
	listReceived := make(chan struct{})
	onList := sync.OnceFunc(func() { front.ready.Store(true); close(listReceived) })
	front.loop = newLoop(c, pools, ownerCounter, onList)
	if c.InheritedListener {
		if front.loop.sharedIDs, err = openSharedIDs(c.StateDir, c.Name, seconds(front.loop.recentIDs.span)); err != nil {
			return err
		}
	}

	rollups, err := openRollupFile(c.Site.Rollup, c.Name, pools)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if rollups != nil {
		front.loop.Rollup = rollups.aggregator(time.Duration(c.Site.Rollup.Every))
		rollupsWritten := make(chan struct{})
		go func() { defer close(rollupsWritten); rollups.run() }()
		defer func() { // after the loop has ended, since it is what counts
			front.loop.Rollup.Flush()
			close(rollups.lines)
			<-rollupsWritten
		}()
	}
	if export != nil {
		settings := *export
		setDeployment(&settings.Tracing, c.Classes, c.ClassNames, c.PlanNames)
		front.loop.sampleRatio = settings.Tracing.SampleRatio
		front.loop.telemetry = telemetry.Start(settings, front.loop.Clock.Now, front.loop.figures, slog.Default())
		defer front.loop.telemetry.Close() // last of all: responses never wait for it
	}
	defer front.loop.attempts.Wait() // after the loop, which starts attempts, and the sweep, which ends them
	defer wg.Wait()
	defer stop()
	serveLimits := func(context.Context) {}
	if c.Site.RESP.Listen != "" {
		serveLimits, err = openLimitServer(c, descriptors.limitClients-limitDescriptors, front.loop.EventLoop)
		if err != nil {
			return err
		}
	}
	detached := newDetachedFile(c.StateDir, c.Name)
	if operatorListener != nil {
		backends, _, err := detached.readIfChanged() // before the first request
		if err != nil {
			operatorListener.Close()
			listener.Close()
			return err
		}
		detachedUpdate{front.loop, backends}.Process()
	}
	front.loop.applyListing(c.InitialBackends, rules.CachedList)
	wg.Go(func() { front.loop.Run(runCtx) })
	limitCtx, stopLimits := context.WithCancel(ctx)
	limitsEnded := make(chan struct{})
	go func() { defer close(limitsEnded); serveLimits(limitCtx) }()
	defer func() { stopLimits(); <-limitsEnded }() // before the event loop, which decides the commands
	wg.Go(func() { pools.sweep(runCtx) })
	if peers != nil {
		wg.Go(func() { peers.Run(runCtx, front.loop.setFleet) })
	}
	if counterClient != nil {
		wg.Go(func() { counterClient.Run(runCtx) })
	}
	startWatch := func(address string) (end func()) {
		ctx, cancel := context.WithCancel(runCtx)
		ended := make(chan struct{})
		wg.Go(func() {
			defer close(ended)
			watcher := discovery.NewWatcher(address, front.loop.onListing)
			watcher.SetSeed(c.Seed)
			watcher.Run(ctx)
		})
		return func() { cancel(); <-ended }
	}
	stopWatch := startWatch(c.Discovery)
	cachedListTimer := time.AfterFunc(cachedListDelay, func() {
		if len(c.InitialBackends.Instances) > 0 {
			onList()
		}
	})
	defer cachedListTimer.Stop()

	clients := newClientListener(listener, descriptors.clients)
	server := front.server(clients)
	if operatorListener != nil {
		operators := &operatorServer{frontend: front, detached: detached, peers: peers}
		wg.Go(func() { operators.serve(runCtx, operatorListener) })
		wg.Go(func() { operators.followDetached(runCtx) })
		wg.Go(func() { front.closeWhileDraining(runCtx, clients) })
	}
	serveErr := make(chan error, 1)
	acceptDone := make(chan struct{}) // closed when no more connections are accepted
	wg.Go(func() {
		defer close(acceptDone)
		if c.InheritedListener {
			// Until this process can serve, the old process must accept the connections on the shared socket.
			select {
			case <-listReceived:
			case <-ctx.Done():
				listener.Close()
				return
			}
		}
		serveErr <- server.Serve(clients)
	})
	for discovery := c.Discovery; ; {
		select {
		case err := <-serveErr:
			return fmt.Errorf("clients: %w", err)
		case <-ctx.Done():
			return shutdown(c, front, clients, server, acceptDone)
		case <-reload.Signal:
			next, err := reload.Read()
			if err != nil {
				log.Printf("reload failed; keeping the current configuration: %v", err)
				continue
			}
			if counterClient != nil && next.Settings.HasCounter {
				counterClient.Retarget(next.Counter)
			}
			if next.Discovery != discovery {
				// A version from the old address may mean nothing at the new one, so the new watch must start with
				// a full list. Until that arrives, the old list stays in use.
				stopWatch()
				discovery, stopWatch = next.Discovery, startWatch(next.Discovery)
			}
			if next.Listen != c.Listen || next.Sockets != c.Sockets || next.MemoryMB != c.MemoryMB ||
				next.Cores != c.Cores || !reflect.DeepEqual(next.Deployment, c.Deployment) {
				log.Print("reload applied the discovery and counter addresses; other changes need a restart")
			}
		}
	}
}

const rebindInterval = 100 * time.Millisecond // between attempts to bind an address that the old process still holds

// openLimitServer opens the front end for limit commands with at most maxClients clients, and returns the function
// that serves it. During an upgrade the old process holds the address until it ends; binding is retried until then.
func openLimitServer(c *config.Config, maxClients int, owner *owner.EventLoop) (serve func(context.Context), err error) {
	settings := c.Site.RESP
	if maxClients < settings.Most {
		log.Printf("resp.most_clients: %d descriptors allow %d clients, not %d", c.Sockets, maxClients, settings.Most)
		settings.Most = maxClients
	}
	front, err := respfront.FromSite(settings, owner, c.Settings, c.PlanNames, minKillDelay(c)-finalResponseMargin)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	listener, err := net.Listen("tcp", c.Site.RESP.Listen)
	if err != nil && !c.InheritedListener {
		return nil, fmt.Errorf("limit commands: %w", err)
	}
	return func(ctx context.Context) {
		for ; err != nil; listener, err = net.Listen("tcp", c.Site.RESP.Listen) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(rebindInterval):
			}
		}
		front.Serve(ctx, listener)
	}, nil
}

const (
	drainPollInterval = 100 * time.Millisecond // between closing rounds while the gateway drains
	drainIdleTime     = 500 * time.Millisecond // idle connections are closed after this time; busy ones close with their next response

	shutdownPollInterval = 20 * time.Millisecond // between closing rounds while the gateway shuts down
	unlimited            = time.Duration(math.MaxInt64)
)

// closeWhileDraining closes idle client connections while an operator drains the gateway, until ctx ends.
// Connections that still arrive are served.
func (f *frontend) closeWhileDraining(ctx context.Context, clients *clientListener) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if f.draining.Load() {
				clients.closeIdleConns(drainIdleTime, drainIdleTime)
			}
		}
	}
}

// shutdown accepts connections for a while longer, responds to open requests, and returns.
// acceptDone is closed when no more connections are accepted.
//
// A request may cross the closing of its idle connection; its client then retries on a new one. So idle
// connections are closed at once while new ones are still accepted, and the listener closes later. Where
// another process shares the socket, that process takes the new connections: this one accepts no more,
// busy connections close with their next response, which no request can cross, and idle ones close only
// after some idle time.
//
// Clients keep sending on open connections, and a request that is accepted late may have a deadline past
// the kill. So all open requests are answered by the time of the kill, whatever their deadlines.
func shutdown(c *config.Config, front *frontend, clients *clientListener, server *http.Server, acceptDone <-chan struct{}) error {
	start := time.Now()
	front.shuttingDown.Store(true)
	killTime := start.Add(minKillDelay(c))
	usedFor := time.Duration(0)
	if c.InheritedListener {
		usedFor = acceptAfterStop / 2
		clients.Close()
	}
	for end := start.Add(acceptAfterStop); time.Now().Before(end); time.Sleep(shutdownPollInterval) {
		clients.closeIdleConns(usedFor, unlimited)
	}
	if !c.InheritedListener {
		clients.drainBacklog()
	}
	<-acceptDone
	// A request may be in transit on a connection that was just accepted.
	unusedUntil := time.Now().Add(clients.firstRequestWait)
	responded := false
	for clients.openConns() > 0 && time.Now().Before(killTime.Add(-exitMargin)) {
		if !responded && !time.Now().Before(killTime.Add(-finalResponseMargin)) {
			responded = true
			front.loop.Post(processEnding{front.loop})
		}
		if time.Now().Before(unusedUntil) {
			clients.closeIdleConns(0, unlimited)
		} else {
			clients.closeIdleConns(0, 0)
		}
		time.Sleep(shutdownPollInterval)
	}
	left := clients.openConns()
	server.Close()
	if left > 0 {
		return fmt.Errorf("shutdown: %d client connections were still busy", left)
	}
	return nil
}

// longestDeadline returns the longest time that a client may wait for its response.
func longestDeadline(c *config.Config) time.Duration {
	longest := 0.0
	for _, class := range c.Classes {
		longest = max(longest, class.Timeout)
	}
	return seconds(longest)
}

// minKillDelay returns the shortest time from a stop request to the kill. The slack that responses have
// after their deadline does not postpone it.
func minKillDelay(c *config.Config) time.Duration {
	return min(longestDeadline(c), maxKillDeadline) + killDelay
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
