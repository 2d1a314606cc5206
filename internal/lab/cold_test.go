package lab

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"elderyard/internal/wait"
)

// The long form, -cold-seeds 20 -cold-gateways 20 or 30, takes a quarter of a minute for each seed and case.
var (
	coldSeeds    = flag.Int("cold-seeds", 0, "seeds for each case of cold starts before real gateways; 0: one, of the hardest case")
	coldFirst    = flag.Uint64("cold-first", 1, "the first of these seeds")
	coldGateways = flag.Int("cold-gateways", 20, "gateways of each")
)

const (
	coldNodes   = 10
	coldJoin    = 2               // of these, new at the cold start
	coldReturn  = 2               // and back from a restart
	coldStart   = 5 * time.Second // all from the start of the load
	coldBurst   = 6 * time.Second
	coldRestart = 8 * time.Second
	coldApart   = 2 * time.Second // between the first and the last gateway that learns of a change
)

// coldCase is one way to trouble a fleet while backends are cold.
type coldCase struct {
	name     string
	factor   float64 // fleet size in the settings, in multiples of the gateways; 0: it is right
	apart    bool    // lists reach the gateways up to coldApart apart
	burst    bool
	restarts bool // a third of the gateways are killed and start again
}

var coldCases = []coldCase{
	{name: "lists 2 s apart, burst, restarts", apart: true, burst: true, restarts: true},
	{name: "join and return"},
	{name: "settings twice the fleet", factor: 2, burst: true},
	{name: "settings half the fleet", factor: 0.5, burst: true},
}

// site is the case's lab. Backends must not fall: what they are sent after that would not be counted.
func (c *coldCase) site(seed uint64, gateways int, log func(string, ...any)) Site {
	s := Site{Gateways: gateways, Nodes: coldNodes, Rate: 60, Busy: 0.9, For: coldStart + coldFor, Seed: seed, Log: log,
		unlisted: coldJoin, neverFall: true}
	if c.factor > 0 {
		s.fleetSize = int(c.factor * float64(gateways))
	}
	back := Fault{Kind: "node-kill", At: time.Second, For: coldStart - time.Second}
	for i := range coldReturn {
		back.Targets = append(back.Targets, fmt.Sprint("n", i))
	}
	s.Faults = append(s.Faults, back)
	if c.burst {
		for _, p := range planShapes {
			s.Faults = append(s.Faults, Fault{Kind: "surge", At: coldBurst, For: 4 * time.Second, Plan: p.name, Size: 4})
		}
	}
	if c.restarts {
		kill := Fault{Kind: "gateway-kill", At: coldRestart, For: 200 * time.Millisecond}
		for i := range gateways / 3 {
			kill.Targets = append(kill.Targets, fmt.Sprint("g", 3*i))
		}
		s.Faults = append(s.Faults, kill)
	}
	return s
}

// coldWindow is a span of the settings' length in the life of a cold backend.
type coldWindow struct {
	sends   int
	allowed float64 // by the settings: multiple * capacity in the middle of the span * its length
}

func (w coldWindow) bound() float64 { return w.allowed + 2*math.Sqrt(w.allowed) + 2 }
func (w coldWindow) load() float64  { return float64(w.sends) / w.bound() }

// fullest finds the window with the most requests for its bound in the present life of a node, and how many came
// while it was cold.
func (l *Lab) fullest(n *node) (worst coldWindow, all int) {
	var came []time.Duration // since its start
	attempts, _, _ := n.Record()
	born := n.StartedAt()
	for _, a := range attempts {
		if age := a.FirstByte.Sub(born); a.Restarts > 0 && age < coldFor {
			came = append(came, max(age, 0))
		}
	}
	capacity := l.site.Rate / (l.site.Busy * float64(l.site.Nodes)) // requests a second when warm
	for _, from := range came {
		w := coldWindow{}
		for _, at := range came {
			if at >= from && at < from+fallFor {
				w.sends++
			}
		}
		warmth := coldFrom + (1-coldFrom)*(from+fallFor/2).Seconds()/coldFor.Seconds()
		w.allowed = fallMultiple * fallFor.Seconds() * capacity * min(warmth, 1)
		if w.load() > worst.load() {
			worst = w
		}
	}
	return worst, len(came)
}

// play runs the case and returns the fullest window of all cold backends, and the requests that these got.
func (c *coldCase) play(t *testing.T, seed uint64, gateways int) (worst coldWindow, all int) {
	l := Start(t, c.site(seed, gateways, t.Logf))
	defer l.Close()
	if c.apart {
		for i, name := range l.gatewayNames() {
			l.registry.SetDelay(name, time.Duration(i)*coldApart/time.Duration(gateways-1))
		}
	}
	var join []int
	for i := range coldJoin {
		join = append(join, coldNodes-1-i)
	}
	joined := make(chan error, 1)
	go func() {
		wait.For(t.Context(), coldStart)
		joined <- l.restartNodes(join)()
	}()
	if err := l.Play(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := <-joined; err != nil {
		t.Fatal(err)
	}
	for _, n := range l.nodes {
		if n.StartedAt().IsZero() {
			continue
		}
		w, count := l.fullest(n)
		if all += count; w.load() > worst.load() {
			worst = w
		}
	}
	return worst, all
}

// Backends start cold before twenty gateways or more, each a process of its own. In any window of the settings'
// length, what all of them send to one must stay within what the settings allow, N, and 2*sqrt(N)+2 for chance.
func TestColdBackendsBearWhatAllGatewaysSend(t *testing.T) {
	cases, seeds := coldCases, *coldSeeds
	if seeds == 0 {
		cases, seeds = coldCases[:1], 1
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d gateways/%s", *coldGateways, c.name), func(t *testing.T) {
			for seed := *coldFirst; seed < *coldFirst+uint64(seeds); seed++ {
				w, all := c.play(t, seed, *coldGateways)
				t.Logf("seed %d: worst window %d requests, N %.1f, bound %.1f, load %.2f; %d requests to %d cold backends", seed, w.sends,
					w.allowed, w.bound(), w.load(), all, coldJoin+coldReturn)
				if w.load() > 1 {
					t.Errorf("seed %d: %d requests in a window, %.1f at most", seed, w.sends, w.bound())
				}
				if all == 0 {
					t.Errorf("seed %d: cold backends get nothing", seed)
				}
			}
		})
	}
}
