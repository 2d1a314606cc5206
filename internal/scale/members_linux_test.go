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
	memberSeeds         = 4
	settleTime          = 30 * time.Second // until the gossip of the starts has spread
	memberStops         = 3
	memberRate          = 256 << 10 // bytes per second, the default of a site
	memberProbeInterval = time.Second
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

func startMembers(t testing.TB, n int, probeInterval time.Duration) *membersSite {
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
		memberDir := filepath.Join(dir, memberName(i))
		if err := os.Mkdir(memberDir, 0o700); err != nil {
			t.Fatal(err)
		}
		s.start(peers.Settings{Self: memberName(i), Site: "scale", Listen: address, Advertise: address, Dir: memberDir, KeyFile: filepath.Join(dir, "keys"),
			RosterFile: filepath.Join(dir, "roster.toml"), Seeds: seedAddresses(addresses, i), AddressOverrides: map[string]string{}, ProbeInterval: probeInterval, MaxBytesPerSecond: memberRate,
			Log: slog.New(slog.DiscardHandler)})
	}
	return s
}

// seedAddresses spreads the seeds over all members: if all join through the same few, these reject most of them, and a
// large site takes minutes to become complete.
func seedAddresses(addresses []string, i int) (seeds []string) {
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

// awaitAll waits until the views of all members satisfy a condition, and returns how long that took.
func (s *membersSite) awaitAll(what string, satisfies func(*members.View) bool) time.Duration {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	began := time.Now()
	err := pollUntil(ctx, func() error {
		unsatisfied := 0
		for _, m := range s.members {
			if view := m.View(); !satisfies(&view) {
				unsatisfied++
			}
		}
		if unsatisfied > 0 {
			return fmt.Errorf("%d of %d members do not satisfy it", unsatisfied, len(s.members))
		}
		return nil
	})
	if err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
	return time.Since(began)
}

func isComplete(view *members.View) bool { return view.Verdict == members.Complete }

// stopLast stops the last member and returns how long all others took to learn of it.
func (s *membersSite) stopLast() time.Duration {
	s.t.Helper()
	stopped := s.members[len(s.members)-1]
	s.members = s.members[:len(s.members)-1]
	var stopping sync.WaitGroup
	stopping.Go(stopped.stop) // returns when its departure notice has spread
	defer stopping.Wait()
	return s.awaitAll(stopped.name+" is known to have left", func(p *members.View) bool {
		for _, view := range p.Members {
			if view.Name == stopped.name {
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

// TestMembers checks that the members of a small site agree on the membership and on a member that stops.
func TestMembers(t *testing.T) {
	s := startMembers(t, 8, 200*time.Millisecond)
	s.awaitAll("all views are complete", isComplete)
	s.stopLast()
	if datagrams, bytes := s.traffic(); datagrams == 0 || bytes == 0 {
		t.Errorf("%d datagrams, %d bytes", datagrams, bytes)
	}
}

// TestMembersScale measures larger sites. Their members leave in order; internal/lab measures killed members, with
// separate processes.
func TestMembersScale(t *testing.T) {
	if !*longRun {
		t.Skip("measurements need -scale-long")
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
	baseline := processUsage(t)
	s := startMembers(t, n, memberProbeInterval)
	took := s.awaitAll("all views are complete", isComplete)
	wait.For(t.Context(), settleTime)
	before, began := processUsage(t), time.Now()
	datagramsBefore, bytesBefore := s.traffic()
	wait.For(t.Context(), *idleDuration)
	after, seconds := processUsage(t), time.Since(began).Seconds()
	datagrams, bytes := s.traffic()
	size := float64(n)
	r.Add("members.bytes_per_second", "B/s", size, float64(bytes-bytesBefore)/size/seconds)
	r.Add("members.datagrams_per_second", "1/s", size, float64(datagrams-datagramsBefore)/size/seconds)
	r.Add("members.cpu_cores", "cores", size, (after.CPU-before.CPU).Seconds()/size/seconds)
	r.Add("members.added_memory_mb", "MB", size, float64(after.ResidentBytes-baseline.ResidentBytes)/megabyte/size)
	t.Logf("%d members: views complete after %v; at rest each sends %.1f datagrams and %.0f bytes per second and uses %.2f ms of CPU per second; %.2f MB each", n, took.Round(time.Millisecond),
		float64(datagrams-datagramsBefore)/size/seconds, float64(bytes-bytesBefore)/size/seconds, (after.CPU-before.CPU).Seconds()*1000/size/seconds,
		float64(after.ResidentBytes-baseline.ResidentBytes)/megabyte/size)
	for range memberStops {
		stopped := s.stopLast()
		r.Add("members.departed_seconds", "s", size, stopped.Seconds())
		t.Logf("%d members: all know of a stopped member after %v", n, stopped.Round(time.Millisecond))
	}
}

func processUsage(t testing.TB) Usage {
	t.Helper()
	usage, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return usage
}
