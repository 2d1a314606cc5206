package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"elderyard/internal/document"
	"elderyard/internal/files"
	"elderyard/internal/output"
	"elderyard/internal/peers"
	"elderyard/supervise"
)

const (
	readyPath             = "/health/ready"
	startingCheckInterval = 50 * time.Millisecond
	readyCheckInterval    = 500 * time.Millisecond
	healthCheckTimeout    = time.Second
	adoptedPollInterval   = 100 * time.Millisecond // whether a process that is no child still runs
	maxLogBytes           = 1 << 20                // bytes of a gateway's output before the file is set aside
	stateFile             = "state.json"
	configFile            = "config.json"
	siteFile              = "site.toml"
	logFile               = "log"
)

// process is one gateway of this machine. Its goroutine owns the machine; others
// ask through channels, and read what it last showed.
type process struct {
	entry  InstanceEntry
	dir    string
	log    *slog.Logger
	config *Config
	client *http.Client

	desired chan desiredState
	events  chan supervise.Event

	mu        sync.Mutex
	published processState

	// of the goroutine
	machine  *supervise.Machine
	rendered *document.Rendered // of what is wanted
	pid      int
	checking bool
}

// desiredState is what an instance is to run; nil: nothing.
type desiredState struct {
	rendered *document.Rendered
	done     chan struct{} // closed when it has been taken in
}

type processState struct {
	status         supervise.Status
	pid            int
	membershipView membershipView // of the others, at the last look
}

// savedState is what an agent must know of a gateway after its own death.
type savedState struct {
	PID     int             `json:"pid"`
	Started string          `json:"started"` // as the system counts it: a number that another process of that id has not
	Spec    *supervise.Spec `json:"spec"`
	Crashes int             `json:"crashes"`
}

func newProcess(config *Config, entry InstanceEntry, log *slog.Logger) (*process, error) {
	p := &process{entry: entry, dir: filepath.Join(config.Dir, "instances", entry.Name), log: log.With("instance", entry.Name), config: config,
		client:  &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		desired: make(chan desiredState), events: make(chan supervise.Event, 16)}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, fmt.Errorf("instance %s: %w", entry.Name, err)
	}
	k, err := p.loadState()
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", entry.Name, err)
	}
	if p.machine, err = supervise.New(config.supervision(), k.Crashes); err != nil {
		return nil, err
	}
	if k.Spec != nil && k.PID != 0 && startTime(k.PID) == k.Started && k.Started != "" {
		p.pid = k.PID
		p.machine.Handle(time.Now(), supervise.Adopted{Spec: *k.Spec})
	}
	p.publish()
	return p, nil
}

// lastSpec is what the instance ran last; nil: nothing ever.
func (p *process) lastSpec() *supervise.Spec {
	k, err := p.loadState()
	if err != nil {
		return nil
	}
	return k.Spec
}

func (p *process) loadState() (k savedState, err error) {
	text, err := os.ReadFile(filepath.Join(p.dir, stateFile))
	if errors.Is(err, os.ErrNotExist) {
		return savedState{}, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil {
		return savedState{}, fmt.Errorf("%s: %w; end the gateway that it speaks of, if there is one, and remove it", filepath.Join(p.dir, stateFile), err)
	}
	return k, nil
}

func (p *process) saveState() {
	s := p.machine.Status()
	k := savedState{Spec: s.Running, Crashes: s.Crashes, PID: p.pid}
	if p.pid != 0 {
		k.Started = startTime(p.pid)
	}
	text, err := json.Marshal(k)
	if err == nil {
		err = files.Replace(filepath.Join(p.dir, stateFile), text, 0o600)
	}
	if err != nil {
		p.log.Error("what runs could not be written down; a restart of the agent may not find it", "error", err)
	}
}

// run owns the machine until ctx ends. The gateway stays.
func (p *process) run(ctx context.Context) {
	var watch sync.WaitGroup
	defer watch.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if p.pid != 0 {
		pid, started := p.pid, startTime(p.pid)
		watch.Go(func() { p.watchAdopted(ctx, pid, started) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	checkedAt := time.Time{}
	for {
		var ev supervise.Event
		select {
		case <-ctx.Done():
			return
		case w := <-p.desired:
			p.rendered = w.rendered
			wanted := supervise.DesiredState{}
			if w.rendered != nil {
				spec := w.rendered.Spec
				wanted.Spec = &spec
			}
			p.handle(ctx, &watch, wanted)
			close(w.done)
			continue
		case ev = <-p.events:
			if _, is := ev.(supervise.Health); is {
				p.checking = false
			}
		case <-timer.C:
			ev = supervise.Tick{}
		}
		p.handle(ctx, &watch, ev)
		// The next look, and the next moment at which time alone makes something due.
		now := time.Now()
		s := p.machine.Status().State
		every := readyCheckInterval
		if s == supervise.Starting {
			every = startingCheckInterval
		}
		if p.pid != 0 && (s == supervise.Starting || s == supervise.Ready) && !p.checking && now.Sub(checkedAt) >= every {
			checkedAt, p.checking = now, true
			watch.Go(func() {
				p.send(ctx, supervise.Health{Ready: p.checkReady(ctx)})
				if b := p.queryMembership(ctx); b.line != "" {
					p.mu.Lock()
					p.published.membershipView = b
					p.mu.Unlock()
				}
			})
		}
		next := every
		if due := p.machine.Due(); !due.IsZero() {
			next = min(max(due.Sub(now), time.Millisecond), readyCheckInterval)
		}
		timer.Reset(next)
	}
}

func (p *process) send(ctx context.Context, ev supervise.Event) {
	select {
	case p.events <- ev:
	case <-ctx.Done():
	}
}

// handle gives the machine an event and carries out what it orders.
func (p *process) handle(ctx context.Context, watch *sync.WaitGroup, ev supervise.Event) {
	before := p.machine.Status()
	for {
		if _, ended := ev.(supervise.Exited); ended {
			p.pid = 0
		}
		var next supervise.Event
		actions := p.machine.Handle(time.Now(), ev)
		for _, a := range actions {
			switch a := a.(type) {
			case supervise.Spawn:
				if err := p.spawn(ctx, watch); err != nil {
					p.log.Error("the gateway could not be started", "error", err)
					next = supervise.StartFailed{Reason: err.Error()}
				} else {
					next = supervise.Started{}
				}
			case supervise.Reload:
				if err := p.writeFiles(); err != nil {
					p.log.Error("the gateway's files could not be written; it keeps the old ones", "error", err)
					next = supervise.ReloadFailed{Previous: a.Previous, Reason: err.Error()}
					break
				}
				p.log.Info("the gateway is told to read its configuration again", "revision", a.Spec.Revision)
				p.signal(syscall.SIGHUP)
			case supervise.SetRevision:
				p.log.Info("nothing changes for the gateway", "revision", a.Spec.Revision)
			case supervise.Terminate:
				p.signal(syscall.SIGTERM)
			case supervise.Kill:
				p.log.Warn("the gateway did not end in time and is killed")
				p.signal(syscall.SIGKILL)
			}
		}
		if next == nil {
			break
		}
		ev = next
	}
	if after := p.machine.Status(); after.State != before.State || after.Crashes != before.Crashes || after.Running != before.Running {
		p.log.Info("gateway", "state", after.State, "why", after.Reason, "pid", p.pid, "crashes", after.Crashes)
		p.saveState()
	}
	p.publish()
}

func (p *process) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := processState{status: p.machine.Status(), pid: p.pid}
	if p.pid != 0 {
		s.membershipView = p.published.membershipView
	}
	p.published = s
}

func (p *process) checkReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.entry.Listen+readyPath, nil)
	if err != nil {
		return false
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) writeFiles() error {
	if p.rendered == nil {
		return nil // the files of what ran before stand as they were
	}
	if err := files.Replace(filepath.Join(p.dir, configFile), p.rendered.Config, 0o600); err != nil {
		return err
	}
	return files.Replace(filepath.Join(p.dir, siteFile), p.rendered.Site, 0o600)
}

func (p *process) spawn(ctx context.Context, watch *sync.WaitGroup) error {
	if err := p.writeFiles(); err != nil {
		return err
	}
	path := filepath.Join(p.dir, logFile)
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogBytes {
		if err := os.Rename(path, path+".1"); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.config.Gateway)
	cmd.Dir = p.dir
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(p.dir, configFile), "ELDERYARD_SITE="+filepath.Join(p.dir, siteFile))
	if p.config.Roster {
		cmd.Env = append(cmd.Env, peers.RosterVariable+"="+p.config.rosterPath())
	}
	cmd.Env = append(cmd.Env, p.entry.Env...)
	// Its output is a file and not a pipe, and its group its own: it must outlive
	// the agent.
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.pid = cmd.Process.Pid
	p.checking = false
	go func() { // ends with the gateway; the agent may end before it
		err := cmd.Wait()
		why := "it ended"
		if err != nil {
			why = err.Error()
		}
		select {
		case p.events <- supervise.Exited{Reason: why + lastLine(path)}:
		case <-ctx.Done():
		}
	}()
	return nil
}

// lastLine is the end of a gateway's output, to say why it ended.
func lastLine(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	const maxTailBytes = 4 << 10
	if info, err := f.Stat(); err == nil && info.Size() > maxTailBytes {
		f.Seek(-maxTailBytes, 2)
	}
	text := make([]byte, maxTailBytes)
	n, _ := f.Read(text)
	if line := output.Telling(string(text[:n])); line != "" {
		return ": " + line
	}
	return ""
}

func (p *process) signal(s syscall.Signal) {
	if p.pid == 0 {
		return
	}
	if err := syscall.Kill(p.pid, s); err != nil && !errors.Is(err, syscall.ESRCH) {
		p.log.Error("the gateway can't be signalled", "signal", s, "error", err)
	}
}

// watchAdopted finds the end of a process that is not this agent's child.
func (p *process) watchAdopted(ctx context.Context, pid int, started string) {
	tick := time.NewTicker(adoptedPollInterval)
	defer tick.Stop()
	for startTime(pid) == started {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	p.send(ctx, supervise.Exited{Reason: "it ended" + lastLine(filepath.Join(p.dir, logFile))})
}

// startTime tells when a process was started, in the system's own count and
// boot, so that another process that got its id later is not taken for it; "" for
// one that does not run.
func startTime(pid int) string {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return ""
	}
	// The name stands in brackets and may hold anything.
	at := strings.LastIndexByte(string(text), ')')
	fields := strings.Fields(string(text[at+1:]))
	if at < 0 || len(fields) < 20 || fields[0] == "Z" || fields[0] == "X" {
		return ""
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return fields[19] + " " + strings.TrimSpace(string(boot))
}

// setDesired has an instance run something else; nil: nothing.
func (p *process) setDesired(ctx context.Context, r *document.Rendered) {
	w := desiredState{r, make(chan struct{})}
	select {
	case p.desired <- w:
		select {
		case <-w.done:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
}

func (p *process) state() processState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.published
}
