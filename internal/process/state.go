package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"elderyard/internal/files"
	"elderyard/supervise"
)

const (
	stateFile           = "state.json"
	adoptedPollInterval = 100 * time.Millisecond // between two checks whether a process that is no child still runs
)

// savedState is the state file: what the next agent needs to adopt the gateway.
type savedState struct {
	PID     int             `json:"pid"`     // 0: no process runs
	Started string          `json:"started"` // StartTime of the process
	Spec    *supervise.Spec `json:"spec"`    // what it runs, or ran last; nil: nothing ever
	Crashes int             `json:"crashes"`
}

// LastSpec returns what the instance ran last, as of the state file; nil: nothing
// ever, or the file can't be read.
func (p *Process) LastSpec() *supervise.Spec {
	saved, err := p.loadState()
	if err != nil {
		return nil
	}
	return saved.Spec
}

// loadState reads the state file. A missing one is the zero value.
func (p *Process) loadState() (saved savedState, err error) {
	path := filepath.Join(p.options.Dir, stateFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return savedState{}, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &saved)
	}
	if err != nil {
		return savedState{}, fmt.Errorf("%s: %w; end the gateway that it speaks of, if there is one, and remove it", path, err)
	}
	return saved, nil
}

// saveState writes the state file. A failure is logged only: the gateway runs, and
// just its adoption by the next agent is at risk.
func (p *Process) saveState() {
	status := p.machine.Status()
	saved := savedState{Spec: status.Running, Crashes: status.Crashes, PID: p.pid}
	if p.pid != 0 {
		saved.Started = StartTime(p.pid)
	}
	text, err := json.Marshal(saved)
	if err == nil {
		err = files.Replace(filepath.Join(p.options.Dir, stateFile), text, 0o600)
	}
	if err != nil {
		p.log.Error("failed to save process state, a restarted agent may not adopt the gateway", "error", err)
	}
}

// watchAdopted polls a process that is not this agent's child and reports its end.
func (p *Process) watchAdopted(ctx context.Context, pid int, started string) {
	tick := time.NewTicker(adoptedPollInterval)
	defer tick.Stop()
	for StartTime(pid) == started {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	p.send(ctx, supervise.Exited{Reason: "it ended" + lastLine(filepath.Join(p.options.Dir, logFile))})
}

// StartTime returns when a process was started, in clock ticks of the current boot
// and with the boot's id: a later process that got the same id has another value.
// It is "" for a process that has ended, also if its parent has not waited for it yet.
func StartTime(pid int) string {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return ""
	}
	// The program's name stands in brackets and may contain any character, so the
	// fields are counted from the last bracket.
	end := strings.LastIndexByte(string(text), ')')
	fields := strings.Fields(string(text[end+1:]))
	if end < 0 || len(fields) < 20 || hasEnded(fields) {
		return ""
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return fields[19] + " " + strings.TrimSpace(string(boot))
}

// hasEnded reports whether the process with these fields of /proc/PID/stat, from the state on, has ended. A zombie with
// more than one thread has not: only its first thread has, and the others still hold its sockets.
func hasEnded(fields []string) bool {
	const stateField, threadsField = 0, 17
	switch fields[stateField] {
	case "X":
		return true
	case "Z":
		return fields[threadsField] == "0" || fields[threadsField] == "1"
	}
	return false
}
