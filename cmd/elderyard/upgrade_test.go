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
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testSite is what a gateway needs: two backends and their discovery.
type testSite struct {
	discovery *httptest.Server
	served    [2]atomic.Int64
}

func newTestSite(t *testing.T) *testSite {
	s := &testSite{}
	list := ""
	for i := range s.served {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.served[i].Add(1)
			io.WriteString(w, "ok")
		}))
		t.Cleanup(backend.Close)
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"a","machineType":"m","lifecycle":"Ready","weight":1}`,
			i, strings.TrimPrefix(backend.URL, "http://"))
	}
	s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("since") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[%s]}`, list)
	}))
	t.Cleanup(func() { s.discovery.CloseClientConnections(); s.discovery.Close() })
	return s
}

// process is one process of a gateway.
type process struct {
	*exec.Cmd
	operatorAddress string
	stderr          *bytes.Buffer
}

// start runs the program with the clients' socket as an inherited descriptor.
func (s *testSite) start(t *testing.T, socket *os.File, dir string) *process {
	t.Helper()
	// A separate loopback address, so that no other test is likely to use the port before the program does.
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	operatorAddress := l.Addr().String()
	l.Close()
	cmd, stderr := command(t, `{"name": "n0", "listen": "127.0.0.1:1", "discovery": "`+
		strings.TrimPrefix(s.discovery.URL, "http://")+`", "seed": "1", "limits": {"cores": 1, "memory_mb": 64, "sockets": 512},
		"settings": {"fleetSize": 1, "tickS": 0.002, "localities": ["a"], "kinds": ["m"],
		"allowed": {"connectTimeoutS": 1, "keepaliveS": 15, "mostTries": 2},
		"classes": [{"name": "c", "objectiveS": 2, "deadlineS": 2, "points": 1, "effect": "repeatable"}],
		"packages": [{"name": "p", "pays": 1}, {"name": "limited", "pays": 1, "unitsPerS": 10, "depth": 10}]}}`)
	cmd.Env = append(cmd.Env, "EDGE_OPERATOR="+operatorAddress, "EDGE_LISTEN_FD=3", "TMPDIR="+dir)
	cmd.ExtraFiles = []*os.File{socket}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	p := &process{cmd, operatorAddress, stderr}
	for end := time.Now().Add(20 * time.Second); p.call("GET", "/_ready", "") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never ready; stderr: %q", stderr)
		}
	}
	return p
}

// call returns the status of a call to the operator API, or 0 if there is no response.
func (p *process) call(method, path, body string) int {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+p.operatorAddress+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// openClientSocket opens the clients' socket, which the processes of an upgrade inherit.
func openClientSocket(t *testing.T) (address string, socket *os.File) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return l.Addr().String(), socket
}

// Guards against limit commands that get no reply because an upgrade ends their process while they wait. The new
// process serves limit commands at the same address.
func TestUpgradeRepliesToLimitCommands(t *testing.T) {
	s := newTestSite(t)
	_, socket := openClientSocket(t)
	dir, address := t.TempDir(), unusedAddress(t)
	siteFile := filepath.Join(dir, "site.toml")
	if err := os.WriteFile(siteFile, fmt.Appendf(nil, "[resp]\nlisten = %q\nplan = \"limited\"\n", address), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ELDERYARD_SITE", siteFile)
	old := s.start(t, socket, dir)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	s.start(t, socket, dir)
	io.WriteString(conn, "LIMIT.TAKE 0000000000000001 10\r\nLIMIT.TAKE 0000000000000001 4 WAIT 60000\r\nLIMIT.TAKE 0000000000000001 10 WAIT 60000\r\n")
	time.Sleep(50 * time.Millisecond) // the second take waits; it has its units after 0.4 s
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	replies, err := io.ReadAll(conn)
	if granted := strings.Count(string(replies), "granted"); granted != 3 || err != nil {
		t.Errorf("%d of 3 replies, %v: %q", granted, err, replies)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old process: %v, stderr: %q", err, old.stderr)
	}
	next, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	next.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(next, "PING\r\nQUIT\r\n")
	if got, err := io.ReadAll(next); string(got) != "+PONG\r\n+OK\r\n" {
		t.Errorf("the new process: %q, %v", got, err)
	}
}

// In an upgrade, the new process serves on the same socket before the old one ends. No request may be lost
// or refused, on reused connections or new ones, and a detached backend must stay detached.
func TestUpgradeLosesNothing(t *testing.T) {
	s := newTestSite(t)
	clientAddress, socket := openClientSocket(t)
	dir := t.TempDir()
	old := s.start(t, socket, dir)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	var sent, served, nextID atomic.Int64
	var problems sync.Map
	for n := range 8 {
		wg.Go(func() {
			transport := &http.Transport{DisableKeepAlives: n%2 == 1}
			defer transport.CloseIdleConnections()
			client := http.Client{Transport: transport, Timeout: 10 * time.Second}
			for ctx.Err() == nil {
				req, _ := http.NewRequest("GET", "http://"+clientAddress+"/c/1", nil)
				for k, v := range map[string]string{"X-Correlation-Id": fmt.Sprint(nextID.Add(1)), "X-Service-Class": "c",
					"X-Tier": "p", "X-Api-Key": "0000000000000001", "X-Time-Left-Ms": "2000", "X-Call-Terms": "units=1,spread=1,first=0"} {
					req.Header.Set(k, v)
				}
				sent.Add(1)
				resp, err := client.Do(req)
				if err != nil {
					problems.Store(err.Error(), true)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 || string(body) != "ok" || err != nil {
					problems.Store(fmt.Sprint(resp.Status, " ", err), true)
					continue
				}
				served.Add(1)
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	expectProgress := func(what string) {
		t.Helper()
		from := served.Load()
		for end := time.Now().Add(20 * time.Second); served.Load() < from+200; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: only %d more responses", what, served.Load()-from)
			}
		}
	}
	expectProgress("the old process alone")
	if got := old.call("POST", "/_backends/detach", `{"id":"s1"}`); got != 200 {
		t.Fatalf("detach: %d", got)
	}
	time.Sleep(50 * time.Millisecond) // requests in transit have arrived
	sentBefore := s.served[1].Load()
	next := s.start(t, socket, dir)
	expectProgress("both")
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old process: %v, stderr: %q", err, old.stderr)
	}
	expectProgress("the new process alone")
	if n := s.served[1].Load() - sentBefore; n > 0 {
		t.Errorf("the detached backend got %d requests", n)
	}
	if got := next.call("POST", "/_backends/attach", `{"id":"s1"}`); got != 200 {
		t.Errorf("attach: %d", got)
	}
	for end := time.Now().Add(20 * time.Second); s.served[1].Load() == sentBefore; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the attached backend gets no requests")
		}
	}
	stop()
	wg.Wait()
	problems.Range(func(what, _ any) bool { t.Error(what); return true })
	if sent.Load() != served.Load() {
		t.Errorf("%d of %d requests were served", served.Load(), sent.Load())
	}
}

// An invalid listening descriptor must end the start with a single line that names it.
func TestInvalidDescriptor(t *testing.T) {
	for _, fd := range []string{"x", "0", "77"} {
		s := newTestSite(t)
		cmd, stderr := command(t, `{"name": "n0", "listen": "127.0.0.1:1", "discovery": "`+
			strings.TrimPrefix(s.discovery.URL, "http://")+`", "seed": "1", "limits": {"cores": 1, "memory_mb": 64, "sockets": 512},
			"settings": {"fleetSize": 1, "tickS": 0.002, "allowed": {"connectTimeoutS": 1, "keepaliveS": 15},
			"classes": [{"name": "c", "objectiveS": 2, "deadlineS": 2}], "packages": [{"name": "p"}]}}`)
		cmd.Env = append(cmd.Env, "EDGE_LISTEN_FD="+fd)
		if err := cmd.Run(); err == nil {
			t.Errorf("descriptor %q was accepted", fd)
		}
		if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, fd) {
			t.Errorf("descriptor %q: stderr: %q", fd, text)
		}
	}
}
