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
	adoptedPollInterval = 100 * time.Millisecond // between two checks whether an adopted process still runs
)

// savedState is the content of the state file, by which the next run of the agent adopts
// the gateway.
type savedState struct {
	PID     int             `json:"pid"`     // 0: no process runs
	Started string          `json:"started"` // StartTime of the process
	Spec    *supervise.Spec `json:"spec"`    // of the current or last run; nil: it never ran
	Crashes int             `json:"crashes"`
}

// LastSpec returns the spec of the instance's last run from the state file; nil if it
// never ran or the file can't be read.
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
		return savedState{}, fmt.Errorf("%s: %w; stop the gateway whose pid it contains, if one is running, and remove the file", path, err)
	}
	return saved, nil
}

// saveState writes the state file. A failure is only logged: the gateway keeps running,
// but the next run of the agent may not adopt it.
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
		p.log.Error("failed to save process state; a restarted agent may not adopt the gateway", "error", err)
	}
}

// watchAdopted polls an adopted process, which is not a child of this one, and sends an
// event when it has ended.
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
	p.send(ctx, supervise.Exited{Reason: "it ended" + exitReasonFromLog(filepath.Join(p.options.Dir, logFile))})
}

// StartTime returns the start time of a process in clock ticks since boot, followed by the
// boot id. It differs for a later process that reuses the process id. It is "" for a
// process that has ended, even if its parent has not waited for it yet.
func StartTime(pid int) string {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return ""
	}
	// The program's name is in parentheses and may contain any character, so the fields
	// are counted from the last parenthesis.
	end := strings.LastIndexByte(string(text), ')')
	fields := strings.Fields(string(text[end+1:]))
	if end < 0 || len(fields) < 20 || hasExited(fields) {
		return ""
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return fields[19] + " " + strings.TrimSpace(string(boot))
}

// hasExited reports whether the process with these fields of /proc/PID/stat, starting with the state, has ended. A
// zombie with more than one thread has not: only its first thread has ended, and the others still hold its sockets.
func hasExited(fields []string) bool {
	const stateField, threadsField = 0, 17
	switch fields[stateField] {
	case "X":
		return true
	case "Z":
		return fields[threadsField] == "0" || fields[threadsField] == "1"
	}
	return false
}
