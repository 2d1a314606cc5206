package lab

import (
	"context"
	"elderyard/internal/standin/backend"
	"elderyard/internal/standin/counter"
	"elderyard/internal/standin/faultproxy"
	"fmt"
	"time"
)

// faultScope is what a kind of fault affects.
type faultScope string

const (
	scopeNode      faultScope = "node"
	scopeGateway   faultScope = "gateway"
	scopeCounter   faultScope = "counter"
	scopeRegistry  faultScope = "registry"
	scopeCollector faultScope = "collector"
	scopePlan      faultScope = "plan"
	scopeClients   faultScope = "clients"
	scopePeers     faultScope = "ways between gateways"
)

// applyFunc begins a fault at targets, by their indices. It returns the function that ends the fault, nil if nothing
// is to be done at its end.
type applyFunc func(ctx context.Context, l *Lab, f *Fault, targets []int) (undo func() error, err error)

// faultKind is one kind of fault.
type faultKind struct {
	name          string
	scope         faultScope
	description   string
	defaultSize   float64
	minSize       float64
	maxSize       float64
	unit          string    // of the size; "": the kind has no size
	needsDuration bool      // For must be given
	instant       bool      // For must not be given
	untargeted    bool      // it affects the whole scope; targets can't be chosen
	apply         applyFunc // nil for a surge, which is part of the load

	// The faults that the stand-ins inject for a size, for kinds that work so.
	backendFault func(size float64) backend.Faults
	counterFault func(size float64) counter.Faults
	linkFault    func(f *faultproxy.Fault, size float64)
}

// faultKinds lists all kinds. It is set in init, as some of the functions in it read the list.
var faultKinds []faultKind

func init() {
	faultKinds = []faultKind{
		{name: "gateway-kill", scope: scopeGateway, needsDuration: true, description: "the process is killed, and started anew after the time", apply: gatewayKill},
		{name: "gateway-stop", scope: scopeGateway, needsDuration: true, description: "the process is stopped (SIGSTOP), and wakes after the time", apply: gatewayStop},
		{name: "gateway-restart", scope: scopeGateway, instant: true, description: "a planned restart: SIGTERM, its drain, a new start", apply: gatewayRestart},
		{name: "gateway-reload", scope: scopeGateway, instant: true, description: "counter and discovery move: the configuration is replaced, then SIGHUP", apply: gatewayReload},
		{name: "gateway-cut", scope: scopeGateway, needsDuration: true, description: "the gateway is cut off from backends, counter and registry; connections stay open and silent", apply: gatewayCut},

		{name: "node-kill", scope: scopeNode, needsDuration: true, description: "the backend dies, and starts cold after the time", apply: nodeKill},
		{name: "node-vanish", scope: scopeNode, needsDuration: true, description: "the backend goes silent, and is back cold after the time, its connections reset", apply: nodeVanish},
		{name: "node-cut", scope: scopeNode, needsDuration: true, description: "a partition: silence, and then what was held back goes on its way", apply: nodeCut},
		{name: "node-reset", scope: scopeNode, description: "open connections are reset, again and again through the time", defaultSize: 1, minSize: 0.2, maxSize: 20, unit: "times a second", apply: nodeReset},
		{name: "node-slow", scope: scopeNode, description: "work takes longer", defaultSize: 2, minSize: 1, maxSize: 100, unit: "times as long", apply: nodeMisbehave, backendFault: func(size float64) backend.Faults { return backend.Faults{Slow: size} }},
		{name: "node-pause", scope: scopeNode, needsDuration: true, description: "stands still, again and again, every two seconds", defaultSize: 300, minSize: 10, maxSize: 1900, unit: "ms", apply: nodePause},
		{name: "node-errors", scope: scopeNode, description: "answers 500 at once", defaultSize: 0.6, minSize: 0, maxSize: 1, unit: "share of requests", apply: nodeMisbehave, backendFault: func(size float64) backend.Faults { return backend.Faults{Errors: size} }},
		{name: "node-spoil", scope: scopeNode, description: "answers what can't be read", defaultSize: 0.1, minSize: 0, maxSize: 1, unit: "share of requests", apply: nodeMisbehave, backendFault: func(size float64) backend.Faults { return backend.Faults{Malformed: size} }},
		{name: "node-endless", scope: scopeNode, description: "answers without an end", defaultSize: 0.05, minSize: 0, maxSize: 1, unit: "share of requests", apply: nodeMisbehave, backendFault: func(size float64) backend.Faults { return backend.Faults{Endless: size} }},
		{name: "node-copies", scope: scopeNode, description: "sends its answer twice", defaultSize: 0.3, minSize: 0, maxSize: 1, unit: "share of requests", apply: nodeMisbehave, backendFault: func(size float64) backend.Faults { return backend.Faults{Duplicate: size} }},
		{name: "node-refuse", scope: scopeNode, description: "turns requests away unprocessed", defaultSize: 0.5, minSize: 0, maxSize: 1, unit: "share of requests", apply: nodeMisbehave, backendFault: func(size float64) backend.Faults { return backend.Faults{Refuse: size} }},
		{name: "node-drain", scope: scopeNode, needsDuration: true, description: "is taken out by the registry, ends, and starts cold after the time", apply: nodeDrain},

		{name: "counter-gone", scope: scopeCounter, untargeted: true, description: "the counter's process is dead: connections are refused", apply: counterGone},
		{name: "counter-silent", scope: scopeCounter, needsDuration: true, description: "the counter answers the targets no more; connections stay open", apply: counterSilent},
		{name: "counter-split", scope: scopeCounter, untargeted: true, needsDuration: true, description: "two halves of the gateways see counters that don't hear of each other; then one is kept", apply: counterSplit},
		{name: "counter-empty", scope: scopeCounter, instant: true, untargeted: true, description: "the counter has forgotten everything", apply: counterEmpty},
		{name: "counter-double", scope: scopeCounter, untargeted: true, description: "amounts are added twice", defaultSize: 0.3, minSize: 0, maxSize: 1, unit: "share of calls", apply: counterMisbehave, counterFault: func(size float64) counter.Faults { return counter.Faults{Double: size} }},
		{name: "counter-late", scope: scopeCounter, untargeted: true, description: "answers come late", defaultSize: 80, minSize: 1, maxSize: 10000, unit: "ms", apply: counterMisbehave, counterFault: func(size float64) counter.Faults { return counter.Faults{Delay: milliseconds(size)} }},
		{name: "counter-refuse", scope: scopeCounter, untargeted: true, description: "calls are turned away", defaultSize: 0.5, minSize: 0, maxSize: 1, unit: "share of calls", apply: counterMisbehave, counterFault: func(size float64) counter.Faults { return counter.Faults{Refuse: size} }},
		{name: "counter-spoil", scope: scopeCounter, untargeted: true, description: "answers have no number in them", defaultSize: 0.1, minSize: 0, maxSize: 1, unit: "share of calls", apply: counterMisbehave, counterFault: func(size float64) counter.Faults { return counter.Faults{Malformed: size} }},
		{name: "counter-endless", scope: scopeCounter, untargeted: true, description: "answers have no end", defaultSize: 0.05, minSize: 0, maxSize: 1, unit: "share of calls", apply: counterMisbehave, counterFault: func(size float64) counter.Faults { return counter.Faults{Endless: size} }},

		{name: "registry-silent", scope: scopeRegistry, needsDuration: true, description: "discovery answers the targets no more", apply: registrySilent},
		{name: "registry-stale", scope: scopeRegistry, needsDuration: true, description: "discovery goes on answering from the list of that moment", apply: registryStale},

		{name: "collector-gone", scope: scopeCollector, untargeted: true, needsDuration: true, description: "the collector of stories and metrics is dead: connections are refused", apply: collectorGone},
		{name: "collector-silent", scope: scopeCollector, untargeted: true, needsDuration: true, description: "the collector takes what is sent and never answers", apply: collectorSilent},

		{name: "gateway-starve", scope: scopeGateway, needsDuration: true, description: "the process gets hardly any time on a core: it is stopped again and again for a moment", defaultSize: 0.8, minSize: 0.1, maxSize: 0.98, unit: "share of the time", apply: gatewayStarve},

		{name: "peers-cut", scope: scopePeers, needsDuration: true, description: "the targets and the other gateways don't hear each other; each part goes on by itself", apply: peersCut},
		{name: "peers-apart", scope: scopePeers, needsDuration: true, description: "each target hears no gateway at all, and none hears it", apply: peersApart},
		{name: "peers-deaf", scope: scopePeers, needsDuration: true, description: "the targets hear no other gateway; the others hear them", apply: peersDeaf},
		{name: "peers-mute", scope: scopePeers, needsDuration: true, description: "no other gateway hears the targets; they hear the others", apply: peersMute},
		{name: "peers-ring", scope: scopePeers, needsDuration: true, untargeted: true, description: "each gateway and its two neighbours by number hear each other, and nobody else", apply: peersRing},
		{name: "peers-flap", scope: scopePeers, needsDuration: true, description: "the targets are cut off and back, again and again", defaultSize: 1, minSize: 0.1, maxSize: 5, unit: "times a second", apply: peersFlap},
		{name: "peers-loss", scope: scopePeers, needsDuration: true, description: "datagrams to and from the targets are lost", defaultSize: 0.3, minSize: 0, maxSize: 1, unit: "share of datagrams", apply: peersDegrade, linkFault: func(f *faultproxy.Fault, size float64) { f.Loss = size }},
		{name: "peers-late", scope: scopePeers, needsDuration: true, description: "what goes to and from the targets is late", defaultSize: 500, minSize: 1, maxSize: 10000, unit: "ms", apply: peersDegrade, linkFault: func(f *faultproxy.Fault, size float64) { f.Delay = milliseconds(size) }},
		{name: "peers-muddle", scope: scopePeers, needsDuration: true, description: "datagrams to and from the targets come twice, and in another order", defaultSize: 0.3, minSize: 0, maxSize: 1, unit: "share of datagrams", apply: peersDegrade, linkFault: func(f *faultproxy.Fault, size float64) { f.Duplicate, f.Reorder = size, size }},

		{name: "surge", scope: scopePlan, untargeted: true, needsDuration: true, description: "all accounts of one plan ask for more; drawn into the timeline, so not to be switched live", defaultSize: 4, minSize: 1, maxSize: 50, unit: "times as much"},
		{name: "bad-clients", scope: scopeClients, untargeted: true, description: "clients that send what no gateway should take", defaultSize: 6, minSize: 1, maxSize: 200, unit: "clients", apply: badClients},
	}
}

// FaultKind describes a kind of fault for display.
type FaultKind struct {
	Name, Strikes, About, Size string // Strikes is the scope
	NeedsFor                   bool
}

// FaultKinds lists all kinds of fault.
func FaultKinds() (list []FaultKind) {
	for _, k := range faultKinds {
		size := ""
		if k.unit != "" {
			size = fmt.Sprintf("%g to %g %s, else %g", k.minSize, k.maxSize, k.unit, k.defaultSize)
		}
		list = append(list, FaultKind{k.name, string(k.scope), k.description, size, k.needsDuration})
	}
	return list
}

// faultKindNamed returns the kind of that name, nil if there is none.
func faultKindNamed(name string) *faultKind {
	for i := range faultKinds {
		if faultKinds[i].name == name {
			return &faultKinds[i]
		}
	}
	return nil
}

// targetPool describes what a fault's targets are chosen from.
func (kind *faultKind) targetPool() string {
	if kind.scope == scopeNode {
		return "nodes (n0, n1, ...)"
	}
	return "gateways (g0, g1, ...)"
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
