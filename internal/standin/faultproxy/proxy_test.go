package faultproxy

import (
	"net"
	"testing"
	"time"

	"elderyard/internal/loopback"
)

const testTimeout = 10 * time.Second

// member is a member of the site: a UDP socket and a TCP listener on one address.
type member struct {
	udp   *net.UDPConn
	tcp   net.Listener
	reach string
}

func add(t *testing.T, p *Proxy, name string) member {
	t.Helper()
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(loopback.Host())})
	if err != nil {
		t.Fatal(err)
	}
	tcp, err := net.Listen("tcp", udp.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { udp.Close(); tcp.Close() })
	reach, err := p.Add(name, udp.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	return member{udp, tcp, reach}
}

func (m member) send(t *testing.T, to member, text string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp", to.reach)
	if err == nil {
		_, err = m.udp.WriteToUDP([]byte(text), at)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// receive returns the next datagram, or "" if none arrives within a time.
func (m member) receive(within time.Duration) string {
	b := make([]byte, 100)
	m.udp.SetReadDeadline(time.Now().Add(within))
	n, _, err := m.udp.ReadFromUDP(b)
	if err != nil {
		return ""
	}
	return string(b[:n])
}

func twoMembers(t *testing.T) (p *Proxy, a, b member) {
	t.Helper()
	p = New(1)
	t.Cleanup(p.Close)
	return p, add(t, p, "a"), add(t, p, "b")
}

// waitDropped waits until n datagrams have been dropped. A datagram that was sent during a fault may be read by the
// proxy only after the fault has ended, because goroutines read its sockets.
func waitDropped(t *testing.T, p *Proxy, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); p.Dropped() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d datagrams were dropped", p.Dropped(), n)
		}
	}
}

func TestCutInOneDirection(t *testing.T) {
	p, a, b := twoMembers(t)
	p.SetFault("a", "b", Fault{Cut: true})
	a.send(t, b, "one")
	b.send(t, a, "two")
	if got := a.receive(testTimeout); got != "two" {
		t.Errorf("the reverse direction delivered %q", got)
	}
	waitDropped(t, p, 1)
	p.SetFault("a", "b", Fault{})
	a.send(t, b, "three")
	if got := b.receive(testTimeout); got != "three" {
		t.Errorf("after the cut %q arrived: what was sent during it must be dropped, and what was sent after it must not", got)
	}
}

func TestDuplicateAndDelay(t *testing.T) {
	p, a, b := twoMembers(t)
	p.SetFault("a", "b", Fault{Duplicate: 1, Delay: 30 * time.Millisecond})
	began := time.Now()
	a.send(t, b, "x")
	for range 2 {
		if b.receive(testTimeout) != "x" {
			t.Error("the datagram did not arrive twice")
		}
	}
	if time.Since(began) < 30*time.Millisecond {
		t.Error("the datagram arrived before its delay had passed")
	}
}

func TestLoss(t *testing.T) {
	p, a, b := twoMembers(t)
	p.SetFault("a", "b", Fault{Loss: 0.5})
	const sent = 200
	n := 0
	for i := range sent { // each datagram is dropped or arrives before the next is sent
		a.send(t, b, "x")
		for end := time.Now().Add(testTimeout); n+p.Dropped() <= i; {
			if b.receive(time.Millisecond) == "x" {
				n++
			}
			if time.Now().After(end) {
				t.Fatalf("%d arrived and %d were dropped of %d", n, p.Dropped(), i+1)
			}
		}
	}
	if n < 50 || n > 150 || n+p.Dropped() != sent {
		t.Errorf("%d of %d arrived with a loss of half, %d were dropped", n, sent, p.Dropped())
	}
}

func TestCutHoldsConnectionData(t *testing.T) {
	p, a, b := twoMembers(t)
	got := make(chan string, 1)
	go func() {
		c, err := b.tcp.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buf := make([]byte, 10)
		n, _ := c.Read(buf)
		got <- string(buf[:n])
	}()
	host, _, _ := net.SplitHostPort(a.udp.LocalAddr().String())
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	c, err := d.Dial("tcp", b.reach)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p.SetFault("a", "b", Fault{Cut: true})
	c.Write([]byte("x"))
	select {
	case text := <-got:
		t.Fatalf("%q passed a cut", text)
	case <-time.After(100 * time.Millisecond):
	}
	p.SetFault("a", "b", Fault{})
	select {
	case text := <-got:
		if text != "x" {
			t.Errorf("%q arrived", text)
		}
	case <-time.After(testTimeout):
		t.Error("nothing arrived after the cut")
	}
}

func TestUnknownSendersAreRejected(t *testing.T) {
	_, _, b := twoMembers(t)
	c, err := net.Dial("tcp", b.reach) // from an address of no member
	if err != nil {
		return // on a busy machine it is rejected before Dial sees it established
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an unknown sender was accepted")
	}
}
