// Package gateway is the HTTP front end of a gateway: it accepts clients, turns
// their requests into events of the decision module, and carries out what the
// module decides on pooled connections to the backends. It decides nothing
// itself. One goroutine, that of owner.Owner, owns the Loop and the module's state;
// connections and timers send it messages.
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
	reservedDescriptors = 64
	clientMemory        = 24 << 10               // bytes of an idle connection: two buffers, a stack and the books
	cachedListDelay     = 3 * time.Second        // without discovery, the list known from before has to do
	acceptAfterStop     = 600 * time.Millisecond // new connections still come so long after a stop was asked for
)

// The platform kills a process that it asked to end so long after that, whatever the process
// still has: killAfter after the longest deadline, of which killMost count at most.
const (
	maxKillDeadline     = 3 * time.Second
	killDelay           = 700 * time.Millisecond
	finalResponseMargin = 300 * time.Millisecond // before that, all that is held gets its answer
	exitMargin          = 150 * time.Millisecond // and the process ends
)

// Reload tells a running gateway that its configuration has been replaced.
type Reload struct {
	Signal <-chan os.Signal
	Read   func() (config.Config, error) // the new configuration
}

// Fellows are the other gateways of the site, as far as this one knows of them.
type Peers interface {
	// Run takes part until ctx ends. Told is called with each new number that what
	// all have together is divided by, and that of the senders to a cold backend.
	Run(ctx context.Context, told func(share, cold int))
	AdminHandler() http.Handler // answers operators, below fellowsPath
	Summary() string            // one line for them
}

const (
	peersPath           = "/_peers"
	peerDescriptors     = 24 // descriptors
	operatorDescriptors = 12 // descriptors: mostCallers and four more, of which reserved can spare 16
	limitDescriptors    = 2  // descriptors of the front for limit commands: its listener, and a client that is turned away
	limitClientsDivisor = 4  // clients of limit commands may hold one of so many descriptors
)

// descriptors is how the limit on descriptors is divided.
type descriptors struct {
	own          int // of the gateway: counter, discovery, operators, the runtime and what knows other gateways
	limitClients int // of clients of limit commands, their listener among them
	clients      int
	backends     int
}

// divideDescriptors divides the limit so that whatever one kind of connection takes, the
// others keep what is theirs.
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

// Run serves clients until ctx ends, then answers what it holds and returns. Fd is
// the clients' listening socket where that came with the process, else below 0. Export
// says where traces and metrics go; nil: nowhere. Fellows is nil where the gateway
// knows of none.
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

// inherited makes a listener of a descriptor that came with the process.
func inheritedListener(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "clients")
	if file == nil {
		return nil, fmt.Errorf("descriptor %d is none", fd)
	}
	defer file.Close() // the listener has a copy
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return listener, nil
}

// mostClients is how many connections of clients the limits bear.
// Own is how many the gateway keeps for itself.
func maxClients(c *config.Config, own int) int {
	bySockets := c.Site.Clients.SocketShare * float64(c.Sockets-own)
	byMemory := c.Site.Clients.MemoryShare * float64(c.MemoryMB<<20) / clientMemory
	return int(min(bySockets, byMemory))
}

// serve is Run on sockets that are open. Desk is the operators', or nil.
func serve(ctx context.Context, c *config.Config, listener, operatorListener net.Listener, export *telemetry.Settings, peers Peers, reload Reload) error {
	descriptors := divideDescriptors(c, peers != nil, operatorListener != nil)
	pools := newPools(seconds(c.ConnectTimeout), seconds(c.KeepaliveTimeout), descriptors.backends)
	c.Settings.CheckFrontends = c.Site.Quotas.Fronts
	counterClient, err := counter.Open(c.Site.Counter, c.Settings, c.Counter)
	if err != nil {
		return err
	}
	var ownerCounter owner.Counter // nil without one
	if counterClient != nil {
		ownerCounter = counterClient
	}
	front := &frontend{deploy: &c.Deployment}
	listReceived := make(chan struct{})
	onList := sync.OnceFunc(func() { front.ready.Store(true); close(listReceived) })
	front.loop = newLoop(c, pools, ownerCounter, onList)

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
		defer func() { // after the loop, which counts
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
		defer front.loop.telemetry.Close() // last of all: no answer waits for it
	}
	defer front.loop.attempts.Wait() // after the loop, which starts them, and the sweep, which ends them
	defer wg.Wait()
	defer stop()
	if c.Site.RESP.Listen != "" {
		limits, err := openLimitServer(c, descriptors.limitClients-limitDescriptors, front.loop.EventLoop)
		if err != nil {
			return err
		}
		wg.Go(func() { limits(ctx) })
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
	server := front.server(clients, longestDeadline(c))
	if operatorListener != nil {
		operators := &operatorServer{frontend: front, detached: detached, peers: peers}
		wg.Go(func() { operators.serve(runCtx, operatorListener) })
		wg.Go(func() { operators.followDetached(runCtx) })
		wg.Go(func() { front.closeWhileDraining(runCtx, clients) })
	}
	serveErr := make(chan error, 1)
	acceptDone := make(chan struct{}) // all that is taken has come
	wg.Go(func() {
		defer close(acceptDone)
		if c.InheritedListener {
			// Danger: what this process takes before it can serve, the other one would have served.
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
				log.Printf("the old configuration stays: %v", err)
				continue
			}
			if counterClient != nil && next.Settings.HasCounter {
				counterClient.Retarget(next.Counter)
			}
			if next.Discovery != discovery {
				// Danger: a version of the old address may mean nothing to the new one. The new
				// watch starts from the whole list; until that comes, the old list stands.
				stopWatch()
				discovery, stopWatch = next.Discovery, startWatch(next.Discovery)
			}
			if next.Listen != c.Listen || next.Sockets != c.Sockets || next.MemoryMB != c.MemoryMB ||
				next.Cores != c.Cores || !reflect.DeepEqual(next.Deployment, c.Deployment) {
				log.Print("discovery and counter are as the new configuration says; the rest of it needs a restart")
			}
		}
	}
}

const rebindInterval = 100 * time.Millisecond // between tries for an address that the process before still has

// openLimits opens the front for limit commands, which takes so many clients at most, and
// returns what serves it. In an upgrade the process before has the address until it ends; then it is tried for again.
func openLimitServer(c *config.Config, maxClients int, owner *owner.EventLoop) (serve func(context.Context), err error) {
	settings := c.Site.RESP
	if maxClients < settings.Most {
		log.Printf("resp.most_clients: %d descriptors leave room for %d clients, not %d", c.Sockets, maxClients, settings.Most)
		settings.Most = maxClients
	}
	front, err := respfront.FromSite(settings, owner, c.Settings, c.PlanNames)
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
	drainPollInterval = 100 * time.Millisecond // between looks for idle connections of a drained gateway
	drainIdleTime     = 500 * time.Millisecond // those without a request for so long are closed; the busy ones close with an answer

	shutdownPollInterval = 20 * time.Millisecond // between looks for idle connections of a gateway that ends
	unlimited            = time.Duration(math.MaxInt64)
)

// empty closes the idle connections of clients while the gateway is drained by
// hand, until ctx ends. New ones may come for a moment, and are served.
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

// shutdown takes what still comes for a while, answers what is held, and ends. Took is
// closed when no more is taken.
//
// Danger: a request may cross the closing of its idle connection; its client then sends
// it again on a new one. So idle connections go at once, while new ones are still taken,
// and the listener goes later. Where others share the socket, what comes from now on is
// theirs: no more is taken, busy connections close with their next answer, which meets no
// request half way, and idle ones only after some quiet.
//
// Danger: clients send on whatever stays open, and a request that is taken late may wait
// past the kill. So what counts for all that is held is when that comes.
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
	// A request may be on its way on a connection that was just made.
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
		return fmt.Errorf("connections of clients that were still busy at the end: %d", left)
	}
	return nil
}

// longest is the longest time that a client may wait for its answer.
func longestDeadline(c *config.Config) time.Duration {
	longest := 0.0
	for _, class := range c.Classes {
		longest = max(longest, class.Timeout)
	}
	return seconds(longest)
}

// killed is how long after it was asked to end a process is killed, at the earliest. The
// grace that answers have after their deadline puts nothing off.
func minKillDelay(c *config.Config) time.Duration {
	return min(longestDeadline(c), maxKillDeadline) + killDelay
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
