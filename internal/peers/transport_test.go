package peers

import (
	"flag"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/members"
)

var garbageCount = flag.Int("garbage", 20000, "number of invalid datagrams")

// Processes with another key or the name of another site must not become members. Their traffic is counted.
func TestSitesAreIsolated(t *testing.T) {
	t.Parallel()
	north := newSite(t, "north", 2)
	a := north.run(north.settings("g0"))
	for _, c := range []struct {
		site, fault string
		fill        byte
		count       func(Traffic) uint64
	}{
		{"south", "another site's name", 1, func(c Traffic) uint64 { return c.Foreign + c.Undecryptable }},
		{"north", "another key", 2, func(c Traffic) uint64 { return c.Undecryptable }},
	} {
		s := newSite(t, c.site, 2)
		s.writeKeys(c.fill)
		s.addresses["g0"] = north.addresses["g0"]
		before := c.count(a.Traffic())
		b := s.run(s.settings("g1", "g0"))
		testwait.UntilEvery(t, waitTimeout, pollInterval, c.fault+" is counted", func() bool { return c.count(a.Traffic()) >= before+3 })
		if p := a.View(); p.Members[1].State != members.StateUnknown {
			t.Errorf("%s: g0 counts g1 as %v", c.fault, p.Members[1].State)
		}
		if p := b.View(); p.Members[0].State != members.StateUnknown {
			t.Errorf("%s: g1 counts g0 as %v", c.fault, p.Members[0].State)
		}
		b.stop()
	}
}

// Invalid datagrams and connections above the limit are counted and dropped, and no member fails meanwhile.
func TestGarbageIsCountedAndBounded(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	a := s.run(s.settings("g0"))
	b := s.run(s.settings("g1", "g0"))
	a.waitForVerdict(t, members.Complete)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sendGarbage(t, s.addresses["g0"], "north", *garbageCount)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d datagrams: heap %d kB before, %d after; %+v", *garbageCount, before.HeapAlloc>>10, after.HeapAlloc>>10, a.Traffic())
	testwait.UntilEvery(t, waitTimeout, pollInterval, "all kinds of invalid datagrams are counted", func() bool {
		c := a.Traffic()
		return c.Foreign > 1000 && c.Oversized > 100 && c.Undecryptable > 1000
	})
	for range 2 * maxInboundStreams {
		if c, err := net.Dial("tcp", s.addresses["g0"]); err == nil {
			defer c.Close()
		}
	}
	testwait.UntilEvery(t, waitTimeout, pollInterval, "connections beyond the limit are closed", func() bool { return a.Traffic().QueueFull > 0 })
	b.waitForVerdict(t, members.Complete)
	a.waitForVerdict(t, members.Complete)
}

// sendGarbage sends n invalid datagrams, slowly enough for loopback.
func sendGarbage(t *testing.T, to, site string, n int) {
	t.Helper()
	conn, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	label := clusterLabel(site)
	generator := newGarbage(1)
	for i := range n {
		conn.Write(generator.next(label))
		if i%64 == 63 {
			time.Sleep(time.Millisecond)
		}
	}
}

// garbage generates datagrams of random bytes. Some have the site's label, some are too short, and some are too long.
type garbage struct{ rng *rand.Rand }

func newGarbage(seed uint64) garbage { return garbage{rand.New(rand.NewPCG(seed, 1))} }

func (g garbage) next(label []byte) []byte {
	b := make([]byte, g.rng.IntN(300))
	for i := range b {
		b[i] = byte(g.rng.Uint32())
	}
	switch g.rng.IntN(4) {
	case 0:
		return append(append([]byte{}, label...), b...)
	case 1:
		return append(append(append([]byte{}, label...), byte(g.rng.IntN(3))), b...)
	case 2:
		if g.rng.IntN(8) == 0 {
			return make([]byte, 3000+g.rng.IntN(3000))
		}
	}
	return b
}
