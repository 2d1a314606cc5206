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

// RecordsCopyOptions configure a gateway's copy of the records.
type RecordsCopyOptions struct {
	Servers        []string // addresses of the control machines, each of which serves records
	Dir            string
	BytesPerSecond int // bandwidth limit; 0: the default
}

// RecordsCopy is the copy of the records at a simulated gateway. It uses the same follower as real agents and
// records the history of its runs. Its zero value follows no server. Its methods are safe for concurrent use.
type RecordsCopy struct {
	Traffic Traffic // summed over all runs

	name    string
	options RecordsCopyOptions
	dialer  *dialer

	restartMu sync.Mutex

	mu         sync.Mutex
	follower   *recordsync.Follower // nil: not running
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	runs       []Run
	corrupted  bool // the next run may start with an older version or none
}

var errAlreadyRunning = errors.New("already running")

// Start opens the copy with its files on disk and follows the records.
func (c *RecordsCopy) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower != nil {
		return fmt.Errorf("records of %s: %w", c.name, errAlreadyRunning)
	}
	_, err := os.Stat(c.options.Dir)
	run := Run{ColdStart: c.corrupted || errors.Is(err, os.ErrNotExist), Start: time.Now()}
	c.corrupted = false
	follower, err := recordsync.Open(recordsync.Options{Name: c.name, Servers: c.options.Servers, Dir: c.options.Dir,
		BytesPerSecond: c.options.BytesPerSecond, Dial: c.dialer.dial,
		BaseURL: func(server string) string { return "http://" + server },
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		return fmt.Errorf("records of %s: %w", c.name, err)
	}
	status := follower.Status()
	run.Activations = []Activation{{At: time.Now(), Version: status.Version, Digest: status.Digest}}
	c.runs = append(c.runs, run)
	ctx, cancel := context.WithCancel(context.Background())
	c.follower, c.stop = follower, cancel
	c.goroutines.Go(func() { follower.Run(ctx) })
	c.goroutines.Go(func() { c.watch(ctx, follower) })
	return nil
}

// watch records each version that comes into force.
func (c *RecordsCopy) watch(ctx context.Context, follower *recordsync.Follower) {
	for {
		changed := follower.Changed()
		c.recordActivation(follower)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *RecordsCopy) recordActivation(follower *recordsync.Follower) {
	status := follower.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	run := &c.runs[len(c.runs)-1]
	last := run.Activations[len(run.Activations)-1]
	if last.Version != status.Version || last.Digest != status.Digest {
		run.Activations = append(run.Activations, Activation{At: time.Now(), Version: status.Version, Digest: status.Digest})
	}
}

// Stop ends the follower and keeps its files on disk. It has no effect on a copy that is not running.
func (c *RecordsCopy) Stop() {
	c.mu.Lock()
	follower, stop := c.follower, c.stop
	c.follower = nil
	c.mu.Unlock()
	if follower == nil {
		return
	}
	stop()
	c.goroutines.Wait()
	c.recordActivation(follower)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[len(c.runs)-1].End = time.Now()
}

// Restart ends the current run and starts the next one, with the files on disk or without. Restarts are
// serialized.
func (c *RecordsCopy) Restart(erase bool) error {
	c.restartMu.Lock()
	defer c.restartMu.Unlock()
	c.Stop()
	if erase {
		if err := c.Erase(); err != nil {
			return err
		}
	}
	return c.Start()
}

// MarkCorrupted records that files of a stopped copy were corrupted: its next run may start with an older version
// or with none.
func (c *RecordsCopy) MarkCorrupted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.corrupted = true
}

// Erase deletes the files of a stopped copy, as the loss of a machine does.
func (c *RecordsCopy) Erase() error { return os.RemoveAll(c.options.Dir) }

// Runs returns the history of the copy's runs.
func (c *RecordsCopy) Runs() []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := slices.Clone(c.runs)
	for i := range runs {
		runs[i].Activations = slices.Clone(runs[i].Activations)
	}
	return runs
}

// Version returns the version in force, and false if the copy is not running.
func (c *RecordsCopy) Version() (uint64, bool) {
	follower := c.current()
	if follower == nil {
		return 0, false
	}
	return follower.Status().Version, true
}

func (c *RecordsCopy) current() *recordsync.Follower {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower
}

// statusReport returns the copy's status as the agent reports it, or nil if the copy is not running.
func (c *RecordsCopy) statusReport() *agentapi.RecordsStatus {
	follower := c.current()
	if follower == nil {
		return nil
	}
	status := follower.Status()
	report := &agentapi.RecordsStatus{State: status.State, Version: status.Version, Digest: status.Digest, Reason: status.Reason}
	if age, ok := status.Age(time.Now()); ok {
		seconds := age.Seconds()
		report.AgeSeconds = &seconds
	}
	return report
}

// notifyHead passes the newest version that the leader announced to the follower.
func (c *RecordsCopy) notifyHead(version uint64) {
	if follower := c.current(); follower != nil {
		follower.NotifyHead(version)
	}
}
