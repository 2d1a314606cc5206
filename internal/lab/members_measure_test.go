package lab

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/peers"
	"elderyard/internal/standin/faultproxy"
	"elderyard/members"
)

// The figures of the design note. They take minutes and many processes, and rule on
// nothing but what they count.
var (
	measureSizes = flag.String("member-measure", "", "sizes of sites to measure, such as 5,20,50,100")
	measureEvery = flag.Duration("member-every", time.Second, "between probes of those sites")
	measureIdle  = flag.Duration("member-idle", 20*time.Second, "idle time that costs are counted over")
	calmFor      = flag.Duration("member-calm", 0, "count false failures for so long, with 5 % loss and all cores busy")
	flapFor      = flag.Duration("member-flap", 0, "let one gateway's ways flap each second for so long, and count verdicts")
	calmCount    = flag.Int("member-calm-count", 20, "gateways of that")
)

// bare opens a site without load, at the given probe interval.
func bare(t *testing.T, n int, every, looks time.Duration) *club {
	t.Helper()
	return &club{Start(t, Site{Gateways: n, Nodes: 1, Peers: true, Every: every, looks: looks, Seed: 1, Rate: 1, For: 30 * time.Minute, Log: func(string, ...any) {}}), t}
}

// answers are what all gateways but some believe.
func (c *club) answers(but ...string) (list []peers.Status) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, name := range c.names() {
		if slices.Contains(but, name) {
			continue
		}
		all.Go(func() {
			if a, err := c.Answer(c.t.Context(), name); err == nil {
				mu.Lock()
				defer mu.Unlock()
				list = append(list, a)
			}
		})
	}
	all.Wait()
	return list
}

// takes waits until all but some believe something, and returns how long that took.
func (c *club) takes(what string, but []string, is func(*peers.Status) bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < 5*time.Minute {
		list := c.answers(but...)
		if len(list) == len(c.names())-len(but) && !slices.ContainsFunc(list, func(a peers.Status) bool { return !is(&a) }) {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("not in five minutes: %s", what)
	return 0
}

func TestMembersMeasure(t *testing.T) {
	if *measureSizes == "" {
		t.Skip("figures are asked for by -member-measure")
	}
	for _, text := range strings.Split(*measureSizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { measure(t, n) })
	}
}

func measure(t *testing.T, n int) {
	began := time.Now()
	c := bare(t, n, *measureEvery, time.Hour)
	whole := func(a *peers.Status) bool { return a.View.Verdict == members.Complete }
	c.takes("all are whole", nil, whole)
	started := time.Since(began)

	cost := func() (sum peers.Traffic, cpu time.Duration, mb float64) {
		for _, a := range c.answers() {
			sum.PacketsOut += a.Traffic.PacketsOut
			sum.BytesOut += a.Traffic.BytesOut
		}
		for _, g := range c.gateways {
			p := g.process()
			cpu += p.CPU
			mb = max(mb, p.PeakMB)
		}
		return sum, cpu, mb
	}
	time.Sleep(30 * *measureEvery) // what the starts set going has gone round
	before, cpuBefore, _ := cost()
	time.Sleep(*measureIdle)
	after, cpuAfter, mb := cost()
	each := float64(n) * measureIdle.Seconds()
	t.Logf("%d members, probes every %v: whole %v after the first start; each member sends %.1f datagrams and %.0f bytes a second and takes %.2f ms of CPU a second, all of an idle gateway; %.1f MB at most",
		n, *measureEvery, started.Round(100*time.Millisecond), float64(after.PacketsOut-before.PacketsOut)/each, float64(after.BytesOut-before.BytesOut)/each,
		float64((cpuAfter-cpuBefore).Microseconds())/1000/each, mb)

	all := func(a *peers.Status) bool { return a.View.LikelyCount == n }
	var failed, back []time.Duration
	for i := range 5 {
		name := fmt.Sprint("g", (i*7+1)%n)
		c.must(c.Kill(name))
		failed = append(failed, c.takes(name+" is given up", []string{name}, func(a *peers.Status) bool { return !state(a, name).Alive() }))
		c.must(c.Start(t.Context(), name))
		back = append(back, c.takes("all hear all", nil, all))
	}
	least, middle, most := audit.Spread(failed)
	t.Logf("%d members: a killed one is given up by all after %v, %v, %v (least, middle, most of 5)", n, least.Round(10*time.Millisecond), middle.Round(10*time.Millisecond), most.Round(10*time.Millisecond))
	least, middle, most = audit.Spread(back)
	t.Logf("%d members: started again, all hear all after %v, %v, %v", n, least.Round(10*time.Millisecond), middle.Round(10*time.Millisecond), most.Round(10*time.Millisecond))

	heal := c.part(c.names()[:n/2])
	cut := c.takes("no picture has more than its half", nil, func(a *peers.Status) bool { return a.View.LikelyCount <= (n+1)/2 })
	c.must(heal())
	t.Logf("%d members: halves know it %v after the cut, all hear all %v after the heal", n, cut.Round(10*time.Millisecond), c.takes("all hear all", nil, all).Round(10*time.Millisecond))

	third := c.names()[:max(n/3, 1)]
	for _, name := range third {
		c.must(c.Kill(name))
	}
	began = time.Now()
	var starts sync.WaitGroup
	for _, name := range third {
		starts.Go(func() { c.Start(t.Context(), name) })
	}
	starts.Wait()
	c.takes("all hear all", nil, all)
	t.Logf("%d members: a third restarted in one instant, all hear all after %v", n, time.Since(began).Round(10*time.Millisecond))
}

// One gateway's ways flap each second: the others hold to each other, and verdicts
// change seldom.
func TestMembersFlapForLong(t *testing.T) {
	if *flapFor == 0 {
		t.Skip("asked for by -member-flap")
	}
	t.Parallel()
	c := bare(t, 5, *measureEvery, 0)
	c.takes("all are whole", nil, func(a *peers.Status) bool { return a.View.Verdict == members.Complete })
	undo, err := peersFlap(t.Context(), c.Lab, &Fault{Kind: "peers-flap"}, []int{2})
	c.must(err)
	time.Sleep(*flapFor)
	c.must(undo())
	changes, last, lost := map[string]int{}, map[string]audit.Picture{}, 0
	for _, p := range c.peerNetwork.read().Pictures {
		if q, known := last[p.Name]; known && q.Verdict != p.Verdict {
			changes[p.Name]++
		}
		last[p.Name] = p
		for _, other := range []string{"g0", "g1", "g3", "g4"} {
			if _, there := p.Alive[other]; !there && p.Name != "g2" {
				lost++
			}
		}
	}
	t.Logf("%v of a way that flaps each second: changes of verdicts %v; pictures of the others in which one of them was missing: %d", *flapFor, changes, lost)
}

// Ten minutes and more with all cores busy and one datagram in twenty lost: nobody
// that runs is given up.
func TestMembersNoFalseFailure(t *testing.T) {
	if *calmFor == 0 {
		t.Skip("asked for by -member-calm")
	}
	t.Parallel()
	c := bare(t, *calmCount, *measureEvery, 0)
	c.takes("all are whole", nil, func(a *peers.Status) bool { return a.View.Verdict == members.Complete })
	for _, from := range c.names() {
		for _, to := range c.names() {
			c.PeerProxy().SetFault(from, to, faultproxy.Fault{Loss: 0.05})
		}
	}
	stop := make(chan struct{})
	var burners sync.WaitGroup
	for range runtime.NumCPU() {
		burners.Go(func() {
			for x := 1; ; x = x*31 + 7 {
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	time.Sleep(*calmFor)
	close(stop)
	burners.Wait()
	v := c.Members()
	pictures := c.peerNetwork.read().Pictures
	t.Logf("%d gateways, %v, all %d cores busy, 5%% loss: %d false failures, %d changes of verdicts, %d pictures", *calmCount, *calmFor, runtime.NumCPU(), v.False, v.Changes, len(pictures))
	if v.False > 0 {
		t.Errorf("%d false failures", v.False)
	}
}
