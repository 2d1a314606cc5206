package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test binary stand in for the command, and profile it:
//
//	go test -c -o /tmp/elderyard.prof ./cmd/elderyard
//	ELDERYARD_AS_COMMAND=1 ELDERYARD_CPU_PROFILE=/tmp/cpu.out elderctl lab bench --gateway /tmp/elderyard.prof
func TestMain(m *testing.M) {
	if os.Getenv("ELDERYARD_AS_COMMAND") != "" {
		if path := os.Getenv("ELDERYARD_CPU_PROFILE"); path != "" {
			f, err := os.Create(path)
			if err == nil {
				err = pprof.StartCPUProfile(f)
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			defer f.Close()
			defer pprof.StopCPUProfile()
		}
		main()
		return
	}
	os.Exit(m.Run())
}

func command(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ELDERYARD_AS_COMMAND=1", "EDGE_CONFIG="+path)
	stderr := &bytes.Buffer{}
	cmd.Stderr = stderr
	return cmd, stderr
}

// commandWithSilentDiscovery returns the command with a discovery that never responds, and a channel that
// receives each call to it.
func commandWithSilentDiscovery(t *testing.T) (cmd *exec.Cmd, stderr *bytes.Buffer, discoveryCalls <-chan struct{}) {
	calls := make(chan struct{}, 16)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.Close)
	cmd, stderr = command(t, `{"name": "n0", "listen": "127.0.0.1:0", "discovery": "`+
		strings.TrimPrefix(discovery.URL, "http://")+`", "seed": "1", "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": {"fleetSize": 1, "tickS": 0.002, "allowed": {"connectTimeoutS": 1, "keepaliveS": 15},
		"classes": [{"name": "c", "objectiveS": 1, "deadlineS": 2}], "packages": [{"name": "p"}]}}`)
	return cmd, stderr, calls
}

func TestInvalidConfiguration(t *testing.T) {
	cmd, stderr := command(t, `{"settings": {}}`)
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "elderyard: configuration ") {
		t.Errorf("stderr: %q", text)
	}
}

// SIGHUP before the gateway is ready, or along with SIGTERM, must not change how SIGTERM ends it.
func TestSignals(t *testing.T) {
	cmd, stderr, discoveryCalls := commandWithSilentDiscovery(t)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	select {
	case <-discoveryCalls: // the program is running
	case <-time.After(20 * time.Second):
		t.Fatal("discovery was not called")
	}
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, stderr: %q", err, stderr)
	}
}

// A gateway must not start with an invalid site file, and must report the position of the error.
func TestInvalidSiteFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte("[clients]\nsocket_shaer = 0.5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	peers := filepath.Join(t.TempDir(), "peers.toml")
	if err := os.WriteFile(peers, []byte("[peers]\nlisten = '127.0.0.1:1'\nsite = 's'\nkey_file = 'k'\ndir = 'd'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for file, want := range map[string]string{
		peers:           "elderyard: operator's file: peers.listen: this program knows no other gateways; elderyard-peers does",
		path:            "elderyard: " + path + `:2: clients.socket_shaer: there is no such key; did you mean "socket_share"?`,
		path + ".other": "elderyard: operator's file: ",
	} {
		cmd, stderr := command(t, `{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
			"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": {"fleetSize": 1, "tickS": 0.002,
			"allowed": {"connectTimeoutS": 1, "keepaliveS": 15}, "classes": [{"name": "a", "objectiveS": 1, "deadlineS": 1, "points": 1}],
			"packages": [{"name": "b", "pays": 1}]}}`)
		cmd.Env = append(cmd.Env, "ELDERYARD_SITE="+file)
		var exit *exec.ExitError
		if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("ended with %v", err)
		}
		if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, want) {
			t.Errorf("stderr: %q", text)
		}
	}
}
