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
	pollInterval = 20 * time.Millisecond // of conditions of a running member
)

// testSite is a site with a directory for the files of its members.
type testSite struct {
	t         *testing.T
	dir       string
	name      string
	addresses map[string]string // by name of member
}

// runningPeers is a running member. stop ends it and waits for Run.
type runningPeers struct {
	*Peers
	stop func()
}

// newSite returns a site whose roster has the members g0, g1 and so on.
func newSite(t *testing.T, name string, members int) *testSite {
	t.Helper()
	s := &testSite{t: t, dir: t.TempDir(), name: name, addresses: map[string]string{}}
	s.writeKeys(1)
	var list []string
	for i := range members {
		list = append(list, fmt.Sprintf("g%d", i))
	}
	s.writeRoster(1, list...)
	return s
}

// encodedKey returns a key of 32 equal bytes as a line of the key file.
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

// settings returns the settings of a member, whose address stays the same for all calls.
func (s *testSite) settings(name string, seeds ...string) Settings {
	s.t.Helper()
	if s.addresses[name] == "" {
		address, err := loopback.FreeAddress()
		if err != nil {
			s.t.Fatal(err)
		}
		s.addresses[name] = address
	}
	settings := Settings{Self: name, Site: s.name, Listen: s.addresses[name], Advertise: s.addresses[name], Dir: s.dir, KeyFile: filepath.Join(s.dir, "keys"),
		RosterFile: filepath.Join(s.dir, "roster.toml"), AddressOverrides: map[string]string{}, ProbeInterval: 200 * time.Millisecond, MaxBytesPerSecond: 1 << 20, Log: slog.New(slog.NewTextHandler(s.t.Output(), nil))}
	for _, seed := range seeds {
		settings.Seeds = append(settings.Seeds, s.addresses[seed])
	}
	return settings
}

// run starts a member, which stops at the end of the test.
func (s *testSite) run(settings Settings) *runningPeers {
	s.t.Helper()
	p, err := Open(settings)
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

// runThree starts three members and waits until each has the verdict complete.
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

// waitForVerdict waits until the member has a verdict.
func (r *runningPeers) waitForVerdict(t *testing.T, v members.Verdict) {
	t.Helper()
	testwait.UntilEvery(t, waitTimeout, pollInterval, fmt.Sprintf("%s is %v", r.settings.Self, v), func() bool { return r.View().Verdict == v })
}
