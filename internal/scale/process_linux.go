package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/agentapi"
)

// ControlProcess is one control machine: an agent without gateways, in a process
// of its own. It belongs to one goroutine.
type ControlProcess struct {
	Name    string
	Address string // for other agents
	Client  *agentapi.Client

	program string
	dir     string
	command *exec.Cmd // nil: it does not run
	stopped bool      // it is suspended
}

// Usage is what a process has used.
type Usage struct {
	CPU           time.Duration // user and system time since its start
	ResidentBytes int64
	PeakBytes     int64 // largest resident memory since its start, or since ResetPeak
	IOBytes       int64 // that it has read and written by system calls: sockets and files
}

// errNotRunning says that a control process has been stopped or killed.
var errNotRunning = errors.New("control process does not run")

const clockTick = 10 * time.Millisecond // unit of CPU time in /proc

// Start runs the process. It keeps what an earlier run left in its folder.
func (p *ControlProcess) Start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, "agent.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	defer log.Close()
	command := exec.Command(p.program, "agent", "run", filepath.Join(p.dir, configFile))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command, p.stopped = command, false
	return nil
}

// Kill ends the process at once, as the loss of the machine would.
func (p *ControlProcess) Kill() error { return p.end(syscall.SIGKILL) }

// Stop asks the process to end, and waits for that.
func (p *ControlProcess) Stop() error { return p.end(syscall.SIGTERM) }

func (p *ControlProcess) end(signal syscall.Signal) error {
	if p.command == nil {
		return fmt.Errorf("end %s: %w", p.Name, errNotRunning)
	}
	command := p.command
	p.command = nil
	if err := command.Process.Signal(signal); err != nil {
		return fmt.Errorf("end %s: %w", p.Name, err)
	}
	err := command.Wait()
	var exit *exec.ExitError
	if signal == syscall.SIGKILL && errors.As(err, &exit) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("end %s: %w", p.Name, err)
	}
	return nil
}

// Running tells whether the process has been started and not ended.
func (p *ControlProcess) Running() bool { return p.command != nil }

// Suspend has the process stand still until Resume.
func (p *ControlProcess) Suspend() error {
	p.stopped = true
	return p.signal(syscall.SIGSTOP)
}

// Resume lets a suspended process go on.
func (p *ControlProcess) Resume() error {
	p.stopped = false
	return p.signal(syscall.SIGCONT)
}

// Suspended tells whether the process stands still.
func (p *ControlProcess) Suspended() bool { return p.stopped }

func (p *ControlProcess) signal(signal syscall.Signal) error {
	if p.command == nil {
		return fmt.Errorf("signal %s: %w", p.Name, errNotRunning)
	}
	return p.command.Process.Signal(signal)
}

// Usage reads what the process has used.
func (p *ControlProcess) Usage() (Usage, error) {
	if p.command == nil {
		return Usage{}, fmt.Errorf("usage of %s: %w", p.Name, errNotRunning)
	}
	usage, err := readUsage(p.command.Process.Pid)
	if err != nil {
		return Usage{}, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	return usage, nil
}

// ResetPeak has PeakBytes begin anew at the present resident memory.
func (p *ControlProcess) ResetPeak() error {
	if p.command == nil {
		return fmt.Errorf("reset peak of %s: %w", p.Name, errNotRunning)
	}
	const resetPeak = "5" // see proc(5), clear_refs
	return os.WriteFile(procPath(p.command.Process.Pid, "clear_refs"), []byte(resetPeak), 0o200)
}

func procPath(pid int, name string) string { return fmt.Sprintf("/proc/%d/%s", pid, name) }

func readUsage(pid int) (usage Usage, err error) {
	if usage.CPU, err = readCPU(pid); err != nil {
		return Usage{}, err
	}
	status, err := readFields(procPath(pid, "status"))
	if err != nil {
		return Usage{}, err
	}
	io, err := readFields(procPath(pid, "io"))
	if err != nil {
		return Usage{}, err
	}
	const kilobyte = 1024
	usage.ResidentBytes = status["VmRSS"] * kilobyte
	usage.PeakBytes = status["VmHWM"] * kilobyte
	usage.IOBytes = io["rchar"] + io["wchar"]
	return usage, nil
}

// readCPU reads user and system time from /proc/PID/stat.
func readCPU(pid int) (time.Duration, error) {
	text, err := os.ReadFile(procPath(pid, "stat"))
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may hold spaces.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, fmt.Errorf("%s has %d fields", procPath(pid, "stat"), len(fields))
	}
	ticks := 0
	for _, field := range []string{fields[userField], fields[systemField]} {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", procPath(pid, "stat"), err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// readFields reads the numbers of a file with lines such as "VmRSS: 12 kB".
func readFields(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, rest, found := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if !found || len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			fields[name] = n
		}
	}
	return fields, nil
}

// writeConfig writes the agent's file.
func (p *ControlProcess) writeConfig(config map[string]any) error {
	text, err := toml.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, configFile), text, 0o600)
}
