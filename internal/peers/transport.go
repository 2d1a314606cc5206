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
	maxPacketBytes         = 1400 // payload of the library in a datagram
	maxPacketOverheadBytes = 512  // added by encryption and label, at most
	minEncryptedBytes      = 1 + 12 + 16
	packetQueueSize        = 256
	readBufferBytes        = 256 << 10
	maxInboundStreams      = 8 // open connections from other processes
	acceptRetryDelay       = 20 * time.Millisecond
	burstSeconds           = 2.0 // of Settings.MaxBytesPerSecond
	labelMagic             = 244 // first byte of labeled datagrams and connections, in the library's format
)

// errShutDown is returned for a connection that is opened while the transport shuts down.
var errShutDown = errors.New("transport is shut down")

// transport implements memberlist.NodeAwareTransport with datagrams and connections on one address. It limits
// descriptors, queued bytes and bytes per second, and sends to a member at its address in Settings.AddressOverrides if
// there is one. Two goroutines read the sockets until Shutdown.
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
	ctx            context.Context // canceled by Shutdown, which ends dialing and waiting writes
	cancel         context.CancelFunc
	mu             sync.Mutex
	openStreams    map[*stream]struct{}
	inboundStreams int // number of openStreams that other processes opened
}

// listen opens both sockets and starts the goroutines that read them. The caller must call Shutdown.
func listen(settings *Settings, counts *trafficCounters) (*transport, error) {
	advertised, err := net.ResolveUDPAddr("udp", settings.Advertise)
	if err != nil {
		return nil, fmt.Errorf("peers.advertise: %w", err)
	}
	local, err := net.ResolveUDPAddr("udp", settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: local.IP, Port: local.Port, Zone: local.Zone})
	if err != nil {
		udp.Close()
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	udp.SetReadBuffer(readBufferBytes) // best effort: the protocol tolerates lost datagrams
	t := &transport{
		label:            clusterLabel(settings.Site),
		addressOverrides: settings.AddressOverrides,
		advertised:       advertised,
		udp:              udp,
		tcp:              tcp,
		packets:          make(chan *memberlist.Packet, packetQueueSize),
		streams:          make(chan net.Conn),
		counts:           counts,
		limiter:          rate.NewLimiter(rate.Limit(settings.MaxBytesPerSecond), burstBytes(settings.MaxBytesPerSecond)),
		openStreams:      map[*stream]struct{}{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.readPackets)
	t.wg.Go(t.accept)
	return t, nil
}

// burstBytes returns the burst of the rate limiter, which is at least one datagram.
func burstBytes(perSecond float64) int {
	return max(int(perSecond*burstSeconds), maxPacketBytes+maxPacketOverheadBytes)
}

// clusterLabel returns the prefix of every datagram and connection of a site.
func clusterLabel(site string) []byte {
	label := "elderyard/" + site
	return append([]byte{labelMagic, byte(len(label))}, label...)
}

// readPackets queues the datagrams of this site until the socket is closed. It drops all others before the library
// spends time on decryption.
func (t *transport) readPackets() {
	buf := make([]byte, maxPacketBytes+maxPacketOverheadBytes+1)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		now := time.Now()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // for example an ICMP error for an earlier datagram
		}
		t.counts.packetsIn.Add(1)
		t.counts.bytesIn.Add(uint64(n))
		switch {
		case n == len(buf):
			t.counts.oversized.Add(1)
			continue
		case !bytes.HasPrefix(buf[:n], t.label):
			t.counts.foreign.Add(1)
			continue
		case n < len(t.label)+minEncryptedBytes:
			t.counts.undecryptable.Add(1)
			continue
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: from, Timestamp: now}:
		default:
			t.counts.queueFull.Add(1)
		}
	}
}

// accept passes connections to the library until the socket is closed.
func (t *transport) accept() {
	for {
		conn, err := t.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay) // the process is out of file descriptors
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

// register adds a connection to openStreams, which Shutdown closes. It returns nil after Shutdown, and for an inbound
// connection above maxInboundStreams.
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

// FinalAdvertiseAddr returns the address of this process that is announced to members.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertised.IP, t.advertised.Port, nil
}

// WriteTo is like WriteToAddress for a member whose name is unknown.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a datagram. Above the rate limit, it counts and drops the datagram without an error, as a
// network may.
func (t *transport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	addr, err := net.ResolveUDPAddr("udp", t.address(to))
	if err != nil {
		return time.Time{}, fmt.Errorf("peer: %w", err)
	}
	now := time.Now()
	if !t.limiter.AllowN(now, len(packet)) {
		t.counts.rateLimited.Add(1)
		return now, nil
	}
	n, err := t.udp.WriteToUDP(packet, addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("peer: %w", err)
	}
	t.counts.packetsOut.Add(1)
	t.counts.bytesOut.Add(uint64(n))
	return now, nil
}

// address returns the address at which this process reaches a member.
func (t *transport) address(a memberlist.Address) string {
	if name, _, ok := parseNodeName(a.Name); ok {
		if override, ok := t.addressOverrides[name]; ok {
			return override
		}
	}
	return a.Addr
}

// PacketCh returns the received datagrams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the accepted connections.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout is like DialAddressTimeout for a member whose name is unknown.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout connects to a member within the timeout, which is limited to streamTimeout.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	// The source address must be that of datagrams: others may identify members by it.
	dialer := net.Dialer{Timeout: min(timeout, streamTimeout), LocalAddr: &net.TCPAddr{IP: t.tcp.Addr().(*net.TCPAddr).IP}}
	conn, err := dialer.DialContext(t.ctx, "tcp", t.address(to))
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

// Shutdown closes the sockets and all connections, and waits for the goroutines that read the sockets.
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
