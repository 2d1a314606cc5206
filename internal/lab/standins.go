package lab

import (
	"context"
	"fmt"
	"os/exec"
	"sync"
	"time"

	"elderyard/internal/lab/load"
	"elderyard/internal/standin/backend"
	"elderyard/internal/standin/collector"
	"elderyard/internal/standin/link"
	"elderyard/internal/standin/registry"
	"elderyard/internal/wait"
)

const (
	nodeQueuePerCore   = 25
	maxNodeConnections = 1200
	nodeReportInterval = 400 * time.Millisecond
)

// zones are the zones of the lab's deployment.
var zones = [...]string{"block-a", "block-b"}

// node is a backend with the faults that are active at it.
type node struct {
	*backend.Backend
	faults overlappingFaults[backend.Faults]
	zone   string
}

// injectFault adds a fault and returns the function that removes it.
func (n *node) injectFault(fault backend.Faults) (undo func() error) {
	remove := n.faults.add(fault)
	n.SetFaults(n.faults.worst())
	return func() error {
		remove()
		n.SetFaults(n.faults.worst())
		return nil
	}
}

// nodeLink is the link from one gateway to one node.
type nodeLink struct {
	node    *node
	gateway string
}

// Cut blocks the link from the gateway to the node.
func (k nodeLink) Cut() { k.node.Cut(k.gateway) }

// Heal unblocks the link; with reset, connections that were open are reset.
func (k nodeLink) Heal(reset bool) { k.node.Heal(reset, k.gateway) }

// cuttable is a link that can be cut.
type cuttable interface {
	Cut()
	Heal(reset bool)
}

// healKept heals a link without resetting its connections.
func healKept(c cuttable) { c.Heal(false) }

// inParallel calls do for all of a list at the same time and waits.
func inParallel(list []cuttable, do func(cuttable)) {
	var wg sync.WaitGroup
	for _, s := range list {
		wg.Go(func() { do(s) })
	}
	wg.Wait()
}

// openStandins starts everything that gateways talk to. The gateways are added, but not started.
func (l *Lab) openStandins() error {
	callers := l.addGateways()
	l.openClients(callers)
	if err := l.openNodes(callers); err != nil {
		return err
	}
	gateways := callers[:l.site.Gateways]
	counterLinks, err := listenAll(sides, gateways)
	if err != nil {
		return err
	}
	if l.counter, err = l.site.openCounter(counterLinks); err != nil {
		return err
	}
	registryLinks, err := listenAll(sides, gateways)
	if err != nil {
		return err
	}
	if l.site.Export {
		collectorLinks, err := listenAll(1, gateways)
		if err != nil {
			return err
		}
		l.collector = collector.Start(l.site.Seed, collectorLinks...)
	}
	l.openRegistry(gateways, registryLinks)
	return nil
}

// addGateways adds the gateways, then the other programs that call backends, and returns the names of all.
func (l *Lab) addGateways() (names []string) {
	s := &l.site
	for i := range s.Gateways {
		name := fmt.Sprint("g", i)
		names = append(names, name)
		l.gateways = append(l.gateways, &gatewayProcess{name: name, rank: i, dir: l.dir, state: Dead})
	}
	for i, o := range s.others {
		names = append(names, o.name)
		command := func(listen string) *exec.Cmd { return o.command(listen, l.nodeAddresses(o.name)) }
		l.gateways = append(l.gateways, &gatewayProcess{name: o.name, rank: s.Gateways + i, dir: l.dir, state: Dead, command: command})
	}
	return names
}

// openClients makes the clients and the fronts that route them to gateways.
func (l *Lab) openClients(callers []string) {
	s := &l.site
	l.front = load.NewFront(callers)
	if s.Takes > 0 {
		l.limits = load.NewFront(l.takers())
	}
	habits := Habits
	habits.Honour = max(0, s.Honour)
	l.clients = &load.Clients{
		Seed:       s.Seed,
		Habits:     habits,
		Plans:      s.plans(),
		Classes:    s.classes(),
		Front:      l.front,
		Sink:       l,
		Units:      1,
		Slack:      ruleSlack,
		Limits:     l.limits,
		Gateways:   s.Gateways,
		TakeWithin: takeWithin,
	}
}

// listenAll opens count rounds of links, each with one link per name.
func listenAll(count int, names []string) (links []*link.Link, err error) {
	for range count {
		for _, name := range names {
			opened, err := link.Listen(name)
			if err != nil {
				for _, k := range links {
					k.Close()
				}
				return nil, err
			}
			links = append(links, opened)
		}
	}
	return links, nil
}

// openNodes starts the backends.
func (l *Lab) openNodes(callers []string) error {
	cells := make([]*backend.Dedupe, l.site.Cells)
	for i := range cells {
		cells[i] = backend.NewDedupe(dedupeWindow)
	}
	for i := range l.site.Nodes {
		links, err := listenAll(1, callers)
		if err != nil {
			return err
		}
		cell := i % l.site.Cells
		started, err := backend.Start(l.site.backendConfig(i, cell, cells[cell]), links...)
		if err != nil {
			return err
		}
		l.nodes = append(l.nodes, &node{Backend: started, zone: zones[cell%len(zones)]})
	}
	return nil
}

// backendConfig returns the configuration of one backend.
func (s *Site) backendConfig(number, cell int, dedupe *backend.Dedupe) backend.Config {
	multiple := fallMultiple
	if s.neverFall {
		multiple = 0
	}
	return backend.Config{
		ID:             fmt.Sprint("n", number),
		Cell:           cell,
		Cores:          s.Cores,
		Speed:          1,
		Queue:          nodeQueuePerCore * s.Cores,
		Conns:          maxNodeConnections,
		Work:           s.work(),
		Keyed:          map[string]bool{"booking": true},
		Dedupe:         dedupe,
		Idle:           keepAlive,
		Handshake:      time.Millisecond,
		ReportInterval: nodeReportInterval,
		Seed:           s.Seed,
		ColdSpeed:      coldFrom,
		WarmUp:         coldFor,
		FallMultiple:   multiple,
		FallFor:        fallFor,
		MaxRecords:     maxNodeRecords,
	}
}

// openRegistry starts the registry, which lists all nodes as ready but the site's unlisted ones, which are down. Its delay differs from gateway to gateway.
func (l *Lab) openRegistry(gateways []string, links []*link.Link) {
	l.registry = registry.Start(l.nodeAddress, maxRegistryRecords, links...)
	for i, name := range gateways {
		delay := time.Duration(400+300*i%900) * time.Millisecond
		l.registry.SetDelay(name, delay)
	}
	listed := len(l.nodes) - l.site.unlisted
	for _, n := range l.nodes[:listed] {
		l.announceNode(n, registryReady)
	}
	for _, n := range l.nodes[listed:] {
		n.Kill()
	}
}

// Habits say how the lab's clients retry.
var Habits = load.Habits{Retries: 3, Wait: 120 * time.Millisecond, Doubling: true, Honour: defaultHonour, Elsewhere: 0.5, Impatient: 0.6}

// nodeAddress returns the address at which a caller reaches a node, "" if there is no such node.
func (l *Lab) nodeAddress(peer, id string) string {
	for _, n := range l.nodes {
		if n.ID() == id {
			return n.Address(peer)
		}
	}
	return ""
}

// nodeAddresses returns the addresses at which a caller reaches the nodes.
func (l *Lab) nodeAddresses(peer string) (list []string) {
	for _, n := range l.nodes {
		list = append(list, n.Address(peer))
	}
	return list
}

// announceNode sets a node's state in the registry.
func (l *Lab) announceNode(n *node, lifecycle string) {
	started := int64(0)
	if born := n.StartedAt(); !born.IsZero() {
		started = born.UnixMilli()
	}
	l.registry.Set(registry.Instance{ID: n.ID(), Zone: n.zone, Type: "std-2core", Cell: n.Cell(), Lifecycle: lifecycle, Weight: 1, StartedAt: started})
}

// stateLinks returns a gateway's links to counter and registry on one side.
func (l *Lab) stateLinks(g *gatewayProcess, side int) []*link.Link {
	at := side*l.site.Gateways + g.rank
	return []*link.Link{l.counter.Links()[at], l.registry.Links()[at]}
}

func (l *Lab) counterOf(g *gatewayProcess) string { return l.stateLinks(g, g.side)[0].Address() }

func (l *Lab) discoveryOf(g *gatewayProcess) string { return l.stateLinks(g, g.side)[1].Address() }

// restartFallenNodes restarts backends that broke down under overload, after some seconds, as an operator would. The
// auditor counts each breakdown.
func (l *Lab) restartFallenNodes(ctx context.Context) {
	down := map[*node]bool{}
	for wait.For(ctx, fallCheckInterval) {
		for i, n := range l.nodes {
			if !n.Fallen() || down[n] {
				down[n] = n.Fallen()
				continue
			}
			down[n] = true
			l.site.Log("%s fell over", n.ID())
			l.wg.Go(func() { l.restartFallen(ctx, i) })
		}
	}
}

func (l *Lab) restartFallen(ctx context.Context, index int) {
	if wait.For(ctx, registryDetectsDeathAfter) {
		l.announceNode(l.nodes[index], registryGone)
	}
	if !wait.For(ctx, restartFallenAfter) {
		return
	}
	if err := l.restartNodes([]int{index})(); err != nil {
		l.addError(err)
	}
}
