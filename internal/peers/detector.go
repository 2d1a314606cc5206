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
	handoffQueueSize = 256 // received messages queued in the library
	leaveTimeout     = 500 * time.Millisecond
)

// detector runs memberlist for one incarnation and turns its callbacks into events. The library calls the methods of its
// delegate interfaces on its own goroutines, some under its locks: they must not block or call the library.
type detector struct {
	list          *memberlist.Memberlist
	self          string
	incarnation   members.Incarnation
	events        chan members.Event
	eventsDropped atomic.Bool // the queue was full: the machine must be reconciled

	mu            sync.Mutex // guards the fields below
	meta          meta
	pushPullState message
	aliveNodes    map[string]members.Alive // nodes that the library counts as alive, by its names
}

// startDetector starts the library on a transport, which the detector owns from then on: close shuts it down, and so does
// an error.
func startDetector(settings *Settings, sockets *transport, ring *memberlist.Keyring, incarnation members.Incarnation, initialMeta meta, state message) (*detector, error) {
	d := &detector{self: settings.Self, incarnation: incarnation, events: make(chan members.Event, eventQueueSize), meta: initialMeta, pushPullState: state,
		aliveNodes: map[string]members.Alive{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = nodeName(settings.Self, incarnation), string(sockets.label[2:])
	c.Transport, c.Keyring = sockets, ring
	c.ProbeInterval, c.ProbeTimeout = settings.ProbeInterval, settings.ProbeInterval/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxMult
	c.GossipInterval, c.GossipToTheDeadTime = settings.ProbeInterval/5, gossipToDeadIntervals*settings.ProbeInterval
	c.PushPullInterval, c.TCPTimeout = pushPullIntervals*settings.ProbeInterval, min(streamTimeout, 10*settings.ProbeInterval)
	c.EnableCompression, c.UDPBufferSize, c.HandoffQueueDepth = false, maxPacketBytes, handoffQueueSize
	c.Delegate, c.Events, c.Ping, c.Alive = d, d, d, d
	c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = libraryVersion, libraryVersion, libraryVersion
	c.Logger = log.New(&memberlistLog{detector: d, counts: sockets.counts}, "", 0)
	list, err := memberlist.Create(c)
	if err != nil {
		sockets.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	d.list = list
	return d, nil
}

// close stops the library and its transport. If leave is set, it announces the graceful shutdown first, which takes up to
// two leaveTimeouts; members that miss the announcement detect a failure.
func (d *detector) close(leave bool) {
	if leave {
		d.mu.Lock()
		d.meta.Leaving = true
		d.mu.Unlock()
		d.list.UpdateNode(leaveTimeout) // the library's own Leave looks like a failure to others
		d.list.Leave(leaveTimeout)
	}
	d.list.Shutdown()
}

// post queues an event, or drops it if the queue is full. It must not block: callers hold the library's locks.
func (d *detector) post(ev members.Event) {
	select {
	case d.events <- ev:
	default:
		d.eventsDropped.Store(true)
	}
}

// announce replaces what this member announces of itself and the state that it exchanges. It must not be called from a
// callback of the library.
func (d *detector) announce(m meta, state message) {
	d.mu.Lock()
	changed := d.meta != m
	d.meta, d.pushPullState = m, state
	d.mu.Unlock()
	if changed {
		d.list.UpdateNode(time.Millisecond) // gossip spreads it, also after the timeout
	}
}

// join exchanges state with the members at these addresses, one after the other, until ctx ends. Errors are dropped: what
// is not reached is a target of a later attempt.
func (d *detector) join(ctx context.Context, targets []string) {
	for _, at := range targets {
		if ctx.Err() != nil {
			return
		}
		d.list.Join([]string{at})
	}
}

// alive returns the members that the library counts as alive, in any order.
func (d *detector) alive() []members.Alive {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.aliveNodes))
}

// send sends a member a message over a connection.
func (d *detector) send(to members.Alive, m message) error {
	at, err := net.ResolveTCPAddr("tcp", to.Address)
	if err != nil {
		return fmt.Errorf("%s: %w", to.Name, err)
	}
	return d.list.SendReliable(&memberlist.Node{Name: nodeName(to.Name, to.Incarnation), Addr: at.IP, Port: uint16(at.Port)}, m.encode())
}

// parseNode decodes the name and announcement of a library's node. It reports false for ok if they are invalid.
func (d *detector) parseNode(n *memberlist.Node) (alive members.Alive, leaving, ok bool) {
	name, incarnation, ok := splitName(n.Name)
	if !ok {
		return members.Alive{}, false, false
	}
	m, sum, err := decodeMeta(n.Meta)
	if err != nil {
		return members.Alive{}, false, false
	}
	return members.Alive{Name: name, Incarnation: incarnation, Address: net.JoinHostPort(n.Addr.String(), fmt.Sprint(n.Port)), AdminAddress: m.AdminAddress, Epoch: m.Epoch, Sum: sum}, m.Leaving, true
}

// errUnreadable makes the library ignore a node.
var errUnreadable = errors.New("invalid name or metadata of a node")

// NotifyAlive returns an error for nodes that can't be decoded, which the library then ignores.
func (d *detector) NotifyAlive(n *memberlist.Node) error {
	if _, _, ok := d.parseNode(n); !ok {
		return errUnreadable
	}
	return nil
}

// NotifyJoin posts that a node is alive or, by its last announcement, has left.
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

// NotifyUpdate does as NotifyJoin when a node's announcement has changed.
func (d *detector) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

// NotifyLeave posts that a node has failed. A graceful shutdown was announced before, in NotifyUpdate.
func (d *detector) NotifyLeave(n *memberlist.Node) {
	name, incarnation, ok := splitName(n.Name)
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
	if name, incarnation, ok := splitName(n.Name); ok {
		d.post(members.Answered{Name: name, Incarnation: incarnation})
	}
}

// AckPayload returns no payload.
func (d *detector) AckPayload() []byte { return nil }

// NodeMeta returns what this member announces of itself.
func (d *detector) NodeMeta(int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meta.encode()
}

// NotifyMsg receives a message of send.
func (d *detector) NotifyMsg(text []byte) { d.receive(text) }

// GetBroadcasts returns none.
func (d *detector) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns this member's part in an exchange of states.
func (d *detector) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pushPullState.encode()
}

// MergeRemoteState receives another member's part in an exchange of states.
func (d *detector) MergeRemoteState(text []byte, _ bool) { d.receive(text) }

// receive posts the incarnations and the roster of a message.
func (d *detector) receive(text []byte) {
	m, err := decodeMessage(text)
	if err != nil {
		return // encrypted with a key of the site, so from an incompatible program
	}
	for _, learned := range m.Incarnations {
		d.post(learned)
	}
	d.post(members.RosterReceived{Roster: m.Roster, By: m.From})
}
