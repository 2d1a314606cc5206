package lab

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/peers"
	"elderyard/internal/standin/faultproxy"
	"elderyard/members"
)

var (
	memberSeeds = flag.Int("member-seeds", 2, "random schedules of faults among real gateways")
	memberFirst = flag.Uint64("member-first", 1, "seed of the first")
	memberCount = flag.Int("member-count", 5, "gateways of each")
	memberSleep = flag.Duration("member-sleep", 10*time.Second, "the longer sleep of a sleeper")
)

const (
	memberEvery    = 200 * time.Millisecond
	memberPatience = 60 * time.Second
)

// club is a lab whose gateways know each other and have nothing else to do.
type club struct {
	*Lab
	t *testing.T
}

func newClub(t *testing.T, n, absent int) *club {
	t.Helper()
	t.Parallel()
	c := &club{Start(t, Site{Gateways: n, Absent: absent, Nodes: 1, Peers: true, Every: memberEvery, Seed: 1, For: time.Hour / 4}), t}
	for _, name := range c.names()[:n-absent] {
		c.becomes(members.Complete, name)
	}
	return c
}

func (c *club) names() []string { return c.gatewayNames() }

// until waits for something that a gateway believes.
func (c *club) until(name, what string, is func(*peers.Status) bool) {
	c.t.Helper()
	var a peers.Status
	var err error
	for end := time.Now().Add(memberPatience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a, err = c.Answer(c.t.Context(), name); err == nil && is(&a) {
			return
		}
	}
	c.t.Fatalf("%s: not within %v: %s; it believes %+v (%v)", name, memberPatience, what, a.View, err)
}

func (c *club) becomes(v members.Verdict, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.until(name, "it is "+v.String(), func(a *peers.Status) bool { return a.View.Verdict == v })
	}
}

func state(a *peers.Status, name string) members.State {
	for _, v := range a.View.Members {
		if v.Name == name {
			return v.State
		}
	}
	return members.StateUnknown
}

func mayHold(a *peers.Status) bool {
	return slices.ContainsFunc(a.Permissions, func(p peers.OperationPermission) bool {
		return p.Operation == members.ExerciseLease.String() && p.Allowed
	})
}

func (c *club) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// kept fails the test where a rule on pictures was broken, or nothing was ruled on.
func (c *club) kept(rules ...string) {
	c.t.Helper()
	v := c.Members()
	for _, f := range v.Findings {
		if f.Broken > 0 {
			c.t.Errorf("%s: %+v", f.Rule, f.Evidence)
		}
	}
	for _, r := range rules {
		if v.Judged[r] == 0 {
			c.t.Errorf("there was nothing to rule on: %s", r)
		}
	}
}

// cutPair cuts two gateways off from each other alone.
func (c *club) cutPair(a, b string, on bool) {
	c.PeerProxy().SetFault(a, b, faultproxy.Fault{Cut: on})
	c.PeerProxy().SetFault(b, a, faultproxy.Fault{Cut: on})
}

// part cuts all ways between two parts, and returns what heals them.
func (c *club) part(one []string) (heal func() error) {
	var targets []int
	for i, name := range c.names() {
		if slices.Contains(one, name) {
			targets = append(targets, i)
		}
	}
	heal, _ = peersCut(c.t.Context(), c.Lab, &Fault{Kind: "peers-cut"}, targets)
	return heal
}

func TestMembersKillAndRejoin(t *testing.T) {
	c := newClub(t, 5, 0)
	c.must(c.Kill("g1"))
	for _, name := range []string{"g0", "g2", "g3", "g4"} {
		c.until(name, "g1 is given up", func(a *peers.Status) bool { return !state(a, "g1").Alive() })
		c.becomes(members.Majority, name)
		c.until(name, "it still counts five", func(a *peers.Status) bool { return a.View.SafeCount == 5 && a.View.LikelyCount == 4 })
	}
	// The bound of the rule is passed, so that the records can be ruled on.
	time.Sleep(30*memberEvery + time.Second)
	c.kept(audit.RuleFailed)
	c.must(c.Start(t.Context(), "g1"))
	c.becomes(members.Complete, c.names()...)
	c.kept(audit.RuleFailed, audit.RuleSafe)
	desk, err := c.Desk("g0")
	c.must(err)
	resp, err := http.Get("http://" + desk + "/_ready")
	c.must(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if c.must(err); !strings.Contains(string(text), "peers: whole for") || !strings.Contains(string(text), "5 of 5 are heard") {
		t.Errorf("readiness says %q", text)
	}
}

func TestMembersParted(t *testing.T) {
	c := newClub(t, 5, 0)
	heal := c.part([]string{"g3", "g4"})
	c.becomes(members.Majority, "g0", "g1", "g2")
	c.becomes(members.Minority, "g3", "g4")
	for i, name := range c.names() {
		a, err := c.Answer(t.Context(), name)
		c.must(err)
		if mayHold(&a) != (i < 3) {
			t.Errorf("%s, %v, may hold a duty: %v", name, a.View.Verdict, mayHold(&a))
		}
	}
	c.must(heal())
	c.becomes(members.Complete, c.names()...)
	c.kept(audit.RuleSafe)
}

func TestMembersHalves(t *testing.T) {
	c := newClub(t, 4, 0)
	heal := c.part([]string{"g2", "g3"})
	c.becomes(members.Even, c.names()...)
	for _, name := range c.names() {
		if a, err := c.Answer(t.Context(), name); err != nil || mayHold(&a) {
			t.Errorf("%s of a half may hold a duty (%v)", name, err)
		}
	}
	c.must(heal())
	c.becomes(members.Complete, c.names()...)
	c.kept()
}

// A and C don't hear each other, B hears both: nobody is given up. The same in a
// ring, where each hears its neighbours only.
func TestMembersHeardByWayOfOthers(t *testing.T) {
	c := newClub(t, 5, 0)
	c.cutPair("g0", "g2", true)
	c.stays(12 * time.Second)
	c.cutPair("g0", "g2", false)
	heal, _ := peersRing(t.Context(), c.Lab, &Fault{Kind: "peers-ring"}, nil)
	c.stays(12 * time.Second)
	c.must(heal())
	c.kept()
}

// stays fails the test where anybody is given up in a time.
func (c *club) stays(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, name := range c.names() {
			a, err := c.Answer(c.t.Context(), name)
			if err != nil {
				continue
			}
			for _, other := range c.names() {
				if !state(&a, other).Alive() {
					c.t.Errorf("%s has given up %s", name, other)
					return
				}
			}
		}
	}
}

// Cut in one direction: one that is deaf, and one that is mute, hold nothing, and
// the others go on without them.
func TestMembersOneDirection(t *testing.T) {
	c := newClub(t, 5, 0)
	for _, kind := range []string{"peers-deaf", "peers-mute"} {
		heal, _ := faultKindNamed(kind).apply(t.Context(), c.Lab, &Fault{Kind: kind}, []int{4})
		c.until("g4", kind+": it holds nothing", func(a *peers.Status) bool { return !mayHold(a) })
		for _, name := range []string{"g0", "g1", "g2", "g3"} {
			c.until(name, kind+": it goes on without g4", func(a *peers.Status) bool { return mayHold(a) && !state(a, "g4").Alive() })
		}
		c.must(heal())
		c.becomes(members.Complete, c.names()...)
	}
	c.kept()
}

// One that slept finds out first thing when it wakes, and trusts nothing until it
// has heard somebody; the others take it back.
func TestMembersSleeper(t *testing.T) {
	c := newClub(t, 5, 0)
	for _, d := range []time.Duration{2 * time.Second, *memberSleep} {
		before, err := c.Answer(t.Context(), "g2")
		c.must(err)
		c.must(c.Pause("g2", true))
		time.Sleep(d)
		c.must(c.Pause("g2", false))
		c.until("g2", "it knows that it slept", func(a *peers.Status) bool {
			if a.View.Verdict == members.Unsure && mayHold(a) {
				t.Error("it slept, is unsure and may hold a duty")
			}
			return strings.Contains(a.View.Reason, "slept") || a.View.Version > before.View.Version && a.View.Verdict == members.Unsure
		})
		c.becomes(members.Complete, c.names()...)
	}
	c.kept()
}

// A process that gets hardly any time on a core is no reason to give up others, and
// no reason for others to be torn apart.
func TestMembersStarved(t *testing.T) {
	c := newClub(t, 5, 0)
	ctx := t.Context()
	undo, err := gatewayStarve(ctx, c.Lab, &Fault{Kind: "gateway-starve", Size: 0.8}, []int{3})
	c.must(err)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, name := range []string{"g0", "g1", "g2", "g4"} {
			a, err := c.Answer(ctx, name)
			for _, other := range []string{"g0", "g1", "g2", "g4"} {
				if err == nil && !state(&a, other).Alive() {
					t.Fatalf("%s has given up %s while g3 starves", name, other)
				}
			}
		}
	}
	c.must(undo())
	c.becomes(members.Complete, c.names()...)
	c.kept()
}

// One name started a second time, while the first process goes on or sleeps: the
// later one has it, and the first holds nothing any more.
func TestMembersOneNameTwice(t *testing.T) {
	for _, sleeps := range []bool{false, true} {
		t.Run(fmt.Sprintf("sleeps=%v", sleeps), func(t *testing.T) {
			c := newClub(t, 5, 0)
			for !slices.ContainsFunc(c.peerNetwork.read().Pictures, func(p audit.Picture) bool { return p.Name == "g2" && p.MayExercise }) {
				time.Sleep(pictureInterval) // what is ruled on is what was recorded
			}
			if sleeps {
				c.must(c.Pause("g2", true))
				for _, name := range []string{"g0", "g1", "g3", "g4"} {
					c.until(name, "the sleeper is given up", func(a *peers.Status) bool { return !state(a, "g2").Alive() })
				}
			}
			c.must(c.Twin(t.Context(), "g2"))
			twin := c.twins[0]
			var later members.Incarnation
			for later == 0 {
				if a, err := c.ask(t.Context(), twin); err == nil && a.View.Verdict == members.Complete {
					later = a.View.Incarnation
				}
				time.Sleep(20 * time.Millisecond)
			}
			if sleeps {
				c.must(c.Pause("g2", false))
			}
			c.until("g2", "it has given way", func(a *peers.Status) bool {
				return a.View.SupersededBy >= later && !mayHold(a) && a.View.QuotaDivisor == members.NoQuota
			})
			for _, name := range []string{"g0", "g1", "g3", "g4"} {
				c.until(name, "it knows the later life", func(a *peers.Status) bool {
					return slices.ContainsFunc(a.View.Members, func(v members.MemberView) bool { return v.Name == "g2" && v.Incarnation == later && v.State.Alive() })
				})
			}
			for end := time.Now().Add(memberPatience); c.Members().Judged[audit.RuleTwoMay] == 0 && time.Now().Before(end); {
				time.Sleep(pictureInterval)
			}
			c.kept(audit.RuleTwoMay)
		})
	}
}

// Heavy loss and late datagrams: whoever was given up comes back, and nobody is
// missed for good.
func TestMembersLossAndDelay(t *testing.T) {
	c := newClub(t, 5, 0)
	for _, together := range [][]Fault{{{Kind: "peers-loss", Size: 0.3}, {Kind: "peers-late", Size: 500}}, {{Kind: "peers-muddle", Size: 0.5}}} {
		var undo []func() error
		for _, f := range together {
			end, err := peersDegrade(t.Context(), c.Lab, &f, []int{0, 1, 2, 3, 4})
			c.must(err)
			undo = append(undo, end)
		}
		time.Sleep(5 * time.Second)
		c.must(undoAll(undo)())
		c.becomes(members.Complete, c.names()...)
	}
	c.kept()
}

// The roster changes while two are cut off: who was added has no share until the
// last of the old ones knows of it, and who was taken out and goes on talking
// still counts.
func TestMembersRosterChangesInACut(t *testing.T) {
	c := newClub(t, 5, 1)
	old := []string{"g0", "g1", "g2", "g3"}
	heal := c.part([]string{"g3"})
	c.until("g3", "it is cut off", func(a *peers.Status) bool { return !mayHold(a) })
	c.must(c.Roster("g0", "g1", "g2", "g3", "g4"))
	c.must(c.Start(t.Context(), "g4"))
	// All read one file here: the one beyond the cut has its own way to it, and knows.
	c.until("g4", "all know of it", func(a *peers.Status) bool { return a.View.Epoch == 2 })
	c.must(heal())
	c.becomes(members.Complete, c.names()...)
	for _, name := range c.names() {
		c.until(name, "it divides by five", func(a *peers.Status) bool { return a.View.QuotaDivisor == 5 })
	}
	c.must(c.Roster(old...))
	for _, name := range old {
		c.until(name, "g4 is out and goes on talking", func(a *peers.Status) bool {
			return a.View.Epoch == 3 && a.View.RosterSize == 4 && a.View.SafeCount == 5 && state(a, "g4").Alive()
		})
	}
	c.until("g4", "it holds nothing", func(a *peers.Status) bool { return !mayHold(a) && a.View.QuotaDivisor == members.NoQuota })
	c.must(c.Kill("g4"))
	for _, name := range old {
		c.until(name, "it divides by four", func(a *peers.Status) bool { return a.View.QuotaDivisor == 4 })
	}
	c.kept(audit.RuleEpoch)
}

// Random schedules of faults, each from its seed: kill, sleep, cuts in one and both
// directions, loss, delay, starts. After the last one all must be one again.
func TestMembersSeeds(t *testing.T) {
	for i := range *memberSeeds {
		seed := *memberFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newClub(t, *memberCount, 0)
			c.schedule(seed)
			c.becomes(members.Complete, c.names()...)
			for end := time.Now().Add(memberPatience); c.Members().Judged[audit.RuleAgree] == 0 && time.Now().Before(end); {
				time.Sleep(pictureInterval) // until the bound has passed in the records
			}
			c.kept(audit.RuleAgree, audit.RuleSafe)
			v := c.Members()
			_, agreed, _ := audit.Spread(v.Agreed)
			_, failed, _ := audit.Spread(v.Failed)
			t.Logf("seed %d: agreed %v after the last trouble, given up after %v (%d), %d changes of verdicts, judged %v", seed, agreed.Round(time.Millisecond),
				failed.Round(time.Millisecond), len(v.Failed), v.Changes, v.Judged)
		})
	}
}

// schedule plays faults by a seed until all of them have ended.
func (c *club) schedule(seed uint64) {
	c.t.Helper()
	rng := rand.New(rand.NewPCG(seed, 77))
	names := c.names()
	down, asleep := map[string]bool{}, map[string]bool{}
	var heals []func() error
	for range 4 + rng.IntN(5) {
		name := names[rng.IntN(len(names))]
		switch rng.IntN(6) {
		case 0:
			if !down[name] && !asleep[name] {
				c.t.Logf("kill %s", name)
				c.must(c.Kill(name))
				down[name] = true
			}
		case 1:
			if down[name] {
				c.t.Logf("start %s", name)
				c.must(c.Start(c.t.Context(), name))
				delete(down, name)
			}
		case 2:
			if !down[name] && !asleep[name] {
				c.t.Logf("stop %s", name)
				c.must(c.Pause(name, true))
				asleep[name] = true
			}
		case 3:
			if asleep[name] {
				c.t.Logf("wake %s", name)
				c.must(c.Pause(name, false))
				delete(asleep, name)
			}
		case 4:
			kinds := []Fault{{Kind: "peers-cut"}, {Kind: "peers-deaf"}, {Kind: "peers-mute"}, {Kind: "peers-loss", Size: 0.3}, {Kind: "peers-late", Size: 300}, {Kind: "peers-muddle", Size: 0.3}, {Kind: "peers-ring"}}
			f := kinds[rng.IntN(len(kinds))]
			targets := rng.Perm(len(names))[:1+rng.IntN(len(names)-1)]
			c.t.Logf("%s %v", f.Kind, targets)
			heal, err := faultKindNamed(f.Kind).apply(c.t.Context(), c.Lab, &f, targets)
			c.must(err)
			heals = append(heals, heal)
		case 5:
			if len(heals) > 0 {
				c.t.Log("heal")
				c.must(heals[0]())
				heals = heals[1:]
			}
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
	for _, heal := range heals {
		c.must(heal())
	}
	for _, name := range names {
		if asleep[name] {
			c.must(c.Pause(name, false))
		}
		if down[name] {
			c.must(c.Start(c.t.Context(), name))
		}
	}
}
