package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/lab/load"
	"elderyard/internal/standin/collector"
	"elderyard/internal/standin/counter"
	"elderyard/internal/standin/registry"
	"elderyard/internal/wait"
)

const (
	// sides is how many addresses of counter and registry each gateway has: a reload moves to the other.
	sides               = 2
	oldAddressesKeptFor = 1500 * time.Millisecond // after a reload

	frontDetectsDeathAfter      = 2500 * time.Millisecond
	frontDetectsDrainAfter      = 300 * time.Millisecond
	registryDetectsDeathAfter   = 1500 * time.Millisecond
	registryDetectsSilenceAfter = 5 * time.Second

	wakeGrace          = 500 * time.Millisecond // for a process that was stopped to catch up
	nodeDrainTime      = 4 * time.Second
	pauseInterval      = 2 * time.Second // from one pause of a node to the next
	badClientInterval  = 150 * time.Millisecond
	fallCheckInterval  = 50 * time.Millisecond
	restartFallenAfter = 5 * time.Second
	startDelay         = 50 * time.Millisecond // from Play to the start of the load

	maxTries           = 1 << 20
	triesPerChunk      = 1 << 10
	maxRegistryRecords = 1 << 18
	maxCounterRecords  = 1 << 18
	maxNodeRecords     = 1 << 18 // of each backend
)

// Signals and lifecycles that the lab uses.
const (
	sigStop          = syscall.SIGSTOP
	sigCont          = syscall.SIGCONT
	sigHup           = syscall.SIGHUP
	registryReady    = registry.Ready
	registryDraining = registry.Terminating
	registryGone     = registry.Gone
)

// Lab is a running site. The caller must call Close, which leaves no process or file behind.
type Lab struct {
	site        Site
	binary      string
	dir         string
	spawn       *spawner
	front       *load.Front
	clients     *load.Clients
	arrivals    []load.Arrival
	gateways    []*gatewayProcess
	nodes       []*node
	limits      *load.Front // routes limit commands; nil: there are none
	counter     sharedCounter
	registry    *registry.Registry
	collector   *collector.Collector // nil: the gateways export nothing
	peerNetwork *peerNetwork         // nil: the gateways do not know each other
	twins       []*gatewayProcess    // second processes under the names of gateways
	agents      []*agentProcess      // of a fleet, each with the gateway of the same index
	aliveFile   *os.File             // open while the lab is alive

	counterFaults overlappingFaults[counter.Faults]

	ctx    context.Context // of all that the lab does
	cancel context.CancelFunc
	wg     sync.WaitGroup // faults, watchers and waits for processes
	closed sync.Once

	mu                sync.Mutex
	start             time.Time
	end               time.Time
	tries             [][]audit.Try // in chunks: growing one long slice would block all writers
	tryCount          int
	takes             []audit.Take
	late              []audit.Window
	excused           []audit.Window
	deaf              []audit.Window
	dropped           int // records that did not fit
	faults            int // injected by Fault
	active            []activeFault
	undo              []func() error
	errs              []error
	requestsByGateway map[string]int

	cpuAtStart, cpuAtEnd time.Duration // of the lab itself
}

// activeFault is a fault that a Snapshot shows.
type activeFault struct {
	text      string
	until     time.Time
	permanent bool
}

// Open starts stand-ins and gateways and waits until all gateways are ready.
func Open(ctx context.Context, site Site) (opened *Lab, err error) {
	site.defaults()
	if err := site.check(); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	arrivals, err := site.arrivals()
	if err != nil {
		return nil, err
	}
	program := gatewayName
	if site.Peers {
		program = peersName
	}
	binary, err := findProgram(site.Gateway, program)
	if err != nil {
		return nil, err
	}
	dir, err := makeDir()
	if err != nil {
		return nil, err
	}
	l := &Lab{site: site, binary: binary, dir: dir, spawn: newSpawner(), arrivals: arrivals, requestsByGateway: map[string]int{}}
	l.ctx, l.cancel = context.WithCancel(ctx)
	if err := l.open(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// arrivals returns the timeline of the site's load.
func (s *Site) arrivals() ([]load.Arrival, error) {
	_, arrivals, err := load.Timeline(load.Config{
		Seed:     s.Seed,
		Rate:     s.Rate,
		For:      s.For,
		Gateways: s.Gateways,
		Plans:    s.plans(),
		Classes:  s.classes(),
		Surges:   s.surges(),
		Greedy:   s.Greedy,
		GreedyIn: planIndex(s.GreedyIn),
		Takes:    s.Takes,
	})
	return arrivals, err
}

// open starts everything that the site has.
func (l *Lab) open() error {
	if err := l.openStandins(); err != nil {
		return err
	}
	l.wg.Go(func() { l.watchClock(l.ctx) })
	l.wg.Go(func() { l.watchProcesses(l.ctx) })
	l.wg.Go(func() { l.restartFallenNodes(l.ctx) })
	if l.site.Peers {
		if err := l.openPeerNetwork(); err != nil {
			return err
		}
	}
	if l.site.fleet != nil {
		return l.openFleet()
	}
	return l.startGateways(l.gateways[:len(l.gateways)-l.site.Absent])
}

// startGateways starts gateways at the same time and waits until all are ready.
func (l *Lab) startGateways(gateways []*gatewayProcess) error {
	var starting sync.WaitGroup
	errs := make([]error, len(gateways))
	for i, g := range gateways {
		starting.Go(func() { errs[i] = l.startGateway(l.ctx, g) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// Play plays the load and the scripted faults, and returns when every request has ended. An error means that the lab
// itself failed; Verdict judges what the gateways did.
func (l *Lab) Play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	start := time.Now().Add(startDelay)
	l.mu.Lock()
	l.start, l.cpuAtStart = start, selfCPU()
	l.mu.Unlock()
	var scripted sync.WaitGroup
	scripted.Go(func() { l.runScriptedFaults(ctx, start) })
	l.clients.Play(ctx, start, l.arrivals)
	scripted.Wait()
	wait.Until(ctx, start.Add(l.site.For))
	l.endFaults()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.errs...)
}

// endFaults marks the end of the load and ends the faults that last until then.
func (l *Lab) endFaults() {
	l.mu.Lock()
	l.end, l.cpuAtEnd = time.Now(), selfCPU()
	undo := l.undo
	l.undo = nil
	l.mu.Unlock()
	if err := undoAll(undo)(); err != nil {
		l.addError(err)
	}
}

// Close ends everything that the lab started. It may be called at any time, and more than once.
func (l *Lab) Close() {
	l.closed.Do(l.close)
}

func (l *Lab) close() {
	l.cancel()
	l.closeFleet()
	l.mu.Lock()
	gateways := slices.Concat(l.gateways, l.twins)
	l.mu.Unlock()
	for _, g := range gateways {
		if err := l.killGateway(g); err != nil && !errors.Is(err, errNotRunning) && !errors.Is(err, os.ErrProcessDone) {
			l.site.Log("%v", err)
		}
	}
	l.closeStandins()
	l.wg.Wait()
	for _, g := range gateways { // one may have been starting
		l.killGateway(g)
	}
	l.spawn.close()
	if err := os.RemoveAll(l.dir); err != nil {
		l.site.Log("lab: %v", err)
	}
}

// closeStandins closes the stand-ins that have been opened.
func (l *Lab) closeStandins() {
	if l.front != nil {
		l.front.Close()
	}
	if l.limits != nil {
		l.limits.Close()
	}
	for _, n := range l.nodes {
		n.Close()
	}
	if l.counter != nil {
		l.counter.Close()
	}
	if l.registry != nil {
		l.registry.Close()
	}
	if l.collector != nil {
		l.collector.Close()
	}
	if l.peerNetwork != nil {
		l.peerNetwork.proxy.Close()
	}
}

// addError logs an error and has Play return it.
func (l *Lab) addError(err error) {
	l.site.Log("%v", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errs = append(l.errs, err)
}

// undoAtEnd has a fault end with the load.
func (l *Lab) undoAtEnd(undo func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.undo = append(l.undo, undo)
}

// Collector returns the collector that the gateways export to, nil if the site does not export.
func (l *Lab) Collector() *collector.Collector { return l.collector }

// Site returns the site with its defaults filled in.
func (l *Lab) Site() Site { return l.site }
