package gateway

import (
	"encoding/json"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"time"

	"elderyard/internal/site"
	"elderyard/rollup"
)

// rollupQueueLength is how many intervals may wait for the disk; more are left out.
const rollupQueueLength = 256

// rollupFile writes the counts of short intervals to a file, from a goroutine of its own: no request waits for the disk.
type rollupFile struct {
	name  string
	pools *pools
	f     *os.File
	left  int64 // bytes that the file may still grow
	lines chan rollup.Line
}

// openRollupFile opens the file, to go on where an earlier process ended; nil where the operator's file asks for none.
func openRollupFile(s site.Rollup, name string, p *pools) (*rollupFile, error) {
	if s.Dir == "" {
		return nil, nil
	}
	path := filepath.Join(s.Dir, name+".moments")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("operator's file: moments: %w", err)
	}
	stat, err := f.Stat()
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("operator's file: moments: %w", err)
	}
	return &rollupFile{name: name, pools: p, f: f, left: int64(s.MB)<<20 - stat.Size(), lines: make(chan rollup.Line, rollupQueueLength)}, nil
}

// aggregator returns what the owner counts with.
func (m *rollupFile) aggregator(every time.Duration) *rollup.Aggregator {
	return rollup.NewAggregator(every, func(at float64, c rollup.Counts) {
		c.Connects = int(m.pools.dials.Swap(0))
		select {
		case m.lines <- rollup.Line{At: at, Gateway: m.name, Counts: c}:
		default: // the disk is slow: what it misses is seen by the gap
		}
	})
}

// run writes until the lines end, then closes the file. A disk that fails, or a full share of it, ends the writing and
// nothing else.
func (m *rollupFile) run() {
	defer m.f.Close()
	for line := range m.lines {
		if m.left < 0 {
			continue
		}
		text, err := json.Marshal(line)
		if err != nil {
			panic(err) // it is made of nothing that could fail
		}
		text = append(text, '\n')
		if m.left -= int64(len(text)); m.left < 0 {
			log.Printf("moments: %s is as large as it may be; nothing more is written", m.f.Name())
			continue
		}
		if _, err := m.f.Write(text); err != nil {
			log.Printf("moments: nothing more is written: %v", err)
			m.left = -1
		}
	}
}
