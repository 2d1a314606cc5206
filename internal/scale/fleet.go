package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

// maxConcurrentFetches is the number of gateways of a fleet that fetch a revision concurrently. Real gateways all
// fetch at once, each on its own machine.
const maxConcurrentFetches = 64

// FleetOptions configure the simulated gateways of a site.
type FleetOptions struct {
	Size                  int
	Servers               []string // addresses of the control machines
	ReportInterval        time.Duration
	RecordsDir            string // directory of the gateways' copies of the records; "": no copies
	RecordsBytesPerSecond int    // bandwidth limit of each copy; 0: the default
}

// Fleet is a set of simulated gateways in this process.
type Fleet struct {
	Gateways []*Gateway

	options    FleetOptions
	fetchSlots chan struct{}
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	progress map[uint64]*revisionProgress // by revision
}

// revisionProgress tracks at how many gateways a revision is in force.
type revisionProgress struct {
	activated   int
	complete    chan struct{} // closed when the revision is in force at all gateways
	completedAt time.Time     // when complete was closed
}

// StartFleet starts the gateways. Their first reports are spread evenly over one report interval. StartRecords starts
// their copies of the records.
func StartFleet(o FleetOptions) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{options: o, fetchSlots: make(chan struct{}, maxConcurrentFetches), stop: cancel, progress: map[uint64]*revisionProgress{}}
	for i := range o.Size {
		f.Gateways = append(f.Gateways, newGateway(f, i))
	}
	for i, g := range f.Gateways {
		initialDelay := o.ReportInterval * time.Duration(i) / time.Duration(o.Size)
		f.goroutines.Go(func() { g.run(ctx, initialDelay) })
	}
	return f
}

// copyDir returns the directory of a gateway's copy of the records.
func (f *Fleet) copyDir(g *Gateway) string { return filepath.Join(f.options.RecordsDir, g.Name) }

// StartRecords starts the copies of the records of all gateways.
func (f *Fleet) StartRecords() error {
	for _, g := range f.Gateways {
		if err := g.Records.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all gateways and their copies of the records.
func (f *Fleet) Stop() {
	f.stop()
	for _, g := range f.Gateways {
		f.goroutines.Go(g.Records.Stop)
	}
	f.goroutines.Wait()
}

// Histories returns the runs of all copies of the records, by gateway.
func (f *Fleet) Histories() map[string][]Run {
	histories := map[string][]Run{}
	for _, g := range f.Gateways {
		histories[g.Name] = g.Records.Runs()
	}
	return histories
}

// progressOf returns the progress of a revision. The caller must hold f.mu.
func (f *Fleet) progressOf(revision uint64) *revisionProgress {
	progress := f.progress[revision]
	if progress == nil {
		progress = &revisionProgress{complete: make(chan struct{})}
		f.progress[revision] = progress
	}
	return progress
}

func (f *Fleet) recordActivation(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	progress := f.progressOf(revision)
	progress.activated++
	if progress.activated == len(f.Gateways) {
		progress.completedAt = time.Now()
		close(progress.complete)
	}
}

// AwaitRevision waits until a revision is in force at all gateways and returns the time at which it was.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) (time.Time, error) {
	f.mu.Lock()
	progress := f.progressOf(revision)
	f.mu.Unlock()
	select {
	case <-progress.complete:
		f.mu.Lock()
		defer f.mu.Unlock()
		return progress.completedAt, nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return time.Time{}, fmt.Errorf("revision %d is in force at %d of %d gateways: %w", revision, progress.activated, len(f.Gateways), ctx.Err())
	}
}

// Counts are traffic sums over all gateways.
type Counts struct {
	Received int64 // bytes
	Sent     int64 // bytes
	Messages int64 // calls with a successful response
}

// Bytes returns the bytes received and sent.
func (c Counts) Bytes() int64 { return c.Received + c.Sent }

// Sub returns the difference to an earlier count.
func (c Counts) Sub(before Counts) Counts {
	return Counts{c.Received - before.Received, c.Sent - before.Sent, c.Messages - before.Messages}
}

// Counts returns the traffic since the start.
func (f *Fleet) Counts() (sum Counts) {
	for _, g := range f.Gateways {
		sum.Received += g.Traffic.Received()
		sum.Sent += g.Traffic.Sent()
		sum.Messages += g.Messages()
	}
	return sum
}
