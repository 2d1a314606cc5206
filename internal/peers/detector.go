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
	handoffQueueSize = 256 // datagrams that the library holds
	leaveTimeout     = 500 * time.Millisecond
)

// detector runs the library for one life and turns what it hears into events.
type detector struct {
	list          *memberlist.Memberlist
	self          string
	incarnation   members.Incarnation
	events        chan members.Event
	eventsDropped atomic.Bool // an event found no room: the list must be read whole

	mu            sync.Mutex
	meta          meta
	pushPullState message
	aliveNodes    map[string]members.Alive // whom the library counts as living, by its names
}

// startDetector starts the library on a transport. The detector has the transport from then on.
func startDetector(s *Settings, t *transport, ring *memberlist.Keyring, incarnation members.Incarnation, initialMeta meta, state message) (*detector, error) {
	d := &detector{self: s.Self, incarnation: incarnation, events: make(chan members.Event, eventQueueSize), meta: initialMeta, pushPullState: state,
		aliveNodes: map[string]members.Alive{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = nodeName(s.Self, incarnation), string(t.label[2:])
	c.Transport, c.Keyring = t, ring
	c.ProbeInterval, c.ProbeTimeout = s.ProbeInterval, s.ProbeInterval/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxMult
	c.GossipInterval, c.GossipToTheDeadTime = s.ProbeInterval/5, gossipToDeadIntervals*s.ProbeInterval
	c.PushPullInterval, c.TCPTimeout = pushPullIntervals*s.ProbeInterval, min(streamTimeout, 10*s.ProbeInterval)
	c.EnableCompression, c.UDPBufferSize, c.HandoffQueueDepth = false, maxPacketBytes, handoffQueueSize
	c.Delegate, c.Events, c.Ping, c.Alive = d, d, d, d
	c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = libraryVersion, libraryVersion, libraryVersion
	c.Logger = log.New(&memberlistLog{detector: d, counts: t.counts}, "", 0)
	list, err := memberlist.Create(c)
	if err != nil {
		t.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	d.list = list
	return d, nil
}

// close says good-bye where that is asked for, and ends the library.
func (d *detector) close(leave bool) {
	if leave {
		d.mu.Lock()
		d.meta.Leaving = true
		d.mu.Unlock()
		d.list.UpdateNode(leaveTimeout) // the library tells nobody who left and who was given up: this does
		d.list.Leave(leaveTimeout)      // whoever hears neither finds out by silence
	}
	d.list.Shutdown()
}

// post hands an event on without waiting: it comes from under the library's locks.
func (d *detector) post(ev members.Event) {
	select {
	case d.events <- ev:
	default:
		d.eventsDropped.Store(true)
	}
}

// announce changes what this member says of itself.
func (d *detector) announce(m meta, state message) {
	d.mu.Lock()
	changed := d.meta != m
	d.meta, d.pushPullState = m, state
	d.mu.Unlock()
	if changed {
		d.list.UpdateNode(time.Millisecond) // it goes round by itself, whether or not this sees it
	}
}

// join asks members at addresses for what they know. It waits for them; whom it
// does not reach is asked again later.
func (d *detector) join(ctx context.Context, targets []string) {
	for _, at := range targets {
		if ctx.Err() != nil {
			return
		}
		d.list.Join([]string{at})
	}
}

// alive are the members that the library counts as living.
func (d *detector) alive() []members.Alive {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.aliveNodes))
}

// send gives a member a message whole.
func (d *detector) send(to members.Alive, m message) error {
	at, err := net.ResolveTCPAddr("tcp", to.Address)
	if err != nil {
		return fmt.Errorf("%s: %w", to.Name, err)
	}
	return d.list.SendReliable(&memberlist.Node{Name: nodeName(to.Name, to.Incarnation), Addr: at.IP, Port: uint16(at.Port)}, m.encode())
}

// parseNode reads what the library knows of a member. The library holds its lock.
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

var errUnreadable = errors.New("its name or what it says of itself can't be read")

// NotifyAlive keeps out what can't be read. The library calls it.
func (d *detector) NotifyAlive(n *memberlist.Node) error {
	if _, _, ok := d.parseNode(n); !ok {
		return errUnreadable
	}
	return nil
}

// NotifyJoin hears of a member. The library calls it.
func (d *detector) NotifyJoin(n *memberlist.Node) {
	ev, leaving, ok := d.parseNode(n)
	if !ok || ev.Name == d.self && ev.Incarnation == d.incarnation {
		return
	}
	d.mu.Lock()
	delete(d.aliveNodes, n.Name)
	if !leaving {
		d.aliveNodes[n.Name] = ev
	}
	d.mu.Unlock()
	if leaving {
		d.post(members.Left{Name: ev.Name, Incarnation: ev.Incarnation})
		return
	}
	d.post(ev)
}

// NotifyUpdate hears what a member says of itself now. The library calls it.
func (d *detector) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

// NotifyLeave hears that a member has gone. The library calls it.
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

// NotifyPingComplete hears an answer. The library calls it.
func (d *detector) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	if name, incarnation, ok := splitName(n.Name); ok {
		d.post(members.Answered{Name: name, Incarnation: incarnation})
	}
}

// AckPayload is nothing. The library calls it.
func (d *detector) AckPayload() []byte { return nil }

// NodeMeta is what this member says of itself. The library calls it.
func (d *detector) NodeMeta(int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meta.encode()
}

// NotifyMsg takes a message. The library calls it.
func (d *detector) NotifyMsg(text []byte) { d.receive(text) }

// GetBroadcasts are none. The library calls it.
func (d *detector) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is what this member tells in an exchange. The library calls it.
func (d *detector) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pushPullState.encode()
}

// MergeRemoteState takes what another member tells. The library calls it.
func (d *detector) MergeRemoteState(text []byte, _ bool) { d.receive(text) }

func (d *detector) receive(text []byte) {
	m, err := decodeMessage(text)
	if err != nil {
		return // whoever has the key and yet says that is of another program's making
	}
	for _, l := range m.Incarnations {
		d.post(l)
	}
	d.post(members.RosterReceived{Roster: m.Roster, By: m.From})
}
