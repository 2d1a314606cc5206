package agent

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"elderyard/fleet"
)

// refusals is the audit log of calls that this agent refused, one line each. It is a local
// file and not part of the site's state, because unauthenticated callers can make it grow.
// Its size and its lines a second are limited. It is safe for concurrent use.
type refusals struct {
	path string

	mu          sync.Mutex
	file        *os.File
	size        int64
	dropped     int // since windowStart
	lines       int // since windowStart
	windowStart time.Time
}

const (
	maxRefusalsBytes     = 1 << 20 // a larger file is rotated, and replaces the previous one
	maxRefusalsPerSecond = 50
	maxRefusalTextBytes  = 200
)

// openRefusals opens the log for appending.
func openRefusals(path string) (*refusals, error) {
	r := &refusals{path: path}
	if err := r.open(); err != nil {
		return nil, fmt.Errorf("audit log: %w", err)
	}
	return r, nil
}

// open opens the file and reads its size.
func (r *refusals) open() (err error) {
	if r.file, err = os.OpenFile(r.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	info, err := r.file.Stat()
	if err == nil {
		r.size = info.Size()
	}
	return err
}

// add logs one refusal, or drops it above maxRefusalsPerSecond.
func (r *refusals) add(who, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.windowStart) >= time.Second {
		if r.dropped > 0 {
			r.write(fleet.Event{At: now.UTC(), Who: "agent", What: fmt.Sprintf("%d more refusals were not written down", r.dropped)})
		}
		r.windowStart, r.lines, r.dropped = now, 0, 0
	}
	if r.lines++; r.lines > maxRefusalsPerSecond {
		r.dropped++
		return
	}
	r.write(fleet.Event{At: now.UTC(), Who: fleet.Truncate(who, maxRefusalTextBytes), What: fleet.Truncate(what, maxRefusalTextBytes)})
}

// write appends one line. It first rotates the file if that is too large.
func (r *refusals) write(event fleet.Event) {
	if r.size > maxRefusalsBytes {
		r.file.Close()
		os.Rename(r.path, r.path+".1")
		r.size = 0
		if r.open() != nil {
			return
		}
	}
	text, err := json.Marshal(event)
	if err != nil {
		return
	}
	n, _ := r.file.Write(append(text, '\n'))
	r.size += int64(n)
}

// list returns the last fleet.MaxEvents events of the previous and the current file, oldest
// first.
func (r *refusals) list() ([]fleet.Event, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []fleet.Event{}
	for _, path := range []string{r.path + ".1", r.path} {
		f, err := os.Open(path)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("audit log: %w", err)
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			var e fleet.Event
			if json.Unmarshal(lines.Bytes(), &e) == nil { // the last line may be truncated
				list = append(list, e)
			}
		}
		f.Close()
	}
	return list[max(0, len(list)-fleet.MaxEvents):], nil
}

// close closes the file. add must not be called afterwards.
func (r *refusals) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}
