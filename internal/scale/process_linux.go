package scale

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"

	"elderyard/internal/agentapi"
	"elderyard/internal/procfs"
)

// ControlProcess is one control machine: an agent without gateways, in its own process. It is not safe for concurrent
// use.
type ControlProcess struct {
	Name    string
	Address string // for other agents
	Client  *agentapi.Client

	program   string
	dir       string
	command   *exec.Cmd // nil: not running
	suspended bool      // by Suspend, until Resume
}

// Usage is the resource usage of a process.
type Usage struct {
	CPU           time.Duration // user and system time since the start
	ResidentBytes int64
	PeakBytes     int64 // peak resident memory since the start or the last ResetPeak
	IOBytes       int64 // read and written by system calls, on sockets and files
}

// errNotRunning means that a control process was stopped or killed.
var errNotRunning = errors.New("control process is not running")

// Start runs the process with the files that an earlier run left in its directory.
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
	p.command, p.suspended = command, false
	return nil
}

// Kill sends SIGKILL, which simulates the loss of the machine, and waits for the process to end.
func (p *ControlProcess) Kill() error { return p.signalAndWait(syscall.SIGKILL) }

// Stop sends SIGTERM and waits for the process to end.
func (p *ControlProcess) Stop() error { return p.signalAndWait(syscall.SIGTERM) }

func (p *ControlProcess) signalAndWait(signal syscall.Signal) error {
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

// Running reports whether the process was started and has not been ended.
func (p *ControlProcess) Running() bool { return p.command != nil }

// Suspend halts the process until Resume.
func (p *ControlProcess) Suspend() error {
	p.suspended = true
	return p.signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (p *ControlProcess) Resume() error {
	p.suspended = false
	return p.signal(syscall.SIGCONT)
}

// Suspended reports whether the process is suspended.
func (p *ControlProcess) Suspended() bool { return p.suspended }

func (p *ControlProcess) signal(signal syscall.Signal) error {
	if p.command == nil {
		return fmt.Errorf("signal %s: %w", p.Name, errNotRunning)
	}
	return p.command.Process.Signal(signal)
}

// Usage returns the resource usage of the process.
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

// ResetPeak restarts PeakBytes at the current resident memory.
func (p *ControlProcess) ResetPeak() error {
	if p.command == nil {
		return fmt.Errorf("reset peak of %s: %w", p.Name, errNotRunning)
	}
	const resetPeak = "5" // see proc(5), clear_refs
	return os.WriteFile(procfs.Path(p.command.Process.Pid, "clear_refs"), []byte(resetPeak), 0o200)
}

func readUsage(pid int) (usage Usage, err error) {
	if usage.CPU, err = readCPU(pid); err != nil {
		return Usage{}, err
	}
	status, err := procfs.Fields(procfs.Path(pid, "status"))
	if err != nil {
		return Usage{}, err
	}
	io, err := procfs.Fields(procfs.Path(pid, "io"))
	if err != nil {
		return Usage{}, err
	}
	usage.ResidentBytes = status["VmRSS"] * procfs.Kilobyte
	usage.PeakBytes = status["VmHWM"] * procfs.Kilobyte
	usage.IOBytes = io["rchar"] + io["wchar"]
	return usage, nil
}

// readCPU reads user and system time from the CPU clock of the process. The figures under /proc have a resolution of 10 ms,
// and an idle process uses less in a second.
func readCPU(pid int) (time.Duration, error) {
	var used unix.Timespec
	if err := unix.ClockGettime(processClock(pid), &used); err != nil {
		return 0, fmt.Errorf("CPU clock of process %d: %w", pid, err)
	}
	return time.Duration(used.Nano()), nil
}

// processClock returns the ID of the CPU clock of a process, as clock_getcpuclockid(3) does.
func processClock(pid int) int32 {
	const schedulerClock = 2 // user and system time, in nanoseconds
	return int32(^pid<<3 | schedulerClock)
}

// writeConfig writes the configuration file of the agent.
func (p *ControlProcess) writeConfig(config map[string]any) error {
	content, err := toml.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, configFile), content, 0o600)
}
