package lab

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"elderyard/internal/files"
	"elderyard/internal/lab/audit"
	"elderyard/internal/loopback"
	"elderyard/internal/output"
)

const (
	readyLimit = 20 * time.Second
	readyLook  = 20 * time.Millisecond
	killAfter  = 3*time.Second + 700*time.Millisecond // the longest deadline and a margin, as the platform gives
	mostOutput = 32 << 10                             // of a gateway's log that is kept, its end
	startTries = 5
	crashSeen  = time.Second // a client may see a crash so long before the lab hears of it
)

// State is what a gateway's process does.
type State string

// The states.
const (
	Starting State = "starting"
	Serving  State = "ready"
	Leaving  State = "leaving" // it was sent SIGTERM
	Stopped  State = "stopped" // by SIGSTOP
	Dead     State = "down"
)

// other is a program that runs beside the gateways and reaches the backends.
type other struct {
	name    string
	command func(listen string, backends []string) *exec.Cmd
}

// gatewayProcess is one gateway. The lab starts, signals and watches it.
type gatewayProcess struct {
	name string
	rank int
	dir  string
	// command is what to run in place of the gateway; it reads no configuration.
	command func(listen string) *exec.Cmd

	mu      sync.Mutex
	address string
	limits  string // where it takes limit commands; "": nowhere
	desk    string // where operators call; "": nowhere
	peers   string // where the others of its site find it; "": nowhere
	state   State
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	asked   bool          // its end was asked for
	died    string        // how it ended unasked
	starts  int
	output  tail
	usage   usage
	managed int // the process, where an agent runs it
	side    int // which of its two addresses of counter and registry it is told
}

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if over := len(t.text) - mostOutput; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

func (g *gatewayProcess) configPath() string { return filepath.Join(g.dir, g.name+".json") }

func (g *gatewayProcess) setState(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
}

func (g *gatewayProcess) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil || g.cmd.Process == nil || g.state == Dead {
		return g.managed
	}
	return g.cmd.Process.Pid
}

// startGateway starts a gateway and waits until it is ready. Its first port may
// be taken by another process between finding and using it: then it gets another.
func (l *Lab) startGateway(ctx context.Context, g *gatewayProcess) error {
	for try := 1; ; try++ {
		g.mu.Lock()
		fresh := g.starts == 0 || try > 1
		g.mu.Unlock()
		if fresh {
			address, err := loopback.FreeAddress()
			if err != nil {
				return fmt.Errorf("%s: %w", g.name, err)
			}
			limits := ""
			if l.takesLimits(g) {
				if limits, err = loopback.FreeAddress(); err != nil {
					return fmt.Errorf("%s: %w", g.name, err)
				}
			}
			g.mu.Lock()
			g.address, g.limits = address, limits
			g.mu.Unlock()
		}
		err := l.spawnGateway(ctx, g)
		if err == nil || ctx.Err() != nil || try >= startTries || !strings.Contains(g.output.String(), "address already in use") {
			return err
		}
		g.mu.Lock()
		g.died = "" // the lab's own doing
		g.mu.Unlock()
	}
}

func (l *Lab) spawnGateway(ctx context.Context, g *gatewayProcess) error {
	var cmd *exec.Cmd
	if g.command != nil {
		cmd = g.command(g.address)
	} else {
		if err := l.writeConfig(g); err != nil {
			return err
		}
		operators, err := l.writeOperators(g)
		if err != nil {
			return err
		}
		cmd = exec.Command(l.binary)
		cmd.Env = append(os.Environ(), "EDGE_NAME="+g.name, "EDGE_LISTEN="+g.address, "EDGE_DISCOVERY="+l.discoveryOf(g),
			"EDGE_CONFIG="+g.configPath(), "TMPDIR="+g.dir)
		if g.desk != "" {
			cmd.Env = append(cmd.Env, "EDGE_OPERATOR="+g.desk)
		}
		cmd.Env = append(append(cmd.Env, operators...), l.site.env...)
	}
	cmd.Dir = g.dir
	cmd.Stdout, cmd.Stderr = &g.output, &g.output
	if err := l.spawn.start(cmd); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited, g.state, g.asked = cmd, exited, Starting, false
	g.starts++
	g.mu.Unlock()
	l.happened(audit.Started, g.name)
	l.wg.Go(func() {
		err := cmd.Wait()
		g.mu.Lock()
		g.usage.bank(cmd.ProcessState)
		g.state = Dead
		l.happened(audit.Ended, g.name)
		crashed := !g.asked
		if crashed {
			g.died = fmt.Sprintf("ended by itself (%v): %s", err, output.FailureLine(g.output.String()))
		}
		g.mu.Unlock()
		close(exited)
		if crashed {
			// That is a breach of its own; what it held is no second one.
			l.excuseSince(time.Now().Add(-crashSeen), g, "crashed")
			l.removeDeadFromFront(l.ctx, g)
		}
	})
	return l.awaitReady(ctx, g, exited)
}

func (l *Lab) awaitReady(ctx context.Context, g *gatewayProcess, exited <-chan struct{}) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(readyLook)
	defer tick.Stop()
	limit := time.NewTimer(readyLimit)
	defer limit.Stop()
	for {
		if resp, err := client.Get("http://" + g.address + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				g.setState(Serving)
				l.takeIn(g)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-exited:
			return fmt.Errorf("%s ended before it was ready: %s", g.name, output.FailureLine(g.output.String()))
		case <-limit.C:
			return fmt.Errorf("%s was not ready within %v: %s", g.name, readyLimit, output.FailureLine(g.output.String()))
		case <-tick.C:
		}
	}
}

// writeConfig replaces a gateway's configuration whole.
func (l *Lab) writeConfig(g *gatewayProcess) error {
	g.mu.Lock()
	text := l.site.config(g, l.site.Seed<<8|uint64(g.rank)<<4|uint64(g.starts&15), l.discoveryOf(g), l.counterOf(g))
	g.mu.Unlock()
	if err := files.Replace(g.configPath(), text, 0o600); err != nil {
		return fmt.Errorf("%s: configuration: %w", g.name, err)
	}
	return nil
}

var errNotRunning = errors.New("it does not run")

func (g *gatewayProcess) signal(s syscall.Signal, state State) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == Dead || g.cmd == nil {
		return fmt.Errorf("%s: %w", g.name, errNotRunning)
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		g.asked = true
	}
	if err := g.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	if state != "" {
		g.state = state
	}
	return nil
}

// pause stops a process, or wakes it.
func (l *Lab) pause(g *gatewayProcess, stopped bool) error {
	if stopped {
		l.happened(audit.Slept, g.name)
		return g.signal(sigStop, Stopped)
	}
	defer l.happened(audit.Woke, g.name)
	return g.signal(sigCont, Serving)
}

// killGateway ends a gateway at once and waits for its end.
func (l *Lab) killGateway(g *gatewayProcess) error {
	if err := g.signal(syscall.SIGKILL, ""); err != nil {
		return err
	}
	<-g.ended()
	return nil
}

// ended returns what is closed when the present process has ended.
func (g *gatewayProcess) ended() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exited
}

// retireGateway asks a gateway to end, as a planned restart does, and kills it
// if it does not in time. It tells whether that was needed.
func (l *Lab) retireGateway(g *gatewayProcess) (killed bool, err error) {
	if err := g.signal(syscall.SIGTERM, Leaving); err != nil {
		return false, err
	}
	select {
	case <-g.ended():
		return false, nil
	case <-time.After(killAfter):
		return true, l.killGateway(g)
	}
}

// process is what the auditor is told of a gateway.
func (g *gatewayProcess) process() audit.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return audit.Process{Gateway: g.name, PeakMB: g.usage.peakMB, Files: g.usage.files, CPU: g.usage.cpu + g.usage.cpuNow, Died: g.died}
}
