package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"elderyard/internal/lab/load"
	"elderyard/internal/standin/backend"
	"elderyard/internal/standin/collector"
	"elderyard/internal/standin/counter"
	"elderyard/internal/strict"
	"elderyard/internal/wait"
)

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind    string
	At      time.Duration // from the start of the load
	For     time.Duration // 0: for good, or for as long as the kind takes by itself
	Targets []string      // names such as "n3" or "g0"; empty: Share of all
	Share   float64       // of the possible targets, at least one; 0: all
	Size    float64       // what it means stands with the kind; 0: its default
	Plan    string        // of a surge
}

// scope says what a kind of fault strikes.
type scope string

const (
	onNode     scope = "node"
	onGateway  scope = "gateway"
	onCounter  scope = "counter"
	onRegistry scope = "registry"
	onExport   scope = "collector"
	onPlan     scope = "plan"
	onClients  scope = "clients"
	onPeers    scope = "ways between gateways"
)

// kind is one kind of fault.
type kind struct {
	name  string
	scope scope
	about string
	size  float64 // default
	least float64
	most  float64
	unit  string // what the size means; "" where it has none
	need  bool   // For must be given
	once  bool   // it has no length, and For must not be given
	whole bool   // it strikes all that there is, and targets can't be chosen
	// apply begins it for the targets and returns what ends it, if anything does.
	apply func(ctx context.Context, l *Lab, f *Fault, targets []int) (undo func() error, err error)
}

// kinds are all the faults there are. They are set in init, since what applies
// them reads the list.
var kinds []kind

func init() {
	kinds = []kind{
		{name: "gateway-kill", scope: onGateway, need: true, about: "the process is killed, and started anew after the time", apply: gatewayKill},
		{name: "gateway-stop", scope: onGateway, need: true, about: "the process is stopped (SIGSTOP), and wakes after the time", apply: gatewayStop},
		{name: "gateway-restart", scope: onGateway, once: true, about: "a planned restart: SIGTERM, its drain, a new start", apply: gatewayRestart},
		{name: "gateway-reload", scope: onGateway, once: true, about: "counter and discovery move: the configuration is replaced, then SIGHUP", apply: gatewayReload},
		{name: "gateway-cut", scope: onGateway, need: true, about: "the gateway is cut off from backends, counter and registry; connections stay open and silent", apply: gatewayCut},

		{name: "node-kill", scope: onNode, need: true, about: "the backend dies, and starts cold after the time", apply: nodeKill},
		{name: "node-vanish", scope: onNode, need: true, about: "the backend goes silent, and is back cold after the time, its connections reset", apply: nodeVanish},
		{name: "node-cut", scope: onNode, need: true, about: "a partition: silence, and then what was held back goes on its way", apply: nodeCut},
		{name: "node-reset", scope: onNode, about: "open connections are reset, again and again through the time", size: 1, least: 0.2, most: 20, unit: "times a second", apply: nodeReset},
		{name: "node-slow", scope: onNode, about: "work takes longer", size: 2, least: 1, most: 100, unit: "times as long", apply: nodeTrouble},
		{name: "node-pause", scope: onNode, need: true, about: "stands still, again and again, every two seconds", size: 300, least: 10, most: 1900, unit: "ms", apply: nodePause},
		{name: "node-errors", scope: onNode, about: "answers 500 at once", size: 0.6, least: 0, most: 1, unit: "share of requests", apply: nodeTrouble},
		{name: "node-spoil", scope: onNode, about: "answers what can't be read", size: 0.1, least: 0, most: 1, unit: "share of requests", apply: nodeTrouble},
		{name: "node-endless", scope: onNode, about: "answers without an end", size: 0.05, least: 0, most: 1, unit: "share of requests", apply: nodeTrouble},
		{name: "node-copies", scope: onNode, about: "sends its answer twice", size: 0.3, least: 0, most: 1, unit: "share of requests", apply: nodeTrouble},
		{name: "node-refuse", scope: onNode, about: "turns requests away unprocessed", size: 0.5, least: 0, most: 1, unit: "share of requests", apply: nodeTrouble},
		{name: "node-drain", scope: onNode, need: true, about: "is taken out by the registry, ends, and starts cold after the time", apply: nodeDrain},

		{name: "counter-gone", scope: onCounter, whole: true, about: "the counter's process is dead: connections are refused", apply: counterGone},
		{name: "counter-silent", scope: onCounter, need: true, about: "the counter answers the targets no more; connections stay open", apply: counterSilent},
		{name: "counter-split", scope: onCounter, whole: true, need: true, about: "two halves of the gateways see counters that don't hear of each other; then one is kept", apply: counterSplit},
		{name: "counter-empty", scope: onCounter, once: true, whole: true, about: "the counter has forgotten everything", apply: counterEmpty},
		{name: "counter-double", scope: onCounter, whole: true, about: "amounts are added twice", size: 0.3, least: 0, most: 1, unit: "share of calls", apply: counterTrouble},
		{name: "counter-late", scope: onCounter, whole: true, about: "answers come late", size: 80, least: 1, most: 10000, unit: "ms", apply: counterTrouble},
		{name: "counter-refuse", scope: onCounter, whole: true, about: "calls are turned away", size: 0.5, least: 0, most: 1, unit: "share of calls", apply: counterTrouble},
		{name: "counter-spoil", scope: onCounter, whole: true, about: "answers have no number in them", size: 0.1, least: 0, most: 1, unit: "share of calls", apply: counterTrouble},
		{name: "counter-endless", scope: onCounter, whole: true, about: "answers have no end", size: 0.05, least: 0, most: 1, unit: "share of calls", apply: counterTrouble},

		{name: "registry-silent", scope: onRegistry, need: true, about: "discovery answers the targets no more", apply: registrySilent},
		{name: "registry-stale", scope: onRegistry, need: true, about: "discovery goes on answering from the list of that moment", apply: registryStale},

		{name: "collector-gone", scope: onExport, whole: true, need: true, about: "the collector of stories and metrics is dead: connections are refused", apply: collectorGone},
		{name: "collector-silent", scope: onExport, whole: true, need: true, about: "the collector takes what is sent and never answers", apply: collectorSilent},

		{name: "gateway-starve", scope: onGateway, need: true, about: "the process gets hardly any time on a core: it is stopped again and again for a moment", size: 0.8, least: 0.1, most: 0.98, unit: "share of the time", apply: gatewayStarve},

		{name: "peers-cut", scope: onPeers, need: true, about: "the targets and the other gateways don't hear each other; each part goes on by itself", apply: peersCut},
		{name: "peers-apart", scope: onPeers, need: true, about: "each target hears no gateway at all, and none hears it", apply: peersApart},
		{name: "peers-deaf", scope: onPeers, need: true, about: "the targets hear no other gateway; the others hear them", apply: peersDeaf},
		{name: "peers-mute", scope: onPeers, need: true, about: "no other gateway hears the targets; they hear the others", apply: peersMute},
		{name: "peers-ring", scope: onPeers, need: true, whole: true, about: "each gateway and its two neighbours by number hear each other, and nobody else", apply: peersRing},
		{name: "peers-flap", scope: onPeers, need: true, about: "the targets are cut off and back, again and again", size: 1, least: 0.1, most: 5, unit: "times a second", apply: peersFlap},
		{name: "peers-loss", scope: onPeers, need: true, about: "datagrams to and from the targets are lost", size: 0.3, least: 0, most: 1, unit: "share of datagrams", apply: peersTrouble},
		{name: "peers-late", scope: onPeers, need: true, about: "what goes to and from the targets is late", size: 500, least: 1, most: 10000, unit: "ms", apply: peersTrouble},
		{name: "peers-muddle", scope: onPeers, need: true, about: "datagrams to and from the targets come twice, and in another order", size: 0.3, least: 0, most: 1, unit: "share of datagrams", apply: peersTrouble},

		{name: "surge", scope: onPlan, whole: true, need: true, about: "all accounts of one plan ask for more; drawn into the timeline, so not to be switched live", size: 4, least: 1, most: 50, unit: "times as much"},
		{name: "bad-clients", scope: onClients, whole: true, about: "clients that send what no gateway should take", size: 6, least: 1, most: 200, unit: "clients", apply: badClients},
	}
}

// FaultKind describes a kind of fault to a person.
type FaultKind struct {
	Name, Strikes, About, Size string
	NeedsFor                   bool
}

// FaultKinds lists the kinds of fault that there are.
func FaultKinds() (list []FaultKind) {
	for _, k := range kinds {
		size := ""
		if k.unit != "" {
			size = fmt.Sprintf("%g to %g %s, else %g", k.least, k.most, k.unit, k.size)
		}
		list = append(list, FaultKind{k.name, string(k.scope), k.about, size, k.need})
	}
	return list
}

func kindOf(name string) *kind {
	for i := range kinds {
		if kinds[i].name == name {
			return &kinds[i]
		}
	}
	return nil
}

// check finds what is wrong with a fault on a site.
func (f *Fault) check(s *Site) *keyError {
	k := kindOf(f.Kind)
	if k == nil {
		var names []string
		for _, k := range kinds {
			names = append(names, k.name)
		}
		if near := strict.Near(f.Kind, names); near != "" {
			return wrong("kind", "there is no fault %q; did you mean %q?", f.Kind, near)
		}
		return wrong("kind", "there is no fault %q; they are %s", f.Kind, strings.Join(names, ", "))
	}
	switch {
	case f.At < 0 || f.At >= s.For:
		return wrong("at", "%v is not within the %v of the load", f.At, s.For)
	case f.For < 0:
		return wrong("for", "%v is below 0", f.For)
	case k.need && f.For == 0:
		return wrong("for", "%s needs a time", f.Kind)
	case !(f.Share >= 0 && f.Share <= 1):
		return wrong("share", "%g is not between 0 and 1", f.Share)
	case f.Share > 0 && len(f.Targets) > 0:
		return wrong("share", "targets are named, so no share can be asked for")
	case k.unit == "" && f.Size != 0:
		return wrong("size", "%s has none", f.Kind)
	case k.unit != "" && f.Size != 0 && !(f.Size >= k.least && f.Size <= k.most):
		return wrong("size", "%g is not between %g and %g %s", f.Size, k.least, k.most, k.unit)
	case k.scope != onPlan && f.Plan != "":
		return wrong("plan", "%s strikes no plan", f.Kind)
	case k.scope == onPlan && planIndex(f.Plan) < 0:
		return wrong("plan", "there is no plan %q", f.Plan)
	case k.scope == onPeers && !s.Peers:
		return wrong("kind", "%s needs a site whose gateways know each other (peers)", f.Kind)
	case k.scope == onExport && !s.Export:
		return wrong("kind", "%s needs a site that exports", f.Kind)
	case k.once && f.For != 0:
		return wrong("for", "%s has no length", f.Kind)
	case k.whole && f.Share > 0:
		return wrong("share", "%s has no targets", f.Kind)
	case k.whole && len(f.Targets) > 0:
		return wrong("targets", "%s has none", f.Kind)
	}
	for i, t := range f.Targets {
		if s.target(k.scope, t) < 0 {
			return wrong("targets", "%q (number %d) is none of the site's %s", t, i, k.pool())
		}
	}
	return nil
}

// pool names what a fault's targets are chosen from. Of counter and registry
// those are the gateways that see the fault.
func (k *kind) pool() string {
	if k.scope == onNode {
		return "nodes (n0, n1, ...)"
	}
	return "gateways (g0, g1, ...)"
}

func (s *Site) target(on scope, name string) int {
	n, prefix := s.Gateways, "g"
	if on == onNode {
		n, prefix = s.Nodes, "n"
	}
	for i := range n {
		if name == fmt.Sprint(prefix, i) {
			return i
		}
	}
	return -1
}

func planIndex(name string) int {
	for i, p := range planShapes {
		if p.name == name {
			return i
		}
	}
	return -1
}

// targets are the numbers of what a fault strikes, chosen by the site's seed.
func (f *Fault) targets(s *Site, number int) (list []int) {
	k := kindOf(f.Kind)
	if k.whole {
		return nil
	}
	for _, t := range f.Targets {
		list = append(list, s.target(k.scope, t))
	}
	if len(list) > 0 {
		return list
	}
	n := s.Gateways
	if k.scope == onNode {
		n = s.Nodes
	}
	list = rand.New(rand.NewPCG(s.Seed^0xfa017, uint64(number))).Perm(n)
	if f.Share > 0 {
		list = list[:max(1, int(f.Share*float64(n)+0.5))]
	}
	slices.Sort(list)
	return list
}

func (f *Fault) size() float64 {
	if f.Size != 0 {
		return f.Size
	}
	return kindOf(f.Kind).size
}

func (s *Site) surges() (list []load.Surge) {
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Kind == "surge" {
			list = append(list, load.Surge{From: f.At, To: f.At + f.For, Plan: planIndex(f.Plan), Times: f.size()})
		}
	}
	return list
}

// Fault strikes now, for as long as its For says. The lab sees to its
// end, and so does the end of the run. Its At is passed over.
func (l *Lab) Fault(f Fault) error {
	f.At = 0
	if err := f.check(&l.site); err != nil {
		return fmt.Errorf("fault %s: %w", f.Kind, err)
	}
	if f.Kind == "surge" {
		return errors.New("fault surge: it is drawn into the timeline before the start")
	}
	l.mu.Lock()
	l.faults++
	number := l.faults + len(l.site.Faults)
	l.mu.Unlock()
	return l.strike(l.ctx, &f, number)
}

// direct strikes the scripted faults at their times.
func (l *Lab) direct(ctx context.Context, start time.Time) {
	order := make([]int, len(l.site.Faults))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(l.site.Faults[a].At - l.site.Faults[b].At) })
	for _, i := range order {
		f := &l.site.Faults[i]
		if !wait.Until(ctx, start.Add(f.At)) {
			return
		}
		if f.Kind == "surge" {
			l.show(f, "")
			continue
		}
		l.wg.Go(func() {
			if err := l.strike(ctx, f, i); err != nil && ctx.Err() == nil {
				l.fail(fmt.Errorf("fault %s: %w", f.Kind, err))
			}
		})
	}
}

// strike begins a fault and sees to its end.
func (l *Lab) strike(ctx context.Context, f *Fault, number int) error {
	targets := f.targets(&l.site, number)
	l.show(f, strings.Join(names(kindOf(f.Kind), targets), " "))
	undo, err := kindOf(f.Kind).apply(ctx, l, f, targets)
	if err != nil || undo == nil {
		return err
	}
	if f.For == 0 {
		l.atEnd(undo)
		return nil
	}
	l.wg.Go(func() {
		wait.For(ctx, f.For)
		if err := undo(); err != nil && ctx.Err() == nil {
			l.fail(fmt.Errorf("end of fault %s: %w", f.Kind, err))
		}
	})
	return nil
}

func names(k *kind, targets []int) (list []string) {
	prefix := "g"
	if k.scope == onNode {
		prefix = "n"
	}
	for _, t := range targets {
		list = append(list, fmt.Sprint(prefix, t))
	}
	return list
}

// show puts a fault on the list of those that are on.
func (l *Lab) show(f *Fault, where string) {
	text := f.Kind
	if where != "" {
		text += " " + where
	}
	if f.Plan != "" {
		text += " " + f.Plan
	}
	if f.Size != 0 {
		text += fmt.Sprintf(" %g", f.Size)
	}
	once := kindOf(f.Kind).once
	until := ", for good"
	switch {
	case once:
		until = ""
	case f.For > 0:
		until = ", for " + f.For.String()
	}
	l.site.Log("fault: %s%s", text, until)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = append(l.active, activeFault{text, time.Now().Add(max(f.For, time.Second)), f.For == 0 && !once})
}

// ---- gateways

func gatewayKill(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		g := l.gateways[t]
		end := l.excuse(g, "killed")
		if err := l.killGateway(g); err != nil {
			return nil, err
		}
		l.noticeDead(ctx, g)
		l.wg.Go(func() {
			if wait.For(ctx, f.For) {
				if err := l.startGateway(ctx, g); err != nil && ctx.Err() == nil {
					l.fail(err)
				}
			}
			end()
		})
	}
	return nil, nil
}

// later does something after a time, unless ctx ends first.
func (l *Lab) later(ctx context.Context, d time.Duration, do func()) {
	l.wg.Go(func() {
		if wait.For(ctx, d) {
			do()
		}
	})
}

// whileOn runs something until the fault that it belongs to ends.
func (l *Lab) whileOn(ctx context.Context, run func(ctx context.Context)) (undo func() error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	l.wg.Go(func() {
		defer close(ended)
		run(ctx)
	})
	return func() error { cancel(); <-ended; return nil }
}

// noticeDead lets the front leave a dead gateway out, some seconds late.
func (l *Lab) noticeDead(ctx context.Context, g *gatewayProcess) {
	l.later(ctx, frontNotice, func() {
		if g.pid() == 0 {
			l.leaveOut(g)
		}
	})
}

func gatewayStop(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	var undo []func() error
	for _, t := range targets {
		g := l.gateways[t]
		end := l.excuse(g, "stopped")
		if err := l.pause(g, true); err != nil {
			return nil, err
		}
		undo = append(undo, func() error {
			err := l.pause(g, false)
			// What it held when it woke is excused; what comes once it has caught up is not.
			l.wg.Go(func() {
				wait.For(l.ctx, wakeGrace)
				end()
			})
			return err
		})
	}
	return all(undo), nil
}

func all(list []func() error) func() error {
	return func() error {
		var errs []error
		for _, f := range list {
			errs = append(errs, f())
		}
		return errors.Join(errs...)
	}
}

func gatewayRestart(ctx context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		g := l.gateways[t]
		l.later(ctx, frontLeaves, func() { l.leaveOut(g) }) // new connections still come for a while
		killed, err := l.retireGateway(g)
		if err != nil {
			return nil, err
		}
		if killed {
			l.site.Log("%s did not end within %v of SIGTERM and was killed", g.name, killAfter)
		}
		if err := l.startGateway(ctx, g); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func gatewayReload(ctx context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		g := l.gateways[t]
		g.mu.Lock()
		old := g.side
		g.side = 1 - old
		g.mu.Unlock()
		for _, k := range l.links(g, g.side) {
			if err := k.Up(); err != nil {
				return nil, err
			}
		}
		if err := l.writeConfig(g); err != nil {
			return nil, err
		}
		if err := g.signal(sigHup, ""); err != nil {
			return nil, err
		}
		l.later(ctx, oldSideFor, func() {
			for _, k := range l.links(g, old) {
				k.Down()
			}
		})
	}
	return nil, nil
}

func gatewayCut(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	var undo []func() error
	for _, t := range targets {
		g := l.gateways[t]
		end := l.excuseNews(g)
		var links []switches
		for _, n := range l.nodes {
			links = append(links, nodeLink{n, g.name})
		}
		for side := range sides {
			for _, k := range l.links(g, side) {
				links = append(links, k)
			}
		}
		inParallel(links, switches.Cut)
		undo = append(undo, func() error {
			inParallel(links, func(s switches) { s.Heal(false) })
			end()
			return nil
		})
	}
	return all(undo), nil
}

// ---- nodes

func nodeKill(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		n := l.nodes[t]
		n.Kill()
		l.later(ctx, min(registryNotice, f.For/2), func() { l.tell(n, registryGone) })
	}
	return l.comeBack(targets), nil
}

// comeBack starts nodes anew, cold.
func (l *Lab) comeBack(targets []int) func() error {
	return func() error {
		for _, t := range targets {
			n := l.nodes[t]
			if err := n.Restart(); err != nil {
				return err
			}
			l.tell(n, registryReady)
		}
		return nil
	}
}

func nodeVanish(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		n := l.nodes[t]
		n.Cut()
		l.later(ctx, min(silentNotice, f.For/2), func() { l.tell(n, registryGone) })
	}
	back := l.comeBack(targets)
	return func() error {
		for _, t := range targets {
			l.nodes[t].Kill() // what was open is reset
		}
		return back()
	}, nil
}

func nodeCut(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		l.nodes[t].Cut()
	}
	return func() error {
		for _, t := range targets {
			l.nodes[t].Heal(false)
		}
		return nil
	}, nil
}

func nodeReset(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.whileOn(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			for _, t := range targets {
				l.nodes[t].Reset()
			}
			wait.For(ctx, time.Duration(float64(time.Second)/f.size()))
		}
	}), nil
}

func nodeTrouble(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.trouble(targets, backendTrouble(f.Kind, f.size())), nil
}

func backendTrouble(kind string, size float64) backend.Trouble {
	switch kind {
	case "node-slow":
		return backend.Trouble{Slow: size}
	case "node-errors":
		return backend.Trouble{Errors: size}
	case "node-spoil":
		return backend.Trouble{Spoil: size}
	case "node-endless":
		return backend.Trouble{Endless: size}
	case "node-copies":
		return backend.Trouble{Copies: size}
	}
	return backend.Trouble{Refusing: size}
}

// trouble adds to what goes wrong at nodes, and returns what takes it away.
func (l *Lab) trouble(targets []int, t backend.Trouble) func() error {
	var undo []func() error
	for _, n := range targets {
		undo = append(undo, l.nodes[n].suffer(t))
	}
	return all(undo)
}

func nodePause(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	still := time.Duration(f.size() * float64(time.Millisecond))
	return l.whileOn(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			up := l.trouble(targets, backend.Trouble{Still: true})
			wait.For(ctx, still)
			up()
			wait.For(ctx, pauseEvery-still)
		}
	}), nil
}

func nodeDrain(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		n := l.nodes[t]
		l.tell(n, registryDraining)
		n.Drain(true)
		l.later(ctx, min(drainFor, f.For/2), func() {
			n.Kill()
			l.tell(n, registryGone)
		})
	}
	return l.comeBack(targets), nil
}

// ---- counter and registry

func counterGone(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	for _, k := range l.counter.Links() {
		k.Down()
	}
	return func() error {
		for _, k := range l.counter.Links() {
			if err := k.Up(); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func counterSilent(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	var links []switches
	for _, k := range l.counter.Links() {
		for _, t := range targets {
			if k.Peer() == l.gateways[t].name {
				links = append(links, k)
			}
		}
	}
	inParallel(links, switches.Cut)
	return func() error {
		inParallel(links, func(s switches) { s.Heal(false) })
		return nil
	}, nil
}

func counterSplit(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	half := map[string]int{}
	for i, g := range l.gateways {
		half[g.name] = i % 2
	}
	l.counter.Split(half)
	return func() error { l.counter.Join(0); return nil }, nil
}

func counterEmpty(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	l.counter.Forget()
	return nil, nil
}

func counterTrouble(_ context.Context, l *Lab, f *Fault, _ []int) (func() error, error) {
	var t counter.Trouble
	switch f.Kind {
	case "counter-double":
		t.Double = f.size()
	case "counter-late":
		t.Late = time.Duration(f.size() * float64(time.Millisecond))
	case "counter-refuse":
		t.Refuse = f.size()
	case "counter-spoil":
		t.Spoil = f.size()
	case "counter-endless":
		t.Endless = f.size()
	}
	remove := l.counterTroubles.add(t)
	l.counter.SetTrouble(l.counterTroubles.sum())
	return func() error {
		remove()
		l.counter.SetTrouble(l.counterTroubles.sum())
		return nil
	}, nil
}

func registrySilent(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	return l.registryEach(targets, l.registry.SetSilent), nil
}

func registryStale(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	return l.registryEach(targets, l.registry.SetStale), nil
}

func (l *Lab) registryEach(targets []int, set func(string, bool)) func() error {
	for _, t := range targets {
		set(l.gateways[t].name, true)
	}
	return func() error {
		for _, t := range targets {
			set(l.gateways[t].name, false)
		}
		return nil
	}
}

// ---- the collector

func collectorGone(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	for _, k := range l.collector.Links() {
		k.Down()
	}
	return func() error {
		for _, k := range l.collector.Links() {
			if err := k.Up(); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func collectorSilent(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	l.collector.SetTrouble(collector.Trouble{Silent: true})
	return func() error { l.collector.SetTrouble(collector.Trouble{}); return nil }, nil
}

// ---- clients

func badClients(ctx context.Context, l *Lab, f *Fault, _ []int) (func() error, error) {
	bad := &load.Bad{Seed: l.site.Seed, Count: int(f.size()), Gap: badGap, Owed: badOwed, Front: l.front, Sink: l,
		Class: l.site.classes()[1], Plan: l.site.plans()[0]}
	return l.whileOn(ctx, bad.Play), nil
}
