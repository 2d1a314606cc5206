package agent

import (
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	maxRaftLogLines = 20
	raftLogWindow   = 10 * time.Second
)

// raftLogFilter limits the rate of raft's log lines: a voter that is unreachable for days
// must not fill the log.
type raftLogFilter struct {
	log *slog.Logger

	mu          sync.Mutex
	windowStart time.Time
	lines       int
}

func newRaftLogFilter(log *slog.Logger) *raftLogFilter { return &raftLogFilter{log: log} }

// Write logs one line of raft, or drops it above the limit. It never fails.
func (f *raftLogFilter) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.windowStart) >= raftLogWindow {
		if dropped := f.lines - maxRaftLogLines; dropped > 0 {
			f.log.Warn("raft log lines dropped", "lines", dropped)
		}
		f.windowStart, f.lines = now, 0
	}
	if f.lines++; f.lines > maxRaftLogLines {
		return len(p), nil
	}
	f.log.Warn("raft", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
