package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/lab/load"
	"elderyard/internal/standin/backend"
	"elderyard/internal/standin/collector"
	"elderyard/internal/standin/counter"
	"elderyard/internal/standin/link"
	"elderyard/internal/standin/registry"
	"elderyard/internal/wait"
)

const (
	sides          = 2                       // addresses of counter and registry for each gateway: a reload moves to the other
	oldSideFor     = 1500 * time.Millisecond // the old ones stay so long after a reload
	frontNotice    = 2500 * time.Millisecond // the front notices so late that a gateway has died
	frontLeaves    = 300 * time.Millisecond  // and so late that one is asked to end
	wakeGrace      = 500 * time.Millisecond  // a process that was stopped has so long to catch up
	registryNotice = 1500 * time.Millisecond // the registry notices so late that a backend has died
	silentNotice   = 5 * time.Second         // or has gone silent
	drainFor       = 4 * time.Second         // a draining backend ends after
	pauseEvery     = 2 * time.Second
	badGap         = 150 * time.Millisecond
	watchLook      = 50 * time.Millisecond // between looks for backends that fell
	fallenFor      = 5 * time.Second       // one that fell is started anew after
	mostTries      = 1 << 20
	triesPiece     = 1 << 10
	mostTold       = 1 << 18
	mostCalls      = 1 << 18
	mostAttempts   = 1 << 18 // of one backend

	sigStop, sigCont, sigHup = syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGHUP
	registryReady            = registry.Ready
	registryDraining         = registry.Terminating
	registryGone             = registry.Gone
)

// Lab is a running site. Close must be called; it leaves nothing behind.
type Lab struct {
	site     Site
	binary   string
	dir      string
	spawn    *spawner
	front    *load.Front
	clients  *load.Clients
	arrivals []load.Arrival
	gateways []*gatewayProcess
	nodes    []*node
	limits   *load.Front // who takes limit commands; nil: nobody does
	counter  sharedCounter
	registry *registry.Registry
	// collector takes what gateways export; nil: they export nothing.
	collector *collector.Collector
	peerNetwork   *peerNetwork          // nil: the gateways do not know each other
	twins     []*gatewayProcess // second processes under the names of gateways
	agents    []*agentProcess   // of a fleet, each with the gateway of its place
	keeper    *os.File          // while it is open, the lab lives

	counterTroubles troubles[counter.Trouble]

	ctx    context.Context // of all that the lab does
	cancel context.CancelFunc
	wg     sync.WaitGroup // faults, watches and waits for processes
	done   sync.Once

	mu      sync.Mutex
	start   time.Time
	end     time.Time
	tries   [][]audit.Try // in pieces: to grow one long list would hold up all who add to it
	triesIn int
	takes   []audit.Take
	late    []audit.Window
	excused []audit.Window
	news    []audit.Window
	lost    int
	faults  int
	active  []activeFault
	undo    []func() error
	errs    []error
	taken   map[string]int // requests by gateway

	cpuAtStart, cpuAtEnd time.Duration // of the lab itself
}

type activeFault struct {
	text  string
	until time.Time
	stays bool
}

// node is a backend and all that goes wrong at it at present.
type node struct {
	*backend.Backend
	troubles troubles[backend.Trouble]
	zone     string
}

// suffer adds to what goes wrong, and returns what takes it away.
func (n *node) suffer(t backend.Trouble) (relieve func() error) {
	remove := n.troubles.add(t)
	n.SetTrouble(n.troubles.sum())
	return func() error {
		remove()
		n.SetTrouble(n.troubles.sum())
		return nil
	}
}

// nodeLink is the way from one gateway to one node.
type nodeLink struct {
	n    *node
	peer string
}

func (k nodeLink) Cut()            { k.n.Cut(k.peer) }
func (k nodeLink) Heal(reset bool) { k.n.Heal(reset, k.peer) }

// switches are what can be cut off.
type switches interface {
	Cut()
	Heal(reset bool)
}

func inParallel(list []switches, do func(switches)) {
	var wg sync.WaitGroup
	for _, s := range list {
		wg.Go(func() { do(s) })
	}
	wg.Wait()
}

// Open starts stand-ins and gateways and waits until all gateways are ready.
func Open(ctx context.Context, site Site) (opened *Lab, err error) {
	site.defaults()
	if err := site.check(); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	_, arrivals, err := load.Timeline(load.Config{Seed: site.Seed, Rate: site.Rate, For: site.For, Gateways: site.Gateways,
		Plans: site.plans(), Classes: site.classes(), Surges: site.surges(), Greedy: site.Greedy, GreedyIn: planIndex(site.GreedyIn), Takes: site.Takes})
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
	l := &Lab{site: site, binary: binary, dir: dir, spawn: newSpawner(), arrivals: arrivals, taken: map[string]int{}}
	l.ctx, l.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	if err := l.openStandins(); err != nil {
		return nil, err
	}
	l.wg.Go(func() { l.watchClock(l.ctx) })
	l.wg.Go(func() { l.watchProcesses(l.ctx) })
	l.wg.Go(func() { l.watchFalls(l.ctx) })
	if site.Peers {
		if err := l.openPeerNetwork(); err != nil {
			return nil, err
		}
	}
	if site.fleet != nil {
		if err := l.openFleet(); err != nil {
			return nil, err
		}
		return l, nil
	}
	var starts sync.WaitGroup
	failed := make([]error, len(l.gateways))
	for i, g := range l.gateways[:len(l.gateways)-site.Absent] {
		starts.Go(func() { failed[i] = l.startGateway(l.ctx, g) })
	}
	starts.Wait()
	if err := errors.Join(failed...); err != nil {
		return nil, err
	}
	return l, nil
}

// openStandins starts all that gateways talk to. The gateways themselves are
// only named.
func (l *Lab) openStandins() error {
	s := &l.site
	var names []string
	for i := range s.Gateways {
		name := fmt.Sprint("g", i)
		names = append(names, name)
		l.gateways = append(l.gateways, &gatewayProcess{name: name, rank: i, dir: l.dir, state: Dead})
	}
	callers := slices.Clone(names)
	for i, o := range s.others {
		callers = append(callers, o.name)
		l.gateways = append(l.gateways, &gatewayProcess{name: o.name, rank: s.Gateways + i, dir: l.dir, state: Dead,
			command: func(listen string) *exec.Cmd { return o.command(listen, l.nodeAddresses(o.name)) }})
	}
	l.front = load.NewFront(callers)
	if s.Takes > 0 {
		l.limits = load.NewFront(l.takers())
	}
	h := Habits
	h.Honour = max(0, s.Honour)
	l.clients = &load.Clients{Seed: s.Seed, Habits: h, Plans: s.plans(), Classes: s.classes(), Front: l.front, Sink: l, Units: 1, Slack: ruleSlack,
		Limits: l.limits, Gateways: s.Gateways, TakeWithin: takeWithin}

	links := func(each int, names []string) (list []*link.Link, err error) {
		for range each {
			for _, name := range names {
				k, err := link.Listen(name)
				if err != nil {
					for _, k := range list {
						k.Close()
					}
					return nil, err
				}
				list = append(list, k)
			}
		}
		return list, nil
	}
	multiple := fallMultiple
	if s.neverFall {
		multiple = 0
	}
	cells := make([]*backend.Dedupe, s.Cells)
	for i := range cells {
		cells[i] = backend.NewDedupe(dedupeWindow)
	}
	for i := range s.Nodes {
		ways, err := links(1, callers)
		if err != nil {
			return err
		}
		cell := i % s.Cells
		b, err := backend.Start(backend.Config{ID: fmt.Sprint("n", i), Cell: cell, Cores: s.Cores, Speed: 1, Queue: 25 * s.Cores,
			Conns: 1200, Work: s.work(), Keyed: map[string]bool{"booking": true}, Drops: cells[cell], Idle: keepAlive,
			Handshake: time.Millisecond, Report: 400 * time.Millisecond, Seed: s.Seed, ColdFrom: coldFrom, ColdFor: coldFor,
			FallMultiple: multiple, FallFor: fallFor, MostRecords: mostAttempts}, ways...)
		if err != nil {
			return err
		}
		l.nodes = append(l.nodes, &node{Backend: b, zone: []string{"block-a", "block-b"}[cell%2]})
	}
	ways, err := links(sides, names)
	if err != nil {
		return err
	}
	if l.counter, err = s.openCounter(ways); err != nil {
		return err
	}
	if ways, err = links(sides, names); err != nil {
		return err
	}
	if s.Export {
		exports, err := links(1, names)
		if err != nil {
			return err
		}
		l.collector = collector.Start(s.Seed, exports...)
	}
	l.registry = registry.Start(l.nodeAddress, mostTold, ways...)
	for i, name := range names {
		l.registry.SetDelay(name, time.Duration(400+300*i%900)*time.Millisecond)
	}
	listed := len(l.nodes) - s.unlisted
	for _, n := range l.nodes[:listed] {
		l.tell(n, registryReady)
	}
	for _, n := range l.nodes[listed:] {
		n.Kill()
	}
	return nil
}

// Habits are how the lab's clients retry.
var Habits = load.Habits{Retries: 3, Wait: 120 * time.Millisecond, Doubling: true, Honour: defaultHonour, Elsewhere: 0.5, Impatient: 0.6}

func (l *Lab) nodeAddress(peer, id string) string {
	for _, n := range l.nodes {
		if n.ID() == id {
			return n.Address(peer)
		}
	}
	return ""
}

func (l *Lab) nodeAddresses(peer string) (list []string) {
	for _, n := range l.nodes {
		list = append(list, n.Address(peer))
	}
	return list
}

func (l *Lab) tell(n *node, lifecycle string) {
	started := int64(0)
	if born := n.Born(); !born.IsZero() {
		started = born.UnixMilli()
	}
	l.registry.Set(registry.Instance{ID: n.ID(), Zone: n.zone, Type: "std-2core", Cell: n.Cell(), Lifecycle: lifecycle, Weight: 1, StartedAt: started})
}

// links are a gateway's ways to counter and registry on one side.
func (l *Lab) links(g *gatewayProcess, side int) []*link.Link {
	at := side*l.site.Gateways + g.rank
	return []*link.Link{l.counter.Links()[at], l.registry.Links()[at]}
}

func (l *Lab) counterOf(g *gatewayProcess) string   { return l.links(g, g.side)[0].Address() }
func (l *Lab) discoveryOf(g *gatewayProcess) string { return l.links(g, g.side)[1].Address() }

// Play plays the load and the scripted faults and returns when all that was
// asked has its end. An error means that the lab itself could not go on; what
// the gateways did is a matter of the Verdict.
func (l *Lab) Play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	start := time.Now().Add(50 * time.Millisecond)
	l.mu.Lock()
	l.start, l.cpuAtStart = start, selfCPU()
	l.mu.Unlock()
	directed := make(chan struct{})
	go func() {
		defer close(directed)
		l.direct(ctx, start)
	}()
	l.clients.Play(ctx, start, l.arrivals)
	<-directed
	wait.Until(ctx, start.Add(l.site.For))
	l.mu.Lock()
	l.end, l.cpuAtEnd = time.Now(), selfCPU()
	undo := l.undo
	l.undo = nil
	l.mu.Unlock()
	if err := all(undo)(); err != nil {
		l.fail(err)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.errs...)
}

// Close ends all that the lab started. It may be called at any time, and twice.
func (l *Lab) Close() {
	l.done.Do(func() {
		l.cancel()
		l.closeFleet()
		l.mu.Lock()
		ours := slices.Concat(l.gateways, l.twins)
		l.mu.Unlock()
		for _, g := range ours {
			if err := l.killGateway(g); err != nil && !errors.Is(err, errNotRunning) && !errors.Is(err, os.ErrProcessDone) {
				l.site.Log("%v", err)
			}
		}
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
		l.wg.Wait()
		for _, g := range ours { // one may have been on its way up
			l.killGateway(g)
		}
		l.spawn.close()
		if err := os.RemoveAll(l.dir); err != nil {
			l.site.Log("lab: %v", err)
		}
	})
}

func (l *Lab) fail(err error) {
	l.site.Log("%v", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errs = append(l.errs, err)
}

func (l *Lab) atEnd(undo func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.undo = append(l.undo, undo)
}

// Try takes what a client saw.
func (l *Lab) Try(t audit.Try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Outcome != audit.NotTaken {
		l.taken[t.Gateway]++
	}
	if l.triesIn >= mostTries {
		l.lost++
		return
	}
	if l.triesIn%triesPiece == 0 {
		l.tries = append(l.tries, make([]audit.Try, 0, triesPiece))
	}
	last := &l.tries[len(l.tries)-1]
	*last = append(*last, t)
	l.triesIn++
}

// Take takes what a client of limit commands saw.
func (l *Lab) Take(t audit.Take) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.takes) >= mostTries {
		l.lost++
		return
	}
	l.takes = append(l.takes, t)
}

// excuse notes that what a gateway holds from now on is lost by the lab's own
// doing, until the returned function is called.
func (l *Lab) excuse(g *gatewayProcess, what string) (end func()) {
	return l.excuseSince(time.Now(), g, what)
}

func (l *Lab) excuseSince(from time.Time, g *gatewayProcess, what string) (end func()) {
	return l.window(&l.excused, from, g.name, what)
}

// excuseNews notes that a gateway hears no news.
func (l *Lab) excuseNews(g *gatewayProcess) (end func()) {
	return l.window(&l.news, time.Now(), g.name, "cut off")
}

func (l *Lab) window(list *[]audit.Window, from time.Time, gateway, what string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(*list)
	*list = append(*list, audit.Window{Gateway: gateway, From: from, To: time.Now().Add(mostFor), What: what})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		(*list)[n].To = time.Now()
	}
}

// watchFalls starts backends anew that fell, some seconds later, as an operator
// would; the auditor has the fall.
func (l *Lab) watchFalls(ctx context.Context) {
	down := map[*node]bool{}
	for wait.For(ctx, watchLook) {
		for i, n := range l.nodes {
			if !n.Fallen() || down[n] {
				down[n] = n.Fallen()
				continue
			}
			down[n] = true
			l.site.Log("%s fell over", n.ID())
			l.wg.Go(func() {
				if wait.For(ctx, registryNotice) {
					l.tell(n, registryGone)
				}
				if wait.For(ctx, fallenFor) {
					if err := l.comeBack([]int{i})(); err != nil {
						l.fail(err)
					}
				}
			})
		}
	}
}

// Collector takes what the gateways export, of a site that exports; else it is nil.
func (l *Lab) Collector() *collector.Collector { return l.collector }

// Verdict rules on what has been played so far.
func (l *Lab) Verdict() audit.Verdict {
	var log audit.Log
	for _, n := range l.nodes {
		attempts, beyond, falls := n.Record()
		log.Lost += beyond
		for _, a := range attempts {
			log.Attempts = append(log.Attempts, audit.Attempt{Backend: a.Backend, Cell: a.Cell, Gateway: a.Peer, ID: a.ID, Key: a.Key,
				First: a.First, Whole: a.Whole, Over: a.Over, NotRan: a.End == backend.TurnedAway, Ran: a.Ran, Sum: a.Sum})
		}
		for _, f := range falls {
			log.Falls = append(log.Falls, audit.Fall(f))
		}
	}
	told, beyond := l.registry.Record()
	log.Lost += beyond
	for _, t := range told {
		log.Told = append(log.Told, audit.Told{Gateway: t.Peer, Backend: t.Instance, Ready: t.Lifecycle == registryReady, At: t.At})
	}
	l.mu.Lock()
	log.From, log.To = l.start, l.end
	for _, piece := range l.tries {
		log.Tries = append(log.Tries, piece...)
	}
	log.Takes = append(log.Takes, l.takes...)
	log.Late = append(log.Late, l.late...)
	log.Excused = append(log.Excused, l.excused...)
	log.Deaf = append(log.Deaf, l.news...)
	log.Lost += l.lost
	for _, g := range l.gateways {
		p := g.process()
		p.Requests = l.taken[g.name]
		log.Processes = append(log.Processes, p)
	}
	l.mu.Unlock()
	// What came before the load began is no matter of its rules.
	log.Late = after(log.Late, log.From)
	v := audit.Judge(l.site.rules(), log)
	if l.peerNetwork != nil {
		v.Members = audit.JudgeMembers(l.memberRules(), l.peerNetwork.read())
		v.Findings = append(v.Findings, v.Members.Findings...)
	}
	return v
}

func after(list []audit.Window, from time.Time) (kept []audit.Window) {
	for _, w := range list {
		if w.To.After(from) {
			kept = append(kept, w)
		}
	}
	return kept
}

// Snapshot is what a screen shows of a running lab.
type Snapshot struct {
	At       time.Duration // since the start of the load
	Of       time.Duration
	Progress load.Progress
	Classes  []string
	Plans    []string
	Gateways []GatewayShot
	Nodes    []NodeShot
	Faults   []string
	Late     int
}

// GatewayShot is one gateway at a moment.
type GatewayShot struct {
	Name   string
	State  State
	PeakMB float64
	Files  int
	CPU    time.Duration
	Taken  int
}

// NodeShot is one backend at a moment.
type NodeShot struct {
	Name          string
	Held, Waiting int
	Down          bool
}

// Snapshot returns the state of the lab at this moment.
func (l *Lab) Snapshot() Snapshot {
	s := Snapshot{Of: l.site.For, Progress: l.clients.Progress()}
	for _, c := range l.site.classes() {
		s.Classes = append(s.Classes, c.Name)
	}
	for _, p := range l.site.plans() {
		s.Plans = append(s.Plans, p.Name)
	}
	for _, n := range l.nodes {
		held, waiting, down := n.Load()
		s.Nodes = append(s.Nodes, NodeShot{n.ID(), held, waiting, down})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.start.IsZero() {
		s.At = max(0, min(now.Sub(l.start), s.Of))
	}
	for _, g := range l.gateways {
		p := g.process()
		g.mu.Lock()
		state := g.state
		g.mu.Unlock()
		s.Gateways = append(s.Gateways, GatewayShot{g.name, state, p.PeakMB, p.Files, p.CPU, l.taken[g.name]})
	}
	for _, f := range l.active {
		if f.stays || now.Before(f.until) {
			s.Faults = append(s.Faults, f.text)
		}
	}
	s.Late = len(l.late)
	return s
}

// Site returns the site with its defaults filled in.
func (l *Lab) Site() Site { return l.site }
