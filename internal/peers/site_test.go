package peers

import (
	"context"
	"encoding/base64"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/loopback"
	"elderyard/internal/testwait"
	"elderyard/members"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond // of conditions that a running member is asked for
)

// testSite is a folder with the files of some members.
type testSite struct {
	t     *testing.T
	dir   string
	name  string
	hosts map[string]string
}

// runningPeers is a running member. Stop ends it and waits for Run.
type runningPeers struct {
	*Peers
	stop func()
}

func newSite(t *testing.T, name string, members int) *testSite {
	t.Helper()
	s := &testSite{t: t, dir: t.TempDir(), name: name, hosts: map[string]string{}}
	s.writeKeys(1)
	var list []string
	for i := range members {
		list = append(list, fmt.Sprintf("g%d", i))
	}
	s.writeRoster(1, list...)
	return s
}

// encodedKey returns a key of 32 equal bytes as a line of the file of keys.
func encodedKey(fill byte) string {
	return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune('a'+fill)), 32)))
}

func (s *testSite) writeKeys(fills ...byte) {
	s.t.Helper()
	text := "# keys\n"
	for _, f := range fills {
		text += encodedKey(f) + "\n"
	}
	s.write("keys", text)
}

func (s *testSite) write(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testSite) writeRoster(epoch uint64, names ...string) {
	s.t.Helper()
	text := fmt.Sprintf("epoch = %d\n", epoch)
	for _, n := range names {
		text += fmt.Sprintf("[[member]]\nname = %q\n", n)
	}
	s.write("roster.toml", text)
}

func (s *testSite) settings(name string, seeds ...string) Settings {
	s.t.Helper()
	if s.hosts[name] == "" {
		at, err := loopback.FreeAddress()
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

func (s *testSite) run(set Settings) *runningPeers {
	s.t.Helper()
	p, err := Open(set)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx, func(int, int) {}) })
	r := &runningPeers{p, sync.OnceFunc(func() { cancel(); wg.Wait() })}
	s.t.Cleanup(r.stop)
	return r
}

// runThree returns three members that are complete.
func (s *testSite) runThree() (a, b, c *runningPeers) {
	s.t.Helper()
	a = s.run(s.settings("g0"))
	b = s.run(s.settings("g1", "g0"))
	c = s.run(s.settings("g2", "g0"))
	for _, r := range []*runningPeers{a, b, c} {
		r.waitForVerdict(s.t, members.Complete)
	}
	return a, b, c
}

func (r *runningPeers) waitForVerdict(t *testing.T, v members.Verdict) {
	t.Helper()
	testwait.UntilEvery(t, waitTimeout, pollInterval, fmt.Sprintf("%s is %v", r.settings.Self, v), func() bool { return r.View().Verdict == v })
}
