package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"elderyard/internal/loopback"
	"elderyard/internal/standin/link"
	"elderyard/internal/standin/registry"
	"elderyard/internal/testpeer"
)

const restartedGateways = 30 // processes

// restartSite is a fleet of gateways with one registry and one live backend.
type restartSite struct {
	registry *registry.Registry
	links    []*link.Link
	gateways []*restartGateway
}

// restartGateway is a sequence of processes at one address.
type restartGateway struct {
	address, config string
	cmd             *exec.Cmd
	stderr          *bytes.Buffer
	served          atomic.Int64 // client requests with status 200
}

func newRestartSite(t *testing.T) *restartSite {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
	t.Cleanup(backend.Close)
	alive := strings.TrimPrefix(backend.URL, "http://")
	dead, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	s := &restartSite{}
	for i := range restartedGateways {
		l, err := link.Listen(fmt.Sprintf("n%d", i))
		if err != nil {
			t.Fatal(err)
		}
		s.links = append(s.links, l)
	}
	s.registry = registry.Start(func(_, id string) string {
		if id == "alive" {
			return alive
		}
		return dead
	}, 1<<16, s.links...)
	t.Cleanup(s.registry.Close)
	s.registry.Set(registry.Instance{ID: "alive", Zone: "a", Type: "m", Lifecycle: registry.Ready, Weight: 1})
	for i, l := range s.links {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		g := &restartGateway{address: address, config: restartConfig(i, address, l.Address(), alive, dead)}
		s.gateways = append(s.gateways, g)
		t.Cleanup(func() { g.kill() })
	}
	return s
}

// restartConfig returns the configuration of a gateway with an old cached list, of whose backends only one
// still exists.
func restartConfig(rank int, address, discovery, alive, dead string) string {
	known := fmt.Sprintf(`{"instanceId": "alive", "hostPort": %q, "zone": "a", "machineType": "m", "lifecycle": "Ready", "weight": 1}`, alive)
	for i := range 3 {
		known += fmt.Sprintf(`, {"instanceId": "gone%d", "hostPort": %q, "zone": "a", "machineType": "m", "lifecycle": "Ready", "weight": 1}`, i, dead)
	}
	return fmt.Sprintf(`{"name": "n%d", "listen": %q, "discovery": %q, "seed": "%x",
		"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "known": {"generation": 7, "reset": true, "instances": [%s]},
		"settings": {"fleetSize": %d, "rank": %d, "tickS": 0.002, "localities": ["a"], "kinds": ["m"],
		"allowed": {"connectTimeoutS": 1, "keepaliveS": 15, "mostTries": 3},
		"classes": [{"name": "c", "objectiveS": 2, "deadlineS": 2, "points": 1, "effect": "repeatable"}],
		"packages": [{"name": "p", "pays": 1}]}}`, rank, address, discovery, rank+1, known, restartedGateways, rank)
}

func (g *restartGateway) start(t *testing.T) {
	t.Helper()
	g.cmd, g.stderr = command(t, g.config)
	if err := g.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

// kill ends the current process.
func (g *restartGateway) kill() {
	if g.cmd != nil {
		g.cmd.Process.Signal(syscall.SIGKILL)
		g.cmd.Wait()
		g.cmd = nil
	}
}

func (g *restartGateway) ready() bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.address + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// allReady waits until every gateway is ready.
func (s *restartSite) allReady(t *testing.T) {
	t.Helper()
	end := time.Now().Add(3 * testpeer.Timeout)
	for i, g := range s.gateways {
		for !g.ready() {
			if time.Now().After(end) {
				t.Fatalf("n%d is not ready; stderr: %q", i, g.stderr)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// startLoad sends requests to all gateways in turn until the test ends.
func (s *restartSite) startLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	t.Cleanup(func() { cancel(); clients.Wait() })
	var id atomic.Int64
	for range 4 {
		clients.Go(func() {
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for ctx.Err() == nil {
				n := id.Add(1)
				s.gateways[n%restartedGateways].send(ctx, &client, n)
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// send makes one client request.
func (g *restartGateway) send(ctx context.Context, client *http.Client, id int64) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+g.address+"/c/1", nil)
	if err != nil {
		return
	}
	for k, v := range map[string]string{"X-Correlation-Id": fmt.Sprint(id), "X-Service-Class": "c", "X-Tier": "p",
		"X-Api-Key": "0000000000000001", "X-Time-Left-Ms": "2000", "X-Call-Terms": "units=1,spread=1,first=0"} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		g.served.Add(1)
	}
}

// allServe waits until every gateway has served a request since the call.
func (s *restartSite) allServe(t *testing.T) {
	t.Helper()
	var before [restartedGateways]int64
	for i, g := range s.gateways {
		before[i] = g.served.Load()
	}
	end := time.Now().Add(3 * testpeer.Timeout)
	for i, g := range s.gateways {
		for g.served.Load() == before[i] {
			if time.Now().After(end) {
				t.Fatalf("n%d serves nothing; stderr: %q", i, g.stderr)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// informedGateways returns how many gateways have received a backend from the registry.
func (s *restartSite) informedGateways(instance string) int {
	sent, _ := s.registry.Record()
	peers := map[string]bool{}
	for _, entry := range sent {
		if entry.Instance == instance {
			peers[entry.Peer] = true
		}
	}
	return len(peers)
}

// setSilent sets whether the registry ignores the calls of all gateways.
func (s *restartSite) setSilent(on bool) {
	for _, l := range s.links {
		s.registry.SetSilent(l.Peer(), on)
	}
}

// All gateways are killed and restarted under load while discovery responds to none of them. They must
// become ready and serve with their cached list, however old, and must all learn what is new once discovery
// responds again.
func TestRestartWithoutDiscovery(t *testing.T) {
	s := newRestartSite(t)
	for _, g := range s.gateways {
		g.start(t)
	}
	s.allReady(t)
	s.startLoad(t)
	overload := registry.Overload{MaxServing: 2, MaxWaiting: 8, Service: 50 * time.Millisecond, WaitTimeout: 2 * time.Second, NoWatch: true}
	for _, step := range []struct {
		name   string
		stop   func() // no gateway gets a response from now on
		resume func(t *testing.T)
	}{
		{"silent", func() { s.setSilent(true) }, func(*testing.T) { s.setSilent(false) }},
		{"crowded", func() { s.setSilent(true); s.registry.SetOverload(overload) }, func(*testing.T) { s.setSilent(false) }},
		{"down", func() { s.down() }, func(t *testing.T) { s.up(t) }},
	} {
		t.Run(step.name, func(t *testing.T) {
			for _, g := range s.gateways {
				g.kill()
			}
			step.stop()
			s.registry.Set(registry.Instance{ID: step.name, Zone: "a", Type: "m", Lifecycle: registry.Ready, Weight: 1})
			for _, g := range s.gateways {
				g.start(t)
			}
			s.allReady(t)
			s.allServe(t)
			if n := s.informedGateways(step.name); n > 0 {
				t.Fatalf("discovery responded to %d of them during the outage", n)
			}
			step.resume(t)
			for end := time.Now().Add(3 * testpeer.Timeout); s.informedGateways(step.name) < restartedGateways; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("only %d have received the new backend; calls: %+v", s.informedGateways(step.name), s.registry.CallCounts())
				}
			}
			s.allServe(t)
		})
	}
}

// down closes discovery's sockets.
func (s *restartSite) down() {
	for _, l := range s.links {
		l.Down()
	}
}

// up reopens them at the same addresses.
func (s *restartSite) up(t *testing.T) {
	t.Helper()
	for _, l := range s.links {
		if err := l.Up(); err != nil {
			t.Fatal(err)
		}
	}
}
