package scale

import (
	"context"
	"encoding/base64"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/loopback"
	"elderyard/internal/peers"
	"elderyard/internal/wait"
	"elderyard/members"
)

var memberSizes = flag.String("scale-members", "50,100,200,400", "numbers of members in one process, for -scale-long")

const (
	memberSeeds  = 4
	membersCalm  = 30 * time.Second // what the starts set going has gone round by then
	memberStops  = 3
	memberRate   = 256 << 10 // bytes a second, the site's default
	memberPeriod = time.Second
)

// member is one member in this process.
type member struct {
	*peers.Peers
	name string
	stop func()
}

// membersSite is the members of one site, all in this process.
type membersSite struct {
	t       testing.TB
	members []*member
}

func startMembers(t testing.TB, n int, every time.Duration) *membersSite {
	t.Helper()
	dir := t.TempDir()
	roster := "epoch = 1\n"
	addresses := make([]string, n)
	for i := range n {
		roster += fmt.Sprintf("[[member]]\nname = %q\n", memberName(i))
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	key := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
	for name, text := range map[string]string{"keys": key + "\n", "roster.toml": roster} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := &membersSite{t: t}
	for i, address := range addresses {
		own := filepath.Join(dir, memberName(i))
		if err := os.Mkdir(own, 0o700); err != nil {
			t.Fatal(err)
		}
		s.start(peers.Settings{Self: memberName(i), Site: "scale", Listen: address, Advertise: address, Dir: own, KeyFile: filepath.Join(dir, "keys"),
			RosterFile: filepath.Join(dir, "roster.toml"), Seeds: seedsOf(addresses, i), AddressOverrides: map[string]string{}, ProbeInterval: every, MaxBytesPerSecond: memberRate,
			Log: slog.New(slog.DiscardHandler)})
	}
	return s
}

// seedsOf spreads the members that are asked first: where all ask the same few, these
// turn most away, and a large site takes minutes to be whole.
func seedsOf(addresses []string, i int) (seeds []string) {
	for k := range memberSeeds {
		seeds = append(seeds, addresses[(i+1+k*len(addresses)/memberSeeds)%len(addresses)])
	}
	return seeds
}

func memberName(i int) string { return fmt.Sprintf("g%03d", i) }

func (s *membersSite) start(settings peers.Settings) {
	s.t.Helper()
	p, err := peers.Open(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx, func(int, int) {}) })
	m := &member{p, settings.Self, sync.OnceFunc(func() { cancel(); running.Wait() })}
	s.t.Cleanup(m.stop)
	s.members = append(s.members, m)
}

// takes waits until all members satisfy a condition, and returns how long that took.
func (s *membersSite) takes(what string, satisfies func(*members.View) bool) time.Duration {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	began := time.Now()
	err := until(ctx, func() error {
		not := 0
		for _, m := range s.members {
			if picture := m.View(); !satisfies(&picture) {
				not++
			}
		}
		if not > 0 {
			return fmt.Errorf("%d of %d members do not", not, len(s.members))
		}
		return nil
	})
	if err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
	return time.Since(began)
}

func whole(p *members.View) bool { return p.Verdict == members.Complete }

// stopLast ends the last member, and returns how long all others took to know.
func (s *membersSite) stopLast() time.Duration {
	s.t.Helper()
	gone := s.members[len(s.members)-1]
	s.members = s.members[:len(s.members)-1]
	var stopping sync.WaitGroup
	stopping.Go(gone.stop) // it waits until its last word has gone round
	defer stopping.Wait()
	return s.takes(gone.name+" has gone", func(p *members.View) bool {
		for _, view := range p.Members {
			if view.Name == gone.name {
				return !view.State.Alive()
			}
		}
		return true
	})
}

func (s *membersSite) traffic() (datagrams, bytes uint64) {
	for _, m := range s.members {
		t := m.Traffic()
		datagrams += t.PacketsOut
		bytes += t.BytesOut
	}
	return datagrams, bytes
}

// TestMembers has members of a small site agree on who is there, and on who stops.
func TestMembers(t *testing.T) {
	s := startMembers(t, 8, 200*time.Millisecond)
	s.takes("all are whole", whole)
	s.stopLast()
	if datagrams, bytes := s.traffic(); datagrams == 0 || bytes == 0 {
		t.Errorf("%d datagrams, %d bytes", datagrams, bytes)
	}
}

// TestMembersScale measures larger sites. Their members leave in order: one that is
// killed is measured by internal/lab, with processes.
func TestMembersScale(t *testing.T) {
	if !*long {
		t.Skip("figures are asked for by -scale-long")
	}
	results := newResults(t)
	for _, text := range strings.Split(*memberSizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { measureMembers(t, results, n) })
	}
}

func measureMembers(t *testing.T, r *Results, n int) {
	empty := mustUsage(t)
	s := startMembers(t, n, memberPeriod)
	took := s.takes("all are whole", whole)
	wait.For(t.Context(), membersCalm)
	before, began := mustUsage(t), time.Now()
	datagramsBefore, bytesBefore := s.traffic()
	wait.For(t.Context(), *idleFor)
	after, seconds := mustUsage(t), time.Since(began).Seconds()
	datagrams, bytes := s.traffic()
	size := float64(n)
	r.Add("members.bytes_per_second", "B/s", size, float64(bytes-bytesBefore)/size/seconds)
	r.Add("members.datagrams_per_second", "1/s", size, float64(datagrams-datagramsBefore)/size/seconds)
	r.Add("members.cpu_cores", "cores", size, (after.CPU-before.CPU).Seconds()/size/seconds)
	r.Add("members.added_memory_mb", "MB", size, float64(after.ResidentBytes-empty.ResidentBytes)/megabyte/size)
	t.Logf("%d members: whole after %v; at rest each sends %.1f datagrams and %.0f bytes a second and takes %.2f ms of CPU a second; %.2f MB each", n, took.Round(time.Millisecond),
		float64(datagrams-datagramsBefore)/size/seconds, float64(bytes-bytesBefore)/size/seconds, (after.CPU-before.CPU).Seconds()*1000/size/seconds,
		float64(after.ResidentBytes-empty.ResidentBytes)/megabyte/size)
	for range memberStops {
		stopped := s.stopLast()
		r.Add("members.departed_seconds", "s", size, stopped.Seconds())
		t.Logf("%d members: one stopped is known to all after %v", n, stopped.Round(time.Millisecond))
	}
}

func mustUsage(t testing.TB) Usage {
	t.Helper()
	usage, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return usage
}
