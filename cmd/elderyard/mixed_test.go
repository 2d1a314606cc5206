package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"linnetbend/internal/resp"
	"linnetbend/internal/standin/counter"
	"linnetbend/internal/standin/link"
	"linnetbend/internal/wait"
)

// The account of the mixed traffic, and what it may have.
const (
	mixedAccount = "0000000000000007"
	mixedRate    = 20.0 // units a second
	mixedBurst   = 20.0
	mixedFor     = 7 * time.Second
	mixedAsk     = 7.8 // times its quota
	mixedGates   = 3
	mixedFronts  = 2
)

// spent is one unit that was passed on or granted.
type spent struct {
	at    time.Time
	units float64
}

// mixed is five processes, three that take requests and two that take limit
// commands, with one counter between them.
type mixed struct {
	counter *counter.Counter
	links   []*link.Link
	gates   []string // addresses for requests
	fronts  []string // addresses for limit commands
	procs   []*process

	mu     sync.Mutex
	passed []spent
	asked  int
}

func (m *mixed) spend(units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passed = append(m.passed, spent{time.Now(), units})
}

// free finds an address that nobody else is likely to take meanwhile.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newMixed(t *testing.T) *mixed {
	t.Helper()
	m := &mixed{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.spend(1)
		io.WriteString(w, "ok")
	}))
	t.Cleanup(backend.Close)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("since") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s0","hostPort":%q,"zone":"a","machineType":"m","lifecycle":"Ready","weight":1}]}`,
			strings.TrimPrefix(backend.URL, "http://"))
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	for i := range mixedGates + mixedFronts {
		l, err := link.Listen(fmt.Sprint("g", i))
		if err != nil {
			t.Fatal(err)
		}
		m.links = append(m.links, l)
	}
	var err error
	if m.counter, err = counter.Start(counter.Config{Parts: 1, Conns: 32, Idle: 10 * time.Second, Service: time.Millisecond}, m.links...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.counter.Close)
	for i := range mixedGates + mixedFronts {
		listen, operators := free(t), fmt.Sprintf("[quotas]\nfronts = %d\n", mixedFronts)
		if i >= mixedGates {
			at := free(t)
			operators += fmt.Sprintf("[resp]\nlisten = %q\nplan = \"p\"\n", at)
			m.fronts = append(m.fronts, at)
		} else {
			m.gates = append(m.gates, listen)
		}
		file := filepath.Join(t.TempDir(), "site.toml")
		if err := os.WriteFile(file, []byte(operators), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd, stderr := command(t, fmt.Sprintf(`{"name": "g%d", "listen": %q, "discovery": %q, "counter": %q, "seed": "%d",
			"limits": {"cores": 1, "memory_mb": 64, "sockets": 512},
			"settings": {"fleetSize": %d, "rank": %d, "tickS": 0.002, "localities": ["a"], "kinds": ["m"],
			"allowed": {"connectTimeoutS": 1, "keepaliveS": 15, "mostTries": 2},
			"familyInfo": {"hasCounter": true, "counterTimeoutS": 0.05},
			"classes": [{"name": "c", "objectiveS": 1, "deadlineS": 1, "points": 1, "effect": "repeatable"}],
			"packages": [{"name": "p", "pays": 1, "unitsPerS": %g, "depth": %g}]}}`,
			i, listen, strings.TrimPrefix(discovery.URL, "http://"), m.counter.Address(fmt.Sprint("g", i)), i+1, mixedGates, i%mixedGates, mixedRate, mixedBurst))
		cmd.Env = append(cmd.Env, "ELDERYARD_SITE="+file)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		m.procs = append(m.procs, &process{Cmd: cmd, stderr: stderr})
		for limit := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			resp, err := http.Get("http://" + listen + "/health/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(limit) {
				t.Fatalf("process %d is never ready; it said %q", i, stderr)
			}
		}
	}
	return m
}

// ask sends requests or takes through one process at even spaces until ctx ends.
func (m *mixed) ask(ctx context.Context, n int) {
	a := mixedAsk * mixedRate // a second, of all
	gap := time.Duration(float64(time.Second) * (mixedGates + mixedFronts) / a)
	tick := time.NewTicker(gap)
	defer tick.Stop()
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	var conn net.Conn
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
			return
		case <-tick.C:
		}
		m.mu.Lock()
		m.asked++
		m.mu.Unlock()
		if n < mixedGates {
			req, _ := http.NewRequest("GET", "http://"+m.gates[n]+"/c/1", nil)
			for k, v := range map[string]string{"X-Correlation-Id": fmt.Sprint(n, "-", i), "X-Service-Class": "c", "X-Tier": "p",
				"X-Api-Key": mixedAccount, "X-Time-Left-Ms": "1000", "X-Call-Terms": fmt.Sprintf("units=1,spread=%d,first=0", mixedGates)} {
				req.Header.Set(k, v)
			}
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
			}
			continue
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", m.fronts[n-mixedGates], time.Second); err != nil {
				conn = nil
				continue
			}
		}
		granted, err := takeOne(conn)
		if err != nil {
			conn.Close()
			conn = nil
			continue
		}
		if granted > 0 {
			m.spend(granted)
		}
	}
}

func takeOne(conn net.Conn) (granted float64, err error) {
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, "HELLO 3\r\nLIMIT.TAKE "+mixedAccount+" 1\r\n"); err != nil {
		return 0, err
	}
	r := resp.NewReader(conn, resp.Bounds{Args: 64, Bulk: 1 << 10, Total: 8 << 10, Depth: 3})
	if _, err := r.Reply(); err != nil {
		return 0, err
	}
	v, err := r.Reply()
	if err != nil || len(v.List) < 2 {
		return 0, fmt.Errorf("reply %+v: %w", v, err)
	}
	return v.List[1].Num, nil
}

// excess is how far below zero a store of the account's quota would have been
// taken, in bursts, and over the whole run in percent of what the quota allows.
func (m *mixed) excess(from time.Time) (bursts, percent, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortFunc(m.passed, func(a, b spent) int { return a.at.Compare(b.at) })
	level, at, deepest := mixedBurst, from, 0.0
	for _, s := range m.passed {
		level = min(level+mixedRate*s.at.Sub(at).Seconds(), mixedBurst) - s.units
		at = s.at
		units += s.units
		deepest = min(deepest, level)
	}
	allowed := mixedBurst + mixedRate*time.Since(from).Seconds()
	return -deepest / mixedBurst, 100 * (units/allowed - 1), units
}

// One account asks for 7.8 times its quota, by requests through three processes and
// by limit commands through two more. All of them together keep to the one quota within the
// slack of the design: leases come to a burst at most, and local shares to another while
// the counter can't be asked.
func TestMixedTrafficHoldsOneQuota(t *testing.T) {
	for name, c := range map[string]struct {
		trouble func(*mixed, context.Context)
		most    float64 // bursts
	}{
		"counter well": {func(*mixed, context.Context) {}, 1},
		"counter killed and back": {func(m *mixed, ctx context.Context) {
			wait.For(ctx, mixedFor/3)
			for _, l := range m.links {
				l.Down()
			}
			wait.For(ctx, mixedFor/3)
			for _, l := range m.links {
				l.Up()
			}
		}, 2},
		"a front killed": {func(m *mixed, ctx context.Context) {
			wait.For(ctx, mixedFor/3)
			m.procs[mixedGates].Process.Kill()
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMixed(t)
			from := time.Now()
			ctx, stop := context.WithTimeout(context.Background(), mixedFor)
			defer stop()
			var wg sync.WaitGroup
			for n := range mixedGates + mixedFronts {
				wg.Go(func() { m.ask(ctx, n) })
			}
			c.trouble(m, ctx)
			wg.Wait()
			bursts, percent, units := m.excess(from)
			t.Logf("%d asked, %g passed on and granted; deepest %.2f bursts below an empty store, %+.1f%% over the whole", m.asked, units, bursts, percent)
			if bursts > c.most {
				t.Errorf("%.2f bursts below an empty store, at most %g are the design's", bursts, c.most)
			}
			if units < mixedBurst {
				t.Errorf("only %g units were had: %s", units, stderrs(m))
			}
		})
	}
}

func stderrs(m *mixed) string {
	var b bytes.Buffer
	for _, p := range m.procs {
		b.Write(p.stderr.Bytes())
	}
	return b.String()
}
