package faultproxy

import (
	"net"
	"testing"
	"time"

	"elderyard/internal/loopback"
)

const patience = 10 * time.Second

// end is one member: a socket for datagrams and a listener, on one address.
type end struct {
	udp   *net.UDPConn
	tcp   net.Listener
	reach string
}

func add(t *testing.T, w *Ways, name string) end {
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
	reach, err := w.Add(name, udp.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	return end{udp, tcp, reach}
}

func (e end) send(t *testing.T, to end, text string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp", to.reach)
	if err == nil {
		_, err = e.udp.WriteToUDP([]byte(text), at)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// gets returns what comes within a time, and "" where nothing does.
func (e end) gets(within time.Duration) string {
	b := make([]byte, 100)
	e.udp.SetReadDeadline(time.Now().Add(within))
	n, _, err := e.udp.ReadFromUDP(b)
	if err != nil {
		return ""
	}
	return string(b[:n])
}

func two(t *testing.T) (w *Ways, a, b end) {
	t.Helper()
	w = New(1)
	t.Cleanup(w.Close)
	return w, add(t, w, "a"), add(t, w, "b")
}

// lost waits until so many datagrams have been lost: the doors are read by goroutines
// of their own, so what was sent may come to one after its direction has healed.
func lost(t *testing.T, w *Ways, n int) {
	t.Helper()
	for end := time.Now().Add(patience); w.Lost() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d were lost of %d", w.Lost(), n)
		}
	}
}

func TestCutInOneDirection(t *testing.T) {
	w, a, b := two(t)
	w.Set("a", "b", Trouble{Cut: true})
	a.send(t, b, "one")
	b.send(t, a, "two")
	if got := a.gets(patience); got != "two" {
		t.Errorf("the way back brought %q", got)
	}
	lost(t, w, 1)
	w.Set("a", "b", Trouble{})
	a.send(t, b, "three")
	if got := b.gets(patience); got != "three" {
		t.Errorf("after the cut came %q: what was sent in it must be lost, and what came after it must not", got)
	}
}

func TestTwiceAndLate(t *testing.T) {
	w, a, b := two(t)
	w.Set("a", "b", Trouble{Twice: 1, Delay: 30 * time.Millisecond})
	began := time.Now()
	a.send(t, b, "x")
	for range 2 {
		if b.gets(patience) != "x" {
			t.Error("it did not come twice")
		}
	}
	if time.Since(began) < 30*time.Millisecond {
		t.Error("it came before its delay")
	}
}

func TestLoss(t *testing.T) {
	w, a, b := two(t)
	w.Set("a", "b", Trouble{Loss: 0.5})
	const sent = 200
	n := 0
	for i := range sent { // one at a time, each lost or come before the next
		a.send(t, b, "x")
		for end := time.Now().Add(patience); n+w.Lost() <= i; {
			if b.gets(time.Millisecond) == "x" {
				n++
			}
			if time.Now().After(end) {
				t.Fatalf("%d came and %d were lost of %d", n, w.Lost(), i+1)
			}
		}
	}
	if n < 50 || n > 150 || n+w.Lost() != sent {
		t.Errorf("%d of %d came with half lost, %d were", n, sent, w.Lost())
	}
}

func TestConnectionIsHeldByACut(t *testing.T) {
	w, a, b := two(t)
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
	w.Set("a", "b", Trouble{Cut: true})
	c.Write([]byte("x"))
	select {
	case text := <-got:
		t.Fatalf("%q came through a cut", text)
	case <-time.After(100 * time.Millisecond):
	}
	w.Set("a", "b", Trouble{})
	select {
	case text := <-got:
		if text != "x" {
			t.Errorf("%q came", text)
		}
	case <-time.After(patience):
		t.Error("nothing came after the cut")
	}
}

func TestStrangersAreTurnedAway(t *testing.T) {
	_, _, b := two(t)
	c, err := net.Dial("tcp", b.reach) // from an address that is no member's
	if err != nil {
		return // on a busy machine it is turned away before this sees it come up
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("a stranger was let in")
	}
}
