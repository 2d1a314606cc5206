package gateway

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/counter"
	"elderyard/internal/discovery"
	"elderyard/internal/owner"
	"elderyard/internal/telemetry"
	"elderyard/rules"
)

const cachedListDelay = 3 * time.Second // if discovery has not answered by then, the gateway becomes ready with the cached list

// gateway is a running gateway: its parts, which open creates, and their goroutines, which start begins.
//
// It ends in this order; each step waits for the one before:
//
//  1. The front ends, side by side: shutdown answers the requests over HTTP, respfront.Server the limit commands.
//     Both depend on the event loop, which decides what they hold.
//  2. The event loop, with all that sends it events: watches of discovery, the counter's client, peers, operator API,
//     and the sweep of the pools.
//  3. The attempts, which the loop starts and the sweep ends.
//  4. Telemetry, for which no response waits.
//  5. The rollup file, which has the loop's last counts.
type gateway struct {
	config   *config.Config
	frontend *frontend
	pools    *pools
	counter  counter.Client // nil: there is no counter
	peers    Peers          // nil: there are none

	listener         net.Listener
	operatorListener net.Listener // nil: there is no operator API
	detached         *detachedFile
	clients          *clientListener
	server           *http.Server
	serveLimits      func(context.Context)

	onList       func()        // makes the gateway ready
	listReceived chan struct{} // closed once it is

	ctx        context.Context // of the goroutines: ends in step 2
	goroutines sync.WaitGroup
	closers    []func() // steps of the end, last first
	serveErr   chan error
	acceptDone chan struct{} // closed when no more connections are accepted
}

// serve is Run with its sockets open. operatorListener may be nil.
func serve(ctx context.Context, c *config.Config, listener, operatorListener net.Listener, export *telemetry.Settings, peers Peers, reload Reload) error {
	g := &gateway{config: c, peers: peers, listener: listener, operatorListener: operatorListener,
		listReceived: make(chan struct{}), serveErr: make(chan error, 1), acceptDone: make(chan struct{})}
	defer g.close()
	if err := g.open(export); err != nil {
		return err
	}
	g.start(ctx)
	return g.run(ctx, reload)
}

// onClose registers a step of the end. The steps run in the reverse order.
func (g *gateway) onClose(step func()) { g.closers = append(g.closers, step) }

// close runs the steps of the end.
func (g *gateway) close() {
	for _, step := range slices.Backward(g.closers) {
		step()
	}
}

// open creates the parts. Nothing runs yet but what only the end of a part waits for.
func (g *gateway) open(export *telemetry.Settings) error {
	c := g.config
	descriptors := divideDescriptors(c, g.peers != nil, g.operatorListener != nil)
	if err := g.openFrontend(descriptors); err != nil {
		return err
	}
	if err := g.openRollups(); err != nil {
		return err
	}
	g.openTelemetry(export)
	var err error
	g.serveLimits = func(context.Context) {}
	if c.Site.RESP.Listen != "" {
		if g.serveLimits, err = openLimitServer(c, descriptors.limitClients-limitDescriptors, g.frontend.loop.EventLoop); err != nil {
			return err
		}
	}
	if err := g.openDetached(); err != nil {
		return err
	}
	g.frontend.loop.applyListing(c.InitialBackends, rules.CachedList)
	g.clients = newClientListener(g.listener, descriptors.clients)
	g.server = g.frontend.server(g.clients)
	return nil
}

// openFrontend creates the front end for requests with its event loop, pools and counter.
func (g *gateway) openFrontend(descriptors descriptors) (err error) {
	c := g.config
	g.pools = newPools(seconds(c.ConnectTimeout), seconds(c.KeepaliveTimeout), descriptors.backends)
	c.Settings.CheckFrontends = c.Site.Quotas.Fronts
	c.Settings.MaxCustomers = maxCustomers(c)
	if g.counter, err = counter.Open(c.Site.Counter, c.Settings, c.Counter); err != nil {
		return err
	}
	var ownerCounter owner.Counter // nil if there is no counter
	if g.counter != nil {
		ownerCounter = g.counter
	}
	g.pools.bodies = &bodyBudget{limit: heapBytes(c) / bodyMemoryDivisor}
	g.frontend = &frontend{deploy: &c.Deployment, bodies: g.pools.bodies, uploads: &bodyBudget{limit: heapBytes(c) / uploadMemoryDivisor}}
	g.onList = sync.OnceFunc(func() { g.frontend.ready.Store(true); close(g.listReceived) })
	loop := newLoop(c, g.pools, ownerCounter, g.onList)
	g.frontend.loop = loop
	if c.InheritedListener {
		loop.sharedIDs, err = openSharedIDs(c.StateDir, c.Name, seconds(loop.recentIDs.span))
	}
	return err
}

// openRollups opens the file of counts, if there is one.
func (g *gateway) openRollups() error {
	file, err := openRollupFile(g.config.Site.Rollup, g.config.Name, g.pools)
	if err != nil || file == nil {
		return err
	}
	loop := g.frontend.loop
	loop.Rollup = file.aggregator(time.Duration(g.config.Site.Rollup.Every))
	written := make(chan struct{})
	go func() { defer close(written); file.run() }()
	g.onClose(func() {
		loop.Rollup.Flush()
		close(file.lines)
		<-written
	})
	return nil
}

// openTelemetry starts the exporter, unless export is nil.
func (g *gateway) openTelemetry(export *telemetry.Settings) {
	if export == nil {
		return
	}
	c, loop, settings := g.config, g.frontend.loop, *export
	setDeployment(&settings.Tracing, c.Classes, c.ClassNames, c.PlanNames)
	loop.sampleRatio = settings.Tracing.SampleRatio
	loop.telemetry = telemetry.Start(settings, loop.Clock.Now, loop.figures, slog.Default())
	g.onClose(loop.telemetry.Close)
}

// openDetached applies the backends that operators have detached, before the first request.
func (g *gateway) openDetached() error {
	g.detached = newDetachedFile(g.config.StateDir, g.config.Name)
	if g.operatorListener == nil {
		return nil
	}
	backends, _, err := g.detached.readIfChanged()
	if err != nil {
		g.operatorListener.Close()
		g.listener.Close()
		return err
	}
	detachedUpdate{g.frontend.loop, backends}.Process()
	return nil
}

// start begins the goroutines. The front ends accept clients until ctx ends.
func (g *gateway) start(ctx context.Context) {
	running, stop := context.WithCancel(context.Background())
	g.ctx = running
	g.onClose(g.frontend.loop.attempts.Wait)
	g.onClose(func() { stop(); g.goroutines.Wait() })
	g.goroutines.Go(func() { g.frontend.loop.Run(running) })
	g.goroutines.Go(func() { g.pools.sweep(running) })
	if g.peers != nil {
		g.goroutines.Go(func() { g.peers.Run(running, g.frontend.loop.setFleet) })
	}
	if g.counter != nil {
		g.goroutines.Go(func() { g.counter.Run(running) })
	}
	if g.operatorListener != nil {
		operators := &operatorServer{frontend: g.frontend, detached: g.detached, peers: g.peers}
		g.goroutines.Go(func() { operators.serve(running, g.operatorListener) })
		g.goroutines.Go(func() { operators.followDetached(running) })
		g.goroutines.Go(func() { g.frontend.closeWhileDraining(running, g.clients) })
	}
	g.startLimits(ctx)
	g.goroutines.Go(func() { g.acceptClients(ctx) })
}

// startLimits serves limit commands until ctx ends or the gateway is closed.
func (g *gateway) startLimits(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); g.serveLimits(ctx) }()
	g.onClose(func() { stop(); <-ended })
}

// acceptClients serves requests. In an upgrade the old process must accept the connections on the shared
// socket until this process can serve.
func (g *gateway) acceptClients(ctx context.Context) {
	defer close(g.acceptDone)
	if g.config.InheritedListener {
		select {
		case <-g.listReceived:
		case <-ctx.Done():
			g.listener.Close()
			return
		}
	}
	g.serveErr <- g.server.Serve(g.clients)
}

// startWatch follows the endpoint list at an address, until the returned function is called, which waits for the
// end.
func (g *gateway) startWatch(address string) (end func()) {
	ctx, cancel := context.WithCancel(g.ctx)
	ended := make(chan struct{})
	g.goroutines.Go(func() {
		defer close(ended)
		watcher := discovery.NewWatcher(address, g.frontend.loop.onListing)
		watcher.SetSeed(g.config.Seed)
		watcher.Run(ctx)
	})
	return func() { cancel(); <-ended }
}

// run watches discovery and applies reloads until ctx ends, and then shuts the front end down.
func (g *gateway) run(ctx context.Context, reload Reload) error {
	address := g.config.Discovery
	stopWatch := g.startWatch(address)
	cachedListTimer := time.AfterFunc(cachedListDelay, func() {
		if len(g.config.InitialBackends.Instances) > 0 {
			g.onList()
		}
	})
	defer cachedListTimer.Stop()
	for {
		select {
		case err := <-g.serveErr:
			return fmt.Errorf("clients: %w", err)
		case <-ctx.Done():
			return shutdown(g.config, g.frontend, g.clients, g.server, g.acceptDone)
		case <-reload.Signal:
			next, err := reload.Read()
			if err != nil {
				log.Printf("reload failed; keeping the current configuration: %v", err)
				continue
			}
			g.applyReload(&next)
			if next.Discovery != address {
				// A version from the old address may mean nothing at the new one, so the new watch must start with
				// a full list. Until that arrives, the old list stays in use.
				stopWatch()
				address, stopWatch = next.Discovery, g.startWatch(next.Discovery)
			}
		}
	}
}

// applyReload applies the counter's address of a new configuration, and reports what it can't apply.
func (g *gateway) applyReload(next *config.Config) {
	c := g.config
	if g.counter != nil && next.Settings.HasCounter {
		g.counter.Retarget(next.Counter)
	}
	if next.Listen != c.Listen || next.Sockets != c.Sockets || next.MemoryMB != c.MemoryMB ||
		next.Cores != c.Cores || !reflect.DeepEqual(next.Deployment, c.Deployment) {
		log.Print("reload applied the discovery and counter addresses; other changes need a restart")
	}
}
