package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/recordsync"
)

// CopyOptions describe a gateway's copy of the records.
type CopyOptions struct {
	Servers        []string // addresses of the control machines, any of which may be asked
	Dir            string
	BytesPerSecond int // budget; 0: the default
}

// Copy is a hollow gateway's copy of the records, with the follower that real
// agents use, and the history of its runs. Its zero value follows nothing; its
// methods may be called by several goroutines.
type Copy struct {
	Traffic Traffic // of all runs

	name    string
	options CopyOptions
	dialer  *dialer

	restarts sync.Mutex

	mu       sync.Mutex
	follower *recordsync.Follower // nil: it does not run
	stop     context.CancelFunc
	running  sync.WaitGroup
	lives    []Life
	damaged  bool // the next run may begin anew
}

var errRuns = errors.New("it runs already")

// Start opens the copy with what is on disk and follows the records.
func (c *Copy) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower != nil {
		return fmt.Errorf("records of %s: %w", c.name, errRuns)
	}
	_, err := os.Stat(c.options.Dir)
	life := Life{Empty: c.damaged || errors.Is(err, os.ErrNotExist), From: time.Now()}
	c.damaged = false
	follower, err := recordsync.Open(recordsync.Options{Name: c.name, Servers: c.options.Servers, Dir: c.options.Dir,
		BytesPerSecond: c.options.BytesPerSecond, Dial: c.dialer.dial,
		BaseURL: func(server string) string { return "http://" + server },
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		return fmt.Errorf("records of %s: %w", c.name, err)
	}
	status := follower.Status()
	life.Advances = []Advance{{At: time.Now(), Version: status.Version, Digest: status.Digest}}
	c.lives = append(c.lives, life)
	ctx, cancel := context.WithCancel(context.Background())
	c.follower, c.stop = follower, cancel
	c.running.Go(func() { follower.Run(ctx) })
	c.running.Go(func() { c.watch(ctx, follower) })
	return nil
}

// watch notes each version that comes into force.
func (c *Copy) watch(ctx context.Context, follower *recordsync.Follower) {
	for {
		changed := follower.Changed()
		c.note(follower)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Copy) note(follower *recordsync.Follower) {
	status := follower.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	life := &c.lives[len(c.lives)-1]
	last := life.Advances[len(life.Advances)-1]
	if last.Version != status.Version || last.Digest != status.Digest {
		life.Advances = append(life.Advances, Advance{At: time.Now(), Version: status.Version, Digest: status.Digest})
	}
}

// Stop ends the follower; what it has on disk stays. A copy that does not run is
// left as it is.
func (c *Copy) Stop() {
	c.mu.Lock()
	follower, stop := c.follower, c.stop
	c.follower = nil
	c.mu.Unlock()
	if follower == nil {
		return
	}
	stop()
	c.running.Wait()
	c.note(follower)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lives[len(c.lives)-1].To = time.Now()
}

// Restart ends a run and begins the next one, with its disk or without. Only one
// restart is under way at a time.
func (c *Copy) Restart(erase bool) error {
	c.restarts.Lock()
	defer c.restarts.Unlock()
	c.Stop()
	if erase {
		if err := c.Erase(); err != nil {
			return err
		}
	}
	return c.Start()
}

// NoteDamage says that files of a stopped copy have been damaged: its next run may
// begin with an older version, or with none.
func (c *Copy) NoteDamage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.damaged = true
}

// Erase takes a stopped copy off the disk, as the loss of a machine does.
func (c *Copy) Erase() error { return os.RemoveAll(c.options.Dir) }

// Lives returns the history of the copy's runs.
func (c *Copy) Lives() []Life {
	c.mu.Lock()
	defer c.mu.Unlock()
	lives := slices.Clone(c.lives)
	for i := range lives {
		lives[i].Advances = slices.Clone(lives[i].Advances)
	}
	return lives
}

// Version returns the version in force; false: the copy does not run.
func (c *Copy) Version() (uint64, bool) {
	follower := c.current()
	if follower == nil {
		return 0, false
	}
	return follower.Status().Version, true
}

func (c *Copy) current() *recordsync.Follower {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower
}

// reported is what the agent reports of the copy; nil: it does not run.
func (c *Copy) reported() *agentapi.RecordsStatus {
	follower := c.current()
	if follower == nil {
		return nil
	}
	status := follower.Status()
	reported := &agentapi.RecordsStatus{State: status.State, Version: status.Version, Digest: status.Digest, Reason: status.Reason}
	if age, known := status.Age(time.Now()); known {
		seconds := age.Seconds()
		reported.AgeSeconds = &seconds
	}
	return reported
}

func (c *Copy) tellHead(version uint64) {
	if follower := c.current(); follower != nil {
		follower.NotifyHead(version)
	}
}
