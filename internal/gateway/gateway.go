// Package gateway is the HTTP front end of a gateway: it accepts clients, turns
// their requests into events of the decision module, and carries out what the
// module decides on pooled connections to the backends. It decides nothing
// itself. One goroutine, that of owner.EventLoop, owns the Loop and the module's state;
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
	reserved   = 64
	clientCost = 24 << 10               // bytes of an idle connection: two buffers, a stack and the books
	knownAfter = 3 * time.Second        // without discovery, the list known from before has to do
	stayFor    = 600 * time.Millisecond // new connections still come so long after a stop was asked for
)

// The platform kills a process that it asked to end so long after that, whatever the process
// still has: killAfter after the longest deadline, of which killMost count at most.
const (
	killMost   = 3 * time.Second
	killAfter  = 700 * time.Millisecond
	lastMargin = 300 * time.Millisecond // before that, all that is held gets its answer
	endMargin  = 150 * time.Millisecond // and the process ends
)

// Reload tells a running gateway that its configuration has been replaced.
type Reload struct {
	Signal <-chan os.Signal
	Read   func() (config.Config, error) // the new configuration
}

// Peers are the other gateways of the site, as far as this one knows of them.
type Peers interface {
	// Run takes part until ctx ends. Told is called with each new number that what
	// all have together is divided by, and that of the senders to a cold backend.
	Run(ctx context.Context, told func(share, cold int))
	AdminHandler() http.Handler // answers operators, below fellowsPath
	Summary() string            // one line for them
}

const (
	fellowsPath  = "/_peers"
	fellowCost   = 24 // descriptors
	operatorCost = 12 // descriptors: mostCallers and four more, of which reserved can spare 16
	limitCost    = 2  // descriptors of the front for limit commands: its listener, and a client that is turned away
	limitShare   = 4  // clients of limit commands may hold one of so many descriptors
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
func divideDescriptors(c *config.Config, fellows, operator bool) descriptors {
	d := descriptors{own: reserved}
	if fellows {
		d.own += fellowCost
	}
	if operator {
		d.own += operatorCost
	}
	if c.Site.RESP.Listen != "" {
		wanted := c.Site.RESP.Most + limitCost
		d.limitClients = max(min(wanted, (c.Sockets-d.own)/limitShare), limitCost+1)
	}
	d.clients = mostClients(c, d.own+d.limitClients)
	d.backends = c.Sockets - d.own - d.limitClients - d.clients
	return d
}

// Run serves clients until ctx ends, then answers what it holds and returns. Fd is
// the clients' listening socket where that came with the process, else below 0. Export
// says where traces and metrics go; nil: nowhere. Fellows is nil where the gateway
// knows of none.
func Run(ctx context.Context, c *config.Config, fd int, export *telemetry.Settings, fellows Peers, reload Reload) error {
	var listener net.Listener
	var err error
	if fd < 0 {
		listener, err = net.Listen("tcp", c.Listen)
	} else {
		listener, err = inherited(fd)
	}
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	if c.Operator == "" {
		return serve(ctx, c, listener, nil, export, fellows, reload)
	}
	desk, err := net.Listen("tcp", c.Operator)
	if err != nil {
		listener.Close()
		return fmt.Errorf("operator: %w", err)
	}
	return serve(ctx, c, listener, desk, export, fellows, reload)
}

// inherited makes a listener of a descriptor that came with the process.
func inherited(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is none", fd)
	}
	defer f.Close() // the listener has a copy
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return l, nil
}

// mostClients is how many connections of clients the limits bear.
// Own is how many the gateway keeps for itself.
func mostClients(c *config.Config, own int) int {
	bySockets := c.Site.Clients.SocketShare * float64(c.Sockets-own)
	byMemory := c.Site.Clients.MemoryShare * float64(c.MemoryMB<<20) / clientCost
	return int(min(bySockets, byMemory))
}

// serve is Run on sockets that are open. Desk is the operators', or nil.
func serve(ctx context.Context, c *config.Config, listener, desk net.Listener, export *telemetry.Settings, fellows Peers, reload Reload) error {
	share := divideDescriptors(c, fellows != nil, desk != nil)
	pools := newPools(seconds(c.ConnectTimeout), seconds(c.KeepAlive), share.backends)
	c.Settings.CheckFrontends = c.Site.Quotas.Fronts
	calls, err := counter.Open(c.Site.Counter, c.Settings, c.Counter)
	if err != nil {
		return err
	}
	var shared owner.Counter // nil without one
	if calls != nil {
		shared = calls
	}
	front := &frontend{deploy: &c.Deployment}
	listed := make(chan struct{})
	gotList := sync.OnceFunc(func() { front.ready.Store(true); close(listed) })
	front.loop = newLoop(c, pools, shared, gotList)

	counts, err := openRollupFile(c.Site.Rollup, c.Name, pools)
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if counts != nil {
		front.loop.Rollup = counts.aggregator(time.Duration(c.Site.Rollup.Every))
		written := make(chan struct{})
		go func() { defer close(written); counts.run() }()
		defer func() { // after the loop, which counts
			front.loop.Rollup.Flush()
			close(counts.lines)
			<-written
		}()
	}
	if export != nil {
		set := *export
		deployed(&set.Tracing, c.Classes, c.ClassNames, c.PlanNames)
		front.loop.share = set.Tracing.SampleRatio
		front.loop.telemetry = telemetry.Start(set, front.loop.Clock.Now, front.loop.figures, slog.Default())
		defer front.loop.telemetry.Close() // last of all: no answer waits for it
	}
	defer front.loop.attempts.Wait() // after the loop, which starts them, and the sweep, which ends them
	defer wg.Wait()
	defer stop()
	if c.Site.RESP.Listen != "" {
		limits, err := openLimits(c, share.limitClients-limitCost, front.loop.EventLoop)
		if err != nil {
			return err
		}
		wg.Go(func() { limits(ctx) })
	}
	book := newHandBook(c.StateDir, c.Name)
	if desk != nil {
		out, _, err := book.changed() // before the first request
		if err != nil {
			desk.Close()
			listener.Close()
			return err
		}
		outByHand{front.loop, out}.Process()
	}
	front.loop.list(c.Known, rules.CachedList)
	wg.Go(func() { front.loop.Run(inner) })
	wg.Go(func() { pools.sweep(inner) })
	if fellows != nil {
		wg.Go(func() { fellows.Run(inner, front.loop.divide) })
	}
	if calls != nil {
		wg.Go(func() { calls.Run(inner) })
	}
	watch := func(address string) (end func()) {
		ctx, cancel := context.WithCancel(inner)
		ended := make(chan struct{})
		wg.Go(func() {
			defer close(ended)
			w := discovery.NewWatcher(address, front.loop.hear)
			w.SetSeed(c.Seed)
			w.Run(ctx)
		})
		return func() { cancel(); <-ended }
	}
	unwatch := watch(c.Discovery)
	known := time.AfterFunc(knownAfter, func() {
		if len(c.Known.Instances) > 0 {
			gotList()
		}
	})
	defer known.Stop()

	callers := newClients(listener, share.clients)
	server := front.server(callers, longest(c))
	if desk != nil {
		staff := &operator{front: front, book: book, fellows: fellows}
		wg.Go(func() { staff.serve(inner, desk) })
		wg.Go(func() { staff.follow(inner) })
		wg.Go(func() { front.empty(inner, callers) })
	}
	failed := make(chan error, 1)
	took := make(chan struct{}) // all that is taken has come
	wg.Go(func() {
		defer close(took)
		if c.Inherited {
			// Danger: what this process takes before it can serve, the other one would have served.
			select {
			case <-listed:
			case <-ctx.Done():
				listener.Close()
				return
			}
		}
		failed <- server.Serve(callers)
	})
	for discovery := c.Discovery; ; {
		select {
		case err := <-failed:
			return fmt.Errorf("clients: %w", err)
		case <-ctx.Done():
			return shutdown(c, front, callers, server, took)
		case <-reload.Signal:
			next, err := reload.Read()
			if err != nil {
				log.Printf("the old configuration stays: %v", err)
				continue
			}
			if calls != nil && next.Settings.HasCounter {
				calls.SetAddress(next.Counter)
			}
			if next.Discovery != discovery {
				// Danger: a version of the old address may mean nothing to the new one. The new
				// watch starts from the whole list; until that comes, the old list stands.
				unwatch()
				discovery, unwatch = next.Discovery, watch(next.Discovery)
			}
			if next.Listen != c.Listen || next.Sockets != c.Sockets || next.MemoryMB != c.MemoryMB ||
				next.Cores != c.Cores || !reflect.DeepEqual(next.Deployment, c.Deployment) {
				log.Print("discovery and counter are as the new configuration says; the rest of it needs a restart")
			}
		}
	}
}

const bindAgain = 100 * time.Millisecond // between tries for an address that the process before still has

// openLimits opens the front for limit commands, which takes so many clients at most, and
// returns what serves it. In an upgrade the process before has the address until it ends; then it is tried for again.
func openLimits(c *config.Config, most int, o *owner.EventLoop) (serve func(context.Context), err error) {
	set := c.Site.RESP
	if most < set.Most {
		log.Printf("resp.most_clients: %d descriptors leave room for %d clients, not %d", c.Sockets, most, set.Most)
		set.Most = most
	}
	front, err := respfront.Open(set, o, c.Settings, c.PlanNames)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	l, err := net.Listen("tcp", c.Site.RESP.Listen)
	if err != nil && !c.Inherited {
		return nil, fmt.Errorf("limit commands: %w", err)
	}
	return func(ctx context.Context) {
		for ; err != nil; l, err = net.Listen("tcp", c.Site.RESP.Listen) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(bindAgain):
			}
		}
		front.Serve(ctx, l)
	}, nil
}

const (
	lameLook  = 100 * time.Millisecond // between looks for idle connections of a drained gateway
	lameQuiet = 500 * time.Millisecond // those without a request for so long are closed; the busy ones close with an answer

	endLook = 20 * time.Millisecond // between looks for idle connections of a gateway that ends
	never   = time.Duration(math.MaxInt64)
)

// empty closes the idle connections of clients while the gateway is drained by
// hand, until ctx ends. New ones may come for a moment, and are served.
func (f *frontend) empty(ctx context.Context, callers *clients) {
	tick := time.NewTicker(lameLook)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if f.lame.Load() {
				callers.closeQuiet(lameQuiet, lameQuiet)
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
func shutdown(c *config.Config, front *frontend, callers *clients, server *http.Server, took <-chan struct{}) error {
	began := time.Now()
	front.leaving.Store(true)
	kill := began.Add(killed(c))
	quiet := time.Duration(0)
	if c.Inherited {
		quiet = stayFor / 2
		callers.Close()
	}
	for end := began.Add(stayFor); time.Now().Before(end); time.Sleep(endLook) {
		callers.closeQuiet(quiet, never)
	}
	if !c.Inherited {
		callers.finish()
	}
	<-took
	// A request may be on its way on a connection that was just made.
	fresh := time.Now().Add(callers.cross)
	answered := false
	for callers.open() > 0 && time.Now().Before(kill.Add(-endMargin)) {
		if !answered && !time.Now().Before(kill.Add(-lastMargin)) {
			answered = true
			front.loop.Post(ending{front.loop})
		}
		if time.Now().Before(fresh) {
			callers.closeQuiet(0, never)
		} else {
			callers.closeQuiet(0, 0)
		}
		time.Sleep(endLook)
	}
	left := callers.open()
	server.Close()
	if left > 0 {
		return fmt.Errorf("connections of clients that were still busy at the end: %d", left)
	}
	return nil
}

// longest is the longest time that a client may wait for its answer.
func longest(c *config.Config) time.Duration {
	most := 0.0
	for _, class := range c.Classes {
		most = max(most, class.Timeout)
	}
	return seconds(most)
}

// killed is how long after it was asked to end a process is killed, at the earliest. The
// grace that answers have after their deadline puts nothing off.
func killed(c *config.Config) time.Duration { return min(longest(c), killMost) + killAfter }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
