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
	readyPath    = "/health/ready"
	lookStarting = 50 * time.Millisecond
	lookReady    = 500 * time.Millisecond
	lookLimit    = time.Second
	lookAdopted  = 100 * time.Millisecond // whether a process that is no child still runs
	mostLog      = 1 << 20                // bytes of a gateway's output before the file is set aside
	stateFile    = "state.json"
	configFile   = "config.json"
	siteFile     = "site.toml"
	logFile      = "log"
)

// process is one gateway of this machine. Its goroutine owns the machine; others
// ask through channels, and read what it last showed.
type process struct {
	entry  InstanceEntry
	dir    string
	log    *slog.Logger
	config *Config
	client *http.Client

	wants  chan want
	events chan supervise.Event

	mu    sync.Mutex
	shown shown

	// of the goroutine
	machine  *supervise.Machine
	rendered *document.Rendered // of what is wanted
	pid      int
	looking  bool
}

// want is what an instance is to run; nil: nothing.
type want struct {
	rendered *document.Rendered
	done     chan struct{} // closed when it has been taken in
}

type shown struct {
	status supervise.Status
	pid    int
	belief belief // of the others, at the last look
}

// kept is what an agent must know of a gateway after its own death.
type kept struct {
	PID     int             `json:"pid"`
	Started string          `json:"started"` // as the system counts it: a number that another process of that id has not
	Spec    *supervise.Spec `json:"spec"`
	Crashes int             `json:"crashes"`
}

func newProcess(c *Config, e InstanceEntry, log *slog.Logger) (*process, error) {
	p := &process{entry: e, dir: filepath.Join(c.Dir, "instances", e.Name), log: log.With("instance", e.Name), config: c,
		client: &http.Client{Timeout: lookLimit, Transport: &http.Transport{DisableKeepAlives: true}},
		wants:  make(chan want), events: make(chan supervise.Event, 16)}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, fmt.Errorf("instance %s: %w", e.Name, err)
	}
	k, err := p.load()
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", e.Name, err)
	}
	if p.machine, err = supervise.New(c.supervision(), k.Crashes); err != nil {
		return nil, err
	}
	if k.Spec != nil && k.PID != 0 && startTime(k.PID) == k.Started && k.Started != "" {
		p.pid = k.PID
		p.machine.Handle(time.Now(), supervise.Adopted{Spec: *k.Spec})
	}
	p.show()
	return p, nil
}

// last is what the instance ran last; nil: nothing ever.
func (p *process) last() *supervise.Spec {
	k, err := p.load()
	if err != nil {
		return nil
	}
	return k.Spec
}

func (p *process) load() (k kept, err error) {
	text, err := os.ReadFile(filepath.Join(p.dir, stateFile))
	if errors.Is(err, os.ErrNotExist) {
		return kept{}, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil {
		return kept{}, fmt.Errorf("%s: %w; end the gateway that it speaks of, if there is one, and remove it", filepath.Join(p.dir, stateFile), err)
	}
	return k, nil
}

func (p *process) keep() {
	s := p.machine.Status()
	k := kept{Spec: s.Running, Crashes: s.Crashes, PID: p.pid}
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
	looked := time.Time{}
	for {
		var ev supervise.Event
		select {
		case <-ctx.Done():
			return
		case w := <-p.wants:
			p.rendered = w.rendered
			wanted := supervise.Want{}
			if w.rendered != nil {
				spec := w.rendered.Spec
				wanted.Spec = &spec
			}
			p.handle(ctx, &watch, wanted)
			close(w.done)
			continue
		case ev = <-p.events:
			if _, is := ev.(supervise.Health); is {
				p.looking = false
			}
		case <-timer.C:
			ev = supervise.Tick{}
		}
		p.handle(ctx, &watch, ev)
		// The next look, and the next moment at which time alone makes something due.
		now := time.Now()
		s := p.machine.Status().State
		every := lookReady
		if s == supervise.Starting {
			every = lookStarting
		}
		if p.pid != 0 && (s == supervise.Starting || s == supervise.Ready) && !p.looking && now.Sub(looked) >= every {
			looked, p.looking = now, true
			watch.Go(func() {
				p.send(ctx, supervise.Health{Ready: p.look(ctx)})
				if b := p.believes(ctx); b.line != "" {
					p.mu.Lock()
					p.shown.belief = b
					p.mu.Unlock()
				}
			})
		}
		next := every
		if due := p.machine.Due(); !due.IsZero() {
			next = min(max(due.Sub(now), time.Millisecond), lookReady)
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
					next = supervise.NotStarted{Why: err.Error()}
				} else {
					next = supervise.Started{}
				}
			case supervise.Hup:
				if err := p.write(); err != nil {
					p.log.Error("the gateway's files could not be written; it keeps the old ones", "error", err)
					next = supervise.NotReloaded{Old: a.Old, Why: err.Error()}
					break
				}
				p.log.Info("the gateway is told to read its configuration again", "revision", a.Spec.Revision)
				p.signal(syscall.SIGHUP)
			case supervise.Renumber:
				p.log.Info("nothing changes for the gateway", "revision", a.Spec.Revision)
			case supervise.Term:
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
		p.log.Info("gateway", "state", after.State, "why", after.Why, "pid", p.pid, "crashes", after.Crashes)
		p.keep()
	}
	p.show()
}

func (p *process) show() {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := shown{status: p.machine.Status(), pid: p.pid}
	if p.pid != 0 {
		s.belief = p.shown.belief
	}
	p.shown = s
}

func (p *process) look(ctx context.Context) bool {
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

func (p *process) write() error {
	if p.rendered == nil {
		return nil // the files of what ran before stand as they were
	}
	if err := files.Replace(filepath.Join(p.dir, configFile), p.rendered.Config, 0o600); err != nil {
		return err
	}
	return files.Replace(filepath.Join(p.dir, siteFile), p.rendered.Site, 0o600)
}

func (p *process) spawn(ctx context.Context, watch *sync.WaitGroup) error {
	if err := p.write(); err != nil {
		return err
	}
	path := filepath.Join(p.dir, logFile)
	if info, err := os.Stat(path); err == nil && info.Size() > mostLog {
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
	p.looking = false
	go func() { // ends with the gateway; the agent may end before it
		err := cmd.Wait()
		why := "it ended"
		if err != nil {
			why = err.Error()
		}
		select {
		case p.events <- supervise.Exited{Why: why + lastLine(path)}:
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
	const most = 4 << 10
	if info, err := f.Stat(); err == nil && info.Size() > most {
		f.Seek(-most, 2)
	}
	text := make([]byte, most)
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
	tick := time.NewTicker(lookAdopted)
	defer tick.Stop()
	for startTime(pid) == started {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	p.send(ctx, supervise.Exited{Why: "it ended" + lastLine(filepath.Join(p.dir, logFile))})
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

// set has an instance run something else; nil: nothing.
func (p *process) set(ctx context.Context, r *document.Rendered) {
	w := want{r, make(chan struct{})}
	select {
	case p.wants <- w:
		select {
		case <-w.done:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
}

func (p *process) peek() shown {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shown
}
