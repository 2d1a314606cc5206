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

// raftLogFilter logs a bounded number of raft's lines: a voter that can't be reached for
// days must not fill the log.
type raftLogFilter struct {
	log *slog.Logger

	mu    sync.Mutex
	since time.Time
	lines int
}

func newRaftLogFilter(log *slog.Logger) *raftLogFilter { return &raftLogFilter{log: log} }

// Write logs one line of raft. It never fails.
func (q *raftLogFilter) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now(); now.Sub(q.since) >= raftLogWindow {
		if left := q.lines - maxRaftLogLines; left > 0 {
			q.log.Warn("raft log lines dropped", "lines", left)
		}
		q.since, q.lines = now, 0
	}
	if q.lines++; q.lines > maxRaftLogLines {
		return len(p), nil
	}
	q.log.Warn("raft", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
