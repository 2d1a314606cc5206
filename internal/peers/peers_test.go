package peers

import (
	"context"
	"encoding/base64"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/loopback"
	"elderyard/members"
)

const patience = 30 * time.Second

var garbageCount = flag.Int("garbage", 20000, "datagrams that are no member's")

// testSite is a folder with the files of some members.
type testSite struct {
	t     *testing.T
	dir   string
	name  string
	hosts map[string]string
}

func newSite(t *testing.T, name string, members int) *testSite {
	t.Helper()
	s := &testSite{t: t, dir: t.TempDir(), name: name, hosts: map[string]string{}}
	s.key(1)
	var list []string
	for i := range members {
		list = append(list, fmt.Sprintf("g%d", i))
	}
	s.roster(1, list...)
	return s
}

func key(fill byte) string {
	return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune('a'+fill)), 32)))
}

func (s *testSite) key(fills ...byte) {
	text := "# keys\n"
	for _, f := range fills {
		text += key(f) + "\n"
	}
	s.write("keys", text)
}

func (s *testSite) write(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testSite) roster(epoch uint64, names ...string) {
	text := fmt.Sprintf("epoch = %d\n", epoch)
	for _, n := range names {
		text += fmt.Sprintf("[[member]]\nname = %q\n", n)
	}
	s.write("roster.toml", text)
}

func (s *testSite) settings(name string, seeds ...string) Settings {
	s.t.Helper()
	if s.hosts[name] == "" {
		at, err := loopback.Free()
		if err != nil {
			s.t.Fatal(err)
		}
		s.hosts[name] = at
	}
	set := Settings{Self: name, Site: s.name, Listen: s.hosts[name], Advertise: s.hosts[name], Dir: s.dir, KeyFile: filepath.Join(s.dir, "keys"),
		RosterFile: filepath.Join(s.dir, "roster.toml"), AddressOverrides: map[string]string{}, ProbeInterval: 200 * time.Millisecond, MaxBytesPerSecond: 1 << 20, Log: slog.New(slog.NewTextHandler(s.t.Output(), nil))}
	for _, seed := range seeds {
		set.Seeds = append(set.Seeds, s.hosts[seed])
	}
	return set
}

// running is one that takes part.
type running struct {
	*Peers
	stop func()
}

func (s *testSite) run(set Settings) *running {
	s.t.Helper()
	p, err := Open(set)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx, func(int, int) {}) })
	r := &running{p, sync.OnceFunc(func() { cancel(); wg.Wait() })}
	s.t.Cleanup(r.stop)
	return r
}

// three are whole.
func (s *testSite) three() (a, b, c *running) {
	s.t.Helper()
	a = s.run(s.settings("g0"))
	b = s.run(s.settings("g1", "g0"))
	c = s.run(s.settings("g2", "g0"))
	for _, r := range []*running{a, b, c} {
		r.becomes(s.t, members.Complete)
	}
	return a, b, c
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (r *running) becomes(t *testing.T, v members.Verdict) {
	t.Helper()
	until(t, fmt.Sprintf("%s is %v", r.settings.Self, v), func() bool { return r.View().Verdict == v })
}

func TestThreeBecomeWholeAndMissOne(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	a, b, c := s.three()
	if allowed, reason := a.Allows(members.ExerciseLease); !allowed {
		t.Errorf("whole, and may not hold a duty: %s", reason)
	}
	c.stop() // with a good-bye
	for _, r := range []*running{a, b} {
		r.becomes(t, members.Majority)
		until(t, "the good-bye is heard as one", func() bool { return r.View().Members[2].State == members.StateLeft })
		if p := r.View(); p.SafeCount != 3 || p.QuotaDivisor != 3 {
			t.Errorf("safe %d and share by %d, want 3: its going is not agreed", p.SafeCount, p.QuotaDivisor)
		}
	}
	c = s.run(s.settings("g2", "g0"))
	for _, r := range []*running{a, b, c} {
		r.becomes(t, members.Complete)
	}
	s.roster(2, "g0", "g1", "g2", "g3")
	for _, r := range []*running{a, b, c} {
		r.becomes(t, members.Majority)
		if p := r.View(); p.Epoch != 2 || p.QuotaDivisor != 4 {
			t.Errorf("epoch %d and share by %d, want 2 and 4", p.Epoch, p.QuotaDivisor)
		}
	}
	if line := a.Summary(); !strings.Contains(line, "majority") || !strings.Contains(line, "epoch 2") {
		t.Errorf("it says %q", line)
	}
}

// A roster reaches those whose file is old, and stays with them after a start.
func TestRosterGoesRound(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	a := s.run(s.settings("g0"))
	set := s.settings("g1", "g0")
	set.RosterFile = filepath.Join(s.dir, "old.toml")
	s.write("old.toml", "epoch = 1\n[[member]]\nname = \"g0\"\n[[member]]\nname = \"g1\"\n")
	b := s.run(set)
	b.becomes(t, members.Complete)
	s.roster(7, "g0", "g1", "g2")
	until(t, "g1 has epoch 7", func() bool { return b.View().Epoch == 7 })
	a.stop()
	b.stop()
	b = s.run(set)
	if p := b.View(); p.Epoch != 7 {
		t.Errorf("after a start it has epoch %d, want 7", p.Epoch)
	}
}

// One name started twice, from two folders: the later start has it, whatever its
// clock says, and the other learns that.
func TestOneNameTwice(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	other := t.TempDir()
	a := s.run(s.settings("g0"))
	b := s.run(s.settings("g1", "g0"))
	c := s.run(s.settings("g2", "g0"))
	a.becomes(t, members.Complete)
	s.hosts["g2"] = ""
	set := s.settings("g2", "g0")
	set.Dir = other
	d := s.run(set)
	until(t, "the first g2 has given way", func() bool { return c.View().SupersededBy != 0 })
	if allowed, _ := c.Allows(members.ExerciseLease); allowed || c.View().QuotaDivisor != members.NoQuota {
		t.Error("the first g2 goes on")
	}
	for _, r := range []*running{a, b, d} {
		r.becomes(t, members.Complete)
		until(t, "all know the second g2", func() bool { return r.View().Members[2].Incarnation == d.View().Incarnation })
	}
}

// A start whose clock is an hour behind takes a number above the one that the
// others know.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	first := s.settings("g0")
	set := s.settings("g1", "g0")
	if err := set.store(savedState{Incarnation: members.Incarnation(time.Now().Add(time.Hour).UnixMilli()) * members.IncarnationRandomValues}); err != nil {
		t.Fatal(err)
	}
	a, b := s.run(first), s.run(set)
	a.becomes(t, members.Complete)
	ahead := b.View().Incarnation
	b.stop()
	set.Dir = t.TempDir() // another machine, with another clock
	c := s.run(set)
	until(t, "the new g1 is above the old", func() bool { return c.View().Incarnation > ahead })
	a.becomes(t, members.Complete)
	c.becomes(t, members.Complete)
	if c.View().SupersededBy != 0 {
		t.Error("it takes itself for an earlier one")
	}
}

// The process that ends in an upgrade does not lower the number on disk.
func TestLifeOnDiskOnlyGrows(t *testing.T) {
	s := newSite(t, "north", 1)
	set := s.settings("g0")
	for _, incarnation := range []members.Incarnation{5, 9, 7} {
		if err := set.store(savedState{Incarnation: incarnation}); err != nil {
			t.Fatal(err)
		}
	}
	if k, err := set.load(); err != nil || k.Incarnation != 9 {
		t.Errorf("%d is kept (%v), want 9", k.Incarnation, err)
	}
	if incarnation := members.NextIncarnation(1<<60, time.Now(), 3); incarnation != 1<<60+1 {
		t.Errorf("the next life is %d", incarnation)
	}
}

// Wrong key, or the right key and another site's name: they never merge, and what
// came is counted.
func TestSitesNeverMix(t *testing.T) {
	t.Parallel()
	north := newSite(t, "north", 2)
	a := north.run(north.settings("g0"))
	for _, c := range []struct {
		site, what string
		fill       byte
		count      func(Traffic) uint64
	}{
		{"south", "another site's name", 1, func(c Traffic) uint64 { return c.Foreign + c.Unsealed }},
		{"north", "another key", 2, func(c Traffic) uint64 { return c.Unsealed }},
	} {
		s := newSite(t, c.site, 2)
		s.key(c.fill)
		s.hosts["g0"] = north.hosts["g0"]
		before := c.count(a.Traffic())
		b := s.run(s.settings("g1", "g0"))
		until(t, c.what+" is counted", func() bool { return c.count(a.Traffic()) >= before+3 })
		if p := a.View(); p.Members[1].State != members.StateUnknown {
			t.Errorf("%s: g0 takes it for %v", c.what, p.Members[1].State)
		}
		if p := b.View(); p.Members[0].State != members.StateUnknown {
			t.Errorf("%s: it takes g0 for %v", c.what, p.Members[0].State)
		}
		b.stop()
	}
}

// A key is changed in service: added everywhere, then put first, then the old one
// is taken out. Nobody is missed meanwhile.
func TestKeyIsChangedInService(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	a := s.run(s.settings("g0"))
	b := s.run(s.settings("g1", "g0"))
	a.becomes(t, members.Complete)
	b.becomes(t, members.Complete)
	for _, keys := range [][]byte{{1, 2}, {2, 1}, {2}} {
		s.key(keys...)
		primary := strings.Repeat(string(rune('a'+keys[0])), 32)
		for _, r := range []*running{a, b} {
			until(t, "the keys are taken", func() bool {
				return string(r.keyring.GetPrimaryKey()) == primary && len(r.keyring.GetKeys()) == len(keys)
			})
		}
	}
	s.write("keys", "not a key\n") // a mistake changes nothing
	heard := a.View().LastAnswer
	until(t, "g0 hears g1 under the new key", func() bool { return a.View().LastAnswer > heard+time.Second })
	for _, r := range []*running{a, b} {
		if p := r.View(); p.Verdict != members.Complete {
			t.Errorf("%s is %v: %s", p.Self, p.Verdict, p.Reason)
		}
		list, err := r.Evidence(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			if strings.Contains(e.What, "silence") {
				t.Errorf("%s: %+v", r.settings.Self, e)
			}
		}
	}
}

// In an upgrade one speaks the next version beside others that do not.
func TestVersionsSideBySide(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	first := s.settings("g0")
	next := s.settings("g1", "g0")
	next.protocolVersion = protocolVersion + 1
	a, b := s.run(first), s.run(next)
	c := s.run(s.settings("g2", "g1"))
	for _, r := range []*running{a, b, c} {
		r.becomes(t, members.Complete)
	}
	s.roster(2, "g0", "g1", "g2", "g3")
	for _, r := range []*running{a, b, c} {
		until(t, r.settings.Self+" has epoch 2", func() bool { return r.View().Epoch == 2 })
	}
}

// The seeds are all dead: addresses from before the last start do.
func TestSeedsAllDead(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	a, b, c := s.three()
	for _, r := range []*running{a, b, c} {
		r.stop()
	}
	b = s.run(s.settings("g1", "g0"))
	c = s.run(s.settings("g2", "g0"))
	b.becomes(t, members.Majority)
	c.becomes(t, members.Majority)
}

func TestBadFilesAreNamed(t *testing.T) {
	s := newSite(t, "north", 3)
	base := s.settings("g0")
	for _, c := range []struct {
		file, text, wantError string
	}{
		{"keys", "aGVsbG8=\n", "keys:1: the key has 5 bytes, not 16, 24 or 32"},
		{"keys", "# one\n\nnot base64!\n", "keys:3: the key is not base64"},
		{"keys", "# none\n", "there is no key in it"},
		{"keys", strings.Repeat(key(1)+"\n", 9), "keys:9: more than 8"},
		{"roster.toml", "", "epoch: it is 0 or missing"},
		{"roster.toml", "epoch = 1\n", "member: there is none"},
		{"roster.toml", "epoch = 1\n[[member]]\nname = \"a\"\n[[member]]\nname = \"a\"\n", "roster.toml:5: member[1].name: \"a\" stands twice"},
		{"roster.toml", "epoch = 1\n[[member]]\nnam = \"a\"\n", "did you mean \"name\"?"},
		{"g0.peers.json", "{", "what it knew is lost if it is removed"},
	} {
		previous, err := os.ReadFile(filepath.Join(s.dir, c.file))
		if err != nil && !os.IsNotExist(err) {
			t.Fatal(err)
		}
		s.write(c.file, c.text)
		if p, err := Open(base); err == nil || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %v, want ...%s...", c.file, err, c.wantError)
			if err == nil {
				p.stopDetector(false)
			}
		}
		if previous == nil {
			os.Remove(filepath.Join(s.dir, c.file))
		} else {
			s.write(c.file, string(previous))
		}
	}
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Self = "a b" }, func(s *Settings) { s.Listen = "nowhere" }, func(s *Settings) { s.Listen = "localhost:1" },
		func(s *Settings) { s.Advertise = "127.0.0.1:0" }, func(s *Settings) { s.Dir = filepath.Join(s.Dir, "none") }, func(s *Settings) { s.KeyFile = "none" },
		func(s *Settings) { s.RosterFile = "none" },
	} {
		bad := base
		change(&bad)
		if p, err := Open(bad); err == nil {
			t.Errorf("taken: %+v", bad)
			p.stopDetector(false)
		}
	}
}

// Whatever comes to the address: it is counted, memory stays, the others are not missed.
func TestGarbageIsCounted(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	a := s.run(s.settings("g0"))
	b := s.run(s.settings("g1", "g0"))
	a.becomes(t, members.Complete)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	throwGarbage(t, s.hosts["g0"], "north", *garbageCount)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d datagrams: heap %d kB before, %d after; %+v", *garbageCount, before.HeapAlloc>>10, after.HeapAlloc>>10, a.Traffic())
	until(t, "all of it is counted", func() bool {
		c := a.Traffic()
		return c.Foreign > 1000 && c.Oversized > 100 && c.Unsealed > 1000
	})
	for range 2 * maxInboundStreams {
		if c, err := net.Dial("tcp", s.hosts["g0"]); err == nil {
			defer c.Close()
		}
	}
	until(t, "connections over the bound are closed", func() bool { return a.Traffic().QueueFull > 0 })
	b.becomes(t, members.Complete)
	a.becomes(t, members.Complete)
}

// throwGarbage sends datagrams that are no member's, at a rate that loopback takes.
func throwGarbage(t *testing.T, to, site string, n int) {
	t.Helper()
	conn, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	label := clusterLabel(site)
	rng := newGarbage(1)
	for i := range n {
		conn.Write(rng.next(label))
		if i%64 == 63 {
			time.Sleep(time.Millisecond)
		}
	}
}
