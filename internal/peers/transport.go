package peers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

const (
	maxPacketBytes         = 1400 // bytes that the library puts in a datagram
	maxPacketOverheadBytes = 512  // and what sealing and label may add
	packetQueueSize        = 256
	maxInboundStreams      = 8       // connections that others have made and that are open
	maxStreamBytes         = 1 << 20 // bytes of one connection, each way
	streamTimeout          = 10 * time.Second
	labelMagic             = 244 // begins what carries a label
	minSealedBytes         = 1 + 12 + 16
	acceptRetryDelay       = 20 * time.Millisecond
	burstSeconds           = 2.0 // of the rate that may go out at once
	readBufferBytes        = 256 << 10
)

var errShutDown = errors.New("peers have ended")

// transport carries the library's datagrams and connections on one address, in
// bounds: descriptors, bytes waiting, bytes a second. It knows by name at which
// address a member is reached from here.
type transport struct {
	label            []byte
	addressOverrides map[string]string
	advertised       *net.UDPAddr
	udp              *net.UDPConn
	tcp              *net.TCPListener
	packets          chan *memberlist.Packet
	streams          chan net.Conn
	counts           *trafficCounters
	limiter          *rate.Limiter

	wg             sync.WaitGroup
	ctx            context.Context // until Shutdown: nothing that is under way outlives it
	cancel         context.CancelFunc
	mu             sync.Mutex
	openStreams    map[*stream]struct{}
	inboundStreams int // of those that are open, how many others have made
}

func listen(s *Settings, counts *trafficCounters) (*transport, error) {
	advert, err := net.ResolveUDPAddr("udp", s.Advertise)
	if err != nil {
		return nil, fmt.Errorf("peers.advertise: %w", err)
	}
	at, err := net.ResolveUDPAddr("udp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	udp, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP, Port: at.Port, Zone: at.Zone})
	if err != nil {
		udp.Close()
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	udp.SetReadBuffer(readBufferBytes) // less will do: what is lost is sent again
	t := &transport{label: clusterLabel(s.Site), addressOverrides: s.AddressOverrides, advertised: advert, udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet, packetQueueSize),
		streams: make(chan net.Conn), counts: counts, limiter: rate.NewLimiter(rate.Limit(s.MaxBytesPerSecond), burstBytes(s.MaxBytesPerSecond)), openStreams: map[*stream]struct{}{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.readPackets)
	t.wg.Go(t.accept)
	return t, nil
}

// burstBytes is what may go out at once, at the least one datagram.
func burstBytes(perSecond float64) int {
	return max(int(perSecond*burstSeconds), maxPacketBytes+maxPacketOverheadBytes)
}

// clusterLabel is what every datagram and connection of a site begins with.
func clusterLabel(site string) []byte {
	label := "elderyard/" + site
	return append([]byte{labelMagic, byte(len(label))}, label...)
}

func (t *transport) readPackets() {
	buf := make([]byte, maxPacketBytes+maxPacketOverheadBytes+1)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		now := time.Now()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // of a datagram that could not be delivered, told to the next read
		}
		t.counts.packetsIn.Add(1)
		t.counts.bytesIn.Add(uint64(n))
		// Whatever is not of this site goes no further: whoever can send here must not
		// keep the library busy with what it could not open.
		switch {
		case n == len(buf):
			t.counts.oversized.Add(1)
			continue
		case !bytes.HasPrefix(buf[:n], t.label):
			t.counts.foreign.Add(1)
			continue
		case n < len(t.label)+minSealedBytes:
			t.counts.unsealed.Add(1)
			continue
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: from, Timestamp: now}:
		default:
			t.counts.queueFull.Add(1)
		}
	}
}

func (t *transport) accept() {
	for {
		conn, err := t.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay) // out of descriptors, which others hold
			continue
		}
		s := t.register(conn, true)
		if s == nil {
			t.counts.queueFull.Add(1)
			conn.SetLinger(0)
			conn.Close()
			continue
		}
		t.counts.streamsIn.Add(1)
		select {
		case t.streams <- s:
		case <-t.ctx.Done():
			s.Close()
			return
		}
	}
}

// register takes note of a connection, and bounds those that others make; nil: it is
// one too many, or all has ended.
func (t *transport) register(conn *net.TCPConn, inbound bool) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil || inbound && t.inboundStreams >= maxInboundStreams {
		return nil
	}
	s := newStream(conn, t, inbound)
	t.openStreams[s] = struct{}{}
	if inbound {
		t.inboundStreams++
	}
	return s
}

// FinalAdvertiseAddr is what members are told of this one's address.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertised.IP, t.advertised.Port, nil
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a datagram. One over the bytes a second is dropped, as a
// network drops it.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", t.address(a))
	if err != nil {
		return time.Time{}, fmt.Errorf("peer: %w", err)
	}
	now := time.Now()
	if !t.limiter.AllowN(now, len(b)) {
		t.counts.rateLimited.Add(1)
		return now, nil
	}
	n, err := t.udp.WriteToUDP(b, to)
	if err != nil {
		return time.Time{}, fmt.Errorf("peer: %w", err)
	}
	t.counts.packetsOut.Add(1)
	t.counts.bytesOut.Add(uint64(n))
	return now, nil
}

// address is where a member is reached from here.
func (t *transport) address(a memberlist.Address) string {
	if name, _, ok := splitName(a.Name); ok {
		if to, set := t.addressOverrides[name]; set {
			return to
		}
	}
	return a.Addr
}

// PacketCh is what came.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh is who came.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout opens a connection.
func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, within)
}

// DialAddressTimeout opens a connection to a member.
func (t *transport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	// From the address of its own, as datagrams go: others may tell members by that.
	from := net.Dialer{Timeout: min(within, streamTimeout), LocalAddr: &net.TCPAddr{IP: t.tcp.Addr().(*net.TCPAddr).IP}}
	conn, err := from.DialContext(t.ctx, "tcp", t.address(a))
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	t.counts.streamsOut.Add(1)
	s := t.register(conn.(*net.TCPConn), false)
	if s == nil {
		conn.Close()
		return nil, errShutDown
	}
	return s, nil
}

// Shutdown closes the sockets and waits for who reads them.
func (t *transport) Shutdown() error {
	t.cancel()
	t.udp.Close()
	t.tcp.Close()
	t.mu.Lock()
	for s := range t.openStreams {
		s.TCPConn.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
	return nil
}
