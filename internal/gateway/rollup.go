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

// rollupQueueLength is how many intervals may wait for the disk; further ones are dropped.
const rollupQueueLength = 256

// rollupFile appends the counts of short intervals to a file, from a goroutine of its own so that no request waits
// for the disk.
type rollupFile struct {
	name      string
	pools     *pools
	file      *os.File
	remaining int64 // bytes that the file may still grow
	lines     chan rollup.Line
}

// openRollupFile opens the file for appending to that of an earlier process; nil if the site file configures none.
func openRollupFile(settings site.Rollup, name string, pools *pools) (*rollupFile, error) {
	if settings.Dir == "" {
		return nil, nil
	}
	path := filepath.Join(settings.Dir, name+".moments")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("operator's file: moments: %w", err)
	}
	stat, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("operator's file: moments: %w", err)
	}
	return &rollupFile{name: name, pools: pools, file: file, remaining: int64(settings.MB)<<20 - stat.Size(), lines: make(chan rollup.Line, rollupQueueLength)}, nil
}

// aggregator returns the aggregator through which the owner counts.
func (r *rollupFile) aggregator(every time.Duration) *rollup.Aggregator {
	return rollup.NewAggregator(every, func(at float64, c rollup.Counts) {
		c.Dials = int(r.pools.dials.Swap(0))
		select {
		case r.lines <- rollup.Line{At: at, Gateway: r.name, Counts: c}:
		default: // the disk is slow; a dropped interval shows as a gap
		}
	})
}

// run writes until lines is closed, then closes the file. A disk error or a full file ends only the writing.
func (r *rollupFile) run() {
	defer r.file.Close()
	for line := range r.lines {
		if r.remaining < 0 {
			continue
		}
		text, err := json.Marshal(line)
		if err != nil {
			panic(err) // its fields can always be encoded
		}
		text = append(text, '\n')
		if r.remaining -= int64(len(text)); r.remaining < 0 {
			log.Printf("moments: %s has reached its size limit; no more intervals are written", r.file.Name())
			continue
		}
		if _, err := r.file.Write(text); err != nil {
			log.Printf("moments: write failed; no more intervals are written: %v", err)
			r.remaining = -1
		}
	}
}
