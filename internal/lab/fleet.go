package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/loopback"
	"elderyard/internal/output"
	"elderyard/internal/wait"
)

// Fleet has agents run the gateways in the lab's place: one agent for each, as
// a process of the operators' tool. The first Voters of them keep the site's
// desired state.
type Fleet struct {
	Voters  int
	Tool    func(args ...string) *exec.Cmd // a run of the operators' tool
	Gateway string                         // the gateway's program, as agents start it
	Fronts  int                            // so many agents take limit commands, the first ones
	Rollout map[string]any                 // the table of the revision's file
}

const (
	// labVariable marks every process of a lab, also those that agents start and
	// that outlive them.
	labVariable = "ELDERYARD_LAB"
	fleetLook   = 50 * time.Millisecond
	fleetReady  = 30 * time.Second
	toolLimit   = 2 * time.Minute
	sweepPasses = 50
	sweepPause  = 20 * time.Millisecond
	fleetFile   = "site.toml"
)

// agentProcess is one agent of a fleet.
type agentProcess struct {
	name, address, file, socket string
	limits                      string // where it takes limit commands; "": nowhere

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	output tail
	delay  delay
	back   func() // ends the excuse for limit commands that it held when it was killed; nil: there is none
}

// openFleet starts agents, joins the voters and has the first revision applied.
func (l *Lab) openFleet() error {
	f := l.site.fleet
	var addresses []string
	for i, g := range l.gateways {
		at, err := loopback.FreeAddress()
		if err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		g.mu.Lock()
		g.address = at
		g.mu.Unlock()
		if at, err = loopback.FreeAddress(); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		a := &agentProcess{name: agentName(i), address: at, file: filepath.Join(l.dir, fmt.Sprintf("a%d.toml", i)),
			socket: filepath.Join(l.dir, fmt.Sprintf("a%d.sock", i))}
		if i < f.Fronts {
			if a.limits, err = loopback.FreeAddress(); err != nil {
				return fmt.Errorf("%s: %w", a.name, err)
			}
		}
		l.mu.Lock()
		l.agents = append(l.agents, a)
		l.mu.Unlock()
		if i < f.Voters {
			addresses = append(addresses, at)
		}
	}
	if err := l.startKeeper(); err != nil {
		return err
	}
	for i, a := range l.agents {
		voters := addresses
		if i == 0 {
			voters = nil // it founds the site
		}
		file := object{"name": a.name, "dir": "d" + a.name, "listen": a.address, "socket": a.socket, "plain": true, "voter": i < f.Voters,
			"voters": voters, "gateway": f.Gateway,
			"timing":   object{"report": "200ms", "heartbeat": "500ms", "settle": "3s", "fetch_within": "6s", "first_pause": "200ms"},
			"instance": []object{{"name": l.gateways[i].name, "listen": l.gateways[i].address, "env": []string{"TMPDIR=" + l.dir}}}}
		if l.peerNetwork != nil {
			file["roster"] = true
			file["instance"].([]object)[0]["env"] = []string{"TMPDIR=" + l.dir, "EDGE_OPERATOR=" + l.gateways[i].desk}
		}
		if a.limits != "" {
			file["resp"] = object{"listen": a.limits, "most_clients": mostTakers}
		}
		text, err := toml.Marshal(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(a.file, text, 0o600); err != nil {
			return err
		}
		if err := l.StartAgent(i); err != nil {
			return err
		}
	}
	for i := 1; i < f.Voters; i++ {
		if out, status := l.Tool(l.ctx, 0, "members", "add", l.agents[i].name, l.agents[i].address); status != 0 {
			return fmt.Errorf("voter %s: status %d: %s", l.agents[i].name, status, out)
		}
	}
	for limit := time.Now().Add(fleetReady); ; wait.For(l.ctx, fleetLook) {
		out, _ := l.Tool(l.ctx, 0, "instances", "--json")
		var list []struct{ Heard time.Time }
		if json.Unmarshal([]byte(out), &list) == nil && len(list) == len(l.gateways) {
			break
		}
		if time.Now().After(limit) || l.ctx.Err() != nil {
			return fmt.Errorf("agents have not all been heard of: %s", out)
		}
	}
	args := []string{"apply"}
	file, overlays, err := l.WriteRevision("first", nil)
	if err != nil {
		return err
	}
	if out, status := l.Tool(l.ctx, 0, append(append(args, file), overlays...)...); status != 0 {
		return fmt.Errorf("first revision: status %d: %s", status, out)
	}
	for _, g := range l.gateways {
		l.wg.Go(func() { l.watchManaged(l.ctx, g) })
	}
	for limit := time.Now().Add(fleetReady); ; wait.For(l.ctx, fleetLook) {
		ready := 0
		for _, g := range l.gateways {
			if g.stateNow() == Serving {
				ready++
			}
		}
		if ready == len(l.gateways) {
			break
		}
		if time.Now().After(limit) || l.ctx.Err() != nil {
			return fmt.Errorf("%d of %d gateways are ready", ready, len(l.gateways))
		}
	}
	for i := range f.Fronts {
		if err := l.awaitTaker(l.ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// WriteRevision writes a revision's file, changed by change, and returns it with
// the arguments that give each instance its overlay.
func (l *Lab) WriteRevision(name string, change func(file map[string]any)) (path string, overlays []string, err error) {
	s := &l.site
	settings := s.settings(0)
	delete(settings, "rank")
	delete(settings, "locality")
	gateway := object{"settings": settings, "limits": object{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets}}
	file := object{"gateway": gateway, "site": s.shared(s.fleet.Fronts), "rollout": s.fleet.Rollout}
	if change != nil {
		change(file)
	}
	path = filepath.Join(l.dir, name+"-"+fleetFile)
	write := func(path string, v object) error {
		text, err := toml.Marshal(v)
		if err != nil {
			return err
		}
		return os.WriteFile(path, text, 0o600)
	}
	if err := write(path, file); err != nil {
		return "", nil, err
	}
	for i, g := range l.gateways {
		over := filepath.Join(l.dir, fmt.Sprintf("%s-%s.toml", name, g.name))
		own := object{"gateway": object{"discovery": l.discoveryOf(g), "counter": l.counterOf(g), "seed": fmt.Sprintf("%016x", s.Seed<<8|uint64(i)),
			"settings": object{"rank": i, "locality": i % 2}}}
		if p := l.peersOf(g); p != nil {
			delete(p, "roster") // the agent keeps it
			table := object{}
			s.withPeers(table, p)
			own["site"] = table
		}
		if err := write(over, own); err != nil {
			return "", nil, err
		}
		overlays = append(overlays, "--overlay", g.name+"="+over)
	}
	return path, overlays, nil
}

// StartAgent starts an agent, again where it was killed.
func (l *Lab) StartAgent(i int) error {
	a := l.agents[i]
	cmd := l.site.fleet.Tool("agent", "run", a.file)
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, labVariable+"="+l.dir)
	cmd.Dir = l.dir
	cmd.Stdout, cmd.Stderr = &a.output, &a.output
	if err := l.spawn.start(cmd); err != nil {
		return fmt.Errorf("%s: %w", a.name, err)
	}
	exited := make(chan struct{})
	a.mu.Lock()
	a.cmd, a.exited = cmd, exited
	a.mu.Unlock()
	l.wg.Go(func() { cmd.Wait(); close(exited) })
	for limit := time.Now().Add(fleetReady); ; wait.For(l.ctx, fleetLook) {
		if _, err := os.Stat(a.socket); err == nil {
			return l.takerBack(l.ctx, i)
		}
		select {
		case <-exited:
			return fmt.Errorf("%s ended: %s", a.name, output.FailureLine(a.output.String()))
		default:
		}
		if time.Now().After(limit) || l.ctx.Err() != nil {
			return fmt.Errorf("%s opened no socket: %s", a.name, output.FailureLine(a.output.String()))
		}
	}
}

// KillAgent kills an agent. Its gateway goes on.
func (l *Lab) KillAgent(i int) error {
	a := l.agents[i]
	a.mu.Lock()
	cmd, exited := a.cmd, a.exited
	a.mu.Unlock()
	l.killTaker(i)
	if err := cmd.Process.Kill(); err != nil {
		return fmt.Errorf("%s: %w", a.name, err)
	}
	<-exited
	return os.Remove(a.socket)
}

// StopAgent stops an agent's process until resume is called: it is there, and
// does nothing, and on its return believes what it believed.
func (l *Lab) StopAgent(i int) (resume func() error, err error) {
	a := l.agents[i]
	a.mu.Lock()
	process := a.cmd.Process
	a.mu.Unlock()
	if err := process.Signal(sigStop); err != nil {
		return nil, fmt.Errorf("%s: %w", a.name, err)
	}
	return func() error { return process.Signal(sigCont) }, nil
}

// AgentOutput is the end of what an agent has said.
func (l *Lab) AgentOutput(i int) string { return l.agents[i].output.String() }

// AgentName is an agent's name.
func (l *Lab) AgentName(i int) string { return l.agents[i].name }

// Tool runs the operators' tool against an agent and returns what it printed.
func (l *Lab) Tool(ctx context.Context, agent int, args ...string) (out string, status int) {
	ctx, cancel := context.WithTimeout(ctx, toolLimit)
	defer cancel()
	cmd := l.site.fleet.Tool(append(args, "--agent", l.agents[agent].socket)...)
	var text, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &text, &errs
	if err := l.spawn.start(cmd); err != nil {
		return err.Error(), -1
	}
	defer context.AfterFunc(ctx, func() { cmd.Process.Kill() })()
	cmd.Wait()
	if cmd.ProcessState.ExitCode() != 0 {
		return text.String() + errs.String(), cmd.ProcessState.ExitCode()
	}
	return text.String(), 0
}

// KillGateway kills a gateway that an agent runs, and excuses what it held until
// it is ready again.
func (l *Lab) KillGateway(i int) error {
	g := l.gateways[i]
	pid := g.pid()
	if pid == 0 {
		return fmt.Errorf("%s: %w", g.name, errNotRunning)
	}
	end := l.excuseFromNow(g, "killed")
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	l.wg.Go(func() {
		for wait.For(l.ctx, fleetLook) {
			if now := g.pid(); now != 0 && now != pid && g.stateNow() == Serving {
				break
			}
		}
		end()
	})
	return nil
}

// Excuse notes that a gateway is about to fail by the test's own doing, until
// the returned function is called.
func (l *Lab) Excuse(i int, what string) (end func()) { return l.excuseFromNow(l.gateways[i], what) }

// PID is the process of a gateway; 0: none is known.
func (l *Lab) PID(i int) int { return l.gateways[i].pid() }

func (g *gatewayProcess) stateNow() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// watchManaged keeps the front informed of a gateway that an agent runs, as a
// load balancer's health checks would.
func (l *Lab) watchManaged(ctx context.Context, g *gatewayProcess) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	state := filepath.Join(l.dir, "da"+strconv.Itoa(g.rank), "instances", g.name, "state.json")
	for wait.For(ctx, fleetLook) {
		pid := 0
		if text, err := os.ReadFile(state); err == nil {
			var kept struct{ PID int }
			if json.Unmarshal(text, &kept) == nil {
				pid = kept.PID
			}
		}
		ready := false
		if resp, err := client.Get("http://" + g.address + "/health/ready"); err == nil {
			resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
		g.mu.Lock()
		before := g.state
		g.managed = pid
		switch {
		case ready:
			g.state = Serving
		case before == Serving:
			g.state = Leaving
		}
		g.mu.Unlock()
		switch {
		case ready && before != Serving:
			l.takeIn(g)
		case !ready && before == Serving:
			l.leaveOut(g)
		}
	}
}

// closeFleet ends agents and all that they started.
func (l *Lab) closeFleet() {
	if l.site.fleet == nil {
		return
	}
	for _, a := range l.agents {
		a.mu.Lock()
		cmd, exited := a.cmd, a.exited
		a.mu.Unlock()
		if cmd != nil {
			cmd.Process.Kill()
			<-exited
		}
	}
	if err := Sweep(l.dir); err != nil {
		l.site.Log("lab: %v", err)
	}
	if l.aliveFile != nil {
		l.aliveFile.Close()
	}
}

// startKeeper starts a process that ends the lab's gateways if the lab is killed:
// they outlive their agents, so the kernel does not do it.
func (l *Lab) startKeeper() error {
	read, write, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	defer read.Close()
	cmd := l.site.fleet.Tool("lab-keeper", l.dir)
	cmd.Stdin = read
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		write.Close()
		return fmt.Errorf("keeper: %w", err)
	}
	l.aliveFile = write
	l.wg.Go(func() { cmd.Wait() })
	return nil
}

// Sweep kills every process that bears the mark of the lab in a folder.
func Sweep(dir string) error {
	mark := []byte(labVariable + "=" + dir)
	for range sweepPasses {
		found := 0
		list, err := os.ReadDir("/proc")
		if err != nil {
			return fmt.Errorf("sweep: %w", err)
		}
		for _, e := range list {
			pid, err := strconv.Atoi(e.Name())
			if err != nil || pid == os.Getpid() {
				continue
			}
			text, err := os.ReadFile("/proc/" + e.Name() + "/environ")
			if err != nil {
				continue // another's, or gone
			}
			for _, v := range bytes.Split(text, []byte{0}) {
				if bytes.Equal(v, mark) {
					found++
					syscall.Kill(pid, syscall.SIGKILL)
				}
			}
		}
		if found == 0 {
			return nil
		}
		time.Sleep(sweepPause)
	}
	return errors.New("sweep: processes of the lab would not end")
}

// OpenFleet opens a site whose gateways are run by agents.
func OpenFleet(ctx context.Context, s Site, f Fleet) (*Lab, error) {
	if f.Voters < 1 || f.Tool == nil {
		return nil, errors.New("fleet: voters and the tool are needed")
	}
	if f.Gateway == "" {
		var err error
		if f.Gateway, err = FindGateway(s.Gateway); err != nil {
			return nil, err
		}
	}
	if (f.Fronts > 0) != (s.Takes > 0) || f.Fronts > s.Gateways {
		return nil, errors.New("fleet: fronts are needed for takes, and for nothing else, one an agent at most")
	}
	if s.Export {
		return nil, errors.New("fleet: only gateways that the lab runs export")
	}
	for _, fault := range s.Faults {
		if strings.HasPrefix(fault.Kind, "gateway-") {
			return nil, fmt.Errorf("fleet: the fault %s is for gateways that the lab runs", fault.Kind)
		}
	}
	s.fleet = &f
	return Open(ctx, s)
}
