package peers

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"elderyard/members"
)

const (
	eventQueueSize   = 1024
	handoffQueueSize = 256 // received messages that the library queues
	leaveTimeout     = 500 * time.Millisecond
)

// detector runs memberlist for one incarnation and converts its callbacks to events. The library calls the delegate
// methods on its own goroutines, some with its locks held: they must neither block nor call the library.
type detector struct {
	list          *memberlist.Memberlist
	self          string
	incarnation   members.Incarnation
	events        chan members.Event
	eventsDropped atomic.Bool // the queue was full: the machine needs a reconciliation

	mu            sync.Mutex // guards the fields below
	meta          meta
	pushPullState message
	aliveNodes    map[string]members.Alive // nodes that the library counts as alive, by its names
}

// startDetector starts the library on a transport. It takes ownership of the transport, which close shuts down; if
// startDetector fails, it shuts the transport down itself.
func startDetector(settings *Settings, sockets *transport, ring *memberlist.Keyring, incarnation members.Incarnation, initialMeta meta, state message) (*detector, error) {
	d := &detector{self: settings.Self, incarnation: incarnation, events: make(chan members.Event, eventQueueSize), meta: initialMeta, pushPullState: state,
		aliveNodes: map[string]members.Alive{}}
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label = nodeName(settings.Self, incarnation), string(sockets.label[2:])
	config.Transport, config.Keyring = sockets, ring
	config.ProbeInterval, config.ProbeTimeout = settings.ProbeInterval, settings.ProbeInterval/2
	config.SuspicionMult, config.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxMult
	config.GossipInterval, config.GossipToTheDeadTime = settings.ProbeInterval/5, gossipToDeadIntervals*settings.ProbeInterval
	config.PushPullInterval, config.TCPTimeout = pushPullIntervals*settings.ProbeInterval, min(streamTimeout, 10*settings.ProbeInterval)
	config.EnableCompression, config.UDPBufferSize, config.HandoffQueueDepth = false, maxPacketBytes, handoffQueueSize
	config.Delegate, config.Events, config.Ping, config.Alive = d, d, d, d
	config.DelegateProtocolMin, config.DelegateProtocolMax, config.DelegateProtocolVersion = libraryVersion, libraryVersion, libraryVersion
	config.Logger = log.New(&memberlistLog{detector: d, counts: sockets.counts}, "", 0)
	list, err := memberlist.Create(config)
	if err != nil {
		sockets.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	d.list = list
	return d, nil
}

// close stops the library and its transport. If leave is set, it first announces the graceful shutdown, which may last
// two leaveTimeouts. Members that do not receive the announcement detect a failure.
func (d *detector) close(leave bool) {
	if leave {
		d.mu.Lock()
		d.meta.Leaving = true
		d.mu.Unlock()
		d.list.UpdateNode(leaveTimeout) // others can't tell the library's Leave from a failure
		d.list.Leave(leaveTimeout)
	}
	d.list.Shutdown()
}

// post queues an event, or drops it if the queue is full. It must not block: callers may hold the library's locks.
func (d *detector) post(ev members.Event) {
	select {
	case d.events <- ev:
	default:
		d.eventsDropped.Store(true)
	}
}

// announce replaces this member's metadata and the state for push/pull exchanges. It must not be called from a callback
// of the library.
func (d *detector) announce(m meta, state message) {
	d.mu.Lock()
	changed := d.meta != m
	d.meta, d.pushPullState = m, state
	d.mu.Unlock()
	if changed {
		d.list.UpdateNode(time.Millisecond) // gossip continues to spread it after the timeout
	}
}

// join exchanges state with the members at these addresses, one after the other, until ctx ends. It ignores errors: a
// later attempt includes the members that were not reached.
func (d *detector) join(ctx context.Context, targets []string) {
	for _, address := range targets {
		if ctx.Err() != nil {
			return
		}
		d.list.Join([]string{address})
	}
}

// alive returns the members that the library counts as alive, in any order.
func (d *detector) alive() []members.Alive {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.aliveNodes))
}

// send sends a message to a member over a connection.
func (d *detector) send(to members.Alive, m message) error {
	address, err := net.ResolveTCPAddr("tcp", to.Address)
	if err != nil {
		return fmt.Errorf("%s: %w", to.Name, err)
	}
	return d.list.SendReliable(&memberlist.Node{Name: nodeName(to.Name, to.Incarnation), Addr: address.IP, Port: uint16(address.Port)}, m.encode())
}

// parseNode decodes the name and the metadata of a node. ok is false if they are invalid.
func (d *detector) parseNode(n *memberlist.Node) (alive members.Alive, leaving, ok bool) {
	name, incarnation, ok := parseNodeName(n.Name)
	if !ok {
		return members.Alive{}, false, false
	}
	m, sum, err := decodeMeta(n.Meta)
	if err != nil {
		return members.Alive{}, false, false
	}
	return members.Alive{Name: name, Incarnation: incarnation, Address: net.JoinHostPort(n.Addr.String(), fmt.Sprint(n.Port)), AdminAddress: m.AdminAddress, Epoch: m.Epoch, Sum: sum}, m.Leaving, true
}

// errInvalidNode makes the library ignore a node.
var errInvalidNode = errors.New("invalid name or metadata of a node")

// NotifyAlive returns an error for nodes that can't be decoded. The library then ignores them.
func (d *detector) NotifyAlive(n *memberlist.Node) error {
	if _, _, ok := d.parseNode(n); !ok {
		return errInvalidNode
	}
	return nil
}

// NotifyJoin posts that a node is alive or, if its metadata says so, has left.
func (d *detector) NotifyJoin(node *memberlist.Node) {
	ev, leaving, ok := d.parseNode(node)
	if !ok || ev.Name == d.self && ev.Incarnation == d.incarnation {
		return
	}
	d.mu.Lock()
	delete(d.aliveNodes, node.Name)
	if !leaving {
		d.aliveNodes[node.Name] = ev
	}
	d.mu.Unlock()
	if leaving {
		d.post(members.Left{Name: ev.Name, Incarnation: ev.Incarnation})
		return
	}
	d.post(ev)
}

// NotifyUpdate handles changed metadata of a node like NotifyJoin.
func (d *detector) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

// NotifyLeave posts that a node has failed. After a graceful shutdown, NotifyUpdate has already posted that the node
// left.
func (d *detector) NotifyLeave(n *memberlist.Node) {
	name, incarnation, ok := parseNodeName(n.Name)
	if !ok || name == d.self && incarnation == d.incarnation {
		return
	}
	d.mu.Lock()
	delete(d.aliveNodes, n.Name)
	d.mu.Unlock()
	d.post(members.Failed{Name: name, Incarnation: incarnation})
}

// NotifyPingComplete posts that a node answered a probe.
func (d *detector) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	if name, incarnation, ok := parseNodeName(n.Name); ok {
		d.post(members.Answered{Name: name, Incarnation: incarnation})
	}
}

// AckPayload returns no payload.
func (d *detector) AckPayload() []byte { return nil }

// NodeMeta returns this member's encoded metadata.
func (d *detector) NodeMeta(int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meta.encode()
}

// NotifyMsg receives a message that a member sent with send.
func (d *detector) NotifyMsg(text []byte) { d.receive(text) }

// GetBroadcasts returns no broadcasts.
func (d *detector) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns this member's state for a push/pull exchange.
func (d *detector) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pushPullState.encode()
}

// MergeRemoteState receives another member's state in a push/pull exchange.
func (d *detector) MergeRemoteState(text []byte, _ bool) { d.receive(text) }

// receive posts the incarnations and the roster of a message.
func (d *detector) receive(text []byte) {
	m, err := decodeMessage(text)
	if err != nil {
		return // encrypted with a key of the site, so sent by an incompatible program
	}
	for _, learned := range m.Incarnations {
		d.post(learned)
	}
	d.post(members.RosterReceived{Roster: m.Roster, By: m.From})
}
